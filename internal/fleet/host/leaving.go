package host

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/member"
)

// applyHostList applies the platform's host list. Entries that name a backend
// server of the services text update its leaving state in the dispatcher and in
// its keeper on this host. All others are entry hosts.
func (h *Host) applyHostList(now time.Time, list []member.Listed) {
	text := h.text.Load()
	hosts := slices.DeleteFunc(list, func(entry member.Listed) bool {
		if text == nil {
			return false
		}
		b, ok := text.Backend(entry.Name)
		if ok {
			h.dispatcher.Left(entry.Name, entry.Leaving)
			h.keepers.SetLeaving(entry.Name, entry.Leaving || b.Leaving)
		}
		return ok
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.Listed(now, hosts)
}
