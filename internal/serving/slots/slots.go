// Package slots gives online requests and batch items the slots of the backend
// servers.
//
// In a fleet whose hosts all report to each other, every host has nearly the same
// view of the occupancy and places its requests by it. In a larger fleet the
// reports would be too many, and views that are older than a request takes to
// arrive let hosts overfill servers. There one host of each zone, its first
// relay, is the coordinator of the zone's slots: the hosts ask it for a slot
// before each online request, and it grants slots to their batch items and tells
// them which items to preempt. The decisions are those of scheduler.Placer, made
// on the coordinator's view.
//
// No request depends on the coordinator: a host that gets no answer in a few
// round-trip times places the request by its own, less accurate view, and soon
// asks the next relay. Two coordinators at once may give a slot twice; one of the
// requests then waits in the server's queue.
package slots

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

const (
	// initialRoundTrip is the assumed time from an ask to its answer, before any
	// was measured. roundTripWeight is the weight of the newest in the average.
	initialRoundTrip = 8 * time.Millisecond
	roundTripWeight  = 0.1
	// An ask is given up after timeoutRoundTrips times the average, between
	// minAskTimeout and maxAskTimeout.
	timeoutRoundTrips = 4
	minAskTimeout     = 15 * time.Millisecond
	maxAskTimeout     = 60 * time.Millisecond
	// maxMisses is how many asks in a row a coordinator may leave unanswered
	// before it is passed over.
	maxMisses = 3
	// passSpacing is the least time between two passes of a coordinator over the
	// waiting batch items.
	passSpacing = 4 * time.Millisecond
)

var (
	asksTotal       = metrics.NewCounter("kingcupquay_slots_asks_total")
	unansweredTotal = metrics.NewCounter("kingcupquay_slots_unanswered_total")
	referredTotal   = metrics.NewCounter("kingcupquay_slots_referred_total")
	grantedTotal    = metrics.NewCounter("kingcupquay_slots_granted_total")
	askSeconds      = metrics.NewHistogram("kingcupquay_slots_ask_seconds")

	samplesTotal         = metrics.NewCounter("kingcupquay_capacity_samples_received_total")
	capacityChangesTotal = metrics.NewCounter("kingcupquay_capacity_changes_total")
)

// Network sends messages to other hosts and tells which hosts coordinate.
type Network interface {
	// Coordinator returns the host that coordinates the slots of a zone. It
	// returns false if there is none, as in a fleet whose hosts all report to each
	// other.
	Coordinator(zone string) (notice.Member, bool)
	// Member returns the last known description of a host.
	Member(host string) (notice.Member, bool)
	// Suspect reports that a host did not answer, so that it is passed over.
	Suspect(host string)
	// SendNotice sends this host's status, which contains its asks, to an address.
	SendNotice(address string)
	SendAnswers(address string, a notice.Answers)
}

// Alone is the Network of a host without others.
type Alone struct{}

var _ Network = Alone{}

// Coordinator returns false.
func (Alone) Coordinator(string) (notice.Member, bool) { return notice.Member{}, false }

// Member returns false.
func (Alone) Member(string) (notice.Member, bool) { return notice.Member{}, false }

// Suspect does nothing.
func (Alone) Suspect(string) {}

// SendNotice does nothing.
func (Alone) SendNotice(string) {}

// SendAnswers does nothing.
func (Alone) SendAnswers(string, notice.Answers) {}

// Slots places the requests of one host. It is safe for concurrent use.
type Slots struct {
	self      notice.Member
	timer     timer.Service
	log       logr.Logger
	placer    *scheduler.Placer
	directory *backend.Directory
	network   Network
	// batchChanged is called when slots were granted or items must be preempted.
	batchChanged func()

	trigger chan struct{}
	done    chan struct{}
	wg      sync.WaitGroup

	// mu is held while an answer turns an ask into a counted request, so that
	// each status contains either the ask or the request. It is locked before the
	// locks of the placer and the directory.
	mu      sync.Mutex
	lastAsk uint64
	asks    map[uint64]*ask
	// batchSeen is the number of the last batch grant, by the coordinator whose
	// start is batchSeenStart.
	batchSeen      uint64
	batchSeenStart int64
	// namedAt is when another host last named this one as its coordinator.
	namedAt time.Time
	// misses holds the asks in a row that a coordinator left unanswered, and
	// roundTrips the average time to an answer.
	misses     map[string]int
	roundTrips map[string]time.Duration
}

