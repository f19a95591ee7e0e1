package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

const (
	// reserveShare is how many slots are kept free of new batch items, as a
	// multiple of the square root of the online requests: as many as online
	// varies by while its rate stays the same. An item that is placed there
	// would have to leave at once, and reads its prompt again elsewhere.
	reserveShare = 0.5
	// busyShare is the share of the slots that online must take before any is
	// reserved.
	busyShare = 0.4
)

// PlaceBatch places up to most of this host's waiting batch items on free slots and
// returns their servers; each counts there until EndedBatch. Hosts share the
// free slots in an order that all of them know: the host whose first item is
// due first takes the first ones.
func (p *Placer) PlaceBatch(now time.Time, servers []backend.Server, most int) []backend.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := p.freeSlots(now, p.mine(servers))
	first := p.moreUrgent(now)
	var placed []backend.Server
	for i := first; i < len(slots) && len(placed) < most; i++ {
		placed = append(placed, slots[i])
		p.addBatch(slots[i].ID, 1)
	}
	return placed
}

// mine returns the servers that this host's batch items may run at.
func (p *Placer) mine(servers []backend.Server) []backend.Server {
	if !p.large {
		return servers
	}
	var own []backend.Server
	for _, s := range servers {
		if s.Zone == p.zone {
			own = append(own, s)
		}
	}
	if len(own) == 0 {
		return servers
	}
	return own
}

// freeSlots lists the slots that batch may take, a server once for each: first
// those of the servers with the most free slots.
func (p *Placer) freeSlots(now time.Time, servers []backend.Server) []backend.Server {
	type room struct {
		backend.Server
		free int
	}
	var rooms []room
	all, online, most := 0, 0, 0
	for _, s := range servers {
		l := p.total(now, s.ID)
		all += s.Slots
		online += min(l.Online, s.Slots)
		if resting, _ := p.resting(now, s.ID); resting {
			continue
		}
		if free := s.Slots - l.sum(); free > 0 {
			rooms = append(rooms, room{s, free})
			most = max(most, free)
		}
	}
	sort.Slice(rooms, func(i, j int) bool { return rooms[i].ID < rooms[j].ID })
	var slots []backend.Server
	for level := most; level > 0; level-- {
		for _, r := range rooms {
			if r.free >= level {
				slots = append(slots, r.Server)
			}
		}
	}
	reserved := 0
	if float64(online) > busyShare*float64(all) {
		reserved = int(reserveShare * math.Sqrt(float64(online)))
	}
	return slots[:max(0, len(slots)-reserved)]
}

// moreUrgent returns how many items of other hosts take free slots before this
// host's.
func (p *Placer) moreUrgent(now time.Time) int {
	mine := time.Duration(p.backlog.Slack)*time.Millisecond - now.Sub(p.backlogAt)
	n := 0
	for host, r := range p.reports {
		if now.Sub(r.at) > reportTTL || r.backlog.Items == 0 || (p.large && r.zone != p.zone) {
			continue
		}
		theirs := time.Duration(r.backlog.Slack)*time.Millisecond - now.Sub(r.at)
		// Slacks that differ by less than the hosts' clocks are ordered by name.
		switch d := theirs - mine; {
		case d < -slackGrain, d < slackGrain && host < p.host:
			n += r.backlog.Items
		}
	}
	return n
}

// slackGrain is the difference of two slacks that counts.
const slackGrain = 50 * time.Millisecond

// BatchToPreempt returns how many of this host's batch items at each server have to
// leave because the server has more requests than slots. Hosts share the
// surplus of a server in one order that all of them know: the host with the
// most items there first.
func (p *Placer) BatchToPreempt(now time.Time, servers []backend.Server) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	leave := make(map[string]int)
	for _, s := range servers {
		mine := p.own[s.ID].batch
		if mine == 0 {
			continue
		}
		over := p.total(now, s.ID).sum() - s.Slots
		if over <= 0 {
			continue
		}
		over -= p.before(now, s.ID, mine)
		if n := min(mine, over); n > 0 {
			leave[s.ID] = n
		}
	}
	return leave
}

// before returns how many batch items at a server leave before this host's.
func (p *Placer) before(now time.Time, server string, mine int) int {
	n := 0
	for host, r := range p.reports {
		if now.Sub(r.at) > reportTTL {
			continue
		}
		if theirs := r.loads[server].Batch; theirs > mine || (theirs == mine && host < p.host) {
			n += theirs
		}
	}
	return n
}
