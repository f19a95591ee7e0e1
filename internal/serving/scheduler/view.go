// Package scheduler decides which backend server gets the next request, whether
// a request is refused, and which batch items leave their slots.
//
// The model: a server works on as many requests as it has slots and queues a
// few more in order of arrival; it knows no priorities. Each host counts its
// own requests at each server and tells the others, some tens of milliseconds
// late, so every host sees nearly the same occupancy and places by itself: no
// host gives out slots, and one that is cut off goes on with what it sees.
// Two hosts may take the last slot at once; then one request waits in the
// server's queue for the next end, a fraction of a slot time.
//
// Online requests go before batch. An item runs only where a slot is free, and
// leaves when a server has more requests than slots; it goes on elsewhere from
// its last event. A request that would wait longer than its objective allows is
// refused at once, with a time to come back.
//
// Nothing here reads a clock or a socket. A Placer is safe for concurrent use.
package scheduler

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

// Load is how many requests are at a server.
type Load struct {
	Online int `json:"o,omitempty"`
	Batch  int `json:"b,omitempty"`
	// Ends are the times in milliseconds after which the online requests are
	// expected to end, counted from when the load was told. Requests for which
	// none is given are expected to end any time within a slot time.
	Ends []int `json:"e,omitempty"`
}

func (l Load) sum() int { return l.Online + l.Batch }

// reportTTL is how long another host's counts are believed; hosts report
// several times in that time even when nothing changes.
const reportTTL = 1500 * time.Millisecond

// reportKept is how long the last word of a silent host is kept.
const reportKept = time.Minute

// report is what another host last told.
type report struct {
	zone    string
	at      time.Time
	loads   map[string]Load
	backlog Backlog
}

// Backlog is what a host's batch items that wait for a slot need.
type Backlog struct {
	// Items is how many wait.
	Items int `json:"n,omitempty"`
	// Slack is the time in milliseconds until the first of them is due, counted
	// from when the backlog was told; it is negative for one that is late.
	Slack int64 `json:"s,omitempty"`
}

// tally is this host's requests at one server.
type tally struct {
	batch int
	// ends are when the online requests are expected to end.
	ends []time.Time
}

func (t tally) load(now time.Time) Load {
	l := Load{Online: len(t.ends), Batch: t.batch}
	for _, end := range t.ends {
		l.Ends = append(l.Ends, int(max(0, end.Sub(now).Milliseconds())))
	}
	return l
}

// Placer holds the occupancy of all servers as this host sees it.
type Placer struct {
	host string
	zone string

	mu sync.Mutex
	// own counts this host's requests at each server; entries of zero are removed.
	own     map[string]tally
	reports map[string]report
	health  map[string]*health
	// means holds the mean time an online request takes a slot, by service.
	means map[string]time.Duration
	draw  func() float64
	// large says that other zones' counts come late.
	large bool
	// backlog is this host's, its slack as of backlogAt.
	backlog   Backlog
	backlogAt time.Time
	changed   func()
}

// New returns a placer for a host; draw gives random numbers in [0, 1), and
// changed is called, with locks held, whenever this host's own counts change.
func New(host, zone string, draw func() float64, changed func()) *Placer {
	return &Placer{
		host: host, zone: zone, own: make(map[string]tally), reports: make(map[string]report),
		health: make(map[string]*health), means: make(map[string]time.Duration), draw: draw, changed: changed,
	}
}

// Report takes another host's counts.
func (p *Placer) Report(host, zone string, now time.Time, loads map[string]Load, backlog Backlog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.reports[host]; !known {
		// Hosts that are gone are forgotten when another one comes.
		maps.DeleteFunc(p.reports, func(_ string, r report) bool { return now.Sub(r.at) > reportKept })
	}
	p.reports[host] = report{zone: zone, at: now, loads: loads, backlog: backlog}
}

// SetLargeFleet tells whether the hosts of other zones tell their counts only now
// and then. Online then goes to another zone only when the own one is full, and
// batch stays in the own zone, where hosts hear of each other in time.
func (p *Placer) SetLargeFleet(large bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.large = large
}

