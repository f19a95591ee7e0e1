// Package ledger decides what becomes of the claims on one shard of request
// keys. A Shard is a pure state machine: it takes messages and timer events,
// changes its own state and returns actions; the recorder carries them out.
//
// The durable form is a log of groups. A group holds every record that
// gathered during one interval and is written as one value, under one
// compare-and-swap that also checks the shard's fencing token and that the
// group's sequence number is still free. At most one group is in flight, so
// the number of writes does not grow with the load.
//
// A reply leaves only after the group that holds its record is durable. A
// write whose outcome is unclear is settled by reading the group back and
// comparing the writer id; until then nothing is answered. Trap: a delayed
// write may land after a read-back found nothing, so the same group, with the
// same sequence number and writer id, is written again, never another one.
package ledger

import (
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// gatherInterval is how long records wait for others of their group.
	gatherInterval = 30 * time.Millisecond
	// commitInterval keeps a shard at no more than 20 writes a second.
	commitInterval = 50 * time.Millisecond
	// maxGroupBytes bounds the uncompressed records of one group.
	maxGroupBytes = 768 << 10
	// maxPendingBytes bounds what waits for the store, an outage included.
	maxPendingBytes = 8 << 20
	// overdueMargin is added to a request's deadline before it is settled.
	overdueMargin = 2 * time.Second
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

// Ticket names one waiting caller of the shard; the shell makes it up.
type Ticket uint64

// ActionKind tells what the shell has to do.
type ActionKind uint8

// The actions of a shard.
const (
	// ReplyTo answers the caller behind Ticket with Failure or Entry.
	ReplyTo ActionKind = iota
	// CommitGroup writes Group and reports to Committed.
	CommitGroup
	// ReadGroup reads the group with Group's sequence and reports to ReadBack.
	ReadGroup
	// RunAgain runs the idempotent request in the claim of Entry.Key again.
	RunAgain
	// CloseShard says that the fencing token is no longer valid.
	CloseShard
)

// Action is one thing for the shell to do.
type Action struct {
	Kind    ActionKind
	Ticket  Ticket
	Failure *result.Error
	// Found is the key's state for a reply; its answer has to be read from
	// the group Sequence if Found.State is final.
	Found Entry
	Group *wire.Group
}

// Entry is what a shard keeps in memory of one key.
type Entry struct {
	Key         string
	Attempt     string
	State       State
	Fingerprint string
	Idempotent  bool
	Owner       string
	// Sequence is the group that holds the key's latest record.
	Sequence int64
	// ClaimSequence is the group that holds the claim with the request.
	ClaimSequence int64
	overdue       time.Time
	expire        time.Time
	keep          time.Duration
}

type waiting struct {
	ticket Ticket
	key    string
}

// Shard is the state of one shard of request keys at its holder.
type Shard struct {
	// writer identifies this holding of the shard; it is unique to it.
	writer string
	// entries holds every key whose keep time is not over.
	entries map[string]*Entry
	// next is the sequence number of the next group.
	next int64
	// pending are the records not yet in a group, with their waiting callers.
	pending        []*wire.Record
	pendingWaiting []waiting
	pendingBytes   int
	pendingSince   time.Time
	// inflight is the group being written; nil if none.
	inflight        *wire.Group
	inflightWaiting []waiting
	lastCommit      time.Time
	closed          bool
}

// Open returns the shard as the groups, in sequence order, describe it.
func Open(writer string, now time.Time, groups []*wire.Group) *Shard {
	s := &Shard{writer: writer, entries: make(map[string]*Entry), next: 1}
	for _, group := range groups {
		for _, record := range group.GetRecords() {
			s.apply(record, group.GetSequence())
		}
		s.next = max(s.next, group.GetSequence()+1)
	}
	s.expireEntries(now)
	return s
}

// Len returns the number of keys in memory.
func (s *Shard) Len() int { return len(s.entries) }

// Claim asks to run a request. The reply has Failure set if the claim is
// refused, and Found.State other than Claimed by this attempt if the key was
// taken before.
func (s *Shard) Claim(now time.Time, ticket Ticket, in *wire.ClaimRequest) []Action {
	if s.closed {
		return refuse(ticket, result.New(result.LeaseLost, "shard moved to another host"))
	}
	if e, ok := s.entries[in.GetKey()]; ok {
		if e.Fingerprint != string(in.GetFingerprint()) {
			return refuse(ticket, result.New(result.KeyReused, "key %q was used with another body", in.GetKey()))
		}
		if !e.claimable() {
			return s.replyWhenDurable(ticket, e)
		}
	}
	if s.pendingBytes > maxPendingBytes {
		return refuse(ticket, result.New(result.StoreUnavailable, "too many records wait for the store").WithRetry(time.Second))
	}
	overdue := now.Add(time.Duration(in.GetDeadlineInMs())*time.Millisecond + overdueMargin)
	record := &wire.Record{
		Key:         in.GetKey(),
		Attempt:     in.GetAttempt(),
		State:       int32(Claimed),
		Fingerprint: in.GetFingerprint(),
		Idempotent:  in.GetIdempotent(),
		Owner:       in.GetOwner(),
		AtMs:        now.UnixMilli(),
		OverdueMs:   overdue.UnixMilli(),
		KeepMs:      in.GetKeepMs(),
	}
	if in.GetIdempotent() {
		record.Request = in.GetRequest()
	}
	s.add(now, ticket, record)
	return s.flush(now)
}

// claimable reports whether the key may be run once more by a new attempt.
func (e *Entry) claimable() bool {
	return e.State == NotRun || (e.State == Failed && e.Idempotent)
}

// Finish records how an attempt ended. The reply carries the key's final state,
// which is another attempt's if that one ended first.
func (s *Shard) Finish(now time.Time, ticket Ticket, in *wire.FinishRequest) []Action {
	if s.closed {
		return refuse(ticket, result.New(result.LeaseLost, "shard moved to another host").WithRan(result.RanMaybe))
	}
	e, ok := s.entries[in.GetKey()]
	if !ok {
		return refuse(ticket, result.New(result.NotFound, "no claim on key %q", in.GetKey()).WithRan(result.RanMaybe))
	}
	if !e.accepts(in.GetAttempt(), State(in.GetState())) {
		return s.replyWhenDurable(ticket, e)
	}
	s.add(now, ticket, &wire.Record{
		Key:         in.GetKey(),
		Attempt:     in.GetAttempt(),
		State:       in.GetState(),
		Fingerprint: []byte(e.Fingerprint),
		Idempotent:  e.Idempotent,
		Owner:       e.Owner,
		AtMs:        now.UnixMilli(),
		KeepMs:      e.keep.Milliseconds(),
		Status:      in.GetStatus(),
		ContentType: in.GetContentType(),
		Answer:      in.GetAnswer(),
		Failure:     in.GetFailure(),
	})
	return s.flush(now)
}

// accepts reports whether an attempt's outcome changes the key's state.
func (e *Entry) accepts(attempt string, state State) bool {
	switch e.State {
	case Claimed:
		if e.Idempotent && state == Done {
			return true
		}
		return e.Attempt == attempt
	case MayHaveRun:
		return e.Attempt == attempt && (state == Done || state == Failed)
	}
	return false
}

// Lookup returns the key's entry.
func (s *Shard) Lookup(key string) (Entry, bool) {
	e, ok := s.entries[key]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// replyWhenDurable answers with e's state, after the group in flight or
// pending that holds it is durable.
func (s *Shard) replyWhenDurable(ticket Ticket, e *Entry) []Action {
	switch {
	case e.Sequence >= s.next:
		s.pendingWaiting = append(s.pendingWaiting, waiting{ticket, e.Key})
	case s.inflight != nil && e.Sequence == s.inflight.GetSequence():
		s.inflightWaiting = append(s.inflightWaiting, waiting{ticket, e.Key})
	default:
		return []Action{{Kind: ReplyTo, Ticket: ticket, Found: *e}}
	}
	return nil
}

// Tick settles overdue claims, forgets expired keys and writes a due group.
func (s *Shard) Tick(now time.Time) []Action {
	if s.closed {
		return nil
	}
	s.expireEntries(now)
	actions := s.settleOverdue(now)
	return append(actions, s.flush(now)...)
}

// settleOverdue decides claims whose owner did not report in time.
func (s *Shard) settleOverdue(now time.Time) []Action {
	var actions []Action
	for _, e := range s.entries {
		if e.State != Claimed || now.Before(e.overdue) {
			continue
		}
		if e.Idempotent {
			e.overdue = now.Add(overdueMargin + time.Minute)
			actions = append(actions, Action{Kind: RunAgain, Found: *e})
			continue
		}
		failure := result.New(result.MayHaveRun, "host %s was lost while the request ran", e.Owner)
		s.add(now, 0, &wire.Record{
			Key: e.Key, Attempt: e.Attempt, State: int32(MayHaveRun), Fingerprint: []byte(e.Fingerprint),
			Owner: e.Owner, AtMs: now.UnixMilli(), KeepMs: e.keep.Milliseconds(),
			Failure: &wire.Failure{Code: int32(failure.Code()), Message: failure.Message(), Ran: string(result.RanMaybe)},
		})
	}
	return actions
}

func (s *Shard) expireEntries(now time.Time) {
	for key, e := range s.entries {
		if e.State != Claimed && now.After(e.expire) {
			delete(s.entries, key)
		}
	}
}

// add applies record and puts it into the pending group; ticket 0 is nobody.
func (s *Shard) add(now time.Time, ticket Ticket, record *wire.Record) {
	if len(s.pending) == 0 {
		s.pendingSince = now
	}
	s.pending = append(s.pending, record)
	s.pendingBytes += recordBytes(record)
	s.apply(record, s.next)
	if ticket != 0 {
		s.pendingWaiting = append(s.pendingWaiting, waiting{ticket, record.GetKey()})
	}
}

func recordBytes(r *wire.Record) int {
	const overhead = 128
	return overhead + len(r.GetKey()) + len(r.GetAnswer()) + len(r.GetRequest().GetBody())
}

// apply brings the key's entry up to record.
func (s *Shard) apply(record *wire.Record, sequence int64) {
	e, ok := s.entries[record.GetKey()]
	if !ok {
		e = &Entry{Key: record.GetKey()}
		s.entries[record.GetKey()] = e
	}
	e.Attempt = record.GetAttempt()
	e.State = State(record.GetState())
	e.Fingerprint = string(record.GetFingerprint())
	e.Idempotent = record.GetIdempotent()
	e.Owner = record.GetOwner()
	e.Sequence = sequence
	e.keep = time.Duration(record.GetKeepMs()) * time.Millisecond
	if e.State == Claimed {
		e.ClaimSequence = sequence
		e.overdue = time.UnixMilli(record.GetOverdueMs())
	}
	e.expire = time.UnixMilli(record.GetAtMs()).Add(e.keep)
}

// flush starts the write of the pending group when it is due.
func (s *Shard) flush(now time.Time) []Action {
	if s.inflight != nil || len(s.pending) == 0 {
		return nil
	}
	full := s.pendingBytes >= maxGroupBytes
	if now.Sub(s.lastCommit) < commitInterval || (!full && now.Sub(s.pendingSince) < gatherInterval) {
		return nil
	}
	s.inflight = &wire.Group{
		Writer:   fmt.Sprintf("%s/%d", s.writer, s.next),
		Sequence: s.next,
		Records:  s.pending,
	}
	s.inflightWaiting = s.pendingWaiting
	s.pending, s.pendingWaiting, s.pendingBytes = nil, nil, 0
	s.next++
	s.lastCommit = now
	return []Action{{Kind: CommitGroup, Group: s.inflight}}
}

// CommitResult is how a write of a group ended.
type CommitResult uint8

// The results of a write.
const (
	// Written says that the group is durable.
	Written CommitResult = iota
	// Refused says that a comparison failed.
	Refused
	// Unclear says that no answer came.
	Unclear
	// NotWritten says that the write certainly took no effect.
	NotWritten
)

// Committed takes the result of CommitGroup.
func (s *Shard) Committed(now time.Time, outcome CommitResult) []Action {
	if s.inflight == nil {
		return nil
	}
	switch outcome {
	case Written:
		return s.settled(now)
	case NotWritten:
		return []Action{{Kind: CommitGroup, Group: s.inflight}}
	default:
		return []Action{{Kind: ReadGroup, Group: s.inflight}}
	}
}

// ReadResult is what a read-back found at the group's sequence number.
type ReadResult struct {
	// Failed says that the read itself failed.
	Failed bool
	// Writer is the writer id found, empty if there is no such group.
	Writer string
	// HolderValid says that the shard's key still carries our fencing token.
	HolderValid bool
}

// ReadBack takes the result of ReadGroup.
func (s *Shard) ReadBack(now time.Time, found ReadResult) []Action {
	if s.inflight == nil {
		return nil
	}
	switch {
	case found.Failed:
		return []Action{{Kind: ReadGroup, Group: s.inflight}}
	case found.Writer == s.inflight.GetWriter():
		return s.settled(now)
	case found.Writer == "" && found.HolderValid:
		return []Action{{Kind: CommitGroup, Group: s.inflight}}
	default:
		return s.Close()
	}
}

func (s *Shard) settled(now time.Time) []Action {
	actions := s.replies(s.inflightWaiting)
	s.inflight, s.inflightWaiting = nil, nil
	return append(actions, s.flush(now)...)
}

func (s *Shard) replies(list []waiting) []Action {
	actions := make([]Action, 0, len(list))
	for _, w := range list {
		actions = append(actions, Action{Kind: ReplyTo, Ticket: w.ticket, Found: *s.entries[w.key]})
	}
	return actions
}

// Close ends the shard: every waiting caller learns that its record's fate is
// unclear.
func (s *Shard) Close() []Action {
	if s.closed {
		return nil
	}
	s.closed = true
	lost := result.New(result.LeaseLost, "shard moved while the record was written").WithRan(result.RanMaybe)
	var actions []Action
	for _, w := range append(s.inflightWaiting, s.pendingWaiting...) {
		actions = append(actions, Action{Kind: ReplyTo, Ticket: w.ticket, Failure: lost})
	}
	s.inflight, s.inflightWaiting, s.pending, s.pendingWaiting = nil, nil, nil, nil
	return append(actions, Action{Kind: CloseShard})
}

// Idle reports whether nothing waits for the store.
func (s *Shard) Idle() bool { return s.inflight == nil && len(s.pending) == 0 }

func refuse(ticket Ticket, failure *result.Error) []Action {
	return []Action{{Kind: ReplyTo, Ticket: ticket, Failure: failure}}
}
