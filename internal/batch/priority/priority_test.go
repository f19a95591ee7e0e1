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

func TestSpecs(t *testing.T) { specs.Run(t, "turn") }

var start = time.Unix(1000, 0)

const (
	each     = 20 * time.Millisecond
	events   = 240
	dueAfter = 18 * time.Second
)

type work struct {
	due       time.Time
	produced  int64
	ended     time.Time
	running   bool
	accepted  time.Time
	key       string
	timesLeft int
}

func (w *work) item(p *priority.DurationEstimator, now time.Time) priority.Item {
	return priority.Item{Slack: p.Slack(now, w.due, w.produced), Events: w.produced, Accepted: w.accepted, Key: w.key}
}

// play runs items for a minute on slots that a surge takes away: 24 for three
// seconds, 6 for the next two. It returns how many of the items that were due
// by the end were in time. order tells who goes next and leaves who leaves.
func play(perSecond float64, order, leaves func(a, b priority.Item) int) (inTime, all int) {
	rng := rand.New(rand.NewPCG(1, 2))
	var p priority.DurationEstimator
	p.Observe(events, events, events*each)
	var list []*work
	for step := range 3000 {
		now := start.Add(time.Duration(step) * each)
		if rng.Float64() < perSecond*each.Seconds()/10 {
			for i := range 10 {
				list = append(list, &work{due: now.Add(dueAfter), accepted: now, key: fmt.Sprint(step, "-", i)})
			}
		}
		slots := 24
		if now.Sub(start)%(5*time.Second) > 3*time.Second {
			slots = 6
		}
		var running, waiting []*work
		for _, w := range list {
			switch {
			case !w.ended.IsZero():
			case w.running:
				running = append(running, w)
			default:
				waiting = append(waiting, w)
			}
		}
		slices.SortFunc(running, func(a, b *work) int { return leaves(a.item(&p, now), b.item(&p, now)) })
		for len(running) > slots {
			running[0].running = false
			running[0].timesLeft++
			running = running[1:]
		}
		slices.SortFunc(waiting, func(a, b *work) int { return order(a.item(&p, now), b.item(&p, now)) })
		for len(running) < slots && len(waiting) > 0 {
			waiting[0].running = true
			running, waiting = append(running, waiting[0]), waiting[1:]
		}
		for _, w := range running {
			if w.produced++; w.produced == events {
				w.running, w.ended = false, now
			}
		}
	}
	end := start.Add(time.Minute)
	for _, w := range list {
		if w.due.Add(priority.DueGrace).After(end) {
			continue
		}
		all++
		if !w.ended.IsZero() && !w.ended.After(w.due.Add(priority.DueGrace)) {
			inTime++
		}
	}
	return inTime, all
}

// oldest is first in, first out, and leaves is its reverse.
func oldest(a, b priority.Item) int { return a.Accepted.Compare(b.Accepted) }
func newest(a, b priority.Item) int { return b.Accepted.Compare(a.Accepted) }

var _ = Describe("turns", func() {
	It("bring more items in time than first in, first out when there are too many", func() {
		for _, perSecond := range []float64{3, 5, 8} {
			ours, all := play(perSecond, priority.CompareStart, priority.ComparePreemption)
			naive, _ := play(perSecond, oldest, newest)
			GinkgoWriter.Printf("%.0f items a second: %d due, in time %d, first in first out %d\n", perSecond, all, ours, naive)
			Expect(ours).To(BeNumerically(">=", naive))
		}
		ours, _ := play(8, priority.CompareStart, priority.ComparePreemption)
		naive, _ := play(8, oldest, newest)
		Expect(ours).To(BeNumerically(">", naive))
	})

	It("bring all in time when there is room for all", func() {
		ours, all := play(2, priority.CompareStart, priority.ComparePreemption)
		Expect(ours).To(Equal(all))
	})

	DescribeTable("order items", func(first, second priority.Item) {
		Expect(priority.CompareStart(first, second)).To(BeNumerically("<", 0))
		Expect(priority.CompareStart(second, first)).To(BeNumerically(">", 0))
	},
		Entry("less slack first", priority.Item{Slack: time.Second}, priority.Item{Slack: time.Minute}),
		Entry("late last", priority.Item{Slack: time.Minute}, priority.Item{Slack: -1}),
		Entry("of the late, what has the most", priority.Item{Slack: -9, Events: 9}, priority.Item{Slack: -1, Events: 1}),
	)

	DescribeTable("tell who leaves", func(first, second priority.Item) {
		Expect(priority.ComparePreemption(first, second)).To(BeNumerically("<", 0))
		Expect(priority.ComparePreemption(second, first)).To(BeNumerically(">", 0))
	},
		Entry("late first", priority.Item{Slack: -1, Events: 9}, priority.Item{Slack: time.Minute}),
		Entry("more slack first", priority.Item{Slack: time.Minute}, priority.Item{Slack: time.Second}),
		Entry("of the late, what has the least", priority.Item{Slack: -1, Events: 1}, priority.Item{Slack: -9, Events: 9}),
	)
})
