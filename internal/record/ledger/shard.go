// Package ledger decides what becomes of the claims on one shard of request
// keys. A Shard is a pure state machine: it takes messages and timer events,
// changes its own state and returns actions; the recorder carries them out.
//
// The durable form is a log of groups. A group holds the records that gathered
// during one interval and is written as one value, under one compare-and-swap
// that also checks the shard's fencing token and that the group's sequence
// number is still free. At most one group is in flight, so the number of
// writes does not grow with the load. An answer larger than a part is split
// over several records in consecutive groups and counts once the last of them
// is durable.
//
// A reply leaves only after the records behind it are durable. A write whose
// outcome is unclear is settled by reading the group back and comparing the
// writer id; until then nothing is answered. Trap: a delayed write may land
// after a read-back found nothing, so the same group, with the same sequence
// number and writer id, is written again, never another one.
//
// While the store refuses writes, claims that certainly are not durable are
// withdrawn and refused as not run; outcomes of claimed requests are kept,
// within a bound of bytes, and written when the store is back.
//
// Groups without a live record are deleted together with a later write. When
// the log has many more groups than its live records need, runs of old groups
// are read and their live records appended again.
package ledger

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// maxPartBytes bounds the answer bytes of one record, and the request
	// bytes that a claim keeps for a second run.
	maxPartBytes = 512 << 10
	// maxAnswerBytes bounds a recorded answer.
	maxAnswerBytes = 8 << 20
	// maxClaimBytes bounds what may wait for the store when a claim comes in.
	maxClaimBytes = 4 << 20
	// maxPendingBytes bounds what waits for the store, an outage included.
	maxPendingBytes = 16 << 20
	// maxWaiting bounds the callers that wait for a reply.
	maxWaiting = 20_000
	// outageRetry is when a caller refused during an outage shall come back.
	outageRetry = time.Second
)

// Ticket names one waiting caller of the shard; the shell makes it up.
type Ticket uint64

// ActionKind tells what the shell has to do.
type ActionKind uint8

// The actions of a shard.
const (
	// ReplyTo answers the caller behind Ticket with Failure or Found.
	ReplyTo ActionKind = iota
	// CommitGroup writes Group, deletes the groups in Deletes and reports to
	// Committed.
	CommitGroup
	// ReadGroup reads the group with Group's sequence and reports to ReadBack.
	ReadGroup
	// LoadClaim reads the record of Found and reports to Loaded.
	LoadClaim
	// RunAgain runs the idempotent request in Record under Found's attempt.
	RunAgain
	// ReadGroupRange reads the groups From to To and reports to Cleaned.
	ReadGroupRange
	// CloseShard says that the fencing token is no longer valid.
	CloseShard
)

// Action is one thing for the shell to do.
type Action struct {
	Kind    ActionKind
	Ticket  Ticket
	Failure *result.Error
	// Found is the key's state for a reply; its answer has to be read from
	// the groups First to Sequence if Found.State is final.
	Found    Entry
	Record   *wire.Record
	Group    *wire.Group
	Deletes  []int64
	From, To int64
}

// Shard is the state of one shard of request keys at its holder.
type Shard struct {
	// interval is at least shortestInterval.
	interval time.Duration
	// writer identifies this holding of the shard; it is unique to it.
	writer string
	host   string
	// entries holds every key whose keep time is not over.
	entries  map[string]*Entry
	schedule schedule
	serial   uint64
	// next is the sequence number of the next group.
	next int64
	// pending are the records not yet in a group, in the order of their writes.
	pending      []item
	pendingBytes int
	pendingSince time.Time
	// waiting are the callers to be answered once a key's record is durable.
	waiting      map[string][]Ticket
	waitingCount int
	// undo is what withdrawing a claim that is not durable restores.
	undo map[string]*Entry
	// claimPending says that a claim came in since the last withdrawal.
	claimPending bool
	// flight is the group being written; nil if none.
	flight     *flight
	lastCommit time.Time
	// down says that the store refused a group until its claims were withdrawn,
	// and none was written since.
	down bool
	// probe is the earliest time of a new claim after an outage was seen.
	probe  time.Time
	log    groupLog
	closed bool
}

// Options name the holder of a shard.
type Options struct {
	// Writer must be unique to this holding of the shard.
	Writer string
	Host   string
	// Interval is the least time between two groups; see CommitInterval.
	Interval time.Duration
}

// Open returns the shard as the groups, in sequence order, describe it. Claims
// that are overdue already are settled only after a grace, so that owners can
// report to the new holder first.
func Open(o Options, now time.Time, groups []*wire.Group) *Shard {
	s := &Shard{
		writer: o.Writer, host: o.Host, next: 1, interval: max(o.Interval, shortestInterval),
		entries: make(map[string]*Entry), waiting: make(map[string][]Ticket), undo: make(map[string]*Entry),
		log: newGroupLog(),
	}
	firsts := make(map[string]int64)
	for _, group := range groups {
		s.replay(group, firsts)
	}
	for _, e := range s.entries {
		if e.State == Claimed && (e.Runs > 0 || e.overdue.Before(now.Add(openGrace))) {
			// A second run was the former holder's, which is gone.
			e.overdue = now.Add(openGrace)
		}
		s.enqueue(e)
	}
	s.log.sweep()
	s.settle(now)
	return s
}

