// Package scheduler decides which backend server gets the next request, whether
// a request is refused, and which batch items are preempted.
//
// A server processes as many requests at once as it has slots and queues a few
// more in order of arrival, without priorities. Each host counts its own
// requests at each server and sends the counts to the other hosts, which receive
// them some tens of milliseconds later. Every host therefore has nearly the same
// view of the occupancy and schedules on its own: there is no central scheduler,
// and a host that is cut off continues with its own view. Two hosts may take the
// last slot at the same time. One of the two requests then waits in the server's
// queue until another request ends, which takes a fraction of a slot time.
//
// Online requests have priority over batch items. A batch item is started only
// on a free slot, and is preempted when its server has more requests than slots;
// it resumes on another server after the last event that it produced. A request
// that would wait longer than its objective allows is refused at once, with a
// time after which to retry.
//
// The package reads neither the clock nor the network. A Placer is safe for
// concurrent use.
package scheduler

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

// Load is the number of requests at a server.
type Load struct {
	Online int `json:"o,omitempty"`
	Batch  int `json:"b,omitempty"`
	// Ends holds the times in milliseconds, counted from the time of the report,
	// after which online requests are expected to end. Requests without an entry
	// are expected to end evenly spread over one mean slot time.
	Ends []int `json:"e,omitempty"`
}

func (l Load) total() int { return l.Online + l.Batch }

// reportTTL is how long the counts of another host are used. Hosts report
// several times in that period even if nothing changes.
const reportTTL = 1500 * time.Millisecond

// reportRetention is how long the last report of a host is stored.
const reportRetention = time.Minute

// report is the last report of another host.
type report struct {
	zone    string
	at      time.Time
	loads   map[string]Load
	backlog Backlog
}

// Backlog describes a host's batch items that wait for a slot.
type Backlog struct {
	// Items is the number of waiting items.
	Items int `json:"n,omitempty"`
	// Slack is that of the most urgent item at the time of the report, in
	// milliseconds: how much later the item could start and still be on time. It
	// is negative if that time has passed since the backlog was set. Items that
	// were already late then count as the least urgent; see package priority.
	Slack int64 `json:"s,omitempty"`
}

// localLoad holds this host's requests at one server.
type localLoad struct {
	batch int
	// expectedEnds holds when the online requests are expected to end.
	expectedEnds []time.Time
}

func (t localLoad) toLoad(now time.Time) Load {
	l := Load{Online: len(t.expectedEnds), Batch: t.batch}
	for _, end := range t.expectedEnds {
		l.Ends = append(l.Ends, int(max(0, end.Sub(now).Milliseconds())))
	}
	return l
}

// Placer places requests by this host's view of the occupancy of all servers.
type Placer struct {
	host string
	zone string

	mu sync.Mutex
	// local holds this host's requests by server. A server without any has
	// no entry.
	local   map[string]localLoad
	reports map[string]report
	health  map[string]*health
	// meanSlotTimes holds the mean slot time of online requests by service.
	meanSlotTimes map[string]time.Duration
	random        func() float64
	// largeFleet reports whether the counts of other zones arrive late.
	largeFleet bool
	// backlog is the backlog of this host, with its slack as of backlogAt.
	backlog   Backlog
	backlogAt time.Time
	changed   func()
}

// New returns a placer for a host. random returns random numbers in [0, 1).
// changed is called with the lock held whenever this host's own counts change or
// its empty backlog gets items.
func New(host, zone string, random func() float64, changed func()) *Placer {
	return &Placer{
		host: host, zone: zone, local: make(map[string]localLoad), reports: make(map[string]report),
		health: make(map[string]*health), meanSlotTimes: make(map[string]time.Duration), random: random, changed: changed,
	}
}

// Report stores the counts of another host.
func (p *Placer) Report(host, zone string, now time.Time, loads map[string]Load, backlog Backlog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.reports[host]; !known {
		// Drop the reports of hosts that are gone whenever a new host appears.
		maps.DeleteFunc(p.reports, func(_ string, r report) bool { return now.Sub(r.at) > reportRetention })
	}
	p.reports[host] = report{zone: zone, at: now, loads: loads, backlog: backlog}
}

// SetLargeFleet sets whether the fleet is so large that hosts of other zones
// report their counts only occasionally. Then a larger jitter adds to the cost
// of servers in other zones, so that online requests go there mainly when the
// own zone has no free slot. Batch items stay in the host's own zone, whose
// counts arrive in time.
func (p *Placer) SetLargeFleet(largeFleet bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largeFleet = largeFleet
}

