package priority_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/priority"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestSpecs(t *testing.T) { specs.Run(t, "priority") }

var start = time.Unix(1000, 0)

const (
	eventTime     = 20 * time.Millisecond
	eventsPerItem = 240
	dueAfter      = 18 * time.Second
)

type simulatedItem struct {
	due         time.Time
	produced    int64
	ended       time.Time
	running     bool
	accepted    time.Time
	key         string
	preemptions int
}

func (s *simulatedItem) item(estimator *priority.DurationEstimator, now time.Time) priority.Item {
	return priority.Item{Slack: estimator.Slack(now, s.due, s.produced), Events: s.produced, Accepted: s.accepted, Key: s.key}
}

// simulate runs items for a minute on slots that a recurring surge takes away:
// 24 slots for three seconds, 6 for the next two. It starts items in startOrder
// and preempts them in preemptOrder, and returns how many of the items due by the
// end were on time.
func simulate(itemsPerSecond float64, startOrder, preemptOrder func(a, b priority.Item) int) (onTime, total int) {
	rng := rand.New(rand.NewPCG(1, 2))
	var estimator priority.DurationEstimator
	estimator.Observe(eventsPerItem, eventsPerItem, eventsPerItem*eventTime)
	var items []*simulatedItem
	for step := range 3000 {
		now := start.Add(time.Duration(step) * eventTime)
		if rng.Float64() < itemsPerSecond*eventTime.Seconds()/10 {
			for i := range 10 {
				items = append(items, &simulatedItem{due: now.Add(dueAfter), accepted: now, key: fmt.Sprint(step, "-", i)})
			}
		}
		slots := 24
		if now.Sub(start)%(5*time.Second) > 3*time.Second {
			slots = 6
		}
		var running, waiting []*simulatedItem
		for _, s := range items {
			switch {
			case !s.ended.IsZero():
			case s.running:
				running = append(running, s)
			default:
				waiting = append(waiting, s)
			}
		}
		slices.SortFunc(running, func(a, b *simulatedItem) int { return preemptOrder(a.item(&estimator, now), b.item(&estimator, now)) })
		for len(running) > slots {
			running[0].running = false
			running[0].preemptions++
			running = running[1:]
		}
		slices.SortFunc(waiting, func(a, b *simulatedItem) int { return startOrder(a.item(&estimator, now), b.item(&estimator, now)) })
		for len(running) < slots && len(waiting) > 0 {
			waiting[0].running = true
			running, waiting = append(running, waiting[0]), waiting[1:]
		}
		for _, s := range running {
			if s.produced++; s.produced == eventsPerItem {
				s.running, s.ended = false, now
			}
		}
	}
	end := start.Add(time.Minute)
	for _, s := range items {
		if s.due.Add(priority.DueGrace).After(end) {
			continue
		}
		total++
		if !s.ended.IsZero() && !s.ended.After(s.due.Add(priority.DueGrace)) {
			onTime++
		}
	}
	return onTime, total
}

// oldestFirst is the start order of first in, first out, and newestFirst the
// matching preemption order.
func oldestFirst(a, b priority.Item) int { return a.Accepted.Compare(b.Accepted) }
func newestFirst(a, b priority.Item) int { return b.Accepted.Compare(a.Accepted) }

var _ = Describe("the order by slack", func() {
	It("completes more items on time than first in, first out under overload", func() {
		for _, itemsPerSecond := range []float64{3, 5, 8} {
			bySlack, total := simulate(itemsPerSecond, priority.CompareStart, priority.ComparePreemption)
			fifo, _ := simulate(itemsPerSecond, oldestFirst, newestFirst)
			GinkgoWriter.Printf("%.0f items/s: %d due, on time: %d by slack, %d first in first out\n", itemsPerSecond, total, bySlack, fifo)
			Expect(bySlack).To(BeNumerically(">=", fifo))
		}
		bySlack, _ := simulate(8, priority.CompareStart, priority.ComparePreemption)
		fifo, _ := simulate(8, oldestFirst, newestFirst)
		Expect(bySlack).To(BeNumerically(">", fifo))
	})

	It("completes all items on time when there are enough slots", func() {
		bySlack, total := simulate(2, priority.CompareStart, priority.ComparePreemption)
		Expect(bySlack).To(Equal(total))
	})

	DescribeTable("CompareStart", func(first, second priority.Item) {
		Expect(priority.CompareStart(first, second)).To(BeNumerically("<", 0))
		Expect(priority.CompareStart(second, first)).To(BeNumerically(">", 0))
	},
		Entry("less slack first", priority.Item{Slack: time.Second}, priority.Item{Slack: time.Minute}),
		Entry("late items last", priority.Item{Slack: time.Minute}, priority.Item{Slack: -1}),
		Entry("among late items, most events first", priority.Item{Slack: -9, Events: 9}, priority.Item{Slack: -1, Events: 1}),
	)

	DescribeTable("ComparePreemption", func(first, second priority.Item) {
		Expect(priority.ComparePreemption(first, second)).To(BeNumerically("<", 0))
		Expect(priority.ComparePreemption(second, first)).To(BeNumerically(">", 0))
	},
		Entry("late items first", priority.Item{Slack: -1, Events: 9}, priority.Item{Slack: time.Minute}),
		Entry("more slack first", priority.Item{Slack: time.Minute}, priority.Item{Slack: time.Second}),
		Entry("among late items, fewest events first", priority.Item{Slack: -1, Events: 1}, priority.Item{Slack: -9, Events: 9}),
	)
})
