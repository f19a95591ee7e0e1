// Package retry decides whether and when a failed attempt is retried. A request
// is retried only if it is idempotent or was never sent. Retries are made only
// before the deadline, and their number is limited to a fraction of that of the
// first attempts, so that an outage does not multiply the load.
//
// The budget is kept per entry host. Each first attempt adds a fraction of one
// retry to it. The cap on the budget is low, so that over any longer time the
// retries of a host stay within that fraction, whatever fails. A request that
// was still waiting for a backend server that stops is sent to another one
// regardless of deadline and budget.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// budgetShare is how many retries each first attempt adds to the budget.
	budgetShare = 0.09
	// maxBudget caps the budget, in retries.
	maxBudget = 10
	// minRedirects is how often a request may be redirected by stopping backend
	// servers, even if the service allows no retries.
	minRedirects = 2
	backoffBase  = 20 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Failure describes a failed attempt.
type Failure struct {
	Err        *result.Error
	Idempotent bool
	// Attempts counts the attempts made so far, at least 1; MaxRetries bounds
	// the retries.
	Attempts   int
	MaxRetries int
	// Deadline is zero if there is none.
	Deadline time.Time
}

// Policy decides on retries.
type Policy interface {
	// RecordFirstAttempt records a first attempt.
	RecordFirstAttempt()
	// Next returns the wait before the next attempt, or false to give up.
	Next(now time.Time, f Failure) (time.Duration, bool)
}

// Budgeted is the production policy: exponential backoff with full jitter,
// within a budget.
type Budgeted struct {
	random *rand.Rand
	// budget is the number of retries available.
	budget float64
}

var _ Policy = (*Budgeted)(nil)

// NewBudgeted returns a policy with a full budget.
func NewBudgeted(seed uint64) *Budgeted {
	return &Budgeted{random: rand.New(rand.NewPCG(seed, seed+1)), budget: maxBudget}
}

// RecordFirstAttempt records a first attempt.
func (p *Budgeted) RecordFirstAttempt() { p.budget = min(maxBudget, p.budget+budgetShare) }

// Next returns a random wait below a limit that doubles with each attempt.
func (p *Budgeted) Next(now time.Time, f Failure) (time.Duration, bool) {
	if redirected(f) && Retryable(f) {
		return 0, true
	}
	if !Retryable(f) || p.budget < 1 {
		return 0, false
	}
	ceiling := min(maxBackoff, backoffBase<<min(f.Attempts, 10))
	wait := time.Duration(p.random.Int64N(int64(ceiling)))
	if !f.Deadline.IsZero() && !now.Add(wait).Before(f.Deadline) {
		return 0, false
	}
	p.budget--
	return wait, true
}

// Immediate is a baseline for comparison: it makes every allowed retry at once,
// without a budget.
type Immediate struct{}

var _ Policy = Immediate{}

// RecordFirstAttempt does nothing.
func (Immediate) RecordFirstAttempt() {}

// Next allows a retry without a wait.
func (Immediate) Next(now time.Time, f Failure) (time.Duration, bool) {
	if !Retryable(f) || (!f.Deadline.IsZero() && !now.Before(f.Deadline)) {
		return 0, false
	}
	return 0, true
}

// redirected reports whether the request was still waiting for a backend server
// that stops. No backend server received this attempt, so the next one costs no
// budget.
func redirected(f Failure) bool {
	return f.Err.Code() == result.Stopping && f.Err.Ran() == result.RanNo
}

// Retryable reports whether another attempt may succeed and is safe: the request
// is idempotent, or no byte of it was sent.
func Retryable(f Failure) bool {
	limit := f.MaxRetries
	if redirected(f) {
		limit = max(limit, minRedirects)
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
