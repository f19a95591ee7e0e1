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
// when this host regained the store are gone. They are if the store served the others
// meanwhile: the entries did not lapse in an outage of the store, and there is nothing
// to wait for. One such inquiry runs at a time.
func (h *Host) confirmMissing() {
	if !h.confirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.confirming.Store(false)
		missing := h.directory.Missing()
		var lists []follow.List
		for _, address := range h.confirmers() {
			list, err := h.peers.requestServers(h.ctx, address)
			switch {
			case err != nil:
				h.log.Info("servers not fetched", "from", address, "cause", err.Error())
			case list.Grace > 0:
				// The store was away for that host, too.
				return
			case list.Revision >= h.serverFollower.Applied():
				lists = append(lists, list)
			}
		}
		if len(lists) > 0 {
			h.removeUnlisted(missing, lists)
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

// removeUnlisted removes the missing servers that are in none of the lists of other
// hosts.
func (h *Host) removeUnlisted(missing []string, lists []follow.List) {
	listed := make(map[string]bool)
	for _, list := range lists {
		for _, e := range list.Entries {
			listed[h.adapter.ServerID(e.Key)] = true
		}
	}
	for _, id := range missing {
		if !listed[id] {
			h.log.Info("missing server is gone", "server", id, "hosts", len(lists))
			h.directory.RemoveMissing(id)
		}
	}
}
