package queue

import (
	"math"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// slackThreshold is the time before its due time from which a batch entry
	// may start out of turn; at most every second batch start is out of turn.
	slackThreshold = 5 * time.Minute
	// decodeCost is the cost of producing one token again, in prompt tokens.
	decodeCost = 16
	// batchLimitFactor is the limit of waiting batch entries relative to that
	// of waiting online ones.
	batchLimitFactor = 4
)

const missedDeadlineMessage = "waited too long for a slot to meet the deadline"

// PriorityPolicy is the production Policy. Online requests always start before
// batch entries, and running batch entries are preempted for waiting online
// requests. Entries of higher weight start first, organisations share fairly
// among entries of equal weight, and a full queue refuses the lowest weight
// first.
//
// Every operation costs O(log n) for each entry that it starts or refuses.
// These invariants hold between any two calls:
//
//   - while an online request waits, every running batch entry that may be
//     preempted has been preempted;
//   - the running entries that have not been preempted do not exceed slots,
//     except for online and non-preemptible entries that were running when slots
//     decreased;
//   - an entry is either in online, in batch or counted in running.
type PriorityPolicy struct {
	// slots and limit are at least 1; limit bounds the online queue.
	slots  int
	limit  int
	online *fairQueue
	batch  *fairQueue
	// entries holds every waiting or running entry.
	entries map[ID]*entry
	// running counts the started entries that have not finished, preempting those
	// of them that have been preempted.
	running      int
	preempting   int
	batchRunning int
	// victims orders the running batch entries that may be preempted by the
	// cost of cancelling them.
	victims      *heap[*entry]
	serviceTimes serviceTimes
	// lastOutOfTurn is true if the last batch entry started out of turn because
	// it was due soon.
	lastOutOfTurn bool
}

var _ Policy = (*PriorityPolicy)(nil)

// NewPriorityPolicy returns an empty queue for a backend server with that many
// slots; limit bounds the waiting online requests.
func NewPriorityPolicy(slots, limit int) *PriorityPolicy {
	return &PriorityPolicy{
		slots: max(1, slots), limit: max(1, limit), online: newFairQueue(), batch: newFairQueue(), entries: make(map[ID]*entry),
		victims:      newHeap(preemptedBefore, func(e *entry, i int) { e.victimIndex = i }),
		serviceTimes: serviceTimes{byWeight: make(map[int]*movingMean)},
	}
}

// preemptionCost is what cancelling e costs the engine, in prompt tokens: the
// prompt and the produced tokens are processed again, and an entry that cannot
// be resumed produces its tokens again. The cost doubles with each earlier
// preemption, so that no entry is always the cheapest.
func (e *entry) preemptionCost() float64 {
	preemptionCost := 1 + e.PromptTokens + e.ProducedTokens
	if e.NotResumable {
		preemptionCost += e.ProducedTokens * decodeCost
	}
	return math.Ldexp(float64(preemptionCost), e.Preemptions)
}

func preemptedBefore(a, b *entry) bool {
	if x, y := a.preemptionCost(), b.preemptionCost(); x != y {
		return x < y
	}
	return a.ID > b.ID
}

// Offer adds a waiting entry.
func (q *PriorityPolicy) Offer(now time.Time, in Entry) []Action {
	e := &entry{Entry: in, orderIndex: -1, newestIndex: -1, expiryIndex: -1, victimIndex: -1}
	q.entries[in.ID] = e
	if in.Urgency == request.Batch {
		q.batch.push(e)
		actions := q.schedule(now)
		return q.enforceLimit(q.batch, q.limit*batchLimitFactor, actions)
	}
	q.online.push(e)
	actions := q.schedule(now)
	if e.flow != nil && q.serviceTimes.missesDeadline(now, e, q.serviceTimes.expectedWait(q.online.entriesAhead(e), q.slots)) {
		actions = append(actions, q.refuse(q.online, e, result.DeadlineTooShort, "the queue is too long for the deadline"))
	}
	return q.enforceLimit(q.online, q.limit, actions)
}

// enforceLimit refuses entries until l is within its limit.
func (q *PriorityPolicy) enforceLimit(l *fairQueue, limit int, actions []Action) []Action {
	for l.size > limit {
		actions = append(actions, q.refuse(l, l.firstRefused(), result.Overloaded, "queue of the back end is full"))
	}
	return actions
}

func (q *PriorityPolicy) refuse(l *fairQueue, e *entry, code result.Code, message string) Action {
	l.remove(e)
	delete(q.entries, e.ID)
	err := result.New(code, "%s", message).WithRetry(q.serviceTimes.retryAfter(l.size, q.slots))
	return Action{Kind: Refuse, ID: e.ID, Err: err}
}

