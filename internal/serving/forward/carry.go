package forward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

var carriedTotal = metrics.NewCounter("kingcupquay_carried_total")

// ReplyWriter writes a server's reply to the host that passed the call on.
type ReplyWriter interface {
	// WriteReply writes the head of the reply.
	WriteReply(s backend.Server, r *exchange.Reply) error
	// Write sends the next part of the body without buffering it.
	Write(p []byte) error
}

// errPeerGone means that the host that passed the call on takes no more.
var errPeerGone = errors.New("the other host takes no more")

// Carry carries out one attempt of a call for the host from: it places the call,
// sends it to the server and writes the reply to out as it arrives. It neither
// retries nor passes the call on. If begun, a failure means that the reply broke
// off; otherwise it says why there is none. The server is empty if none was picked.
func (f *Forwarder) Carry(ctx context.Context, from string, c *exchange.Call, o Order, out ReplyWriter) (s backend.Server, begun bool, failure *result.Error) {
	avoid := make(map[string]bool, len(o.Avoid))
	for _, id := range o.Avoid {
		avoid[id] = true
	}
	choice, failure := f.place(ctx, c, o.Software, avoid, o.MaxWait)
	if failure != nil {
		return backend.Server{}, false, failure
	}
	carriedTotal.Inc()
	f.log.Info("placed for another host", "request", c.ID, "host", from, "service", c.Service, "server", choice.Server.ID, "after_event", o.Resume.After)
	a := f.send(ctx, c, choice, o.Resume)
	if a.err != nil {
		if a.sent && ctx.Err() == nil {
			f.recordCutOff(ctx, c, a, a.err)
		}
		f.end(a, f.outcomeOf(ctx, a))
		return a.server, false, unansweredError(a)
	}
	if err := out.WriteReply(a.server, a.reply); err != nil {
		f.end(a, scheduler.Unknown)
		return a.server, true, result.New(result.Cancelled, "%v", err).WithRan(result.RanYes)
	}
	if a.reply.NotRun {
		f.end(a, f.outcomeOf(ctx, a))
		return a.server, true, nil
	}
	if err := f.copyBody(ctx, c, a, o.Resume, out); err != nil {
		outcome := scheduler.Failed
		switch {
		case ctx.Err() != nil || errors.Is(err, errPeerGone):
			outcome = scheduler.Unknown
		case !errors.Is(err, errOutOfOrder):
			f.recordCutOff(ctx, c, a, err)
		}
		f.end(a, outcome)
		return a.server, true, result.New(result.BackendFailed, "server %s: answer broke off: %v", a.server.ID, err).WithRan(result.RanYes)
	}
	f.end(a, f.wholeOutcome(ctx, c, a))
	return a.server, true, nil
}

// wholeOutcome classifies an attempt whose reply is complete.
func (f *Forwarder) wholeOutcome(ctx context.Context, c *exchange.Call, a *attempt) scheduler.Outcome {
	isStream := c.Route.Kind == routes.Stream
	switch {
	case a.reply.Status >= 500 || isStream && a.reply.Status != http.StatusOK:
		return f.outcomeOf(ctx, a)
	case isStream && !a.reply.EventStream:
		return scheduler.Failed
	}
	f.suspects.Answered(c, !a.resumed)
	return scheduler.Completed
}

// copyBody copies the body of an attempt's reply to out and checks its events. It
// returns an error if the body broke off, also if that shows only in its server.
func (f *Forwarder) copyBody(ctx context.Context, c *exchange.Call, a *attempt, resume exchange.Resume, out ReplyWriter) error {
	isEvents := c.Route.Kind == routes.Stream && a.reply.Status == http.StatusOK && a.reply.EventStream
	var splitter events.Splitter
	var sequence events.Sequence
	if resume.Set {
		sequence = events.StartAfter(resume.After)
	}
	buffer := make([]byte, readSize)
	for {
		n, err := a.reply.Body.Read(buffer)
		if n > 0 && out.Write(buffer[:n]) != nil {
			return errPeerGone
		}
		if n > 0 && isEvents {
			found, invalid := splitter.Add(buffer[:n])
			for _, e := range found {
				if !sequence.Advance(e) {
					return errOutOfOrder
				}
			}
			f.recordEvents(c, a, len(found))
			a.events += len(found)
			if invalid != nil {
				return invalid
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return err
		case isEvents && len(splitter.Remainder()) > 0:
			return io.ErrUnexpectedEOF
		case a.reply.Unframed && (isEvents && a.events == 0 || f.servers.Down(context.WithoutCancel(ctx), a.server)):
			return io.ErrUnexpectedEOF
		default:
			return nil
		}
	}
}
