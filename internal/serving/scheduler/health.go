package scheduler

import (
	"math"
	"time"
)

// Outcome is what an attempt shows about the health of its server.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Unknown leaves the server's health as it is, for example because the
	// caller cancelled the request.
	Unknown Outcome = iota
	// Completed is a complete response.
	Completed
	// Overloaded is a rejection because the server had no capacity left.
	Overloaded
	// Failed is a server error, a connection that was lost after the request was
	// sent, or a malformed or incomplete response.
	Failed
	// Unreachable is a failed connection or a timeout.
	Unreachable
)

const (
	// minBackoff is how long a server gets no work after a failure to reach it.
	// The time doubles with each consecutive failure up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// rejectionBackoff is how long a server gets no work after it rejected a
	// request for lack of capacity.
	rejectionBackoff = 100 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure rate of a server that gets
	// no work halves.
	failureHalfLife = 2 * time.Second
	// maxFailurePenalty is the waiting time that is added to the cost of a server
	// that fails every attempt.
	maxFailurePenalty = 400 * time.Millisecond
)

// health is the state of one server's passive health check.
type health struct {
	// backoffUntil is when the server may get work again.
	backoffUntil time.Time
	// consecutiveFailures counts the failures to reach the server since its last
	// complete response, those during a backoff left out.
	consecutiveFailures int
	// failureRate is the moving average of failed attempts, in [0, 1], as of
	// updatedAt.
	failureRate float64
	updatedAt   time.Time
}

// decayedFailureRate returns the failure rate, which decays while no attempt is
// made.
func (h *health) decayedFailureRate(now time.Time) float64 {
	return h.failureRate * math.Exp2(-now.Sub(h.updatedAt).Seconds()/failureHalfLife.Seconds())
}

// recordOutcome updates the health of a server. The caller holds p.mu.
func (p *Placer) recordOutcome(now time.Time, server string, o Outcome) {
	if o == Unknown {
		return
	}
	h := p.health[server]
	if h == nil {
		h = &health{}
		p.health[server] = h
	}
	failed := 0.0
	switch o {
	case Completed:
		h.consecutiveFailures, h.backoffUntil = 0, time.Time{}
	case Overloaded:
		h.backoffUntil = now.Add(rejectionBackoff)
		return
	case Failed:
		failed = 1
	case Unreachable:
		failed = 1
		// An attempt that fails during the backoff began before it, like those that
		// were cut off together.
		if h.consecutiveFailures == 0 || !now.Before(h.backoffUntil) {
			h.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(h.consecutiveFailures, 8)))
			h.consecutiveFailures++
		}
	}
	h.failureRate, h.updatedAt = h.decayedFailureRate(now), now
	h.failureRate += failureWeight * (failed - h.failureRate)
}

// inBackoff reports whether a server gets no work now because it was unreachable
// or at capacity, and returns the waiting time that its failure rate adds to its
// cost. The rates that other hosts report are added to this host's own, which
// sees few of the requests of a large fleet. A host that is cut off from all
// servers goes by the others alone.
func (p *Placer) inBackoff(now time.Time, server string) (bool, time.Duration) {
	rate := p.others.at(server).failureRate
	h := p.health[server]
	if p.cut.off {
		h = nil
	}
	if h != nil {
		rate += h.decayedFailureRate(now)
	}
	return h != nil && now.Before(h.backoffUntil), time.Duration(min(1, rate) * float64(maxFailurePenalty))
}

// RemoveServer drops the health state, the limit and the estimates of a server that
// has been removed.
func (p *Placer) RemoveServer(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.health, server)
	p.limits.Remove(server)
	p.capacity.Remove(server)
	delete(p.lastEvents, server)
}
