// Package keeper runs the one queue in front of a back end. A keeper carries
// out what the queue's policy decides: it starts attempts, cancels batch that
// has to yield and offers it again with what it had produced.
//
// A back end's keeper is one host of the back end's own zone. Two hosts may
// both keep a back end for a moment while the zone's membership changes; that
// over-admits by a bounded share and breaks no promise.
package keeper

import (
	"context"
	"sync"

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

// Keeper is the queue of one back end with the requests in it.
type Keeper struct {
	timer    timer.Service
	executor Executor
	backend  services.Backend

	mu sync.Mutex
	// policy is guarded by mu; its actions are carried out under mu too.
	policy queue.Policy
	serial queue.ID
	runs   map[queue.ID]*run
}

// run is one request at the keeper.
type run struct {
	// started is closed by a Start or Refuse action; refusal says which.
	started chan struct{}
	refusal *result.Error
	// yield cancels the attempt in progress; set while one runs.
	yield   context.CancelFunc
	yielded bool
}

// New returns the keeper of backend with an empty queue.
func New(t timer.Service, executor Executor, backend services.Backend, policy queue.Policy) *Keeper {
	return &Keeper{timer: t, executor: executor, backend: backend, policy: policy, runs: make(map[queue.ID]*run)}
}

// Counts returns the load of the queue.
func (k *Keeper) Counts() queue.Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.policy.Counts()
}

// Resize changes the number of slots.
func (k *Keeper) Resize(slots int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(k.policy.Resize(k.timer.Now(), slots))
}

// Tick lets the policy refuse what waited too long.
func (k *Keeper) Tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(k.policy.Tick(k.timer.Now()))
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
			close(r.started)
		case queue.Refuse:
			r.refusal = action.Err
			close(r.started)
			delete(k.runs, action.ID)
		case queue.Yield:
			r.yielded = true
			if r.yield != nil {
				r.yield()
			}
		}
	}
}

// Run queues r, runs it when its turn comes and resumes it after each yield.
// It reports every event but Finished to sink and returns how it ended.
func (k *Keeper) Run(ctx context.Context, r *request.Request, service *services.Service, share int, sink request.Sink) *result.Error {
	transcript := engine.NewTranscript(r)
	yields := 0
	for fresh := false; ; {
		id, one := k.offer(r, share, yields, transcript)
		if failure := k.await(ctx, id, one); failure != nil {
			return failure
		}
		failure, yielded := k.attempt(ctx, id, one, engine.Attempt{
			Request: r, Backend: &k.backend, Service: service, Transcript: transcript, Fresh: fresh,
		}, sink)
		if failure != nil && transcript.Finished() {
			return nil
		}
		if yielded && ctx.Err() == nil {
			if !transcript.Resumable() {
				return result.New(result.Cancelled, "yielded and can't be resumed").WithRan(result.RanYes)
			}
			yields++
			continue
		}
		if retryOnFresh(r, failure, transcript) && !fresh {
			fresh = true
			continue
		}
		return failure
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

func (k *Keeper) offer(r *request.Request, share, yields int, t *engine.Transcript) (queue.ID, *run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serial++
	one := &run{started: make(chan struct{})}
	k.runs[k.serial] = one
	_, produced := t.Text()
	now := k.timer.Now()
	k.apply(k.policy.Offer(now, queue.Entry{
		ID: k.serial, Organisation: r.Organisation(), Share: share, Urgency: r.Urgency(), Weight: r.Weight(),
		Arrived: now, Deadline: r.Deadline(), Due: r.Due(), Produced: produced,
		Prompt: len(r.Body()) / bytesPerToken, Yields: yields, Pinned: !r.Engine(),
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
		k.apply(k.policy.Withdraw(k.timer.Now(), id))
	}
	delete(k.runs, id)
	return result.New(result.Cancelled, "caller left the queue")
}

// attempt runs one started try and frees its slot.
func (k *Keeper) attempt(ctx context.Context, id queue.ID, one *run, a engine.Attempt, sink request.Sink) (*result.Error, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mu.Lock()
	one.yield = cancel
	if one.yielded {
		cancel()
	}
	k.mu.Unlock()
	a.Produced = func(tokens int) {
		k.mu.Lock()
		k.policy.Progress(id, tokens)
		k.mu.Unlock()
	}
	failure := k.executor.Run(ctx, a, sink)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.runs, id)
	k.apply(k.policy.Finished(k.timer.Now(), id))
	return failure, one.yielded && failure != nil && failure.Code() == result.Cancelled
}
