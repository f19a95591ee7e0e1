// Package keeper runs the one queue in front of a back end. A keeper carries
// out what the queue's policy decides: it starts attempts, cancels batch that
// has to yield and offers it again with what it had produced.
//
// Every chunk is accepted under the keeper's lock, and so is every yield: a
// chunk that came before the yield is in the transcript and reaches the
// reader, one that came after it does neither, and the next attempt produces
// it again. Once the last token is accepted the attempt is not cancelled any
// more, since the usage that follows it can't be had a second time.
//
// Attempts run on pools, one for online and one for batch, and leave their
// events in a relay, so that neither batch nor a slow reader stands before an
// online request.
//
// A back end's keeper is one host of the back end's own zone. Two hosts may
// both keep a back end for a moment while the zone's membership changes; that
// over-admits by a bounded share and breaks no promise.
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

// Executor runs one attempt at a back end.
type Executor interface {
	// Run gives the events but Finished to sink and returns how it ended.
	Run(ctx context.Context, a engine.Attempt, sink request.Sink) *result.Error
}

var _ Executor = (*engine.Client)(nil)

// LoadReader is an Executor that can ask a back end for its load.
type LoadReader interface {
	Load(ctx context.Context, address string) (engine.Load, error)
}

var _ LoadReader = (*engine.Client)(nil)

// Pool runs tasks; Submit fails if none is free.
type Pool interface {
	Submit(task func()) error
}

// Pools are separate, so that batch never stands before online.
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

// Keeper is the queue of one back end with the requests in it.
type Keeper struct {
	timer    timer.Service
	executor Executor
	pools    Pools
	backend  services.Backend

	mu sync.Mutex
	// policy is guarded by mu; its actions are carried out under mu too.
	policy queue.Policy
	// slots follows what the back end shows; policy has its current number.
	slots  *queue.AdaptiveSlots
	serial queue.ID
	runs   map[queue.ID]*run
	// leaving says that the back end gets no new work.
	leaving bool
	polls   polls
	// silent says that the last attempt to end fell silent, so that the next
	// one needs a new connection to tell the connection from the back end.
	silent atomic.Bool
	cache  cache
}

// run is one request's turn at the keeper, from its offer to its end; a
// yielded request gets a new one.
type run struct {
	// started is closed by a Start or Refuse action; refusal says which.
	started chan struct{}
	refusal *result.Error
	// yield cancels the attempt in progress; set while one runs.
	yield   context.CancelFunc
	yielded bool
	// ending says that the attempt is not cancelled for others any more.
	ending bool
	// token is when the last token came, zero before the first.
	token time.Time
}

// New returns the keeper of backend with an empty queue.
func New(t timer.Service, executor Executor, pools Pools, backend services.Backend, policy queue.Policy) *Keeper {
	return &Keeper{
		timer: t, executor: executor, pools: pools, backend: backend, policy: policy, leaving: backend.Leaving,
		slots: queue.NewAdaptiveSlots(backend.Slots), runs: make(map[queue.ID]*run), polls: newPolls(backend.Name),
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

// Tick lets the policy refuse what waited too long and slots come back.
func (k *Keeper) Tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.timer.Now()
	k.slots.Tick(now)
	k.resize()
	k.apply(k.policy.Tick(now))
}

// ObserveLoad takes the back end's own report on its load.
func (k *Keeper) ObserveLoad(load engine.Load) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.slots.ObserveQueued(k.timer.Now(), load.Waiting)
	k.resize()
}

// apply carries out actions; the caller holds k.mu.
func (k *Keeper) apply(actions []queue.Action) {
	for _, action := range actions {
		r, ok := k.runs[action.ID]
		if !ok {
			continue
		}
		switch action.Kind {
		case queue.Start:
			starts.Inc()
			close(r.started)
		case queue.Refuse:
			countRefusal(action.Err.Code())
			r.refusal = action.Err
			close(r.started)
			delete(k.runs, action.ID)
		case queue.Preempt:
			yieldsTold.Inc()
			r.yielded = true
			if r.yield != nil && !r.ending {
				r.yield()
			}
		}
	}
}

// Run queues r, runs it when its turn comes and resumes it after each yield.
// It reports every event but Finished to sink and returns how it ended.
func (k *Keeper) Run(ctx context.Context, r *request.Request, service *services.Service, share int, sink request.Sink) *result.Error {
	a := newAnswer(r, sink)
	// ran is what earlier turns did; a refusal of a later one does not undo it.
	ran := result.RanNo
	for fresh := k.silent.Load(); ; {
		id, one := k.offer(r, share, a)
		if failure := k.await(ctx, id, one); failure != nil {
			return failure.WithRan(ran.Or(failure.Ran()))
		}
		failure, yielded := k.attempt(ctx, id, one, engine.Attempt{
			Request: r, Backend: &k.backend, Service: service, Transcript: a.transcript, NewConnection: fresh,
		}, a)
		if failure != nil {
			ran = ran.Or(failure.Ran())
		}
		k.silence(failure)
		switch {
		case a.left != nil:
			return result.New(result.Cancelled, "caller left: %v", a.left).WithRan(result.RanYes)
		case failure == nil || a.transcript.Finished():
			return a.flush()
		case yielded && ctx.Err() == nil:
			a.yields++
			a.restart()
		case !fresh && retryOnFresh(r, failure, a.transcript):
			freshTries.Inc()
			fresh = true
		case !fresh && failure.Code() == result.BackendSilent:
			return failure.WithRan(ran).WithFirstSilence()
		default:
			return failure.WithRan(ran)
		}
	}
}

