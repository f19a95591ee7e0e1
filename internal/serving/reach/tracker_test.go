package reach_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/reach"
)

var start = time.Unix(1000, 0)

// observe applies results 10 ms apart: "a" is a connection to server a that
// failed, "+a" one that was opened, "?a" a probe of it that failed. It returns the
// time after them.
func observe(t *reach.Tracker, now time.Time, results string) time.Time {
	for _, text := range strings.Fields(results) {
		server, connected := strings.CutPrefix(text, "+")
		if probed, probe := strings.CutPrefix(server, "?"); probe {
			t.ObserveProbe(now, probed, connected)
		} else {
			t.Observe(now, server, connected)
		}
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
		Entry("two servers dead", 9, "a b a b a b ?c ?d +e", false),
		Entry("all near servers dead, however many", 9, "a b c d e f g", false),
		Entry("all near servers dead, and one of the probed ones reached", 9, "a b c d ?e ?a ?f ?b +g", false),
		Entry("one service dead while others are reached", 9, "a b +x c a +x b c", false),
		Entry("two servers and five probed ones", 9, "+x a b ?c ?d ?e ?f ?g", true),
		Entry("the same servers, probed", 9, "a b c d e ?a ?b ?c ?d ?e", true),
		Entry("four probed ones", 9, "a b ?c ?d ?e ?f ?c", false),
		Entry("one reached between", 9, "a b ?c ?d ?e +f ?f ?g", false),
		Entry("one reached again", 9, "a b ?c ?d ?e ?f ?g +d", false),
		Entry("cut off again after that", 9, "a b ?c ?d ?e ?f ?g +d a b ?c ?d ?e ?f ?g", true),
		Entry("both of two servers", 2, "a b ?a ?b", true),
		Entry("one of two servers", 2, "a a ?a", false),
		Entry("the only server", 1, "a ?a", true),
		Entry("none listed any more", 0, "a ?a", true),
	)

	It("doesn't add up failures that are far apart", func() {
		t := reach.NewTracker()
		for i, server := range []string{"a", "b", "c", "d", "e", "f"} {
			t.Observe(start.Add(time.Duration(i)*time.Minute), server, false)
			t.ObserveProbe(start.Add(time.Duration(i)*time.Minute), server, false)
		}
		Expect(t.CutOff()).To(BeFalse())
	})

	It("stays cut off until a server is reached, however rarely it is tried", func() {
		t := reach.NewTracker()
		observe(t, start, "a b ?c ?d ?e ?f ?g")
		t.Observe(start.Add(time.Hour), "a", false)
		Expect(t.CutOff()).To(BeTrue())
	})

	It("reports each change once and keeps its evidence", func() {
		t := reach.NewTracker()
		t.SetServers(3)
		Expect(t.Observe(start, "x", true)).To(BeFalse())
		Expect(t.Observe(start.Add(time.Second), "a", false)).To(BeFalse())
		Expect(t.ObserveProbe(start.Add(time.Second), "a", false)).To(BeFalse())
		Expect(t.ObserveProbe(start.Add(time.Second), "b", false)).To(BeFalse())
		Expect(t.ObserveProbe(start.Add(2*time.Second), "c", false)).To(BeTrue())
		Expect(t.Observe(start.Add(3*time.Second), "d", false)).To(BeFalse())
		Expect(t.State()).To(Equal(reach.State{CutOff: true, Since: start.Add(2 * time.Second), Failed: 4, LastConnected: start}))
		Expect(t.Observe(start.Add(4*time.Second), "a", true)).To(BeTrue())
		Expect(t.State()).To(Equal(reach.State{LastConnected: start.Add(4 * time.Second)}))
		Expect(t.LastConnected()).To(Equal(start.Add(4 * time.Second)))
	})

	It("probes five servers at once as soon as two couldn't be reached, and again after 500 ms", func() {
		t := reach.NewTracker()
		now := observe(t, start, "a")
		Expect(t.Probe(now, 9, 3)).To(BeEmpty())
		now = observe(t, now, "b")
		Expect(t.ProbeDue(now)).To(BeTrue())
		picked := t.Probe(now, 9, 3)
		Expect(picked).To(HaveLen(5))
		slices.Sort(picked)
		Expect(slices.Compact(picked)).To(HaveLen(5))
		Expect(t.ProbeDue(now.Add(490 * time.Millisecond))).To(BeFalse())
		Expect(t.Probe(now.Add(490*time.Millisecond), 9, 3)).To(BeEmpty())
		Expect(t.Probe(now.Add(500*time.Millisecond), 4, 3)).To(HaveLen(4))
	})

	It("probes a varying server about every 200 ms while cut off, and only then", func() {
		t := reach.NewTracker()
		now := observe(t, start, "a b ?c ?d ?e ?f ?g")
		probed, count := make(map[int]bool), 0
		for range 100 {
			for _, i := range t.Probe(now, 5, 3) {
				probed[i] = true
				count++
			}
			now = now.Add(10 * time.Millisecond)
		}
		Expect(count).To(Equal(5))
		Expect(probed).To(HaveLen(5))
		Expect(t.Probe(now, 0, 3)).To(BeEmpty())
		now = observe(t, now, "+a")
		Expect(t.ProbeDue(now.Add(time.Second))).To(BeFalse())
		Expect(t.Probe(now.Add(time.Second), 5, 3)).To(BeEmpty())
	})
})
