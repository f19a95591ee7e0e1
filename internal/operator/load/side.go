package load

import "sync"

// side collects the timings of one side of a comparison. It is safe for
// concurrent use.
type side struct {
	mu      sync.Mutex
	first   histogram
	between histogram
	total   histogram
	calls   int
	failed  int
	tokens  int
}

func newSide() *side {
	return &side{first: newHistogram(), between: newHistogram(), total: newHistogram()}
}

func (s *side) add(t timing, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if err != nil {
		s.failed++
		return
	}
	s.first.add(t.first)
	s.total.add(t.total)
	for _, gap := range t.gaps {
		s.between.add(gap)
	}
	s.tokens += t.tokens
}
