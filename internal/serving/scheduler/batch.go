package scheduler

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

const (
	// reserveFactor times the square root of the number of online requests is
	// how many slots are kept free of new batch items. The number of online
	// requests fluctuates by about that much at a constant rate. An item placed
	// on such a slot would soon be preempted, and its prompt would be processed
	// again on another server.
	reserveFactor = 0.5
	// reserveThreshold is the fraction of all slots that online requests must
	// occupy before any slot is reserved.
	reserveThreshold = 0.4
)

// PlaceBatch places up to limit of this host's waiting batch items on free slots
// and returns one server per item. Each item counts at its server until
// EndBatch is called. All hosts derive the same order of free slots: the host
// whose most urgent item has the least slack takes the first slots.
//
// If another host coordinates the slots, the items get those that it granted. A
// host that is cut off from all servers gives these back and places no items.
func (p *Placer) PlaceBatch(now time.Time, service string, servers []backend.Server, limit int) []backend.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut.off {
		return p.placeReserved(service, 0)
	}
	if p.role == Coordinated || len(p.reserved[service]) > 0 {
		return p.placeReserved(service, limit)
	}
	groups := p.ownGroups(now, service, limit)
	ahead := 0
	for _, g := range groups {
		ahead = max(ahead, p.itemsAhead(now, service, g.slack))
	}
	slots := p.freeSlots(now, p.batchServers(servers), ahead+limit)
	var placed []backend.Server
	for _, g := range groups {
		first := p.itemsAhead(now, service, g.slack) + len(placed)
		for i := first; i < len(slots) && i < first+g.items; i++ {
			placed = append(placed, slots[i])
			p.limits.RecordSend(now, slots[i].ID)
			p.addBatch(slots[i].ID, 1)
		}
	}
	return placed
}

// ownGroups returns the groups of this host's waiting items of a service, which are
// limit in all.
func (p *Placer) ownGroups(now time.Time, service string, limit int) []group {
	b := p.backlogs[service]
	groups := b.groups(now.Sub(b.at))
	for n := range groups {
		if groups[n].items = min(groups[n].items, limit); n == len(groups)-1 {
			groups[n].items = limit
		}
		limit -= groups[n].items
	}
	return groups
}

// BatchLoad returns what this host knows of the slots that its batch items of a service
// may use: the number that online requests and the reserve for them leave, that of running items of all
// hosts, and that of waiting items of other hosts that these expect to be on time.
func (p *Placer) BatchLoad(now time.Time, service string, servers []backend.Server) (free, running, planned int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	online, slots := 0, 0
	for _, s := range p.batchServers(servers) {
		l := p.totalLoad(now, s.ID)
		running += l.Batch
		online += min(l.Online, s.Slots)
		slots += s.Slots
		if inBackoff, _ := p.inBackoff(now, s.ID); !inBackoff {
			free += max(0, s.Slots-l.Online)
		}
	}
	free = max(0, free-reservedSlots(online, slots))
	if p.role == Coordinated {
		return free, running, max(0, p.zonePlanned[service]-p.backlogs[service].planned())
	}
	return free, running, p.plannedElsewhere(service)
}

// plannedElsewhere returns the number of planned items of the hosts whose items share
// the slots of this host's. The caller holds p.mu.
func (p *Placer) plannedElsewhere(service string) int {
	n := 0
	for _, r := range p.others.reports {
		if p.role != Independent && r.Zone != p.zone {
			continue
		}
		n += r.backlog(service).planned()
	}
	return n
}

// planned returns the number of items that are expected to be on time.
func (b Backlog) planned() int {
	if b.Planned+b.Deferred > 0 {
		return b.Planned
	}
	if slack := time.Duration(b.Slack) * time.Millisecond; agedSlack(slack, 0) >= DeferredSlack {
		return 0
	}
	return b.Items
}

// batchServers returns the servers that this host's batch items may run on: those
// of its zone if it is the coordinator and there are any, else all.
func (p *Placer) batchServers(servers []backend.Server) []backend.Server {
	if p.role == Independent {
		return servers
	}
	var local []backend.Server
	for _, s := range servers {
		if s.Zone == p.zone {
			local = append(local, s)
		}
	}
	if len(local) == 0 {
		return servers
	}
	return local
}

