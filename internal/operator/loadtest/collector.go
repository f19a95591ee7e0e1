package loadtest

import "sync"

// collector aggregates the timings of the calls on one side of a comparison. It
// is safe for concurrent use.
type collector struct {
	mu         sync.Mutex
	firstToken histogram
	tokenGap   histogram
	total      histogram
	calls      int
	failed     int
	tokens     int
}

func newCollector() *collector {
	return &collector{firstToken: newHistogram(), tokenGap: newHistogram(), total: newHistogram()}
}

func (c *collector) add(t streamTiming, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if err != nil {
		c.failed++
		return
	}
	c.firstToken.add(t.firstToken)
	c.total.add(t.total)
	for _, gap := range t.tokenGaps {
		c.tokenGap.add(gap)
	}
	c.tokens += t.tokens
}
