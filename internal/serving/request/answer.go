package request

import (
	"context"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// EventKind is the kind of an event of an answer.
type EventKind uint8

// The kinds of events, in the order in which an answer has them: at most one
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
	// Data is a part of the answer; for engines, one JSON chunk of the stream.
	Data []byte
	// Err is set on Finished if the answer is incomplete.
	Err *result.Error
}

// Sink receives the events of one answer in order. An error means that the
// reader is gone and the request should be cancelled.
type Sink func(Event) error

// Runner runs one request to its end and passes every event to sink. It returns
// only after sink has received the Finished event.
type Runner interface {
	Run(ctx context.Context, r *Request, sink Sink)
}
