package ledger

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// State is the recorded state of a key's request.
type State int32

// The states of a key. Claimed is the only recorded state that is not final: an
// attempt stays Claimed until its outcome is recorded. MayHaveRun can still be
// replaced by a late Done or Failed of the same attempt and, if the request is
// idempotent, by a Done of another attempt.
const (
	Unknown State = iota
	Claimed
	Done
	Failed
	NotRun
	MayHaveRun
)

// String returns the name of the state in API responses.
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

// Entry is the in-memory state of one key. It does not hold the request, the
// answer or the failure, which are in the key's records.
type Entry struct {
	Key         string
	Attempt     string
	State       State
	Fingerprint string
	Idempotent  bool
	Owner       string
	// Runs counts the reruns that the holder has claimed.
	Runs int
	// FirstGroup and LastGroup are the sequence numbers of the groups that hold
	// the first and the last part of the key's durable record, zero if it has
	// none.
	FirstGroup, LastGroup int64

	// claimDeadline is when a claim is overdue. In any other state, the entry is
	// dropped at expiresAt.
	claimDeadline, expiresAt time.Time
	retention                time.Duration
	// runnable is set if the claim's record holds the request, without which it
	// can't be rerun.
	runnable bool
	// writeSerial identifies the latest write of the key and unwritten counts
	// its records that are not durable yet. newFirstGroup is the group of its
	// first part.
	writeSerial   uint64
	unwritten     int
	newFirstGroup int64
	// lastPinned is the last group pinned for the latest write, zero if none.
	lastPinned int64
	// bytes is the size of the latest record, durableBytes that of the
	// durable one.
	bytes, durableBytes int
	// scheduledAt is the time of the entry's next check in the schedule, zero if
	// none is scheduled.
	scheduledAt time.Time
}

// nextCheck returns when the claim is overdue or the entry expires.
func (e *Entry) nextCheck() time.Time {
	if e.State == Claimed {
		return e.claimDeadline
	}
	return e.expiresAt
}

// claimable reports whether attempt may claim the key again. An attempt that
// was recorded as not run can't claim the key a second time.
func (e *Entry) claimable(attempt string) bool {
	if e.State == NotRun {
		return e.Attempt != attempt
	}
	return e.Idempotent && (e.State == Failed || e.State == MayHaveRun) && e.Attempt != attempt
}

// accepts reports whether state, the outcome of attempt, replaces the key's
// state.
func (e *Entry) accepts(attempt string, state State) bool {
	switch e.State {
	case Claimed:
		return e.Attempt == attempt || (e.Idempotent && state == Done)
	case MayHaveRun:
		return (e.Attempt == attempt || e.Idempotent) && (state == Done || (state == Failed && e.Attempt == attempt))
	}
	return false
}

// set updates the entry from record.
func (e *Entry) set(record *wire.Record) {
	e.Attempt = record.GetAttempt()
	e.State = State(record.GetState())
	e.Fingerprint = string(record.GetFingerprint())
	e.Idempotent = record.GetIdempotent()
	e.Owner = record.GetOwner()
	e.Runs = int(record.GetRuns())
	e.retention = time.Duration(record.GetKeepMs()) * time.Millisecond
	e.runnable = record.GetRequest() != nil
	e.claimDeadline = time.UnixMilli(record.GetOverdueMs())
	e.expiresAt = time.UnixMilli(record.GetAtMs()).Add(e.retention)
}
