package buffer

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// lineInterval is the shortest time between two lines of one cause.
const lineInterval = time.Second

// cause is what lines are limited by.
type cause struct {
	kind  Kind
	ended bool
}

// Lines makes log lines of the decisions of a budget, at most one a second for each cause.
// It is safe for concurrent use.
type Lines struct {
	now func() time.Time
	log logr.Logger

	mu sync.Mutex
	// last is when a cause had its last line, skipped how many decisions had none since.
	last    map[cause]time.Time
	skipped map[cause]int
}

// NewLines returns lines that are written to log.
func NewLines(now func() time.Time, log logr.Logger) *Lines {
	return &Lines{now: now, log: log, last: make(map[cause]time.Time), skipped: make(map[cause]int)}
}

// Decided writes the line of a decision, unless its cause had one within the last second.
func (l *Lines) Decided(d Decision) {
	skipped, due := l.due(cause{d.Kind, d.Ended})
	switch {
	case !due:
	case d.Ended:
		l.log.Info("ended for memory", "kind", d.Kind.String(), "bytes", d.Bytes, "held", d.Held, "stalled_ms", d.Stalled.Milliseconds(), "skipped", skipped)
	default:
		l.log.Info("refused for memory", "kind", d.Kind.String(), "bytes", d.Bytes, "held", d.Held, "skipped", skipped)
	}
}

// due reports whether a cause may have a line, and how many decisions had none before.
func (l *Lines) due(c cause) (skipped int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if last, ok := l.last[c]; ok && now.Sub(last) < lineInterval {
		l.skipped[c]++
		return 0, false
	}
	skipped = l.skipped[c]
	l.last[c], l.skipped[c] = now, 0
	return skipped, true
}
