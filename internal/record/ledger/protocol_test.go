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

const resolveTime = 100 * time.Second

// faultPlan maps write numbers to faults. A repeated write has a new number.
type faultPlan map[int]fault

func (p faultPlan) at(commit int) fault { return p[commit] }

// runWithFaults runs a request, and a resend of it on another host, with the
// faults of plan.
func runWithFaults(plan faultPlan, idempotent bool, crashPhase phase, resendAfter time.Duration) *cluster {
	c := newCluster(plan.at)
	c.owners = []*owner{
		{key: "k", attempt: "a", idempotent: idempotent, startAfter: fineStep, crashPhase: crashPhase},
		{key: "k", attempt: "b", idempotent: idempotent, startAfter: resendAfter},
	}
	c.run(20*time.Second, fineStep)
	c.run(resolveTime, coarseStep)
	return c
}

// violation returns the guarantee that the run violated, empty if none.
func (c *cluster) violation() string {
	for _, o := range c.owners {
		if o.phase != ended {
			return fmt.Sprintf("attempt %s stuck in phase %d", o.attempt, o.phase)
		}
		if (o.reported == "not run" || o.reported == "maybe") && !o.idempotent && c.sendsByAttempt[o.attempt] > 0 {
			return o.attempt + " was told " + o.reported + " although it was sent"
		}
		if o.reported == "not run" {
			if reruns := c.sendsByAttempt[o.attempt+"+1"]; reruns > 0 {
				return o.attempt + " was told not run and ran again"
			}
		}
		if o.reported == "" && o.crashPhase == idle {
			return o.attempt + " got no answer"
		}
	}
	return c.recordViolation(c.owners[0])
}

func (c *cluster) recordViolation(o *owner) string {
	if !o.idempotent && c.sendsByKey[o.key] > 1 {
		return fmt.Sprintf("ran %d times", c.sendsByKey[o.key])
	}
	found, record := c.lookup(o.key)
	reported := false
	for _, other := range c.owners {
		reported = reported || other.reported == "answer"
	}
	switch {
	case found.State == ledger.Claimed:
		return "claim never resolved"
	case found.State == ledger.Unknown && c.sendsByKey[o.key] > 0:
		return "ran without a record"
	case found.State == ledger.NotRun && c.sendsByKey[o.key] > 0:
		return "recorded as not run although it ran"
	case reported && found.State != ledger.Done:
		return "answered, but the record says " + found.State.String()
	case found.State == ledger.Done && (record == nil || string(record.GetAnswer()) != "answer of "+found.Attempt):
		return "the recorded answer is not that of its attempt"
	case found.State != ledger.Unknown && record == nil:
		return "the record can't be read"
	}
	return ""
}

