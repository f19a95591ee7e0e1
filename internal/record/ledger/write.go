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
	// gatherInterval is how long records wait for others of their group.
	gatherInterval = 30 * time.Millisecond
	// shortestInterval keeps a shard at no more than 20 writes a second.
	shortestInterval = 50 * time.Millisecond
	// groupWrites is what the groups of all shards together may write a
	// second, when none is full.
	groupWrites = 350
	// maxGroupBytes bounds the uncompressed records of one group.
	maxGroupBytes = 768 << 10
	// recordOverhead is what a record adds to its own size.
	recordOverhead = 16
	// stallAfter is how long a group may be in flight until the store counts
	// as out of order.
	stallAfter = 2 * time.Second
	// probeInterval is the time between two tries of a store that is down.
	probeInterval = time.Second
)

// item is a record on its way to the store.
type item struct {
	record *wire.Record
	// write is the serial of the entry's write that the record belongs to.
	write uint64
	rerun bool
}

// flight is the group being written.
type flight struct {
	group *wire.Group
	items []item
	// deletes are the groups to be deleted in the same transaction.
	deletes []int64
	since   time.Time
	// uncertain says that an earlier try of the write may still land.
	uncertain bool
}

func recordBytes(r *wire.Record) int { return recordOverhead + proto.Size(r) }

// add makes records, the parts of one, the key's state and puts them into the
// pending items; ticket 0 is nobody.
func (s *Shard) add(now time.Time, ticket Ticket, records []*wire.Record) {
	record := records[0]
	e, ok := s.entries[record.GetKey()]
	if !ok {
		e = &Entry{Key: record.GetKey()}
		s.entries[record.GetKey()] = e
	}
	delete(s.undo, e.Key)
	e.set(record)
	if ticket != 0 {
		s.wait(ticket, e.Key)
	}
	s.push(now, e, records)
	s.enqueue(e)
}

// push appends one write of e to the pending items.
func (s *Shard) push(now time.Time, e *Entry, records []*wire.Record) {
	s.serial++
	s.log.unhold(e)
	e.write, e.unwritten, e.bytes = s.serial, len(records), 0
	if len(s.pending) == 0 {
		s.pendingSince = now
	}
	for _, record := range records {
		size := recordBytes(record)
		e.bytes += size
		s.pendingBytes += size
		s.pending = append(s.pending, item{record: record, write: e.write})
	}
}

// CommitInterval returns the least time between two groups of one shard in a
// deployment with that many, so that busy shards together stay within the
// store's writes.
func CommitInterval(shards int) time.Duration {
	return max(shortestInterval, time.Duration(shards)*time.Second/groupWrites)
}

// flush starts the write of the pending items when it is due. A full group
// need not wait for its shard's turn, only for the shortest interval.
func (s *Shard) flush(now time.Time) []Action {
	full := s.pendingBytes >= maxGroupBytes
	interval := s.interval
	if full {
		interval = shortestInterval
	}
	if s.flight != nil || s.closed || now.Sub(s.lastCommit) < interval {
		return nil
	}
	waited := len(s.pending) > 0 && now.Sub(s.pendingSince) >= gatherInterval
	if !full && !waited && len(s.log.dead) < maxDeletes {
		return nil
	}
	items := s.takeItems()
	records := make([]*wire.Record, len(items))
	for i, it := range items {
		records[i] = it.record
	}
	s.flight = &flight{
		group: &wire.Group{
			Writer:   fmt.Sprintf("%s/%d", s.writer, s.next),
			Sequence: s.next,
			Records:  records,
		},
		items: items, deletes: s.log.takeDead(), since: now,
	}
	s.next++
	s.lastCommit = now
	return []Action{s.commitAction()}
}

func (s *Shard) commitAction() Action {
	return Action{Kind: CommitGroup, Group: s.flight.group, Deletes: s.flight.deletes}
}

// takeItems removes the pending items that fit into one group.
func (s *Shard) takeItems() []item {
	size, n := 0, 0
	for n < len(s.pending) {
		one := recordBytes(s.pending[n].record)
		if n > 0 && size+one > maxGroupBytes {
			break
		}
		size += one
		n++
	}
	items := append([]item(nil), s.pending[:n]...)
	s.pending = append([]item(nil), s.pending[n:]...)
	s.pendingBytes -= size
	return items
}

// stalled reports whether the group in flight is there for too long.
func (s *Shard) stalled(now time.Time) bool {
	return s.flight != nil && now.Sub(s.flight.since) >= stallAfter
}

// CommitResult is how a write of a group ended.
type CommitResult uint8

// The results of a write.
const (
	// Written says that the group is durable.
	Written CommitResult = iota
	// CompareFailed says that a comparison failed.
	CompareFailed
	// OutcomeUnknown says that no answer came.
	OutcomeUnknown
	// NotWritten says that the write certainly took no effect.
	NotWritten
)

