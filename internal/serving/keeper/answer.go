package keeper

import (
	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// answer is what the attempts of one request give its reader between them.
type answer struct {
	request *request.Request
	sink    request.Sink
	// transcript is written under the keeper's lock while an attempt runs.
	transcript *engine.Transcript
	// held says that the events wait for the whole answer, because an attempt
	// that is cancelled has to begin from nothing.
	held   bool
	events []request.Event
	// started says that Started was given to the reader.
	started bool
	// left is why the reader takes no more events, nil while it does.
	left   error
	yields int
}

func newAnswer(r *request.Request, sink request.Sink) *answer {
	return &answer{
		request: r, sink: sink, transcript: engine.NewTranscript(r),
		held: r.Urgency() == request.Batch && r.Engine() && !resumable(r.Body()),
	}
}

// resumable reports whether the answer to an engine's call is one text, which
// another attempt can go on from.
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

// take passes an event on, or keeps it.
func (a *answer) take(e request.Event) error {
	if a.held {
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

// restart forgets a cancelled attempt that can't be resumed.
func (a *answer) restart() {
	if !a.held {
		return
	}
	a.events = nil
	a.transcript = engine.NewTranscript(a.request)
}

// flush gives what was held to the reader.
func (a *answer) flush() *result.Error {
	for _, e := range a.events {
		if err := a.sink(e); err != nil {
			return result.New(result.Cancelled, "caller left: %v", err).WithRan(result.RanYes)
		}
	}
	return nil
}
