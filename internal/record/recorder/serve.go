package recorder

import (
	"context"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
)

// Claim records a request before it runs; it returns once that is durable.
func (r *Recorder) Claim(ctx context.Context, in *wire.ClaimRequest) *wire.ClaimReply {
	o, failure := r.shard(int(in.GetShard()))
	if failure != nil {
		return &wire.ClaimReply{Failure: wire.FailureOf(failure)}
	}
	found, failure := r.ask(ctx, o, in.GetKey(), func(t ledger.Ticket) []ledger.Action {
		return o.shard.Claim(r.timer.Now(), t, in)
	})
	if failure != nil {
		return &wire.ClaimReply{Failure: wire.FailureOf(failure)}
	}
	if found.State == ledger.Claimed && found.Attempt == in.GetAttempt() {
		return &wire.ClaimReply{}
	}
	entry, failure := r.entry(ctx, o, found)
	return &wire.ClaimReply{Existing: entry, Failure: wire.FailureOf(failure)}
}

// Finish records how an attempt ended; it returns once that is durable.
func (r *Recorder) Finish(ctx context.Context, in *wire.FinishRequest) *wire.FinishReply {
	o, failure := r.shard(int(in.GetShard()))
	if failure == nil {
		_, failure = r.ask(ctx, o, in.GetKey(), func(t ledger.Ticket) []ledger.Action {
			return o.shard.Finish(r.timer.Now(), t, in)
		})
	}
	return &wire.FinishReply{Failure: wire.FailureOf(failure)}
}

// Lookup reads the record of a key with its answer.
func (r *Recorder) Lookup(ctx context.Context, in *wire.LookupRequest) *wire.LookupReply {
	o, failure := r.shard(int(in.GetShard()))
	if failure != nil {
		return &wire.LookupReply{Failure: wire.FailureOf(failure)}
	}
	found, failure := r.lookup(ctx, o, in.GetKey())
	if failure != nil {
		return &wire.LookupReply{Failure: wire.FailureOf(failure)}
	}
	entry, failure := r.entry(ctx, o, found)
	return &wire.LookupReply{Entry: entry, Failure: wire.FailureOf(failure)}
}

// lookup returns the state of a key once that is durable.
func (r *Recorder) lookup(ctx context.Context, o *openShard, key string) (ledger.Entry, *result.Error) {
	return r.ask(ctx, o, key, func(t ledger.Ticket) []ledger.Action {
		return o.shard.Lookup(t, key)
	})
}

// shard returns a shard that this host may act on now.
func (r *Recorder) shard(number int) (*openShard, *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.open[number]
	if _, held := r.keeper.Holds(r.timer.Now(), number); !ok || !held {
		return nil, result.New(result.LeaseLost, "shard %d is not held here", number)
	}
	return o, nil
}

// ask gives a message to the shard and waits for its reply.
func (r *Recorder) ask(ctx context.Context, o *openShard, key string, message func(ledger.Ticket) []ledger.Action) (ledger.Entry, *result.Error) {
	waiter := make(chan reply, 1)
	o.mu.Lock()
	o.serial++
	ticket := o.serial
	o.waiting[ticket] = waiter
	r.apply(o, message(ticket))
	o.mu.Unlock()
	select {
	case answer := <-waiter:
		return answer.found, answer.failure
	case <-ctx.Done():
	}
	o.mu.Lock()
	delete(o.waiting, ticket)
	o.shard.CancelWait(ticket, key)
	o.mu.Unlock()
	return ledger.Entry{}, result.New(result.StoreUnavailable, "the store did not confirm the record in time").WithRan(result.RanMaybe)
}

// entry returns what readers see of a key; a final state's answer is read
// from its groups. A record that was moved in between is looked up again.
func (r *Recorder) entry(ctx context.Context, o *openShard, found ledger.Entry) (*wire.Entry, *result.Error) {
	if found.State == ledger.Claimed {
		return entryOf(found), nil
	}
	record, failure := r.record(ctx, o.number, found)
	if failure != nil && failure.Code() == result.Gone {
		later, missing := r.lookup(ctx, o, found.Key)
		if missing != nil {
			return nil, missing.WithRan(result.RanMaybe)
		}
		found = later
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
