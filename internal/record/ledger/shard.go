// Package ledger records claims on request keys and the outcomes of the claimed
// requests, for one shard of the keys. A Shard is a pure state machine: it
// handles messages and timer events, changes its own state and returns actions,
// which the recorder carries out. The holder is the host that holds the shard.
// The owner of a claim is the host that runs the claimed request; if it is lost,
// the holder may rerun the request and is then the owner.
//
// The durable form is a log of groups. A group holds the records that were
// batched during one interval. It is written as one value, in one transaction
// that also checks the shard's fencing token and that the group's sequence
// number is free. At most one group is in flight, so the number of writes does
// not grow with the load. An answer that is too large for one record is split
// over several, which may be in consecutive groups; it takes effect once the
// last of them is durable.
//
// A reply is sent only after the records that it depends on are durable. If the
// outcome of a write is unknown, the group is read back and its writer id
// compared; until then no caller is answered. A delayed write may still take
// effect after a read-back found nothing. The same group, with the same
// sequence number and writer id, is therefore written again, never another one.
//
// While the store refuses writes, and when the shard closes, claims that certainly
// are not durable are withdrawn and refused as not run. Outcomes of claimed
// requests are kept, up to a limit of bytes, and written when the store is back.
//
// Groups without a live record are deleted together with a later write. When
// the log has many more groups than its live records need, it is compacted: old
// groups are read and their live records appended again.
package ledger

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// maxPartBytes limits the answer in one record, and the request that a
	// claim's record keeps for a rerun.
	maxPartBytes = 512 << 10
	// maxAnswerBytes limits a recorded answer.
	maxAnswerBytes = 8 << 20
	// maxPendingBytesForClaim is the size of the pending records above which
	// claims are refused.
	maxPendingBytesForClaim = 4 << 20
	// maxPendingBytes is the size of the pending records, with the new answer,
	// above which outcomes are refused.
	maxPendingBytes = 16 << 20
	// maxWaiters limits the callers that wait for a reply.
	maxWaiters = 20_000
	// outageRetryAfter is the retry delay given to a caller that is refused
	// because of the store.
	outageRetryAfter = time.Second
)

// Ticket identifies a caller that waits for a reply of the shard. The recorder
// assigns it; zero is no caller.
type Ticket uint64

// ActionKind is what the recorder has to do for an action.
type ActionKind uint8

// The actions of a shard.
const (
	// ReplyTo sends Failure or Found to the caller that Ticket identifies.
	ReplyTo ActionKind = iota
	// CommitGroup writes Group and deletes the groups in Deletes, if BeginWrite
	// allows it right before; the result goes to Committed. The records of Group
	// may change until BeginWrite.
	CommitGroup
	// ReadGroup reads the group with Group's sequence number; the result goes
	// to ReadBack.
	ReadGroup
	// LoadClaim reads the record of Found; the result goes to ClaimLoaded.
	LoadClaim
	// RunAgain runs the idempotent request in Record under Found's attempt.
	RunAgain
	// ReadGroupRange reads the groups From to To in order to compact the log;
	// the result goes to GroupRangeRead.
	ReadGroupRange
	// CloseShard drops the shard, whose fencing token is no longer valid.
	CloseShard
)

// Action is one operation for the recorder to carry out.
type Action struct {
	Kind    ActionKind
	Ticket  Ticket
	Failure *result.Error
	// Found is the key's state. If Found.State is final, the answer has to be
	// read from the groups FirstGroup to LastGroup.
	Found    Entry
	Record   *wire.Record
	Group    *wire.Group
	Deletes  []int64
	From, To int64
}

// Shard is the state of one shard of request keys on the host that holds it.
type Shard struct {
	// interval is the minimum time between two groups that are not full. It is
	// at least minCommitInterval.
	interval time.Duration
	// writer is unique to this opening of the shard.
	writer string
	host   string
	// entries holds every key that has not expired.
	entries         map[string]*Entry
	schedule        schedule
	lastWriteSerial uint64
	// nextSequence is the sequence number of the next group.
	nextSequence int64
	// pending are the records not yet in a group, in the order of their writes.
	pending      []pendingRecord
	pendingBytes int
	pendingSince time.Time
	// waiters are the callers that get a reply once their key's latest record is
	// durable.
	waiters     map[string][]Ticket
	waiterCount int
	// priorEntries holds, for each key with a claim that is not durable, the
	// entry to restore if the claim is withdrawn; nil if there was none.
	priorEntries map[string]*Entry
	// claimsToWithdraw is set by a claim and cleared when Tick withdraws the
	// pending claims because the write in flight is stalled.
	claimsToWithdraw bool
	// groupWrite is the group being written, nil if none.
	groupWrite *groupWrite
	lastCommit time.Time
	// storeDown is set when the store refuses a group that is stalled, and
	// cleared by the next write that succeeds. While it is set, every refused
	// write withdraws the claims that certainly are not durable.
	storeDown bool
	// claimsAllowedAt is when claims are accepted again after the store refused
	// a group that held only claims.
	claimsAllowedAt time.Time
	log             groupLog
	closed          bool
}

