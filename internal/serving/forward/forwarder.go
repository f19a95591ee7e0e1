// Package forward sends online calls to backend servers and returns their
// answers.
//
// The route alone decides whether a call may be retried. A call that may run
// only once goes to a second server only if the first certainly did not run it:
// either no connection was made or the server's reply said so. A repeatable call
// is retried after any failure and hedged if the first attempt is slow. A
// resumable stream continues on another server after the last event that reached
// the caller, within the same answer; the server has the software version that
// began the stream, as texts of two versions do not fit together.
//
// Every error says whether the call may have run; it carries result.RanNo only
// if no server can have run the call. Silence of a server never ends an answer: a
// resumable stream moves to another server, a repeatable call is hedged, and any
// other call waits until its deadline.
package forward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
	"github.com/kingcupquay/kingcupquay/internal/serving/capacity"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/expectation"
	"github.com/kingcupquay/kingcupquay/internal/serving/origin"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

const (
	// maxUnsentAttempts bounds the attempts that fail before the call is sent.
	maxUnsentAttempts = 5
	// slotWaitMargin is the part of the route's latency objective that is reserved
	// for network transfer and for processing the prompt.
	slotWaitMargin = 80 * time.Millisecond
	// maxSlotWait bounds the wait for a slot, whatever the route's objective.
	maxSlotWait = 2 * time.Second
	// noBackendRetryAfter is the retry delay given to a caller if no server is
	// available.
	noBackendRetryAfter = 500 * time.Millisecond
)

var (
	answeredTotal = metrics.NewCounter("kingcupquay_forward_answered_total")
	refusedTotal  = metrics.NewCounter("kingcupquay_forward_refused_total")
	retriedTotal  = metrics.NewCounter("kingcupquay_forward_retried_total")
	takenUpTotal  = metrics.NewCounter("kingcupquay_forward_taken_up_total")
	resumedTotal  = metrics.NewCounter("kingcupquay_forward_resumed_total")
	cutOffTotal   = metrics.NewCounter("kingcupquay_forward_cut_off_total")
	brokenTotal   = metrics.NewCounter("kingcupquay_forward_broken_total")
	firstSeconds  = metrics.NewHistogram("kingcupquay_forward_first_seconds")
	wholeSeconds  = metrics.NewHistogram("kingcupquay_forward_whole_seconds")
	waitedTotal   = metrics.NewCounter("kingcupquay_forward_waited_total")
	pauseSeconds  = metrics.NewHistogram("kingcupquay_forward_pause_seconds")
)

// ResponseWriter writes the answer to a caller.
type ResponseWriter interface {
	// WriteComplete writes a complete answer.
	WriteComplete(status int, fields []exchange.Field, body []byte)
	// WriteUnframed writes an answer whose end only the end of the caller's
	// connection shows.
	WriteUnframed(status int, fields []exchange.Field, body []byte)
	// WriteHeader starts an answer of unknown length.
	WriteHeader(status int, fields []exchange.Field)
	// Write sends the next part of the body without buffering it.
	Write(p []byte) error
}

// Forwarder forwards calls to backend servers. It is safe for concurrent use.
type Forwarder struct {
	timer     timer.Service
	log       logr.Logger
	servers   Servers
	directory *backend.Directory
	slots     Slots
	suspects  *suspect.Guard
	origins   Origins
	peers     Peers
	admission Admission
	// unmet holds which servers did not meet what callers expect.
	unmet expectation.Table
	// answers is the memory of the answers that are read whole before they are sent on.
	answers *buffer.Budget
}

// Servers are the backend servers that calls are sent to.
type Servers interface {
	exchange.MonitoredServers
	// Watch looks for later evidence that a server which has lost a connection has
	// crashed, and has it recorded with the suspects.
	Watch(s backend.Server)
}

// Admission decides whether a call that no server has run may be sent now.
type Admission interface {
	// Admit returns nil, or the error to refuse the call with.
	Admit(c *exchange.Call) *result.Error
}

