// Package gate holds work that waits for something known to be unavailable,
// such as a service without backend servers. A Set is a pure state machine of
// named gates, such as "service/NAME". Parking the first item at a gate creates
// it closed, an event opens it, and it is removed when its last item leaves.
//
// An open gate releases its items by weight, then by due time, at a bounded
// rate, so that what has just become available is not overloaded. If a released
// item finds it still unavailable, parking the item again closes the gate for
// the others. An attempt that started before the gate opened does not show the
// current state, so parking its item leaves the gate open. A closed gate
// releases one item every RecheckInterval, in case the event was lost.
package gate

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Limits limit the rate at which a gate releases items.
type Limits struct {
	// Rate is how many items per second a gate releases after it opened, Burst
	// how many of them at once. Both double every second, so that a gate
	// limits work only for a short time after it opened.
	Rate  float64
	Burst int
	// RecheckInterval is the interval at which a closed gate releases one item.
	RecheckInterval time.Duration
}

// maxDoublings limits the growth of Rate and Burst.
const maxDoublings = 16

// DefaultLimits are the limits of each gate on a production host.
var DefaultLimits = Limits{Rate: 200, Burst: 32, RecheckInterval: 30 * time.Second}

// Item is one parked unit of work.
type Item struct {
	ID uint64
	// Weight and Due determine the release order: highest weight first, then
	// earliest due time.
	Weight int
	Due    time.Time
}

// Set holds the gates of one host.
type Set struct {
	limits Limits
	gates  map[string]*gate
}

// gate is a closed or open gate with at least one item.
type gate struct {
	items itemHeap
	// openedAt is when the gate opened, zero while it is closed.
	openedAt time.Time
	// tokens is how many items may be released as of tokensAt, at most Burst
	// times the growth.
	tokens   float64
	tokensAt time.Time
	// recheckAt is when a closed gate releases its next item.
	recheckAt time.Time
}

// NewSet returns a set without gates.
func NewSet(limits Limits) *Set { return &Set{limits: limits, gates: make(map[string]*gate)} }

// Park adds an item to a gate. An attempt that began at started found the
// resource unavailable; started is zero if no attempt was made.
func (s *Set) Park(now, started time.Time, name string, item Item) {
	g, ok := s.gates[name]
	if !ok {
		g = &gate{recheckAt: now.Add(s.limits.RecheckInterval)}
		s.gates[name] = g
	}
	heap.Push(&g.items, item)
	if !g.openedAt.IsZero() && !started.Before(g.openedAt) {
		g.openedAt, g.recheckAt = time.Time{}, now.Add(s.limits.RecheckInterval)
	}
}

// Open opens a gate when the event that its items wait for occurs.
func (s *Set) Open(now time.Time, name string) {
	if g, ok := s.gates[name]; ok && g.openedAt.IsZero() {
		g.openedAt, g.tokensAt, g.tokens = now, now, float64(s.limits.Burst)
	}
}

// Probe releases one item of a closed gate before its next recheck, to test
// whether the resource is available.
func (s *Set) Probe(now time.Time, name string) (Item, bool) {
	g, ok := s.gates[name]
	if !ok || !g.openedAt.IsZero() {
		return Item{}, false
	}
	g.recheckAt = now.Add(s.limits.RecheckInterval)
	return s.pop(name, g), true
}

// Closed reports whether work for the gate should be parked without an attempt.
func (s *Set) Closed(name string) bool {
	g, ok := s.gates[name]
	return ok && g.openedAt.IsZero()
}

// Names returns the sorted names of the gates, all of which have items.
func (s *Set) Names() []string { return slices.Sorted(maps.Keys(s.gates)) }

// Parked returns the number of items at a gate.
func (s *Set) Parked(name string) int {
	if g, ok := s.gates[name]; ok {
		return len(g.items)
	}
	return 0
}

// Tick releases and returns the items that may leave now, gate by gate in
// release order.
func (s *Set) Tick(now time.Time) []Item {
	var released []Item
	for _, name := range s.Names() {
		g := s.gates[name]
		for range s.takeAllowance(now, g) {
			released = append(released, s.pop(name, g))
		}
	}
	return released
}

// takeAllowance returns how many items of a gate may be released now and
// deducts them.
func (s *Set) takeAllowance(now time.Time, g *gate) int {
	if g.openedAt.IsZero() {
		if now.Before(g.recheckAt) {
			return 0
		}
		g.recheckAt = now.Add(s.limits.RecheckInterval)
		return 1
	}
	growth := float64(int(1) << min(maxDoublings, int(now.Sub(g.openedAt)/time.Second)))
	g.tokens = min(growth*float64(s.limits.Burst), g.tokens+now.Sub(g.tokensAt).Seconds()*growth*s.limits.Rate)
	g.tokensAt = now
	n := min(int(g.tokens), len(g.items))
	g.tokens -= float64(n)
	return n
}

// pop removes and returns the first item, and removes the gate with its last
// one.
func (s *Set) pop(name string, g *gate) Item {
	item := heap.Pop(&g.items).(Item)
	if len(g.items) == 0 {
		delete(s.gates, name)
	}
	return item
}

// itemHeap is ordered by weight, due time and ID.
type itemHeap []Item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	switch {
	case a.Weight != b.Weight:
		return a.Weight > b.Weight
	case !a.Due.Equal(b.Due):
		return a.Due.Before(b.Due)
	}
	return a.ID < b.ID
}
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)   { *h = append(*h, x.(Item)) }
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