// ask is an ask that waits for its answer.
type ask struct {
	scheduler.Ask
	coordinator string
	answer      chan scheduler.Choice
}

// New returns the slots of the host self. batchChanged is called when the host's
// batch items have to be scheduled.
func New(t timer.Service, log logr.Logger, self notice.Member, placer *scheduler.Placer, directory *backend.Directory, network Network, batchChanged func()) *Slots {
	return &Slots{
		self: self, timer: t, log: log, placer: placer, directory: directory, network: network, batchChanged: batchChanged,
		trigger: make(chan struct{}, 1), done: make(chan struct{}), asks: make(map[uint64]*ask), misses: make(map[string]int),
		roundTrips: make(map[string]time.Duration),
	}
}

// Start begins to coordinate whenever this host is the coordinator of its zone.
func (s *Slots) Start() {
	s.wg.Add(1)
	go s.coordinate()
}

// Close ends the work of Start.
func (s *Slots) Close() {
	close(s.done)
	s.wg.Wait()
}

// PlaceOnline places an online request of a service; see scheduler.Placer. It
// returns the number of servers that it could choose from.
//
// If software is not empty, only servers with that software version are chosen,
// also those in avoid if there are no others. The host then decides by its own
// view, since coordinators do not distinguish versions.
func (s *Slots) PlaceOnline(ctx context.Context, service, software string, avoid map[string]bool, maxWait time.Duration) (scheduler.Choice, int) {
	if software != "" {
		servers := s.directory.UsableWith(service, software)
		if !slices.ContainsFunc(servers, func(b backend.Server) bool { return !avoid[b.ID] }) {
			avoid = nil
		}
		return s.placer.PlaceOnline(s.timer.Now(), servers, avoid, maxWait), len(servers)
	}
	servers := s.directory.Usable(service)
	coordinator, coordinated := s.network.Coordinator(s.self.Zone)
	if !coordinated || len(servers) == 0 {
		return s.placer.PlaceOnline(s.timer.Now(), servers, avoid, maxWait), len(servers)
	}
	a := scheduler.Ask{Service: service, MaxWait: maxWait, Avoid: slices.Sorted(maps.Keys(avoid))}
	c, answered := s.askZone(ctx, coordinator, a)
	if answered && c.Zone != "" {
		referredTotal.Inc()
		c, answered = s.placeReferred(ctx, coordinator, c.Zone, a)
	}
	if !answered || !c.Placed && c.Limited == 0 && len(s.directory.UsableIn(service, s.self.Zone)) == 0 {
		// The coordinator of a zone without servers of the service has none to choose from.
		c = s.placer.PlaceOnline(s.timer.Now(), s.nearest(service, servers), avoid, maxWait)
	}
	return c, len(servers)
}

// placeReferred asks the coordinator of another zone, and this zone's again if
// that does not place the request.
func (s *Slots) placeReferred(ctx context.Context, coordinator notice.Member, zone string, a scheduler.Ask) (scheduler.Choice, bool) {
	a.Final = true
	if other, ok := s.network.Coordinator(zone); ok {
		if c, answered := s.askZone(ctx, other, a); answered && c.Placed {
			return c, true
		}
	}
	return s.askZone(ctx, coordinator, a)
}

// nearest returns the servers of this host's zone, or all if it has none.
func (s *Slots) nearest(service string, servers []backend.Server) []backend.Server {
	if near := s.directory.UsableIn(service, s.self.Zone); len(near) > 0 {
		return near
	}
	return servers
}