// Origins keeps which software version began the streams of callers.
type Origins interface {
	// Begin keeps the software version of the server that brought the first event
	// of a call, until the caller's deadline; zero if it has none.
	Begin(c *exchange.Call, software string, deadline time.Time)
	// Find returns where the stream that a call takes up began, false if that is
	// not known.
	Find(ctx context.Context, c *exchange.Call) (origin.Stream, bool)
}

// Slots places calls on servers; slots.Slots implements it.
type Slots interface {
	// PlaceOnline picks a server for a call, and returns how many it could choose
	// from. If software is not empty, only servers with that version are chosen.
	PlaceOnline(ctx context.Context, service, software string, avoid map[string]bool, maxWait time.Duration) (scheduler.Choice, int)
	// EndOnline records the end of a call that PlaceOnline placed.
	EndOnline(now time.Time, c scheduler.Choice, took time.Duration, o scheduler.Outcome)
	// RecordEvents adds events that a server brought, and RecordWhole the time of a
	// whole answer that is no stream.
	RecordEvents(now time.Time, s backend.Server, m *capacity.Meter, n int)
	RecordWhole(now time.Time, s backend.Server, took time.Duration)
	// LastEvent returns when this host last got an event or a whole answer of a server,
	// and Expect what is expected of a server at its present load.
	LastEvent(server string) time.Time
	Expect(now time.Time, s backend.Server) capacity.Estimate
}

// New returns a forwarder.
func New(t timer.Service, log logr.Logger, servers Servers, directory *backend.Directory, s Slots, g *suspect.Guard, o Origins, a Admission) *Forwarder {
	return &Forwarder{timer: t, log: log, servers: servers, directory: directory, slots: s, suspects: g, origins: o, peers: alone{}, admission: a, answers: buffer.NewBudget(defaultAnswerBytes)}
}

// defaultAnswerBytes is what answers may take until SetAnswers is called.
const defaultAnswerBytes = 64 << 20

// SetAnswers sets the memory that answers of servers may take while they are held.
func (f *Forwarder) SetAnswers(b *buffer.Budget) { f.answers = b }

// Serve answers a call through out. If ctx ends with a *result.Error as its
// cause, that is the error of a call whose answer has not begun. It returns nil if the complete answer was
// written. Otherwise, if begun, the caller of Serve must abort the answer so
// that it does not look complete; if not begun, failure is the error to answer
// with.
func (f *Forwarder) Serve(ctx context.Context, c *exchange.Call, out ResponseWriter) (begun bool, failure *result.Error) {
	c.Service = c.Route.Pick(rand.Float64())
	callerDeadline := c.Deadline
	c.Deadline = c.EndsBy()
	if !c.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Deadline.Sub(f.timer.Now()))
		defer cancel()
	}
	if c.TakeUp != nil {
		takenUpTotal.Inc()
		f.log.Info("stream taken up", "request", c.ID, "attempts", c.TakeUp.Attempts, "after_event", c.TakeUp.After)
	}
	if c.Route.Kind == routes.Stream {
		begun, failure = f.serveStream(ctx, c, callerDeadline, out)
	} else {
		failure = f.serveUnary(ctx, c, out)
	}
	if failure != nil && !begun && ctx.Err() != nil {
		failure = endError(ctx, failure)
	}
	f.recordOutcome(c, begun, failure)
	return begun, failure
}

// endError returns the error of a call that ended with its context: the cause of
// the context's end if that is a result.Error, and failure if the caller left.
func endError(ctx context.Context, failure *result.Error) *result.Error {
	cause := context.Cause(ctx)
	var ended *result.Error
	switch {
	case errors.As(cause, &ended):
		return ended.WithRan(failure.Ran())
	case errors.Is(cause, context.Canceled):
		return failure
	}
	return result.New(result.DeadlinePassed, "no answer within the route's or the caller's time").WithRan(failure.Ran())
}

// recordOutcome updates the metrics and logs how a call ended.
func (f *Forwarder) recordOutcome(c *exchange.Call, begun bool, failure *result.Error) {
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

// slotWait returns how long a call may wait for a slot.
func slotWait(c *exchange.Call) time.Duration {
	return min(maxSlotWait, max(slotWaitMargin, c.Route.Objective-slotWaitMargin))
}

// remaining returns the time until the call's deadline, at least 1 ms, or 0 if
// there is no deadline.
func (f *Forwarder) remaining(c *exchange.Call) time.Duration {
	if c.Deadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, c.Deadline.Sub(f.timer.Now()))
}

