package backend_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

var _ = DescribeTable("a server has ended", func(ended bool, later ...backend.Server) {
	d := backend.NewDirectory(func(backend.Server, string) {})
	s := backend.Server{ID: "a", Service: "s", Address: "1", Born: 5}
	d.Put(s)
	for _, l := range later {
		d.Put(l)
	}
	d.Remove(time.Unix(1000, 0), "gone", 0)
	Expect(d.HasEnded(s)).To(Equal(ended))
},
	Entry("if it started again under its ID", true, backend.Server{ID: "a", Service: "s", Address: "1", Born: 6}),
	Entry("also at another address", true, backend.Server{ID: "a", Service: "s", Address: "2", Born: 6}),
	Entry("if a later server has its address", true, backend.Server{ID: "b", Service: "t", Address: "1", Born: 6}),
	Entry("not if an earlier one is listed there", false, backend.Server{ID: "b", Service: "t", Address: "1", Born: 4}),
	Entry("not if a later one has left it", false, backend.Server{ID: "b", Service: "t", Address: "1", Born: 6}, backend.Server{ID: "b", Service: "t", Address: "3", Born: 7}),
	Entry("not if a later one is gone", false, backend.Server{ID: "gone", Service: "t", Address: "1", Born: 6}),
	Entry("not if it is listed anew", false, backend.Server{ID: "a", Service: "s", Address: "1", Born: 5, Draining: true}),
)

var _ = Describe("a directory", func() {
	const grace = 2 * time.Second
	var (
		d         *backend.Directory
		start     = time.Unix(1000, 0)
		first     = backend.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "a", Slots: 8, Born: 1}
		second    = backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Zone: "b", Slots: 8}
		usableIDs = func() []string {
			var list []string
			for _, s := range d.Usable("s") {
				list = append(list, s.ID)
			}
			return list
		}
	)
	BeforeEach(func() {
		d = backend.NewDirectory(func(backend.Server, string) {})
		d.Replace(start, []backend.Server{first, second}, 0)
	})

	It("removes unlisted servers at once and excludes draining ones", func() {
		d.Replace(start, []backend.Server{second}, 0)
		Expect(usableIDs()).To(Equal([]string{"i-2"}))
		draining := second
		draining.Draining = true
		d.Put(draining)
		Expect(usableIDs()).To(BeEmpty())
		Expect(d.Usable("s")).NotTo(ContainElement(second))
	})

	It("keeps servers missing after an outage for the grace period, and no longer", func() {
		d.Replace(start, nil, grace)
		Expect(usableIDs()).To(Equal([]string{"i-1", "i-2"}))
		d.Put(second)
		d.Expire(start.Add(grace - time.Millisecond))
		Expect(usableIDs()).To(HaveLen(2))
		d.Expire(start.Add(grace))
		Expect(usableIDs()).To(Equal([]string{"i-2"}))
	})

	It("keeps a removed server while the store recovers, but not a draining one", func() {
		d.Remove(start, "i-1", grace)
		Expect(usableIDs()).To(HaveLen(2))
		draining := second
		draining.Draining = true
		d.Put(draining)
		d.Remove(start, "i-2", grace)
		Expect(d.Len()).To(Equal(1))
		d.Remove(start, "i-1", 0)
		Expect(d.Len()).To(BeZero())
	})

	It("treats an entry with another start time as another server", func() {
		restarted := first
		restarted.Born = 2
		d.Put(restarted)
		Expect(d.Usable("s")).NotTo(ContainElement(first))
		Expect(d.Usable("s")).To(ContainElement(restarted))
	})

	It("excludes a server at whose address another answers until its entry changes", func() {
		d.MarkMisdirected(first)
		Expect(usableIDs()).To(Equal([]string{"i-2"}))
		d.Put(first)
		Expect(usableIDs()).To(Equal([]string{"i-2"}))
		moved := first
		moved.Address = "10.0.0.9:1"
		d.Put(moved)
		Expect(usableIDs()).To(Equal([]string{"i-1", "i-2"}))
	})
})
