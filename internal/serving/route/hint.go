package route

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
)

const (
	// hintTableSize is the number of prefixes that a router can store. It must be
	// a power of two.
	hintTableSize = 1 << 14
	// HintTTL is how long a hint is valid.
	HintTTL = time.Minute
)

// hint records that a server has a prompt prefix in its cache.
type hint struct {
	prefix uint64
	server *server
	// generation is that of the server when the hint was stored. The hint is
	// invalid once the generation of the server differs.
	generation uint32
	learnedAt  time.Time
}

// valid reports whether the hint is set and has not been invalidated.
func (h *hint) valid() bool { return h.server != nil && h.generation == h.server.generation }

// hints is a direct-mapped table: a new hint replaces the one in its slot.
type hints struct {
	slots []hint
}

func newHints() hints { return hints{slots: make([]hint, hintTableSize)} }

func (h *hints) slot(prefix uint64) *hint { return &h.slots[rendezvous.Mix(prefix)&(hintTableSize-1)] }

// add records that s had the prefix in its cache at the given time. A valid hint
// of a later time is kept.
func (h *hints) add(now time.Time, prefix uint64, s *server) {
	entry := h.slot(prefix)
	if entry.prefix == prefix && entry.valid() && entry.learnedAt.After(now) {
		return
	}
	*entry = hint{prefix: prefix, server: s, generation: s.generation, learnedAt: now}
}

// remove deletes the hint that s has the prefix in its cache.
func (h *hints) remove(prefix uint64, s *server) {
	if entry := h.slot(prefix); entry.prefix == prefix && entry.server == s {
		*entry = hint{}
	}
}

// find returns the server of a valid hint that is not too old, or nil.
func (h *hints) find(now time.Time, prefix uint64) *server {
	entry := h.slot(prefix)
	if entry.prefix != prefix || !entry.valid() || now.Sub(entry.learnedAt) > HintTTL {
		return nil
	}
	return entry.server
}

// CacheEvent is an event that an engine publishes about its prefix cache.
type CacheEvent struct {
	Backend string
	// Epoch increases with each start of the engine's cache. It is 0 if unknown.
	Epoch uint32
	// Sequence increases by one with each event of the epoch.
	Sequence uint64
	Prefix   uint64
	// Age is the time since the event.
	Age     time.Duration
	Evicted bool
}

// ApplyCacheEvent applies a cache event. Events may arrive late or be lost: a gap in the
// sequence invalidates all older hints of that engine, and a late event is
// dropped.
func (r *Router) ApplyCacheEvent(now time.Time, e CacheEvent) {
	s, ok := r.byName[e.Backend]
	if !ok || e.Epoch < s.epoch {
		return
	}
	s.advanceEpoch(e.Epoch)
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

// advanceEpoch sets the epoch of the server's cache. A new epoch invalidates all
// hints of the server. Epochs only increase, so an old report that arrives late
// has no effect.
func (s *server) advanceEpoch(epoch uint32) {
	if epoch <= s.epoch {
		return
	}
	s.generation++
	s.epoch, s.sequence = epoch, 0
}
