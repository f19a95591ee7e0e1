package ledger

import (
	"container/heap"
	"time"
)

// schedule is a heap of keys ordered by the time of their next check, so that a
// tick costs nothing for keys that are not due. Outdated elements stay in the
// heap and are skipped when they are popped.
type schedule []scheduledKey

type scheduledKey struct {
	at  time.Time
	key string
}

var _ heap.Interface = (*schedule)(nil)

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].key < s[j].key
	}
	return s[i].at.Before(s[j].at)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduledKey)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// scheduleCheck schedules the next check of e unless an earlier one, or one at
// the same time, is scheduled.
func (s *Shard) scheduleCheck(e *Entry) {
	at := e.nextCheck()
	if !e.scheduledAt.IsZero() && !at.Before(e.scheduledAt) {
		return
	}
	e.scheduledAt = at
	heap.Push(&s.schedule, scheduledKey{at, e.Key})
}

// popDueEntry removes and returns the next due entry, or returns nil. An entry
// whose next check was postponed is scheduled again.
func (s *Shard) popDueEntry(now time.Time) *Entry {
	for len(s.schedule) > 0 && !now.Before(s.schedule[0].at) {
		next := heap.Pop(&s.schedule).(scheduledKey)
		e, ok := s.entries[next.key]
		if !ok || !e.scheduledAt.Equal(next.at) {
			continue
		}
		e.scheduledAt = time.Time{}
		if !now.Before(e.nextCheck()) {
			return e
		}
		s.scheduleCheck(e)
	}
	return nil
}
