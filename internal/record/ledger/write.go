package ledger

import (
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// batchDelay is how long a record waits for others to share its group.
	batchDelay = 30 * time.Millisecond
	// minCommitInterval limits a shard to 20 group writes a second.
	minCommitInterval = 50 * time.Millisecond
	// groupWritesPerSecond limits the group writes of all shards together,
	// except those of full groups, so that busy shards together stay within the
	// deployment's limit of writes to the store.
	groupWritesPerSecond = 350
	// maxGroupBytes limits the uncompressed records of one group.
	maxGroupBytes = 768 << 10
	// recordOverheadBytes is counted for a record in addition to its encoded
	// size.
	recordOverheadBytes = 16
	// stallTimeout is how long a group may be in flight before the store is
	// considered unavailable.
	stallTimeout = 2 * time.Second
	// probeInterval is how long claims are refused after the store refused a
	// group that held only claims. The next claim then probes the store.
	probeInterval = time.Second
)

// pendingRecord is a record that is not durable yet.
type pendingRecord struct {
	record *wire.Record
	// writeSerial is the entry's writeSerial for the write that the record
	// belongs to.
	writeSerial uint64
	// rerun is set if the request is to be rerun once the record is durable.
	rerun bool
}

// groupWrite is the write of one group.
type groupWrite struct {
	group *wire.Group
	batch []pendingRecord
	// deletes are the groups to be deleted in the same transaction.
	deletes   []int64
	startedAt time.Time
	// outcomeUnknown is set if an earlier attempt to write the group may still
	// take effect.
	outcomeUnknown bool
	// atStore is set while an attempt to write the group may take effect, from
	// BeginWrite until Committed.
	atStore bool
	// refused is set once the store has refused an attempt to write the group.
	refused bool
}

// mayBeDurable reports whether an attempt to write the group may have taken
// effect or may still do so.
func (w *groupWrite) mayBeDurable() bool { return w.atStore || w.outcomeUnknown }

func recordBytes(r *wire.Record) int { return recordOverheadBytes + proto.Size(r) }

// applyRecord sets a key's state from records, which are the parts of one
// record, and appends them to the pending records. If ticket is not zero, its
// caller gets a reply once they are durable.
func (s *Shard) applyRecord(now time.Time, ticket Ticket, records []*wire.Record) {
	record := records[0]
	e, ok := s.entries[record.GetKey()]
	if !ok {
		e = &Entry{Key: record.GetKey()}
		s.entries[record.GetKey()] = e
	}
	delete(s.priorEntries, e.Key)
	e.set(record)
	if ticket != 0 {
		s.addWaiter(ticket, e.Key)
	}
	s.appendPending(now, e, records)
	s.scheduleCheck(e)
}

// appendPending appends one write of e to the pending records.
func (s *Shard) appendPending(now time.Time, e *Entry, records []*wire.Record) {
	s.lastWriteSerial++
	s.log.unpin(e)
	e.writeSerial, e.unwritten, e.bytes = s.lastWriteSerial, len(records), 0
	if len(s.pending) == 0 {
		s.pendingSince = now
	}
	for _, record := range records {
		size := recordBytes(record)
		e.bytes += size
		s.pendingBytes += size
		s.pending = append(s.pending, pendingRecord{record: record, writeSerial: e.writeSerial})
	}
}

// CommitInterval returns the minimum time between two groups of one shard that
// are not full, in a deployment with that many shards. It keeps the shards
// together within groupWritesPerSecond.
func CommitInterval(shards int) time.Duration {
	return max(minCommitInterval, time.Duration(shards)*time.Second/groupWritesPerSecond)
}