// askZone asks a coordinator, which may be this host, to place a request. It
// returns false if there was no answer in time.
func (s *Slots) askZone(ctx context.Context, coordinator notice.Member, a scheduler.Ask) (scheduler.Choice, bool) {
	if coordinator.Host == s.self.Host {
		c := s.placer.GrantOnline(s.timer.Now(), s.self.Host, a, s.directory.UsableIn(a.Service, s.self.Zone))
		s.afterGrant(c)
		return c, true
	}
	asksTotal.Inc()
	began := s.timer.Now()
	s.mu.Lock()
	s.lastAsk++
	a.ID = s.lastAsk
	waiting := &ask{Ask: a, coordinator: coordinator.Host, answer: make(chan scheduler.Choice, 1)}
	s.asks[a.ID] = waiting
	timeout := s.timeout(coordinator.Host)
	s.mu.Unlock()
	s.network.SendNotice(coordinator.Address)
	timedOut := make(chan struct{})
	sub := s.timer.After(timeout, func(time.Time) { close(timedOut) })
	defer sub.Cancel()
	select {
	case c := <-waiting.answer:
		s.recordAnswer(coordinator.Host, s.timer.Now().Sub(began))
		return c, true
	case <-timedOut:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asks, a.ID)
	select {
	case c := <-waiting.answer:
		// It was answered at the last moment and counts already.
		return c, true
	default:
	}
	if ctx.Err() == nil {
		s.recordMiss(coordinator.Host, timeout)
	}
	return scheduler.Choice{}, false
}

// timeout returns how long to wait for an answer of a coordinator. The caller
// holds s.mu.
func (s *Slots) timeout(coordinator string) time.Duration {
	roundTrip, known := s.roundTrips[coordinator]
	if !known {
		roundTrip = initialRoundTrip
	}
	return min(maxAskTimeout, max(minAskTimeout, timeoutRoundTrips*roundTrip))
}

func (s *Slots) recordAnswer(coordinator string, took time.Duration) {
	askSeconds.Update(took.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.misses, coordinator)
	roundTrip, known := s.roundTrips[coordinator]
	if !known {
		roundTrip = initialRoundTrip
	}
	s.roundTrips[coordinator] = roundTrip + time.Duration(roundTripWeight*float64(took-roundTrip))
}

// recordMiss counts an ask without an answer. The caller holds s.mu.
func (s *Slots) recordMiss(coordinator string, timeout time.Duration) {
	unansweredTotal.Inc()
	s.misses[coordinator]++
	s.log.Info("no answer from the coordinator", "coordinator", coordinator, "after_ms", timeout.Milliseconds(), "in_a_row", s.misses[coordinator])
	if s.misses[coordinator] >= maxMisses {
		delete(s.misses, coordinator)
		s.network.Suspect(coordinator)
	}
}

// EndOnline records the end of a request that PlaceOnline placed; see
// scheduler.Placer.
func (s *Slots) EndOnline(now time.Time, c scheduler.Choice, took time.Duration, o scheduler.Outcome) {
	s.placer.EndOnline(now, c, took, o)
}

// RecordEvents adds events that a server brought for a request of this host.
func (s *Slots) RecordEvents(now time.Time, b backend.Server, m *capacity.Meter, n int) {
	s.placer.RecordEvents(now, b, m, n)
}

// RecordWhole adds the time of a whole answer that is no stream.
func (s *Slots) RecordWhole(now time.Time, b backend.Server, took time.Duration) {
	s.placer.RecordWhole(now, b, took)
}

// LastEvent returns when this host last got an event or a whole answer of a server.
func (s *Slots) LastEvent(server string) time.Time { return s.placer.LastEvent(server) }

// Expect returns what is expected of a server at its present load.
func (s *Slots) Expect(now time.Time, b backend.Server) capacity.Estimate {
	return s.placer.Expect(now, b)
}

