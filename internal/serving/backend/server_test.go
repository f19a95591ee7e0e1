package backend_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

var _ = Describe("a directory", func() {
	const grace = 2 * time.Second
	var (
		d     *backend.Directory
		start = time.Unix(1000, 0)
		one   = backend.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "a", Slots: 8, Born: 1}
		two   = backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Zone: "b", Slots: 8}
		ids   = func() []string {
			var list []string
			for _, s := range d.Usable("s") {
				list = append(list, s.ID)
			}
			return list
		}
	)
	BeforeEach(func() {
		d = backend.NewDirectory(func(backend.Server, string) {})
		d.Replace(start, []backend.Server{one, two}, 0)
	})

	It("drops at once what a list lacks, or what drains", func() {
		d.Replace(start, []backend.Server{two}, 0)
		Expect(ids()).To(Equal([]string{"i-2"}))
		leaving := two
		leaving.Draining = true
		d.Put(leaving)
		Expect(ids()).To(BeEmpty())
		Expect(d.Usable("s")).NotTo(ContainElement(two))
	})

	It("keeps for a grace time what an outage took, and no longer", func() {
		d.Replace(start, nil, grace)
		Expect(ids()).To(Equal([]string{"i-1", "i-2"}))
		d.Put(two)
		d.Expire(start.Add(grace - time.Millisecond))
		Expect(ids()).To(HaveLen(2))
		d.Expire(start.Add(grace))
		Expect(ids()).To(Equal([]string{"i-2"}))
	})

	It("keeps one whose removal comes while the store settles, but not one that drains", func() {
		d.Remove(start, "i-1", grace)
		Expect(ids()).To(HaveLen(2))
		leaving := two
		leaving.Draining = true
		d.Put(leaving)
		d.Remove(start, "i-2", grace)
		Expect(d.Len()).To(Equal(1))
		d.Remove(start, "i-1", 0)
		Expect(d.Len()).To(BeZero())
	})

	It("takes another birth or address as another server", func() {
		again := one
		again.Born = 2
		d.Put(again)
		Expect(d.Usable("s")).NotTo(ContainElement(one))
		Expect(d.Usable("s")).To(ContainElement(again))
	})

	It("leaves out a server at whose address another answers, until its entry changes", func() {
		d.MarkMisdirected(one)
		Expect(ids()).To(Equal([]string{"i-2"}))
		d.Put(one)
		Expect(ids()).To(Equal([]string{"i-2"}))
		moved := one
		moved.Address = "10.0.0.9:1"
		d.Put(moved)
		Expect(ids()).To(Equal([]string{"i-1", "i-2"}))
	})
})
