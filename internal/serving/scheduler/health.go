package scheduler

import (
	"math"
	"time"
)

// Outcome is what an attempt told about its server.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Unknown says nothing about the server, as when the caller left.
	Unknown Outcome = iota
	// Completed is a whole answer.
	Completed
	// Overloaded is a refusal because the server had no room.
	Overloaded
	// Failed is an answer that was a failure of the server or no proper answer.
	Failed
	// Unreachable is no connection, or silence.
	Unreachable
)

const (
	// restFirst is how long a server that could not be reached gets no work;
	// it doubles with each failure in a row up to restMost.
	restFirst = 500 * time.Millisecond
	restMost  = 4 * time.Second
	// fullRest is how long a server that refused for want of room gets no work.
	fullRest = 100 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the failure share.
	failureWeight = 0.15
	// failureHalf is the time in which the failure share of a server that gets
	// no work falls to a half.
	failureHalf = 2 * time.Second
	// failureCost is what a server that fails every attempt costs in waiting
	// time against one that fails none.
	failureCost = 400 * time.Millisecond
)

// health is the passive judgement of one server.
type health struct {
	// restUntil is when it may get work again.
	restUntil time.Time
	// inRow counts failures to reach it since the last answer.
	inRow int
	// failures is the running share of attempts that failed, in [0, 1], as of at.
	failures float64
	at       time.Time
}

// share is the share of attempts that failed, which fades while none is made.
func (h *health) share(now time.Time) float64 {
	return h.failures * math.Exp2(-now.Sub(h.at).Seconds()/failureHalf.Seconds())
}

// judge takes an outcome; the caller holds p.mu.
func (p *Placer) judge(now time.Time, server string, o Outcome) {
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
		h.inRow, h.restUntil = 0, time.Time{}
	case Overloaded:
		h.restUntil = now.Add(fullRest)
		return
	case Failed:
		failed = 1
	case Unreachable:
		failed = 1
		h.restUntil = now.Add(min(restMost, restFirst<<min(h.inRow, 8)))
		h.inRow++
	}
	h.failures, h.at = h.share(now), now
	h.failures += failureWeight * (failed - h.failures)
}

// resting reports whether a server gets no work now, and what its failures cost.
func (p *Placer) resting(now time.Time, server string) (bool, time.Duration) {
	h := p.health[server]
	if h == nil {
		return false, 0
	}
	return now.Before(h.restUntil), time.Duration(h.share(now) * float64(failureCost))
}

// RemoveServer drops what is believed about a server that is gone.
func (p *Placer) RemoveServer(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.health, server)
}
