// Package retry decides whether a failed attempt is sent again, and when. Only
// what is idempotent or surely never sent is sent again, never past the
// deadline, and only while retries stay within a share of the fresh traffic,
// so that an outage does not multiply the load.
//
// The budget is kept per entry host. Each fresh request pays a share of one
// retry into it; the part saved up is small, so that over any longer time the
// retries of a host stay within that share, whatever fails.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// budgetShare is how many retries each fresh request pays for.
	budgetShare = 0.09
	// budgetMax bounds the retries saved up.
	budgetMax = 10
	// minMoves is how often a request may be sent away by leaving back ends,
	// also where the service allows no retries.
	minMoves        = 2
	shortestBackoff = 20 * time.Millisecond
	longestBackoff  = 2 * time.Second
)

// Failure describes a failed attempt.
type Failure struct {
	Err        *result.Error
	Idempotent bool
	// Attempts counts those made so far, at least 1; Limit bounds the retries.
	Attempts   int
	MaxRetries int
	// Deadline is zero if there is none.
	Deadline time.Time
}

// Policy decides on retries.
type Policy interface {
	// RecordFirstAttempt notes a first attempt.
	RecordFirstAttempt()
	// Next returns after how long to try again, or false to give up.
	Next(now time.Time, f Failure) (time.Duration, bool)
}

// Budgeted is the policy of production: full jitter under a budget.
type Budgeted struct {
	random *rand.Rand
	// budget is the number of retries that fresh requests have paid for.
	budget float64
}

var _ Policy = (*Budgeted)(nil)

// NewBudgeted returns a policy with a full budget.
func NewBudgeted(seed uint64) *Budgeted {
	return &Budgeted{random: rand.New(rand.NewPCG(seed, seed+1)), budget: budgetMax}
}

// RecordFirstAttempt notes a first attempt.
func (p *Budgeted) RecordFirstAttempt() { p.budget = min(budgetMax, p.budget+budgetShare) }

// Next returns a random wait below a ceiling that doubles with each attempt.
func (p *Budgeted) Next(now time.Time, f Failure) (time.Duration, bool) {
	if moved(f) && Retryable(f) {
		return 0, true
	}
	if !Retryable(f) || p.budget < 1 {
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

// Immediate is the naive policy for comparison: every retry that is allowed is
// made at once, without a budget.
type Immediate struct{}

var _ Policy = Immediate{}

// RecordFirstAttempt does nothing.
func (Immediate) RecordFirstAttempt() {}

// Next allows a retry at once.
func (Immediate) Next(now time.Time, f Failure) (time.Duration, bool) {
	if !Retryable(f) || (!f.Deadline.IsZero() && !now.Before(f.Deadline)) {
		return 0, false
	}
	return 0, true
}

// moved reports whether a request that waited is sent away by a back end that
// leaves. The next attempt is the first that any back end sees, so it costs no
// budget.
func moved(f Failure) bool {
	return f.Err.Code() == result.Stopping && f.Err.Ran() == result.RanNo
}

// Retryable reports whether another attempt could help and breaks no promise:
// the request is idempotent, or no byte of it was sent.
func Retryable(f Failure) bool {
	limit := f.MaxRetries
	if moved(f) {
		limit = max(limit, minMoves)
	}
	if f.Attempts > limit {
		return false
	}
	switch f.Err.Code() {
	case result.NoBackend, result.BackendFailed, result.BackendSilent, result.BackendCrashed, result.Overloaded, result.Stopping:
		return f.Idempotent || f.Err.Ran() == result.RanNo
	}
	return false
}
