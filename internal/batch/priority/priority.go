// Package priority orders batch items for starting and for preemption when there
// are fewer slots than items, as in a surge of other requests.
//
// The order is least slack first while all items can be on time. Otherwise Plan
// chooses the items that can be, and the others are put behind. The slack of an item is how much later it
// could start and still be on time: the time left until it is due, minus its
// estimated remaining run time, which is learned from completed items. Items
// that can still be on time start before items that are already late: lateness
// costs most of an item's value at once and no more later, so a slot is better
// used for an item that would otherwise become late. ComparePreemption has the order
// of preemption.
//
// The package does not read the clock.
package priority

import (
	"cmp"
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
	return due.Add(DueGrace).Sub(now) - p.Remaining(events)
}

// Remaining returns the estimated remaining run time of an item that has produced
// a number of events.
func (p *DurationEstimator) Remaining(events int64) time.Duration {
	if p.eventTime == 0 {
		return defaultDuration
	}
	return time.Duration(max(1, p.events-float64(events)) * float64(p.eventTime))
}

// Class is what Plan expects of an item that is not late.
type Class uint8

const (
	// Planned items are expected to be on time.
	Planned Class = iota
	// Preferred items have begun while not all items can be on time: their output
	// would be lost to those that wait for it in time.
	Preferred
	// Deferred items are not expected to be on time.
	Deferred
)

// Item holds the properties by which items are ordered.
type Item struct {
	Slack time.Duration
	// Remaining is the estimated remaining run time, Total that of all of the item.
	Remaining, Total time.Duration
	// Class is set by Plan.
	Class Class
	// Preempted is how often the item was preempted.
	Preempted int
	// Wait is how long the item would wait for another slot if it were preempted.
	Wait time.Duration
	// Events is the number of events produced so far.
	Events int64
	// Accepted is when the item's job was accepted. Key is unique to the item.
	Accepted time.Time
	Key      string
}

// Late reports whether the item can no longer be on time.
func (i Item) Late() bool { return i.Slack < 0 }

// Begun reports whether the item has produced events.
func (i Item) Begun() bool { return i.Events > 0 }

// preferredLead is by how much less slack preferred items are told to have than they
// have, so that they come before the planned ones of all hosts.
const preferredLead = time.Minute

// Urgency returns the value by which hosts compare their waiting items; smaller is more
// urgent. It is the slack of items that are expected to be on time.
func (i Item) Urgency() time.Duration {
	switch {
	case i.Late():
		return scheduler.LateSlack
	case i.Class == Deferred:
		return scheduler.DeferredSlack
	case i.Class == Preferred:
		return i.Slack - preferredLead
	}
	return i.Slack
}

// CompareStart compares items for starting, the item to start first being the
// smaller. Of the deferred items those with the most slack start first, as these can
// be planned again when slots become free.
func CompareStart(a, b Item) int {
	slack := 0
	if !a.Late() && a.Class == Deferred {
		slack = cmp.Compare(b.Slack, a.Slack)
	}
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Urgency(), b.Urgency()), slack, cmp.Compare(b.Events, a.Events),
		a.Accepted.Compare(b.Accepted), cmp.Compare(a.Key, b.Key),
	)
}

// rank returns the position of the item's class among the classes.
func (i Item) rank() int {
	switch {
	case i.Late():
		return 3
	case i.Class == Deferred:
		return 2
	case i.Class == Preferred:
		return 0
	}
	return 1
}

const (
	// maxPreemptions is the number of preemptions after which an item is preempted only
	// where there is no other. An item of 4 s meets one or two surges; each preemption
	// costs another read of its prompt.
	maxPreemptions = 6
	// nearlyDone is the part of an item's run time below which what is left is no more
	// than a preemption would cost.
	nearlyDone = 0.1
)

// protected reports whether the item should keep its slot.
func (i Item) protected() bool {
	return i.Preempted >= maxPreemptions || float64(i.Remaining) < nearlyDone*float64(i.Total)
}

// preemptionRank returns 0 for items whose preemption costs least, and more for others.
func (i Item) preemptionRank() int {
	switch {
	case i.Late():
		return 0
	case i.protected():
		return 3
	case i.Slack > i.Wait:
		return 1
	}
	return 2
}

// progressSteps is the number of steps of progress that Level tells apart. They are few,
// as hosts compare levels that others reported up to some tenths of a second ago.
const progressSteps = scheduler.FreshLevel

// Level returns the number by which hosts compare their running items at a server for
// preemption; smaller is preempted first. Items that have not begun and can wait have
// scheduler.FreshLevel.
func (i Item) Level() int {
	step := 0
	if i.Total > 0 {
		step = int(progressSteps * (i.Total - i.Remaining) / i.Total)
	}
	return i.preemptionRank()*progressSteps + min(max(0, step), progressSteps-1)
}

// ComparePreemption compares running items for preemption, the item to preempt first
// being the smaller: the one whose loss costs least worth for each second that its slot
// gains. These are the late items, then those that can still be on time after the wait
// for another slot, then those that can't, and at last those that are nearly done or
// were preempted often. Among these, the item that has to run longest comes first.
func ComparePreemption(a, b Item) int {
	return cmp.Or(
		cmp.Compare(a.preemptionRank(), b.preemptionRank()), cmp.Compare(a.Events, b.Events), cmp.Compare(b.Slack, a.Slack), cmp.Compare(a.Key, b.Key),
	)
}

// GivesWay reports whether a running item leaves its slot to a waiting one that is
// expected to be on time. The item has passed its due time for certain, and what is left
// of it takes long enough.
func GivesWay(i Item, now, due time.Time) bool { return now.After(due.Add(DueGrace)) && !i.protected() }

// Counts are the numbers of waiting items by class.
type Counts struct{ Planned, Deferred, Late int }

// Count counts the items of a queue.
func Count[T any](queue []T, item func(T) Item) Counts {
	var c Counts
	for _, t := range queue {
		switch i := item(t); {
		case i.Late():
			c.Late++
		case i.Class == Deferred:
			c.Deferred++
		default:
			c.Planned++
		}
	}
	return c
}
