package retry_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/retry"
)

// retryable lists the failures for which another attempt may succeed.
var retryable = []result.Code{
	result.NoBackend, result.BackendFailed, result.BackendSilent, result.BackendCrashed, result.Overloaded, result.Stopping,
}

// naiveBudget replays the whole history in hundredths of a retry: a first
// attempt adds 9, a retry costs 100, and the budget is at most 1,000.
func naiveBudget(history []int) int {
	budget := 1000
	for _, change := range history {
		budget = min(1000, budget+change)
	}
	return budget
}

func naiveAllows(f retry.Failure, budget int) bool {
	notRun := f.Err.Ran() == result.RanNo
	expired := !f.Deadline.IsZero() && !start.Before(f.Deadline)
	switch {
	case !slices.Contains(retryable, f.Err.Code()), !f.Idempotent && !notRun:
		return false
	case f.Err.Code() == result.Stopping && notRun:
		return f.Attempts <= max(2, f.MaxRetries)
	}
	return f.Attempts <= f.MaxRetries && budget >= 100 && !expired
}

// TestBudgetAgainstNaive compares every decision of Budgeted with that of a
// model that replays the whole history.
func TestBudgetAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := retry.NewBudgeted(rapid.Uint64().Draw(t, "seed"))
		var history []int
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				policy.RecordFirstAttempt()
				history = append(history, 9)
				continue
			}
			code := rapid.SampledFrom(result.Codes()).Draw(t, "other")
			if rapid.IntRange(0, 9).Draw(t, "passing") > 0 {
				code = rapid.SampledFrom(retryable).Draw(t, "code")
			}
			f := retry.Failure{
				Err:        result.New(code, "").WithRan(rapid.SampledFrom([]result.Ran{result.RanNo, result.RanMaybe, result.RanYes}).Draw(t, "ran")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Attempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
				MaxRetries: rapid.IntRange(0, 6).Draw(t, "limit"),
				Deadline:   rapid.SampledFrom([]time.Time{{}, start, start.Add(time.Hour)}).Draw(t, "deadline"),
			}
			budget := naiveBudget(history)
			wait, allowed := policy.Next(start, f)
			if allowed != naiveAllows(f, budget) && budget != 100 {
				t.Fatalf("%+v with a budget of %d: allowed %t", f, budget, allowed)
			}
			redirected := code == result.Stopping && f.Err.Ran() == result.RanNo
			if ceiling := min(2*time.Second, 20*time.Millisecond<<f.Attempts); wait < 0 || wait >= ceiling || (redirected && wait != 0) {
				t.Fatalf("unexpected wait after %+v: %s", f, wait)
			}
			if allowed && !redirected {
				history = append(history, -100)
			}
		}
	})
}
