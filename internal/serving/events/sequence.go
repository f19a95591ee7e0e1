package events

// Sequence checks that the events of one answer have consecutive numbers. The
// first event of the zero value may have any number.
type Sequence struct {
	last    int64
	started bool
}

// StartAfter returns a sequence whose next event has number n+1.
func StartAfter(n int64) Sequence { return Sequence{last: n, started: true} }

// Last returns the number of the last event, and whether there was one.
func (s *Sequence) Last() (int64, bool) { return s.last, s.started }

// Advance reports whether e is the next event and, if so, advances the sequence.
// An event without a number, or a malformed one, is never the next one.
func (s *Sequence) Advance(e Event) bool {
	if !e.HasID || e.Malformed || (s.started && e.ID != s.last+1) {
		return false
	}
	s.last, s.started = e.ID, true
	return true
}
