package queue

import (
	"math"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// shortSlack is the time before its due time from which a batch entry may
	// start out of its turn; every second start at most is out of turn.
	shortSlack = 5 * time.Minute
	// restartCost is what producing a token again costs in prompt tokens.
	restartCost = 16
	// batchPerOnline is how many batch entries may wait for each online one.
	batchPerOnline = 4
)

const waitedTooLong = "waited too long for a slot to meet the deadline"

// PriorityPolicy is the Policy of production: online before batch always, batch
// yields its slot to a waiting online request, organisations of equal standing
// share by weight, and a full queue refuses the lowest weight first.
//
// Every operation costs O(log n) for each entry that it starts or refuses.
// These hold between any two calls:
//   - no batch entry that may yield occupies a slot while online waits;
//   - no more than slots entries occupy one, but for online and pinned entries
//     that ran when slots decreased;
//   - an entry is in exactly one of online, batch and running.
type PriorityPolicy struct {
	// slots and limit are at least 1; limit bounds the online lane.
	slots  int
	limit  int
	online *lane
	batch  *lane
	// entries holds every entry that waits or runs.
	entries map[ID]*entry
	// running counts the started entries, yielding those of them told to yield.
	running      int
	yielding     int
	batchRunning int
	// victims orders the running batch entries that may yield by what a cancel
	// would lose.
	victims  *heap[*entry]
	estimate estimate
	// outOfTurn says that the last batch start was for want of slack.
	outOfTurn bool
}

var _ Policy = (*PriorityPolicy)(nil)

// NewPriorityPolicy returns an empty queue for a back end with that many slots; limit
// bounds the online requests that wait.
func NewPriorityPolicy(slots, limit int) *PriorityPolicy {
	return &PriorityPolicy{
		slots: max(1, slots), limit: max(1, limit), online: newLane(), batch: newLane(), entries: make(map[ID]*entry),
		victims:  newHeap(yieldsBefore, func(e *entry, i int) { e.victimAt = i }),
		estimate: estimate{byWeight: make(map[int]*mean)},
	}
}

// loss is what a cancel costs the engine, in prompt tokens: the prompt and the
// produced text are read again, and what can't be resumed is produced again.
// It doubles with each earlier yield, so that no entry is always the cheapest.
func (e *entry) loss() float64 {
	loss := 1 + e.PromptTokens + e.ProducedTokens
	if e.NotResumable {
		loss += e.ProducedTokens * restartCost
	}
	return math.Ldexp(float64(loss), e.Preemptions)
}

func yieldsBefore(a, b *entry) bool {
	if x, y := a.loss(), b.loss(); x != y {
		return x < y
	}
	return a.ID > b.ID
}

// Offer adds an entry that waits.
func (q *PriorityPolicy) Offer(now time.Time, one Entry) []Action {
	e := &entry{Entry: one, orderAt: -1, latestAt: -1, limitAt: -1, victimAt: -1}
	q.entries[one.ID] = e
	if one.Urgency == request.Batch {
		q.batch.push(e)
		actions := q.fill(now)
		return q.bound(q.batch, q.limit*batchPerOnline, actions)
	}
	q.online.push(e)
	actions := q.fill(now)
	if e.flow != nil && q.estimate.hopeless(now, e, q.estimate.wait(q.online.ahead(e), q.slots)) {
		actions = append(actions, q.refuse(q.online, e, result.DeadlineTooShort, "the queue is too long for the deadline"))
	}
	return q.bound(q.online, q.limit, actions)
}

// bound refuses what is too much in a lane.
func (q *PriorityPolicy) bound(l *lane, limit int, actions []Action) []Action {
	for l.size > limit {
		actions = append(actions, q.refuse(l, l.last(), result.Overloaded, "queue of the back end is full"))
	}
	return actions
}

func (q *PriorityPolicy) refuse(l *lane, e *entry, code result.Code, message string) Action {
	l.remove(e)
	delete(q.entries, e.ID)
	err := result.New(code, "%s", message).WithRetry(q.estimate.retry(l.size, q.slots))
	return Action{Kind: Refuse, ID: e.ID, Err: err}
}

