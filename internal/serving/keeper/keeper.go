// Package keeper runs the request queue of a backend server. A Keeper carries
// out the decisions of the queue's policy: it starts attempts, preempts batch
// requests by cancelling their attempt, and queues preempted requests again
// together with the output that they have produced.
//
// Chunks are accepted and preemptions are carried out under the same lock. A
// chunk accepted before the preemption is in the transcript and reaches the
// reader. A chunk that arrives later is dropped, and the next attempt produces
// it again. Once the last token has been accepted, the attempt is no longer
// preempted, since the usage that follows can't be produced a second time.
//
// Attempts run on two worker pools, one for online and one for batch requests,
// and put their events into a buffer, so that neither batch requests nor a slow
// reader delay an online request.
//
// The queue of a backend server is on one host of the server's zone. While the
// zone's membership changes, two hosts may have a queue for the same server. The
// server then gets more requests than it has slots, by a bounded share; no
// guarantee is violated.
package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// bytesPerToken estimates the tokens of a prompt from its size.
const bytesPerToken = 4

// Executor runs one attempt of a request on a backend server.
type Executor interface {
	// Run passes all events except Finished to sink. It returns nil if the answer
	// is complete.
	Run(ctx context.Context, a engine.Attempt, sink request.Sink) *result.Error
}

var _ Executor = (*engine.Client)(nil)

// LoadReader is an Executor that can read the load of a backend server.
type LoadReader interface {
	Load(ctx context.Context, address string) (engine.Load, error)
}

var _ LoadReader = (*engine.Client)(nil)

// Pool runs tasks on workers. Submit fails if no worker is free.
type Pool interface {
	Submit(task func()) error
}

// Pools holds a worker pool for each urgency, so that batch requests never
// delay online requests.
type Pools struct {
	Online Pool
	Batch  Pool
}

func (p Pools) of(u request.Urgency) Pool {
	if u == request.Batch {
		return p.Batch
	}
	return p.Online
}

// Keeper is the queue of one backend server with the requests in it.
type Keeper struct {
	timer    timer.Service
	executor Executor
	pools    Pools
	backend  services.Backend

	mu sync.Mutex
	// policy is protected by mu, and its actions are carried out under mu.
	policy queue.Policy
	// slots adapts the number of slots to the server's load reports and token
	// gaps; resize passes the current number on to policy.
	slots   *queue.AdaptiveSlots
	lastID  queue.ID
	entries map[queue.ID]*queueEntry
	// leaving says that the server gets no new requests.
	leaving   bool
	pollState pollState
	// lastSilent says that the last attempt that was not cancelled ended with
	// BackendSilent. The next request then uses a new connection, so that
	// another silence can be attributed to the server and not to the connection.
	lastSilent atomic.Bool
	cacheState cacheState
}

// queueEntry is one pass of a request through the queue, from Offer to the end
// of the attempt. A preempted request gets a new entry.
type queueEntry struct {
	// started is closed when the entry is started or refused; refusal is nil if
	// it is started.
	started chan struct{}
	refusal *result.Error
	// preempt cancels the attempt; it is nil until the attempt begins.
	preempt   context.CancelFunc
	preempted bool
	// nonPreemptible says that the attempt must not be preempted any more.
	nonPreemptible bool
	// lastTokenAt is when the last token arrived, zero before the first.
	lastTokenAt time.Time
}

// New returns an empty queue for backend.
func New(t timer.Service, executor Executor, pools Pools, backend services.Backend, policy queue.Policy) *Keeper {
	return &Keeper{
		timer: t, executor: executor, pools: pools, backend: backend, policy: policy, leaving: backend.Leaving,
		slots: queue.NewAdaptiveSlots(backend.Slots), entries: make(map[queue.ID]*queueEntry), pollState: newPollState(backend.Name),
	}
}

// Counts returns the load of the queue.
func (k *Keeper) Counts() queue.Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.policy.Counts()
}

// Resize changes the configured number of slots.
func (k *Keeper) Resize(slots int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slots.Configure(slots)
	k.resize()
}

