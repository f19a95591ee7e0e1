package scheduler

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

const (
	// crossZonePenalty is the round-trip time to another zone.
	crossZonePenalty = 7 * time.Millisecond
	// occupancyPenalty is added to the cost of a full server, and proportionally
	// less to one with free slots: the fewer slots are free, the more likely it
	// is that another host takes the last one at the same time.
	occupancyPenalty = 12 * time.Millisecond
	// preemptionDelay is how long a batch item takes to release its slot.
	preemptionDelay = 15 * time.Millisecond
	// tieBreakJitter bounds the random cost that spreads hosts with the same view
	// of the occupancy over equal servers.
	tieBreakJitter = 3 * time.Millisecond
	// herdJitter bounds the random cost that spreads hosts over servers whose
	// slots are all taken by online requests. All hosts expect the same server to
	// be free first, and would all choose it before they receive each other's
	// counts.
	herdJitter = 120 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the random time after which a refused
	// request should be retried. It is random so that requests refused at the
	// same time are not retried at the same time.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Choice is the result of PlaceOnline.
type Choice struct {
	Server backend.Server
	// Wait is the time until a slot is expected to be free.
	Wait time.Duration
	// Placed reports whether the request was placed. It then counts at Server
	// until EndOnline is called.
	Placed bool
	// InFlight is the known number of requests of all hosts at the chosen server,
	// and ReportAge the age of the oldest host report in use.
	InFlight  int
	ReportAge time.Duration
	// Limited is the number of servers that were passed over because their limits
	// are used up.
	Limited int
	// Zone is set instead of Server if the request is to be placed by the
	// coordinator of another zone.
	Zone string
	// RetryAfter is when to retry a request that was not placed.
	RetryAfter time.Duration
	// expectedEnd is when a placed request is expected to end. It also
	// identifies the request among those of this host at the server.
	expectedEnd time.Time
}

// PlaceOnline places an online request on the server with the lowest cost. It
// refuses the request if that server is not expected to have a free slot within
// maxWait. Servers in avoid and those whose limit is used up are skipped; servers
// in backoff are used only if no other is left.
func (p *Placer) PlaceOnline(now time.Time, servers []backend.Server, avoid map[string]bool, maxWait time.Duration) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.choose(now, servers, avoid, maxWait)
	if c.Placed {
		p.addOnline(now, c.Server.ID, c.expectedEnd)
	}
	return c
}

// choose is PlaceOnline without counting the request at the server.
func (p *Placer) choose(now time.Time, servers []backend.Server, avoid map[string]bool, maxWait time.Duration) Choice {
	p.others.expire(now)
	var best Choice
	bestCost := time.Duration(-1)
	var bestSlotTime time.Duration
	if len(servers) > 0 {
		p.noteMaxWait(servers[0].Service, maxWait)
	}
	limited := 0
	for _, allowBackoff := range []bool{false, true} {
		for _, s := range servers {
			if avoid[s.ID] {
				continue
			}
			allowed, used := p.allowance(now, s.ID)
			if allowed == 0 {
				if !allowBackoff {
					limited++
				}
				continue
			}
			inBackoff, failurePenalty := p.inBackoff(now, s.ID)
			if inBackoff && !allowBackoff {
				continue
			}
			l := p.totalLoad(now, s.ID)
			relative := p.relative(now, s, l)
			slotTime := p.slotTimeAt(s.Service, relative)
			wait := p.wait(now, s, l, slotTime)
			cost := wait + failurePenalty + p.placementPenalty(s, l, wait) + p.slowPenalty(now, s, l, relative, maxWait) + time.Duration(used*float64(limitPenalty))
			if bestCost < 0 || cost < bestCost {
				best, bestCost = Choice{Server: s, Wait: wait, InFlight: l.total()}, cost
				bestSlotTime = slotTime
			}
		}
		if bestCost >= 0 {
			break
		}
	}
	if bestCost >= 0 {
		best.ReportAge = p.others.age(now)
	}
	best.Limited = limited
	if bestCost < 0 || best.Wait > maxWait {
		best.Server, best.RetryAfter = backend.Server{}, p.randomRetryAfter()
		return best
	}
	best.Placed = true
	best.expectedEnd = now.Add(best.Wait + bestSlotTime)
	return best
}

// wait estimates how long a new online request waits for a slot of a server with
// load l and a mean slot time.
func (p *Placer) wait(now time.Time, s backend.Server, l Load, slotTime time.Duration) time.Duration {
	if l.total() < s.Slots {
		return 0
	}
	// Batch items are preempted for online requests, so only online requests
	// count. A slot is free once as many of them as excess have ended.
	excess := l.Online - s.Slots + 1
	if excess <= 0 {
		return preemptionDelay
	}
	remaining := p.remainingTimes(now, s, slotTime)
	// Requests that exceed the mean slot time look as if they were about to end,
	// so the wait is at least what the mean throughput of the server allows. One
	// request is added for those that other hosts have placed but not reported.
	rateBound := slotTime * time.Duration(excess+1) / time.Duration(s.Slots)
	return preemptionDelay + max(rateBound, remaining[min(excess, len(remaining))-1])
}

// placementPenalty returns the part of a server's cost that depends on neither
// its wait nor its health: random jitter, its occupancy and the distance of its
// zone.
func (p *Placer) placementPenalty(s backend.Server, l Load, wait time.Duration) time.Duration {
	cost := time.Duration(p.random() * float64(tieBreakJitter))
	if wait > preemptionDelay {
		cost = time.Duration(p.random() * float64(herdJitter))
	}
	cost += occupancyPenalty * time.Duration(min(l.total(), s.Slots)) / time.Duration(s.Slots)
	if s.Zone != p.zone {
		cost += crossZonePenalty
	}
	return cost
}

// randomRetryAfter returns a random time between minRetryAfter and maxRetryAfter.
func (p *Placer) randomRetryAfter() time.Duration {
	return minRetryAfter + time.Duration(p.random()*float64(maxRetryAfter-minRetryAfter))
}
