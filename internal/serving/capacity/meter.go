package capacity

import "time"

const (
	// stepWindow is the least time over which times between events are averaged, and
	// minSteps the least number of them.
	stepWindow = 250 * time.Millisecond
	minSteps   = 2
)

// Meter measures one request with an answer of events.
type Meter struct {
	// sent is when the request was sent. It is zero if the time to the first event is
	// no sample, as of a request that waited for a slot.
	sent  time.Time
	begun bool
	// from is when the present window began, after an event; steps counts the events
	// since.
	from   time.Time
	steps  int
	paused bool
}

// NewMeter returns the meter of a request that was sent at a time. queued is set if it
// had to wait for a slot.
func NewMeter(sent time.Time, queued bool) Meter {
	if queued {
		return Meter{}
	}
	return Meter{sent: sent}
}

// Pause leaves the time until the next event out, as after a write to a caller that
// reads slowly: the server's events wait in the meantime.
func (m *Meter) Pause() { m.paused = true }

// Add adds n events that arrived together, and returns a sample if there is one. Its
// Load is left to the caller.
func (m *Meter) Add(now time.Time, n int) (Sample, bool) {
	if n <= 0 {
		return Sample{}, false
	}
	if !m.begun {
		m.begun, m.from = true, now
		return Sample{Kind: First, Took: now.Sub(m.sent), Count: 1}, !m.sent.IsZero()
	}
	if m.paused {
		m.paused, m.from, m.steps = false, now, 0
		return Sample{}, false
	}
	m.steps += n
	elapsed := now.Sub(m.from)
	if elapsed < stepWindow || m.steps < minSteps {
		return Sample{}, false
	}
	s := Sample{Kind: Step, Took: elapsed / time.Duration(m.steps), Count: 1}
	m.from, m.steps = now, 0
	return s, true
}
