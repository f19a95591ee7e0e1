// Package itemrun runs one batch item on one backend server: it sends the item,
// delivers the events of the answer in order, and reports how the run ended for
// the item and for the health of the server. It keeps no state between runs.
package itemrun

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
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
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
	// Requeue requeues the item and keeps its output.
	Requeue Kind = iota
	// RequeueFromStart requeues the item and discards its output.
	RequeueFromStart
	// Crashed means that the server went down during the run. The item is
	// requeued, with a delay if several of its runs ended this way.
	Crashed
	// Completed means that the answer is complete.
	Completed
	// Failed means that the server answered with an internal error. The item may
	// be run again.
	Failed
	// Rejected means that the server rejected the item, so that running it again
	// would not help.
	Rejected
)

// MayFinish reports whether the item may be finished after a run that ended with
// k.
func (k Kind) MayFinish() bool { return k == Completed || k == Failed || k == Rejected }

// Reason says why a run ended before the answer was complete.
type Reason string

// The reasons for which a run is cut.
const (
	// Left means that the caller of Run cancelled it.
	Left Reason = "left"
	// Withdrawn means that the item was not sent since it may not be any more.
	Withdrawn Reason = "withdrawn"
	// Unreachable means that the item could not be sent.
	Unreachable Reason = "server not reached"
	// Silent means that the server sent nothing for too long.
	Silent Reason = "server silent"
	// ConnectionLost means that the connection ended, and the server is not known to
	// have crashed.
	ConnectionLost Reason = "connection lost"
	// ServerCrashed means that the server went down.
	ServerCrashed Reason = "server crashed"
	// ServerRefused means that the server had no room for the item.
	ServerRefused Reason = "server refused"
	// WrongServer means that another server answered at the address.
	WrongServer Reason = "wrong server"
	// Unmet means that the server doesn't meet what the item expects of it.
	Unmet Reason = "expectation unmet"
	// BadAnswer means that the answer was none of an item.
	BadAnswer Reason = "bad answer"
)

// End describes how a run ended.
type End struct {
	Kind Kind
	// Reason is why the run was cut, empty if the item may be finished.
	Reason Reason
	// Outcome is the result of the run for the health of the server.
	Outcome scheduler.Outcome
	// Misdirected reports that a different server answered at the address.
	Misdirected bool
	// Cause is a text for the log. It is empty for a complete answer.
	Cause string

	// Lost is set if the connection to the server ended under the run, and the server is
	// not known to have crashed.
	Lost bool
}

// Run runs an item on a server until its answer is complete, ctx is done or the
// run fails. It calls handle with the events in order.
//
// If the server failed during the run and has crashed, the end is Crashed instead
// of Requeue.
func Run(ctx context.Context, timers timer.Service, servers exchange.MonitoredServers, server backend.Server, call *exchange.Call, resume exchange.Resume,
	handle func([]events.Event)) End {
	end := attempt(ctx, timers, servers, server, call, resume, handle)
	if end.Kind == Requeue && (end.Lost || end.Outcome == scheduler.Failed) && servers.Crashed(ctx, server) {
		end.Kind, end.Reason, end.Outcome, end.Lost = Crashed, ServerCrashed, scheduler.Failed, false
	}
	return end
}

