package ledger

import (
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// maxDeletes bounds the groups that one write deletes.
	maxDeletes = 32
	// spareGroups is how many groups a log may have beyond its need.
	spareGroups = 64
	// maxRun bounds the groups that are read together to clean them.
	maxRun = 64
	// cleanInterval is the time between two runs.
	cleanInterval = time.Second
)

// stored is one group in the store.
type stored struct {
	// live counts the keys whose durable record lies in the group, bytes is
	// what they take up.
	live, bytes int
	// split says that the group holds parts of a large answer; it is not
	// moved and goes as a whole.
	split bool
	// dead says that the group waits for its deletion.
	dead bool
}

// groupLog accounts for the groups of a shard.
type groupLog struct {
	groups map[int64]*stored
	// freed are groups that lost a live record since the last sweep, dead
	// those without any, to be deleted with a write.
	freed, dead []int64
	// liveBytes is the sum over all groups.
	liveBytes int
	// cursor is the last group that was considered for cleaning.
	cursor  int64
	reading bool
	// next is the earliest time of the next cleaning.
	next time.Time
}

func newGroupLog() groupLog { return groupLog{groups: make(map[int64]*stored)} }

func (l *groupLog) add(sequence int64) {
	if _, ok := l.groups[sequence]; !ok {
		l.groups[sequence] = new(stored)
		l.freed = append(l.freed, sequence)
	}
}

// retain counts e in the groups of its durable record.
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
		e.held = e.bytes
	}
}

// release takes e out of the groups of its durable record.
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
			g.bytes -= e.held
			l.liveBytes -= e.held
		}
		l.freed = append(l.freed, sequence)
	}
}

// hold keeps a group that has parts of e's latest record, which is not durable
// as a whole yet.
func (l *groupLog) hold(e *Entry, sequence int64) {
	if g, ok := l.groups[sequence]; ok && e.partial < sequence {
		g.live++
		g.split = true
		e.partial = sequence
	}
}

// unhold ends all holds for e.
func (l *groupLog) unhold(e *Entry) {
	for sequence := e.newFirst; e.partial > 0 && sequence <= e.partial; sequence++ {
		if g, ok := l.groups[sequence]; ok {
			g.live--
			l.freed = append(l.freed, sequence)
		}
	}
	e.partial = 0
}

// sweep marks groups dead that were freed of their last live record.
func (l *groupLog) sweep() {
	for _, sequence := range l.freed {
		g, ok := l.groups[sequence]
		if ok && g.live == 0 && !g.dead {
			g.dead = true
			l.dead = append(l.dead, sequence)
		}
	}
	l.freed = l.freed[:0]
}

func (l *groupLog) sequences() []int64 {
	list := make([]int64, 0, len(l.groups))
	for sequence := range l.groups {
		list = append(list, sequence)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// takeDead removes and returns the groups that the next write deletes.
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

// limit is how many groups the live records justify.
func (l *groupLog) limit() int { return spareGroups + 2*l.liveBytes/maxGroupBytes }

// clean asks for a run of old groups when the log has too many.
func (s *Shard) clean(now time.Time) []Action {
	l := &s.log
	if l.reading || now.Before(l.next) || len(l.groups)-len(l.dead) <= l.limit() {
		return nil
	}
	l.next = now.Add(cleanInterval)
	if s.stalled(now) || s.pendingBytes >= maxGroupBytes {
		return nil
	}
	run := l.nextRun()
	if len(run) < 2 {
		l.cursor = 0
		return nil
	}
	l.cursor = run[len(run)-1]
	l.reading = true
	return []Action{{Kind: ReadGroupRange, From: run[0], To: l.cursor}}
}

// nextRun picks consecutive groups, after the last picked, whose live records
// fit into one group.
func (l *groupLog) nextRun() []int64 {
	list := l.sequences()
	start := sort.Search(len(list), func(i int) bool { return list[i] > l.cursor })
	var run []int64
	size := 0
	for _, sequence := range list[start:] {
		g := l.groups[sequence]
		if g.dead {
			continue
		}
		if g.split || len(run) == maxRun || size+g.bytes > maxGroupBytes {
			if len(run) > 1 {
				break
			}
			run, size = nil, 0
		}
		if !g.split {
			run = append(run, sequence)
			size += g.bytes
		}
	}
	return run
}

// GroupRangeRead takes the result of ReadRun, nil if it failed: live records are
// appended again, so that their old groups can go.
func (s *Shard) GroupRangeRead(now time.Time, groups []*wire.Group) {
	s.log.reading = false
	if s.closed {
		return
	}
	for _, group := range groups {
		for _, record := range group.GetRecords() {
			s.move(now, group.GetSequence(), record)
		}
	}
}

// move appends a record again if it is the durable state of its key.
func (s *Shard) move(now time.Time, sequence int64, record *wire.Record) {
	e, ok := s.entries[record.GetKey()]
	if !ok || e.unwritten > 0 || e.FirstGroup != sequence || e.LastGroup != sequence || record.GetParts() > 1 {
		return
	}
	if e.Attempt != record.GetAttempt() || e.State != State(record.GetState()) {
		return
	}
	s.push(now, e, []*wire.Record{record})
}
