package routes

import "sync/atomic"

// Holder keeps the configuration in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, nil before the first.
func (h *Holder) Current() *Config { return h.current.Load() }

// Version returns the version in force, 0 before the first.
func (h *Holder) Version() int64 {
	if c := h.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// Offer puts c in force if it is newer than what is, and reports whether it did.
func (h *Holder) Offer(c *Config) bool {
	for {
		old := h.current.Load()
		if old != nil && old.version >= c.version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
