package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/retry"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	failed = result.New(result.BackendCrashed, "lost").WithRan(result.RanMaybe)
)

// outage sends fresh requests at a steady rate for a minute; from 15 s to 45 s
// half of the back ends fail. It returns the attempts per fresh request during
// the outage and in the second after it.
func outage(policy retry.Policy, seed uint64) (during, after float64) {
	const every, retries = 5 * time.Millisecond, 5
	clock := timer.NewManual(start)
	random := rand.New(rand.NewPCG(seed, 0))
	from, to := start.Add(15*time.Second), start.Add(45*time.Second)
	var fresh, sent [2]int
	period := func(now time.Time) int {
		switch {
		case !now.Before(from) && now.Before(to):
			return 0
		case !now.Before(to) && now.Before(to.Add(time.Second)):
			return 1
		}
		return -1
	}
	var attempt func(now time.Time, n int)
	attempt = func(now time.Time, n int) {
		p := period(now)
		if p >= 0 {
			sent[p]++
		}
		if p != 0 || random.IntN(2) == 0 {
			return
		}
		wait, again := policy.Next(now, retry.Failure{Err: failed, Idempotent: true, Attempts: n, MaxRetries: retries})
		if again {
			clock.After(max(wait, time.Millisecond), func(now time.Time) { attempt(now, n+1) })
		}
	}
	clock.Every(every, func(now time.Time) {
		policy.RecordFirstAttempt()
		if p := period(now); p >= 0 {
			fresh[p]++
		}
		attempt(now, 1)
	})
	clock.Advance(time.Minute)
	return float64(sent[0]) / float64(fresh[0]), float64(sent[1]) / float64(fresh[1])
}

var _ = Describe("an outage of half the back ends for 30 s", func() {
	It("is amplified by at most 1.1, and by nothing after it ends", func() {
		for seed := range uint64(10) {
			during, after := outage(retry.NewBudgeted(seed), seed)
			naive, _ := outage(retry.Immediate{}, seed)
			Expect(during).To(BeNumerically("<=", 1.1))
			Expect(after).To(BeNumerically("<=", 1.1))
			Expect(naive).To(BeNumerically(">", 1.8))
			if seed == 0 {
				AddReportEntry("amplification", fmt.Sprintf("ours %.3f, after %.3f, naive %.3f", during, after, naive))
			}
		}
	})
})

var _ = DescribeTable("a failed attempt",
	func(f retry.Failure, again bool) {
		_, got := retry.NewBudgeted(1).Next(start, f)
		Expect(got).To(Equal(again))
		_, got = retry.Immediate{}.Next(start, f)
		Expect(got).To(Equal(again))
	},
	Entry("idempotent and lost", retry.Failure{Err: failed, Idempotent: true, Attempts: 1, MaxRetries: 1}, true),
	Entry("not idempotent and may have run", retry.Failure{Err: failed, Attempts: 1, MaxRetries: 1}, false),
	Entry("not idempotent and never sent", retry.Failure{Err: result.New(result.NoBackend, ""), Attempts: 1, MaxRetries: 1}, true),
	Entry("at its limit", retry.Failure{Err: failed, Idempotent: true, Attempts: 2, MaxRetries: 1}, false),
	Entry("past its deadline", retry.Failure{Err: failed, Idempotent: true, Attempts: 1, MaxRetries: 1, Deadline: start}, false),
	Entry("moved by a leaving back end", retry.Failure{Err: result.New(result.Stopping, ""), Attempts: 1}, true),
	Entry("moved too often", retry.Failure{Err: result.New(result.Stopping, ""), Attempts: 3}, false),
	Entry("quarantined", retry.Failure{Err: result.New(result.Quarantined, ""), Idempotent: true, Attempts: 1, MaxRetries: 1}, false),
)
