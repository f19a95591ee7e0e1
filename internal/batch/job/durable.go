package job

import (
	"context"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	removeTimeout = 30 * time.Second
)

// loadShard reads the jobs of a shard and the revision of its last checkpoint.
// A record that can't be decoded is skipped.
func loadShard(ctx context.Context, s store.Store, shard int) ([]LoadedJob, int64, error) {
	checkpoint, _, err := s.Get(ctx, checkpointKey(shard))
	if err != nil {
		return nil, 0, err
	}
	entries, _, err := store.RangeAll(ctx, s, Prefix(shard), rangePageSize)
	if err != nil {
		return nil, 0, err
	}
	var jobs []LoadedJob
	for _, entry := range entries {
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			continue
		}
		loaded := LoadedJob{Record: record}
		if !record.State.Final() {
			if loaded.Done, err = loadProgress(ctx, s, record); err != nil {
				return nil, 0, err
			}
		}
		jobs = append(jobs, loaded)
	}
	return jobs, checkpoint.ModRevision, nil
}

func loadProgress(ctx context.Context, s store.Store, record *Record) ([]byte, error) {
	entry, _, err := s.Get(ctx, progressKey(record.ID))
	if err != nil {
		return nil, err
	}
	return DecodeProgress(entry.Value, record.Total)
}

// checkpointTxn returns the transaction that commits a checkpoint. It requires
// that the shard's fencing token and previous checkpoint are unchanged and that
// the keys of new jobs and new chunks do not exist.
func checkpointTxn(shard int, token int64, c *Checkpoint) store.Txn {
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: rendezvous.ShardName(shard), Target: store.CreateRevision, Revision: token},
			{Key: checkpointKey(shard), Target: store.ModRevision, Revision: c.PreviousRevision},
		},
		Puts: []store.Put{{Key: checkpointKey(shard), Value: []byte(c.ID)}},
	}
	for i := range c.Jobs {
		addJob(&txn, shard, &c.Jobs[i])
	}
	return txn
}

func addJob(txn *store.Txn, shard int, w *JobWrite) {
	r := &w.Record
	txn.Puts = append(txn.Puts, store.Put{Key: Key(shard, r.ID), Value: encodeRecord(r)})
	if w.New {
		txn.Compares = append(txn.Compares, store.Compare{Key: Key(shard, r.ID), Target: store.CreateRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: indexKey(r), Value: []byte(r.ID)})
	}
	switch {
	case r.State.Final():
		txn.Deletes = append(txn.Deletes, progressKey(r.ID))
	case w.resultCount > 0:
		txn.Puts = append(txn.Puts, store.Put{Key: progressKey(r.ID), Value: chunk.Pack(w.Done)})
	}
	if len(w.Output) > 0 {
		putChunk(txn, chunk.Key(r.OutputFile(), r.OutputChunks-1), w.Output)
	}
	if len(w.Errors) > 0 {
		putChunk(txn, chunk.Key(r.ErrorFile(), r.ErrorChunks-1), w.Errors)
	}
}

// entries returns the number of entries that addJob adds, at most maxJobEntries.
func (w *JobWrite) entries() int {
	n := 1
	if w.New {
		n += 2
	}
	if w.Record.State.Final() || w.resultCount > 0 {
		n++
	}
	for _, lines := range [][]byte{w.Output, w.Errors} {
		if len(lines) > 0 {
			n += 2
		}
	}
	return n
}

func putChunk(txn *store.Txn, key string, lines []byte) {
	txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.CreateRevision})
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: chunk.Pack(lines)})
}

// readLastCheckpoint returns the entry of the shard's last checkpoint and
// whether token is still the shard's fencing token.
func readLastCheckpoint(ctx context.Context, s store.Store, shard int, token int64) (store.Entry, bool, error) {
	holder, ok, err := s.Get(ctx, rendezvous.ShardName(shard))
	if err != nil {
		return store.Entry{}, false, err
	}
	checkpoint, _, err := s.Get(ctx, checkpointKey(shard))
	return checkpoint, ok && holder.CreateRevision == token, err
}

// removeJob deletes the result chunks of an ended job and then its index entry
// and record, so that an interrupted removal can be repeated.
func removeJob(ctx context.Context, s store.Store, shard int, token int64, r *Record) error {
	keys := make([]string, 0, r.OutputChunks+r.ErrorChunks+2)
	for n := range r.OutputChunks {
		keys = append(keys, chunk.Key(r.OutputFile(), n))
	}
	for n := range r.ErrorChunks {
		keys = append(keys, chunk.Key(r.ErrorFile(), n))
	}
	keys = append(keys, indexKey(r), Key(shard, r.ID))
	held, err := store.DeleteAll(ctx, s, []store.Compare{{Key: rendezvous.ShardName(shard), Target: store.CreateRevision, Revision: token}}, keys)
	if err != nil {
		return trace.Wrap(err)
	}
	if !held {
		return trace.CompareFailed("shard %d is not held", shard)
	}
	return nil
}

// Load reads the record of a job from the store.
func Load(ctx context.Context, s store.Store, shard int, id string) (*Record, *result.Error) {
	entry, ok, err := s.Get(ctx, Key(shard, id))
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	if !ok {
		return nil, result.New(result.NotFound, "no job %s", id)
	}
	record, err := DecodeRecord(entry.Value)
	if err != nil {
		return nil, result.New(result.Internal, "job %s: %v", id, err)
	}
	return record, nil
}

// List returns up to limit jobs of an organisation, newest first, and whether
// there are more. If after is not empty, the list starts with the job that
// follows the one with that ID.
func List(ctx context.Context, s store.Store, shards int, organisation, after string, limit int) ([]*Record, bool, *result.Error) {
	from := indexPrefix(organisation)
	end := store.PrefixEnd(from)
	if after != "" {
		cursor, failure := Load(ctx, s, rendezvous.Shard(after, shards), after)
		if failure != nil {
			return nil, false, failure
		}
		if cursor.Organisation != organisation {
			return nil, false, result.New(result.NotFound, "no job %s", after)
		}
		from = indexKey(cursor) + "\x00"
	}
	entries, _, err := s.Range(ctx, from, end, limit+1)
	if err != nil {
		return nil, false, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	records := make([]*Record, 0, limit)
	for _, entry := range entries[:min(limit, len(entries))] {
		id := string(entry.Value)
		record, failure := Load(ctx, s, rendezvous.Shard(id, shards), id)
		if failure != nil && failure.Code() != result.NotFound {
			return nil, false, failure
		}
		if failure == nil {
			records = append(records, record)
		}
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].Created.After(records[j].Created) })
	return records, len(entries) > limit, nil
}
