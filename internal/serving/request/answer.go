package request

import (
	"context"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// EventKind tells the events of an answer apart.
type EventKind uint8

// The events of an answer, in the order in which they may come: at most one
// Started, any number of Data, then exactly one Finished.
const (
	Started EventKind = iota
	Data
	Finished
)

// Event is one step of an answer.
type Event struct {
	Kind EventKind
	// Status and ContentType are set on Started.
	Status      int
	ContentType string
	// Backend is the name of the server, set on Started.
	Backend string
	// Data is a piece of the answer; for engines one JSON chunk of the stream.
	Data []byte
	// Err is set on Finished if the answer is not whole.
	Err *result.Error
}

// Sink takes the events of one answer in order. An error means that nobody
// reads on and the work should be cancelled.
type Sink func(Event) error

// Runner runs one request to its end and reports every event to sink. It
// returns only after the Finished event was given to sink.
type Runner interface {
	Run(ctx context.Context, r *Request, sink Sink)
}
