package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
)

const settleTime = 100 * time.Second

// faults of the tested write numbers; a write that is repeated has a new one.
type script map[int]mishap

func (s script) at(commit int) mishap { return s[commit] }

// play runs one request, and a resend of it elsewhere, through a script.
func play(s script, idempotent bool, crash phase, resend time.Duration) *world {
	w := newWorld(s.at)
	w.owners = []*owner{
		{key: "k", attempt: "a", idempotent: idempotent, begin: fineStep, crash: crash},
		{key: "k", attempt: "b", idempotent: idempotent, begin: resend},
	}
	w.run(20*time.Second, fineStep)
	w.run(settleTime, coarseStep)
	return w
}

// violation returns what the run broke, empty for nothing.
func (w *world) violation() string {
	for _, o := range w.owners {
		if o.phase != ended {
			return fmt.Sprintf("attempt %s stuck in phase %d", o.attempt, o.phase)
		}
		if (o.told == "not run" || o.told == "maybe") && !o.idempotent && w.ranAttempt[o.attempt] > 0 {
			return o.attempt + " was told " + o.told + " although it was sent"
		}
		if o.told == "not run" {
			if again := w.ranAttempt[o.attempt+"+1"]; again > 0 {
				return o.attempt + " was told not run and ran again"
			}
		}
		if o.told == "" && o.crash == idle {
			return o.attempt + " got no answer"
		}
	}
	return w.recordViolation(w.owners[0])
}

func (w *world) recordViolation(o *owner) string {
	if !o.idempotent && w.ran[o.key] > 1 {
		return fmt.Sprintf("ran %d times", w.ran[o.key])
	}
	found, record := w.lookup(o.key)
	told := false
	for _, other := range w.owners {
		told = told || other.told == "answer"
	}
	switch {
	case found.State == ledger.Claimed:
		return "never settled"
	case found.State == ledger.Unknown && w.ran[o.key] > 0:
		return "ran without a record"
	case found.State == ledger.NotRun && w.ran[o.key] > 0:
		return "recorded as not run although it ran"
	case told && found.State != ledger.Done:
		return "answered, but the record says " + found.State.String()
	case found.State == ledger.Done && (record == nil || string(record.GetAnswer()) != "answer of "+found.Attempt):
		return "the recorded answer is not that of its attempt"
	case found.State != ledger.Unknown && record == nil:
		return "the record can't be read"
	}
	return ""
}

var _ = Describe("the record protocol", func() {
	resends := []time.Duration{fineStep, 3 * time.Second, 16 * time.Second}
	crashes := []phase{idle, sending, finishing}

	for first := none; first < mishaps; first++ {
		It(fmt.Sprintf("keeps its promises with %q and any second mishap", first), func() {
			for at := range 3 {
				for second := none; second < mishaps; second++ {
					for next := at + 1; next < at+3; next++ {
						for i, crash := range crashes {
							resend := resends[(i+at+next+int(second))%len(resends)]
							for _, idempotent := range []bool{false, true} {
								w := play(script{at: first, next: second}, idempotent, crash, resend)
								Expect(w.violation()).To(BeEmpty(), "write %d: %v, write %d: %v, owner ends in phase %d, resend after %v, idempotent %v",
									at, first, next, second, crash, resend, idempotent)
							}
						}
					}
				}
			}
		})
	}

	It("refuses a paused former holder at the store", func() {
		w := newWorld(script{0: pauseBefore}.at)
		w.owners = []*owner{{key: "k", attempt: "a", begin: fineStep}}
		w.run(20*time.Second, fineStep)
		Expect(w.holders).To(HaveLen(2))
		former := w.holders[0]
		Expect(former.shard.Idle()).To(BeTrue())
		former.queue = former.shard.Lookup(999, "k")
		w.drain(former)
		Expect(former.answers[999].failure).NotTo(BeNil())
	})

	It("says not run during an outage, and that stays true", func() {
		outage := func(int) mishap { return refuse }
		w := newWorld(outage)
		w.owners = []*owner{{key: "k", attempt: "a", idempotent: true, begin: fineStep}}
		w.run(10*time.Second, fineStep)
		Expect(w.owners[0].told).To(Equal("not run"))
		w.mishaps = nil
		w.run(settleTime, coarseStep)
		found, _ := w.lookup("k")
		Expect(found.State).To(Equal(ledger.Unknown))
		Expect(w.ran).To(BeEmpty())
	})

	It("runs an idempotent request of a lost owner once more at a time", func() {
		w := newWorld(nil)
		w.owners = []*owner{{key: "k", attempt: "a", idempotent: true, begin: fineStep, crash: sending}}
		w.run(30*time.Second, fineStep)
		found, _ := w.lookup("k")
		Expect(found.State).To(Equal(ledger.Done))
		Expect(found.Attempt).To(Equal("a+1"))
		Expect(w.ran["k"]).To(Equal(1))
	})
})

type claimInput struct{ key, attempt string }

// claimModel is a register a claim takes if it is free; an empty output is an
// unclear one and may be either.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, attempt, got := state.(string), input.(claimInput).attempt, output.(string)
		if holder == "" {
			holder = attempt
		}
		return got == holder, holder
	},
}

var _ = Describe("claims", func() {
	It("are linearizable over random mishaps", func() {
		granted := 0
		for seed := range uint64(150) {
			random := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(func(int) mishap {
				if random.IntN(4) > 0 {
					return none
				}
				return mishap(random.IntN(int(mishaps)))
			})
			for i := range 8 {
				w.owners = append(w.owners, &owner{
					key: fmt.Sprintf("k%d", i%2), attempt: fmt.Sprintf("a%d", i),
					begin: time.Duration(random.IntN(4000)) * time.Millisecond, keepClaim: true,
				})
			}
			w.run(40*time.Second, fineStep)
			history := w.claims()
			granted += len(history)
			Expect(porcupine.CheckOperations(claimModel, history)).To(BeTrue(), "seed %d", seed)
			for key, n := range w.ran {
				Expect(n).To(BeNumerically("<=", 1), "seed %d key %s", seed, key)
			}
		}
		Expect(granted).To(BeNumerically(">", 300))
	})
})

// claims returns the clear outcomes as a history. An unclear claim is left out
// if nobody met it; if its attempt was met, it took effect at an unknown time.
func (w *world) claims() []porcupine.Operation {
	var history []porcupine.Operation
	met := make(map[string]bool)
	for _, o := range w.owners {
		if o.told == "existing" {
			met[o.existing.Attempt] = true
		}
	}
	for i, o := range w.owners {
		op := porcupine.Operation{ClientId: i, Input: claimInput{o.key, o.attempt}, Call: o.called, Return: o.returned}
		switch {
		case w.ranAttempt[o.attempt] > 0:
			op.Output = o.attempt
		case o.told == "existing":
			op.Output = o.existing.Attempt
		case met[o.attempt]:
			op.Output, op.Return = o.attempt, w.clock.Now().UnixNano()
		default:
			continue
		}
		history = append(history, op)
	}
	return history
}
