package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a Service whose time moves only when Advance is called. Callbacks
// run in the order of their times; ties run in the order of subscription.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	serial  int
	pending alarmHeap
}

var _ Service = (*Manual)(nil)

// NewManual returns a manual clock that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time the clock stands at.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every calls fn once a period of manual time.
func (m *Manual) Every(period time.Duration, fn func(now time.Time)) *Subscription {
	return m.subscribe(period, period, fn)
}

// After calls fn once after d of manual time.
func (m *Manual) After(d time.Duration, fn func(now time.Time)) *Subscription {
	return m.subscribe(d, 0, fn)
}

func (m *Manual) subscribe(d, period time.Duration, fn func(time.Time)) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serial++
	a := &alarm{at: m.now.Add(d), serial: m.serial, period: period, fn: fn}
	heap.Push(&m.pending, a)
	return &Subscription{cancel: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		a.cancelled = true
	}}
}

// Advance moves the clock by d and runs every callback that falls due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for len(m.pending) > 0 && !m.pending[0].at.After(end) {
		a := heap.Pop(&m.pending).(*alarm)
		if a.cancelled {
			continue
		}
		m.now = a.at
		if a.period > 0 {
			a.at = a.at.Add(a.period)
			heap.Push(&m.pending, a)
		}
		now := m.now
		m.mu.Unlock()
		a.fn(now)
		m.mu.Lock()
	}
	m.now = end
	m.mu.Unlock()
}

// alarm is one pending callback.
type alarm struct {
	at        time.Time
	serial    int
	period    time.Duration
	fn        func(time.Time)
	cancelled bool
}

type alarmHeap []*alarm

func (h alarmHeap) Len() int { return len(h) }
func (h alarmHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h alarmHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *alarmHeap) Push(x any)   { *h = append(*h, x.(*alarm)) }
func (h *alarmHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
