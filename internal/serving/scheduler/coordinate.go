package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

// In a fleet of more hosts than can report to each other, one host of each zone
// is the coordinator of the slots of the zone's servers. The other hosts report
// to it and ask it for a slot before they send a request. The functions below are
// those of a coordinator; they use its own view, which contains the reports of
// all hosts of the zone. What a coordinator has granted counts at the server
// until the report of the host shows it, so that no slot is granted twice. The
// reports carry complete states: a lost message is made up for by the next.

// Ask is an online request of another host that needs a slot.
type Ask struct {
	// ID is unique among the asks of a host.
	ID      uint64
	Service string
	// MaxWait is the longest expected wait at which the request is placed.
	MaxWait time.Duration
	// Avoid holds servers that must not be chosen.
	Avoid []string
	// Final is set if the request must not be referred to another zone.
	Final bool
}

// BatchGrant gives a host a slot for one of its batch items. Number grows with
// each grant of a coordinator.
type BatchGrant struct {
	Number uint64
	Server string
	at     time.Time
}

const (
	// grantTTL is how long a batch grant counts that its host does not report.
	// An order to preempt is given again after the same time.
	grantTTL = time.Second
	// resendAfter is the age at which an unreported batch grant is sent again.
	resendAfter = 60 * time.Millisecond
)

// Keep tells a host how many of its batch items may stay at a server; it must
// preempt the others.
type Keep struct {
	Host   string
	Server string
	Items  int
}

// ZoneLoad is the load of a service's servers in one zone.
type ZoneLoad struct {
	Slots  int
	Online int
	Batch  int
	// Planned is the number of waiting batch items of the zone's hosts that these expect
	// to be on time. Hosts of earlier builds report 0.
	Planned int
}

// spareShare is the fraction of a zone's slots that must be free of online
// requests before requests of other zones are referred to it. The zone's own
// requests fluctuate by about that much while the report is on its way.
const spareShare = 0.1

// spare returns how many online requests of other zones fit.
func (z ZoneLoad) spare() int { return z.Slots - z.Online - int(spareShare*float64(z.Slots)) }

// zoneReport is the last report of a zone's load of one service.
type zoneReport struct {
	ZoneLoad
	at time.Time
}

// SetZoneLoads stores the loads of another zone by service.
func (p *Placer) SetZoneLoads(now time.Time, zone string, loads map[string]ZoneLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if zone == p.zone {
		return
	}
	byService := make(map[string]*zoneReport, len(loads))
	for service, l := range loads {
		byService[service] = &zoneReport{ZoneLoad: l, at: now}
	}
	p.zones[zone] = byService
}

// ZoneLoads returns the load of the given servers by service.
func (p *Placer) ZoneLoads(now time.Time, servers []backend.Server) map[string]ZoneLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]ZoneLoad)
	for _, s := range servers {
		l, z := p.totalLoad(now, s.ID), loads[s.Service]
		z.Slots += s.Slots
		if allowed, _ := p.allowance(now, s.ID); allowed < s.Slots {
			z.Slots -= max(0, s.Slots-l.Online-allowed)
		}
		z.Online += l.Online
		z.Batch += l.Batch
		loads[s.Service] = z
	}
	for service, z := range loads {
		z.Planned = p.backlogs[service].planned() + p.plannedElsewhere(service)
		loads[service] = z
	}
	return loads
}

// ServerLoads returns the load of all hosts at the given servers, without those
// that have none.
func (p *Placer) ServerLoads(now time.Time, servers []backend.Server) map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]Load)
	for _, s := range servers {
		if l := p.totalLoad(now, s.ID); l.total() > 0 || l.Sent > 0 {
			loads[s.ID] = l
		}
	}
	return loads
}

// zoneTotals is the name under which the totals of a zone are reported. It is
// the name of no host.
const zoneTotals = ""

// SetZonePlanned stores the numbers of planned items in this host's zone, as the
// coordinator counted them, by service.
func (p *Placer) SetZonePlanned(loads map[string]ZoneLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.zonePlanned)
	for service, l := range loads {
		p.zonePlanned[service] = l.Planned
	}
}

// SetServerLoads stores the load of all hosts at the servers of this host's
// zone, as the coordinator counted it. It stands for the reports of the single
// hosts if the coordinator falls silent.
func (p *Placer) SetServerLoads(now time.Time, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := make(map[string]Load, len(loads))
	for server, l := range loads {
		own := p.local[server]
		l.Online, l.Batch = max(0, l.Online-len(own.expectedEnds)), max(0, l.Batch-own.batch)
		l.Sent = max(0, l.Sent-p.limits.Sent(now, server))
		if l.total() > 0 || l.Sent > 0 {
			others[server] = l
		}
	}
	p.others.set(now, Status{Host: zoneTotals, Zone: p.zone, Loads: others})
}

