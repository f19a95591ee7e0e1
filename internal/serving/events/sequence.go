package events

// Sequence checks the numbers of the events of one answer.
type Sequence struct {
	last int64
	any  bool
}

// StartAfter returns a sequence whose next event is n+1.
func StartAfter(n int64) Sequence { return Sequence{last: n, any: true} }

// Last returns the number of the last event, and whether there was one.
func (s *Sequence) Last() (int64, bool) { return s.last, s.any }

// Advance reports whether e is the next event, and if so goes on to it. Events
// without a number break the sequence.
func (s *Sequence) Advance(e Event) bool {
	if !e.HasID || (s.any && e.ID != s.last+1) {
		return false
	}
	s.last, s.any = e.ID, true
	return true
}
