package queue_test

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// reference makes the decisions of queue.PriorityPolicy by scanning plain slices.
type reference struct {
	slots, limit int
	waiting      []queue.Entry
	running      []queue.Entry
	yielding     map[queue.ID]bool
	virtual      map[standing]float64
	finish       map[account]float64
	outOfTurn    bool
	// begun is when entries started, served how long online ones ran.
	begun  map[queue.ID]time.Time
	served []service
}

type service struct {
	weight int
	took   time.Duration
}

type standing struct {
	urgency request.Urgency
	weight  int
}

type account struct {
	standing
	organisation string
}

func newReference(slots, limit int) *reference {
	return &reference{
		slots: slots, limit: limit, yielding: map[queue.ID]bool{},
		virtual: map[standing]float64{}, finish: map[account]float64{},
		begun: map[queue.ID]time.Time{},
	}
}

func of(e queue.Entry) account { return account{standing{e.Urgency, e.Weight}, e.Organisation} }

// tag is the start tag of a flow's head while the flow has waiting entries.
func (r *reference) tag(a account) float64 { return r.finish[a] }

func (r *reference) lane(u request.Urgency) []queue.Entry {
	var list []queue.Entry
	for _, e := range r.waiting {
		if e.Urgency == u {
			list = append(list, e)
		}
	}
	return list
}

func (r *reference) backlog(a account) int {
	n := 0
	for _, e := range r.waiting {
		if of(e) == a {
			n++
		}
	}
	return n
}

func (r *reference) offer(now time.Time, e queue.Entry) []queue.Action {
	if r.backlog(of(e)) == 0 {
		r.finish[of(e)] = max(r.virtual[of(e).standing], r.finish[of(e)])
	}
	r.waiting = append(r.waiting, e)
	actions := r.fill(now)
	if r.holds(e.ID) && r.hopeless(now, e, r.wait(e)) {
		r.drop(e.ID)
		actions = append(actions, queue.Action{Kind: queue.Refuse, ID: e.ID})
	}
	limit := r.limit
	if e.Urgency == request.Batch {
		limit *= 4
	}
	for len(r.lane(e.Urgency)) > limit {
		worst := slices.MinFunc(r.lane(e.Urgency), func(a, b queue.Entry) int {
			if a.Weight != b.Weight {
				return a.Weight - b.Weight
			}
			if x, y := r.backlog(of(a))*b.Share, r.backlog(of(b))*a.Share; x != y {
				return y - x
			}
			return int(b.ID) - int(a.ID)
		})
		r.drop(worst.ID)
		actions = append(actions, queue.Action{Kind: queue.Refuse, ID: worst.ID})
	}
	return actions
}

func (r *reference) holds(id queue.ID) bool {
	return slices.ContainsFunc(r.waiting, func(e queue.Entry) bool { return e.ID == id })
}

// mean is the weighted mean of the service times that count, and whether
// there are enough of them.
func (r *reference) mean(counts func(service) bool) (value, deviation time.Duration, known bool) {
	n := 0
	for _, s := range r.served {
		if counts(s) {
			n++
			off := s.took - value
			value += off / time.Duration(min(n, 16))
			deviation += (off.Abs() - deviation) / time.Duration(min(n, 16))
		}
	}
	return value, deviation, n >= 8
}

// wait is how long e waits for a slot.
func (r *reference) wait(e queue.Entry) time.Duration {
	higher, equal, shares := 0, 0, map[string]int{}
	for _, other := range r.lane(e.Urgency) {
		if other.Weight > e.Weight {
			higher++
		}
		if other.Weight == e.Weight {
			equal++
			shares[other.Organisation] = other.Share
		}
	}
	all := 0
	for _, share := range shares {
		all += share
	}
	fair := (r.backlog(of(e))*all + e.Share - 1) / e.Share
	mean, _, known := r.mean(func(service) bool { return true })
	if !known {
		return 0
	}
	return time.Duration(higher+min(equal, fair)) * mean / time.Duration(r.slots)
}

func (r *reference) hopeless(now time.Time, e queue.Entry, wait time.Duration) bool {
	if e.Deadline.IsZero() {
		return false
	}
	mean, deviation, known := r.mean(func(s service) bool { return s.weight == e.Weight })
	return now.After(e.Deadline) || (known && now.Add(wait+mean+2*deviation).After(e.Deadline))
}

func (r *reference) drop(id queue.ID) {
	for i, e := range r.waiting {
		if e.ID != id {
			continue
		}
		r.waiting = slices.Delete(r.waiting, i, i+1)
		r.forget(of(e).standing)
		return
	}
}

// forget ends the busy period of a standing in which nothing waits.
func (r *reference) forget(s standing) {
	for _, e := range r.waiting {
		if of(e).standing == s {
			return
		}
	}
	delete(r.virtual, s)
	for a := range r.finish {
		if a.standing == s {
			delete(r.finish, a)
		}
	}
}