// schedule starts the entries that fit and preempts batch entries for online
// requests that do not fit. An entry that can no longer meet its deadline is
// refused and takes no slot from others; the last waiting one is started
// anyway, so that service times are still observed.
func (q *PriorityPolicy) schedule(now time.Time) []Action {
	var actions []Action
	for q.occupiedSlots() > q.slots && q.victims.size() > 0 {
		actions = append(actions, q.preempt())
	}
	for q.online.size > 0 {
		if e := q.online.head(); q.online.size > 1 && q.serviceTimes.missesDeadline(now, e, 0) {
			actions = append(actions, q.refuse(q.online, e, result.DeadlineTooShort, missedDeadlineMessage))
			continue
		}
		if q.occupiedSlots() >= q.slots {
			if q.occupiedSlots() > q.slots || q.victims.size() == 0 {
				break
			}
			actions = append(actions, q.preempt())
		}
		actions = append(actions, q.start(now, q.online, q.online.head()))
	}
	for q.batch.size > 0 && q.running < q.slots {
		actions = append(actions, q.start(now, q.batch, q.nextBatch(now)))
	}
	return actions
}

// nextBatch returns the next batch entry in turn, or the one that is due first
// if at most slackThreshold is left until then. The two alternate, so that
// entries that are due soon cannot starve others.
func (q *PriorityPolicy) nextBatch(now time.Time) *entry {
	if q.batch.byExpiry.size() == 0 || q.lastOutOfTurn {
		q.lastOutOfTurn = false
		return q.batch.head()
	}
	earliest := q.batch.byExpiry.first()
	if earliest.Due.Sub(now) > slackThreshold {
		return q.batch.head()
	}
	q.lastOutOfTurn = true
	return earliest
}

// occupiedSlots counts the running entries that have not been preempted.
func (q *PriorityPolicy) occupiedSlots() int { return q.running - q.preempting }

func (q *PriorityPolicy) start(now time.Time, l *fairQueue, e *entry) Action {
	l.dequeue(e)
	e.startedAt = now
	q.running++
	if e.Urgency == request.Batch {
		q.batchRunning++
		if !e.NonPreemptible {
			q.victims.push(e)
		}
	}
	return Action{Kind: Start, ID: e.ID}
}

// preempt preempts the entry with the lowest preemption cost; victims must not
// be empty.
func (q *PriorityPolicy) preempt() Action {
	e := q.victims.first()
	q.victims.remove(0)
	e.preempting = true
	q.preempting++
	q.batchRunning--
	return Action{Kind: Preempt, ID: e.ID}
}

// Finished frees the slot of a started entry; a second call has no effect.
func (q *PriorityPolicy) Finished(now time.Time, id ID) []Action {
	e, ok := q.entries[id]
	if !ok || e.flow != nil {
		return nil
	}
	delete(q.entries, id)
	q.running--
	switch {
	case e.preempting:
		q.preempting--
	case e.Urgency == request.Batch:
		q.batchRunning--
	default:
		q.serviceTimes.add(e.Weight, now.Sub(e.startedAt))
	}
	if e.victimIndex >= 0 {
		q.victims.remove(e.victimIndex)
	}
	return q.schedule(now)
}

// Withdraw removes a waiting entry; no other entry is affected.
func (q *PriorityPolicy) Withdraw(_ time.Time, id ID) []Action {
	e, ok := q.entries[id]
	if !ok || e.flow == nil {
		return nil
	}
	delete(q.entries, id)
	q.queueOf(e).remove(e)
	return nil
}

func (q *PriorityPolicy) queueOf(e *entry) *fairQueue {
	if e.Urgency == request.Batch {
		return q.batch
	}
	return q.online
}

// Progress records that a running entry produced tokens.
func (q *PriorityPolicy) Progress(id ID, tokens int) {
	e, ok := q.entries[id]
	if !ok || e.flow != nil {
		return
	}
	e.ProducedTokens += tokens
	if e.victimIndex >= 0 {
		q.victims.fix(e.victimIndex)
	}
}

// Resize changes the number of slots.
func (q *PriorityPolicy) Resize(now time.Time, slots int) []Action {
	q.slots = max(1, slots)
	return q.schedule(now)
}

// Tick refuses waiting online entries in order of their deadlines, up to the
// first that can still meet its deadline.
func (q *PriorityPolicy) Tick(now time.Time) []Action {
	var actions []Action
	for q.online.byExpiry.size() > 0 {
		e := q.online.byExpiry.first()
		if !q.serviceTimes.missesDeadline(now, e, 0) {
			break
		}
		actions = append(actions, q.refuse(q.online, e, result.DeadlineTooShort, missedDeadlineMessage))
	}
	return actions
}

// Counts returns the current load.
func (q *PriorityPolicy) Counts() Counts {
	return Counts{
		Running: q.occupiedSlots(), Waiting: q.online.size + q.batch.size,
		BatchRunning: q.batchRunning, BatchWaiting: q.batch.size, Slots: q.slots,
	}
}
