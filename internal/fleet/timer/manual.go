package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a Service whose time moves only when Advance is called. Callbacks
// run in the order of their times; ties run in the order of subscription.
type Manual struct {
	mu  sync.Mutex
	now time.Time
	// uptime is the uptime at now, which Suspend advances by itself.
	uptime  time.Duration
	serial  int
	pending eventHeap
}

var _ Service = (*Manual)(nil)

// NewManual returns a manual clock that is set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start, uptime: time.Hour} }

// Now returns the time that the clock is set to.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Uptime returns an hour plus the time by which the clock was advanced and for which
// it was suspended.
func (m *Manual) Uptime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.uptime
}

// Suspend acts as if the machine was suspended for d: only the uptime advances.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.uptime += d
}

// Every calls fn once per period of manual time.
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
	e := &event{at: m.now.Add(d), serial: m.serial, period: period, fn: fn}
	heap.Push(&m.pending, e)
	return &Subscription{cancel: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		e.cancelled = true
	}}
}

// Advance moves the clock forward by d and runs every callback that is due by
// then, with the clock set to the time of the callback.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for len(m.pending) > 0 && !m.pending[0].at.After(end) {
		e := heap.Pop(&m.pending).(*event)
		if e.cancelled {
			continue
		}
		m.setNow(e.at)
		if e.period > 0 {
			e.at = e.at.Add(e.period)
			heap.Push(&m.pending, e)
		}
		now := m.now
		m.mu.Unlock()
		e.fn(now)
		m.mu.Lock()
	}
	m.setNow(end)
	m.mu.Unlock()
}

// setNow sets the clock to a later time. The caller holds m.mu.
func (m *Manual) setNow(now time.Time) {
	m.uptime += max(0, now.Sub(m.now))
	m.now = now
}

// event is a pending or cancelled callback.
type event struct {
	at        time.Time
	serial    int
	period    time.Duration
	fn        func(time.Time)
	cancelled bool
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
