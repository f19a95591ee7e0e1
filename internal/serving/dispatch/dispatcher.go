// Package dispatch sends a request from the host that accepted it to the host
// with the queue of a backend server, and passes the answer back.
//
// If an attempt fails, it sends the request to another server when the retry
// policy allows that. An engine's answer that broke off is resumed from the
// output received so far, so that the reader gets one complete answer.
package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
	"github.com/kingcupquay/kingcupquay/internal/serving/retry"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

// The ratio of retriesTotal to requestsTotal is the load amplification by
// retries, which the retry budget bounds.
var (
	requestsTotal      = metrics.NewCounter("kingcupquay_dispatch_requests_total")
	retriesTotal       = metrics.NewCounter("kingcupquay_dispatch_retries_total")
	failedServersTotal = metrics.NewCounter("kingcupquay_dispatch_lost_servers_total")
)

// Fleet finds the host with the queue of a backend server.
type Fleet interface {
	// KeeperHost returns the name and address of the host with the queue of a server.
	KeeperHost(b *services.Backend) (name, address string)
	// Self returns this host's name.
	Self() string
	// ReportUnreachable reports that a host could not be reached.
	ReportUnreachable(name string)
}

// LocalQueues runs requests on servers whose queue is on this host.
type LocalQueues interface {
	// Run runs r through the queue of the server and passes the events to sink.
	Run(ctx context.Context, backend string, r *request.Request, sink request.Sink) *result.Error
}

// Dispatcher sends the requests that one host has accepted.
type Dispatcher struct {
	timer       timer.Service
	fleet       Fleet
	local       LocalQueues
	guard       Guard
	pool        *peer.Pool
	config      func() *services.Text
	recordEvent func(kind, cause string, subjects ...string)

	// lastRun is the number of the last run on another host. It starts at the
	// current time, so that numbers are not reused after a restart.
	lastRun atomic.Int64

	mu     sync.Mutex
	router *route.Router
	retry  retry.Policy
}

// Guard prevents request bodies that crash servers from running again.
type Guard interface {
	// Check refuses a request whose body must not run at all.
	Check(r *request.Request) *result.Error
	// Admit decides whether a request may run on a server. It refuses with
	// Overloaded if another server or a later attempt may be admitted, and with
	// Quarantined if the body must not run at all.
	Admit(ctx context.Context, r *request.Request, backend string) (permitted bool, failure *result.Error)
	// RecordEnd records the outcome of an admitted run.
	RecordEnd(ctx context.Context, r *request.Request, backend string, permitted bool, failure *result.Error)
}

var _ Guard = (*quarantine.Guard)(nil)

// RetryPolicy is the name of a retry policy.
type RetryPolicy string

// The retry policies. ImmediateRetries is a baseline for comparison.
const (
	BudgetedRetries  RetryPolicy = "budgeted"
	ImmediateRetries RetryPolicy = "immediate"
)

// Policies selects the routing and retry policies. The zero value selects those
// used in production.
type Policies struct {
	Routing route.Policy
	Retries RetryPolicy
}

// New returns a dispatcher for a host in zone. seed is the seed of its random
// choices.
func New(t timer.Service, fleet Fleet, local LocalQueues, guard Guard, pool *peer.Pool, config func() *services.Text,
	zone string, seed uint64, policies Policies, recordEvent func(kind, cause string, subjects ...string)) *Dispatcher {
	d := &Dispatcher{
		timer: t, fleet: fleet, local: local, guard: guard, pool: pool, config: config, recordEvent: recordEvent,
		router: route.NewRouter(zone, seed, policies.Routing), retry: retry.NewBudgeted(seed),
	}
	d.lastRun.Store(t.Now().UnixNano())
	if policies.Retries == ImmediateRetries {
		d.retry = retry.Immediate{}
	}
	return d
}

// SetServices applies a new services configuration.
func (d *Dispatcher) SetServices(config *services.Text) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetServices(config)
}

// SetLeaving sets whether the platform lists a server as leaving.
func (d *Dispatcher) SetLeaving(backend string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetLeaving(backend, leaving)
}

// SetLoads updates the router with load reports of servers' queues.
func (d *Dispatcher) SetLoads(loads []*wire.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, load := range loads {
		d.router.SetLoad(d.timer.Now(), load.GetBackend(), route.Load{
			Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Batch: int(load.GetBatch()),
			CacheEpoch: load.GetCacheEpoch(),
		})
	}
}

// ApplyCacheReport updates the router with the prefix cache events of an engine whose
// queue is on this host.
func (d *Dispatcher) ApplyCacheReport(backend string, report engine.CacheReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	for _, e := range report.Events {
		d.router.ApplyCacheEvent(now, route.CacheEvent{
			Backend: backend, Epoch: report.Epoch, Sequence: e.Sequence, Prefix: e.Prefix, Age: e.Age, Evicted: e.Evicted,
		})
	}
}

