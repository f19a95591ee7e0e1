// Package forward carries one attempt of a caller to backend servers and the
// answer back.
//
// What may be sent twice follows from the route alone. A call that may run once
// goes to a second server only after proof that the first did not run it: no
// connection came about, or the server said so. A repeatable call is sent again
// after any failure, and beside a slow first try. A stream that can be resumed
// goes on at another server after the last event that reached the caller, inside
// the same answer.
//
// Every refusal says whether the call may have run: result.RanNo is said only
// while no server can have it. Silence of a server never ends an answer; it only
// moves a call that may move.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

const (
	// unsentTries is how many servers are tried when none can be connected to.
	unsentTries = 5
	// patienceMargin is the part of the objective that is kept for the ways and
	// for reading the prompt.
	patienceMargin = 80 * time.Millisecond
	// patienceMost is the longest wait for a slot whatever the objective.
	patienceMost = 2 * time.Second
	// noServerRetry is when a caller may come back if a service has no server.
	noServerRetry = 500 * time.Millisecond
)

var (
	answeredTotal = metrics.NewCounter("kingcupquay_forward_answered_total")
	refusedTotal  = metrics.NewCounter("kingcupquay_forward_refused_total")
	retriedTotal  = metrics.NewCounter("kingcupquay_forward_retried_total")
	resumedTotal  = metrics.NewCounter("kingcupquay_forward_resumed_total")
	brokenTotal   = metrics.NewCounter("kingcupquay_forward_broken_total")
	firstSeconds  = metrics.NewHistogram("kingcupquay_forward_first_seconds")
	wholeSeconds  = metrics.NewHistogram("kingcupquay_forward_whole_seconds")
	pauseSeconds  = metrics.NewHistogram("kingcupquay_forward_pause_seconds")
)

// ResponseWriter takes the answer to a caller.
type ResponseWriter interface {
	// WriteComplete gives a whole answer.
	WriteComplete(status int, fields []exchange.Field, body []byte)
	// WriteHeader begins an answer whose length is not known.
	WriteHeader(status int, fields []exchange.Field)
	// Write gives a piece of it; the piece leaves at once.
	Write(p []byte) error
}

// Forwarder forwards calls. It is safe for concurrent use.
type Forwarder struct {
	timer   timer.Service
	log     logr.Logger
	servers exchange.Servers
	list    *backend.Directory
	placer  *scheduler.Placer
}

// New returns a forwarder.
func New(t timer.Service, log logr.Logger, servers exchange.Servers, list *backend.Directory, placer *scheduler.Placer) *Forwarder {
	return &Forwarder{timer: t, log: log, servers: servers, list: list, placer: placer}
}

// Serve answers a call through out. It returns nil when the whole answer was
// given. Otherwise, if begun, the answer must be broken off so that it does not
// look whole; if not, the error says what to tell the caller.
func (f *Forwarder) Serve(ctx context.Context, c *exchange.Call, out ResponseWriter) (begun bool, failure *result.Error) {
	c.Service = c.Route.Pick(rand.Float64())
	if c.Route.Timeout > 0 {
		if end := c.Received.Add(c.Route.Timeout); c.Deadline.IsZero() || end.Before(c.Deadline) {
			c.Deadline = end
		}
	}
	if !c.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Deadline.Sub(f.timer.Now()))
		defer cancel()
	}
	if c.Route.Kind == routes.Stream {
		begun, failure = f.stream(ctx, c, out)
	} else {
		failure = f.whole(ctx, c, out)
	}
	if failure != nil && !begun && ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
		failure = result.New(result.DeadlinePassed, "no answer within the route's or the caller's time").WithRan(failure.Ran())
	}
	f.note(c, begun, failure)
	return begun, failure
}

