package host

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/membership"
)

// applyHostList applies the platform's host list. Entries that name a backend
// server of the services text update its leaving state in the dispatcher and in
// its keeper on this host. All others are entry hosts.
func (h *Host) applyHostList(now time.Time, list []membership.ListedHost) {
	text := h.text.Load()
	hosts := slices.DeleteFunc(list, func(entry membership.ListedHost) bool {
		if text == nil {
			return false
		}
		b, ok := text.Backend(entry.Name)
		if ok {
			h.dispatcher.SetLeaving(entry.Name, entry.Leaving)
			h.keepers.SetLeaving(entry.Name, entry.Leaving || b.Leaving)
		}
		return ok
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.ApplyHostList(now, hosts)
}
