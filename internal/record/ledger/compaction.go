package ledger

import (
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// writeEntries is the number of entries of the transaction of a write that deletes none.
	writeEntries = 3
	// maxDeletes limits the groups that one write deletes.
	maxDeletes = store.MaxTxnEntries - writeEntries
	// spareGroups is the number of groups that a log may have in addition to
	// twice what its live records would fill.
	spareGroups = 64
	// maxCompactionGroups limits the groups that one compaction selects. The
	// range that it reads may also include dead groups.
	maxCompactionGroups = 64
	// compactionInterval is the minimum time between two compactions.
	compactionInterval = time.Second
)

// groupStats describes what is still needed of one stored group.
type groupStats struct {
	// live counts the durable records that have a part in the group, and the
	// pins on it. bytes is the size of the durable records that end in it.
	live, bytes int
	// split is set if the group holds a part of a large answer. Such a group
	// is not compacted, only deleted once it has no live record.
	split bool
	// dead is set if the group has no live record and is to be deleted.
	dead bool
}

// groupLog tracks which groups of a shard still hold live records.
type groupLog struct {
	groups map[int64]*groupStats
	// released are the groups that lost a live record, or were added, since the
	// last markDead. dead are those without any, to be deleted by a later write.
	released, dead []int64
	// liveBytes is the sum of bytes over all groups.
	liveBytes int
	// cursor is the last group selected for compaction; the next selection
	// starts after it.
	cursor     int64
	compacting bool
	// nextCompaction is the earliest time of the next compaction.
	nextCompaction time.Time
}

func newGroupLog() groupLog { return groupLog{groups: make(map[int64]*groupStats)} }

func (l *groupLog) add(sequence int64) {
	if _, ok := l.groups[sequence]; !ok {
		l.groups[sequence] = new(groupStats)
		l.released = append(l.released, sequence)
	}
}

// retain adds e's durable record to the counts of its groups.
func (l *groupLog) retain(e *Entry) {
	for sequence := e.FirstGroup; sequence <= e.LastGroup; sequence++ {
		g, ok := l.groups[sequence]
		if !ok {
			continue
		}
		g.live++
		if e.FirstGroup != e.LastGroup {
			g.split = true
		}
		if sequence == e.LastGroup {
			g.bytes += e.bytes
			l.liveBytes += e.bytes
		}
		e.durableBytes = e.bytes
	}
}

// release removes e's durable record from the counts of its groups.
func (l *groupLog) release(e *Entry) {
	if e.LastGroup == 0 {
		return
	}
	for sequence := e.FirstGroup; sequence <= e.LastGroup; sequence++ {
		g, ok := l.groups[sequence]
		if !ok {
			continue
		}
		g.live--
		if sequence == e.LastGroup {
			g.bytes -= e.durableBytes
			l.liveBytes -= e.durableBytes
		}
		l.released = append(l.released, sequence)
	}
}

// pin keeps a group that holds a part of e's latest record from being deleted
// while other parts of that record are not durable yet.
func (l *groupLog) pin(e *Entry, sequence int64) {
	if g, ok := l.groups[sequence]; ok && e.lastPinned < sequence {
		g.live++
		g.split = true
		e.lastPinned = sequence
	}
}

// unpin removes all pins for e.
func (l *groupLog) unpin(e *Entry) {
	for sequence := e.newFirstGroup; e.lastPinned > 0 && sequence <= e.lastPinned; sequence++ {
		if g, ok := l.groups[sequence]; ok {
			g.live--
			l.released = append(l.released, sequence)
		}
	}
	e.lastPinned = 0
}

// markDead queues for deletion the released groups without a live record.
func (l *groupLog) markDead() {
	for _, sequence := range l.released {
		g, ok := l.groups[sequence]
		if ok && g.live == 0 && !g.dead {
			g.dead = true
			l.dead = append(l.dead, sequence)
		}
	}
	l.released = l.released[:0]
}

func (l *groupLog) sequences() []int64 {
	list := make([]int64, 0, len(l.groups))
	for sequence := range l.groups {
		list = append(list, sequence)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// takeDead removes and returns the dead groups that the next write deletes.
func (l *groupLog) takeDead() []int64 {
	n := min(len(l.dead), maxDeletes)
	dead := l.dead[:n:n]
	l.dead = append([]int64(nil), l.dead[n:]...)
	return dead
}

func (l *groupLog) remove(sequences []int64) {
	for _, sequence := range sequences {
		delete(l.groups, sequence)
	}
}

// maxGroups returns the number of groups above which the log is compacted.
func (l *groupLog) maxGroups() int { return spareGroups + 2*l.liveBytes/maxGroupBytes }

// compact starts a compaction by reading old groups if the log has too many.
func (s *Shard) compact(now time.Time) []Action {
	l := &s.log
	if l.compacting || now.Before(l.nextCompaction) || len(l.groups)-len(l.dead) <= l.maxGroups() {
		return nil
	}
	l.nextCompaction = now.Add(compactionInterval)
	if s.stalled(now) || s.pendingBytes >= maxGroupBytes {
		return nil
	}
	selected := l.selectGroups()
	if len(selected) < 2 {
		l.cursor = 0
		return nil
	}
	l.cursor = selected[len(selected)-1]
	l.compacting = true
	return []Action{{Kind: ReadGroupRange, From: selected[0], To: l.cursor}}
}

// selectGroups returns consecutive groups after the cursor whose live records
// fit into one group. Dead groups are skipped.
func (l *groupLog) selectGroups() []int64 {
	list := l.sequences()
	start := sort.Search(len(list), func(i int) bool { return list[i] > l.cursor })
	var selected []int64
	size := 0
	for _, sequence := range list[start:] {
		g := l.groups[sequence]
		if g.dead {
			continue
		}
		if g.split || len(selected) == maxCompactionGroups || size+g.bytes > maxGroupBytes {
			if len(selected) > 1 {
				break
			}
			selected, size = nil, 0
		}
		if !g.split {
			selected = append(selected, sequence)
			size += g.bytes
		}
	}
	return selected
}

// GroupRangeRead handles the result of ReadGroupRange, nil if the read failed.
// It appends the live records of groups again, so that groups can be deleted.
func (s *Shard) GroupRangeRead(now time.Time, groups []*wire.Group) {
	s.log.compacting = false
	if s.closed {
		return
	}
	for _, group := range groups {
		for _, record := range group.GetRecords() {
			s.rewrite(now, group.GetSequence(), record)
		}
	}
}

// rewrite appends record again if it is still its key's latest state and not
// part of a split answer.
func (s *Shard) rewrite(now time.Time, sequence int64, record *wire.Record) {
	e, ok := s.entries[record.GetKey()]
	if !ok || e.unwritten > 0 || e.FirstGroup != sequence || e.LastGroup != sequence || record.GetParts() > 1 {
		return
	}
	if e.Attempt != record.GetAttempt() || e.State != State(record.GetState()) {
		return
	}
	s.appendPending(now, e, []*wire.Record{record})
}