func (f *Forwarder) note(c *exchange.Call, begun bool, failure *result.Error) {
	took := f.timer.Now().Sub(c.Received)
	switch {
	case failure == nil:
		answeredTotal.Inc()
		wholeSeconds.Update(took.Seconds())
		f.log.V(1).Info("answered", "request", c.ID, "route", c.Route.Name, "took_ms", took.Milliseconds())
	case begun:
		brokenTotal.Inc()
		f.log.Info("broken off", "request", c.ID, "route", c.Route.Name, "took_ms", took.Milliseconds(), "cause", failure.Error())
	default:
		refusedTotal.Inc()
		f.log.Info("refused", "request", c.ID, "route", c.Route.Name, "took_ms", took.Milliseconds(), "ran", string(failure.Ran()),
			"retry_ms", failure.RetryAfter().Milliseconds(), "cause", failure.Error())
	}
}

// patience is how long a call may wait for a slot.
func patience(c *exchange.Call) time.Duration {
	return min(patienceMost, max(patienceMargin, c.Route.Objective-patienceMargin))
}

// left is the time that a server may take.
func (f *Forwarder) left(c *exchange.Call) time.Duration {
	if c.Deadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, c.Deadline.Sub(f.timer.Now()))
}

// attempt is one try of a call at one server.
type attempt struct {
	choice scheduler.Choice
	server backend.Server
	began  time.Time
	// reply is set if err is nil.
	reply *exchange.Reply
	err   error
	// sent says that the server may have got the call.
	sent bool
	// ended says that the placer knows of the end.
	ended  bool
	cancel context.CancelFunc
}

// place picks a server; failure is a refusal that promises "not run" by itself.
func (f *Forwarder) place(c *exchange.Call, avoid map[string]bool, patience time.Duration) (scheduler.Choice, *result.Error) {
	servers := f.list.Usable(c.Service)
	choice := f.placer.PlaceOnline(f.timer.Now(), servers, avoid, patience)
	if !choice.Placed {
		if len(servers) == 0 {
			return choice, result.New(result.NoBackend, "service %s has no back end", c.Service).WithRetry(noServerRetry)
		}
		return choice, result.New(result.Overloaded, "no slot within %d ms: %d expected at the best of %d servers, as told up to %d ms ago",
			patience.Milliseconds(), choice.Wait.Milliseconds(), len(servers), choice.ReportAge.Milliseconds()).WithRetry(choice.RetryAfter)
	}
	f.log.V(1).Info("placed", "request", c.ID, "service", c.Service, "server", choice.Server.ID,
		"wait_ms", choice.Wait.Milliseconds(), "taken", choice.InFlight, "age_ms", choice.ReportAge.Milliseconds())
	return choice, nil
}

// send begins a call at a server that place picked.
func (f *Forwarder) send(ctx context.Context, c *exchange.Call, choice scheduler.Choice, resume exchange.Resume) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{choice: choice, server: choice.Server, began: f.timer.Now(), cancel: cancel}
	a.reply, a.err = f.servers.Send(ctx, choice.Server, c, resume, f.left(c))
	var failed *exchange.SendError
	if errors.As(a.err, &failed) {
		a.sent = failed.Sent
	} else {
		a.sent = !a.reply.NotRun
	}
	return a
}

// end tells the placer how an attempt went and frees its connection.
func (f *Forwarder) end(a *attempt, o scheduler.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.cancel()
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	now := f.timer.Now()
	f.placer.EndOnline(now, a.choice, now.Sub(a.began), o)
}

// outcomeOf judges a server by an attempt without a usable reply.
func (f *Forwarder) outcomeOf(ctx context.Context, a *attempt) scheduler.Outcome {
	var failed *exchange.SendError
	switch {
	case ctx.Err() != nil:
		return scheduler.Unknown
	case errors.As(a.err, &failed):
		if !failed.Sent {
			return scheduler.Unreachable
		}
		if failed.Reused {
			return scheduler.Unknown
		}
		return scheduler.Failed
	case a.reply.Misdirected:
		f.list.MarkMisdirected(a.server)
		return scheduler.Unknown
	case a.reply.NotRun:
		return scheduler.Overloaded
	case a.reply.Status >= 500:
		return scheduler.Failed
	}
	return scheduler.Unknown
}
