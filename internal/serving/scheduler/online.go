package scheduler

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

const (
	// crossingCost is what another zone costs: a way there and back.
	crossingCost = 7 * time.Millisecond
	// crowdCost is what a server with all slots but one taken costs against an
	// empty one: the chance that another host takes the slot at the same time.
	crowdCost = 12 * time.Millisecond
	// yieldCost is how long a batch item takes to leave its slot.
	yieldCost = 15 * time.Millisecond
	// drawCost spreads hosts that see the same occupancy over equal servers.
	drawCost = 3 * time.Millisecond
	// herdCost spreads hosts over servers whose slots are all taken: the one that
	// is expected to be free first is so for all hosts, and each takes it before
	// it hears of the others.
	herdCost = 120 * time.Millisecond
	// retryShortest and retryLongest bound the time after which a refused
	// request is asked to come back; it is drawn between them, so that those
	// refused together do not return together.
	retryShortest = 300 * time.Millisecond
	retryLongest  = 1500 * time.Millisecond
)

// Choice is the answer of Choose.
type Choice struct {
	Server backend.Server
	// Wait is the time until a slot is expected to be free.
	Wait time.Duration
	// Placed says that the request counts at Server until Ended is called.
	Placed bool
	// InFlight is how many requests of all hosts were seen at Server, Age the age of
	// the oldest count that went into it.
	InFlight  int
	ReportAge time.Duration
	// RetryAfter is set if it was not placed.
	RetryAfter time.Duration
	// end is when a placed request is expected to end; it tells it from others.
	end time.Time
}

// PlaceOnline places an online request on one of the servers, or refuses it if none
// is expected to have a slot within patience. Servers in avoid are left out.
func (p *Placer) PlaceOnline(now time.Time, servers []backend.Server, avoid map[string]bool, patience time.Duration) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Choice
	bestCost := time.Duration(-1)
	for _, mayRest := range []bool{false, true} {
		for _, s := range servers {
			if avoid[s.ID] {
				continue
			}
			resting, failing := p.resting(now, s.ID)
			if resting && !mayRest {
				continue
			}
			l := p.total(now, s.ID)
			wait := p.wait(now, s, l)
			cost := wait + failing + p.nuisance(s, l, wait)
			if bestCost < 0 || cost < bestCost {
				best, bestCost = Choice{Server: s, Wait: wait, InFlight: l.sum()}, cost
			}
		}
		if bestCost >= 0 {
			break
		}
	}
	if bestCost >= 0 {
		best.ReportAge = p.age(now)
	}
	if bestCost < 0 || best.Wait > patience {
		best.Server, best.RetryAfter = backend.Server{}, p.comeBack()
		return best
	}
	best.Placed = true
	best.end = now.Add(best.Wait + p.mean(best.Server.Service))
	p.begin(best.Server.ID, best.end)
	return best
}

// wait estimates how long a new online request waits for a slot of a server with
// a load.
func (p *Placer) wait(now time.Time, s backend.Server, l Load) time.Duration {
	if l.sum() < s.Slots {
		return 0
	}
	// Batch leaves for online, so only what online alone has too much waits: the
	// request starts when so many have ended that a slot is free.
	over := l.Online - s.Slots + 1
	if over <= 0 {
		return yieldCost
	}
	ends := p.residuals(now, s)
	// Requests that take longer than the mean look as if they ended at once, so
	// the ends can't be nearer than the server's rate allows; one more request
	// counts that another host has placed and not told yet.
	paced := p.mean(s.Service) * time.Duration(over+1) / time.Duration(s.Slots)
	return yieldCost + max(paced, ends[min(over, len(ends))-1])
}

// nuisance orders servers that have a slot.
func (p *Placer) nuisance(s backend.Server, l Load, wait time.Duration) time.Duration {
	cost := time.Duration(p.draw() * float64(drawCost))
	if wait > yieldCost || (p.large && s.Zone != p.zone) {
		cost = time.Duration(p.draw() * float64(herdCost))
	}
	cost += crowdCost * time.Duration(min(l.sum(), s.Slots)) / time.Duration(s.Slots)
	if s.Zone != p.zone {
		cost += crossingCost
	}
	return cost
}

func (p *Placer) comeBack() time.Duration {
	return retryShortest + time.Duration(p.draw()*float64(retryLongest-retryShortest))
}
