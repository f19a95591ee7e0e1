package scheduler

import "time"

// While a host is cut off from all servers, the failures of its attempts say
// nothing about the servers: it does not report them, and if it coordinates, it
// does not grant by them. Its batch items wait and take no slots from those of
// other hosts.

// cut is what a Placer knows about this host's connections to servers.
type cut struct {
	// off is set while this host is cut off from all servers.
	off bool
	// began is when this host last reached a server before that, zero if it never
	// did.
	began time.Time
}

// SetCutOff stores whether this host is cut off from all servers. lastReached is
// when it last reached one, zero if it never did; it is ignored if cutOff is false.
// When a cut ends, the failures since its beginning are forgotten.
func (p *Placer) SetCutOff(cutOff bool, lastReached time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cutOff == p.cut.off {
		return
	}
	if cutOff {
		p.cut = cut{off: true, began: lastReached}
	} else {
		for server, h := range p.health {
			if h.updatedAt.After(p.cut.began) {
				delete(p.health, server)
			}
		}
		p.cut = cut{}
	}
	p.changed()
}