// resize gives the policy the current number of slots; the caller holds k.mu.
func (k *Keeper) resize() {
	if k.slots.Current() != k.policy.Counts().Slots {
		slotChanges.Inc()
		k.apply(k.policy.Resize(k.timer.Now(), k.slots.Current()))
	}
}

// Tick updates the number of slots and lets the policy refuse entries that can no
// longer meet their deadline.
func (k *Keeper) Tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.timer.Now()
	k.slots.Tick(now)
	k.resize()
	k.apply(k.policy.Tick(now))
}

// ObserveLoad handles a load report from the server itself.
func (k *Keeper) ObserveLoad(load engine.Load) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slots.ObserveQueued(k.timer.Now(), load.Waiting)
	k.resize()
}

// apply carries out actions; the caller holds k.mu.
func (k *Keeper) apply(actions []queue.Action) {
	for _, action := range actions {
		entry, ok := k.entries[action.ID]
		if !ok {
			continue
		}
		switch action.Kind {
		case queue.Start:
			starts.Inc()
			close(entry.started)
		case queue.Refuse:
			countRefusal(action.Err.Code())
			entry.refusal = action.Err
			close(entry.started)
			delete(k.entries, action.ID)
		case queue.Preempt:
			preemptions.Inc()
			entry.preempted = true
			if entry.preempt != nil && !entry.nonPreemptible {
				entry.preempt()
			}
		}
	}
}

// Run queues r, runs it once the policy starts it, and queues it again after
// each preemption. It passes all events except Finished to sink and returns nil
// if the answer is complete.
func (k *Keeper) Run(ctx context.Context, r *request.Request, service *services.Service, share int, sink request.Sink) *result.Error {
	a := newAnswer(r, sink)
	// ran accumulates over all attempts: if a later one is refused, an earlier
	// one may still have run.
	ran := result.RanNo
	for newConnection := k.lastSilent.Load(); ; {
		id, entry := k.enqueue(r, share, a)
		if failure := k.waitForStart(ctx, id, entry); failure != nil {
			return failure.WithRan(ran.Or(failure.Ran()))
		}
		failure, preempted := k.attempt(ctx, id, entry, engine.Attempt{
			Request: r, Backend: &k.backend, Service: service, Transcript: a.transcript, NewConnection: newConnection,
		}, a)
		if failure != nil {
			ran = ran.Or(failure.Ran())
		}
		k.recordSilence(failure)
		switch {
		case a.sinkErr != nil:
			return result.New(result.Cancelled, "caller left: %v", a.sinkErr).WithRan(result.RanYes)
		case failure == nil || a.transcript.Finished():
			return a.flush()
		case preempted && ctx.Err() == nil:
			a.preemptions++
			a.reset()
		case !newConnection && retryOnNewConnection(r, failure, a.transcript):
			newConnectionRetries.Inc()
			newConnection = true
		case !newConnection && failure.Code() == result.BackendSilent:
			return failure.WithRan(ran).WithFirstSilence()
		default:
			return failure.WithRan(ran)
		}
	}
}

// recordSilence updates lastSilent after an attempt. A cancelled attempt does
// not show whether the server is silent.
func (k *Keeper) recordSilence(failure *result.Error) {
	if failure == nil || failure.Code() != result.Cancelled {
		k.lastSilent.Store(failure != nil && failure.Code() == result.BackendSilent)
	}
}

// retryOnNewConnection reports whether to repeat an attempt that ended with
// BackendSilent on a new connection, since the connection and not the server may
// be at fault. The request must be safe to repeat.
func retryOnNewConnection(r *request.Request, failure *result.Error, t *engine.Transcript) bool {
	if failure == nil || failure.Code() != result.BackendSilent || !t.Resumable() {
		return false
	}
	return failure.Ran() == result.RanNo || (r.Idempotent() && r.Engine())
}