// Options configures a shard.
type Options struct {
	// Writer must be unique to this opening of the shard.
	Writer string
	// Host is the host that holds the shard.
	Host string
	// Interval is the minimum time between two groups that are not full; see
	// CommitInterval.
	Interval time.Duration
}

// Open returns the shard that results from replaying groups, which are in
// sequence order. Claims that are overdue, or soon will be, are resolved only
// after openGracePeriod, so that owners can report to the new holder first.
func Open(o Options, now time.Time, groups []*wire.Group) *Shard {
	s := &Shard{
		writer: o.Writer, host: o.Host, nextSequence: 1, interval: max(o.Interval, minCommitInterval),
		entries: make(map[string]*Entry), waiters: make(map[string][]Ticket), priorEntries: make(map[string]*Entry),
		log: newGroupLog(),
	}
	firstParts := make(map[string]int64)
	for _, group := range groups {
		s.replay(group, firstParts)
	}
	for _, e := range s.entries {
		if e.State == Claimed && (e.Runs > 0 || e.claimDeadline.Before(now.Add(openGracePeriod))) {
			// A rerun was running on the former holder, which is gone.
			e.claimDeadline = now.Add(openGracePeriod)
		}
		s.scheduleCheck(e)
	}
	s.log.markDead()
	s.resolveDue(now)
	return s
}

