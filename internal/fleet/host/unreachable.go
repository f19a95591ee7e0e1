package host

import (
	"slices"
	"time"
)

// unreachableTTL is how long this host does not consider an unreachable peer as a
// keeper. After that, heartbeats decide.
const unreachableTTL = 3 * time.Second

// unreachable maps each excluded peer to the time when its exclusion ends.
type unreachable map[string]time.Time

// add excludes a peer for unreachableTTL and reports whether it was not excluded
// before.
func (u *unreachable) add(now time.Time, name string) bool {
	if *u == nil {
		*u = make(unreachable)
	}
	previousUntil := (*u)[name]
	(*u)[name] = now.Add(unreachableTTL)
	return !now.Before(previousUntil)
}

// without returns the names that are not excluded, reusing the slice, and removes
// expired entries.
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
		_, excluded := u[name]
		return excluded
	})
}

// ReportUnreachable records that a peer could not be reached. For a while, the next
// host by rank counts as the keeper of the peer's backend servers.
func (f *fleetView) ReportUnreachable(name string) {
	h := (*Host)(f)
	h.mu.Lock()
	isNew := h.unreachable.add(h.timer.Now(), name)
	h.view.RecordConnectFailure(h.timer.Now(), name)
	h.mu.Unlock()
	if isNew {
		h.eventRing.Record("peer unreachable", "connection failed", name, h.settings.Name)
	}
}
