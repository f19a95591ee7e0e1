package host

import (
	"slices"
	"strings"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
)

// pageEvents is how many events the status page shows.
const pageEvents = 50

// page returns the contents of the status page in this host's view.
func (h *Host) page() admin.Page {
	p := admin.Page{
		Host: h.settings.Name, Zone: h.settings.Zone, At: h.timer.Now(), Hosts: h.status(), Events: h.eventRing.About("", pageEvents),
	}
	slices.Reverse(p.Events)
	slices.SortStableFunc(p.Hosts, func(a, b admin.HostStatus) int {
		if a.Zone != b.Zone {
			return strings.Compare(a.Zone, b.Zone)
		}
		return strings.Compare(a.Host, b.Host)
	})
	if text := h.text.Load(); text != nil {
		p.Revision = text.Revision()
		loads := h.currentLoads()
		for _, b := range text.Backends() {
			row := admin.PageBackend{Name: b.Name, Zone: b.Zone, Kind: string(b.Kind), Slots: b.Slots, Leaving: b.Leaving}
			if load, ok := loads[b.Name]; ok {
				row.Known, row.Down = true, load.GetDown()
				row.Running, row.Batch, row.Waiting = int(load.GetRunning()), int(load.GetBatch()), int(load.GetWaiting())
			}
			p.Backends = append(p.Backends, row)
		}
	}
	for _, j := range h.jobs.Running() {
		p.Jobs = append(p.Jobs, admin.PageJob{
			ID: j.ID, Organisation: j.Organisation, State: string(j.State), Completed: j.Completed, Failed: j.Failed, Total: j.Total, Due: j.Due,
		})
	}
	return p
}

// currentLoads returns the latest load reports of live keepers by backend
// server. This host's own reports take precedence.
func (h *Host) currentLoads() map[string]*wire.Load {
	loads := make(map[string]*wire.Load)
	h.mu.Lock()
	for _, other := range h.view.Hosts() {
		if !h.view.Alive(h.timer.Now(), other.Name) {
			continue
		}
		for _, load := range other.Loads {
			loads[load.GetBackend()] = load
		}
	}
	h.mu.Unlock()
	for _, load := range h.keepers.Loads() {
		loads[load.GetBackend()] = load
	}
	return loads
}
