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

// The simulated engine advances in steps of manual time. A request takes
// prefillSteps steps of prefill and then one step for each token; all running
// requests advance in each step.
const (
	engineStep   = 20 * time.Millisecond
	engineSlots  = 16
	prefillSteps = 2
	seed         = 7
)

// simRequest is one request of the simulation.
type simRequest struct {
	entry queue.Entry
	// tokensLeft counts the tokens, prefillLeft the prefill steps still to
	// come.
	tokensLeft, prefillLeft int
	offered                 int
	startStep               int
	preempted               bool
}

// simulation runs one policy step by step.
type simulation struct {
	policy   queue.Policy
	step     int
	lastID   queue.ID
	requests map[queue.ID]*simRequest
	running  []queue.ID
	// Steps that each urgency ran on slots, and prefill steps repeated after a
	// preemption.
	onlineSteps, batchSteps, repeatedSteps int
	// Counts of online requests by weight.
	goodput, late, refused, offered map[int]int
	// inTimeSteps counts the steps of requests that ended in time.
	inTimeSteps int
	// inversions counts refusals by a full queue while an entry of lower weight
	// waited.
	inversions int
	// preemptSteps is the longest time that an online request waited while a
	// batch entry ran that had not been preempted.
	preemptSteps int
	waits        []int
	preemptions  int
}

func newSimulation(p queue.Policy) *simulation {
	return &simulation{
		policy: p, requests: map[queue.ID]*simRequest{}, goodput: map[int]int{}, late: map[int]int{}, refused: map[int]int{}, offered: map[int]int{},
	}
}

func (r *simulation) now() time.Time { return epoch.Add(time.Duration(r.step) * engineStep) }

func (r *simulation) offer(e queue.Entry, tokens int) {
	r.lastID++
	e.ID = r.lastID
	e.Arrived = r.now()
	r.requests[e.ID] = &simRequest{entry: e, tokensLeft: tokens, prefillLeft: prefillSteps, offered: r.step, startStep: -1}
	if e.Urgency == request.Online {
		r.offered[e.Weight]++
	}
	r.apply(r.policy.Offer(r.now(), e))
}

func (r *simulation) apply(actions []queue.Action) {
	for _, a := range actions {
		w := r.requests[a.ID]
		switch a.Kind {
		case queue.Start:
			w.startStep = r.step
			r.running = append(r.running, a.ID)
			if w.entry.Urgency == request.Online {
				r.waits = append(r.waits, r.step-w.offered)
			}
		case queue.Preempt:
			w.preempted = true
			r.preemptions++
		case queue.Refuse:
			if a.Err.Code() == result.Overloaded {
				r.countInversion(w.entry)
			}
			if w.entry.Urgency == request.Online {
				r.refused[w.entry.Weight]++
			}
			delete(r.requests, a.ID)
		}
	}
}

func (r *simulation) countInversion(e queue.Entry) {
	for _, w := range r.requests {
		if w.startStep < 0 && w.entry.Urgency == e.Urgency && w.entry.Weight < e.Weight {
			r.inversions++
			return
		}
	}
}

// advance runs one step of the engine.
func (r *simulation) advance() {
	r.measurePreemption()
	stepped := r.running
	r.running = nil
	var ended []*simRequest
	for _, id := range stepped {
		w := r.requests[id]
		if w.preempted {
			ended = append(ended, w)
			continue
		}
		r.countStep(w)
		if w.prefillLeft > 0 {
			w.prefillLeft--
		} else {
			w.tokensLeft--
			r.policy.Progress(id, 1)
		}
		if w.tokensLeft == 0 {
			ended = append(ended, w)
			continue
		}
		r.running = append(r.running, id)
	}
	r.step++
	for _, w := range ended {
		r.finish(w)
	}
	r.apply(r.policy.Tick(r.now()))
}

func (r *simulation) countStep(w *simRequest) {
	if w.entry.Urgency == request.Online {
		r.onlineSteps++
		return
	}
	r.batchSteps++
	if w.prefillLeft > 0 && w.entry.Preemptions > 0 {
		r.repeatedSteps++
	}
}

// measurePreemption updates preemptSteps.
func (r *simulation) measurePreemption() {
	batchRuns := false
	for _, id := range r.running {
		w := r.requests[id]
		batchRuns = batchRuns || (w.entry.Urgency == request.Batch && !w.preempted)
	}
	for _, w := range r.requests {
		if batchRuns && w.startStep < 0 && w.entry.Urgency == request.Online {
			r.preemptSteps = max(r.preemptSteps, r.step-w.offered+1)
		}
	}
}

