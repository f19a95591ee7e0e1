package reach_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/reach"
)

var start = time.Unix(1000, 0)

// observe applies results 10 ms apart: "a" is a connection to server a that
// failed, "+a" one that was opened. It returns the time after them.
func observe(t *reach.Tracker, now time.Time, results string) time.Time {
	for _, text := range strings.Fields(results) {
		server, connected := strings.CutPrefix(text, "+")
		t.Observe(now, server, connected)
		now = now.Add(10 * time.Millisecond)
	}
	return now
}

var _ = Describe("a tracker of reached servers", func() {
	DescribeTable("decides whether the host is cut off", func(servers int, results string, cutOff bool) {
		t := reach.NewTracker()
		t.SetServers(servers)
		observe(t, start, results)
		Expect(t.CutOff()).To(Equal(cutOff))
	},
		Entry("nothing known", 9, "", false),
		Entry("one server dead", 9, "a a a a a a", false),
		Entry("two servers dead", 9, "a b a b a b", false),
		Entry("one service dead while others are reached", 9, "a b +x c a +x b c", false),
		Entry("three servers, none since", 9, "+x a b c", true),
		Entry("three servers from the start", 9, "a b c", true),
		Entry("one reached again", 9, "a b c d +d", false),
		Entry("cut off again after that", 9, "a b c +d a b c", true),
		Entry("too few failures after that", 9, "a b c +d a b", false),
		Entry("both of two servers", 2, "a b", true),
		Entry("one of two servers", 2, "a a", false),
		Entry("the only server", 1, "a", true),
		Entry("none listed any more", 0, "a", true),
	)

	It("doesn't add up failures that are far apart", func() {
		t := reach.NewTracker()
		for i, server := range []string{"a", "b", "c", "d"} {
			t.Observe(start.Add(time.Duration(i)*time.Minute), server, false)
		}
		Expect(t.CutOff()).To(BeFalse())
	})

	It("stays cut off until a server is reached, however rarely it is tried", func() {
		t := reach.NewTracker()
		observe(t, start, "a b c")
		t.Observe(start.Add(time.Hour), "a", false)
		Expect(t.CutOff()).To(BeTrue())
	})

	It("reports each change once and keeps its evidence", func() {
		t := reach.NewTracker()
		Expect(t.Observe(start, "x", true)).To(BeFalse())
		Expect(t.Observe(start.Add(time.Second), "a", false)).To(BeFalse())
		Expect(t.Observe(start.Add(time.Second), "b", false)).To(BeFalse())
		Expect(t.Observe(start.Add(2*time.Second), "c", false)).To(BeTrue())
		Expect(t.Observe(start.Add(3*time.Second), "d", false)).To(BeFalse())
		Expect(t.State()).To(Equal(reach.State{CutOff: true, Since: start.Add(2 * time.Second), Failed: 4, LastConnected: start}))
		Expect(t.Observe(start.Add(4*time.Second), "a", true)).To(BeTrue())
		Expect(t.State()).To(Equal(reach.State{LastConnected: start.Add(4 * time.Second)}))
		Expect(t.LastConnected()).To(Equal(start.Add(4 * time.Second)))
	})

	It("probes a varying server about every 200 ms while cut off, and only then", func() {
		t := reach.NewTracker()
		now := observe(t, start, "a b")
		_, due := t.Probe(now, 5, 3)
		Expect(due).To(BeFalse())
		now = observe(t, now, "c")
		probed, count := make(map[int]bool), 0
		for range 100 {
			if i, due := t.Probe(now, 5, 3); due {
				probed[i] = true
				count++
			}
			now = now.Add(10 * time.Millisecond)
		}
		Expect(count).To(Equal(6))
		Expect(probed).To(HaveLen(5))
		_, due = t.Probe(now, 0, 3)
		Expect(due).To(BeFalse())
		now = observe(t, now, "+a")
		_, due = t.Probe(now.Add(time.Second), 5, 3)
		Expect(due).To(BeFalse())
	})
})
