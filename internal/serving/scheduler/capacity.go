package scheduler

import (
	"math"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
)

const (
	// slowTolerance is up to which relative time a server counts as typical. Medians
	// of equal servers differ by up to that much.
	slowTolerance = 1.15
	// slopeTolerance is up to which a server counts as one that slows down no more than
	// others when it runs more requests.
	slopeTolerance = 1.2
	// slowForItems is the relative time from which a server is the last to get items. It
	// is above that of servers whose speed only differs.
	slowForItems = 2.0
	// preferencePenalty bounds the cost of a slow server that meets the objective. An
	// empty one then comes before typical ones with a quarter of their slots free:
	// with a stronger preference, hosts take the last slots of those at the same time,
	// and a wait for a slot is far longer than what a slow server takes longer.
	preferencePenalty = 3 * occupancyPenalty / 4
	// maxSlowPenalty bounds the cost of a server that is too slow for the objective, so
	// that it still gets requests when the others are full.
	maxSlowPenalty = 150 * time.Millisecond
	// maxStep is the longest time between events at which a server meets the usual
	// objective for pauses of 300 ms: single steps take half longer, and 2.5 times as
	// long in slow spells.
	maxStep = 80 * time.Millisecond
	// lateSteps times the excess over maxStep is the cost of the server.
	lateSteps = 2
)

func capacityOf(s backend.Server) capacity.Server {
	return capacity.Server{ID: s.ID, Service: s.Service, Slots: s.Slots}
}

// RecordEvents adds n events of a request of this host at a server, which m measures.
func (p *Placer) RecordEvents(now time.Time, s backend.Server, m *capacity.Meter, n int) {
	sample, ok := m.Add(now, n)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvents[s.ID] = now
	if ok {
		p.observe(now, s, sample)
	}
}

// RecordWhole adds the time of a whole answer that is no stream.
func (p *Placer) RecordWhole(now time.Time, s backend.Server, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvents[s.ID] = now
	p.observe(now, s, capacity.Sample{Kind: capacity.Whole, Took: took, Count: 1})
}

// observe adds a sample of this host. A host that is cut off from all servers measures
// its own connection, not the servers.
func (p *Placer) observe(now time.Time, s backend.Server, sample capacity.Sample) {
	if p.cut.off {
		return
	}
	sample.Load = p.totalLoad(now, s.ID).total()
	p.capacity.Observe(now, capacityOf(s), sample)
}

// LastEvent returns when this host last got an event or an answer of a server, zero if
// never.
func (p *Placer) LastEvent(server string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEvents[server]
}

// Expect returns what is expected of a server at its present load.
func (p *Placer) Expect(now time.Time, s backend.Server) capacity.Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity.Expect(now, capacityOf(s), p.totalLoad(now, s.ID).total())
}

// CapacityReports returns the samples of this host that other hosts have not been told.
func (p *Placer) CapacityReports() []capacity.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity.Reports()
}

// MergeCapacity adds a sample of another host.
func (p *Placer) MergeCapacity(now time.Time, s backend.Server, sample capacity.Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity.Merge(now, capacityOf(s), sample)
}

// CapacityChanges returns the servers whose speed or good concurrency changed notably.
func (p *Placer) CapacityChanges(now time.Time) []capacity.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity.Changes(now, p.objective)
}

// objective is what requests of a service at a server should not exceed: a new one
// has as long to its first event as its route lets it wait for a slot.
func (p *Placer) objective(service string) capacity.Objective {
	return capacity.Objective{First: p.maxWaits[service], Step: maxStep}
}

// relative returns how many times as long as the typical server of its service a
// server takes for one more request; servers of about equal speed count as equal.
func (p *Placer) relative(now time.Time, s backend.Server, l Load) float64 {
	r := p.capacity.Relative(now, capacityOf(s), l.total()+1)
	switch {
	case r > slowTolerance:
		return r / slowTolerance
	case r < 1/slowTolerance:
		return r * slowTolerance
	}
	return 1
}

// slowPenalty returns the cost of a server with load l that takes relative times as long
// as the typical one. Faster servers get no bonus, or all hosts would choose the fastest.
// With a free slot it costs less than a server with a wait beyond maxWait, so that no
// request is refused for it.
func (p *Placer) slowPenalty(now time.Time, s backend.Server, l Load, relative float64, maxWait time.Duration) time.Duration {
	if relative <= 1 {
		return 0
	}
	first, step := p.capacity.Expect(now, capacityOf(s), l.total()+1).Excess(p.objective(s.Service))
	slope := relative / p.relative(now, s, Load{})
	preference := min(preferencePenalty, time.Duration(max(0, slope-slopeTolerance)*float64(occupancyPenalty)))
	return preference + min(maxSlowPenalty, first+lateSteps*step, max(0, maxWait-preferencePenalty-occupancyPenalty-tieBreakJitter))
}

// slotTimeAt returns the mean slot time of a service at a server of a relative speed.
func (p *Placer) slotTimeAt(service string, relative float64) time.Duration {
	return time.Duration(relative * float64(p.meanSlotTime(service)))
}

// batchSlots returns how many requests a server may run so that a batch item is added:
// those that it serves well. Online requests may use all slots. Items on servers that are
// too slow for the objective would do little, and online requests would take the slots of
// others.
func (p *Placer) batchSlots(now time.Time, s backend.Server) int {
	return min(s.Slots, p.capacity.Good(now, capacityOf(s), p.objective(s.Service)))
}

// isSlow reports whether batch items take a slot of a server only if no other is free.
func (p *Placer) isSlow(now time.Time, s backend.Server) bool {
	return p.capacity.Relative(now, capacityOf(s), 1) > slowForItems
}

// noteMaxWait remembers the shortest wait that requests of a service allow. Streams
// that have begun allow more than the objective of their route.
func (p *Placer) noteMaxWait(service string, maxWait time.Duration) {
	if known, ok := p.maxWaits[service]; !ok || maxWait < known {
		p.maxWaits[service] = max(maxWait, minObjective)
	}
}

// minObjective is the least objective, as no server meets a wait of 0.
const minObjective = 100 * time.Millisecond

// normalSlotTime returns the time that a request in a slot for took would have taken at
// the typical server.
func (p *Placer) normalSlotTime(now time.Time, s backend.Server, took time.Duration) time.Duration {
	r := p.relative(now, s, p.totalLoad(now, s.ID))
	return time.Duration(math.Round(float64(took) / r))
}