// attempt is a call sent to one server, and its outcome.
type attempt struct {
	// host is the host that sent the call, "" for this one. Only that host has a
	// slot of the server for it and judges the server by it.
	host string
	// choice is set if this host sent the call.
	choice  scheduler.Choice
	server  backend.Server
	started time.Time
	// reply is set if err is nil.
	reply *exchange.Reply
	err   error
	// sent is set if the server may have run the call, resumed if it was to go on with
	// the stream of another server.
	sent, resumed bool
	// after is the number of the last event before the attempt, if it is resumed.
	after int64
	// events counts the events that arrived, and meter measures the times between them.
	events int
	meter  capacity.Meter
	// crashed is set if the server crashed under the call.
	crashed bool
	// run is the run at the server as the suspects know it, nil if another host sent it.
	run *suspect.Run
	// ended is set once the outcome was reported to the slots.
	ended  bool
	cancel context.CancelFunc
}

// place picks a server for a call that is then sent, one with the given software
// version if that is not empty. Its error carries result.RanNo, as nothing was
// sent.
func (f *Forwarder) place(ctx context.Context, c *exchange.Call, software string, avoid map[string]bool, maxWait time.Duration) (scheduler.Choice, *result.Error) {
	if failure := f.suspects.Check(c); failure != nil {
		return scheduler.Choice{}, failure
	}
	avoid, failure := f.avoidUnmet(c, avoid)
	if failure != nil {
		return scheduler.Choice{}, failure
	}
	choice, servers := f.slots.PlaceOnline(ctx, c.Service, software, avoid, maxWait)
	if !choice.Placed {
		if servers == 0 && software != "" {
			return choice, result.New(result.VersionUnavailable, "no server of service %s has software version %s", c.Service, software)
		}
		if servers == 0 {
			return choice, result.New(result.NoBackend, "service %s has no back end", c.Service).WithRetry(noBackendRetryAfter)
		}
		return choice, result.New(result.Overloaded, "no slot within %d ms: %d expected at the best of %d servers, %d of them at their limit, as told up to %d ms ago",
			maxWait.Milliseconds(), choice.Wait.Milliseconds(), servers, choice.Limited, choice.ReportAge.Milliseconds()).WithRetry(choice.RetryAfter)
	}
	if failure := f.suspects.Begin(ctx, c); failure != nil {
		f.slots.EndOnline(f.timer.Now(), choice, 0, scheduler.Unknown)
		return choice, failure
	}
	f.log.V(1).Info("placed", "request", c.ID, "service", c.Service, "server", choice.Server.ID, "software", choice.Server.SoftwareVersion,
		"wait_ms", choice.Wait.Milliseconds(), "taken", choice.InFlight, "age_ms", choice.ReportAge.Milliseconds())
	return choice, nil
}

// avoidUnmet adds the servers that did not meet what the caller of a call expects to those
// that the call avoids. It returns an error if no server may meet it.
func (f *Forwarder) avoidUnmet(c *exchange.Call, avoid map[string]bool) (map[string]bool, *result.Error) {
	if c.Expectation == "" {
		return avoid, nil
	}
	now, all := f.timer.Now(), maps.Clone(avoid)
	if all == nil {
		all = make(map[string]bool)
	}
	usable, unmet := f.directory.Usable(c.Service), 0
	for _, s := range usable {
		if f.unmet.Unmet(now, c.Expectation, s.Start()) {
			all[s.ID] = true
			unmet++
		}
	}
	if unmet > 0 && unmet == len(usable) {
		return nil, result.New(result.ExpectationUnmet, "no server of service %s meets what the caller expects", c.Service)
	}
	return all, nil
}

