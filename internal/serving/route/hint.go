package route

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
)

const (
	// hintSlots bounds the prefixes that a router remembers; a power of two.
	hintSlots = 1 << 14
	// hintAge is how long a hint counts.
	hintAge = time.Minute
)

// hint says that a server holds a prompt prefix in its cache.
type hint struct {
	prefix uint64
	server *server
	// generation is the server's at the time of the hint; the hint is void
	// once the server's differs.
	generation uint32
	at         time.Time
}

// hints is a direct-mapped table: a new hint replaces the one in its slot.
type hints struct {
	slots []hint
}

func newHints() hints { return hints{slots: make([]hint, hintSlots)} }

func (h *hints) slot(prefix uint64) *hint { return &h.slots[zone.Mix(prefix)&(hintSlots-1)] }

func (h *hints) add(now time.Time, prefix uint64, s *server) {
	*h.slot(prefix) = hint{prefix: prefix, server: s, generation: s.generation, at: now}
}

func (h *hints) remove(prefix uint64, s *server) {
	if one := h.slot(prefix); one.prefix == prefix && one.server == s {
		*one = hint{}
	}
}

// find returns the server of a valid hint, or nil.
func (h *hints) find(now time.Time, prefix uint64) *server {
	one := h.slot(prefix)
	if one.server == nil || one.prefix != prefix || one.generation != one.server.generation || now.Sub(one.at) > hintAge {
		return nil
	}
	return one.server
}

// CacheEvent is what an engine publishes about its prefix cache.
type CacheEvent struct {
	Backend string
	// Sequence grows by one with each event of the engine.
	Sequence uint64
	Prefix   uint64
	Evicted  bool
}

// Cached takes a cache event. Events may come late and with gaps: after a gap
// nothing older is believed of that engine, and a late event is dropped.
func (r *Router) Cached(now time.Time, e CacheEvent) {
	s, ok := r.byName[e.Backend]
	if !ok || (s.sequence != 0 && e.Sequence <= s.sequence) {
		return
	}
	if s.sequence != 0 && e.Sequence != s.sequence+1 {
		s.generation++
	}
	s.sequence = e.Sequence
	if e.Evicted {
		r.hints.remove(e.Prefix, s)
		return
	}
	r.hints.add(now, e.Prefix, s)
}
