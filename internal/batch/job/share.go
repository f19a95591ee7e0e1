package job

import (
	"slices"
	"strings"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// minWindow is what every job gets, whatever the others ask for.
	minWindow = 4
	// The pressure of a job grows as its slack falls under pressureHorizon.
	pressureHorizon = time.Hour
	maxPressure     = 16
	shrinkEvery     = time.Second
)

// Demand is what one job of a host could use.
type Demand struct {
	Job    string
	Weight int
	Due    time.Time
	// Remaining counts the items without a result.
	Remaining int
}

// pressure is the claim of a job on a share: its weight, up to sixteenfold as
// its due time comes near.
func (d Demand) pressure(now time.Time) float64 {
	slack := max(d.Due.Sub(now), time.Second)
	nearness := min(max(float64(pressureHorizon)/float64(slack), 1), maxPressure)
	return float64(max(d.Weight, 1)) * nearness
}

// Shares divides total items in progress among jobs by their pressure. Each
// gets at least minWindow; nobody gets more than its items that are left, and
// what one can't use goes to the others.
func Shares(now time.Time, total int, demands []Demand) map[string]int {
	shares := make(map[string]int, len(demands))
	open := slices.Clone(demands)
	slices.SortFunc(open, func(a, b Demand) int { return strings.Compare(a.Job, b.Job) })
	left := total
	for len(open) > 0 {
		sum := 0.0
		for _, d := range open {
			sum += d.pressure(now)
		}
		part := func(d Demand) int { return int(float64(left) * d.pressure(now) / sum) }
		rest := slices.DeleteFunc(slices.Clone(open), func(d Demand) bool { return d.Remaining <= part(d) })
		if len(rest) == len(open) {
			for _, d := range open {
				shares[d.Job] = min(max(part(d), minWindow), d.Remaining)
			}
			return shares
		}
		used := 0
		for _, d := range open {
			if d.Remaining <= part(d) {
				shares[d.Job] = d.Remaining
				used += d.Remaining
			}
		}
		left, open = left-used, rest
	}
	return shares
}

// AdaptiveLimit adapts a host's items in progress to what the keepers take: it grows
// by one for each full window of answers and halves, at most once a second,
// when a queue is full.
type AdaptiveLimit struct {
	// now is between minWindow and the limit of the last call of Limit.
	now     float64
	shrunk  time.Time
	limited int
}

// Limit returns the items that the host may have in progress, at most limit.
func (w *AdaptiveLimit) Limit(limit int) int {
	if w.limited == 0 {
		w.now = float64(limit)
	}
	w.limited = limit
	w.now = min(max(w.now, minWindow), float64(max(limit, minWindow)))
	return int(w.now)
}

// Observe takes the end of one item's run.
func (w *AdaptiveLimit) Observe(now time.Time, failure *result.Error) {
	if failure == nil {
		w.now += 1 / max(w.now, 1)
		return
	}
	full := failure.Code() == result.QueueFull || failure.Code() == result.Overloaded
	if full && now.Sub(w.shrunk) >= shrinkEvery {
		w.now, w.shrunk = w.now/2, now
	}
}