// Role says whose view decides about the slots.
type Role uint8

// The roles of a host.
const (
	// Independent is the role of a host that has the reports of all others and
	// places its requests on the servers of all zones.
	Independent Role = iota
	// Coordinator is the role of the host that has the reports of its zone. It
	// places batch items on the servers of its zone only.
	Coordinator
	// Coordinated is the role of a host whose batch items are placed and preempted
	// as the coordinator of its zone says.
	Coordinated
)

// SetRole sets the role of this host.
func (p *Placer) SetRole(r Role) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role = r; r != Coordinated {
		clear(p.keep)
	}
}

// GrantOnline places an online request among servers of this host's zone. A
// repeated ask of another host gets the same choice. The choice names a zone
// instead of a server if the request would wait here and that zone has room. A
// request of this host counts until EndOnline is called, one of another host
// until the host reports it.
func (p *Placer) GrantOnline(now time.Time, host string, a Ask, servers []backend.Server) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.others.reports[host]; r != nil {
		if c, granted := r.online[a.ID]; granted {
			return c
		}
	}
	avoid := make(map[string]bool, len(a.Avoid))
	for _, id := range a.Avoid {
		avoid[id] = true
	}
	c := p.choose(now, servers, avoid, a.MaxWait)
	if !a.Final && (!c.Placed || c.Wait > preemptionDelay) {
		// Without servers here, the coordinator of a zone that looks full decides: it knows
		// its load, of which the report here may be some hundred milliseconds old.
		if r, zone := p.spareZone(now, a.Service); r != nil && (r.spare() > 0 || len(servers) == 0) {
			r.Online++
			return Choice{Zone: zone, Wait: c.Wait}
		}
	}
	if !c.Placed {
		return c
	}
	if host == p.host {
		p.addOnline(now, c.Server.ID, c.expectedEnd)
		return c
	}
	p.others.change(now, host, func(r *report) {
		if r.online == nil {
			r.online = make(map[uint64]Choice)
		}
		r.online[a.ID] = c
	})
	return c
}

// SpareZone returns the zone with the most room for a service, empty if none has
// any.
func (p *Placer) SpareZone(now time.Time, service string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, zone := p.spareZone(now, service)
	if r == nil || r.spare() <= 0 {
		return ""
	}
	return zone
}

// spareZone returns the report of the zone with the most room for online requests
// of a service, and its name, nil if no zone has reported servers of the service
// lately. A request that is referred there is counted in the report until the next.
func (p *Placer) spareZone(now time.Time, service string) (*zoneReport, string) {
	var best *zoneReport
	name := ""
	for zone, byService := range p.zones {
		r := byService[service]
		if r == nil || now.Sub(r.at) > reportTTL || r.Slots == 0 {
			continue
		}
		if best == nil || r.spare() > best.spare() || (r.spare() == best.spare() && zone < name) {
			best, name = r, zone
		}
	}
	return best, name
}

// GrantBatch gives free slots to waiting batch items of a service, in the order
// of the most urgent item of each host. It returns all unreported grants of the
// hosts that got one, or that have had one for a while. This host's own items are
// left to PlaceBatch.
func (p *Placer) GrantBatch(now time.Time, service string, servers []backend.Server) map[string][]BatchGrant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others.expire(now)
	granted := make(map[string][]BatchGrant)
	for host, r := range p.others.reports {
		if len(r.batch) > 0 && now.Sub(r.batch[0].at) >= resendAfter {
			granted[host] = slices.Clone(r.batch)
		}
	}
	queue := p.waitingHosts(now, service)
	if len(queue) == 0 {
		return granted
	}
	waiting := 0
	for _, w := range queue {
		waiting += w.items
	}
	slots := p.freeSlots(now, servers, waiting)
	for _, w := range queue {
		n := min(w.items, len(slots))
		taken := slots[:n]
		slots = slots[n:]
		if w.host == p.host || n == 0 {
			continue
		}
		p.others.change(now, w.host, func(r *report) {
			for _, s := range taken {
				p.lastGrant++
				r.batch = append(r.batch, BatchGrant{Number: p.lastGrant, Server: s.ID, at: now})
			}
			granted[w.host] = slices.Clone(r.batch)
		})
	}
	return granted
}

// waitingHost is a host with equally urgent batch items that wait for a slot.
type waitingHost struct {
	host string
	group
}

