package entry

import (
	"cmp"
	"slices"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
)

// maxConfirmers is how many other hosts are asked about missing servers.
const maxConfirmers = 4

// confirmMissing asks other hosts in the background whether servers that were missing
// when this host regained the store are gone. They are if the store served another
// host meanwhile: the entries did not lapse in an outage of the store, and there is
// nothing to wait for. One such inquiry runs at a time.
func (h *Host) confirmMissing() {
	if !h.confirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.confirming.Store(false)
		missing := h.directory.Missing()
		for _, address := range h.confirmers() {
			list, err := h.peers.requestServers(h.ctx, address)
			if err != nil {
				h.log.Info("servers not fetched", "from", address, "cause", err.Error())
				continue
			}
			if list.Grace == 0 && list.Revision >= h.serverFollower.Applied() {
				h.removeUnlisted(missing, list, address)
				return
			}
		}
	}()
}

// confirmers returns the addresses of the hosts to ask.
func (h *Host) confirmers() []string {
	live := h.members.Live()
	slices.SortFunc(live, func(a, b notice.Member) int {
		return cmp.Compare(rendezvous.Score(b.Host, h.settings.Name), rendezvous.Score(a.Host, h.settings.Name))
	})
	var addresses []string
	for _, m := range live[:min(len(live), maxConfirmers)] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// removeUnlisted removes the missing servers that are not in the list of a host that
// the store has served all the while.
func (h *Host) removeUnlisted(missing []string, list follow.List, from string) {
	listed := make(map[string]bool, len(list.Entries))
	for _, e := range list.Entries {
		listed[h.adapter.ServerID(e.Key)] = true
	}
	for _, id := range missing {
		if !listed[id] {
			h.log.Info("missing server is gone", "server", id, "from", from, "revision", list.Revision)
			h.directory.RemoveMissing(id)
		}
	}
}
