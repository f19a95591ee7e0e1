// Package retry decides whether a failed attempt is sent again, and when. Only
// what is idempotent or surely never sent is sent again, never past the
// deadline, and only while retries stay within a share of the fresh traffic,
// so that an outage does not multiply the load.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// budgetShare is how many retries each fresh request pays for.
	budgetShare = 0.1
	// budgetMax bounds the retries saved up.
	budgetMax       = 20
	shortestBackoff = 20 * time.Millisecond
	longestBackoff  = 2 * time.Second
)

// Policy holds the budget of one entry host.
type Policy struct {
	random *rand.Rand
	// budget is the number of retries that fresh requests have paid for.
	budget float64
}

// NewPolicy returns a policy with a full budget.
func NewPolicy(seed uint64) *Policy {
	return &Policy{random: rand.New(rand.NewPCG(seed, seed+1)), budget: budgetMax}
}

// Fresh notes a first attempt.
func (p *Policy) Fresh() { p.budget = min(budgetMax, p.budget+budgetShare) }

// Failure describes a failed attempt.
type Failure struct {
	Err        *result.Error
	Idempotent bool
	// Attempts counts those made so far, at least 1; Limit bounds the retries.
	Attempts int
	Limit    int
	// Deadline is zero if there is none.
	Deadline time.Time
}

// Next returns after how long to try again, or false to give up.
func (p *Policy) Next(now time.Time, f Failure) (time.Duration, bool) {
	if !retryable(f) || f.Attempts > f.Limit || p.budget < 1 {
		return 0, false
	}
	ceiling := min(longestBackoff, shortestBackoff<<min(f.Attempts, 10))
	wait := time.Duration(p.random.Int64N(int64(ceiling)))
	if !f.Deadline.IsZero() && !now.Add(wait).Before(f.Deadline) {
		return 0, false
	}
	p.budget--
	return wait, true
}

func retryable(f Failure) bool {
	switch f.Err.Code() {
	case result.NoBackend, result.BackendFailed, result.BackendSilent, result.BackendCrashed, result.Overloaded, result.Stopping:
		return f.Idempotent || f.Err.Ran() == result.RanNo
	}
	return false
}