// fill starts what fits and asks batch to yield for what does not. An entry
// that can't meet its deadline any more takes no slot from others; the last one
// is started all the same, so that service times go on being observed.
func (q *PriorityPolicy) fill(now time.Time) []Action {
	var actions []Action
	for q.occupied() > q.slots && q.victims.size() > 0 {
		actions = append(actions, q.yield())
	}
	for q.online.size > 0 {
		if e := q.online.head(); q.online.size > 1 && q.estimate.hopeless(now, e, 0) {
			actions = append(actions, q.refuse(q.online, e, result.DeadlineTooShort, waitedTooLong))
			continue
		}
		if q.occupied() >= q.slots {
			if q.occupied() > q.slots || q.victims.size() == 0 {
				break
			}
			actions = append(actions, q.yield())
		}
		actions = append(actions, q.start(now, q.online, q.online.head()))
	}
	for q.batch.size > 0 && q.running < q.slots {
		actions = append(actions, q.start(now, q.batch, q.nextBatch(now)))
	}
	return actions
}

// nextBatch returns the next batch entry in turn, or the one due first if
// its slack is short; turns alternate, so that short slack starves nobody.
func (q *PriorityPolicy) nextBatch(now time.Time) *entry {
	if q.batch.limits.size() == 0 || q.outOfTurn {
		q.outOfTurn = false
		return q.batch.head()
	}
	due := q.batch.limits.first()
	if due.Due.Sub(now) > shortSlack {
		return q.batch.head()
	}
	q.outOfTurn = true
	return due
}

// occupied counts the running entries that were not told to yield.
func (q *PriorityPolicy) occupied() int { return q.running - q.yielding }

func (q *PriorityPolicy) start(now time.Time, l *lane, e *entry) Action {
	l.take(e)
	e.started = now
	q.running++
	if e.Urgency == request.Batch {
		q.batchRunning++
		if !e.NonPreemptible {
			q.victims.push(e)
		}
	}
	return Action{Kind: Start, ID: e.ID}
}

// yield tells the entry that loses least; there is one.
func (q *PriorityPolicy) yield() Action {
	e := q.victims.first()
	q.victims.remove(0)
	e.yielding = true
	q.yielding++
	q.batchRunning--
	return Action{Kind: Preempt, ID: e.ID}
}

// Finished frees the slot of a started entry; a second call changes nothing.
func (q *PriorityPolicy) Finished(now time.Time, id ID) []Action {
	e, ok := q.entries[id]
	if !ok || e.flow != nil {
		return nil
	}
	delete(q.entries, id)
	q.running--
	switch {
	case e.yielding:
		q.yielding--
	case e.Urgency == request.Batch:
		q.batchRunning--
	default:
		q.estimate.add(e.Weight, now.Sub(e.started))
	}
	if e.victimAt >= 0 {
		q.victims.remove(e.victimAt)
	}
	return q.fill(now)
}

// Withdraw removes a waiting entry; it changes nothing for any other.
func (q *PriorityPolicy) Withdraw(_ time.Time, id ID) []Action {
	e, ok := q.entries[id]
	if !ok || e.flow == nil {
		return nil
	}
	delete(q.entries, id)
	q.laneOf(e).remove(e)
	return nil
}

func (q *PriorityPolicy) laneOf(e *entry) *lane {
	if e.Urgency == request.Batch {
		return q.batch
	}
	return q.online
}

// Progress notes that a running entry produced tokens.
func (q *PriorityPolicy) Progress(id ID, tokens int) {
	e, ok := q.entries[id]
	if !ok || e.flow != nil {
		return
	}
	e.ProducedTokens += tokens
	if e.victimAt >= 0 {
		q.victims.fix(e.victimAt)
	}
}

// Resize changes the number of slots.
func (q *PriorityPolicy) Resize(now time.Time, slots int) []Action {
	q.slots = max(1, slots)
	return q.fill(now)
}

// Tick refuses the online entries that can't meet their deadline any more.
func (q *PriorityPolicy) Tick(now time.Time) []Action {
	var actions []Action
	for q.online.limits.size() > 0 {
		e := q.online.limits.first()
		if !q.estimate.hopeless(now, e, 0) {
			break
		}
		actions = append(actions, q.refuse(q.online, e, result.DeadlineTooShort, waitedTooLong))
	}
	return actions
}

// Counts returns the load.
func (q *PriorityPolicy) Counts() Counts {
	return Counts{
		Running: q.occupied(), Waiting: q.online.size + q.batch.size,
		BatchRunning: q.batchRunning, BatchWaiting: q.batch.size, Slots: q.slots,
	}
}