// attempt is Run without the check whether a failed server has crashed.
func attempt(ctx context.Context, timers timer.Service, servers exchange.MonitoredServers, server backend.Server, call *exchange.Call, resume exchange.Resume,
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
			return End{Kind: Requeue, Reason: Left, Outcome: scheduler.Unknown, Cause: "left"}
		case errors.Is(err, exchange.ErrWithdrawn) && sendCtx.Err() == nil:
			return End{Kind: Requeue, Reason: Withdrawn, Outcome: scheduler.Unknown, Cause: err.Error()}
		case errors.As(err, &sendErr) && (!sendErr.Sent || sendCtx.Err() != nil):
			reason := Unreachable
			if sendErr.Sent {
				reason = Silent
			}
			return End{Kind: Requeue, Reason: reason, Outcome: scheduler.Unreachable, Cause: err.Error()}
		case errors.As(err, &sendErr) && sendErr.Reused:
			// The server may have closed it before the item reached it.
			return End{Kind: Requeue, Reason: ConnectionLost, Outcome: scheduler.Unknown, Cause: err.Error(), Lost: true}
		}
		return End{Kind: Requeue, Reason: ConnectionLost, Outcome: scheduler.Failed, Cause: err.Error(), Lost: true}
	}
	defer func() { _ = reply.Body.Close() }()
	switch {
	case reply.Misdirected:
		return End{Kind: Requeue, Reason: WrongServer, Misdirected: true, Cause: "another server answered at the address"}
	case reply.Unmet:
		return End{Kind: Requeue, Reason: Unmet, Outcome: scheduler.Unknown, Cause: "the server does not meet what the item expects of it"}
	case reply.NotRun:
		return End{Kind: Requeue, Reason: ServerRefused, Outcome: scheduler.Overloaded, Cause: "the server refused to run the item"}
	case reply.Status == http.StatusUnprocessableEntity:
		return End{Kind: Rejected, Outcome: scheduler.Unknown, Cause: "the server says that it can't be done"}
	case reply.Status == http.StatusInternalServerError:
		return End{Kind: Failed, Outcome: scheduler.Unknown, Cause: "the server failed"}
	case reply.Status/100 == 4:
		// It is about the request, so it must not take the server from others.
		return End{Kind: Requeue, Reason: BadAnswer, Outcome: scheduler.Unknown, Cause: http.StatusText(reply.Status)}
	case reply.Status != http.StatusOK:
		return End{Kind: Requeue, Reason: BadAnswer, Outcome: scheduler.Failed, Cause: http.StatusText(reply.Status)}
	case !reply.EventStream:
		return End{Kind: Requeue, Reason: BadAnswer, Outcome: scheduler.Failed, Cause: "the answer is no stream of events"}
	}
	sequence := events.Sequence{}
	if resume.Set {
		sequence = events.StartAfter(resume.After)
	}
	var splitter events.Splitter
	buffer := make([]byte, readBufferBytes)
	answered := false
	for {
		n, err := reply.Body.Read(buffer)
		timeout.Cancel()
		timeout = timers.After(nextEventTimeout, func(time.Time) { cancel() })
		received, splitErr := splitter.Add(buffer[:n])
		if splitErr != nil {
			return End{Kind: RequeueFromStart, Reason: BadAnswer, Outcome: scheduler.Failed, Cause: splitErr.Error()}
		}
		for i, e := range received {
			if !sequence.Advance(e) {
				handle(received[:i])
				return End{Kind: RequeueFromStart, Reason: BadAnswer, Outcome: scheduler.Failed, Cause: "event out of sequence"}
			}
		}
		handle(received)
		answered = answered || len(received) > 0
		switch {
		case errors.Is(err, io.EOF) && len(splitter.Remainder()) == 0:
			// Only the end of its connection ends an unframed answer, and a crash
			// looks the same. If one that resumes has no event, no event may be
			// left, or it was cut after its head. A run from the start shows it.
			if reply.Unframed && (!answered && !resume.Set || servers.Down(ctx, server)) {
				return End{Kind: Requeue, Reason: ConnectionLost, Outcome: scheduler.Failed, Cause: "the answer ended with its connection, perhaps early", Lost: true}
			}
			if reply.Unframed && !answered {
				return End{Kind: RequeueFromStart, Reason: BadAnswer, Outcome: scheduler.Unknown, Cause: "the answer ended with its connection after its head"}
			}
			return End{Kind: Completed, Outcome: scheduler.Completed}
		case ctx.Err() != nil:
			return End{Kind: Requeue, Reason: Left, Outcome: scheduler.Unknown, Cause: "left"}
		case err != nil && sendCtx.Err() != nil:
			return End{Kind: Requeue, Reason: Silent, Outcome: scheduler.Unreachable, Cause: "the server stopped sending data"}
		case err != nil:
			return End{Kind: Requeue, Reason: ConnectionLost, Outcome: scheduler.Failed, Cause: err.Error(), Lost: true}
		}
	}
}