// SetUnready sets, for each model, the engines that are not ready to serve it.
func (d *Dispatcher) SetUnready(unready map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetUnready(unready)
}

// Health returns the health of the servers of a model, or of a plain service if
// model is empty.
func (d *Dispatcher) Health(model, service string) route.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Health(d.timer.Now(), model, service)
}

// answer is the state of one request across its attempts.
type answer struct {
	request    *request.Request
	now        func() time.Time
	transcript *engine.Transcript
	sink       request.Sink
	// started says that the Started event was passed to sink, delivered that data
	// arrived, so that the answer can only be resumed and not restarted.
	started   bool
	delivered bool
	backend   string
	// firstEventAt is when the Started event of the current attempt arrived, zero
	// before.
	firstEventAt time.Time
	// unavailable says that the server answered the current attempt with 503.
	unavailable bool
}

// Run sends r, and retries it, until the answer is complete or no further
// attempt is allowed. It passes all events except Finished to sink and returns
// nil if the answer is complete.
func (d *Dispatcher) Run(ctx context.Context, r *request.Request, sink request.Sink) *result.Error {
	service, ok := d.config().Service(r.Service())
	if !ok {
		return result.New(result.UnknownService, "no service %q", r.Service())
	}
	if failure := d.guard.Check(r); failure != nil {
		return failure
	}
	a := &answer{request: r, now: d.timer.Now, transcript: engine.NewTranscript(r), sink: sink}
	d.mu.Lock()
	requestsTotal.Inc()
	d.retry.RecordFirstAttempt()
	d.mu.Unlock()
	var avoid []string
	ran := result.RanNo
	for attempts := 1; ; attempts++ {
		failure := d.attempt(ctx, a, avoid)
		if failure == nil {
			return nil
		}
		ran = ran.Or(failure.Ran())
		if a.started {
			ran = result.RanYes
		}
		wait, shouldRetry := d.nextRetry(a, service, failure, attempts)
		if !shouldRetry || !d.sleep(ctx, wait) {
			return failure.WithRan(ran)
		}
		retriesTotal.Inc()
		avoid = append(avoid, a.backend)
	}
}

