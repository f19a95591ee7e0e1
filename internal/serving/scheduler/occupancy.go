package scheduler

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/serverlimit"
)

// Status is what a host tells other hosts about its requests.
type Status struct {
	Host string
	Zone string
	// Loads holds the host's requests by server.
	Loads map[string]Load
	// Backlogs holds the host's batch items that wait for a slot, by service.
	Backlogs map[string]Backlog
	// Asks are the host's online requests that wait for a slot of the zone's
	// coordinator; see GrantOnline.
	Asks []Ask
	// BatchSeen is the number of the last batch grant that the host has counted
	// in Loads; see GrantBatch.
	BatchSeen uint64
	// FailureRates holds the rate of failed attempts of the servers that have
	// failed lately, in (0, 1].
	FailureRates map[string]float64
	// SlotTimes holds the mean slot times of the host's online requests, by
	// service.
	SlotTimes map[string]time.Duration
	// Limits are those that servers named in answers to the host, by server.
	Limits map[string]serverlimit.Limit
	// Coordinator is the host whose batch grants the host waits for, empty if it
	// waits for none.
	Coordinator string
}

// report is the last status of another host.
type report struct {
	Status
	at time.Time
	// online holds the granted asks that Loads does not contain yet, by ID, and
	// batch the batch grants that it does not contain yet, in order.
	online map[uint64]Choice
	batch  []BatchGrant
	// keep holds the number of batch items that the host was told to keep at a
	// server, until Loads shows no more than that.
	keep map[string]keepOrder
	// counted is what the report contributes to the totals.
	counted map[string]hostLoad
}

// keepOrder is the number of batch items that a host was told to keep.
type keepOrder struct {
	items int
	at    time.Time
}

// hostLoad is the load of one host at a server, reported at a time.
type hostLoad struct {
	Load
	at time.Time
}

// serverLoad is the load of one server. The numbers are the sums over byHost.
type serverLoad struct {
	online, batch, sent int
	byHost              map[string]hostLoad
	// failureRate is the sum of the reported failure rates.
	failureRate float64
}

// occupancy holds the reports of other hosts and the totals of their counts by
// server. A choice among servers reads one total for each server, whatever the
// number of hosts.
type occupancy struct {
	reports map[string]*report
	servers map[string]*serverLoad
	// sweptAt is when expire last removed old reports.
	sweptAt time.Time
}

// sweepInterval is the time between two removals of old reports.
const sweepInterval = 50 * time.Millisecond

func newOccupancy() occupancy {
	return occupancy{reports: make(map[string]*report), servers: make(map[string]*serverLoad)}
}

var noLoad = new(serverLoad)

// at returns the load of a server, which must not be modified.
func (o *occupancy) at(server string) *serverLoad {
	if l := o.servers[server]; l != nil {
		return l
	}
	return noLoad
}

// set replaces the report of a host. Grants that the host has counted or given
// up are dropped.
func (o *occupancy) set(now time.Time, s Status) {
	r := o.reports[s.Host]
	if r == nil {
		r = &report{}
		o.reports[s.Host] = r
	}
	o.subtract(r)
	r.Status, r.at = s, now
	for id := range r.online {
		if !slices.ContainsFunc(s.Asks, func(a Ask) bool { return a.ID == id }) {
			delete(r.online, id)
		}
	}
	r.batch = slices.DeleteFunc(r.batch, func(g BatchGrant) bool { return g.Number <= s.BatchSeen || now.Sub(g.at) > grantTTL })
	for server, k := range r.keep {
		if s.Loads[server].Batch <= k.items || now.Sub(k.at) > grantTTL {
			delete(r.keep, server)
		}
	}
	o.add(r)
}

// change applies fn to the report of a host, which is created if needed, and
// updates the totals.
func (o *occupancy) change(now time.Time, host string, fn func(r *report)) {
	r := o.reports[host]
	if r == nil {
		r = &report{Status: Status{Host: host}, at: now}
		o.reports[host] = r
	} else {
		o.subtract(r)
	}
	fn(r)
	o.add(r)
}

// backlog returns the backlog of a service. Hosts of earlier releases do not name
// the service of their backlog.
func (r *report) backlog(service string) Backlog {
	if b, known := r.Backlogs[service]; known {
		return b
	}
	return r.Backlogs[""]
}

// load returns the counts of a host: those it reported, and what it was granted
// or told to preempt since.
func (r *report) load() map[string]hostLoad {
	loads := make(map[string]hostLoad, len(r.Loads))
	for server, l := range r.Loads {
		if k, told := r.keep[server]; told {
			l.Batch = min(l.Batch, k.items)
			l.Levels = l.Levels[max(0, len(l.Levels)-l.Batch):]
		}
		loads[server] = hostLoad{Load: l, at: r.at}
	}
	for _, c := range r.online {
		l := loads[c.Server.ID]
		if l.at.IsZero() {
			l.at = r.at
		}
		l.Online++
		l.Sent++
		l.Ends = append(slices.Clip(l.Ends), int(max(0, c.expectedEnd.Sub(l.at).Milliseconds())))
		loads[c.Server.ID] = l
	}
	for _, g := range r.batch {
		l := loads[g.Server]
		if l.Batch == len(l.Levels) {
			l.Levels = withLevels(l.Levels, l.Batch+1)
		}
		l.Batch++
		l.Sent++
		loads[g.Server] = l
	}
	return loads
}

func (o *occupancy) add(r *report) {
	r.counted = r.load()
	for server, l := range r.counted {
		t := o.server(server)
		t.online += l.Online
		t.batch += l.Batch
		t.sent += l.Sent
		t.byHost[r.Host] = l
	}
	for server, rate := range r.FailureRates {
		o.server(server).failureRate += rate
	}
}

func (o *occupancy) server(id string) *serverLoad {
	t := o.servers[id]
	if t == nil {
		t = &serverLoad{byHost: make(map[string]hostLoad)}
		o.servers[id] = t
	}
	return t
}

func (o *occupancy) subtract(r *report) {
	for server, l := range r.counted {
		t := o.servers[server]
		t.online -= l.Online
		t.batch -= l.Batch
		t.sent -= l.Sent
		delete(t.byHost, r.Host)
	}
	for server, rate := range r.FailureRates {
		o.servers[server].failureRate -= rate
	}
	for server := range r.counted {
		o.removeUnused(server)
	}
	for server := range r.FailureRates {
		o.removeUnused(server)
	}
	r.counted = nil
}

// minFailureRate is the rate below which a sum of rates counts as 0; it may
// differ from 0 by rounding.
const minFailureRate = 1e-6

func (o *occupancy) removeUnused(server string) {
	if t := o.servers[server]; t != nil && len(t.byHost) == 0 && t.failureRate < minFailureRate {
		delete(o.servers, server)
	}
}

// remove removes the report of a host.
func (o *occupancy) remove(host string) {
	if r := o.reports[host]; r != nil {
		o.subtract(r)
		delete(o.reports, host)
	}
}

// expire removes the reports that are older than reportTTL.
func (o *occupancy) expire(now time.Time) {
	if now.Sub(o.sweptAt) < sweepInterval {
		return
	}
	o.sweptAt = now
	for host, r := range o.reports {
		if now.Sub(r.at) > reportTTL {
			o.remove(host)
		}
	}
}

// age returns the age of the oldest report.
func (o *occupancy) age(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range o.reports {
		oldest = max(oldest, now.Sub(r.at))
	}
	return oldest
}
