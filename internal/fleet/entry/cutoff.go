package entry

import "time"

// applyReach adapts the scheduling when this host has lost all servers or reaches
// one again. lastReached is when it last reached one before.
func (h *Host) applyReach(cutOff bool, lastReached time.Time) {
	h.placer.SetCutOff(cutOff, lastReached)
	h.jobs.TriggerSchedule()
}

// CutOff reports whether a host, which may be this one, is cut off from all
// servers as far as this host was told.
func (p *peers) CutOff(host string) bool {
	if host == p.host.settings.Name {
		return p.host.reach.CutOff()
	}
	peer, known := p.host.members.Peer(host)
	return known && peer.CutOff
}
