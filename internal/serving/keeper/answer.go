package keeper

import (
	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// answer is the state of one request's answer across its attempts.
type answer struct {
	request *request.Request
	sink    request.Sink
	// transcript is protected by Keeper.mu while an attempt runs.
	transcript *engine.Transcript
	// buffered says that events are kept back until the answer is complete,
	// because an attempt that follows a preemption starts from the beginning.
	buffered bool
	events   []request.Event
	// started says that the Started event was delivered to sink.
	started bool
	// sinkErr is the error with which sink failed, nil if it has not failed.
	sinkErr     error
	preemptions int
}

func newAnswer(r *request.Request, sink request.Sink) *answer {
	return &answer{
		request: r, sink: sink, transcript: engine.NewTranscript(r),
		buffered: r.Urgency() == request.Batch && r.Engine() && !resumable(r.Body()),
	}
}

// resumable reports whether the answer to an engine request is a single text,
// which another attempt can continue.
func resumable(body []byte) bool {
	for _, path := range []string{"n", "best_of"} {
		if gjson.GetBytes(body, path).Int() > 1 {
			return false
		}
	}
	for _, path := range []string{"tools", "functions"} {
		if gjson.GetBytes(body, path).Exists() {
			return false
		}
	}
	return true
}

// deliver passes an event to sink, or keeps it if the answer is buffered. If it
// is not buffered, only the first Started event is passed on.
func (a *answer) deliver(e request.Event) error {
	if a.buffered {
		a.events = append(a.events, e)
		return nil
	}
	if e.Kind == request.Started {
		if a.started {
			return nil
		}
		a.started = true
	}
	return a.sink(e)
}

// reset drops the output of a preempted attempt that can't be resumed.
func (a *answer) reset() {
	if !a.buffered {
		return
	}
	a.events = nil
	a.transcript = engine.NewTranscript(a.request)
}

// flush passes the buffered events to sink.
func (a *answer) flush() *result.Error {
	for _, e := range a.events {
		if err := a.sink(e); err != nil {
			return result.New(result.Cancelled, "caller left: %v", err).WithRan(result.RanYes)
		}
	}
	return nil
}