// nextRetry returns how long to wait before the next attempt, and whether there
// is one. An answer of which data was delivered is retried only if it can be
// resumed.
func (d *Dispatcher) nextRetry(a *answer, service *services.Service, failure *result.Error, attempts int) (time.Duration, bool) {
	if a.delivered && (!a.request.Engine() || !a.transcript.Resumable()) {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retry.Next(d.timer.Now(), retry.Failure{
		Err: failure, Idempotent: a.request.Idempotent(), Attempts: attempts, MaxRetries: service.Retries,
		Deadline: a.request.Deadline(),
	})
}

// sleep returns false if ctx ended before the wait was over.
func (d *Dispatcher) sleep(ctx context.Context, wait time.Duration) bool {
	return timer.Pause(d.timer, ctx.Done(), wait)
}

// maxAdmitTries is how many servers are tried with the guard for one attempt.
const maxAdmitTries = 3

// attempt sends the request to one server.
func (d *Dispatcher) attempt(ctx context.Context, a *answer, avoid []string) *result.Error {
	backend, permitted, failure := d.admit(ctx, a, avoid)
	if failure != nil {
		return failure
	}
	a.backend, a.firstEventAt, a.unavailable = backend.Name, time.Time{}, false
	if permitted {
		permitCtx, cancel := context.WithTimeout(ctx, quarantine.PermitTimeout)
		defer cancel()
		ctx = permitCtx
	}
	failure = d.send(ctx, a, &backend)
	d.recordEnd(a, backend.Name, failure)
	d.guard.RecordEnd(ctx, a.request, backend.Name, permitted, failure)
	if serverFailed(failure) {
		failedServersTotal.Inc()
		d.recordEvent("attempt failed", failure.Error(), a.request.ID(), backend.Name, a.request.Service())
	}
	return failure
}

// admit picks a server on which the guard admits the request. It has called the
// router's Sent for that server, so the caller must call recordEnd.
func (d *Dispatcher) admit(ctx context.Context, a *answer, avoid []string) (services.Backend, bool, *result.Error) {
	var lastFailure *result.Error
	for range maxAdmitTries {
		d.mu.Lock()
		backend, failure := d.router.Pick(d.timer.Now(), a.request, avoid)
		if failure == nil {
			d.router.RecordSent(d.timer.Now(), backend.Name, a.request.Urgency())
		}
		d.mu.Unlock()
		if failure != nil {
			return backend, false, failure
		}
		permitted, failure := d.guard.Admit(ctx, a.request, backend.Name)
		if failure == nil {
			return backend, permitted, nil
		}
		d.recordEnd(a, backend.Name, failure)
		if failure.Code() != result.Overloaded {
			return backend, false, failure
		}
		lastFailure, avoid = failure, append(slices.Clone(avoid), backend.Name)
	}
	return services.Backend{}, false, lastFailure
}

// recordEnd reports the outcome of an attempt to the router.
func (d *Dispatcher) recordEnd(a *answer, backend string, failure *result.Error) {
	now := d.timer.Now()
	o := route.Outcome{Urgency: a.request.Urgency(), Failed: serverFailed(failure) || a.unavailable}
	if failure == nil && !o.Failed && !a.firstEventAt.IsZero() {
		o.Completed, o.ServiceTime = true, now.Sub(a.firstEventAt)
		if a.request.Engine() {
			o.Prefix = a.request.Prefix()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordEnd(now, backend, o)
}

// serverFailed reports whether the server and not the request is at fault. A
// silence on a pooled connection may be the connection's fault; on a new
// connection it is the server's.
func serverFailed(failure *result.Error) bool {
	if failure == nil {
		return false
	}
	switch failure.Code() {
	case result.NoBackend, result.BackendCrashed:
		return true
	case result.BackendSilent:
		return !failure.FirstSilence()
	}
	return false
}

// maxQueueHostTries is how many hosts are tried as the host of a server's queue.
const maxQueueHostTries = 3

// send runs the request through the queue of the server. A host that can't be
// connected to has received no byte of the request, so it is safe to try the
// next one.
func (d *Dispatcher) send(ctx context.Context, a *answer, backend *services.Backend) *result.Error {
	r := a.resumed()
	for range maxQueueHostTries {
		name, address := d.fleet.KeeperHost(backend)
		if name == d.fleet.Self() {
			return d.local.Run(ctx, backend.Name, r, a.deliver)
		}
		if d.pool.Ready(ctx, address, r.Urgency()) {
			return d.sendRemote(ctx, a, r, backend.Name, name, address)
		}
		if ctx.Err() != nil {
			return result.New(result.Cancelled, "cancelled before it was sent")
		}
		d.fleet.ReportUnreachable(name)
	}
	return result.New(result.Overloaded, "no keeper of %s can be reached", backend.Name)
}

// resumed returns the request that continues after the output in the transcript.
func (a *answer) resumed() *request.Request {
	text, tokens := a.transcript.Text()
	if tokens == 0 {
		return a.request
	}
	o := a.request.Options()
	o.Resume, o.ResumeTokens = text, tokens
	return request.New(o)
}

// deliver adds an event to the transcript and passes it to sink. Only the first
// Started event is passed on.
func (a *answer) deliver(e request.Event) error {
	switch e.Kind {
	case request.Started:
		a.firstEventAt, a.unavailable = a.now(), e.Status == http.StatusServiceUnavailable
		if a.started {
			return nil
		}
		a.started = true
	case request.Data:
		a.delivered = true
		if a.request.Engine() {
			a.transcript.Add(e.Data)
		}
	case request.Finished:
		return nil
	}
	return a.sink(e)
}

// sendRemote runs the request through a queue on another host.
func (d *Dispatcher) sendRemote(ctx context.Context, a *answer, r *request.Request, backend, name, address string) *result.Error {
	client, err := d.pool.Client(address, r.Urgency())
	if err != nil {
		return result.New(result.Overloaded, "host %s: %v", name, err)
	}
	message := wire.NewRunRequest(r, backend, d.timer.Now())
	message.Origin, message.Run = d.fleet.Self(), d.lastRun.Add(1)
	// The stream outlives the caller, since its last event says whether the
	// request ran.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { d.withdraw(streamCtx, cancel, client, message) })
	defer stop()
	stream, err := client.Run(streamCtx, message)
	if err != nil {
		return d.connectionLost(ctx, name, err)
	}
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return result.New(result.Internal, "answer of host %s has no end", name).WithRan(result.RanMaybe)
		}
		if err != nil {
			return d.connectionLost(ctx, name, err)
		}
		event := message.Event()
		if event.Kind == request.Finished {
			return event.Err
		}
		if err := a.deliver(event); err != nil {
			return result.New(result.Cancelled, "caller left: %v", err).WithRan(result.RanYes)
		}
	}
}

// connectionLost returns the failure of a call to another host that may have
// received the request, and reports the host as unreachable unless the caller
// left.
func (d *Dispatcher) connectionLost(ctx context.Context, name string, err error) *result.Error {
	if ctx.Err() != nil {
		return result.New(result.Cancelled, "cancelled").WithRan(result.RanMaybe)
	}
	d.fleet.ReportUnreachable(name)
	return result.New(result.BackendFailed, "keeper host %s lost: %v", name, err).WithRan(result.RanMaybe)
}
