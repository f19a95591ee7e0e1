package onlineapi

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// maxLateBytes bounds the outcomes that wait to be recorded; while it is
	// reached, no new claim is made.
	maxLateBytes = 16 << 20
	// lateRetry is the time between two tries.
	lateRetry = time.Second
	// lateParallel bounds the tries under way.
	lateParallel = 8
	// lateKeep is how long an outcome is tried.
	lateKeep = 2 * time.Hour
)

// late holds outcomes of claimed requests whose record failed, and tries them
// again until the record's holder answers. It is bounded in bytes by refusing
// new claims: what is claimed already is always taken.
type late struct {
	timer   timer.Service
	records Records
	note    func(kind, cause string, subjects ...string)

	mu      sync.Mutex
	waiting []*lateOutcome
	bytes   int
	running int
	planned bool
}

type lateOutcome struct {
	in    *wire.FinishRequest
	until time.Time
	busy  bool
}

func newLate(t timer.Service, records Records, note func(kind, cause string, subjects ...string)) *late {
	return &late{timer: t, records: records, note: note}
}

// unsettled reports whether a failed Finish may succeed later.
func unsettled(e *result.Error) bool {
	return e.Code() == result.StoreUnavailable || e.Code() == result.LeaseLost
}

// full reports whether no new claim may be made.
func (l *late) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes >= maxLateBytes
}

// add takes an outcome to be recorded later.
func (l *late) add(in *wire.FinishRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, &lateOutcome{in: in, until: l.timer.Now().Add(lateKeep)})
	l.bytes += proto.Size(in)
	l.plan()
}

// plan makes sure of the next try; the caller holds l.mu.
func (l *late) plan() {
	if l.planned || len(l.waiting) == 0 {
		return
	}
	l.planned = true
	l.timer.After(lateRetry, func(time.Time) { l.try() })
}

// try starts the next tries, oldest first.
func (l *late) try() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planned = false
	for _, o := range l.waiting {
		if l.running >= lateParallel {
			break
		}
		if !o.busy {
			o.busy = true
			l.running++
			go l.finish(o)
		}
	}
	l.plan()
}

func (l *late) finish(o *lateOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	failure := l.records.Finish(ctx, o.in)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	o.busy = false
	expired := l.timer.Now().After(o.until)
	if failure != nil && unsettled(failure) && !expired {
		return
	}
	l.remove(o)
	if failure != nil && expired {
		l.note("record given up", failure.Error(), o.in.GetAttempt(), o.in.GetKey())
	}
}

func (l *late) remove(o *lateOutcome) {
	for i, other := range l.waiting {
		if other == o {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			l.bytes -= proto.Size(o.in)
			return
		}
	}
}

// wait returns when nothing waits or ctx ends.
func (l *late) wait(ctx context.Context) {
	ticker := time.NewTicker(lateRetry / 10)
	defer ticker.Stop()
	for ctx.Err() == nil && l.len() > 0 {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (l *late) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}
