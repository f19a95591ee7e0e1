// Package dispatch carries a request from the host that accepted it to the
// keeper of a back end and its answer back. It tries again elsewhere where the
// retry policy allows, going on from what a broken stream had produced, so
// that the reader of the answer sees one whole answer.
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

// Retries over requests is the amplification; the budget bounds it.
var (
	requestsTotal = metrics.NewCounter("kingcupquay_dispatch_requests_total")
	retriesTotal  = metrics.NewCounter("kingcupquay_dispatch_retries_total")
	lostTotal     = metrics.NewCounter("kingcupquay_dispatch_lost_servers_total")
)

// Fleet tells which host keeps a back end.
type Fleet interface {
	// Keeper returns the name and address of the keeper of a back end.
	Keeper(b *services.Backend) (name, address string)
	// Self returns this host's name.
	Self() string
	// ReportUnreachable notes that a peer could not be reached.
	ReportUnreachable(name string)
}

// LocalQueues runs requests of back ends that this host keeps.
type LocalQueues interface {
	// Run runs r at the keeper of the back end and gives its events to sink.
	Run(ctx context.Context, backend string, r *request.Request, sink request.Sink) *result.Error
}

// Dispatcher sends the requests of one host.
type Dispatcher struct {
	timer timer.Service
	fleet Fleet
	local LocalQueues
	guard Guard
	pool  *peer.Pool
	text  func() *services.Text
	note  func(kind, cause string, subjects ...string)

	// runs numbers the runs at keepers on other hosts, also across restarts.
	runs atomic.Int64

	mu     sync.Mutex
	router *route.Router
	retry  retry.Policy
}

// Guard keeps request bodies that crash servers from running again.
type Guard interface {
	// Check refuses a body that must not run at all.
	Check(r *request.Request) *result.Error
	// Admit lets a request run at a back end or refuses it with Overloaded,
	// where another back end or moment may do, or with Quarantined.
	Admit(ctx context.Context, r *request.Request, backend string) (permitted bool, failure *result.Error)
	// RecordEnd takes the end of an admitted run.
	RecordEnd(ctx context.Context, r *request.Request, backend string, permitted bool, failure *result.Error)
}

var _ Guard = (*quarantine.Guard)(nil)

// RetryPolicy names a policy for retries.
type RetryPolicy string

// The policies for retries; ImmediateRetries is for comparison.
const (
	BudgetedRetries  RetryPolicy = "budgeted"
	ImmediateRetries RetryPolicy = "immediate"
)

// Policies are the decisions that can be chosen; the zero value is production's.
type Policies struct {
	Routing route.Policy
	Retries RetryPolicy
}

// New returns a dispatcher for a host in zone.
func New(t timer.Service, fleet Fleet, local LocalQueues, guard Guard, pool *peer.Pool, text func() *services.Text,
	zone string, seed uint64, policies Policies, note func(kind, cause string, subjects ...string)) *Dispatcher {
	d := &Dispatcher{
		timer: t, fleet: fleet, local: local, guard: guard, pool: pool, text: text, note: note,
		router: route.NewRouter(zone, seed, policies.Routing), retry: retry.NewBudgeted(seed),
	}
	d.runs.Store(t.Now().UnixNano())
	if policies.Retries == ImmediateRetries {
		d.retry = retry.Immediate{}
	}
	return d
}

// SetServices takes a new services text.
func (d *Dispatcher) SetServices(text *services.Text) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetServices(text)
}

// SetLeaving tells whether the platform lists a back end as leaving.
func (d *Dispatcher) SetLeaving(backend string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetLeaving(backend, leaving)
}

// SetLoads takes keepers' reports.
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

// ApplyCacheReport takes what an engine that this host keeps told of its prefix cache.
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

// SetUnready takes, by model, the engines that are not ready with it.
func (d *Dispatcher) SetUnready(unready map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetUnready(unready)
}

// Health tells how the back ends of a model, or else of a plain service, are.
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
	// started says that Started went to sink, delivered that any data did.
	started   bool
	delivered bool
	backend   string
	// attempted is when the first event of the attempt in progress came.
	attempted time.Time
	// refused says that the server of this attempt answered 503.
	refused bool
}

// Run sends r until its answer is whole or can't be had. Every event but
// Finished goes to sink.
func (d *Dispatcher) Run(ctx context.Context, r *request.Request, sink request.Sink) *result.Error {
	service, ok := d.text().Service(r.Service())
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
		wait, again := d.next(a, service, failure, attempts)
		if !again || !d.sleep(ctx, wait) {
			return failure.WithRan(ran)
		}
		retriesTotal.Inc()
		avoid = append(avoid, a.backend)
	}
}