// waitingHosts returns the hosts with waiting items of a service, the one with
// the most urgent item first, without those that wait for another coordinator. A host
// is listed once for each group of its items.
func (p *Placer) waitingHosts(now time.Time, service string) []waitingHost {
	var queue []waitingHost
	for host, r := range p.others.reports {
		b := r.backlog(service)
		if r.Coordinator != "" && r.Coordinator != p.host {
			continue
		}
		for _, g := range without(b.groups(now.Sub(r.at)), len(r.batch)) {
			if g.items > 0 {
				queue = append(queue, waitingHost{host, g})
			}
		}
	}
	if b := p.backlogs[service]; b.Items > 0 && !p.cut.off {
		for _, g := range b.groups(now.Sub(b.at)) {
			queue = append(queue, waitingHost{p.host, g})
		}
	}
	slices.SortFunc(queue, func(a, b waitingHost) int { return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(a.host, b.host)) })
	return queue
}

// PreemptBatch returns the hosts that must preempt batch items because a server
// has more requests than slots. This host's own items are left to
// BatchToPreempt.
func (p *Placer) PreemptBatch(now time.Time, servers []backend.Server) []Keep {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Keep
	for _, s := range servers {
		excess := p.totalLoad(now, s.ID).total() - s.Slots
		for _, h := range p.preemptions(s.ID, excess) {
			if h.host == p.host {
				continue
			}
			items := h.batch - h.items
			p.others.change(now, h.host, func(r *report) {
				if r.keep == nil {
					r.keep = make(map[string]keepOrder)
				}
				r.keep[s.ID] = keepOrder{items: items, at: now}
			})
			all = append(all, Keep{Host: h.host, Server: s.ID, Items: items})
		}
	}
	return all
}

// batchAt is the number of batch items of a host at a server, and their levels.
type batchAt struct {
	host   string
	batch  int
	levels []int
}

// batchHosts returns the hosts with batch items at a server, those with the most items
// first.
func (p *Placer) batchHosts(server string) []batchAt {
	var order []batchAt
	for host, l := range p.others.at(server).byHost {
		if l.Batch > 0 {
			order = append(order, batchAt{host, l.Batch, l.Levels})
		}
	}
	if own := p.local[server]; own.batch > 0 {
		order = append(order, batchAt{p.host, own.batch, withLevels(own.levels, own.batch)})
	}
	slices.SortFunc(order, func(a, b batchAt) int { return cmp.Or(cmp.Compare(b.batch, a.batch), cmp.Compare(a.host, b.host)) })
	return order
}

// The functions below are those of a host that asks a coordinator.

// TakeOnline counts an online request at the server that the coordinator chose.
func (p *Placer) TakeOnline(now time.Time, s backend.Server, wait time.Duration) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.totalLoad(now, s.ID)
	c := Choice{Server: s, Wait: wait, Placed: true, InFlight: l.total()}
	c.expectedEnd = now.Add(wait + p.slotTimeAt(s.Service, p.relative(now, s, l)))
	p.addOnline(now, s.ID, c.expectedEnd)
	return c
}

// TakeBatch counts a slot that the coordinator granted for a batch item, until
// PlaceBatch uses it or returns it.
func (p *Placer) TakeBatch(now time.Time, s backend.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.RecordSend(now, s.ID)
	p.addBatch(s.ID, 1)
	p.reserved[s.Service] = append(p.reserved[s.Service], s)
}

// KeepBatch stores how many batch items this host may keep at a server.
func (p *Placer) KeepBatch(server string, items int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep[server] = items
}

// placeReserved returns up to limit of the slots that were granted for items of
// a service and gives the others back. The caller holds p.mu.
func (p *Placer) placeReserved(service string, limit int) []backend.Server {
	granted := p.reserved[service]
	delete(p.reserved, service)
	placed := granted[:min(limit, len(granted))]
	for _, s := range granted[len(placed):] {
		p.addBatch(s.ID, -1)
	}
	return placed
}

// ReturnUnused gives back the slots that were granted for batch items and not
// used by PlaceBatch.
func (p *Placer) ReturnUnused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.reserved {
		p.placeReserved(service, 0)
	}
}

// keepSurplus returns how many batch items this host must preempt at each server
// to keep as many as it may. The caller holds p.mu.
func (p *Placer) keepSurplus() map[string]int {
	surplus := make(map[string]int)
	for server, items := range p.keep {
		if n := p.local[server].batch - items; n > 0 {
			surplus[server] = n
		} else {
			delete(p.keep, server)
		}
	}
	return surplus
}

// FailureRates returns the failure rates of the servers that failed lately, none
// while this host is cut off from all servers.
func (p *Placer) FailureRates(now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut.off {
		return nil
	}
	rates := make(map[string]float64)
	for server, h := range p.health {
		rate := h.decayedFailureRate(now)
		if now.Before(h.backoffUntil) && h.consecutiveFailures > 0 {
			rate = 1
		}
		if rate >= minReportedRate {
			rates[server] = rate
		}
	}
	return rates
}

// minReportedRate is the least failure rate that is reported to other hosts.
const minReportedRate = 0.02
