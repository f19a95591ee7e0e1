package route

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
)

const (
	// hintSlots bounds the prefixes that a router remembers; a power of two.
	hintSlots = 1 << 14
	// HintTTL is how long a hint counts.
	HintTTL = time.Minute
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

// valid reports whether nothing voided the hint.
func (h *hint) valid() bool { return h.server != nil && h.generation == h.server.generation }

// hints is a direct-mapped table: a new hint replaces the one in its slot.
type hints struct {
	slots []hint
}

func newHints() hints { return hints{slots: make([]hint, hintSlots)} }

func (h *hints) slot(prefix uint64) *hint { return &h.slots[zone.Mix(prefix)&(hintSlots-1)] }

// add notes that s held the prefix at a time; later knowledge stays.
func (h *hints) add(now time.Time, prefix uint64, s *server) {
	one := h.slot(prefix)
	if one.prefix == prefix && one.valid() && one.at.After(now) {
		return
	}
	*one = hint{prefix: prefix, server: s, generation: s.generation, at: now}
}

func (h *hints) remove(prefix uint64, s *server) {
	if one := h.slot(prefix); one.prefix == prefix && one.server == s {
		*one = hint{}
	}
}

// find returns the server of a valid hint, or nil.
func (h *hints) find(now time.Time, prefix uint64) *server {
	one := h.slot(prefix)
	if one.prefix != prefix || !one.valid() || now.Sub(one.at) > HintTTL {
		return nil
	}
	return one.server
}

// CacheEvent is what an engine publishes about its prefix cache.
type CacheEvent struct {
	Backend string
	// Epoch grows with each start of the engine's cache, 0 if not known.
	Epoch uint32
	// Sequence grows by one with each event of the epoch.
	Sequence uint64
	Prefix   uint64
	// Age is how long ago the event was.
	Age     time.Duration
	Evicted bool
}

// ApplyCacheEvent takes a cache event. Events may come late and with gaps: after a gap
// nothing older is believed of that engine, and a late event is dropped.
func (r *Router) ApplyCacheEvent(now time.Time, e CacheEvent) {
	s, ok := r.byName[e.Backend]
	if !ok || e.Epoch < s.epoch {
		return
	}
	s.began(e.Epoch)
	if s.sequence != 0 && e.Sequence <= s.sequence {
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
	r.hints.add(now.Add(-e.Age), e.Prefix, s)
}

// began takes the epoch of the server's cache: nothing from before a new one is
// believed. Epochs only grow, so an old report that comes late changes nothing.
func (s *server) began(epoch uint32) {
	if epoch <= s.epoch {
		return
	}
	s.generation++
	s.epoch, s.sequence = epoch, 0
}
