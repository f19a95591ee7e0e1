package recorder

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

var (
	groupsWritten  = metrics.NewCounter("kingcupquay_record_groups_written_total")
	recordsWritten = metrics.NewCounter("kingcupquay_record_records_written_total")
	bytesWritten   = metrics.NewCounter("kingcupquay_record_bytes_written_total")
)

// apply carries out a shard's actions; the caller holds o.mu.
func (r *Recorder) apply(o *openShard, actions []ledger.Action) {
	for _, action := range actions {
		switch action.Kind {
		case ledger.ReplyTo:
			if waiter, ok := o.waiting[action.Ticket]; ok {
				delete(o.waiting, action.Ticket)
				waiter <- reply{action.Failure, action.Found}
			}
		case ledger.CommitGroup:
			go r.commit(o, action.Group, action.Deletes)
		case ledger.ReadGroup:
			go r.readBack(o, action.Group)
		case ledger.LoadClaim:
			go r.loadClaim(o, action.Found)
		case ledger.RunAgain:
			go r.hooks.RunAgain(action.Found, action.Record)
		case ledger.ReadGroupRange:
			go r.readRun(o, action.From, action.To)
		case ledger.CloseShard:
			go r.lose(o.number, o.token, "store refused the fencing token")
		}
	}
	r.follow(o)
}

// follow makes a shard tick soon while it has records on their way; the caller
// holds o.mu.
func (r *Recorder) follow(o *openShard) {
	if o.ticking || o.shard.Idle() || r.stopped.Load() {
		return
	}
	o.ticking = true
	r.timer.After(shardTick, func(now time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.ticking = false
		r.apply(o, o.shard.Tick(now))
	})
}

// holds reports whether this host may still act on the shard by its own clock.
func (r *Recorder) holds(o *openShard) bool {
	token, ok := r.Token(o.number)
	return ok && token == o.token
}

// pause waits before a call that follows failed ones, longer with each. The
// failure itself was reported without delay.
func (o *openShard) pause() {
	o.mu.Lock()
	failures := o.failures
	o.mu.Unlock()
	if failures > 0 {
		time.Sleep(min(minPause<<min(failures-1, 8), maxPause))
	}
}

// called counts failed calls in a row; the caller holds o.mu.
func (o *openShard) called(ok bool) {
	o.failures++
	if ok {
		o.failures = 0
	}
}

func (r *Recorder) commit(o *openShard, group *wire.Group, deletes []int64) {
	o.pause()
	if !r.holds(o) {
		r.lose(o.number, o.token, "lease lapsed")
		return
	}
	value, err := ledger.Encode(group)
	if err != nil {
		r.lose(o.number, o.token, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	outcome, err := r.store.Commit(ctx, GroupTxn(o.number, o.token, group.GetSequence(), value, deletes))
	committed := ledger.Written
	switch {
	case errors.Is(err, store.ErrUnavailable):
		committed = ledger.NotWritten
	case err != nil:
		committed = ledger.OutcomeUnknown
	case !outcome.Succeeded:
		committed = ledger.CompareFailed
	}
	if committed == ledger.Written {
		groupsWritten.Inc()
		recordsWritten.Add(len(group.GetRecords()))
		bytesWritten.Add(len(value))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.called(err == nil)
	r.apply(o, o.shard.Committed(r.timer.Now(), committed))
}

// GroupTxn returns the fenced transaction that writes one group of a shard and
// deletes others: it fails if the shard's key does not carry token any more, or
// if the sequence number is taken.
func GroupTxn(shard int, token, sequence int64, value []byte, deletes []int64) store.Txn {
	key := ledger.GroupKey(shard, sequence)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: zone.ShardName(shard), Target: store.CreateRevision, Revision: token},
			{Key: key, Target: store.CreateRevision},
		},
		Puts: []store.Put{{Key: key, Value: value}},
	}
	for _, old := range deletes {
		txn.Deletes = append(txn.Deletes, ledger.GroupKey(shard, old))
	}
	return txn
}

func (r *Recorder) readBack(o *openShard, group *wire.Group) {
	o.pause()
	if !r.holds(o) {
		r.lose(o.number, o.token, "lease lapsed")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	found, err := r.readGroup(ctx, o.number, group.GetSequence())
	holder, ok, holderErr := r.store.Get(ctx, zone.ShardName(o.number))
	read := ledger.ReadResult{
		Failed:     err != nil || holderErr != nil,
		Writer:     found.GetWriter(),
		TokenValid: ok && holder.CreateRevision == o.token,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.called(!read.Failed)
	r.apply(o, o.shard.ReadBack(r.timer.Now(), read))
}

// readGroup returns a group, nil if there is none.
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
		entries, _, err := r.store.Range(ctx, ledger.GroupKey(shard, from), ledger.GroupKey(shard, last+1), rangePage)
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
		if len(entries) < rangePage {
			break
		}
		from = groups[len(groups)-1].GetSequence() + 1
	}
	return groups, nil
}

// readRun reads old groups for the shard to clean.
func (r *Recorder) readRun(o *openShard, first, last int64) {
	ctx, cancel := context.WithTimeout(store.InBackground(context.Background()), loadTimeout)
	defer cancel()
	groups, err := r.readGroups(ctx, o.number, first, last)
	if err != nil {
		groups = nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shard.GroupRangeRead(r.timer.Now(), groups)
}

func (r *Recorder) loadClaim(o *openShard, entry ledger.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	claim, _ := r.record(ctx, o.number, entry)
	o.mu.Lock()
	defer o.mu.Unlock()
	r.apply(o, o.shard.ClaimLoaded(r.timer.Now(), entry, claim))
}

// record returns the record of an entry with its whole answer.
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
