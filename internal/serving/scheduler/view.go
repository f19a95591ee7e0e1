// Package scheduler decides which backend server gets the next request, whether
// a request is refused, and which batch items are preempted.
//
// A server processes as many requests at once as it has slots and queues a few
// more in order of arrival, without priorities. Each host counts its own
// requests at each server and reports the counts.
//
// In a small fleet every host has the reports of all others some tens of
// milliseconds later, so all have nearly the same view of the occupancy and each
// schedules on its own. In a larger one the hosts of a zone report to one of them,
// the coordinator, which decides for all on its view; see Role. In both, a host
// that is cut off continues with its own view. Two hosts may take the last slot at
// the same time. One of the two requests then waits in the server's queue until
// another request ends, which takes a fraction of a slot time.
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
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
	"github.com/kingcupquay/kingcupquay/internal/serving/serverlimit"
)

// Load is the number of requests at a server.
type Load struct {
	Online int `json:"o,omitempty"`
	Batch  int `json:"b,omitempty"`
	// Ends holds the times in milliseconds, counted from the time of the report,
	// after which online requests are expected to end. Requests without an entry
	// are expected to end evenly spread over one mean slot time.
	Ends []int `json:"e,omitempty"`
	// Sent is the number of requests that were sent within the window of the
	// server's limit, if it has one.
	Sent int `json:"-"`
	// Levels holds a number for each batch item, in ascending order: on a server with
	// more requests than slots, items with smaller ones are preempted first. Hosts of
	// earlier builds don't report them.
	Levels []int `json:"-"`
}

// FreshLevel is the level of items that have just been placed.
const FreshLevel = 4

// withLevels returns the levels of a number of items, given those known of them: items
// beyond these are fresh ones, and missing items were those to be preempted first.
func withLevels(known []int, items int) []int {
	levels := slices.Clone(known[max(0, len(known)-items):])
	for len(levels) < items {
		levels = append(levels, FreshLevel)
	}
	slices.Sort(levels)
	return levels
}

func (l Load) total() int { return l.Online + l.Batch }

// reportTTL is how long the counts of another host are used. Hosts report
// several times in that period even if nothing changes.
const reportTTL = 1500 * time.Millisecond

const (
	// LateSlack stands for the slack of items that can no longer be on time.
	LateSlack = time.Hour
	// DeferredSlack stands for the slack of items that are not expected to be on time,
	// though they could be. Earlier builds take it for slack: less urgent than any
	// that items have, and more than that of late items.
	DeferredSlack = LateSlack - time.Minute
	// lateTolerance is by how much less such a slack may be reported, as earlier builds
	// count the age of a late backlog down.
	lateTolerance = 10 * time.Second
)

// agedSlack returns a slack of some age. Late and deferred items do not become more
// urgent, or each host would take those of all others, as its reports of them are older
// than its own state, to come before its own.
func agedSlack(slack, age time.Duration) time.Duration {
	for _, constant := range []time.Duration{LateSlack, DeferredSlack} {
		if slack <= constant && slack > constant-lateTolerance {
			return constant
		}
	}
	return slack - age
}

// Backlog describes a host's batch items of one service that wait for a slot.
type Backlog struct {
	// Items is the number of waiting items.
	Items int `json:"n,omitempty"`
	// Slack is that of the most urgent item at the time of the report, in
	// milliseconds: how much later the item could start and still be on time. It
	// is negative if that time has passed since the backlog was set. Items that
	// were already late then count as the least urgent; see package priority.
	Slack int64 `json:"s,omitempty"`
	// Planned is the number of the items that are expected to be on time, Deferred of
	// those that could be but are not expected to; the others are late. Both are 0 from
	// hosts of earlier builds, whose items all count as urgent as the first.
	Planned  int `json:"-"`
	Deferred int `json:"-"`
}

// group is a part of a backlog whose items are equally urgent.
type group struct {
	items int
	slack time.Duration
}

