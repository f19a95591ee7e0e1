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
	// maxPendingBytes bounds the outcomes waiting to be recorded. At the bound no
	// new claim is made.
	maxPendingBytes = 16 << 20
	// outcomeRetryInterval is the time between two rounds of retries.
	outcomeRetryInterval = time.Second
	// maxParallelRetries bounds the retries in progress.
	maxParallelRetries = 8
	// outcomeRetryPeriod is how long an outcome is retried before it is dropped.
	outcomeRetryPeriod = 2 * time.Hour
)

// outcomeRetrier retries the recording of outcomes of claimed requests until it
// succeeds, fails for good or the retry period ends. Its memory is bounded by
// refusing new claims; outcomes of requests already claimed are always accepted.
type outcomeRetrier struct {
	timer       timer.Service
	records     Records
	recordEvent func(kind, cause string, subjects ...string)

	mu        sync.Mutex
	pending   []*pendingOutcome
	bytes     int
	running   int
	scheduled bool
}

// pendingOutcome is an outcome waiting to be recorded.
type pendingOutcome struct {
	in         *wire.FinishRequest
	expires    time.Time
	inProgress bool
}

func newOutcomeRetrier(t timer.Service, records Records, recordEvent func(kind, cause string, subjects ...string)) *outcomeRetrier {
	return &outcomeRetrier{timer: t, records: records, recordEvent: recordEvent}
}

// mayRetryFinish reports whether a failed Finish may succeed later.
func mayRetryFinish(e *result.Error) bool {
	return e.Code() == result.StoreUnavailable || e.Code() == result.LeaseLost
}

// full reports whether no new claim may be made.
func (r *outcomeRetrier) full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes >= maxPendingBytes
}

// add adds an outcome to be recorded later.
func (r *outcomeRetrier) add(in *wire.FinishRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, &pendingOutcome{in: in, expires: r.timer.Now().Add(outcomeRetryPeriod)})
	r.bytes += proto.Size(in)
	r.scheduleRetry()
}

// scheduleRetry schedules the next round unless one is scheduled or nothing is
// pending. The caller holds r.mu.
func (r *outcomeRetrier) scheduleRetry() {
	if r.scheduled || len(r.pending) == 0 {
		return
	}
	r.scheduled = true
	r.timer.After(outcomeRetryInterval, func(time.Time) { r.retry() })
}

// retry starts a round of retries, oldest outcome first.
func (r *outcomeRetrier) retry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduled = false
	for _, o := range r.pending {
		if r.running >= maxParallelRetries {
			break
		}
		if !o.inProgress {
			o.inProgress = true
			r.running++
			go r.finish(o)
		}
	}
	r.scheduleRetry()
}

// finish tries once to record o and removes it unless it may be retried.
func (r *outcomeRetrier) finish(o *pendingOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	failure := r.records.Finish(ctx, o.in)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	o.inProgress = false
	expired := r.timer.Now().After(o.expires)
	if failure != nil && mayRetryFinish(failure) && !expired {
		return
	}
	r.remove(o)
	if failure != nil && expired {
		r.recordEvent("record given up", failure.Error(), o.in.GetAttempt(), o.in.GetKey())
	}
}

func (r *outcomeRetrier) remove(o *pendingOutcome) {
	for i, other := range r.pending {
		if other == o {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			r.bytes -= proto.Size(o.in)
			return
		}
	}
}

// wait blocks until no outcome is pending or ctx is done.
func (r *outcomeRetrier) wait(ctx context.Context) {
	ticker := time.NewTicker(outcomeRetryInterval / 10)
	defer ticker.Stop()
	for ctx.Err() == nil && r.len() > 0 {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (r *outcomeRetrier) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}
