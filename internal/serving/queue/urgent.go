package queue

import (
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const retryAfterOverload = time.Second

// Urgent is the Policy of production: online before batch always, batch
// yields its slot to a waiting online request, and a full queue refuses the
// lowest weight first.
type Urgent struct {
	// slots and limit are at least 1.
	slots int
	limit int
	// online waits in order of arrival, batch in order of weight, then due time.
	online  []Entry
	batch   []Entry
	running map[ID]*Entry
	// yielding holds the running entries that were told to yield.
	yielding map[ID]bool
}

var _ Policy = (*Urgent)(nil)

// NewUrgent returns an empty queue for a back end with that many slots; limit
// bounds the online requests that wait.
func NewUrgent(slots, limit int) *Urgent {
	return &Urgent{slots: slots, limit: limit, running: make(map[ID]*Entry), yielding: make(map[ID]bool)}
}

// Offer adds an entry that waits.
func (q *Urgent) Offer(now time.Time, e Entry) []Action {
	if e.Urgency == request.Batch {
		q.insertBatch(e)
		return q.fill(now)
	}
	var actions []Action
	q.online = append(q.online, e)
	if len(q.online) > q.limit {
		actions = append(actions, q.refuseLowest())
	}
	return append(actions, q.fill(now)...)
}

func (q *Urgent) insertBatch(e Entry) {
	at := sort.Search(len(q.batch), func(i int) bool { return batchBefore(e, q.batch[i]) })
	q.batch = append(q.batch, Entry{})
	copy(q.batch[at+1:], q.batch[at:])
	q.batch[at] = e
}

func batchBefore(a, b Entry) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return a.Due.Before(b.Due)
}

// refuseLowest removes the lowest weight, the latest arrival among equals.
func (q *Urgent) refuseLowest() Action {
	lowest := len(q.online) - 1
	for i := len(q.online) - 1; i >= 0; i-- {
		if q.online[i].Weight < q.online[lowest].Weight {
			lowest = i
		}
	}
	id := q.online[lowest].ID
	q.online = append(q.online[:lowest], q.online[lowest+1:]...)
	err := result.New(result.Overloaded, "queue of the back end is full").WithRetry(retryAfterOverload)
	return Action{Kind: Refuse, ID: id, Err: err}
}

// fill starts what fits and asks batch to yield for what does not.
func (q *Urgent) fill(time.Time) []Action {
	var actions []Action
	for len(q.online) > 0 && q.occupied() < q.slots {
		actions = append(actions, q.start(q.online[0]))
		q.online = q.online[1:]
	}
	for range q.online {
		id, ok := q.cheapest()
		if !ok {
			break
		}
		q.yielding[id] = true
		actions = append(actions, Action{Kind: Yield, ID: id}, q.start(q.online[0]))
		q.online = q.online[1:]
	}
	for len(q.batch) > 0 && q.occupied() < q.slots {
		actions = append(actions, q.start(q.batch[0]))
		q.batch = q.batch[1:]
	}
	return actions
}

// occupied counts the running entries that were not told to yield.
func (q *Urgent) occupied() int { return len(q.running) - len(q.yielding) }

func (q *Urgent) start(e Entry) Action {
	q.running[e.ID] = &e
	return Action{Kind: Start, ID: e.ID}
}

// cheapest returns the running batch entry that loses least by a cancel.
func (q *Urgent) cheapest() (ID, bool) {
	var best *Entry
	for id, e := range q.running {
		if e.Urgency != request.Batch || e.Pinned || q.yielding[id] {
			continue
		}
		if best == nil || e.Produced < best.Produced || (e.Produced == best.Produced && id > best.ID) {
			best = e
		}
	}
	if best == nil {
		return 0, false
	}
	return best.ID, true
}

// Finished frees the slot of a started entry.
func (q *Urgent) Finished(now time.Time, id ID) []Action {
	delete(q.running, id)
	delete(q.yielding, id)
	return q.fill(now)
}

// Withdraw removes a waiting entry.
func (q *Urgent) Withdraw(_ time.Time, id ID) []Action {
	q.online = without(q.online, id)
	q.batch = without(q.batch, id)
	return nil
}

func without(list []Entry, id ID) []Entry {
	for i := range list {
		if list[i].ID == id {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Progress notes that a running entry produced tokens.
func (q *Urgent) Progress(id ID, tokens int) {
	if e, ok := q.running[id]; ok {
		e.Produced += tokens
	}
}

// Resize changes the number of slots.
func (q *Urgent) Resize(now time.Time, slots int) []Action {
	q.slots = max(1, slots)
	return q.fill(now)
}

// Tick refuses the online entries whose deadline passed.
func (q *Urgent) Tick(now time.Time) []Action {
	var actions []Action
	kept := q.online[:0]
	for _, e := range q.online {
		if !e.Deadline.IsZero() && now.After(e.Deadline) {
			err := result.New(result.DeadlineTooShort, "waited past the deadline for a slot")
			actions = append(actions, Action{Kind: Refuse, ID: e.ID, Err: err})
			continue
		}
		kept = append(kept, e)
	}
	q.online = kept
	return actions
}

// Counts returns the load.
func (q *Urgent) Counts() Counts {
	c := Counts{
		Running: q.occupied(), Waiting: len(q.online) + len(q.batch),
		BatchWaiting: len(q.batch), Slots: q.slots,
	}
	for id, e := range q.running {
		if e.Urgency == request.Batch && !q.yielding[id] {
			c.BatchRunning++
		}
	}
	return c
}