// send sends a call to the server that place picked.
func (f *Forwarder) send(ctx context.Context, c *exchange.Call, choice scheduler.Choice, resume exchange.Resume) *attempt {
	ctx, cancel := context.WithCancel(exchange.WithCheck(ctx, func() bool { return f.directory.Offers(choice.Server) }))
	a := &attempt{choice: choice, server: choice.Server, started: f.timer.Now(), resumed: resume.Set, after: resume.After, run: f.suspects.Sent(c, choice.Server.Start()), cancel: cancel}
	a.meter = capacity.NewMeter(a.started, choice.Wait > 0)
	a.reply, a.err = f.servers.Send(ctx, choice.Server, c, resume, f.remaining(c))
	var failed *exchange.SendError
	if errors.As(a.err, &failed) {
		a.sent = failed.Sent
	} else {
		a.sent = !a.reply.NotRun
		if a.reply.Unmet {
			f.unmet.Record(f.timer.Now(), c.Expectation, a.server.Start())
			f.log.Info("expectation unmet", "request", c.ID, "server", a.server.ID)
		}
	}
	if !a.sent {
		f.suspects.Unreached(c)
	}
	return a
}

// end reports an attempt's outcome to the slots and frees its connection. Only
// the first call has an effect.
func (f *Forwarder) end(a *attempt, o scheduler.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	f.suspects.Gone(a.run)
	a.cancel()
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	if a.host != "" {
		return
	}
	now := f.timer.Now()
	f.slots.EndOnline(now, a.choice, now.Sub(a.started), o)
}

// recordCutOff records that an attempt's connection ended before the answer was
// complete. If the server has crashed, the call is evidence of what crashed it.
func (f *Forwarder) recordCutOff(ctx context.Context, c *exchange.Call, a *attempt, cause error) {
	cutOffTotal.Inc()
	var failed *exchange.SendError
	reused := errors.As(cause, &failed) && failed.Reused
	f.log.Info("cut off", "request", c.ID, "server", a.server.ID, "host", a.host, "head", a.reply != nil, "events", a.events, "reused", reused,
		"after_ms", f.timer.Now().Sub(a.started).Milliseconds(), "parts", c.SharedParts, "body", strconv.FormatUint(c.ContentHash(), 16),
		"cause", cause.Error())
	if a.host != "" {
		return
	}
	start := a.server.Start()
	f.suspects.Gone(a.run)
	f.suspects.Lost(c, start, a.started, int(a.after)+a.events)
	if a.crashed = f.servers.Crashed(context.WithoutCancel(ctx), a.server); a.crashed {
		f.suspects.Ended(start)
		return
	}
	f.servers.Watch(a.server)
}

// recordEvents records that an attempt whose call this host sent brought n more events.
func (f *Forwarder) recordEvents(c *exchange.Call, a *attempt, n int) {
	if a.events == 0 && n > 0 {
		f.suspects.Alive(a.server.Start(), a.started)
	}
	f.suspects.Answering(c, a.run, a.events+n)
	f.slots.RecordEvents(f.timer.Now(), a.server, &a.meter, n)
}

// outcomeOf classifies an attempt that returned no usable reply. If the address
// belongs to another server, it also marks the server in the directory.
func (f *Forwarder) outcomeOf(ctx context.Context, a *attempt) scheduler.Outcome {
	var failed *exchange.SendError
	switch {
	case ctx.Err() != nil:
		return scheduler.Unknown
	case errors.Is(a.err, errCutOff):
		return scheduler.Unknown
	case errors.As(a.err, &failed):
		if errors.Is(failed, exchange.ErrWithdrawn) {
			return scheduler.Unknown
		}
		if !failed.Sent {
			return scheduler.Unreachable
		}
		if failed.Reused && !a.crashed {
			return scheduler.Unknown
		}
		return scheduler.Failed
	case a.reply.Misdirected:
		if a.host == "" {
			f.directory.MarkMisdirected(a.server)
		}
		return scheduler.Unknown
	case a.reply.Unmet:
		return scheduler.Unknown
	case a.reply.NotRun:
		return scheduler.Overloaded
	case a.reply.Status >= 500:
		return scheduler.Failed
	}
	return scheduler.Unknown
}
