package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// The engine of these runs takes one step of manual time for each token of
// all requests that it runs; a request needs its prefill in steps and then
// one step a token.
const (
	engineStep  = 20 * time.Millisecond
	engineSlots = 16
	prefill     = 2
	seed        = 7
)

// work is one request in the run.
type work struct {
	entry queue.Entry
	// left is the tokens to come, warm the steps of prefill to come.
	left, warm int
	offered    int
	begun      int
	yielding   bool
}

// engine runs one policy step by step.
type engineRun struct {
	policy  queue.Policy
	step    int
	serial  queue.ID
	works   map[queue.ID]*work
	running []queue.ID
	// steps that a slot gave to each urgency, and what a restart repeated.
	onlineSteps, batchSteps, repeated int
	// goodput, late, refused count online requests by weight.
	goodput, late, refused, offered map[int]int
	// goodSteps is the steps that requests which ended in time took.
	goodSteps int
	// inversions counts refusals for want of room while a lower weight waited.
	inversions int
	// leaveSteps is the longest time from an online arrival until no batch
	// that may yield held a slot that it needed.
	leaveSteps int
	waits      []int
	yields     int
}

func newEngineRun(p queue.Policy) *engineRun {
	return &engineRun{
		policy: p, works: map[queue.ID]*work{}, goodput: map[int]int{}, late: map[int]int{}, refused: map[int]int{}, offered: map[int]int{},
	}
}

func (r *engineRun) now() time.Time { return epoch.Add(time.Duration(r.step) * engineStep) }

func (r *engineRun) offer(e queue.Entry, tokens int) {
	r.serial++
	e.ID = r.serial
	e.Arrived = r.now()
	r.works[e.ID] = &work{entry: e, left: tokens, warm: prefill, offered: r.step, begun: -1}
	if e.Urgency == request.Online {
		r.offered[e.Weight]++
	}
	r.apply(r.policy.Offer(r.now(), e))
}

func (r *engineRun) apply(actions []queue.Action) {
	for _, a := range actions {
		w := r.works[a.ID]
		switch a.Kind {
		case queue.Start:
			w.begun = r.step
			r.running = append(r.running, a.ID)
			if w.entry.Urgency == request.Online {
				r.waits = append(r.waits, r.step-w.offered)
			}
		case queue.Preempt:
			w.yielding = true
			r.yields++
		case queue.Refuse:
			if a.Err.Code() == result.Overloaded {
				r.countInversion(w.entry)
			}
			if w.entry.Urgency == request.Online {
				r.refused[w.entry.Weight]++
			}
			delete(r.works, a.ID)
		}
	}
}

func (r *engineRun) countInversion(e queue.Entry) {
	for _, w := range r.works {
		if w.begun < 0 && w.entry.Urgency == e.Urgency && w.entry.Weight < e.Weight {
			r.inversions++
			return
		}
	}
}

// advance runs one step of the engine.
func (r *engineRun) advance() {
	r.measureLeaving()
	ran := r.running
	r.running = nil
	var ended []*work
	for _, id := range ran {
		w := r.works[id]
		if w.yielding {
			ended = append(ended, w)
			continue
		}
		r.count(w)
		if w.warm > 0 {
			w.warm--
		} else {
			w.left--
			r.policy.Progress(id, 1)
		}
		if w.left == 0 {
			ended = append(ended, w)
			continue
		}
		r.running = append(r.running, id)
	}
	r.step++
	for _, w := range ended {
		r.end(w)
	}
	r.apply(r.policy.Tick(r.now()))
}

func (r *engineRun) count(w *work) {
	if w.entry.Urgency == request.Online {
		r.onlineSteps++
		return
	}
	r.batchSteps++
	if w.warm > 0 && w.entry.Preemptions > 0 {
		r.repeated++
	}
}

// measureLeaving notes how long online waits beside batch.
func (r *engineRun) measureLeaving() {
	batch := false
	for _, id := range r.running {
		w := r.works[id]
		batch = batch || (w.entry.Urgency == request.Batch && !w.yielding)
	}
	for _, w := range r.works {
		if batch && w.begun < 0 && w.entry.Urgency == request.Online {
			r.leaveSteps = max(r.leaveSteps, r.step-w.offered+1)
		}
	}
}

func (r *engineRun) end(w *work) {
	id := w.entry.ID
	delete(r.works, id)
	r.apply(r.policy.Finished(r.now(), id))
	if w.left > 0 {
		r.resume(w)
		return
	}
	if w.entry.Urgency != request.Online {
		return
	}
	if !w.entry.Deadline.IsZero() && r.now().After(w.entry.Deadline) {
		r.late[w.entry.Weight]++
		return
	}
	r.goodput[w.entry.Weight]++
	r.goodSteps += r.step - w.begun
}

// resume offers a yielded entry again with what it has produced.
func (r *engineRun) resume(w *work) {
	r.serial++
	e := w.entry
	e.ID = r.serial
	e.Preemptions++
	r.works[e.ID] = &work{entry: e, left: w.left, warm: prefill, offered: r.step, begun: -1}
	r.apply(r.policy.Offer(r.now(), e))
}

