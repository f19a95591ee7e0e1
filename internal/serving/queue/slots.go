package queue

import "time"

const (
	// reportDelay is how old a report may be; overload is not acted on again
	// within this time.
	reportDelay = 2 * time.Second
	// growInterval is the time without overload after which one slot is
	// restored.
	growInterval = 5 * time.Second
	// Overload removes 1/shrinkDivisor of the current slots, down to
	// 1/minSlotsDivisor of the configured slots.
	shrinkDivisor   = 8
	minSlotsDivisor = 4
	// tokenGapTarget is the time between tokens that is always acceptable;
	// beyond it, the mean may be up to gapTolerance times the best mean
	// observed.
	tokenGapTarget = 36 * time.Millisecond
	gapTolerance   = 2
	// maxGapFactor limits a single gap to this multiple of tokenGapTarget or of
	// the best mean observed, whichever is longer: one long gap concerns its
	// stream, not the backend server.
	maxGapFactor = 4
)

// AdaptiveSlots decides how many requests a backend server runs concurrently:
// the configured number, or fewer while the server shows signs of overload. It
// decreases by a fraction and increases by one, because its observations arrive
// late. The queue's own count of running requests is exact and never corrected
// by a report.
type AdaptiveSlots struct {
	// configured is at least 1; 1 <= current <= configured.
	configured int
	current    int
	// changedAt is when current last changed or overload was last acted on.
	changedAt time.Time
	// queuedReports counts consecutive reports of requests that wait inside the
	// backend server.
	queuedReports int
	tokenGap      movingMean
	// bestGap is the lowest mean gap observed over enough samples, zero before
	// that.
	bestGap time.Duration
}

// NewAdaptiveSlots returns the slots of a backend server without observed
// overload.
func NewAdaptiveSlots(configured int) *AdaptiveSlots {
	configured = max(1, configured)
	return &AdaptiveSlots{configured: configured, current: configured}
}

// Current returns the number of slots.
func (s *AdaptiveSlots) Current() int { return s.current }

// Configure sets the configured number of slots; if it changes, the
// observations are discarded.
func (s *AdaptiveSlots) Configure(slots int) {
	slots = max(1, slots)
	if slots != s.configured {
		*s = *NewAdaptiveSlots(slots)
	}
}

// ObserveQueued records the delayed report of the backend server on how many
// requests wait inside it. A single report of waiting requests may be due to a
// preemption; two consecutive ones count as overload.
func (s *AdaptiveSlots) ObserveQueued(now time.Time, waiting int) {
	if waiting <= 0 {
		s.queuedReports = 0
		return
	}
	if s.queuedReports++; s.queuedReports > 1 {
		s.shrink(now)
	}
}

// ObserveTokenGap records the time between two tokens of one stream.
func (s *AdaptiveSlots) ObserveTokenGap(now time.Time, tokenGap time.Duration) {
	s.tokenGap.add(min(tokenGap, maxGapFactor*max(tokenGapTarget, s.bestGap)))
	if !s.tokenGap.reliable() {
		return
	}
	if s.bestGap == 0 || s.tokenGap.value < s.bestGap {
		s.bestGap = s.tokenGap.value
	}
	if s.tokenGap.value > max(tokenGapTarget, gapTolerance*s.bestGap) {
		s.shrink(now)
	}
}

func (s *AdaptiveSlots) shrink(now time.Time) {
	if now.Sub(s.changedAt) < reportDelay {
		return
	}
	s.changedAt = now
	minimum := max(1, s.configured/minSlotsDivisor)
	s.current = max(min(minimum, s.current), s.current-max(1, s.current/shrinkDivisor))
}

// Tick restores one slot after a period without overload.
func (s *AdaptiveSlots) Tick(now time.Time) {
	if s.current < s.configured && now.Sub(s.changedAt) >= growInterval {
		s.current++
		s.changedAt = now
	}
}
