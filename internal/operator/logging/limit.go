package logging

import (
	"sync"
	"time"
)

// LineLimit bounds the lines of one kind a second, so that they leave room for others.
// It is safe for concurrent use.
type LineLimit struct {
	perSecond int

	mu     sync.Mutex
	second int64
	lines  int
	// skipped is the number of lines left out since the last one that was not.
	skipped int
}

// NewLineLimit returns a limit of that many lines a second.
func NewLineLimit(perSecond int) *LineLimit { return &LineLimit{perSecond: perSecond} }

// Take reports whether a line may be written now and, if so, how many were left out
// since the last one.
func (l *LineLimit) Take(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines == l.perSecond {
		l.skipped++
		return 0, false
	}
	l.lines++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