// LocalState returns the counts and the backlog of this host as of now.
func (p *Placer) LocalState(now time.Time) (map[string]Load, Backlog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]Load, len(p.local))
	for server, t := range p.local {
		loads[server] = t.toLoad(now)
	}
	backlog := p.backlog
	backlog.Slack -= now.Sub(p.backlogAt).Milliseconds()
	return loads, backlog
}

// SetBacklog sets the number of this host's batch items that wait for a slot,
// and the slack of the most urgent one; see Backlog.
func (p *Placer) SetBacklog(now time.Time, items int, slack time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	becameNonEmpty := p.backlog.Items == 0 && items > 0
	p.backlog, p.backlogAt = Backlog{Items: items, Slack: slack.Milliseconds()}, now
	if becameNonEmpty {
		p.changed()
	}
}

// totalLoad returns the load of all hosts at a server, without expected ends.
func (p *Placer) totalLoad(now time.Time, server string) Load {
	local := p.local[server]
	total := Load{Online: len(local.expectedEnds), Batch: local.batch}
	for _, r := range p.reports {
		if now.Sub(r.at) <= reportTTL {
			l := r.loads[server]
			total.Online += l.Online
			total.Batch += l.Batch
		}
	}
	return total
}

// reportAge returns the age of the oldest report of another host that is within
// reportTTL.
func (p *Placer) reportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range p.reports {
		if reportAge := now.Sub(r.at); reportAge <= reportTTL {
			oldest = max(oldest, reportAge)
		}
	}
	return oldest
}

// remainingTimes returns the expected remaining times of the online requests at
// a server, in ascending order.
func (p *Placer) remainingTimes(now time.Time, s backend.Server) []time.Duration {
	var times []time.Duration
	for _, end := range p.local[s.ID].expectedEnds {
		times = append(times, max(overdueRemaining, end.Sub(now)))
	}
	for _, r := range p.reports {
		if now.Sub(r.at) > reportTTL {
			continue
		}
		l := r.loads[s.ID]
		for _, ms := range l.Ends {
			times = append(times, max(overdueRemaining, r.at.Add(time.Duration(ms)*time.Millisecond).Sub(now)))
		}
		for i := len(l.Ends); i < l.Online; i++ {
			times = append(times, p.meanSlotTime(s.Service)*time.Duration(i+1)/time.Duration(l.Online+1))
		}
	}
	slices.Sort(times)
	return times
}

func (p *Placer) addOnline(server string, end time.Time) {
	t := p.local[server]
	t.expectedEnds = append(t.expectedEnds, end)
	p.local[server] = t
	p.changed()
}

func (p *Placer) removeOnline(server string, end time.Time) {
	t := p.local[server]
	if i := slices.Index(t.expectedEnds, end); i >= 0 {
		t.expectedEnds = slices.Delete(t.expectedEnds, i, i+1)
	}
	p.setLocal(server, t)
}

func (p *Placer) addBatch(server string, n int) {
	t := p.local[server]
	t.batch += n
	p.setLocal(server, t)
}

func (p *Placer) setLocal(server string, t localLoad) {
	if t.batch == 0 && len(t.expectedEnds) == 0 {
		delete(p.local, server)
	} else {
		p.local[server] = t
	}
	p.changed()
}

// overdueRemaining is the minimum expected remaining time of a request, also of
// one that has passed its expected end.
const overdueRemaining = 60 * time.Millisecond

// initialSlotTime is the assumed slot time of a service without completed
// requests.
const initialSlotTime = 300 * time.Millisecond

func (p *Placer) meanSlotTime(service string) time.Duration {
	if m := p.meanSlotTimes[service]; m > 0 {
		return m
	}
	return initialSlotTime
}

// slotTimeWeight is the weight of the newest slot time in the moving average.
const slotTimeWeight = 0.05

// EndOnline records the end of an online request that PlaceOnline placed. took
// is its time at the server, both queued and in a slot.
func (p *Placer) EndOnline(now time.Time, c Choice, took time.Duration, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeOnline(c.Server.ID, c.expectedEnd)
	p.recordOutcome(now, c.Server.ID, o)
	if inSlot := took - c.Wait; o == Completed && inSlot > 0 {
		m := p.meanSlotTime(c.Server.Service)
		p.meanSlotTimes[c.Server.Service] = m + time.Duration(slotTimeWeight*float64(inSlot-m))
	}
}

// EndBatch records the end or preemption of a batch item that PlaceBatch placed.
func (p *Placer) EndBatch(now time.Time, s backend.Server, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addBatch(s.ID, -1)
	p.recordOutcome(now, s.ID, o)
}
