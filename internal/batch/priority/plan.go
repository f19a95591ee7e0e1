package priority

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Capacity is what is measured of the slots of one service that batch items can use.
// The zero value is ready for use.
type Capacity struct {
	at time.Time
	// free is the mean of Sample.Free.
	free float64
	// running and interrupted are the mean numbers of begun items that have a slot and
	// that wait for one, preemptions the mean number of preemptions a second.
	running, interrupted, preemptions float64
}

const (
	// capacityWindow is the time constant of the averages. Surges of online requests
	// follow each other within about 5 s; items are due after about 18 s.
	capacityWindow = 10 * time.Second
	// maxInterruption bounds Interruption, which is a ratio of small numbers while few
	// items run.
	maxInterruption = 2
)

// Sample is the state of a service at one time.
type Sample struct {
	// Free is the number of slots that online requests and the reserve for them leave, at all servers that
	// the items of this host may run on.
	Free int
	// Running and Interrupted are the numbers of this host's begun items that have a
	// slot and that wait for one.
	Running, Interrupted int
	// Preempted is the number of preemptions of this host's items since the sample
	// before.
	Preempted int
}

// Observe adds a sample to the averages.
func (c *Capacity) Observe(now time.Time, s Sample) {
	if c.at.IsZero() {
		*c = Capacity{at: now, free: float64(s.Free), running: float64(s.Running), interrupted: float64(s.Interrupted)}
		return
	}
	elapsed := now.Sub(c.at).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/capacityWindow.Seconds())
	c.at = now
	c.free += weight * (float64(s.Free) - c.free)
	c.running += weight * (float64(s.Running) - c.running)
	c.interrupted += weight * (float64(s.Interrupted) - c.interrupted)
	c.preemptions += weight * (float64(s.Preempted)/elapsed - c.preemptions)
}

// Measured reports whether there has been a sample.
func (c *Capacity) Measured() bool { return !c.at.IsZero() }

// Free returns the mean of Sample.Free.
func (c *Capacity) Free() float64 { return c.free }

// Interruption returns for how long a begun item waits for a slot, on average, for
// each unit of time that it runs.
func (c *Capacity) Interruption() float64 {
	if c.running <= 0 {
		return 0
	}
	return min(c.interrupted/c.running, maxInterruption)
}

// Wait returns for how long a preempted item waits for another slot, on average.
func (c *Capacity) Wait() time.Duration {
	if c.preemptions <= 0 {
		return 0
	}
	return time.Duration(c.interrupted / c.preemptions * float64(time.Second))
}

// Competition is the batch work that shares the slots of a service with a queue.
type Competition struct {
	// Running is the number of running items of all hosts.
	Running int
	// Planned is the number of waiting items of other hosts that these expect to be on
	// time.
	Planned int
}

// Plan sets the classes of the waiting items of a service by what can be on time. If
// all can, they are Planned. Otherwise those that others can be on time without are
// Deferred, and those that have begun are Preferred.
//
// It is the algorithm of Moore and Hodgson for the largest number of jobs on time, on
// the measured capacity: in the order of slack, whenever an item would start too late,
// the longest of the items up to it is deferred. That is one that has not begun; of
// these, which have the same estimate, the one with the least slack.
//
// Items are deferred only if the waiting ones exceed the capacity, which includes the slots
// that surges take, on average. Only then do all items need to wait for the work of those
// that run, and those that have not begun need some slack for the interruptions that they
// must expect: with these margins at all times, bursts of jobs that all could be on time
// made hosts defer items of them.
//
// Other hosts have items of their own. A host does not know their slacks but their
// number, and takes them to be distributed like its own items, so that the plans of all
// hosts together fill the capacity once.
func Plan(queue []*Item, c *Capacity, others Competition) {
	var order []*Item
	var total time.Duration
	for _, i := range queue {
		i.Class = Planned
		if !i.Late() {
			order = append(order, i)
			total += i.Remaining
		}
	}
	if len(order) == 0 {
		return
	}
	slices.SortFunc(order, func(a, b *Item) int { return cmp.Or(cmp.Compare(a.Slack, b.Slack), cmp.Compare(a.Key, b.Key)) })
	f := forecast{slots: max(c.free, 1), share: float64(len(order)+others.Planned) / float64(len(order))}
	if !f.deferItems(order) {
		return
	}
	// Running items have done half of their work, on average.
	f.ahead = float64(others.Running) * float64(total) / float64(len(order)) / 2
	f.margin = interruptionMargin * c.Interruption()
	f.deferItems(order)
	for _, i := range order {
		if i.Begun() {
			i.Class = Preferred
		}
	}
}

// interruptionMargin is the part of the expected interruptions that the slack of an item
// which has not begun must cover. With all of it, items were deferred that could have been
// on time (11 of 4,014 drawn ones, with enough room); with none, 30 of 11,323 became late
// instead of 16, with half of the room.
const interruptionMargin = 0.5

// forecast predicts when waiting items start.
type forecast struct {
	slots float64
	// share is the number of items of all hosts for each item of this one.
	share float64
	// ahead is the work that is done before the waiting items, as slot time. It is 0 if the
	// slots of the running items become free one after the other.
	ahead float64
	// margin is the slack that an item which has not begun needs, in parts of its run
	// time.
	margin float64
}

// deferItems defers items so that the others start in time, and reports whether it
// deferred any. The order is that of their slacks.
func (f forecast) deferItems(order []*Item) (deferred bool) {
	work := func(i *Item) float64 { return float64(i.Remaining) * f.share }
	ahead := f.ahead
	// Items before next are deferred or have begun.
	next := 0
	for n, i := range order {
		i.Class = Planned
		latest := float64(i.Slack)
		if !i.Begun() {
			latest -= f.margin * float64(i.Remaining)
		}
		for ahead/f.slots > latest {
			for next <= n && order[next].Begun() {
				next++
			}
			if next > n {
				break
			}
			order[next].Class, deferred = Deferred, true
			if next++; next > n {
				break
			}
			ahead -= work(order[next-1])
		}
		if i.Class != Deferred {
			ahead += work(i)
		}
	}
	return deferred
}
