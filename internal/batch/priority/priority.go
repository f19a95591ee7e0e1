// Package priority orders batch items for starting and for preemption when there
// are fewer slots than items, as in a surge of other requests.
//
// The order is least slack first. The slack of an item is how much later it
// could start and still be on time: the time left until it is due, minus its
// estimated remaining run time, which is learned from completed items. Items
// that can still be on time start before items that are already late: lateness
// costs most of an item's value at once and no more later, so a slot is better
// used for an item that would otherwise become late. Preemption goes the other
// way round: late items first, then those with the most slack.
//
// The package does not read the clock.
package priority

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

const (
	// DueGrace is how long after the due time a result still counts as on
	// time, because results are read some time after they are due.
	DueGrace = 500 * time.Millisecond
	// defaultDuration is the assumed run time of an item until one has completed.
	defaultDuration = 3 * time.Second
	// ewmaWeight is the weight of the newest item in the moving averages.
	ewmaWeight = 0.1
)

// DurationEstimator estimates the run time of items with exponentially weighted
// moving averages. The zero value is ready for use and assumes defaultDuration.
type DurationEstimator struct {
	// events is the mean number of events per item, eventTime the mean
	// time per event.
	events    float64
	eventTime time.Duration
}

// Observe adds a completed item with the given number of events to the averages.
// Its last run produced the given part of them in the elapsed time.
func (p *DurationEstimator) Observe(events, produced int64, elapsed time.Duration) {
	if produced <= 0 {
		return
	}
	eventTime := elapsed / time.Duration(produced)
	if p.eventTime == 0 {
		p.events, p.eventTime = float64(events), eventTime
		return
	}
	p.events += ewmaWeight * (float64(events) - p.events)
	p.eventTime += time.Duration(ewmaWeight * float64(eventTime-p.eventTime))
}

// Slack returns how much later than now an item with the given due time and
// number of events produced so far could start and still be on time. It is
// negative if the item can no longer be on time.
func (p *DurationEstimator) Slack(now, due time.Time, events int64) time.Duration {
	remaining := defaultDuration
	if p.eventTime > 0 {
		remaining = time.Duration(max(1, p.events-float64(events)) * float64(p.eventTime))
	}
	return due.Add(DueGrace).Sub(now) - remaining
}

// Item holds the properties by which items are ordered.
type Item struct {
	Slack time.Duration
	// Events is the number of events produced so far.
	Events int64
	// Accepted is when the item's job was accepted. Key is unique to the item.
	Accepted time.Time
	Key      string
}

// Urgency returns the slack, or scheduler.LateSlack if it is negative. It is the value
// by which hosts compare their waiting items; smaller is more urgent.
func (i Item) Urgency() time.Duration {
	if i.Slack < 0 {
		return scheduler.LateSlack
	}
	return i.Slack
}

// CompareStart compares items for starting, the item to start first being the
// smaller.
func CompareStart(a, b Item) int {
	return cmp.Or(
		cmp.Compare(a.Urgency(), b.Urgency()), cmp.Compare(b.Events, a.Events), a.Accepted.Compare(b.Accepted), cmp.Compare(a.Key, b.Key),
	)
}

// ComparePreemption compares running items for preemption, the item to preempt
// first being the smaller: first the late items, those with the fewest events
// before others because they have the least output to lose, then the items with
// the most slack.
func ComparePreemption(a, b Item) int {
	lateRank := func(i Item) int {
		if i.Slack < 0 {
			return 0
		}
		return 1
	}
	slack := 0
	if a.Slack >= 0 {
		slack = cmp.Compare(b.Slack, a.Slack)
	}
	return cmp.Or(cmp.Compare(lateRank(a), lateRank(b)), slack, cmp.Compare(a.Events, b.Events), cmp.Compare(a.Key, b.Key))
}

// CountMostUrgent returns how many items of a queue in the order of CompareStart
// are in the same class as the first: the items that can be on time, or all
// items if none can.
func CountMostUrgent[T any](queue []T, item func(T) Item) int {
	n := slices.IndexFunc(queue, func(t T) bool { return item(t).Slack < 0 })
	if n <= 0 {
		return len(queue)
	}
	return n
}