// Committed takes the result of CommitGroup.
func (s *Shard) Committed(now time.Time, outcome CommitResult) []Action {
	if s.flight == nil {
		return nil
	}
	switch outcome {
	case Written:
		return s.settled(now)
	case NotWritten:
		var actions []Action
		if s.down || s.stalled(now) {
			s.down = true
			actions = s.withdraw(now, !s.flight.uncertain)
		}
		if s.flight != nil {
			actions = append(actions, s.commitAction())
		}
		return actions
	default:
		s.flight.uncertain = true
		return []Action{{Kind: ReadGroup, Group: s.flight.group}}
	}
}

// ReadResult is what a read-back found at the group's sequence number.
type ReadResult struct {
	// Failed says that the read itself failed.
	Failed bool
	// Writer is the writer id found, empty if there is no such group.
	Writer string
	// TokenValid says that the shard's key still carries our fencing token.
	TokenValid bool
}

// ReadBack takes the result of ReadGroup.
func (s *Shard) ReadBack(now time.Time, found ReadResult) []Action {
	if s.flight == nil {
		return nil
	}
	switch {
	case found.Failed:
		return []Action{{Kind: ReadGroup, Group: s.flight.group}}
	case found.Writer == s.flight.group.GetWriter():
		return s.settled(now)
	case found.Writer == "" && found.TokenValid:
		return []Action{s.commitAction()}
	default:
		return s.Close()
	}
}

// settled makes the group in flight durable and answers who waited for it.
func (s *Shard) settled(now time.Time) []Action {
	f := s.flight
	s.flight, s.probe, s.down = nil, time.Time{}, false
	sequence := f.group.GetSequence()
	s.log.add(sequence)
	s.log.remove(f.deletes)
	var actions []Action
	for _, it := range f.items {
		actions = append(actions, s.durable(it, sequence)...)
	}
	s.log.sweep()
	return append(actions, s.flush(now)...)
}

// durable notes that one item is in the group sequence.
func (s *Shard) durable(it item, sequence int64) []Action {
	e, ok := s.entries[it.record.GetKey()]
	if !ok || e.write != it.write {
		return nil
	}
	if it.record.GetPart() == 0 {
		e.newFirst = sequence
	}
	e.unwritten--
	if e.unwritten > 0 {
		s.log.hold(e, sequence)
		return nil
	}
	s.log.unhold(e)
	s.locate(e, sequence)
	delete(s.undo, e.Key)
	var actions []Action
	for _, ticket := range s.take(e.Key) {
		actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Found: *e})
	}
	if it.rerun {
		actions = append(actions, Action{Kind: RunAgain, Found: *e, Record: it.record})
	}
	return actions
}

// withdraw takes back claims that certainly are not durable: the pending ones
// and, if certain, those of the group in flight, of which no try can land.
func (s *Shard) withdraw(now time.Time, certain bool) []Action {
	if len(s.undo) == 0 {
		return nil
	}
	var actions []Action
	s.pending, actions = s.withdrawFrom(s.pending)
	s.pendingBytes = 0
	for _, it := range s.pending {
		s.pendingBytes += recordBytes(it.record)
	}
	if !certain {
		return actions
	}
	items, more := s.withdrawFrom(s.flight.items)
	if len(more) == 0 {
		return actions
	}
	s.flight.items = items
	s.flight.group.Records = make([]*wire.Record, len(items))
	for i, it := range items {
		s.flight.group.Records[i] = it.record
	}
	if len(items) == 0 {
		s.log.dead = append(s.log.dead, s.flight.deletes...)
		s.flight = nil
		s.probe = now.Add(probeInterval)
	}
	return append(actions, more...)
}

// withdrawFrom returns items without their first claims, and the refusals.
func (s *Shard) withdrawFrom(items []item) ([]item, []Action) {
	var kept []item
	var actions []Action
	for _, it := range items {
		key := it.record.GetKey()
		prior, ok := s.undo[key]
		if e := s.entries[key]; !ok || e == nil || e.write != it.write {
			kept = append(kept, it)
			continue
		}
		s.restore(key, prior)
		for _, ticket := range s.take(key) {
			actions = append(actions, refuse(ticket, unrecorded(prior))...)
		}
	}
	return kept, actions
}

// restore gives a key its state before a claim.
func (s *Shard) restore(key string, prior *Entry) {
	delete(s.undo, key)
	if prior == nil {
		delete(s.entries, key)
		return
	}
	prior.queued = time.Time{}
	s.entries[key] = prior
	s.enqueue(prior)
}

func (s *Shard) waitingKeys() []string {
	keys := make([]string, 0, len(s.waiting))
	for key := range s.waiting {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// lostOwner is the cause recorded for a request whose owner did not report.
func lostOwner(owner string) *wire.Failure {
	return failureOf(result.New(result.MayHaveRun, "host %s was lost while the request ran", owner))
}
