// Package carriage runs one batch item on one backend server: it sends the item,
// delivers the events of the answer in order, and reports how the run ended for
// the item and for the health of the server. It keeps no state between runs.
package carriage

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/placing"
)

const (
	// firstEventTimeout bounds the wait for the first bytes of an answer, which
	// may include time in the server's queue.
	firstEventTimeout = 3 * time.Second
	// nextEventTimeout bounds the wait between two reads of an answer.
	nextEventTimeout = time.Second
	// readBufferBytes is the size of the buffer for reading an answer.
	readBufferBytes = 32 << 10
)

// Kind says how a run ended and what happens to the item next.
type Kind uint8

// The ways in which a run can end.
const (
	// Again requeues the item and keeps its output.
	Again Kind = iota
	// Afresh requeues the item and discards its output.
	Afresh
	// Crashed means that the server went down during the run. The item is
	// requeued unless too many of its runs ended this way.
	Crashed
	// Whole means that the answer is complete.
	Whole
	// Failed means that the server answered with an internal error. The item may
	// be run again.
	Failed
	// Impossible means that the server rejected the item, so that running it again
	// would not help.
	Impossible
)

// Final reports whether the item may be finished after a run that ended with k.
func (k Kind) Final() bool { return k == Whole || k == Failed || k == Impossible }

// End describes how a run ended.
type End struct {
	Kind Kind
	// Outcome is the result of the run for the health of the server.
	Outcome placing.Outcome
	// Misdirected reports that a different server answered at the address.
	Misdirected bool
	// Cause is a text for the log. It is empty for a complete answer.
	Cause string
}

// Carry runs an item on a server until its answer is complete, ctx is done or
// the run fails. It calls handle with the events in order; their data is valid
// only during the call.
//
// If the server failed during the run and nothing listens at its address any
// more, the end is Crashed instead of Again.
func Carry(ctx context.Context, timers timer.Service, servers exchange.Servers, server backend.Server, call *exchange.Call, resume exchange.Resume,
	handle func([]events.Event)) End {
	end := attempt(ctx, timers, servers, server, call, resume, handle)
	if end.Kind == Again && end.Outcome == placing.Failed && servers.Down(ctx, server) {
		end.Kind = Crashed
	}
	return end
}

// attempt is Carry without the check whether a failed server is down.
func attempt(ctx context.Context, timers timer.Service, servers exchange.Servers, server backend.Server, call *exchange.Call, resume exchange.Resume,
	handle func([]events.Event)) End {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := timers.After(firstEventTimeout, func(time.Time) { cancel() })
	defer func() { timeout.Cancel() }()
	reply, err := servers.Send(sendCtx, server, call, resume, 0)
	if err != nil {
		var sendErr *exchange.SendError
		switch {
		case ctx.Err() != nil:
			return End{Kind: Again, Outcome: placing.Unknown, Cause: "left"}
		case errors.As(err, &sendErr) && (!sendErr.Sent || sendCtx.Err() != nil):
			return End{Kind: Again, Outcome: placing.Unreached, Cause: err.Error()}
		case errors.As(err, &sendErr) && sendErr.Reused:
			return End{Kind: Again, Outcome: placing.Unknown, Cause: err.Error()}
		}
		return End{Kind: Again, Outcome: placing.Failed, Cause: err.Error()}
	}
	defer func() { _ = reply.Body.Close() }()
	switch {
	case reply.Misdirected:
		return End{Kind: Again, Misdirected: true, Cause: "another server answered at the address"}
	case reply.NotRun:
		return End{Kind: Again, Outcome: placing.Full, Cause: "the server refused to run the item"}
	case reply.Status == http.StatusUnprocessableEntity:
		return End{Kind: Impossible, Outcome: placing.Unknown, Cause: "the server says that it can't be done"}
	case reply.Status == http.StatusInternalServerError:
		return End{Kind: Failed, Outcome: placing.Unknown, Cause: "the server failed"}
	case reply.Status != http.StatusOK:
		return End{Kind: Again, Outcome: placing.Failed, Cause: http.StatusText(reply.Status)}
	}
	sequence := events.Sequence{}
	if resume.Set {
		sequence = events.After(resume.After)
	}
	var splitter events.Splitter
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := reply.Body.Read(buffer)
		timeout.Cancel()
		timeout = timers.After(nextEventTimeout, func(time.Time) { cancel() })
		received, splitErr := splitter.Add(buffer[:n])
		if splitErr != nil {
			return End{Kind: Afresh, Outcome: placing.Failed, Cause: splitErr.Error()}
		}
		for i, e := range received {
			if !sequence.Take(e) {
				handle(received[:i])
				return End{Kind: Afresh, Outcome: placing.Failed, Cause: "event out of sequence"}
			}
		}
		handle(received)
		switch {
		case errors.Is(err, io.EOF) && len(splitter.Rest()) == 0:
			return End{Kind: Whole, Outcome: placing.Whole}
		case ctx.Err() != nil:
			return End{Kind: Again, Outcome: placing.Unknown, Cause: "left"}
		case err != nil && sendCtx.Err() != nil:
			return End{Kind: Again, Outcome: placing.Unreached, Cause: "the server stopped sending data"}
		case err != nil:
			return End{Kind: Again, Outcome: placing.Failed, Cause: err.Error()}
		}
	}
}