var _ = Describe("the record protocol", func() {
	resendDelays := []time.Duration{fineStep, 3 * time.Second, 16 * time.Second}
	crashes := []phase{idle, sending, finishing}

	for firstFault := noFault; firstFault < faultCount; firstFault++ {
		It(fmt.Sprintf("keeps its guarantees with %q and any second fault", firstFault), func() {
			for at := range 3 {
				for secondFault := noFault; secondFault < faultCount; secondFault++ {
					for nextAt := at + 1; nextAt < at+3; nextAt++ {
						for i, crashPhase := range crashes {
							resendAfter := resendDelays[(i+at+nextAt+int(secondFault))%len(resendDelays)]
							for _, idempotent := range []bool{false, true} {
								c := runWithFaults(faultPlan{at: firstFault, nextAt: secondFault}, idempotent, crashPhase, resendAfter)
								Expect(c.violation()).To(BeEmpty(), "write %d: %v, write %d: %v, owner ends in phase %d, resend after %v, idempotent %v",
									at, firstFault, nextAt, secondFault, crashPhase, resendAfter, idempotent)
							}
						}
					}
				}
			}
		})
	}

	It("keeps its guarantees with any two faults when callers give their claims up", func() {
		reported := make(map[string]int)
		for firstFault := noFault; firstFault < faultCount; firstFault++ {
			for secondFault := noFault; secondFault < faultCount; secondFault++ {
				for _, giveUpAfter := range []time.Duration{fineStep, 2 * fineStep, 3 * fineStep, 5 * fineStep, 20 * fineStep} {
					for _, idempotent := range []bool{false, true} {
						c := newCluster(faultPlan{0: firstFault, 1: secondFault}.at)
						c.owners = []*owner{
							{key: "k", attempt: "a", idempotent: idempotent, startAfter: fineStep, giveUpAfter: giveUpAfter},
							{key: "k", attempt: "b", idempotent: idempotent, startAfter: 2 * fineStep, giveUpAfter: giveUpAfter},
							{key: "k", attempt: "c", idempotent: idempotent, startAfter: 16 * time.Second},
						}
						c.run(20*time.Second, fineStep)
						c.run(resolveTime, coarseStep)
						Expect(c.violation()).To(BeEmpty(), "write 0: %v, write 1: %v, given up after %v, idempotent %v",
							firstFault, secondFault, giveUpAfter, idempotent)
						if c.owners[0].reported == "not run" && c.owners[1].reported == "not run" {
							Expect(c.owners[2].reported).To(Equal("answer"), "the key must be free: write 0: %v, write 1: %v, given up after %v",
								firstFault, secondFault, giveUpAfter)
						}
						reported[c.owners[0].reported]++
					}
				}
			}
		}
		Expect(reported).To(HaveKey("not run"))
		Expect(reported).To(HaveKey("maybe"))
		Expect(reported).To(HaveKey("answer"))
	})

	It("refuses a paused former holder at the store", func() {
		c := newCluster(faultPlan{0: pauseBefore}.at)
		c.owners = []*owner{{key: "k", attempt: "a", startAfter: fineStep}}
		c.run(20*time.Second, fineStep)
		Expect(c.holders).To(HaveLen(2))
		former := c.holders[0]
		Expect(former.shard.Idle()).To(BeTrue())
		former.queue = former.shard.Lookup(999, "k")
		c.runActions(former)
		Expect(former.replies[999].failure).NotTo(BeNil())
	})

	It("reports not run during an outage, and the request never runs later", func() {
		outage := func(int) fault { return rejectWrite }
		c := newCluster(outage)
		c.owners = []*owner{{key: "k", attempt: "a", idempotent: true, startAfter: fineStep}}
		c.run(10*time.Second, fineStep)
		Expect(c.owners[0].reported).To(Equal("not run"))
		c.faults = nil
		c.run(resolveTime, coarseStep)
		found, _ := c.lookup("k")
		Expect(found.State).To(Equal(ledger.Unknown))
		Expect(c.sendsByKey).To(BeEmpty())
	})

	It("reruns an idempotent request of a lost owner", func() {
		c := newCluster(nil)
		c.owners = []*owner{{key: "k", attempt: "a", idempotent: true, startAfter: fineStep, crashPhase: sending}}
		c.run(30*time.Second, fineStep)
		found, _ := c.lookup("k")
		Expect(found.State).To(Equal(ledger.Done))
		Expect(found.Attempt).To(Equal("a+1"))
		Expect(c.sendsByKey["k"]).To(Equal(1))
	})
})

type claimInput struct{ key, attempt string }

// claimModel is a register for each key that the first claim sets to its
// attempt. Every claim returns the register's value.
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
	It("are linearizable with random faults", func() {
		checked := 0
		for seed := range uint64(150) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(func(int) fault {
				if random.IntN(4) > 0 {
					return noFault
				}
				return fault(random.IntN(int(faultCount)))
			})
			for i := range 8 {
				c.owners = append(c.owners, &owner{
					key: fmt.Sprintf("k%d", i%2), attempt: fmt.Sprintf("a%d", i),
					startAfter: time.Duration(random.IntN(4000)) * time.Millisecond, skipAbandon: true,
				})
			}
			c.run(40*time.Second, fineStep)
			history := c.claimHistory()
			checked += len(history)
			Expect(porcupine.CheckOperations(claimModel, history)).To(BeTrue(), "seed %d", seed)
			for key, n := range c.sendsByKey {
				Expect(n).To(BeNumerically("<=", 1), "seed %d key %s", seed, key)
			}
		}
		Expect(checked).To(BeNumerically(">", 300))
	})
})

// claimHistory returns the claims whose effect is known. A claim with an unknown
// outcome is left out unless another attempt found it as existing; it then took
// effect at an unknown time, so that its operation lasts until the end.
func (c *cluster) claimHistory() []porcupine.Operation {
	var history []porcupine.Operation
	observed := make(map[string]bool)
	for _, o := range c.owners {
		if o.reported == "existing" {
			observed[o.existing.Attempt] = true
		}
	}
	for i, o := range c.owners {
		op := porcupine.Operation{ClientId: i, Input: claimInput{o.key, o.attempt}, Call: o.callTime, Return: o.returnTime}
		switch {
		case c.sendsByAttempt[o.attempt] > 0:
			op.Output = o.attempt
		case o.reported == "existing":
			op.Output = o.existing.Attempt
		case observed[o.attempt]:
			op.Output, op.Return = o.attempt, c.clock.Now().UnixNano()
		default:
			continue
		}
		history = append(history, op)
	}
	return history
}
