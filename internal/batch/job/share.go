package job

import (
	"slices"
	"strings"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// minWindow is the smallest share of a job with enough items left, whatever
	// the other jobs demand.
	minWindow = 4
	// urgencyHorizon is the time left until a job is due below which its priority
	// grows.
	urgencyHorizon = time.Hour
	// maxUrgency is the largest factor by which the priority grows.
	maxUrgency        = 16
	minShrinkInterval = time.Second
)

// Demand is the input of Shares for one job.
type Demand struct {
	Job    string
	Weight int
	Due    time.Time
	// Remaining is the number of items without a result.
	Remaining int
}

// priority returns the job's weight, multiplied by up to maxUrgency as its due
// time comes near. Shares are proportional to it.
func (d Demand) priority(now time.Time) float64 {
	slack := max(d.Due.Sub(now), time.Second)
	urgency := min(max(float64(urgencyHorizon)/float64(slack), 1), maxUrgency)
	return float64(max(d.Weight, 1)) * urgency
}

// Shares divides total items in progress among jobs in proportion to their
// priorities. A job never gets more than the items it has left; what it can't
// use goes to the others. Each job gets at least minWindow items, or all it has
// left, so the sum of the shares can exceed total.
func Shares(now time.Time, total int, demands []Demand) map[string]int {
	shares := make(map[string]int, len(demands))
	unsatisfied := slices.Clone(demands)
	slices.SortFunc(unsatisfied, func(a, b Demand) int { return strings.Compare(a.Job, b.Job) })
	available := total
	for len(unsatisfied) > 0 {
		totalPriority := 0.0
		for _, d := range unsatisfied {
			totalPriority += d.priority(now)
		}
		proportion := func(d Demand) int { return int(float64(available) * d.priority(now) / totalPriority) }
		stillUnsatisfied := slices.DeleteFunc(slices.Clone(unsatisfied), func(d Demand) bool { return d.Remaining <= proportion(d) })
		if len(stillUnsatisfied) == len(unsatisfied) {
			for _, d := range unsatisfied {
				shares[d.Job] = min(max(proportion(d), minWindow), d.Remaining)
			}
			return shares
		}
		used := 0
		for _, d := range unsatisfied {
			if d.Remaining <= proportion(d) {
				shares[d.Job] = d.Remaining
				used += d.Remaining
			}
		}
		available, unsatisfied = available-used, stillUnsatisfied
	}
	return shares
}

// AdaptiveLimit adapts the number of a host's items in progress to what the queues
// of the backend servers accept, by additive increase and multiplicative
// decrease: it grows by one for each full window of successful runs and is
// halved, at most once per minShrinkInterval, when a run fails with QueueFull or
// Overloaded.
type AdaptiveLimit struct {
	// current is the limit. Limit keeps it between minWindow and lastMax, its
	// last argument.
	current    float64
	lastShrink time.Time
	lastMax    int
}

// Limit returns the number of items that the host may have in progress: at most
// limit, but not less than minWindow. It starts at the first limit above 0.
func (l *AdaptiveLimit) Limit(limit int) int {
	if l.lastMax == 0 {
		l.current = float64(limit)
	}
	l.lastMax = limit
	l.current = min(max(l.current, minWindow), float64(max(limit, minWindow)))
	return int(l.current)
}

// Observe adapts the limit to the result of one item's run.
func (l *AdaptiveLimit) Observe(now time.Time, failure *result.Error) {
	if failure == nil {
		l.current += 1 / max(l.current, 1)
		return
	}
	overloaded := failure.Code() == result.QueueFull || failure.Code() == result.Overloaded
	if overloaded && now.Sub(l.lastShrink) >= minShrinkInterval {
		l.current, l.lastShrink = l.current/2, now
	}
}