func (d *Dispatcher) next(a *answer, service *services.Service, failure *result.Error, attempts int) (time.Duration, bool) {
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

func (d *Dispatcher) sleep(ctx context.Context, wait time.Duration) bool {
	return timer.Pause(d.timer, ctx.Done(), wait)
}

// admitTries is how many back ends are looked at for one attempt.
const admitTries = 3

// attempt sends the request to one back end.
func (d *Dispatcher) attempt(ctx context.Context, a *answer, avoid []string) *result.Error {
	backend, permitted, failure := d.admit(ctx, a, avoid)
	if failure != nil {
		return failure
	}
	a.backend, a.attempted, a.refused = backend.Name, time.Time{}, false
	if permitted {
		bounded, cancel := context.WithTimeout(ctx, quarantine.PermitTimeout)
		defer cancel()
		ctx = bounded
	}
	failure = d.send(ctx, a, &backend)
	d.ended(a, backend.Name, failure)
	d.guard.RecordEnd(ctx, a.request, backend.Name, permitted, failure)
	if lostServer(failure) {
		lostTotal.Inc()
		d.note("attempt failed", failure.Error(), a.request.ID(), backend.Name, a.request.Service())
	}
	return failure
}

// admit picks a back end that the guard lets the request run at; Sent was
// told to the router.
func (d *Dispatcher) admit(ctx context.Context, a *answer, avoid []string) (services.Backend, bool, *result.Error) {
	var last *result.Error
	for range admitTries {
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
		d.ended(a, backend.Name, failure)
		if failure.Code() != result.Overloaded {
			return backend, false, failure
		}
		last, avoid = failure, append(slices.Clone(avoid), backend.Name)
	}
	return services.Backend{}, false, last
}

// ended tells the router how the attempt went.
func (d *Dispatcher) ended(a *answer, backend string, failure *result.Error) {
	now := d.timer.Now()
	o := route.Outcome{Urgency: a.request.Urgency(), Failed: lostServer(failure) || a.refused}
	if failure == nil && !o.Failed && !a.attempted.IsZero() {
		o.Completed, o.ServiceTime = true, now.Sub(a.attempted)
		if a.request.Engine() {
			o.Prefix = a.request.Prefix()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordEnd(now, backend, o)
}

// lostServer reports whether the back end, not the request, is at fault. A
// first silence may be the connection's fault; the second, on a new
// connection, is the server's.
func lostServer(failure *result.Error) bool {
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

// keeperTries is how many hosts are tried as a back end's keeper.
const keeperTries = 3

// send runs the request at the keeper of the back end. A keeper host that
// can't be reached gets no byte of the request, so the next host is tried.
func (d *Dispatcher) send(ctx context.Context, a *answer, backend *services.Backend) *result.Error {
	r := a.resumed()
	for range keeperTries {
		name, address := d.fleet.Keeper(backend)
		if name == d.fleet.Self() {
			return d.local.Run(ctx, backend.Name, r, a.take)
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

// resumed returns the request that goes on from what the answer holds.
func (a *answer) resumed() *request.Request {
	text, tokens := a.transcript.Text()
	if tokens == 0 {
		return a.request
	}
	o := a.request.Options()
	o.Resume, o.ResumeTokens = text, tokens
	return request.New(o)
}

// take passes one event on; Started goes to the reader only once.
func (a *answer) take(e request.Event) error {
	switch e.Kind {
	case request.Started:
		a.attempted, a.refused = a.now(), e.Status == http.StatusServiceUnavailable
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

// sendRemote runs the request at a keeper on another host.
func (d *Dispatcher) sendRemote(ctx context.Context, a *answer, r *request.Request, backend, name, address string) *result.Error {
	client, err := d.pool.Client(address, r.Urgency())
	if err != nil {
		return result.New(result.Overloaded, "host %s: %v", name, err)
	}
	message := wire.NewRunRequest(r, backend, d.timer.Now())
	message.Origin, message.Run = d.fleet.Self(), d.runs.Add(1)
	// The stream outlives the caller, for its last event says what the run did.
	open, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { d.withdraw(open, cancel, client, message) })
	defer stop()
	stream, err := client.Run(open, message)
	if err != nil {
		return d.lost(ctx, name, err)
	}
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return result.New(result.Internal, "answer of host %s has no end", name).WithRan(result.RanMaybe)
		}
		if err != nil {
			return d.lost(ctx, name, err)
		}
		event := message.Event()
		if event.Kind == request.Finished {
			return event.Err
		}
		if err := a.take(event); err != nil {
			return result.New(result.Cancelled, "caller left: %v", err).WithRan(result.RanYes)
		}
	}
}

// lost is the failure of a call whose message may have arrived.
func (d *Dispatcher) lost(ctx context.Context, name string, err error) *result.Error {
	if ctx.Err() != nil {
		return result.New(result.Cancelled, "cancelled").WithRan(result.RanMaybe)
	}
	d.fleet.ReportUnreachable(name)
	return result.New(result.BackendFailed, "keeper host %s lost: %v", name, err).WithRan(result.RanMaybe)
}
