package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxNamed is the number of organisations that are counted by name.
	maxNamed = 32
	// rankInterval is the time between two rankings by traffic. Each halves the traffic
	// that was counted before.
	rankInterval = 10 * time.Second
)

// Traffic ranks organisations by the number of their requests.
type Traffic struct {
	requests map[string]float64
	named    map[string]bool
	rankedAt time.Time
}

// NewTraffic returns an empty ranking.
func NewTraffic() *Traffic {
	return &Traffic{requests: make(map[string]float64), named: make(map[string]bool)}
}

// Count counts a request and reports whether its organisation is one of those that are
// counted by name: the first ones, and later those with the most traffic.
func (t *Traffic) Count(organisation string) bool {
	t.requests[organisation]++
	if !t.named[organisation] && len(t.named) < maxNamed {
		t.named[organisation] = true
	}
	return t.named[organisation]
}

// Rank ranks the organisations anew if that is due and returns those that are no longer
// counted by name.
func (t *Traffic) Rank(now time.Time) (dropped []string) {
	if now.Sub(t.rankedAt) < rankInterval {
		return nil
	}
	t.rankedAt = now
	ranked := slices.SortedFunc(maps.Keys(t.requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.requests[b], t.requests[a]), cmp.Compare(a, b))
	})
	before := t.named
	t.named = make(map[string]bool)
	for _, name := range ranked[:min(len(ranked), maxNamed)] {
		t.named[name] = true
	}
	for name := range before {
		if !t.named[name] {
			dropped = append(dropped, name)
		}
	}
	for name := range t.requests {
		if t.requests[name] /= 2; t.requests[name] < 1 {
			delete(t.requests, name)
		}
	}
	return dropped
}
