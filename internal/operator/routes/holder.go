package routes

import "sync/atomic"

// Holder holds the configuration in force. The zero value holds none. It is safe
// for concurrent use.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, nil if there is none yet.
func (h *Holder) Current() *Config { return h.current.Load() }

// Version returns the version in force, 0 if there is none yet.
func (h *Holder) Version() int64 {
	if c := h.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// SetIfNewer puts c into force if it is newer than the current configuration, and
// reports whether it did.
func (h *Holder) SetIfNewer(c *Config) bool {
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