// replay applies one durable group. firstParts holds, by key, the group of the
// first part of each split answer whose last part was not replayed yet.
func (s *Shard) replay(group *wire.Group, firstParts map[string]int64) {
	sequence := group.GetSequence()
	s.nextSequence = max(s.nextSequence, sequence+1)
	s.log.add(sequence)
	for _, record := range group.GetRecords() {
		first := sequence
		if record.GetParts() > 1 {
			if record.GetPart() == 0 {
				firstParts[record.GetKey()] = sequence
			}
			if record.GetPart() < record.GetParts()-1 {
				continue
			}
			var ok bool
			if first, ok = firstParts[record.GetKey()]; !ok {
				continue
			}
		}
		delete(firstParts, record.GetKey())
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
	e.newFirstGroup = first
	s.setDurableGroups(e, last)
}

// setDurableGroups records that e's durable record is now in the groups
// e.newFirstGroup to sequence.
func (s *Shard) setDurableGroups(e *Entry, sequence int64) {
	s.log.release(e)
	e.FirstGroup, e.LastGroup = e.newFirstGroup, sequence
	s.log.retain(e)
}

// Len returns the number of keys in memory.
func (s *Shard) Len() int { return len(s.entries) }

// GroupCount returns the number of groups in the shard's log.
func (s *Shard) GroupCount() int { return len(s.log.groups) }

// PendingBytes returns the size of the records that are not yet in a group.
func (s *Shard) PendingBytes() int { return s.pendingBytes }

// Claim claims a key for an attempt to run its request. The reply has Failure
// set if the claim is refused. Otherwise Found is the key's state: Claimed by
// this attempt, or the result of an earlier claim.
func (s *Shard) Claim(now time.Time, ticket Ticket, in *wire.ClaimRequest) []Action {
	if s.closed {
		return replyFailure(ticket, result.New(result.LeaseLost, "shard moved to another host"))
	}
	e, ok := s.entries[in.GetKey()]
	if ok {
		if e.Fingerprint != string(in.GetFingerprint()) {
			return replyFailure(ticket, result.New(result.KeyReused, "key %q was used with another body", in.GetKey()))
		}
		if e.unwritten > 0 || !e.claimable(in.GetAttempt()) {
			return s.replyWhenDurable(ticket, e)
		}
	}
	if failure := s.checkClaimCapacity(now, e); failure != nil {
		return replyFailure(ticket, failure)
	}
	claimDeadline := now.Add(time.Duration(in.GetDeadlineInMs())*time.Millisecond + claimDeadlineMargin)
	record := &wire.Record{
		Key:         in.GetKey(),
		Attempt:     in.GetAttempt(),
		State:       int32(Claimed),
		Fingerprint: in.GetFingerprint(),
		Idempotent:  in.GetIdempotent(),
		Owner:       in.GetOwner(),
		AtMs:        now.UnixMilli(),
		OverdueMs:   claimDeadline.UnixMilli(),
		KeepMs:      in.GetKeepMs(),
	}
	if in.GetIdempotent() && proto.Size(in.GetRequest()) <= maxPartBytes {
		record.Request = in.GetRequest()
	}
	prior := cloneEntry(e)
	s.applyRecord(now, ticket, []*wire.Record{record})
	s.priorEntries[in.GetKey()], s.claimsToWithdraw = prior, true
	return s.flush(now)
}

// checkClaimCapacity returns the failure to reply with if no new claim can be
// accepted now, else nil. e is the key's earlier state; it may be nil.
func (s *Shard) checkClaimCapacity(now time.Time, e *Entry) *result.Error {
	if s.pendingBytes <= maxPendingBytesForClaim && s.waiterCount < maxWaiters && !s.stalled(now) && !now.Before(s.claimsAllowedAt) {
		return nil
	}
	return claimUnavailable(e)
}

// claimUnavailable returns the failure for a claim that certainly is not
// durable. e, the key's earlier state, decides whether the request may have run;
// it may be nil.
func claimUnavailable(e *Entry) *result.Error {
	return claimFailure(result.New(result.StoreUnavailable, "the platform's store takes no records now").WithRetry(outageRetryAfter), e)
}

// claimMoved returns the failure for a claim that certainly is not durable in a
// shard that closes; e is as for claimUnavailable.
func claimMoved(e *Entry) *result.Error {
	return claimFailure(result.New(result.LeaseLost, "shard moved before the claim was written"), e)
}

func claimFailure(failure *result.Error, e *Entry) *result.Error {
	if e != nil && e.State != NotRun {
		return failure.WithRan(result.RanMaybe)
	}
	return failure
}

func cloneEntry(e *Entry) *Entry {
	if e == nil {
		return nil
	}
	c := *e
	return &c
}

// Finish records the outcome of an attempt. The reply holds the key's state,
// which may be that of another attempt if the outcome was not accepted.
func (s *Shard) Finish(now time.Time, ticket Ticket, in *wire.FinishRequest) []Action {
	if s.closed {
		return replyFailure(ticket, result.New(result.LeaseLost, "shard moved to another host").WithRan(result.RanMaybe))
	}
	e, ok := s.entries[in.GetKey()]
	if !ok {
		return replyFailure(ticket, result.New(result.NotFound, "no claim on key %q", in.GetKey()).WithRan(result.RanMaybe))
	}
	if !e.accepts(in.GetAttempt(), State(in.GetState())) {
		return s.replyWhenDurable(ticket, e)
	}
	if s.pendingBytes+len(in.GetAnswer()) > maxPendingBytes || s.waiterCount >= maxWaiters {
		return replyFailure(ticket, result.New(result.StoreUnavailable, "too many records wait for the store").
			WithRan(result.RanMaybe).WithRetry(outageRetryAfter))
	}
	if s.deferRerun(now, e, in) {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Found: *e}}
	}
	s.applyRecord(now, ticket, splitAnswer(s.outcomeRecord(now, e, in)))
	return s.flush(now)
}

