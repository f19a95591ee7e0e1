// Package priority decides which batch items go next and which leave their slots.
//
// An item's slack is the time by which it could start later and still be in
// time: its due time less the time that it still needs, which is learned from
// items that ended. Items that can be in time go first, those with the least
// slack before the others. Items that can't go last: being late costs most of
// their worth once, however late, so a slot that one of them keeps is better
// used by one that would become late. The same order, backwards, tells which
// leaves. The load this answers is a surge that leaves too few slots for all.
//
// Nothing here reads a clock.
package priority

import (
	"cmp"
	"slices"
	"time"
)

const (
	// LateUrgency is the urgency of what can't be in time any more.
	LateUrgency = time.Hour
	// DueGrace is how long after its due time a result still counts, since
	// it is read some time later.
	DueGrace = 500 * time.Millisecond
	// timeStart is the assumed time of an item before one has ended.
	timeStart = 3 * time.Second
	// paceWeight is the weight of the newest item in the means.
	paceWeight = 0.1
)

// DurationEstimator is how long items take. The zero value knows of none.
type DurationEstimator struct {
	// events is the mean number of events of an item, each the mean time of one.
	events float64
	each   time.Duration
}

// Observe takes an item that ended: it had so many events, of which its last run
// made some in a time.
func (p *DurationEstimator) Observe(events, made int64, in time.Duration) {
	if made <= 0 {
		return
	}
	each := in / time.Duration(made)
	if p.each == 0 {
		p.events, p.each = float64(events), each
		return
	}
	p.events += paceWeight * (float64(events) - p.events)
	p.each += time.Duration(paceWeight * float64(each-p.each))
}

// Slack returns by how much later an item that is due and of which so many
// events were produced could start; below 0 it can't be in time.
func (p *DurationEstimator) Slack(now, due time.Time, events int64) time.Duration {
	left := timeStart
	if p.each > 0 {
		left = time.Duration(max(1, p.events-float64(events)) * float64(p.each))
	}
	return due.Add(DueGrace).Sub(now) - left
}

// Item is one item as it is weighed against others.
type Item struct {
	Slack time.Duration
	// Events is how many events have been produced of it.
	Events int64
	// Accepted is when its job was; Key tells items apart.
	Accepted time.Time
	Key      string
}

// Urgency is the slack as items of other hosts are compared by.
func (i Item) Urgency() time.Duration {
	if i.Slack < 0 {
		return LateUrgency
	}
	return i.Slack
}

// CompareStart orders items by who goes next.
func CompareStart(a, b Item) int {
	return cmp.Or(
		cmp.Compare(a.Urgency(), b.Urgency()), cmp.Compare(b.Events, a.Events), a.Accepted.Compare(b.Accepted), cmp.Compare(a.Key, b.Key),
	)
}

// ComparePreemption orders running items by who leaves first: what can't be in time and
// has the least to lose, then what has the most slack.
func ComparePreemption(a, b Item) int {
	late := func(i Item) int {
		if i.Slack < 0 {
			return 0
		}
		return 1
	}
	slack := 0
	if a.Slack >= 0 {
		slack = cmp.Compare(b.Slack, a.Slack)
	}
	return cmp.Or(cmp.Compare(late(a), late(b)), slack, cmp.Compare(a.Events, b.Events), cmp.Compare(a.Key, b.Key))
}

// CountMostUrgent returns how many items of an ordered queue are as urgent as its
// first: those that can be in time, or all if none can.
func CountMostUrgent[T any](queue []T, item func(T) Item) int {
	n := slices.IndexFunc(queue, func(t T) bool { return item(t).Slack < 0 })
	if n <= 0 {
		return len(queue)
	}
	return n
}