func (r *reference) head(u request.Urgency) queue.Entry {
	first := func(a account) queue.ID {
		var mine []queue.Entry
		for _, e := range r.waiting {
			if of(e) == a {
				mine = append(mine, e)
			}
		}
		return slices.MinFunc(mine, within).ID
	}
	return slices.MinFunc(r.lane(u), func(a, b queue.Entry) int {
		if a.Weight != b.Weight {
			return b.Weight - a.Weight
		}
		if of(a) == of(b) {
			return within(a, b)
		}
		if x, y := r.tag(of(a)), r.tag(of(b)); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return int(first(of(a))) - int(first(of(b)))
	})
}

// within is the order inside one organisation.
func within(a, b queue.Entry) int {
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
	if r.outOfTurn {
		r.outOfTurn = false
		return r.head(request.Batch)
	}
	due := slices.MinFunc(r.lane(request.Batch), func(a, b queue.Entry) int {
		if c := a.Due.Compare(b.Due); c != 0 {
			return c
		}
		return int(a.ID) - int(b.ID)
	})
	if due.Due.Sub(now) > 5*time.Minute {
		return r.head(request.Batch)
	}
	r.outOfTurn = true
	return due
}

func (r *reference) occupied() int { return len(r.running) - len(r.yielding) }

func loss(e queue.Entry) int {
	n := 1 + e.PromptTokens + e.ProducedTokens
	if e.NotResumable {
		n += 16 * e.ProducedTokens
	}
	return n << e.Preemptions
}

func (r *reference) victim() (queue.ID, bool) {
	var can []queue.Entry
	for _, e := range r.running {
		if e.Urgency == request.Batch && !e.NonPreemptible && !r.yielding[e.ID] {
			can = append(can, e)
		}
	}
	if len(can) == 0 {
		return 0, false
	}
	return slices.MinFunc(can, func(a, b queue.Entry) int {
		if x, y := loss(a), loss(b); x != y {
			return x - y
		}
		return int(b.ID) - int(a.ID)
	}).ID, true
}

func (r *reference) start(now time.Time, e queue.Entry) queue.Action {
	r.begun[e.ID] = now
	a := of(e)
	if r.head(e.Urgency).Weight == e.Weight && of(r.head(e.Urgency)) == a {
		r.virtual[a.standing] = max(r.virtual[a.standing], r.finish[a])
	}
	r.finish[a] += 1 / float64(e.Share)
	r.drop(e.ID)
	r.running = append(r.running, e)
	return queue.Action{Kind: queue.Start, ID: e.ID}
}

func (r *reference) fill(now time.Time) []queue.Action {
	var actions []queue.Action
	yield := func() bool {
		id, ok := r.victim()
		if ok {
			r.yielding[id] = true
			actions = append(actions, queue.Action{Kind: queue.Preempt, ID: id})
		}
		return ok
	}
	for r.occupied() > r.slots && yield() {
	}
	for len(r.lane(request.Online)) > 0 {
		if e := r.head(request.Online); len(r.lane(request.Online)) > 1 && r.hopeless(now, e, 0) {
			r.drop(e.ID)
			actions = append(actions, queue.Action{Kind: queue.Refuse, ID: e.ID})
			continue
		}
		if r.occupied() > r.slots || (r.occupied() == r.slots && !yield()) {
			break
		}
		actions = append(actions, r.start(now, r.head(request.Online)))
	}
	for len(r.lane(request.Batch)) > 0 && len(r.running) < r.slots {
		actions = append(actions, r.start(now, r.nextBatch(now)))
	}
	return actions
}

func (r *reference) finished(now time.Time, id queue.ID) []queue.Action {
	at := slices.IndexFunc(r.running, func(e queue.Entry) bool { return e.ID == id })
	if at < 0 {
		return nil
	}
	if e := r.running[at]; e.Urgency == request.Online {
		r.served = append(r.served, service{e.Weight, now.Sub(r.begun[id])})
	}
	r.running = slices.Delete(r.running, at, at+1)
	delete(r.yielding, id)
	return r.fill(now)
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
	return r.fill(now)
}

func (r *reference) tick(now time.Time) []queue.Action {
	var actions []queue.Action
	for {
		timed := slices.DeleteFunc(slices.Clone(r.waiting), func(e queue.Entry) bool { return e.Deadline.IsZero() })
		if len(timed) == 0 {
			return actions
		}
		e := slices.MinFunc(timed, func(a, b queue.Entry) int {
			if c := a.Deadline.Compare(b.Deadline); c != 0 {
				return c
			}
			return int(a.ID) - int(b.ID)
		})
		if !r.hopeless(now, e, 0) {
			return actions
		}
		r.drop(e.ID)
		actions = append(actions, queue.Action{Kind: queue.Refuse, ID: e.ID})
	}
}