const (
	overloadSteps = 20_000
	onlineTokens  = 18
)

var weights = []int{1, 50, 100}

// tokens returns the length of an online answer, onlineTokens on average.
func tokens(random *rand.Rand) int { return onlineTokens/2 + random.IntN(onlineTokens+1) }

// overload offers online requests at a multiple of the capacity.
func overload(p queue.Policy, factor float64) *engineRun {
	r := newEngineRun(p)
	random := rand.New(rand.NewPCG(seed, 0))
	perStep := factor * engineSlots / (prefill + onlineTokens)
	owed := 0.0
	for range overloadSteps {
		for owed += perStep * 2 * random.Float64(); owed >= 1; owed-- {
			e := queue.Entry{
				Organisation: fmt.Sprint("organisation", random.IntN(5)), Share: 1, Weight: weights[random.IntN(len(weights))],
				Deadline: r.now().Add(2 * time.Second),
			}
			r.offer(e, tokens(random))
		}
		r.advance()
	}
	return r
}

// bursts keeps batch waiting and offers online requests in bursts of a second
// that leave seconds idle between them.
func bursts(p queue.Policy) *engineRun {
	r := newEngineRun(p)
	random, items := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	const steps, burst = 20_000, 50
	next := 100
	for i := range steps {
		for r.policy.Counts().BatchWaiting < engineSlots {
			r.offer(queue.Entry{
				Organisation: fmt.Sprint("organisation", items.IntN(5)), Share: 1, Weight: 1000, Urgency: request.Batch,
				PromptTokens: 20, Due: r.now().Add(time.Hour),
			}, 100)
		}
		if i >= next && i < next+burst {
			for range random.IntN(3) {
				r.offer(queue.Entry{Organisation: "agency", Share: 1, Weight: 50}, tokens(random))
			}
		}
		if i == next+burst {
			next = i + 50 + random.IntN(200)
		}
		r.advance()
	}
	return r
}

// batchShare is the part of the slots that online left which batch used to
// make progress.
func (r *engineRun) batchShare() float64 {
	return float64(r.batchSteps-r.repeated) / float64(r.step*engineSlots-r.onlineSteps)
}

// capacityShare is the part of all slots that ran requests that ended in time.
func (r *engineRun) capacityShare() float64 {
	return float64(r.goodSteps) / float64(r.step*engineSlots)
}

func (r *engineRun) slowest() int {
	longest := 0
	for _, wait := range r.waits {
		longest = max(longest, wait)
	}
	return longest
}

var _ = Describe("Urgent under load", func() {
	It("turns 98% of the capacity into answers in time at twice the load, highest weights first", func() {
		r := overload(queue.NewPriorityPolicy(engineSlots, 64), 2)
		Expect(r.capacityShare()).To(BeNumerically(">=", 0.98))
		Expect(r.inversions).To(BeZero())
		Expect(float64(r.goodput[100])).To(BeNumerically(">=", 0.99*float64(r.offered[100])))
	})

	It("gives batch 95% of what bursts leave and takes it back within a step", func() {
		r := bursts(queue.NewPriorityPolicy(engineSlots, 1000))
		Expect(r.batchShare()).To(BeNumerically(">=", 0.95))
		Expect(r.leaveSteps).To(BeNumerically("<=", 1))
	})
})

func both(limit int) map[string]queue.Policy {
	return map[string]queue.Policy{"urgent": queue.NewPriorityPolicy(engineSlots, limit), "naive": queue.NewFIFO(engineSlots, limit)}
}

// BenchmarkOverload reports what becomes of twice the load under each policy.
func BenchmarkOverload(b *testing.B) {
	for _, name := range []string{"urgent", "naive"} {
		b.Run(name, func(b *testing.B) {
			var r *engineRun
			for b.Loop() {
				r = overload(both(64)[name], 2)
			}
			b.ReportMetric(100*r.capacityShare(), "%goodput")
			b.ReportMetric(float64(r.inversions), "inversions")
			for _, weight := range weights {
				b.ReportMetric(100*float64(r.goodput[weight])/float64(r.offered[weight]), fmt.Sprintf("%%weight%d", weight))
			}
		})
	}
}

// BenchmarkBursts reports batch beside bursty online load under each policy.
func BenchmarkBursts(b *testing.B) {
	for _, name := range []string{"urgent", "naive"} {
		b.Run(name, func(b *testing.B) {
			var r *engineRun
			for b.Loop() {
				r = bursts(both(1000)[name])
			}
			b.ReportMetric(100*r.batchShare(), "%idle-used")
			b.ReportMetric(float64(r.leaveSteps), "steps-to-leave")
			b.ReportMetric(float64(r.slowest()), "longest-wait-steps")
			b.ReportMetric(float64(r.yields), "yields")
		})
	}
}
