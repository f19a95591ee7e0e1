package origin_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/origin"
)

var (
	v1 = origin.Stream{Service: "s", Software: "v1"}
	v2 = origin.Stream{Service: "s", Software: "v2"}
)

// fleetClock is the time of a test, by a host's timer and as the time of day.
type fleetClock struct{ now time.Time }

func (c *fleetClock) pass(d time.Duration) { c.now = c.now.Add(d) }

// begin keeps a stream for as long as a caller with a deadline of 5 s waits.
func (c *fleetClock) begin(t *origin.Table, id string, s origin.Stream) {
	t.Begin(c.now, []string{id}, s, c.now.Add(5*time.Second))
}

// share passes the record that a table has to write, if any, to others.
func (c *fleetClock) share(from *origin.Table, to ...*origin.Table) origin.Action {
	GinkgoHelper()
	r, action := from.NextRecord(c.now, c.now)
	if action != origin.Write {
		return action
	}
	text, err := r.Encode()
	Expect(err).NotTo(HaveOccurred())
	read, err := origin.DecodeRecord(text)
	Expect(err).NotTo(HaveOccurred())
	for _, t := range to {
		t.Merge(c.now, c.now, []origin.Record{read}, origin.Record{})
	}
	return action
}

var _ = Describe("a table of origins", func() {
	var clock *fleetClock
	var a, b *origin.Table
	find := func(t *origin.Table, calls ...string) (origin.Stream, origin.Knowledge) {
		return t.Find(clock.now, calls, "s", true)
	}
	BeforeEach(func() {
		clock = &fleetClock{now: time.Unix(1e9, 0)}
		a, b = origin.NewTable(clock.now), origin.NewTable(clock.now)
		for _, t := range []*origin.Table{a, b} {
			t.Observe(clock.now, "s", []string{"v1"})
		}
		clock.pass(time.Minute)
	})

	It("infers the one version for a stream that it does not know, and writes nothing", func() {
		clock.begin(a, "x", v1)
		Expect(clock.share(a)).To(Equal(origin.Leave))
		s, known := find(b, "x")
		Expect(known).To(Equal(origin.Inferred))
		Expect(s).To(Equal(v1))
	})

	It("records streams that began before a second version came", func() {
		clock.begin(a, "x", v1)
		a.Observe(clock.now, "s", []string{"v1", "v2"})
		Expect(clock.share(a, b)).To(Equal(origin.Write))
		s, known := find(b, "x")
		Expect(known).To(Equal(origin.Known))
		Expect(s).To(Equal(v1))
	})

	DescribeTable("knows no version where one may be wrong",
		func(prepare func(), calls ...string) {
			prepare()
			_, known := find(b, calls...)
			Expect(known).To(Equal(origin.Unknown))
		},
		Entry("two versions are in service", func() { b.Observe(clock.now, "s", []string{"v1", "v2"}) }, "x"),
		Entry("there were two just now", func() {
			b.Observe(clock.now, "s", []string{"v1", "v2"})
			clock.pass(9 * time.Second)
			b.Observe(clock.now, "s", []string{"v2"})
		}, "x"),
		Entry("one replaced the other at once", func() { b.Observe(clock.now, "s", []string{"v2"}) }, "x"),
		Entry("another host saw two just now", func() {
			a.Observe(clock.now, "s", []string{"v1", "v2"})
			clock.share(a, b)
		}, "x"),
		Entry("the host has just started", func() {
			b = origin.NewTable(clock.now)
			b.Observe(clock.now, "s", []string{"v1"})
		}, "x"),
		Entry("no server is known", func() { b = origin.NewTable(clock.now.Add(-time.Minute)) }, "x"),
		Entry("the servers do not name their version", func() {
			b = origin.NewTable(clock.now.Add(-time.Minute))
			b.Observe(clock.now, "s", []string{""})
		}, "x"),
		Entry("a caller names streams of two versions", func() {
			clock.begin(b, "x", v1)
			clock.begin(b, "y", v2)
		}, "x", "y"),
		Entry("a caller names a stream and one that never was", func() { clock.begin(b, "x", v1) }, "x", "never"),
		Entry("a caller names none while two versions are in service", func() { b.Observe(clock.now, "s", []string{"v1", "v2"}) }),
	)

	It("infers nothing from a list of servers that is out of date", func() {
		_, known := b.Find(clock.now, []string{"x"}, "s", false)
		Expect(known).To(Equal(origin.Unknown))
	})

	It("keeps a stream for as long as its caller may take it up, also under the ID of a later call", func() {
		a.Observe(clock.now, "s", []string{"v1", "v2"})
		clock.begin(a, "x", v1)
		clock.pass(4 * time.Second)
		a.Begin(clock.now, []string{"y", "x"}, v1, clock.now.Add(5*time.Second))
		clock.pass(4 * time.Second)
		clock.share(a, b)
		for _, id := range []string{"x", "y"} {
			_, known := find(b, id)
			Expect(known).To(Equal(origin.Known), id)
		}
		clock.pass(2 * time.Second)
		a.NextRecord(clock.now, clock.now)
		_, known := find(a, "x")
		Expect(known).To(Equal(origin.Unknown))
	})

	It("stops recording and infers again once no stream of the old version can be taken up", func() {
		a.Observe(clock.now, "s", []string{"v1", "v2"})
		Expect(clock.share(a, b)).To(Equal(origin.Write))
		a.Observe(clock.now, "s", []string{"v2"})
		clock.pass(11 * time.Second)
		Expect(clock.share(a)).To(Equal(origin.Delete))
		Expect(clock.share(a)).To(Equal(origin.Leave))
		s, known := find(a, "x")
		Expect(known).To(Equal(origin.Inferred))
		Expect(s).To(Equal(v2))
	})

	It("takes over the record of the host's earlier run, and does so once", func() {
		a.Observe(clock.now, "s", []string{"v1", "v2"})
		clock.begin(a, "x", v1)
		old, _ := a.NextRecord(clock.now, clock.now)
		clock.pass(3 * time.Second)
		a = origin.NewTable(clock.now)
		a.Observe(clock.now, "s", []string{"v2"})
		_, known := find(a, "y")
		Expect(known).To(Equal(origin.Unknown))
		a.Merge(clock.now, clock.now, []origin.Record{old}, old)
		_, known = find(a, "y")
		Expect(known).To(Equal(origin.Unknown), "two versions were in service 3 s ago")
		Expect(clock.share(a, b)).To(Equal(origin.Write))
		s, known := find(b, "x")
		Expect(known).To(Equal(origin.Known))
		Expect(s).To(Equal(v1))
		clock.pass(11 * time.Second)
		a.Merge(clock.now, clock.now, nil, origin.Record{})
		_, known = find(a, "z")
		Expect(known).To(Equal(origin.Inferred))
	})

	It("remembers after its start for as long as the callers of other hosts may take streams up", func() {
		a.Begin(clock.now, []string{"x"}, v1, clock.now.Add(40*time.Second))
		a.Observe(clock.now, "s", []string{"v1", "v2"})
		old, _ := a.NextRecord(clock.now, clock.now)
		clock.pass(30 * time.Second)
		b = origin.NewTable(clock.now)
		b.Observe(clock.now, "s", []string{"v2"})
		b.Merge(clock.now, clock.now, []origin.Record{old}, origin.Record{})
		_, known := find(b, "y")
		Expect(known).To(Equal(origin.Unknown))
	})

	It("knows no version for a call that two hosts record differently", func() {
		records := make([]origin.Record, 2)
		for i, s := range []origin.Stream{v1, v2} {
			host := origin.NewTable(clock.now)
			host.Observe(clock.now, "s", []string{"v1", "v2"})
			clock.begin(host, "x", s)
			records[i], _ = host.NextRecord(clock.now, clock.now)
		}
		b.Merge(clock.now, clock.now, records, origin.Record{})
		_, known := find(b, "x")
		Expect(known).To(Equal(origin.Unknown))
	})

	It("infers the one version right after its start once no record shows another", func() {
		a = origin.NewTable(clock.now)
		a.Observe(clock.now, "s", []string{"v1"})
		a.Merge(clock.now, clock.now, nil, origin.Record{})
		s, known := find(a, "x")
		Expect(known).To(Equal(origin.Inferred))
		Expect(s).To(Equal(v1))
	})

	It("writes again after a failed write", func() {
		a.Observe(clock.now, "s", []string{"v1", "v2"})
		Expect(clock.share(a)).To(Equal(origin.Write))
		Expect(clock.share(a)).To(Equal(origin.Leave))
		a.Failed()
		Expect(clock.share(a)).To(Equal(origin.Write))
	})

	It("is bounded, in memory and in its record, however many streams callers begin, and drops the oldest", func() {
		a.Observe(clock.now, "s", []string{"v1", "v2"})
		for i := range 20000 {
			a.Begin(clock.now, []string{fmt.Sprint("x-", i)}, v1, clock.now.Add(time.Hour))
		}
		_, known := find(a, "x-0")
		Expect(known).To(Equal(origin.Unknown))
		r, _ := a.NextRecord(clock.now, clock.now)
		Expect(r.Streams[0].Calls).To(HaveLen(1024))
		Expect(r.Streams[0].Calls).To(ContainElement("x-19999"))
		clock.pass(61 * time.Second)
		a.NextRecord(clock.now, clock.now)
		_, known = find(a, "x-19999")
		Expect(known).To(Equal(origin.Unknown))
	})
})