// silence notes whether an attempt fell silent. One that was cancelled tells
// nothing.
func (k *Keeper) silence(failure *result.Error) {
	if failure == nil || failure.Code() != result.Cancelled {
		k.silent.Store(failure != nil && failure.Code() == result.BackendSilent)
	}
}

// retryOnFresh reports whether a silent connection, not the server, may be at
// fault, so that a new connection is worth a try.
func retryOnFresh(r *request.Request, failure *result.Error, t *engine.Transcript) bool {
	if failure == nil || failure.Code() != result.BackendSilent || !t.Resumable() {
		return false
	}
	return failure.Ran() == result.RanNo || (r.Idempotent() && r.Engine())
}

func (k *Keeper) offer(r *request.Request, share int, a *answer) (queue.ID, *run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serial++
	one := &run{started: make(chan struct{})}
	if k.leaving {
		one.refusal = k.left()
		close(one.started)
		return k.serial, one
	}
	k.runs[k.serial] = one
	_, produced := a.transcript.Text()
	now := k.timer.Now()
	k.apply(k.policy.Offer(now, queue.Entry{
		ID: k.serial, Organisation: r.Organisation(), Share: share, Urgency: r.Urgency(), Weight: r.Weight(),
		Arrived: now, Deadline: r.Deadline(), Due: r.Due(), ProducedTokens: produced,
		PromptTokens: len(r.Body()) / bytesPerToken, NotResumable: a.held, Preemptions: a.yields, NonPreemptible: !r.Engine(),
	}))
	return k.serial, one
}

// await blocks until the run may start.
func (k *Keeper) await(ctx context.Context, id queue.ID, one *run) *result.Error {
	select {
	case <-one.started:
		return one.refusal
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-one.started:
		if one.refusal == nil {
			k.apply(k.policy.Finished(k.timer.Now(), id))
		}
	default:
		withdrawals.Inc()
		k.apply(k.policy.Withdraw(k.timer.Now(), id))
	}
	delete(k.runs, id)
	return result.New(result.Cancelled, "caller left the queue")
}

// attempt runs one started try on its pool and frees its slot as soon as the
// back end is done, while the reader may still take events. It reports whether
// the try was cancelled for others.
func (k *Keeper) attempt(ctx context.Context, id queue.ID, one *run, e engine.Attempt, a *answer) (*result.Error, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.Accept = func(chunk []byte) bool { return k.accept(id, one, a, chunk) }
	events := newRelay()
	done := make(chan struct{})
	var failure *result.Error
	var yielded bool
	task := func() {
		defer close(done)
		defer events.close()
		failure, yielded = k.execute(ctx, cancel, id, one, e, events)
	}
	if err := k.pools.of(e.Request.Urgency()).Submit(task); err != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.finish(id)
		return result.New(result.Overloaded, "host runs too many attempts").WithRetry(time.Second), false
	}
	if a.left = events.drain(a.take); a.left != nil {
		cancel()
	}
	<-done
	return failure, yielded
}

// execute runs the try unless it was told to yield before it began.
func (k *Keeper) execute(ctx context.Context, cancel context.CancelFunc, id queue.ID, one *run, e engine.Attempt, events *relay) (*result.Error, bool) {
	failure := result.New(result.Cancelled, "yielded before the start")
	if k.begin(one, cancel) {
		failure = k.executor.Run(ctx, e, func(event request.Event) error { return events.put(ctx, event) })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finish(id)
	return failure, one.yielded && !one.ending && failure != nil && failure.Code() == result.Cancelled
}

// begin makes the try one that can be cancelled.
func (k *Keeper) begin(one *run, cancel context.CancelFunc) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	one.yield = cancel
	return !one.yielded
}

// finish frees the slot; the caller holds k.mu.
func (k *Keeper) finish(id queue.ID) {
	delete(k.runs, id)
	k.apply(k.policy.Finished(k.timer.Now(), id))
}

// accept notes a chunk and reports whether it counts: one that comes after
// the yield does not.
func (k *Keeper) accept(id queue.ID, one *run, a *answer, chunk []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if one.yielded && !one.ending {
		return false
	}
	tokens := a.transcript.Add(chunk)
	if a.transcript.Finished() || (!a.transcript.Resumable() && !a.held) {
		one.ending = true
	}
	if tokens == 0 {
		return true
	}
	k.policy.Progress(id, tokens)
	now := k.timer.Now()
	if !one.token.IsZero() {
		k.slots.ObserveTokenGap(now, now.Sub(one.token)/time.Duration(tokens))
		k.resize()
	}
	one.token = now
	return true
}