// groups returns the items of a backlog of some age, the most urgent ones first.
func (b Backlog) groups(age time.Duration) []group {
	slack := agedSlack(time.Duration(b.Slack)*time.Millisecond, age)
	if b.Planned+b.Deferred == 0 {
		return []group{{b.Items, slack}}
	}
	var groups []group
	planned := min(b.Planned, b.Items)
	deferred := min(b.Deferred, b.Items-planned)
	for _, g := range []group{{planned, slack}, {deferred, DeferredSlack}, {b.Items - planned - deferred, LateSlack}} {
		if g.items > 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// without returns the groups without the n most urgent items.
func without(groups []group, n int) []group {
	for len(groups) > 0 && n >= groups[0].items {
		n -= groups[0].items
		groups = groups[1:]
	}
	if len(groups) > 0 {
		groups[0].items -= n
	}
	return groups
}

// localBacklog is a backlog of this host with its slack as of a time.
type localBacklog struct {
	Backlog
	at time.Time
}

func (b localBacklog) slackAt(now time.Time) time.Duration {
	return agedSlack(time.Duration(b.Slack)*time.Millisecond, now.Sub(b.at))
}

// localLoad holds this host's requests at one server.
type localLoad struct {
	batch int
	// levels holds the levels of the items that were known of when they were set.
	levels []int
	// expectedEnds holds when the online requests are expected to end.
	expectedEnds []time.Time
}

func (t localLoad) toLoad(now time.Time) Load {
	l := Load{Online: len(t.expectedEnds), Batch: t.batch, Levels: withLevels(t.levels, t.batch)}
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
	local  map[string]localLoad
	others occupancy
	health map[string]*health
	limits *serverlimit.Table
	// meanSlotTimes holds the mean slot time of online requests by service.
	meanSlotTimes map[string]time.Duration
	random        func() float64
	role          Role
	cut           cut
	// If another host coordinates the slots, reserved holds the slots that it
	// granted for batch items, by service, and keep how many batch items may stay
	// at a server.
	reserved map[string][]backend.Server
	keep     map[string]int
	// zones holds the loads of other zones by service.
	zones map[string]map[string]*zoneReport
	// lastGrant is the number of the last batch grant.
	lastGrant uint64
	// backlogs holds the backlogs of this host by service; empty ones have no
	// entry.
	backlogs map[string]localBacklog
	// zonePlanned holds the numbers of planned items in this host's zone by service, as
	// the coordinator counted them.
	zonePlanned map[string]int
	// capacity estimates the speed of the servers, maxWaits holds the shortest wait
	// that requests of a service allowed, and lastEvents when this host last got
	// something of a server.
	capacity   *capacity.Table
	maxWaits   map[string]time.Duration
	lastEvents map[string]time.Time
	changed    func()
}

// New returns a placer for a host. random returns random numbers in [0, 1).
// changed is called with the lock held whenever this host's own counts change or
// its empty backlog gets items.
func New(host, zone string, random func() float64, changed func()) *Placer {
	return &Placer{
		host: host, zone: zone, local: make(map[string]localLoad), others: newOccupancy(),
		health: make(map[string]*health), limits: serverlimit.NewTable(), meanSlotTimes: make(map[string]time.Duration), random: random, changed: changed,
		reserved: make(map[string][]backend.Server), keep: make(map[string]int), zones: make(map[string]map[string]*zoneReport),
		backlogs: make(map[string]localBacklog), zonePlanned: make(map[string]int), capacity: capacity.NewTable(), maxWaits: make(map[string]time.Duration),
		lastEvents: make(map[string]time.Time),
	}
}

// Report stores the status of another host.
func (p *Placer) Report(now time.Time, s Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others.expire(now)
	p.others.set(now, s)
	p.limits.Merge(now, s.Limits)
	for service, reported := range s.SlotTimes {
		m := p.meanSlotTime(service)
		p.meanSlotTimes[service] = m + time.Duration(reportedTimeWeight*float64(reported-m))
	}
}

// reportedTimeWeight is the weight of a mean slot time that another host reports
// in the moving average of this one. A host reports several times a second.
const reportedTimeWeight = 0.01

// SlotTimes returns the mean slot times by service.
func (p *Placer) SlotTimes() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.meanSlotTimes)
}

