// Package itemrun runs one batch item at one server: it sends the item, passes
// its events on in order, and tells how the run ended and what that says of the
// server. It keeps nothing between runs.
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
	// firstSilence is how long an item waits for its first event, which may have
	// to wait in a server's queue.
	firstSilence = 3 * time.Second
	// pauseSilence is how long it waits between events.
	pauseSilence = time.Second
	// readSize is the most read from a server at once.
	readSize = 32 << 10
)

// Kind is how a run of an item ended.
type Kind uint8

// The ends of a run.
const (
	// Requeue puts the item back; what was produced counts.
	Requeue Kind = iota
	// RequeueFromStart puts it back without what was produced.
	RequeueFromStart
	// Crashed puts it back unless too many of its runs ended with their servers.
	Crashed
	// Complete is the end of the answer.
	Complete
	// Failed is a failure of the server's own, Impossible one that no run mends.
	Failed
	Rejected
)

// MayFinish reports whether an item may be finished with the run.
func (k Kind) MayFinish() bool { return k == Complete || k == Failed || k == Rejected }

// End is the end of a run.
type End struct {
	Kind Kind
	// Outcome is what the run says of its server.
	Outcome scheduler.Outcome
	// Misdirected says that another server answered at the address.
	Misdirected bool
	// Cause is for the log; empty for a whole answer.
	Cause string
}

// Run runs an item at a server until its answer is whole, ctx ends or the
// server fails. take is given the events in order.
func Run(ctx context.Context, t timer.Service, servers exchange.Servers, s backend.Server, call *exchange.Call, resume exchange.Resume,
	take func([]events.Event)) End {
	end := carry(ctx, t, servers, s, call, resume, take)
	if end.Kind == Requeue && end.Outcome == scheduler.Failed && servers.Down(ctx, s) {
		end.Kind = Crashed
	}
	return end
}

// carry is Carry without the look at a server that broke the run off.
func carry(ctx context.Context, t timer.Service, servers exchange.Servers, s backend.Server, call *exchange.Call, resume exchange.Resume,
	take func([]events.Event)) End {
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := t.After(firstSilence, func(time.Time) { cancel() })
	defer func() { silence.Cancel() }()
	reply, err := servers.Send(sending, s, call, resume, 0)
	if err != nil {
		var failure *exchange.SendError
		switch {
		case ctx.Err() != nil:
			return End{Kind: Requeue, Outcome: scheduler.Unknown, Cause: "left"}
		case errors.As(err, &failure) && (!failure.Sent || sending.Err() != nil):
			return End{Kind: Requeue, Outcome: scheduler.Unreachable, Cause: err.Error()}
		case errors.As(err, &failure) && failure.Reused:
			return End{Kind: Requeue, Outcome: scheduler.Unknown, Cause: err.Error()}
		}
		return End{Kind: Requeue, Outcome: scheduler.Failed, Cause: err.Error()}
	}
	defer func() { _ = reply.Body.Close() }()
	switch {
	case reply.Misdirected:
		return End{Kind: Requeue, Misdirected: true, Cause: "another server answered"}
	case reply.NotRun:
		return End{Kind: Requeue, Outcome: scheduler.Overloaded, Cause: "no room"}
	case reply.Status == http.StatusUnprocessableEntity:
		return End{Kind: Rejected, Outcome: scheduler.Unknown, Cause: "the server says that it can't be done"}
	case reply.Status == http.StatusInternalServerError:
		return End{Kind: Failed, Outcome: scheduler.Unknown, Cause: "the server failed"}
	case reply.Status != http.StatusOK:
		return End{Kind: Requeue, Outcome: scheduler.Failed, Cause: http.StatusText(reply.Status)}
	}
	sequence := events.Sequence{}
	if resume.Set {
		sequence = events.After(resume.After)
	}
	var splitter events.Splitter
	buffer := make([]byte, readSize)
	for {
		n, err := reply.Body.Read(buffer)
		silence.Cancel()
		silence = t.After(pauseSilence, func(time.Time) { cancel() })
		found, tooLong := splitter.Add(buffer[:n])
		if tooLong != nil {
			return End{Kind: RequeueFromStart, Outcome: scheduler.Failed, Cause: tooLong.Error()}
		}
		for at, e := range found {
			if !sequence.Take(e) {
				take(found[:at])
				return End{Kind: RequeueFromStart, Outcome: scheduler.Failed, Cause: "an event is not the next one"}
			}
		}
		take(found)
		switch {
		case errors.Is(err, io.EOF) && len(splitter.Rest()) == 0:
			return End{Kind: Complete, Outcome: scheduler.Completed}
		case ctx.Err() != nil:
			return End{Kind: Requeue, Outcome: scheduler.Unknown, Cause: "left"}
		case err != nil && sending.Err() != nil:
			return End{Kind: Requeue, Outcome: scheduler.Unreachable, Cause: "the server fell silent"}
		case err != nil:
			return End{Kind: Requeue, Outcome: scheduler.Failed, Cause: err.Error()}
		}
	}
}