// enqueue offers the request to the policy. If the server is leaving, it returns
// an entry that is already refused.
func (k *Keeper) enqueue(r *request.Request, share int, a *answer) (queue.ID, *queueEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastID++
	entry := &queueEntry{started: make(chan struct{})}
	if k.leaving {
		entry.refusal = k.leavingError()
		close(entry.started)
		return k.lastID, entry
	}
	k.entries[k.lastID] = entry
	_, produced := a.transcript.Text()
	now := k.timer.Now()
	k.apply(k.policy.Offer(now, queue.Entry{
		ID: k.lastID, Organisation: r.Organisation(), Share: share, Urgency: r.Urgency(), Weight: r.Weight(),
		Arrived: now, Deadline: r.Deadline(), Due: r.Due(), ProducedTokens: produced,
		PromptTokens: len(r.Body()) / bytesPerToken, NotResumable: a.buffered, Preemptions: a.preemptions, NonPreemptible: !r.Engine(),
	}))
	return k.lastID, entry
}

// waitForStart blocks until the policy starts or refuses the entry. If ctx ends
// first, it removes the entry from the queue.
func (k *Keeper) waitForStart(ctx context.Context, id queue.ID, entry *queueEntry) *result.Error {
	select {
	case <-entry.started:
		return entry.refusal
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-entry.started:
		if entry.refusal == nil {
			k.apply(k.policy.Finished(k.timer.Now(), id))
		}
	default:
		withdrawals.Inc()
		k.apply(k.policy.Withdraw(k.timer.Now(), id))
	}
	delete(k.entries, id)
	return result.New(result.Cancelled, "caller left the queue")
}

// attempt runs a started entry on its pool. The slot is freed as soon as the
// server is done, even if the reader has not yet taken all events. It reports
// whether the attempt was preempted.
func (k *Keeper) attempt(ctx context.Context, id queue.ID, entry *queueEntry, e engine.Attempt, a *answer) (*result.Error, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.Accept = func(chunk []byte) bool { return k.accept(id, entry, a, chunk) }
	events := newEventBuffer()
	done := make(chan struct{})
	var failure *result.Error
	var preempted bool
	task := func() {
		defer close(done)
		defer events.close()
		failure, preempted = k.execute(ctx, cancel, id, entry, e, events)
	}
	if err := k.pools.of(e.Request.Urgency()).Submit(task); err != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.finish(id)
		return result.New(result.Overloaded, "host runs too many attempts").WithRetry(time.Second), false
	}
	if a.sinkErr = events.drain(a.deliver); a.sinkErr != nil {
		cancel()
	}
	<-done
	return failure, preempted
}

// execute runs the attempt unless it was preempted before it began.
func (k *Keeper) execute(ctx context.Context, cancel context.CancelFunc, id queue.ID, entry *queueEntry, e engine.Attempt, events *eventBuffer) (*result.Error, bool) {
	failure := result.New(result.Cancelled, "yielded before the start")
	if k.registerCancel(entry, cancel) {
		failure = k.executor.Run(ctx, e, func(event request.Event) error { return events.put(ctx, event) })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finish(id)
	return failure, entry.preempted && !entry.nonPreemptible && failure != nil && failure.Code() == result.Cancelled
}

// registerCancel stores the function that preempts the attempt. It returns false
// if the entry has already been preempted.
func (k *Keeper) registerCancel(entry *queueEntry, cancel context.CancelFunc) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	entry.preempt = cancel
	return !entry.preempted
}

// finish removes the entry and frees its slot; the caller holds k.mu.
func (k *Keeper) finish(id queue.ID) {
	delete(k.entries, id)
	k.apply(k.policy.Finished(k.timer.Now(), id))
}

// accept adds a chunk to the transcript. It returns false, and the chunk is
// dropped, if the attempt has been preempted.
func (k *Keeper) accept(id queue.ID, entry *queueEntry, a *answer, chunk []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if entry.preempted && !entry.nonPreemptible {
		return false
	}
	tokens := a.transcript.Add(chunk)
	if a.transcript.Finished() || (!a.transcript.Resumable() && !a.buffered) {
		entry.nonPreemptible = true
	}
	if tokens == 0 {
		return true
	}
	k.policy.Progress(id, tokens)
	now := k.timer.Now()
	if !entry.lastTokenAt.IsZero() {
		k.slots.ObserveTokenGap(now, now.Sub(entry.lastTokenAt)/time.Duration(tokens))
		k.resize()
	}
	entry.lastTokenAt = now
	return true
}
