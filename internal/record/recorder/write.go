package recorder

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

var (
	groupsWritten  = metrics.NewCounter("kingcupquay_record_groups_written_total")
	recordsWritten = metrics.NewCounter("kingcupquay_record_records_written_total")
	bytesWritten   = metrics.NewCounter("kingcupquay_record_bytes_written_total")
)

// apply executes a shard's actions; the caller holds o.mu.
func (r *Recorder) apply(o *openShard, actions []ledger.Action) {
	for _, action := range actions {
		switch action.Kind {
		case ledger.ReplyTo:
			if waiter, ok := o.waiters[action.Ticket]; ok {
				delete(o.waiters, action.Ticket)
				waiter <- reply{action.Failure, action.Found}
			}
		case ledger.CommitGroup:
			go r.commit(o, action.Group, action.Deletes)
		case ledger.ReadGroup:
			go r.readBack(o, action.Group)
		case ledger.LoadClaim:
			go r.loadClaim(o, action.Found)
		case ledger.RunAgain:
			go r.hooks.Rerun(action.Found, action.Record)
		case ledger.ReadGroupRange:
			go r.readGroupRange(o, action.From, action.To)
		case ledger.CloseShard:
			go r.closeLost(o.number, o.token, "store refused the fencing token")
		}
	}
	r.scheduleTick(o)
}

// scheduleTick schedules a tick after activeShardTick if the shard has pending
// records; the caller holds o.mu.
func (r *Recorder) scheduleTick(o *openShard) {
	if o.tickScheduled || o.shard.Idle() || r.stopped.Load() {
		return
	}
	o.tickScheduled = true
	r.timer.After(activeShardTick, func(now time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.tickScheduled = false
		r.apply(o, o.shard.Tick(now))
	})
}

// holds reports whether this host may still act on the shard by its own clock.
func (r *Recorder) holds(o *openShard) bool {
	token, ok := r.Token(o.number)
	return ok && token == o.token
}

// backOff pauses before a store call, exponentially longer with each failed call
// before it. The failures themselves are reported without delay.
func (o *openShard) backOff() {
	o.mu.Lock()
	failures := o.failures
	o.mu.Unlock()
	if failures > 0 {
		time.Sleep(min(minBackoff<<min(failures-1, 8), maxBackoff))
	}
}

// countCall updates the number of failed calls in a row; the caller holds o.mu.
func (o *openShard) countCall(ok bool) {
	o.failures++
	if ok {
		o.failures = 0
	}
}

// commit writes a group, if this host still holds the shard, and passes the
// outcome to the shard.
func (r *Recorder) commit(o *openShard, group *wire.Group, deletes []int64) {
	o.backOff()
	if !r.holds(o) {
		r.closeLost(o.number, o.token, "lease lapsed")
		return
	}
	o.mu.Lock()
	begun := o.shard.BeginWrite(group)
	o.mu.Unlock()
	if !begun {
		return
	}
	value, err := ledger.Encode(group)
	if err != nil {
		r.closeLost(o.number, o.token, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	outcome, err := r.store.Commit(ctx, GroupTxn(o.number, o.token, group.GetSequence(), value, deletes))
	commitResult := ledger.Written
	switch {
	case errors.Is(err, store.ErrUnavailable):
		commitResult = ledger.NotWritten
	case err != nil:
		commitResult = ledger.OutcomeUnknown
	case !outcome.Succeeded:
		commitResult = ledger.CompareFailed
	}
	if commitResult == ledger.Written {
		groupsWritten.Inc()
		recordsWritten.Add(len(group.GetRecords()))
		bytesWritten.Add(len(value))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.countCall(err == nil)
	r.apply(o, o.shard.Committed(r.timer.Now(), commitResult))
}

// GroupTxn returns the transaction that writes one group of a shard and deletes
// others. It fails if the create revision of the shard's key is no longer token,
// or if a group with the sequence number exists.
func GroupTxn(shard int, token, sequence int64, value []byte, deletes []int64) store.Txn {
	key := ledger.GroupKey(shard, sequence)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: rendezvous.ShardName(shard), Target: store.CreateRevision, Revision: token},
			{Key: key, Target: store.CreateRevision},
		},
		Puts: []store.Put{{Key: key, Value: value}},
	}
	for _, old := range deletes {
		txn.Deletes = append(txn.Deletes, ledger.GroupKey(shard, old))
	}
	return txn
}

// readBack reads the group and the shard's key after a write whose comparisons
// failed or whose outcome is unknown, and passes the result to the shard.
func (r *Recorder) readBack(o *openShard, group *wire.Group) {
	o.backOff()
	if !r.holds(o) {
		r.closeLost(o.number, o.token, "lease lapsed")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	found, err := r.readGroup(ctx, o.number, group.GetSequence())
	shardEntry, ok, shardErr := r.store.Get(ctx, rendezvous.ShardName(o.number))
	readResult := ledger.ReadResult{
		Failed:     err != nil || shardErr != nil,
		Writer:     found.GetWriter(),
		TokenValid: ok && shardEntry.CreateRevision == o.token,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.countCall(!readResult.Failed)
	r.apply(o, o.shard.ReadBack(r.timer.Now(), readResult))
}

// readGroup returns a group, or nil if it does not exist.
func (r *Recorder) readGroup(ctx context.Context, shard int, sequence int64) (*wire.Group, error) {
	entry, ok, err := r.store.Get(ctx, ledger.GroupKey(shard, sequence))
	if err != nil || !ok {
		return nil, err
	}
	return ledger.Decode(entry.Value)
}

// readGroups returns the groups from first to last that exist.
func (r *Recorder) readGroups(ctx context.Context, shard int, first, last int64) ([]*wire.Group, error) {
	var groups []*wire.Group
	for from := first; from <= last; {
		entries, _, err := r.store.Range(ctx, ledger.GroupKey(shard, from), ledger.GroupKey(shard, last+1), groupPageSize)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			group, err := ledger.Decode(entry.Value)
			if err != nil {
				return nil, err
			}
			groups = append(groups, group)
		}
		if len(entries) < groupPageSize {
			break
		}
		from = groups[len(groups)-1].GetSequence() + 1
	}
	return groups, nil
}

// readGroupRange reads a range of old groups that the shard compacts.
func (r *Recorder) readGroupRange(o *openShard, first, last int64) {
	ctx, cancel := context.WithTimeout(store.WithBackground(context.Background()), loadTimeout)
	defer cancel()
	groups, err := r.readGroups(ctx, o.number, first, last)
	if err != nil {
		groups = nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shard.GroupRangeRead(r.timer.Now(), groups)
}

// loadClaim reads the record of an entry and passes it to the shard, nil if it
// could not be read.
func (r *Recorder) loadClaim(o *openShard, entry ledger.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	claim, _ := r.record(ctx, o.number, entry)
	o.mu.Lock()
	defer o.mu.Unlock()
	r.apply(o, o.shard.ClaimLoaded(r.timer.Now(), entry, claim))
}

// record returns the record of an entry with its complete answer.
func (r *Recorder) record(ctx context.Context, shard int, entry ledger.Entry) (*wire.Record, *result.Error) {
	groups, err := r.readGroups(ctx, shard, entry.FirstGroup, entry.LastGroup)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRan(result.RanMaybe).WithRetry(time.Second)
	}
	record := ledger.Assemble(groups, entry)
	if record == nil {
		return nil, result.New(result.Gone, "record of %q is gone", entry.Key).WithRan(result.RanMaybe)
	}
	return record, nil
}