// flush starts the write of a group of pending records if one is due. A full
// group waits only for minCommitInterval, not for the shard's interval.
func (s *Shard) flush(now time.Time) []Action {
	full := s.pendingBytes >= maxGroupBytes
	interval := s.interval
	if full {
		interval = minCommitInterval
	}
	if s.groupWrite != nil || s.closed || now.Sub(s.lastCommit) < interval {
		return nil
	}
	waited := len(s.pending) > 0 && now.Sub(s.pendingSince) >= batchDelay
	if !full && !waited && len(s.log.dead) < maxDeletes {
		return nil
	}
	batch := s.takePending()
	records := make([]*wire.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	s.groupWrite = &groupWrite{
		group: &wire.Group{
			Writer:   fmt.Sprintf("%s/%d", s.writer, s.nextSequence),
			Sequence: s.nextSequence,
			Records:  records,
		},
		batch: batch, deletes: s.log.takeDead(), startedAt: now,
	}
	s.nextSequence++
	s.lastCommit = now
	return []Action{s.commitAction()}
}

func (s *Shard) commitAction() Action {
	return Action{Kind: CommitGroup, Group: s.groupWrite.group, Deletes: s.groupWrite.deletes}
}

// takePending removes and returns the pending records that fit into one group.
func (s *Shard) takePending() []pendingRecord {
	size, n := 0, 0
	for n < len(s.pending) {
		recordSize := recordBytes(s.pending[n].record)
		if n > 0 && size+recordSize > maxGroupBytes {
			break
		}
		size += recordSize
		n++
	}
	taken := append([]pendingRecord(nil), s.pending[:n]...)
	s.pending = append([]pendingRecord(nil), s.pending[n:]...)
	s.pendingBytes -= size
	return taken
}

// stalled reports whether a group has been in flight for stallTimeout or longer.
func (s *Shard) stalled(now time.Time) bool {
	return s.groupWrite != nil && now.Sub(s.groupWrite.startedAt) >= stallTimeout
}

// BeginWrite reports whether an attempt to write group may be sent to the store.
// Until its result is passed to Committed, the attempt may take effect.
func (s *Shard) BeginWrite(group *wire.Group) bool {
	if s.groupWrite == nil || s.groupWrite.group != group {
		return false
	}
	s.groupWrite.atStore = true
	return true
}

// CommitResult is the result of an attempt to write a group.
type CommitResult uint8

// The results of a write.
const (
	// Written means that the group is durable.
	Written CommitResult = iota
	// CompareFailed means that a comparison of the transaction failed.
	CompareFailed
	// OutcomeUnknown means that the write may or may not take effect.
	OutcomeUnknown
	// NotWritten means that the write certainly has no effect.
	NotWritten
)

// Committed handles the result of CommitGroup.
func (s *Shard) Committed(now time.Time, outcome CommitResult) []Action {
	if s.groupWrite == nil {
		return nil
	}
	s.groupWrite.atStore = false
	switch outcome {
	case Written:
		return s.groupDurable(now)
	case NotWritten:
		s.groupWrite.refused = true
		var actions []Action
		if s.storeDown || s.stalled(now) {
			s.storeDown = true
			actions = s.withdraw(now, !s.groupWrite.outcomeUnknown)
		}
		if s.groupWrite != nil {
			actions = append(actions, s.commitAction())
		}
		return actions
	default:
		s.groupWrite.outcomeUnknown = true
		return []Action{{Kind: ReadGroup, Group: s.groupWrite.group}}
	}
}

// ReadResult is the result of reading back a group.
type ReadResult struct {
	// Failed is set if the read itself failed.
	Failed bool
	// Writer is the writer id of the stored group, empty if there is none.
	Writer string
	// TokenValid is set if the fencing token is still that of the shard's key.
	TokenValid bool
}

// ReadBack handles the result of ReadGroup.
func (s *Shard) ReadBack(now time.Time, read ReadResult) []Action {
	if s.groupWrite == nil {
		return nil
	}
	switch {
	case read.Failed:
		return []Action{{Kind: ReadGroup, Group: s.groupWrite.group}}
	case read.Writer == s.groupWrite.group.GetWriter():
		return s.groupDurable(now)
	case read.Writer == "" && read.TokenValid:
		return []Action{s.commitAction()}
	default:
		return s.Close()
	}
}

// groupDurable records that the group in flight is durable and replies to the
// callers that waited for it.
func (s *Shard) groupDurable(now time.Time) []Action {
	w := s.groupWrite
	s.groupWrite, s.claimsAllowedAt, s.storeDown = nil, time.Time{}, false
	sequence := w.group.GetSequence()
	s.log.add(sequence)
	s.log.remove(w.deletes)
	var actions []Action
	for _, p := range w.batch {
		actions = append(actions, s.recordDurable(p, sequence)...)
	}
	s.log.markDead()
	return append(actions, s.flush(now)...)
}

// recordDurable records that p is durable in the group with the given sequence
// number. A record of an older write of the key is ignored.
func (s *Shard) recordDurable(p pendingRecord, sequence int64) []Action {
	e, ok := s.entries[p.record.GetKey()]
	if !ok || e.writeSerial != p.writeSerial {
		return nil
	}
	if p.record.GetPart() == 0 {
		e.newFirstGroup = sequence
	}
	e.unwritten--
	if e.unwritten > 0 {
		s.log.pin(e, sequence)
		return nil
	}
	s.log.unpin(e)
	s.setDurableGroups(e, sequence)
	delete(s.priorEntries, e.Key)
	var actions []Action
	for _, ticket := range s.takeWaiters(e.Key) {
		actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Found: *e})
	}
	if p.rerun {
		actions = append(actions, Action{Kind: RunAgain, Found: *e, Record: p.record})
	}
	return actions
}

