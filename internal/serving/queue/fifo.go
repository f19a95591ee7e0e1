package queue

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// naiveRetry is the fixed retry time of a full naive queue.
const naiveRetry = time.Second

// FIFO is the Policy that others are measured against: first in, first out
// for all urgencies, nothing yields, and a full queue refuses the newcomer.
type FIFO struct {
	slots   int
	limit   int
	waiting []Entry
	running map[ID]request.Urgency
}

var _ Policy = (*FIFO)(nil)

// NewFIFO returns an empty queue for a back end with that many slots; limit
// bounds the requests that wait.
func NewFIFO(slots, limit int) *FIFO {
	return &FIFO{slots: max(1, slots), limit: max(1, limit), running: make(map[ID]request.Urgency)}
}

// Offer adds an entry that waits.
func (q *FIFO) Offer(_ time.Time, e Entry) []Action {
	if len(q.waiting) >= q.limit {
		err := result.New(result.Overloaded, "queue of the back end is full").WithRetry(naiveRetry)
		return []Action{{Kind: Refuse, ID: e.ID, Err: err}}
	}
	q.waiting = append(q.waiting, e)
	return q.fill()
}

func (q *FIFO) fill() []Action {
	var actions []Action
	for len(q.waiting) > 0 && len(q.running) < q.slots {
		e := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running[e.ID] = e.Urgency
		actions = append(actions, Action{Kind: Start, ID: e.ID})
	}
	return actions
}

// Finished frees the slot of a started entry.
func (q *FIFO) Finished(_ time.Time, id ID) []Action {
	delete(q.running, id)
	return q.fill()
}

// Withdraw removes a waiting entry whose caller left.
func (q *FIFO) Withdraw(_ time.Time, id ID) []Action {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return nil
}

// Progress changes nothing.
func (q *FIFO) Progress(ID, int) {}

// Resize changes the number of slots.
func (q *FIFO) Resize(_ time.Time, slots int) []Action {
	q.slots = max(1, slots)
	return q.fill()
}

// Tick refuses the entries whose deadline passed.
func (q *FIFO) Tick(now time.Time) []Action {
	var actions []Action
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		if !e.Deadline.IsZero() && now.After(e.Deadline) {
			err := result.New(result.DeadlineTooShort, "waited past the deadline for a slot")
			actions = append(actions, Action{Kind: Refuse, ID: e.ID, Err: err})
			continue
		}
		kept = append(kept, e)
	}
	q.waiting = kept
	return actions
}

// Counts returns the load.
func (q *FIFO) Counts() Counts {
	c := Counts{Running: len(q.running), Waiting: len(q.waiting), Slots: q.slots}
	for _, urgency := range q.running {
		if urgency == request.Batch {
			c.BatchRunning++
		}
	}
	for _, e := range q.waiting {
		if e.Urgency == request.Batch {
			c.BatchWaiting++
		}
	}
	return c
}
