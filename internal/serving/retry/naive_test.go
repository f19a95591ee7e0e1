package retry_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/retry"
)

// passing are the failures that another attempt can help.
var passing = []result.Code{
	result.NoBackend, result.BackendFailed, result.BackendSilent, result.BackendCrashed, result.Overloaded, result.Stopping,
}

// naiveBudget replays the whole history in hundredths of a retry: a first
// attempt pays 9, a retry costs 100, and at most 1,000 are saved.
func naiveBudget(history []int) int {
	budget := 1000
	for _, change := range history {
		budget = min(1000, budget+change)
	}
	return budget
}

func naiveAllows(f retry.Failure, budget int) bool {
	unsent := f.Err.Ran() == result.RanNo
	over := !f.Deadline.IsZero() && !start.Before(f.Deadline)
	switch {
	case !slices.Contains(passing, f.Err.Code()), !f.Idempotent && !unsent:
		return false
	case f.Err.Code() == result.Stopping && unsent:
		return f.Attempts <= max(2, f.MaxRetries)
	}
	return f.Attempts <= f.MaxRetries && budget >= 100 && !over
}

// TestBudgetAgainstNaive compares every verdict of the budgeted policy with
// one that replays all of its history.
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
				code = rapid.SampledFrom(passing).Draw(t, "code")
			}
			f := retry.Failure{
				Err:        result.New(code, "").WithRan(rapid.SampledFrom([]result.Ran{result.RanNo, result.RanMaybe, result.RanYes}).Draw(t, "ran")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Attempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
				MaxRetries: rapid.IntRange(0, 6).Draw(t, "limit"),
				Deadline:   rapid.SampledFrom([]time.Time{{}, start, start.Add(time.Hour)}).Draw(t, "deadline"),
			}
			budget := naiveBudget(history)
			wait, again := policy.Next(start, f)
			if again != naiveAllows(f, budget) && budget != 100 {
				t.Fatalf("%+v with a budget of %d: again %t", f, budget, again)
			}
			moved := code == result.Stopping && f.Err.Ran() == result.RanNo
			if most := min(2*time.Second, 20*time.Millisecond<<f.Attempts); wait < 0 || wait >= most || (moved && wait != 0) {
				t.Fatalf("%+v waits for %s", f, wait)
			}
			if again && !moved {
				history = append(history, -100)
			}
		}
	})
}