// withdraw undoes claims that certainly are not durable: the pending ones and,
// if includeInFlight is set, those of the group in flight. It must be set only
// if no attempt to write that group can still take effect.
func (s *Shard) withdraw(now time.Time, includeInFlight bool) []Action {
	if len(s.priorEntries) == 0 {
		return nil
	}
	all := func(pendingRecord) bool { return true }
	actions := s.withdrawPending(all)
	if includeInFlight {
		actions = append(actions, s.withdrawInFlight(now, all)...)
	}
	return actions
}

// withdrawPending undoes the selected claims that are in no group yet.
func (s *Shard) withdrawPending(selected func(pendingRecord) bool) []Action {
	kept, actions := s.withdrawFrom(s.pending, selected, claimUnavailable)
	s.pending, s.pendingBytes = kept, 0
	for _, p := range s.pending {
		s.pendingBytes += recordBytes(p.record)
	}
	return actions
}

// withdrawInFlight undoes the selected claims of the group in flight, which must
// not be durable and must not become so.
func (s *Shard) withdrawInFlight(now time.Time, selected func(pendingRecord) bool) []Action {
	batch, actions := s.withdrawFrom(s.groupWrite.batch, selected, claimUnavailable)
	if len(batch) == len(s.groupWrite.batch) {
		return nil
	}
	s.groupWrite.batch = batch
	s.groupWrite.group.Records = make([]*wire.Record, len(batch))
	for i, p := range batch {
		s.groupWrite.group.Records[i] = p.record
	}
	if len(batch) == 0 {
		s.log.dead = append(s.log.dead, s.groupWrite.deletes...)
		if s.groupWrite.refused {
			s.claimsAllowedAt = now.Add(probeInterval)
		}
		s.groupWrite = nil
	}
	return actions
}

// GiveUp ends the wait of the caller of attempt's claim of key and returns the
// failure for it. A claim that certainly is not durable is withdrawn, and every
// other caller that waits for it is refused; else it may become durable later.
func (s *Shard) GiveUp(now time.Time, ticket Ticket, key, attempt string) ([]Action, *result.Error) {
	s.CancelWait(ticket, key)
	unclear := result.New(result.StoreUnavailable, "the store did not confirm the claim in time").WithRan(result.RanMaybe)
	e := s.entries[key]
	prior, withdrawable := s.priorEntries[key]
	if s.closed || !withdrawable || e.Attempt != attempt {
		return nil, unclear
	}
	own := func(p pendingRecord) bool { return p.record.GetKey() == key }
	actions := s.withdrawPending(own)
	if s.groupWrite != nil && !s.groupWrite.mayBeDurable() {
		actions = append(actions, s.withdrawInFlight(now, own)...)
	}
	if _, kept := s.priorEntries[key]; kept {
		return nil, unclear
	}
	return actions, claimUnavailable(prior)
}

// withdrawFrom undoes the selected claims among records. It returns the other
// records and the replies that refuse the claims; failure returns the failure of a
// claim by the key's earlier state.
func (s *Shard) withdrawFrom(records []pendingRecord, selected func(pendingRecord) bool,
	failure func(prior *Entry) *result.Error) ([]pendingRecord, []Action) {
	var kept []pendingRecord
	var actions []Action
	for _, p := range records {
		key := p.record.GetKey()
		prior, ok := s.priorEntries[key]
		if e := s.entries[key]; !ok || e == nil || e.writeSerial != p.writeSerial || !selected(p) {
			kept = append(kept, p)
			continue
		}
		s.restore(key, prior)
		for _, ticket := range s.takeWaiters(key) {
			actions = append(actions, replyFailure(ticket, failure(prior))...)
		}
	}
	return kept, actions
}

// restore resets key to prior, its state before a claim; nil if it had none.
func (s *Shard) restore(key string, prior *Entry) {
	delete(s.priorEntries, key)
	if prior == nil {
		delete(s.entries, key)
		return
	}
	prior.scheduledAt = time.Time{}
	s.entries[key] = prior
	s.scheduleCheck(prior)
}

func (s *Shard) keysWithWaiters() []string {
	keys := make([]string, 0, len(s.waiters))
	for key := range s.waiters {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// ownerLostFailure returns the failure recorded for a request whose owner did
// not report its outcome.
func ownerLostFailure(owner string) *wire.Failure {
	return failureOf(result.New(result.MayHaveRun, "host %s was lost while the request ran", owner))
}
