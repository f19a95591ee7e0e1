package recorder

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
)

// maxReplyMargin bounds the time before the end of a claim's call at which the
// holder stops waiting for the store, so that its reply still reaches the caller.
const maxReplyMargin = 500 * time.Millisecond

// withReplyMargin returns a context that ends before ctx, by a quarter of the
// remaining time and at most maxReplyMargin.
func withReplyMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, end.Add(-min(maxReplyMargin, time.Until(end)/4)))
}

// Claim records a request before it runs and returns once the record is durable.
func (r *Recorder) Claim(ctx context.Context, in *wire.ClaimRequest) *wire.ClaimReply {
	o, failure := r.shard(int(in.GetShard()))
	if failure != nil {
		return &wire.ClaimReply{Failure: wire.NewFailure(failure)}
	}
	waitCtx, cancel := withReplyMargin(ctx)
	defer cancel()
	found, failure := r.submit(waitCtx, o, func(t ledger.Ticket) []ledger.Action {
		return o.shard.Claim(r.timer.Now(), t, in)
	}, func(t ledger.Ticket) ([]ledger.Action, *result.Error) {
		return o.shard.GiveUp(r.timer.Now(), t, in.GetKey(), in.GetAttempt())
	})
	if failure != nil {
		return &wire.ClaimReply{Failure: wire.NewFailure(failure)}
	}
	if found.State == ledger.Claimed && found.Attempt == in.GetAttempt() {
		return &wire.ClaimReply{}
	}
	entry, failure := r.entry(ctx, o, found)
	return &wire.ClaimReply{Existing: entry, Failure: wire.NewFailure(failure)}
}

// Finish records the outcome of an attempt and returns once it is durable.
func (r *Recorder) Finish(ctx context.Context, in *wire.FinishRequest) *wire.FinishReply {
	o, failure := r.shard(int(in.GetShard()))
	if failure == nil {
		_, failure = r.submit(ctx, o, func(t ledger.Ticket) []ledger.Action {
			return o.shard.Finish(r.timer.Now(), t, in)
		}, o.stopWaiting(in.GetKey()))
	}
	return &wire.FinishReply{Failure: wire.NewFailure(failure)}
}

// Lookup returns the entry of a key with its answer.
func (r *Recorder) Lookup(ctx context.Context, in *wire.LookupRequest) *wire.LookupReply {
	o, failure := r.shard(int(in.GetShard()))
	if failure != nil {
		return &wire.LookupReply{Failure: wire.NewFailure(failure)}
	}
	found, failure := r.lookup(ctx, o, in.GetKey())
	if failure != nil {
		return &wire.LookupReply{Failure: wire.NewFailure(failure)}
	}
	entry, failure := r.entry(ctx, o, found)
	return &wire.LookupReply{Entry: entry, Failure: wire.NewFailure(failure)}
}

// lookup returns the state of a key once the state is durable.
func (r *Recorder) lookup(ctx context.Context, o *openShard, key string) (ledger.Entry, *result.Error) {
	return r.submit(ctx, o, func(t ledger.Ticket) []ledger.Action {
		return o.shard.Lookup(t, key)
	}, o.stopWaiting(key))
}

// shard returns an open shard, or LeaseLost if this host may not act on it now.
func (r *Recorder) shard(number int) (*openShard, *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.open[number]
	if _, held := r.leaseManager.Holds(r.timer.Now(), number); !ok || !held {
		return nil, result.New(result.LeaseLost, "shard %d is not held here", number)
	}
	return o, nil
}

// submit passes a message to the shard by calling handle and waits for the
// reply. If ctx ends first, giveUp ends the wait and returns the failure.
func (r *Recorder) submit(ctx context.Context, o *openShard, handle func(ledger.Ticket) []ledger.Action,
	giveUp func(ledger.Ticket) ([]ledger.Action, *result.Error)) (ledger.Entry, *result.Error) {
	waiter := make(chan reply, 1)
	o.mu.Lock()
	o.lastTicket++
	ticket := o.lastTicket
	o.waiters[ticket] = waiter
	r.apply(o, handle(ticket))
	o.mu.Unlock()
	select {
	case received := <-waiter:
		return received.found, received.failure
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case received := <-waiter:
		return received.found, received.failure
	default:
	}
	delete(o.waiters, ticket)
	actions, failure := giveUp(ticket)
	r.apply(o, actions)
	return ledger.Entry{}, failure
}

// stopWaiting returns a function that ends the wait for a record of key, of which
// it is unknown whether it is durable.
func (o *openShard) stopWaiting(key string) func(ledger.Ticket) ([]ledger.Action, *result.Error) {
	return func(t ledger.Ticket) ([]ledger.Action, *result.Error) {
		o.shard.CancelWait(t, key)
		return nil, result.New(result.StoreUnavailable, "the store did not confirm the record in time").WithRan(result.RanMaybe)
	}
}

// entry returns the wire form of a key's state. The answer of a final state is
// read from the record's groups; if the record was moved meanwhile, the key is
// looked up once more.
func (r *Recorder) entry(ctx context.Context, o *openShard, found ledger.Entry) (*wire.Entry, *result.Error) {
	if found.State == ledger.Claimed {
		return entryOf(found), nil
	}
	record, failure := r.record(ctx, o.number, found)
	if failure != nil && failure.Code() == result.Gone {
		current, lookupFailure := r.lookup(ctx, o, found.Key)
		if lookupFailure != nil {
			return nil, lookupFailure.WithRan(result.RanMaybe)
		}
		found = current
		if found.State == ledger.Claimed {
			return entryOf(found), nil
		}
		record, failure = r.record(ctx, o.number, found)
	}
	if failure != nil {
		return nil, failure
	}
	entry := entryOf(found)
	entry.Status = record.GetStatus()
	entry.ContentType = record.GetContentType()
	entry.Answer = record.GetAnswer()
	entry.Failure = record.GetFailure()
	return entry, nil
}

func entryOf(found ledger.Entry) *wire.Entry {
	return &wire.Entry{
		Key: found.Key, Attempt: found.Attempt, State: int32(found.State), Fingerprint: []byte(found.Fingerprint),
	}
}
