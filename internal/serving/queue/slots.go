package queue

import "time"

const (
	// reportLag is how long a report may be old; one fault is not acted on
	// twice within it.
	reportLag = 2 * time.Second
	// growEvery is the quiet time for each slot that comes back.
	growEvery = 5 * time.Second
	// shrinkPart and leastPart are parts of the slots: how many one fault
	// takes, and below which no fault takes any.
	shrinkPart = 8
	leastPart  = 4
	// gapTarget is the time between tokens that is always good enough;
	// gapGrowth is how often the best seen mean may be exceeded beyond it.
	gapTarget = 36 * time.Millisecond
	gapGrowth = 2
	// gapMost is how much of one gap counts, in what is good enough: a single
	// long one is that stream's, not the back end's.
	gapMost = 4
)

// AdaptiveSlots decides how many requests a back end is given side by side: as many as
// configured, fewer while it shows that this is too much. It decreases by a
// part and increases by one, since what it learns comes late; the count of the
// queue itself is exact and never corrected by a report.
type AdaptiveSlots struct {
	// configured is at least 1; 1 <= current <= configured.
	configured int
	current    int
	// changed is when current last changed or a fault was last seen.
	changed time.Time
	// queued counts the reports in a row of requests that wait inside.
	queued int
	gap    mean
	// best is the least mean gap seen with enough samples, zero before.
	best time.Duration
}

// NewAdaptiveSlots returns the slots of a back end that has shown no fault.
func NewAdaptiveSlots(configured int) *AdaptiveSlots {
	configured = max(1, configured)
	return &AdaptiveSlots{configured: configured, current: configured}
}

// Current returns the number of slots.
func (s *AdaptiveSlots) Current() int { return s.current }

// Configure takes a new configured number and forgets what was observed.
func (s *AdaptiveSlots) Configure(slots int) {
	slots = max(1, slots)
	if slots != s.configured {
		*s = *NewAdaptiveSlots(slots)
	}
}

// ObserveQueued takes the back end's own, late report on how many requests wait
// inside of it. One report may have caught a yield in progress; two in a row
// are a fault.
func (s *AdaptiveSlots) ObserveQueued(now time.Time, waiting int) {
	if waiting <= 0 {
		s.queued = 0
		return
	}
	if s.queued++; s.queued > 1 {
		s.shrink(now)
	}
}

// ObserveTokenGap takes the time between two tokens of one stream.
func (s *AdaptiveSlots) ObserveTokenGap(now time.Time, gap time.Duration) {
	s.gap.add(min(gap, gapMost*max(gapTarget, s.best)))
	if !s.gap.known() {
		return
	}
	if s.best == 0 || s.gap.value < s.best {
		s.best = s.gap.value
	}
	if s.gap.value > max(gapTarget, gapGrowth*s.best) {
		s.shrink(now)
	}
}

func (s *AdaptiveSlots) shrink(now time.Time) {
	if now.Sub(s.changed) < reportLag {
		return
	}
	s.changed = now
	least := max(1, s.configured/leastPart)
	s.current = max(min(least, s.current), s.current-max(1, s.current/shrinkPart))
}

// Tick gives a slot back after a quiet time.
func (s *AdaptiveSlots) Tick(now time.Time) {
	if s.current < s.configured && now.Sub(s.changed) >= growEvery {
		s.current++
		s.changed = now
	}
}