// outcomeRecord returns the record of a finished attempt. An answer over
// maxAnswerBytes is recorded as a failure.
func (s *Shard) outcomeRecord(now time.Time, e *Entry, in *wire.FinishRequest) *wire.Record {
	record := &wire.Record{
		Key:         in.GetKey(),
		Attempt:     in.GetAttempt(),
		State:       in.GetState(),
		Fingerprint: []byte(e.Fingerprint),
		Idempotent:  e.Idempotent,
		Owner:       e.Owner,
		AtMs:        now.UnixMilli(),
		KeepMs:      e.retention.Milliseconds(),
		Runs:        int32(e.Runs),
		Status:      in.GetStatus(),
		ContentType: in.GetContentType(),
		Answer:      in.GetAnswer(),
		Failure:     in.GetFailure(),
	}
	if e.Runs > 0 && State(in.GetState()) == NotRun {
		// The rerun did not run, but the first run may have.
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
	return wire.NewFailure(e)
}

// splitAnswer returns record as one or more records with at most maxPartBytes
// of its answer each. It clears the answer of a record that it splits.
func splitAnswer(record *wire.Record) []*wire.Record {
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

// Lookup replies with the key's state once that is durable.
func (s *Shard) Lookup(ticket Ticket, key string) []Action {
	if s.closed {
		return replyFailure(ticket, result.New(result.LeaseLost, "shard moved to another host").WithRan(result.RanMaybe))
	}
	e, ok := s.entries[key]
	if !ok {
		return replyFailure(ticket, result.New(result.NotFound, "no request with key %q", key))
	}
	return s.replyWhenDurable(ticket, e)
}

// replyWhenDurable replies with e's state once its latest record is durable.
func (s *Shard) replyWhenDurable(ticket Ticket, e *Entry) []Action {
	if e.unwritten == 0 {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Found: *e}}
	}
	if s.waiterCount >= maxWaiters {
		return replyFailure(ticket, result.New(result.StoreUnavailable, "too many callers wait for the store").
			WithRan(result.RanMaybe).WithRetry(outageRetryAfter))
	}
	s.addWaiter(ticket, e.Key)
	return nil
}

func (s *Shard) addWaiter(ticket Ticket, key string) {
	s.waiters[key] = append(s.waiters[key], ticket)
	s.waiterCount++
}

// CancelWait removes a caller that no longer waits for a reply.
func (s *Shard) CancelWait(ticket Ticket, key string) {
	list := s.waiters[key]
	for i, t := range list {
		if t != ticket {
			continue
		}
		s.waiterCount--
		list = append(list[:i], list[i+1:]...)
		s.waiters[key] = list
		if len(list) == 0 {
			delete(s.waiters, key)
		}
		return
	}
}

// takeWaiters removes and returns the callers that wait for key.
func (s *Shard) takeWaiters(key string) []Ticket {
	list := s.waiters[key]
	delete(s.waiters, key)
	s.waiterCount -= len(list)
	return list
}

// Tick handles due keys, withdraws pending claims if the write in flight is
// stalled, compacts the log and starts the write of a group that is due.
func (s *Shard) Tick(now time.Time) []Action {
	if s.closed {
		return nil
	}
	actions := s.resolveDue(now)
	if s.claimsToWithdraw && s.stalled(now) {
		s.claimsToWithdraw = false
		actions = append(actions, s.withdraw(now, false)...)
	}
	actions = append(actions, s.compact(now)...)
	return append(actions, s.flush(now)...)
}

// Close stops the shard. Claims that certainly are not durable are refused as not
// run. Every other waiting caller gets a failure with RanMaybe, as it is unknown
// whether its record is durable.
func (s *Shard) Close() []Action {
	if s.closed {
		return nil
	}
	s.closed = true
	all := func(pendingRecord) bool { return true }
	_, actions := s.withdrawFrom(s.pending, all, claimMoved)
	if w := s.groupWrite; w != nil && !w.mayBeDurable() {
		_, refusals := s.withdrawFrom(w.batch, all, claimMoved)
		actions = append(actions, refusals...)
	}
	failure := result.New(result.LeaseLost, "shard moved while the record was written").WithRan(result.RanMaybe)
	for _, key := range s.keysWithWaiters() {
		for _, ticket := range s.takeWaiters(key) {
			actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Failure: failure})
		}
	}
	s.groupWrite, s.pending, s.pendingBytes = nil, nil, 0
	return append(actions, Action{Kind: CloseShard})
}

// Idle reports whether there are no pending records and no write in flight.
func (s *Shard) Idle() bool { return s.groupWrite == nil && len(s.pending) == 0 }

func replyFailure(ticket Ticket, failure *result.Error) []Action {
	return []Action{{Kind: ReplyTo, Ticket: ticket, Failure: failure}}
}

// baseAttempt returns the attempt of a request's first run, without the suffix
// that ClaimLoaded adds for a rerun.
func baseAttempt(attempt string) string {
	base, _, _ := strings.Cut(attempt, "+")
	return base
}
