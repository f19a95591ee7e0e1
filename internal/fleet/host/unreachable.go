package host

import (
	"slices"
	"time"
)

// unreachableFor is how long a peer that could not be reached keeps no back
// ends in this host's opinion; heartbeats decide after that.
const unreachableFor = 3 * time.Second

// unreachable holds until when each peer is left out.
type unreachable map[string]time.Time

// add leaves a peer out from now on and reports whether that is news.
func (u *unreachable) add(now time.Time, name string) bool {
	if *u == nil {
		*u = make(unreachable)
	}
	before := (*u)[name]
	(*u)[name] = now.Add(unreachableFor)
	return !now.Before(before)
}

// without returns the names that are not left out, and forgets old entries.
func (u unreachable) without(now time.Time, names []string) []string {
	for name, until := range u {
		if !now.Before(until) {
			delete(u, name)
		}
	}
	if len(u) == 0 {
		return names
	}
	return slices.DeleteFunc(names, func(name string) bool {
		_, out := u[name]
		return out
	})
}

// Unreachable notes a peer that could not be reached: the next host by rank
// keeps its back ends for a while.
func (f *fleetView) Unreachable(name string) {
	h := (*Host)(f)
	h.mu.Lock()
	news := h.unreachable.add(h.timer.Now(), name)
	h.view.Unreachable(h.timer.Now(), name)
	h.mu.Unlock()
	if news {
		h.ring.Note("peer unreachable", "connection failed", name, h.settings.Name)
	}
}