// replay applies one durable group. firsts holds the group of the first part
// of each split answer whose last part was not seen yet.
func (s *Shard) replay(group *wire.Group, firsts map[string]int64) {
	sequence := group.GetSequence()
	s.next = max(s.next, sequence+1)
	s.log.add(sequence)
	for _, record := range group.GetRecords() {
		first := sequence
		if record.GetParts() > 1 {
			if record.GetPart() == 0 {
				firsts[record.GetKey()] = sequence
			}
			if record.GetPart() < record.GetParts()-1 {
				continue
			}
			var ok bool
			if first, ok = firsts[record.GetKey()]; !ok {
				continue
			}
		}
		delete(firsts, record.GetKey())
		s.replayRecord(record, first, sequence)
	}
}

func (s *Shard) replayRecord(record *wire.Record, first, last int64) {
	e, ok := s.entries[record.GetKey()]
	if !ok {
		e = &Entry{Key: record.GetKey()}
		s.entries[record.GetKey()] = e
	}
	e.set(record)
	e.bytes = recordBytes(record) + max(0, int(record.GetParts())-1)*maxPartBytes
	e.newFirst = first
	s.locate(e, last)
}

// locate moves the durable place of e to the groups newFirst to sequence.
func (s *Shard) locate(e *Entry, sequence int64) {
	s.log.release(e)
	e.FirstGroup, e.LastGroup = e.newFirst, sequence
	s.log.retain(e)
}

// Len returns the number of keys in memory.
func (s *Shard) Len() int { return len(s.entries) }

// GroupCount returns the number of groups in the store.
func (s *Shard) GroupCount() int { return len(s.log.groups) }

// PendingBytes returns how much waits for the store.
func (s *Shard) PendingBytes() int { return s.pendingBytes }

// Claim asks to run a request. The reply has Failure set if the claim is
// refused, and Found.State other than Claimed by this attempt if the key was
// taken before.
func (s *Shard) Claim(now time.Time, ticket Ticket, in *wire.ClaimRequest) []Action {
	if s.closed {
		return refuse(ticket, result.New(result.LeaseLost, "shard moved to another host"))
	}
	e, ok := s.entries[in.GetKey()]
	if ok {
		if e.Fingerprint != string(in.GetFingerprint()) {
			return refuse(ticket, result.New(result.KeyReused, "key %q was used with another body", in.GetKey()))
		}
		if e.unwritten > 0 || !e.claimable(in.GetAttempt()) {
			return s.replyWhenDurable(ticket, e)
		}
	}
	if failure := s.refuseClaim(now, e); failure != nil {
		return refuse(ticket, failure)
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
	if in.GetIdempotent() && proto.Size(in.GetRequest()) <= maxPartBytes {
		record.Request = in.GetRequest()
	}
	prior := clone(e)
	s.add(now, ticket, []*wire.Record{record})
	s.undo[in.GetKey()], s.claimPending = prior, true
	return s.flush(now)
}

// refuseClaim returns why no new claim is taken now, nil if it is. The key's
// earlier state e decides what is true of its request; e may be nil.
func (s *Shard) refuseClaim(now time.Time, e *Entry) *result.Error {
	if s.pendingBytes <= maxClaimBytes && s.waitingCount < maxWaiting && !s.stalled(now) && !now.Before(s.probe) {
		return nil
	}
	return unrecorded(e)
}

// unrecorded is the refusal of a claim that certainly is not durable.
func unrecorded(e *Entry) *result.Error {
	failure := result.New(result.StoreUnavailable, "the platform's store takes no records now").WithRetry(outageRetry)
	if e != nil && e.State != NotRun {
		return failure.WithRan(result.RanMaybe)
	}
	return failure
}

func clone(e *Entry) *Entry {
	if e == nil {
		return nil
	}
	c := *e
	return &c
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
	if s.pendingBytes+len(in.GetAnswer()) > maxPendingBytes || s.waitingCount >= maxWaiting {
		return refuse(ticket, result.New(result.StoreUnavailable, "too many records wait for the store").
			WithRan(result.RanMaybe).WithRetry(outageRetry))
	}
	if s.postpone(now, e, in) {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Found: *e}}
	}
	s.add(now, ticket, split(s.outcome(now, e, in)))
	return s.flush(now)
}

