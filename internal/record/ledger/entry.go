package ledger

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// State is where the request of a key stands.
type State int32

// The states of a key. Claimed is the only one that is not final; MayHaveRun
// still gives way to a late Done or Failed of the same attempt.
const (
	Unknown State = iota
	Claimed
	Done
	Failed
	NotRun
	MayHaveRun
)

// String returns the state's name as readers of a record see it.
func (s State) String() string {
	switch s {
	case Claimed:
		return "claimed"
	case Done:
		return "done"
	case Failed:
		return "failed"
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	}
	return "unknown"
}

// Entry is what a shard keeps in memory of one key.
type Entry struct {
	Key         string
	Attempt     string
	State       State
	Fingerprint string
	Idempotent  bool
	Owner       string
	// Runs counts how often the holder claimed the key to run it again.
	Runs int
	// FirstGroup and Sequence are the groups that hold the first and the last part
	// of the key's latest durable record; zero before the first is durable.
	FirstGroup, LastGroup int64

	// overdue bounds a claim, expire any other state.
	overdue, expire time.Time
	keep            time.Duration
	// runnable says that the claim holds the request, so that it can run again.
	runnable bool
	// write is the serial of the latest write, unwritten how many of its
	// records are not durable yet; newFirst is the group of its first part.
	write     uint64
	unwritten int
	newFirst  int64
	// partial is the last group held for parts of the latest record.
	partial int64
	// bytes is the size of the latest record, held that of the durable one.
	bytes, held int
	// queued is the entry's time in the schedule, zero if it is not there.
	queued time.Time
}

// due returns when the shard has to look at the entry again.
func (e *Entry) due() time.Time {
	if e.State == Claimed {
		return e.overdue
	}
	return e.expire
}

// claimable reports whether an attempt may run the key once more. An attempt
// that was settled as not run has given up its claim for good.
func (e *Entry) claimable(attempt string) bool {
	if e.State == NotRun {
		return e.Attempt != attempt
	}
	return e.Idempotent && (e.State == Failed || e.State == MayHaveRun) && e.Attempt != attempt
}

// accepts reports whether an attempt's outcome changes the key's state.
func (e *Entry) accepts(attempt string, state State) bool {
	switch e.State {
	case Claimed:
		return e.Attempt == attempt || (e.Idempotent && state == Done)
	case MayHaveRun:
		return (e.Attempt == attempt || e.Idempotent) && (state == Done || (state == Failed && e.Attempt == attempt))
	}
	return false
}

// set brings the entry up to record.
func (e *Entry) set(record *wire.Record) {
	e.Attempt = record.GetAttempt()
	e.State = State(record.GetState())
	e.Fingerprint = string(record.GetFingerprint())
	e.Idempotent = record.GetIdempotent()
	e.Owner = record.GetOwner()
	e.Runs = int(record.GetRuns())
	e.keep = time.Duration(record.GetKeepMs()) * time.Millisecond
	e.runnable = record.GetRequest() != nil
	e.overdue = time.UnixMilli(record.GetOverdueMs())
	e.expire = time.UnixMilli(record.GetAtMs()).Add(e.keep)
}