// Fill adds this host's requests to its status.
func (s *Slots) Fill(n *notice.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	n.Loads, n.Backlogs = s.placer.LocalState(now)
	n.Limits = s.placer.OwnLimits(now)
	n.BatchSeen, n.BatchSeenStart = s.batchSeen, s.batchSeenStart
	for _, a := range s.asks {
		n.Asks = append(n.Asks, a.Ask)
	}
	if c, coordinated := s.network.Coordinator(s.self.Zone); coordinated {
		n.Coordinator = c.Host
		n.FailureRates, n.SlotTimes = s.placer.FailureRates(now), s.placer.SlotTimes()
	}
}

// HandleNotice stores the status of another host and answers its asks.
func (s *Slots) HandleNotice(n notice.Notice) {
	now := s.timer.Now()
	status := scheduler.Status{Host: n.Host, Zone: n.Zone, Loads: n.Loads, Backlogs: n.Backlogs, Asks: n.Asks, FailureRates: n.FailureRates, SlotTimes: n.SlotTimes, Limits: n.Limits, Coordinator: n.Coordinator}
	if n.BatchSeenStart == s.self.Start {
		status.BatchSeen = n.BatchSeen
	}
	s.placer.Report(now, status)
	s.mergeCapacity(now, n.Capacity)
	if n.Coordinator == s.self.Host {
		s.mu.Lock()
		s.namedAt = now
		s.mu.Unlock()
	}
	var answers notice.Answers
	var taken []backend.Server
	for _, a := range n.Asks {
		c := s.placer.GrantOnline(now, n.Host, a, s.directory.UsableIn(a.Service, s.self.Zone))
		answers.Answers = append(answers.Answers, notice.Answer{ID: a.ID, Choice: c})
		if c.Placed {
			taken = append(taken, c.Server)
		}
	}
	if len(answers.Answers) > 0 {
		s.network.SendAnswers(n.Address, answers)
	}
	s.preempt(now, taken)
	signal(s.trigger)
}

// mergeCapacity adds the samples of another host.
func (s *Slots) mergeCapacity(now time.Time, reports []capacity.Report) {
	for _, r := range reports {
		if server, usable := s.directory.Get(r.Server); usable {
			samplesTotal.Inc()
			s.placer.MergeCapacity(now, server, r.Sample)
		}
	}
}

// logCapacity logs the servers whose speed or good concurrency changed notably.
func (s *Slots) logCapacity(now time.Time) {
	for _, c := range s.placer.CapacityChanges(now) {
		capacityChangesTotal.Inc()
		s.log.Info("capacity of a server", "server", c.Server.ID, "service", c.Server.Service, "slots", c.Server.Slots, "good", c.Good,
			"relative_pct", int(100*c.Relative), "samples", c.Cells)
	}
}

// afterGrant preempts batch items for a request of this host.
func (s *Slots) afterGrant(c scheduler.Choice) {
	if c.Placed {
		s.preempt(s.timer.Now(), []backend.Server{c.Server})
		s.batchChanged()
	}
}

// preempt tells the hosts with too many batch items at the servers to preempt
// some.
func (s *Slots) preempt(now time.Time, servers []backend.Server) {
	byHost := make(map[string][]scheduler.Keep)
	for _, k := range s.placer.PreemptBatch(now, servers) {
		byHost[k.Host] = append(byHost[k.Host], k)
	}
	for host, list := range byHost {
		s.sendTo(host, notice.Answers{Keep: list})
	}
}

func (s *Slots) sendTo(host string, a notice.Answers) {
	if m, known := s.network.Member(host); known {
		s.network.SendAnswers(m.Address, a)
	}
}

// HandleAnswers applies what a coordinator sent.
func (s *Slots) HandleAnswers(a notice.Answers) {
	now := s.timer.Now()
	s.mu.Lock()
	for _, answer := range a.Answers {
		waiting := s.asks[answer.ID]
		if waiting == nil || waiting.coordinator != a.Host {
			continue
		}
		c := answer.Choice
		if c.Placed {
			server, usable := s.directory.Get(c.Server.ID)
			if usable && server.Service == waiting.Service {
				reportAge := c.ReportAge
				c = s.placer.TakeOnline(now, server, c.Wait)
				c.ReportAge = reportAge
			} else {
				// This host knows of a change that the coordinator does not.
				continue
			}
		}
		delete(s.asks, answer.ID)
		waiting.answer <- c
	}
	taken := s.takeBatch(now, a)
	s.mu.Unlock()
	for _, k := range a.Keep {
		s.placer.KeepBatch(k.Server, k.Items)
	}
	if taken || len(a.Keep) > 0 {
		s.batchChanged()
	}
}

