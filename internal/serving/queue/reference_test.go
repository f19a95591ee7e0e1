package queue_test

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// reference is a model of queue.PriorityPolicy that makes the same decisions by
// scanning plain slices.
type reference struct {
	slots, limit  int
	waiting       []queue.Entry
	running       []queue.Entry
	preempting    map[queue.ID]bool
	virtualTime   map[weightClass]float64
	finishTag     map[flowKey]float64
	lastOutOfTurn bool
	// startedAt holds when entries started, served how long online entries ran.
	startedAt map[queue.ID]time.Time
	served    []serviceTime
}

type serviceTime struct {
	weight   int
	duration time.Duration
}

type weightClass struct {
	urgency request.Urgency
	weight  int
}

type flowKey struct {
	weightClass
	organisation string
}

func newReference(slots, limit int) *reference {
	return &reference{
		slots: slots, limit: limit, preempting: map[queue.ID]bool{},
		virtualTime: map[weightClass]float64{}, finishTag: map[flowKey]float64{},
		startedAt: map[queue.ID]time.Time{},
	}
}

func flowOf(e queue.Entry) flowKey { return flowKey{weightClass{e.Urgency, e.Weight}, e.Organisation} }

// startTag is the start tag of the head of a flow that has waiting entries.
func (r *reference) startTag(a flowKey) float64 { return r.finishTag[a] }

func (r *reference) waitingOf(u request.Urgency) []queue.Entry {
	var list []queue.Entry
	for _, e := range r.waiting {
		if e.Urgency == u {
			list = append(list, e)
		}
	}
	return list
}

func (r *reference) backlog(a flowKey) int {
	n := 0
	for _, e := range r.waiting {
		if flowOf(e) == a {
			n++
		}
	}
	return n
}

func (r *reference) offer(now time.Time, e queue.Entry) []queue.Action {
	if r.backlog(flowOf(e)) == 0 {
		r.finishTag[flowOf(e)] = max(r.virtualTime[flowOf(e).weightClass], r.finishTag[flowOf(e)])
	}
	r.waiting = append(r.waiting, e)
	actions := r.schedule(now)
	if r.isWaiting(e.ID) && r.missesDeadline(now, e, r.expectedWait(e)) {
		r.remove(e.ID)
		actions = append(actions, queue.Action{Kind: queue.Refuse, ID: e.ID})
	}
	limit := r.limit
	if e.Urgency == request.Batch {
		limit *= 4
	}
	for len(r.waitingOf(e.Urgency)) > limit {
		refused := slices.MinFunc(r.waitingOf(e.Urgency), func(a, b queue.Entry) int {
			if a.Weight != b.Weight {
				return a.Weight - b.Weight
			}
			if x, y := r.backlog(flowOf(a))*b.Share, r.backlog(flowOf(b))*a.Share; x != y {
				return y - x
			}
			return int(b.ID) - int(a.ID)
		})
		r.remove(refused.ID)
		actions = append(actions, queue.Action{Kind: queue.Refuse, ID: refused.ID})
	}
	return actions
}

func (r *reference) isWaiting(id queue.ID) bool {
	return slices.ContainsFunc(r.waiting, func(e queue.Entry) bool { return e.ID == id })
}

// mean returns the weighted mean and deviation of the service times that match
// selects, and whether there are enough of them.
func (r *reference) mean(match func(serviceTime) bool) (value, deviation time.Duration, known bool) {
	n := 0
	for _, s := range r.served {
		if match(s) {
			n++
			diff := s.duration - value
			value += diff / time.Duration(min(n, 16))
			deviation += (diff.Abs() - deviation) / time.Duration(min(n, 16))
		}
	}
	return value, deviation, n >= 8
}

// expectedWait is how long e is expected to wait for a slot.
func (r *reference) expectedWait(e queue.Entry) time.Duration {
	higher, equal, shares := 0, 0, map[string]int{}
	for _, other := range r.waitingOf(e.Urgency) {
		if other.Weight > e.Weight {
			higher++
		}
		if other.Weight == e.Weight {
			equal++
			shares[other.Organisation] = other.Share
		}
	}
	allShares := 0
	for _, share := range shares {
		allShares += share
	}
	fair := (r.backlog(flowOf(e))*allShares + e.Share - 1) / e.Share
	mean, _, known := r.mean(func(serviceTime) bool { return true })
	if !known {
		return 0
	}
	return time.Duration(higher+min(equal, fair)) * mean / time.Duration(r.slots)
}

func (r *reference) missesDeadline(now time.Time, e queue.Entry, wait time.Duration) bool {
	if e.Deadline.IsZero() {
		return false
	}
	mean, deviation, known := r.mean(func(s serviceTime) bool { return s.weight == e.Weight })
	return now.After(e.Deadline) || (known && now.Add(wait+mean+2*deviation).After(e.Deadline))
}

func (r *reference) remove(id queue.ID) {
	for i, e := range r.waiting {
		if e.ID != id {
			continue
		}
		r.waiting = slices.Delete(r.waiting, i, i+1)
		r.endBusyPeriod(flowOf(e).weightClass)
		return
	}
}

// endBusyPeriod resets the tags of a weight class without waiting entries.
func (r *reference) endBusyPeriod(s weightClass) {
	for _, e := range r.waiting {
		if flowOf(e).weightClass == s {
			return
		}
	}
	delete(r.virtualTime, s)
	for a := range r.finishTag {
		if a.weightClass == s {
			delete(r.finishTag, a)
		}
	}
}