// outcome returns the record of a finished attempt.
func (s *Shard) outcome(now time.Time, e *Entry, in *wire.FinishRequest) *wire.Record {
	record := &wire.Record{
		Key:         in.GetKey(),
		Attempt:     in.GetAttempt(),
		State:       in.GetState(),
		Fingerprint: []byte(e.Fingerprint),
		Idempotent:  e.Idempotent,
		Owner:       e.Owner,
		AtMs:        now.UnixMilli(),
		KeepMs:      e.keep.Milliseconds(),
		Runs:        int32(e.Runs),
		Status:      in.GetStatus(),
		ContentType: in.GetContentType(),
		Answer:      in.GetAnswer(),
		Failure:     in.GetFailure(),
	}
	if e.Runs > 0 && State(in.GetState()) == NotRun {
		// The second run did not run, but the first may have.
		record.State = int32(MayHaveRun)
		record.Failure = failureOf(result.New(result.MayHaveRun, "host was lost while the request ran"))
	}
	if len(in.GetAnswer()) > maxAnswerBytes {
		record.State, record.Answer = int32(Failed), nil
		record.Failure = failureOf(result.New(result.BodyTooLarge, "the answer has %d bytes, at most %d can be kept",
			len(in.GetAnswer()), maxAnswerBytes).WithRan(result.RanYes))
	}
	return record
}

func failureOf(e *result.Error) *wire.Failure {
	if e.Code() == result.MayHaveRun {
		e = e.WithRan(result.RanMaybe)
	}
	return wire.FailureOf(e)
}

// split returns record as parts of which each fits into a group.
func split(record *wire.Record) []*wire.Record {
	answer := record.GetAnswer()
	if len(answer) <= maxPartBytes {
		return []*wire.Record{record}
	}
	count := (len(answer) + maxPartBytes - 1) / maxPartBytes
	parts := make([]*wire.Record, count)
	record.Answer = nil
	for i := range parts {
		part := proto.CloneOf(record)
		part.Answer = answer[i*maxPartBytes : min((i+1)*maxPartBytes, len(answer))]
		part.Part, part.Parts = int32(i), int32(count)
		parts[i] = part
	}
	return parts
}

// Lookup asks for the key's state; the reply leaves when that is durable.
func (s *Shard) Lookup(ticket Ticket, key string) []Action {
	if s.closed {
		return refuse(ticket, result.New(result.LeaseLost, "shard moved to another host").WithRan(result.RanMaybe))
	}
	e, ok := s.entries[key]
	if !ok {
		return refuse(ticket, result.New(result.NotFound, "no request with key %q", key))
	}
	return s.replyWhenDurable(ticket, e)
}

// replyWhenDurable answers with e's state after its latest record is durable.
func (s *Shard) replyWhenDurable(ticket Ticket, e *Entry) []Action {
	if e.unwritten == 0 {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Found: *e}}
	}
	if s.waitingCount >= maxWaiting {
		return refuse(ticket, result.New(result.StoreUnavailable, "too many callers wait for the store").
			WithRan(result.RanMaybe).WithRetry(outageRetry))
	}
	s.wait(ticket, e.Key)
	return nil
}

func (s *Shard) wait(ticket Ticket, key string) {
	s.waiting[key] = append(s.waiting[key], ticket)
	s.waitingCount++
}

// CancelWait drops a caller that waits no longer.
func (s *Shard) CancelWait(ticket Ticket, key string) {
	list := s.waiting[key]
	for i, t := range list {
		if t != ticket {
			continue
		}
		s.waitingCount--
		list = append(list[:i], list[i+1:]...)
		s.waiting[key] = list
		if len(list) == 0 {
			delete(s.waiting, key)
		}
		return
	}
}

// take removes and returns the callers that wait for a key.
func (s *Shard) take(key string) []Ticket {
	list := s.waiting[key]
	delete(s.waiting, key)
	s.waitingCount -= len(list)
	return list
}

// Tick settles due keys, cleans the log and writes a due group.
func (s *Shard) Tick(now time.Time) []Action {
	if s.closed {
		return nil
	}
	actions := s.settle(now)
	if s.claimPending && s.stalled(now) {
		s.claimPending = false
		actions = append(actions, s.withdraw(now, false)...)
	}
	actions = append(actions, s.clean(now)...)
	return append(actions, s.flush(now)...)
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
	for _, key := range s.waitingKeys() {
		for _, ticket := range s.take(key) {
			actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Failure: lost})
		}
	}
	s.flight, s.pending, s.pendingBytes = nil, nil, 0
	return append(actions, Action{Kind: CloseShard})
}

// Idle reports whether nothing waits for the store.
func (s *Shard) Idle() bool { return s.flight == nil && len(s.pending) == 0 }

func refuse(ticket Ticket, failure *result.Error) []Action {
	return []Action{{Kind: ReplyTo, Ticket: ticket, Failure: failure}}
}

// baseAttempt returns the attempt of a key's first run.
func baseAttempt(attempt string) string {
	base, _, _ := strings.Cut(attempt, "+")
	return base
}
