package host

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/member"
)

// listed takes the platform's host list. Lines that name a back end of the
// services text go to the router and to the back end's keeper here; the others
// are entry hosts.
func (h *Host) listed(now time.Time, list []member.Listed) {
	text := h.text.Load()
	hosts := slices.DeleteFunc(list, func(one member.Listed) bool {
		if text == nil {
			return false
		}
		b, ok := text.Backend(one.Name)
		if ok {
			h.dispatcher.Left(one.Name, one.Leaving)
			h.keepers.SetLeaving(one.Name, one.Leaving || b.Leaving)
		}
		return ok
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.Listed(now, hosts)
}
