package queue

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// fullQueueRetry is the fixed retry time that a full FIFO returns.
const fullQueueRetry = time.Second

// FIFO is the baseline that other policies are compared with: first in, first
// out for all urgencies, no preemption, and a full queue refuses the new entry.
type FIFO struct {
	slots   int
	limit   int
	waiting []Entry
	running map[ID]request.Urgency
}

var _ Policy = (*FIFO)(nil)

// NewFIFO returns an empty queue for a backend server with that many slots;
// limit bounds the waiting requests.
func NewFIFO(slots, limit int) *FIFO {
	return &FIFO{slots: max(1, slots), limit: max(1, limit), running: make(map[ID]request.Urgency)}
}

// Offer adds a waiting entry, or refuses it if the queue is full.
func (q *FIFO) Offer(_ time.Time, e Entry) []Action {
	if len(q.waiting) >= q.limit {
		err := result.New(result.Overloaded, "queue of the back end is full").WithRetry(fullQueueRetry)
		return []Action{{Kind: Refuse, ID: e.ID, Err: err}}
	}
	q.waiting = append(q.waiting, e)
	return q.schedule()
}

func (q *FIFO) schedule() []Action {
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
	return q.schedule()
}

// Withdraw removes a waiting entry whose caller is gone.
func (q *FIFO) Withdraw(_ time.Time, id ID) []Action {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return nil
}

// Progress does nothing.
func (q *FIFO) Progress(ID, int) {}

// Resize changes the number of slots.
func (q *FIFO) Resize(_ time.Time, slots int) []Action {
	q.slots = max(1, slots)
	return q.schedule()
}

// Tick refuses the entries whose deadline has passed.
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

// Counts returns the current load.
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