func (r *simulation) finish(w *simRequest) {
	id := w.entry.ID
	delete(r.requests, id)
	r.apply(r.policy.Finished(r.now(), id))
	if w.tokensLeft > 0 {
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
	r.inTimeSteps += r.step - w.startStep
}

// resume offers a preempted entry again with the tokens it still has to
// produce.
func (r *simulation) resume(w *simRequest) {
	r.lastID++
	e := w.entry
	e.ID = r.lastID
	e.Preemptions++
	r.requests[e.ID] = &simRequest{entry: e, tokensLeft: w.tokensLeft, prefillLeft: prefillSteps, offered: r.step, startStep: -1}
	r.apply(r.policy.Offer(r.now(), e))
}

const (
	overloadSteps = 20_000
	onlineTokens  = 18
)

var weights = []int{1, 50, 100}

// answerTokens returns the random length of an online answer, onlineTokens on
// average.
func answerTokens(random *rand.Rand) int { return onlineTokens/2 + random.IntN(onlineTokens+1) }

// simulateOverload offers online requests at a multiple of the capacity.
func simulateOverload(p queue.Policy, factor float64) *simulation {
	r := newSimulation(p)
	random := rand.New(rand.NewPCG(seed, 0))
	perStep := factor * engineSlots / (prefillSteps + onlineTokens)
	arrivals := 0.0
	for range overloadSteps {
		for arrivals += perStep * 2 * random.Float64(); arrivals >= 1; arrivals-- {
			e := queue.Entry{
				Organisation: fmt.Sprint("organisation", random.IntN(5)), Share: 1, Weight: weights[random.IntN(len(weights))],
				Deadline: r.now().Add(2 * time.Second),
			}
			r.offer(e, answerTokens(random))
		}
		r.advance()
	}
	return r
}

// simulateBursts keeps batch entries waiting and offers online requests in
// bursts of one second with idle periods of seconds in between.
func simulateBursts(p queue.Policy) *simulation {
	r := newSimulation(p)
	random, items := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	const steps, burst = 20_000, 50
	burstStart := 100
	for i := range steps {
		for r.policy.Counts().BatchWaiting < engineSlots {
			r.offer(queue.Entry{
				Organisation: fmt.Sprint("organisation", items.IntN(5)), Share: 1, Weight: 1000, Urgency: request.Batch,
				PromptTokens: 20, Due: r.now().Add(time.Hour),
			}, 100)
		}
		if i >= burstStart && i < burstStart+burst {
			for range random.IntN(3) {
				r.offer(queue.Entry{Organisation: "agency", Share: 1, Weight: 50}, answerTokens(random))
			}
		}
		if i == burstStart+burst {
			burstStart = i + 50 + random.IntN(200)
		}
		r.advance()
	}
	return r
}

// batchShare is the fraction of the slots left over by online requests that
// batch entries used to make progress.
func (r *simulation) batchShare() float64 {
	return float64(r.batchSteps-r.repeatedSteps) / float64(r.step*engineSlots-r.onlineSteps)
}

// capacityShare is the fraction of all slots used by requests that ended in
// time.
func (r *simulation) capacityShare() float64 {
	return float64(r.inTimeSteps) / float64(r.step*engineSlots)
}

func (r *simulation) longestWait() int {
	longest := 0
	for _, wait := range r.waits {
		longest = max(longest, wait)
	}
	return longest
}

var _ = Describe("PriorityPolicy under load", func() {
	It("uses 98% of the capacity for answers in time at twice the load, highest weights first", func() {
		r := simulateOverload(queue.NewPriorityPolicy(engineSlots, 64), 2)
		Expect(r.capacityShare()).To(BeNumerically(">=", 0.98))
		Expect(r.inversions).To(BeZero())
		Expect(float64(r.goodput[100])).To(BeNumerically(">=", 0.99*float64(r.offered[100])))
	})

	It("gives batch 95% of the slots that bursts leave idle and preempts it within a step", func() {
		r := simulateBursts(queue.NewPriorityPolicy(engineSlots, 1000))
		Expect(r.batchShare()).To(BeNumerically(">=", 0.95))
		Expect(r.preemptSteps).To(BeNumerically("<=", 1))
	})
})

func policiesWithLimit(limit int) map[string]queue.Policy {
	return map[string]queue.Policy{"urgent": queue.NewPriorityPolicy(engineSlots, limit), "naive": queue.NewFIFO(engineSlots, limit)}
}

// BenchmarkOverload reports goodput and inversions at twice the capacity under
// each policy.
func BenchmarkOverload(b *testing.B) {
	for _, name := range []string{"urgent", "naive"} {
		b.Run(name, func(b *testing.B) {
			var r *simulation
			for b.Loop() {
				r = simulateOverload(policiesWithLimit(64)[name], 2)
			}
			b.ReportMetric(100*r.capacityShare(), "%goodput")
			b.ReportMetric(float64(r.inversions), "inversions")
			for _, weight := range weights {
				b.ReportMetric(100*float64(r.goodput[weight])/float64(r.offered[weight]), fmt.Sprintf("%%weight%d", weight))
			}
		})
	}
}

// BenchmarkBursts reports batch progress and online waits under bursts of
// online load, for each policy.
func BenchmarkBursts(b *testing.B) {
	for _, name := range []string{"urgent", "naive"} {
		b.Run(name, func(b *testing.B) {
			var r *simulation
			for b.Loop() {
				r = simulateBursts(policiesWithLimit(1000)[name])
			}
			b.ReportMetric(100*r.batchShare(), "%idle-used")
			b.ReportMetric(float64(r.preemptSteps), "steps-to-leave")
			b.ReportMetric(float64(r.longestWait()), "longest-wait-steps")
			b.ReportMetric(float64(r.preemptions), "yields")
		})
	}
}
