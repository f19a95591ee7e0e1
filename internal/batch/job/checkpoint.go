package job

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// snapshot is what one checkpoint writes.
type snapshot struct {
	record  Record
	durable bitmap
	output  []byte
	errors  []byte
	// taken counts the pending results in it.
	taken int
}

// itemID returns the request id of a job's item, the same on every holder.
func itemID(job string, n int) string { return fmt.Sprintf("%s-%06d", job, n) }

// checkpointAsync writes a checkpoint if anything gathered and none is being
// written; a slow store makes the next one larger.
func (r *Run) checkpointAsync() {
	r.mu.Lock()
	empty := len(r.pending) == 0
	r.mu.Unlock()
	if empty || !r.writing.TryLock() {
		return
	}
	go func() {
		defer r.writing.Unlock()
		r.writeAll("", "")
	}()
}

// checkpoint writes what gathered and the job's final state.
func (r *Run) checkpoint(final State, cause string) {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.writeAll(final, cause)
}

// writeAll writes pending results until none is left or the shard moved.
func (r *Run) writeAll(final State, cause string) {
	for {
		s, more := r.take(final, cause)
		if !r.write(s) {
			r.cancel(errMoved)
			return
		}
		r.written(s)
		if !more {
			return
		}
	}
}

// take builds the next checkpoint; more says that another must follow.
func (r *Run) take(final State, cause string) (snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := snapshot{record: *r.record, durable: bytes.Clone(r.durable)}
	for _, o := range r.pending {
		if len(s.output)+len(s.errors) > checkpointBytes {
			break
		}
		s.taken++
		s.durable.add(o.number)
		s.record.count(o)
		if o.failed {
			s.errors = append(append(s.errors, o.line...), '\n')
		} else {
			s.output = append(append(s.output, o.line...), '\n')
		}
	}
	if len(s.output) > 0 {
		s.record.OutputChunks++
		s.record.OutputBytes += int64(len(s.output))
	}
	if len(s.errors) > 0 {
		s.record.ErrorChunks++
		s.record.ErrorBytes += int64(len(s.errors))
	}
	more := s.taken < len(r.pending)
	if final != "" && !more {
		s.record.State, s.record.Cause, s.record.Ended = final, cause, r.timer.Now()
	}
	return s, more
}

func (r *Run) written(s snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = &s.record
	r.durable = s.durable
	r.pending = r.pending[s.taken:]
}

// write commits one checkpoint and reports whether it took effect. A refusal
// after an unclear outcome is settled by reading the job's record back.
func (r *Run) write(s snapshot) bool {
	txn := r.txn(s)
	want := txn.Puts[0].Value
	for {
		if token, ok := r.holder.Token(r.shard); !ok || token != r.token {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		outcome, err := r.store.Commit(ctx, txn)
		cancel()
		switch {
		case err == nil && outcome.Succeeded:
			return true
		case err == nil:
			return r.wrote(want)
		}
		r.pause()
	}
}

const writeTimeout = 5 * time.Second

// pause waits before a write is tried again; an ended run does not wait less,
// since its last checkpoint still has to be written.
func (r *Run) pause() {
	woken := make(chan struct{})
	r.timer.After(transientWait, func(time.Time) { close(woken) })
	<-woken
}

// txn builds the compare-and-swap: the shard's token and the chunk's absence
// are compared, the record, the set of done items and the chunks are written.
func (r *Run) txn(s snapshot) store.Txn {
	txn := store.Txn{
		Compares: []store.Compare{{Key: zone.ShardName(r.shard), Target: store.CreateRevision, Revision: r.token}},
		Puts: []store.Put{
			{Key: Key(r.shard, s.record.ID), Value: encodeRecord(&s.record)},
			{Key: progressKey(s.record.ID), Value: chunk.Pack(s.durable)},
		},
	}
	if len(s.output) > 0 {
		key := chunk.Key(s.record.OutputFile(), s.record.OutputChunks-1)
		txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.CreateRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: chunk.Pack(s.output)})
	}
	if len(s.errors) > 0 {
		key := chunk.Key(s.record.ErrorFile(), s.record.ErrorChunks-1)
		txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.CreateRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: chunk.Pack(s.errors)})
	}
	return txn
}

// wrote reports whether the stored record is the one that a write of unclear
// outcome carried.
func (r *Run) wrote(want []byte) bool {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		entry, ok, err := r.store.Get(ctx, Key(r.shard, r.job.ID))
		cancel()
		if err == nil {
			return ok && bytes.Equal(entry.Value, want)
		}
		if _, held := r.holder.Token(r.shard); !held {
			return false
		}
		r.pause()
	}
}