// LocalState returns the counts and the backlogs of this host as of now. A host
// that is cut off from all servers has no backlogs, as its items can't use a slot.
func (p *Placer) LocalState(now time.Time) (map[string]Load, map[string]Backlog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]Load, len(p.local))
	for server, t := range p.local {
		loads[server] = t.toLoad(now)
	}
	for server, sent := range p.limits.Counts(now) {
		l := loads[server]
		l.Sent = sent
		loads[server] = l
	}
	backlogs := make(map[string]Backlog, len(p.backlogs))
	if p.cut.off {
		return loads, backlogs
	}
	for service, b := range p.backlogs {
		reported := b.Backlog
		reported.Slack = b.slackAt(now).Milliseconds()
		backlogs[service] = reported
	}
	return loads, backlogs
}

// SetBacklog sets the number of this host's batch items of a service that wait
// for a slot, all as urgent as the first, and its slack; see Backlog.
func (p *Placer) SetBacklog(now time.Time, service string, items int, slack time.Duration) {
	p.SetWaiting(now, service, Backlog{Items: items, Slack: slack.Milliseconds()})
}

// SetWaiting sets the backlog of this host's batch items of a service.
func (p *Placer) SetWaiting(now time.Time, service string, b Backlog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	becameNonEmpty := p.backlogs[service].Items == 0 && b.Items > 0
	if b.Items == 0 {
		delete(p.backlogs, service)
	} else {
		p.backlogs[service] = localBacklog{Backlog: b, at: now}
	}
	if becameNonEmpty {
		p.changed()
	}
}

// totalLoad returns the load of all hosts at a server, without expected ends.
func (p *Placer) totalLoad(now time.Time, server string) Load {
	p.others.expire(now)
	local, others := p.local[server], p.others.at(server)
	return Load{Online: len(local.expectedEnds) + others.online, Batch: local.batch + others.batch, Sent: others.sent + p.limits.Sent(now, server)}
}

// remainingTimes returns the expected remaining times of the online requests at
// a server whose mean slot time is slotTime, in ascending order.
func (p *Placer) remainingTimes(now time.Time, s backend.Server, slotTime time.Duration) []time.Duration {
	var times []time.Duration
	for _, end := range p.local[s.ID].expectedEnds {
		times = append(times, max(overdueRemaining, end.Sub(now)))
	}
	for _, l := range p.others.at(s.ID).byHost {
		for _, ms := range l.Ends {
			times = append(times, max(overdueRemaining, l.at.Add(time.Duration(ms)*time.Millisecond).Sub(now)))
		}
		for i := len(l.Ends); i < l.Online; i++ {
			times = append(times, slotTime*time.Duration(i+1)/time.Duration(l.Online+1))
		}
	}
	slices.Sort(times)
	return times
}

func (p *Placer) addOnline(now time.Time, server string, end time.Time) {
	p.limits.RecordSend(now, server)
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

// SetLevels sets the levels of this host's batch items by server; see Load. They are
// told with the next report.
func (p *Placer) SetLevels(levels map[string][]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, t := range p.local {
		t.levels = levels[server]
		slices.Sort(t.levels)
		p.local[server] = t
	}
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
		p.meanSlotTimes[c.Server.Service] = m + time.Duration(slotTimeWeight*float64(p.normalSlotTime(now, c.Server, inSlot)-m))
	}
}

// EndBatch records the end or preemption of a batch item that PlaceBatch placed.
func (p *Placer) EndBatch(now time.Time, s backend.Server, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addBatch(s.ID, -1)
	p.recordOutcome(now, s.ID, o)
}

// MoveBatch moves an item that PlaceBatch placed on a server, and that did not start, to one
// of other servers with a free slot, which it returns. If there is none, the item stays.
func (p *Placer) MoveBatch(now time.Time, from backend.Server, to []backend.Server) (backend.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.freeSlots(now, to, 1) {
		p.addBatch(from.ID, -1)
		p.limits.RecordSend(now, s.ID)
		p.addBatch(s.ID, 1)
		return s, true
	}
	return from, false
}
