package ledger

import (
	"container/heap"
	"time"
)

// schedule orders keys by the time at which the shard has to look at them, so
// that a tick costs nothing for keys that are not due.
type schedule []appointment

type appointment struct {
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
func (s *schedule) Push(x any)   { *s = append(*s, x.(appointment)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// enqueue puts e into the schedule unless it is there for an earlier time.
func (s *Shard) enqueue(e *Entry) {
	at := e.due()
	if !e.queued.IsZero() && !at.Before(e.queued) {
		return
	}
	e.queued = at
	heap.Push(&s.schedule, appointment{at, e.Key})
}

// dueEntry returns the next entry that is due, nil if there is none.
func (s *Shard) dueEntry(now time.Time) *Entry {
	for len(s.schedule) > 0 && !now.Before(s.schedule[0].at) {
		a := heap.Pop(&s.schedule).(appointment)
		e, ok := s.entries[a.key]
		if !ok || !e.queued.Equal(a.at) {
			continue
		}
		e.queued = time.Time{}
		if !now.Before(e.due()) {
			return e
		}
		s.enqueue(e)
	}
	return nil
}