func (r *reference) head(u request.Urgency) queue.Entry {
	firstID := func(a flowKey) queue.ID {
		var inFlow []queue.Entry
		for _, e := range r.waiting {
			if flowOf(e) == a {
				inFlow = append(inFlow, e)
			}
		}
		return slices.MinFunc(inFlow, compareInFlow).ID
	}
	return slices.MinFunc(r.waitingOf(u), func(a, b queue.Entry) int {
		if a.Weight != b.Weight {
			return b.Weight - a.Weight
		}
		if flowOf(a) == flowOf(b) {
			return compareInFlow(a, b)
		}
		if x, y := r.startTag(flowOf(a)), r.startTag(flowOf(b)); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return int(firstID(flowOf(a))) - int(firstID(flowOf(b)))
	})
}

// compareInFlow compares entries of the same organisation by start order.
func compareInFlow(a, b queue.Entry) int {
	if (a.Preemptions > 0) != (b.Preemptions > 0) {
		if a.Preemptions > 0 {
			return -1
		}
		return 1
	}
	if c := a.Due.Compare(b.Due); c != 0 {
		return c
	}
	return int(a.ID) - int(b.ID)
}

func (r *reference) nextBatch(now time.Time) queue.Entry {
	if r.lastOutOfTurn {
		r.lastOutOfTurn = false
		return r.head(request.Batch)
	}
	earliest := slices.MinFunc(r.waitingOf(request.Batch), func(a, b queue.Entry) int {
		if c := a.Due.Compare(b.Due); c != 0 {
			return c
		}
		return int(a.ID) - int(b.ID)
	})
	if earliest.Due.Sub(now) > 5*time.Minute {
		return r.head(request.Batch)
	}
	r.lastOutOfTurn = true
	return earliest
}

func (r *reference) occupiedSlots() int { return len(r.running) - len(r.preempting) }

func preemptionCost(e queue.Entry) int {
	cost := 1 + e.PromptTokens + e.ProducedTokens
	if e.NotResumable {
		cost += 16 * e.ProducedTokens
	}
	return cost << e.Preemptions
}

func (r *reference) victim() (queue.ID, bool) {
	var candidates []queue.Entry
	for _, e := range r.running {
		if e.Urgency == request.Batch && !e.NonPreemptible && !r.preempting[e.ID] {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return slices.MinFunc(candidates, func(a, b queue.Entry) int {
		if x, y := preemptionCost(a), preemptionCost(b); x != y {
			return x - y
		}
		return int(b.ID) - int(a.ID)
	}).ID, true
}

func (r *reference) start(now time.Time, e queue.Entry) queue.Action {
	r.startedAt[e.ID] = now
	a := flowOf(e)
	if r.head(e.Urgency).Weight == e.Weight && flowOf(r.head(e.Urgency)) == a {
		r.virtualTime[a.weightClass] = max(r.virtualTime[a.weightClass], r.finishTag[a])
	}
	r.finishTag[a] += 1 / float64(e.Share)
	r.remove(e.ID)
	r.running = append(r.running, e)
	return queue.Action{Kind: queue.Start, ID: e.ID}
}

func (r *reference) schedule(now time.Time) []queue.Action {
	var actions []queue.Action
	preempt := func() bool {
		id, ok := r.victim()
		if ok {
			r.preempting[id] = true
			actions = append(actions, queue.Action{Kind: queue.Preempt, ID: id})
		}
		return ok
	}
	for r.occupiedSlots() > r.slots && preempt() {
	}
	for len(r.waitingOf(request.Online)) > 0 {
		if e := r.head(request.Online); len(r.waitingOf(request.Online)) > 1 && r.missesDeadline(now, e, 0) {
			r.remove(e.ID)
			actions = append(actions, queue.Action{Kind: queue.Refuse, ID: e.ID})
			continue
		}
		if r.occupiedSlots() > r.slots || (r.occupiedSlots() == r.slots && !preempt()) {
			break
		}
		actions = append(actions, r.start(now, r.head(request.Online)))
	}
	for len(r.waitingOf(request.Batch)) > 0 && len(r.running) < r.slots {
		actions = append(actions, r.start(now, r.nextBatch(now)))
	}
	return actions
}

func (r *reference) finished(now time.Time, id queue.ID) []queue.Action {
	index := slices.IndexFunc(r.running, func(e queue.Entry) bool { return e.ID == id })
	if index < 0 {
		return nil
	}
	if e := r.running[index]; e.Urgency == request.Online {
		r.served = append(r.served, serviceTime{e.Weight, now.Sub(r.startedAt[id])})
	}
	r.running = slices.Delete(r.running, index, index+1)
	delete(r.preempting, id)
	return r.schedule(now)
}

func (r *reference) progress(id queue.ID, tokens int) {
	for i := range r.running {
		if r.running[i].ID == id {
			r.running[i].ProducedTokens += tokens
		}
	}
}

func (r *reference) resize(now time.Time, slots int) []queue.Action {
	r.slots = max(1, slots)
	return r.schedule(now)
}

func (r *reference) tick(now time.Time) []queue.Action {
	var actions []queue.Action
	for {
		withDeadline := slices.DeleteFunc(slices.Clone(r.waiting), func(e queue.Entry) bool { return e.Deadline.IsZero() })
		if len(withDeadline) == 0 {
			return actions
		}
		e := slices.MinFunc(withDeadline, func(a, b queue.Entry) int {
			if c := a.Deadline.Compare(b.Deadline); c != 0 {
				return c
			}
			return int(a.ID) - int(b.ID)
		})
		if !r.missesDeadline(now, e, 0) {
			return actions
		}
		r.remove(e.ID)
		actions = append(actions, queue.Action{Kind: queue.Refuse, ID: e.ID})
	}
}
