package entry

import "time"

// applyReach adapts the scheduling when this host has lost all servers or reaches
// one again. lastReached is when it last reached one before.
func (h *Host) applyReach(cutOff bool, lastReached time.Time) {
	h.placer.SetCutOff(cutOff, lastReached)
	h.jobs.TriggerSchedule()
}
