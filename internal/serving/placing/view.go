// Package placing decides which backend server gets the next request, whether
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
package placing

import (
	"maps"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

// Load is how many requests are at a server.
type Load struct {
	Online int `json:"o,omitempty"`
	Batch  int `json:"b,omitempty"`
}

func (l Load) sum() int { return l.Online + l.Batch }

// reportTTL is how long another host's counts are believed; hosts report
// several times in that time even when nothing changes.
const reportTTL = 1500 * time.Millisecond

// report is what another host last told.
type report struct {
	at    time.Time
	loads map[string]Load
	// backlog is how many of its batch items wait for a slot.
	backlog int
}

// Placer holds the occupancy of all servers as this host sees it.
type Placer struct {
	host string
	zone string

	mu sync.Mutex
	// own counts this host's requests at each server; entries of zero are removed.
	own     map[string]Load
	reports map[string]report
	health  map[string]*health
	// means holds the mean time an online request takes a slot, by service.
	means map[string]time.Duration
	draw  func() float64
	// backlog is how many of this host's batch items wait for a slot.
	backlog int
	changed func()
}

// New returns a placer for a host; draw gives random numbers in [0, 1), and
// changed is called, with locks held, whenever this host's own counts change.
func New(host, zone string, draw func() float64, changed func()) *Placer {
	return &Placer{
		host: host, zone: zone, own: make(map[string]Load), reports: make(map[string]report),
		health: make(map[string]*health), means: make(map[string]time.Duration), draw: draw, changed: changed,
	}
}

// Report takes another host's counts.
func (p *Placer) Report(host string, now time.Time, loads map[string]Load, backlog int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[host] = report{at: now, loads: loads, backlog: backlog}
}

// Own returns this host's counts and how many batch items wait here.
func (p *Placer) Own() (map[string]Load, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.own), p.backlog
}

// SetBacklog tells how many of this host's batch items wait for a slot.
func (p *Placer) SetBacklog(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog = n
}

// total returns what all hosts have at a server.
func (p *Placer) total(now time.Time, server string) Load {
	sum := p.own[server]
	for _, r := range p.reports {
		if now.Sub(r.at) <= reportTTL {
			l := r.loads[server]
			sum.Online += l.Online
			sum.Batch += l.Batch
		}
	}
	return sum
}

func (p *Placer) add(server string, online, batch int) {
	l := p.own[server]
	l.Online += online
	l.Batch += batch
	if l == (Load{}) {
		delete(p.own, server)
	} else {
		p.own[server] = l
	}
	p.changed()
}

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

// Ended takes the end of an online request that Choose placed.
func (p *Placer) Ended(now time.Time, s backend.Server, took time.Duration, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(s.ID, -1, 0)
	p.judge(now, s.ID, o)
	if o == Whole {
		m := p.mean(s.Service)
		p.means[s.Service] = m + time.Duration(meanWeight*float64(took-m))
	}
}

// EndedBatch takes the end, or the yield, of a batch item that Room placed.
func (p *Placer) EndedBatch(now time.Time, s backend.Server, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(s.ID, 0, -1)
	p.judge(now, s.ID, o)
}