// freeSlots lists up to limit slots that batch items may take: each server appears
// once per free slot. Servers with the most free slots come first, slow ones last. A
// server that slows down before it is full has as many slots for items as it serves
// well.
func (p *Placer) freeSlots(now time.Time, servers []backend.Server, limit int) []backend.Server {
	type candidate struct {
		backend.Server
		free int
	}
	var candidates, slow []candidate
	totalSlots, online, maxFree := 0, 0, 0
	for _, s := range servers {
		l := p.totalLoad(now, s.ID)
		totalSlots += s.Slots
		online += min(l.Online, s.Slots)
		if inBackoff, _ := p.inBackoff(now, s.ID); inBackoff {
			continue
		}
		if free := min(p.batchSlots(now, s)-l.total(), p.limits.BatchAllowance(now, s.ID, p.others.at(s.ID).sent)); free > 0 {
			if p.isSlow(now, s) {
				slow = append(slow, candidate{s, free})
			} else {
				candidates = append(candidates, candidate{s, free})
			}
			maxFree = max(maxFree, free)
		}
	}
	reserved := reservedSlots(online, totalSlots)
	var slots []backend.Server
	for _, group := range [][]candidate{candidates, slow} {
		sort.Slice(group, func(i, j int) bool { return group[i].ID < group[j].ID })
		for level := maxFree; level > 0 && len(slots) < limit+reserved; level-- {
			for _, c := range group {
				if c.free >= level {
					slots = append(slots, c.Server)
				}
			}
		}
	}
	return slots[:min(limit, max(0, len(slots)-reserved))]
}

// reservedSlots returns how many of a number of slots are kept free of new batch items
// while online requests occupy some of them.
func reservedSlots(online, slots int) int {
	if float64(online) <= reserveThreshold*float64(slots) {
		return 0
	}
	return int(reserveFactor * math.Sqrt(float64(online)))
}

// itemsAhead returns how many items of other hosts take free slots before those items
// of this host that have a slack.
func (p *Placer) itemsAhead(now time.Time, service string, ownSlack time.Duration) int {
	n := 0
	for host, r := range p.others.reports {
		if p.role == Coordinator && r.Zone != p.zone {
			continue
		}
		// Two slacks that differ by less than slackTolerance count as equal,
		// and the host names decide.
		for _, g := range without(r.backlog(service).groups(now.Sub(r.at)), len(r.batch)) {
			if d := g.slack - ownSlack; d < -slackTolerance || d < slackTolerance && host < p.host {
				n += g.items
			}
		}
	}
	return n
}

// slackTolerance is the difference below which two slacks count as equal, since
// it may be due to the hosts' clocks alone.
const slackTolerance = 50 * time.Millisecond

// BatchToPreempt returns how many of this host's batch items must be preempted
// at each server because the server has more requests than slots. All hosts
// derive the same order; see preemptions.
func (p *Placer) BatchToPreempt(now time.Time, servers []backend.Server) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role == Coordinated {
		return p.keepSurplus()
	}
	surplus := make(map[string]int)
	for _, s := range servers {
		if p.local[s.ID].batch == 0 {
			continue
		}
		excess := p.totalLoad(now, s.ID).total() - s.Slots
		for _, h := range p.preemptions(s.ID, excess) {
			if h.host == p.host {
				surplus[s.ID] = h.items
			}
		}
	}
	return surplus
}

// preemptedAt is how many of a host's batch items at a server are to be preempted, of
// how many there are.
type preemptedAt struct {
	host         string
	items, batch int
}

// preemptions returns the hosts that preempt batch items at a server that has a number of
// requests more than slots: the items with the smallest levels first, and of those with
// equal levels the ones of the host with the most items there. If a host reports no
// levels, all hosts use the order that it knows, as otherwise no item or too many would
// be preempted: the items of the host with the most items there first.
func (p *Placer) preemptions(server string, excess int) []preemptedAt {
	if excess <= 0 {
		return nil
	}
	type item struct {
		host, level int
	}
	var hosts []preemptedAt
	var items []item
	known := true
	for n, b := range p.batchHosts(server) {
		hosts = append(hosts, preemptedAt{host: b.host, batch: b.batch})
		known = known && len(b.levels) == b.batch
		for _, level := range b.levels {
			items = append(items, item{n, level})
		}
	}
	if !known {
		for n := range hosts {
			hosts[n].items = min(hosts[n].batch, excess)
			excess -= hosts[n].items
		}
		return slices.DeleteFunc(hosts, func(h preemptedAt) bool { return h.items == 0 })
	}
	// hosts are in the order in which they preempt items of the same level.
	slices.SortStableFunc(items, func(a, b item) int { return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.host, b.host)) })
	for _, i := range items[:min(excess, len(items))] {
		hosts[i.host].items++
	}
	return slices.DeleteFunc(hosts, func(h preemptedAt) bool { return h.items == 0 })
}
