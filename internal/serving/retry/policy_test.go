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
	start   = time.Unix(1_700_000_000, 0)
	crashed = result.New(result.BackendCrashed, "lost").WithRan(result.RanMaybe)
)

// simulateOutage sends first attempts at a steady rate for a minute. From 15 s
// to 45 s half of all attempts fail. It returns the attempts per first attempt
// during the outage and in the second after it.
func simulateOutage(policy retry.Policy, seed uint64) (during, after float64) {
	const interval, retries = 5 * time.Millisecond, 5
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
		wait, allowed := policy.Next(now, retry.Failure{Err: crashed, Idempotent: true, Attempts: n, MaxRetries: retries})
		if allowed {
			clock.After(max(wait, time.Millisecond), func(now time.Time) { attempt(now, n+1) })
		}
	}
	clock.Every(interval, func(now time.Time) {
		policy.RecordFirstAttempt()
		if p := period(now); p >= 0 {
			fresh[p]++
		}
		attempt(now, 1)
	})
	clock.Advance(time.Minute)
	return float64(sent[0]) / float64(fresh[0]), float64(sent[1]) / float64(fresh[1])
}

var _ = Describe("an outage of half the backend servers for 30 s", func() {
	It("amplifies the load by at most 1.1, also after it ends", func() {
		for seed := range uint64(10) {
			during, after := simulateOutage(retry.NewBudgeted(seed), seed)
			immediate, _ := simulateOutage(retry.Immediate{}, seed)
			Expect(during).To(BeNumerically("<=", 1.1))
			Expect(after).To(BeNumerically("<=", 1.1))
			Expect(immediate).To(BeNumerically(">", 1.8))
			if seed == 0 {
				AddReportEntry("amplification", fmt.Sprintf("budgeted %.3f, after %.3f, immediate %.3f", during, after, immediate))
			}
		}
	})
})

var _ = DescribeTable("a failed attempt",
	func(f retry.Failure, want bool) {
		_, got := retry.NewBudgeted(1).Next(start, f)
		Expect(got).To(Equal(want))
		_, got = retry.Immediate{}.Next(start, f)
		Expect(got).To(Equal(want))
	},
	Entry("idempotent and crashed", retry.Failure{Err: crashed, Idempotent: true, Attempts: 1, MaxRetries: 1}, true),
	Entry("not idempotent and may have run", retry.Failure{Err: crashed, Attempts: 1, MaxRetries: 1}, false),
	Entry("not idempotent and never sent", retry.Failure{Err: result.New(result.NoBackend, ""), Attempts: 1, MaxRetries: 1}, true),
	Entry("at its limit", retry.Failure{Err: crashed, Idempotent: true, Attempts: 2, MaxRetries: 1}, false),
	Entry("past its deadline", retry.Failure{Err: crashed, Idempotent: true, Attempts: 1, MaxRetries: 1, Deadline: start}, false),
	Entry("redirected by a stopping backend server", retry.Failure{Err: result.New(result.Stopping, ""), Attempts: 1}, true),
	Entry("redirected too often", retry.Failure{Err: result.New(result.Stopping, ""), Attempts: 3}, false),
	Entry("quarantined", retry.Failure{Err: result.New(result.Quarantined, ""), Idempotent: true, Attempts: 1, MaxRetries: 1}, false),
)
