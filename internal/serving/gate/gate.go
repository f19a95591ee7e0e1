// Package gate holds work that waits for something known to be absent. A Set
// is a pure state machine of named gates, as "service/NAME": a gate is closed
// by the first item that is parked at it, opened by an event, and gone when
// its last item has left.
//
// An open gate lets its items go by weight, then due time, at a bounded rate,
// so that what has just come back is not flooded. If a released item finds
// the thing absent after all, parking it again closes the gate for the rest.
// An item that was started before the gate opened proves nothing and only
// queues. A closed gate lets one item go every Recheck, in case the event was
// lost.
package gate

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Limits bound what a gate lets go.
type Limits struct {
	// Rate is the items a second that a gate lets go after it opened, Burst how
	// many of them at once. Both double every second, so that a gate does not
	// bound what runs for long.
	Rate  float64
	Burst int
	// RecheckInterval is the time after which a closed gate lets one item go.
	RecheckInterval time.Duration
}

// maxDoublings bounds the growth of the rate.
const maxDoublings = 16

// DefaultLimits are the terms of a production host.
var DefaultLimits = Limits{Rate: 200, Burst: 32, RecheckInterval: 30 * time.Second}

// Item is one parked piece of work.
type Item struct {
	ID uint64
	// Weight and Due order the release: the highest weight, then the earliest.
	Weight int
	Due    time.Time
}

// Set holds the gates of one host.
type Set struct {
	terms Limits
	gates map[string]*gate
}

// gate is one closed or opening gate; it has at least one item.
type gate struct {
	items itemHeap
	// opened is when the gate opened, zero while it is closed.
	opened time.Time
	// tokens is at most Burst times the growth; it counts since counted.
	tokens  float64
	counted time.Time
	// recheck is when a closed gate lets one item go.
	recheck time.Time
}

// NewSet returns a set without gates.
func NewSet(terms Limits) *Set { return &Set{terms: terms, gates: make(map[string]*gate)} }

// Park lets an item wait at a gate. The item found the thing absent at a time
// after started; zero says that it did not try.
func (s *Set) Park(now, started time.Time, name string, item Item) {
	g, ok := s.gates[name]
	if !ok {
		g = &gate{recheck: now.Add(s.terms.RecheckInterval)}
		s.gates[name] = g
	}
	heap.Push(&g.items, item)
	if !g.opened.IsZero() && !started.Before(g.opened) {
		g.opened, g.recheck = time.Time{}, now.Add(s.terms.RecheckInterval)
	}
}

// Open takes the event that the gate waits for.
func (s *Set) Open(now time.Time, name string) {
	if g, ok := s.gates[name]; ok && g.opened.IsZero() {
		g.opened, g.counted, g.tokens = now, now, float64(s.terms.Burst)
	}
}

// Probe lets one item of a closed gate go, to find out.
func (s *Set) Probe(now time.Time, name string) (Item, bool) {
	g, ok := s.gates[name]
	if !ok || !g.opened.IsZero() {
		return Item{}, false
	}
	g.recheck = now.Add(s.terms.RecheckInterval)
	return s.pop(name, g), true
}

// Closed reports whether work for the gate should be parked at once.
func (s *Set) Closed(name string) bool {
	g, ok := s.gates[name]
	return ok && g.opened.IsZero()
}

// Names returns the gates that have items, sorted.
func (s *Set) Names() []string { return slices.Sorted(maps.Keys(s.gates)) }

// Parked returns how many items wait at a gate.
func (s *Set) Parked(name string) int {
	if g, ok := s.gates[name]; ok {
		return len(g.items)
	}
	return 0
}

// Tick returns the items that go now, gate by gate in release order.
func (s *Set) Tick(now time.Time) []Item {
	var released []Item
	for _, name := range s.Names() {
		g := s.gates[name]
		for range s.allowance(now, g) {
			released = append(released, s.pop(name, g))
		}
	}
	return released
}

// allowance returns how many items of a gate go now and counts them as gone.
func (s *Set) allowance(now time.Time, g *gate) int {
	if g.opened.IsZero() {
		if now.Before(g.recheck) {
			return 0
		}
		g.recheck = now.Add(s.terms.RecheckInterval)
		return 1
	}
	growth := float64(int(1) << min(maxDoublings, int(now.Sub(g.opened)/time.Second)))
	g.tokens = min(growth*float64(s.terms.Burst), g.tokens+now.Sub(g.counted).Seconds()*growth*s.terms.Rate)
	g.counted = now
	n := min(int(g.tokens), len(g.items))
	g.tokens -= float64(n)
	return n
}

// pop takes the first item; a gate without items is gone.
func (s *Set) pop(name string, g *gate) Item {
	item := heap.Pop(&g.items).(Item)
	if len(g.items) == 0 {
		delete(s.gates, name)
	}
	return item
}

// itemHeap is ordered by weight, due time and id.
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