// takeBatch counts the batch grants that are new, and reports whether there were
// any. The caller holds s.mu.
func (s *Slots) takeBatch(now time.Time, a notice.Answers) bool {
	if len(a.Batch) == 0 {
		return false
	}
	if a.Start != s.batchSeenStart {
		s.batchSeen, s.batchSeenStart = 0, a.Start
	}
	taken := false
	for _, g := range a.Batch {
		if g.Number <= s.batchSeen {
			continue
		}
		s.batchSeen = g.Number
		if server, usable := s.directory.Get(g.Server); usable {
			s.placer.TakeBatch(now, server)
			taken = true
		}
	}
	return taken
}

// HandleSummary stores the loads that a relay reported.
func (s *Slots) HandleSummary(m notice.Summary) {
	now := s.timer.Now()
	s.placer.MergeLimits(now, m.Limits)
	if m.Zone != s.self.Zone {
		s.placer.SetZoneLoads(now, m.Zone, m.Services)
		return
	}
	if c, ok := s.network.Coordinator(s.self.Zone); ok && c.Host == m.Host && m.Loads != nil {
		s.placer.SetServerLoads(now, m.Loads)
		s.placer.SetZonePlanned(m.Services)
	}
}

// FillSummary adds the loads of this zone's servers to a summary.
func (s *Slots) FillSummary(m *notice.Summary) {
	now := s.timer.Now()
	var servers []backend.Server
	for _, service := range s.directory.Services() {
		servers = append(servers, s.directory.UsableIn(service, s.self.Zone)...)
	}
	m.Services, m.Loads, m.Limits = s.placer.ZoneLoads(now, servers), s.placer.ServerLoads(now, servers), s.placer.Limits(now)
}

// coordinate makes a pass over the waiting batch items after each report while
// this host is the coordinator.
func (s *Slots) coordinate() {
	defer s.wg.Done()
	for {
		select {
		case <-s.trigger:
		case <-s.done:
			return
		}
		role := s.role()
		s.placer.SetRole(role)
		if role == scheduler.Coordinator || role == scheduler.Coordinated && s.isNamed() {
			s.pass()
		}
		if !timer.Pause(s.timer, s.done, passSpacing) {
			return
		}
	}
}

// namedPeriod is how long a host grants slots to those that named it as their
// coordinator although it knows another one. Hosts report several times in it.
const namedPeriod = time.Second

// isNamed reports whether other hosts take this one for their coordinator.
func (s *Slots) isNamed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.namedAt.IsZero() && s.timer.Now().Sub(s.namedAt) <= namedPeriod
}

func (s *Slots) role() scheduler.Role {
	c, coordinated := s.network.Coordinator(s.self.Zone)
	switch {
	case !coordinated:
		return scheduler.Independent
	case c.Host == s.self.Host:
		return scheduler.Coordinator
	}
	return scheduler.Coordinated
}

// Tick updates who coordinates and logs changes of servers. The host calls it
// regularly.
func (s *Slots) Tick() {
	signal(s.trigger)
	s.logCapacity(s.timer.Now())
}

// pass grants free slots to batch items and preempts items on servers with more
// requests than slots.
func (s *Slots) pass() {
	now := s.timer.Now()
	for _, service := range s.directory.Services() {
		servers := s.directory.UsableIn(service, s.self.Zone)
		if len(servers) == 0 {
			servers = s.directory.UsableIn(service, s.placer.SpareZone(now, service))
		}
		s.preempt(now, servers)
		for host, grants := range s.placer.GrantBatch(now, service, servers) {
			grantedTotal.Inc()
			s.sendTo(host, notice.Answers{Batch: grants})
		}
	}
	s.batchChanged()
}

// signal sends on c unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