// LocalState returns this host's counts and its backlog.
func (p *Placer) LocalState(now time.Time) (map[string]Load, Backlog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]Load, len(p.own))
	for server, t := range p.own {
		loads[server] = t.load(now)
	}
	backlog := p.backlog
	backlog.Slack -= now.Sub(p.backlogAt).Milliseconds()
	return loads, backlog
}

// SetBacklog tells how many of this host's batch items wait for a slot, and how
// long the first of them has until it is due.
func (p *Placer) SetBacklog(now time.Time, items int, slack time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	appeared := p.backlog.Items == 0 && items > 0
	p.backlog, p.backlogAt = Backlog{Items: items, Slack: slack.Milliseconds()}, now
	if appeared {
		p.changed()
	}
}

// total returns what all hosts have at a server, without the expected ends.
func (p *Placer) total(now time.Time, server string) Load {
	own := p.own[server]
	sum := Load{Online: len(own.ends), Batch: own.batch}
	for _, r := range p.reports {
		if now.Sub(r.at) <= reportTTL {
			l := r.loads[server]
			sum.Online += l.Online
			sum.Batch += l.Batch
		}
	}
	return sum
}

// age returns the age of the oldest count of another host that is believed.
func (p *Placer) age(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range p.reports {
		if age := now.Sub(r.at); age <= reportTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// residuals returns, in order, after which times the online requests at a
// server are expected to end.
func (p *Placer) residuals(now time.Time, s backend.Server) []time.Duration {
	var list []time.Duration
	for _, end := range p.own[s.ID].ends {
		list = append(list, max(overdue, end.Sub(now)))
	}
	for _, r := range p.reports {
		if now.Sub(r.at) > reportTTL {
			continue
		}
		l := r.loads[s.ID]
		for _, ms := range l.Ends {
			list = append(list, max(overdue, r.at.Add(time.Duration(ms)*time.Millisecond).Sub(now)))
		}
		for i := len(l.Ends); i < l.Online; i++ {
			list = append(list, p.mean(s.Service)*time.Duration(i+1)/time.Duration(l.Online+1))
		}
	}
	slices.Sort(list)
	return list
}

func (p *Placer) begin(server string, end time.Time) {
	t := p.own[server]
	t.ends = append(t.ends, end)
	p.own[server] = t
	p.changed()
}

func (p *Placer) finish(server string, end time.Time) {
	t := p.own[server]
	if i := slices.Index(t.ends, end); i >= 0 {
		t.ends = slices.Delete(t.ends, i, i+1)
	}
	p.put(server, t)
}

func (p *Placer) addBatch(server string, n int) {
	t := p.own[server]
	t.batch += n
	p.put(server, t)
}

func (p *Placer) put(server string, t tally) {
	if t.batch == 0 && len(t.ends) == 0 {
		delete(p.own, server)
	} else {
		p.own[server] = t
	}
	p.changed()
}

// overdue is how long a request that should have ended is expected to go on.
const overdue = 60 * time.Millisecond

// meanStart is the assumed slot time of a service of which nothing ended yet.
const meanStart = 300 * time.Millisecond

func (p *Placer) mean(service string) time.Duration {
	if m := p.means[service]; m > 0 {
		return m
	}
	return meanStart
}

// meanWeight is the weight of the newest slot time in the running mean.
const meanWeight = 0.05

// EndOnline takes the end of an online request that Choose placed; took is how long
// it was at the server, queue and slot.
func (p *Placer) EndOnline(now time.Time, c Choice, took time.Duration, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(c.Server.ID, c.end)
	p.judge(now, c.Server.ID, o)
	if inSlot := took - c.Wait; o == Completed && inSlot > 0 {
		m := p.mean(c.Server.Service)
		p.means[c.Server.Service] = m + time.Duration(meanWeight*float64(inSlot-m))
	}
}

// EndBatch takes the end, or the yield, of a batch item that Rooms placed.
func (p *Placer) EndBatch(now time.Time, s backend.Server, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addBatch(s.ID, -1)
	p.judge(now, s.ID, o)
}
