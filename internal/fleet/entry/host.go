// Package entry implements one entry host on the users' platform. A Host
// connects the parts of the process, follows the configuration and the list of
// backend servers in the platform's store, and starts and stops in order.
//
// A host serves as soon as it has a configuration, from the store or from
// another host, and at least one backend server. It needs no permission from
// other hosts: they exchange load counts, the configuration version and job
// ownership by notices, and a host that receives none goes on with its last
// known state.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/dial"
	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
	"github.com/kingcupquay/kingcupquay/internal/serving/crash"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
	"github.com/kingcupquay/kingcupquay/internal/serving/reach"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/slots"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// Adapter connects a Host to the platform: its store, the protocol of its
// backend servers, its record formats and its HTTP handlers.
type Adapter struct {
	Store   store.Service
	Servers exchange.Servers
	// ConfigKey is the key of the configuration, ServerPrefix the prefix of the
	// entries of backend servers.
	ConfigKey    string
	ServerPrefix string
	// ParseConfig and ParseServer parse these entries; ServerID returns the ID of
	// the server with that key.
	ParseConfig func(text []byte) (*routes.Config, error)
	ParseServer func(e store.Entry) (backend.Server, error)
	ServerID    func(key string) string
	// NewCallerHandler returns the handler of callers' requests, NewReadyHandler
	// that of the platform's readiness checks.
	NewCallerHandler func(h *Host) http.Handler
	NewReadyHandler  func(ready func() bool) http.Handler
	// RequestID returns the ID of a caller's request.
	RequestID func(r *http.Request) string
	// PromptParts returns the shared parts and the last part of the prompt of a call with
	// header fields.
	PromptParts func([]exchange.Field) (shared []string, last string)
	// Expectation returns what a call with header fields expects of its server, "" if
	// nothing.
	Expectation func([]exchange.Field) string
}

const (
	// expiryInterval is how often the directory is checked for servers that went
	// missing in an outage of the store and whose grace period is over; these are
	// removed. Who coordinates the slots is checked at the same interval.
	expiryInterval = 200 * time.Millisecond
	// headerTimeout limits the time to read a request's header, and that of a new
	// connection without one, idleTimeout the time that a keep-alive connection may stay
	// unused. Both are longer than the operator allows callers, whose headers are also
	// bounded as the configuration says.
	headerTimeout = 20 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeadBytes bounds the head of a request if the configuration does not. It is
	// several times what operators allow callers.
	maxHeadBytes = 128 << 10
	// callersName is the name of the listener of callers.
	callersName = "callers"
	// callListeners is the number of the first listeners that take calls, of other
	// hosts and of callers; the others take readiness checks and metrics.
	callListeners = 2
)

// Host is one entry host. It serves from Start until Stop.
type Host struct {
	settings *setup.Entry
	self     notice.Member
	started  time.Time
	timer    timer.Service
	log      logr.Logger
	adapter  Adapter

	config    routes.Holder
	directory *backend.Directory
	placer    *scheduler.Placer
	slots     *slots.Slots
	suspects  *suspect.Guard
	// suspectsKeeper keeps records of suspects in the store.
	suspectsKeeper *suspectsKeeper
	quotas         *quotas
	origins        *origins
	forwarder      *forward.Forwarder
	jobs           *ownership.Manager
	members        *notice.PeerTable
	notices        *notice.Exchange
	peers          *peers
	// reach is what is known of connections to servers, passing how calls are served
	// while none can be opened.
	reach *reach.Tracker
	// reachMu is held while a change of reach is applied to the other parts, so that
	// they learn of the changes in their order.
	reachMu sync.Mutex
	passing *passing
	// proofs proves that the configuration is current, keyRefusals counts the refusals by
	// key.
	proofs      *proofs
	keyRefusals map[result.Code]keyRefusal
	// memory is the budget of what is held for callers and for calls of other hosts.
	memory *buffer.Budget
	// configFollower and serverFollower follow ConfigKey and ServerPrefix in the
	// store.
	configFollower *follow.Follower
	serverFollower *follow.Follower

	stopping atomic.Bool
	// plan is nil until Stop. ending ends when its last answers are due.
	plan     atomic.Pointer[drain.Plan]
	ending   context.Context
	endCalls context.CancelCauseFunc
	// fetchingConfig and fetchingServers are set while the configuration or the
	// list of servers is fetched from another host.
	fetchingConfig  atomic.Bool
	fetchingServers atomic.Bool
	// confirming is set while other hosts are asked whether missing servers are gone.
	confirming atomic.Bool
	// httpServers[i] serves listeners[i].
	httpServers []*http.Server
	listeners   []*drain.Listener
	closedLines closedLines
	expiry      *timer.Subscription
	ctx         context.Context
	cancel      context.CancelFunc
	wait        sync.WaitGroup

	announcements announcements
	readers       readers
	// oddEntries holds the keys of the entries that name no server and were
	// logged. Only serverHandler uses it, whose calls don't overlap.
	oddEntries map[string]bool
	// storeOutage is what renewals of this host's lease show of the store.
	storeOutage outage
	// oddHosts holds the keys of the signs of life without an address, which were
	// logged. Only keepLease uses it.
	oddHosts map[string]bool
}

// New returns a host that does nothing until Start.
func New(s *setup.Entry, log logr.Logger, t timer.Service, a Adapter) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	a.Store = store.NewInstrumented(a.Store, t)
	h := &Host{settings: s, timer: t, log: log, adapter: a, ctx: ctx, cancel: cancel, started: t.Now(), oddEntries: make(map[string]bool), closedLines: newClosedLines()}
	a.Servers = &reachObserver{Servers: &limitObserver{Servers: a.Servers, host: h}, host: h}
	h.adapter.Servers = a.Servers
	h.reach, h.passing = reach.NewTracker(), newPassing(h)
	h.ending, h.endCalls = context.WithCancelCause(context.Background())
	h.self = notice.Member{Host: s.Name, Zone: s.Zone, Address: s.PeerAddress, Start: t.Now().UnixNano(), Weight: int(s.ProcessorShare * 1000)}
	h.members = notice.NewPeerTable(h.self, h.handleLiveness)
	h.placer = scheduler.New(s.Name, s.Zone, rand.Float64, h.sendNoticeSoon)
	h.directory = backend.NewDirectory(func(b backend.Server, state string) {
		log.Info("server", "server", b.ID, "service", b.Service, "address", b.Address, "zone", b.Zone, "slots", b.Slots, "software", b.SoftwareVersion, "state", state)
	})
	h.slots = slots.New(t, log, h.self, h.placer, h.directory, (*slotsNetwork)(h), func() { h.jobs.TriggerSchedule() })
	h.suspects = suspect.NewGuard(t, log, (*suspectsFleet)(h))
	h.suspectsKeeper = newSuspectsKeeper(h)
	h.quotas = newQuotas(h)
	h.origins = newOrigins(h)
	h.proofs, h.keyRefusals = newProofs(h), newKeyRefusals()
	servers := crash.NewDetector(t, log, a.Servers, h.directory, h.suspects)
	h.suspects.SetReaches(servers.Reaches)
	h.forwarder = forward.New(t, log, servers, h.directory, h.slots, h.suspects, h.origins, (*stopAdmission)(h))
	h.forwarder.SetPeers(h.passing)
	h.memory = buffer.New(memoryLimits(s), t.Now, buffer.NewLines(t.Now, log).Decided)
	h.forwarder.SetAnswers(h.memory)
	h.peers = newPeers(h)
	h.configFollower = follow.New(t, log, a.Store, a.ConfigKey, (*configHandler)(h), h.readsStore, h.readerCount)
	h.serverFollower = follow.New(t, log, a.Store, a.ServerPrefix, (*serverHandler)(h), h.readsStore, h.readerCount)
	h.jobs = ownership.New(ownership.Options{
		Host: s.Name, Writer: s.Name + "/" + strconv.FormatInt(t.Now().UnixNano(), 36), Timer: t, Log: log, Store: a.Store,
		Servers: servers, Crashes: h.suspects, PromptParts: a.PromptParts, Expectation: a.Expectation, ServerDirectory: h.directory, Placer: h.placer, Config: &h.config, Peers: h.peers, EndWithin: s.JobEnd(), MaxItemBytes: memoryLimits(s).Jobs,
		Accepted: func(id string) { h.announceJob(&h.announcements.owned, id) }, Ended: func(id string) { h.announceJob(&h.announcements.ended, id) },
	})
	return h
}

// sendNoticeSoon requests that a notice be sent soon; it does nothing before
// Start.
func (h *Host) sendNoticeSoon() {
	if h.notices != nil {
		h.notices.TriggerSend()
	}
}

// Listeners are the open sockets of a host. Metrics may be nil.
type Listeners struct {
	Notices                        *net.UDPConn
	Peers, Callers, Ready, Metrics net.Listener
}

// Listen opens the addresses of the settings.
func Listen(s *setup.Entry) (Listeners, error) {
	var l Listeners
	var err error
	if l.Notices, err = notice.Listen(s.PeerAddress); err != nil {
		return l, trace.Wrap(err)
	}
	config := net.ListenConfig{KeepAliveConfig: dial.KeepAlive(), Control: dial.SetUserTimeout}
	for _, target := range []struct {
		listener *net.Listener
		address  string
	}{{&l.Peers, s.PeerAddress}, {&l.Callers, s.CallerAddress}, {&l.Ready, s.ReadyAddress}, {&l.Metrics, s.MetricsAddress}} {
		if target.address == "" {
			continue
		}
		if *target.listener, err = config.Listen(context.Background(), "tcp4", target.address); err != nil {
			l.Close()
			return l, trace.ConvertSystemError(err)
		}
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() {
	if l.Notices != nil {
		_ = l.Notices.Close()
	}
	for _, listener := range []net.Listener{l.Peers, l.Callers, l.Ready, l.Metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Start begins to serve on l. The host closes the sockets when it stops.
func (h *Host) Start(l Listeners) {
	h.notices = notice.NewExchange(h.timer, h.log, h.members, h.self, l.Notices, (*statusSource)(h))
	h.serve("peers", l.Peers, h.peers.handler(), nil)
	h.serve(callersName, l.Callers, h.adapter.NewCallerHandler(h), h.adapter.RequestID)
	h.serve("ready", l.Ready, h.adapter.NewReadyHandler(h.Ready), nil)
	if l.Metrics != nil {
		h.serve("metrics", l.Metrics, MetricsHandler(), nil)
	}
	h.members.SetSeeds(h.timer.Now(), h.settings.Seeds)
	h.notices.Start()
	h.slots.Start()
	h.quotas.start()
	h.runFollower(h.configFollower)
	h.runFollower(h.serverFollower)
	h.wait.Add(4)
	go h.suspectsKeeper.run()
	go h.keepLease()
	go h.origins.run()
	go h.proofs.run()
	h.jobs.Start()
	h.expiry = h.timer.Every(expiryInterval, func(now time.Time) { h.tick(now) })
	h.log.Info("started", "host", h.settings.Name, "zone", h.settings.Zone, "callers", h.settings.CallerAddress, "peers", h.settings.PeerAddress, "seeds", len(h.settings.Seeds))
}

func (h *Host) serve(name string, l net.Listener, handler http.Handler, requestID func(*http.Request) string) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes}
	listener := drain.NewListener(l)
	listener.Closed, listener.RequestID = h.logClosed(name), requestID
	if name == callersName {
		listener.Bounds, listener.MaxConns = h.headBounds, setup.MaxCallers(h.settings.MaxDescriptors, h.settings.MemoryMB)
	}
	h.httpServers, h.listeners = append(h.httpServers, server), append(h.listeners, listener)
	go func() {
		if err := drain.Serve(server, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.log.Error(err, "listener ended", "address", l.Addr().String())
		}
	}()
}

func (h *Host) tick(now time.Time) {
	h.directory.Expire(now)
	h.slots.Tick()
	h.probeServers(now)
}

// Kill stops the host at once, as if its process were killed. It is for tests.
func (h *Host) Kill() {
	for _, server := range h.httpServers {
		_ = server.Close()
	}
	h.expiry.Cancel()
	h.quotas.close()
	h.cancel()
	h.notices.Close()
	h.slots.Close()
	h.jobs.Kill()
	h.wait.Wait()
}

// MetricsHandler returns a handler that writes the metrics of the process in
// the Prometheus format.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
}

func (h *Host) runFollower(f *follow.Follower) {
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		f.Run(h.ctx)
	}()
}

// Reload applies the seeds and the memory of changed settings. The host's own addresses
// and the number of its connections stay as they were at Start.
func (h *Host) Reload(s *setup.Entry) {
	h.memory.SetLimits(memoryLimits(s))
	h.members.SetSeeds(h.timer.Now(), s.Seeds)
}

// Ready reports whether the host accepts callers: it has a configuration and a
// backend server, and is not stopping.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.config.Current() != nil && h.directory.Len() > 0
}

// Stop stops the host gracefully: it reports that it is not ready, finishes the
// requests in progress and hands its jobs over to other hosts. Calls that would
// outlast the grace period are ended shortly before; see drain.Plan.
func (h *Host) Stop() {
	began := h.timer.Now()
	plan := drain.NewPlan(began, time.Duration(h.settings.GraceSeconds*float64(time.Second)))
	h.plan.Store(&plan)
	h.stopping.Store(true)
	h.notices.SetStopping()
	h.log.Info("stopping", "host", h.settings.Name)
	ctx, cancel := context.WithTimeout(context.Background(), plan.Close.Sub(began))
	defer cancel()
	lastAnswer := h.timer.After(plan.LastAnswer.Sub(began), func(time.Time) { h.endCalls(errStopping) })
	defer lastAnswer.Cancel()
	jobsStopped := make(chan struct{})
	go func() {
		defer close(jobsStopped)
		h.jobs.Stop(ctx)
	}()
	timer.Pause(h.timer, ctx.Done(), plan.Drain.Sub(h.timer.Now()))
	// A call of another host may last as long as the grace period, and callers must
	// not be accepted meanwhile. Readiness checks and metrics are answered until
	// all calls have ended.
	var calls sync.WaitGroup
	for n := range h.listeners[:callListeners] {
		calls.Add(1)
		go func() {
			defer calls.Done()
			h.drain(ctx, n)
		}()
	}
	calls.Wait()
	for n := callListeners; n < len(h.listeners); n++ {
		h.drain(ctx, n)
	}
	select {
	case <-jobsStopped:
	case <-ctx.Done():
		h.log.Info("jobs left at the end")
	}
	h.expiry.Cancel()
	h.quotas.close()
	h.cancel()
	h.notices.Close()
	h.slots.Close()
	h.wait.Wait()
	h.log.Info("stopped", "host", h.settings.Name, "took_ms", h.timer.Now().Sub(began).Milliseconds())
}

// drain drains the listener with that index and closes what is left.
func (h *Host) drain(ctx context.Context, n int) {
	if err := h.listeners[n].Drain(ctx); err != nil {
		h.log.Info("requests left at the end", "cause", err.Error())
	}
	// Only requests that did not finish in time still have connections.
	_ = h.httpServers[n].Close()
	h.log.Info("idle connections closed", "address", h.listeners[n].Addr().String(), "connections", h.listeners[n].IdleClosed())
}

// applyConfig puts a configuration in force if it is newer than the current
// one.
func (h *Host) applyConfig(text []byte, from string) {
	config, err := h.adapter.ParseConfig(text)
	if err != nil {
		h.log.Error(err, "configuration can't be read", "from", from)
		return
	}
	if h.config.SetIfNewer(config) {
		h.log.Info("configuration in force", "version", config.Version(), "from", from)
		h.sendNoticeSoon()
		h.passOn()
		h.proofs.trigger()
	}
}

// configHandler applies the configuration that is read from the store.
type configHandler Host

var _ follow.Handler = (*configHandler)(nil)

// Listed applies the configuration in the store.
func (r *configHandler) Listed(entries []store.Entry, _ time.Duration) {
	for _, e := range entries {
		r.apply(e)
	}
}

// Changed applies a new configuration. A deletion is ignored: the last one
// stays in force.
func (r *configHandler) Changed(e store.Event, _ time.Duration) {
	if !e.Deleted {
		r.apply(e.Entry)
	}
}

func (r *configHandler) apply(e store.Entry) {
	if e.Key == r.adapter.ConfigKey {
		(*Host)(r).applyConfig(e.Value, "store")
	}
}

// serverHandler applies the list of servers that is read from the store.
type serverHandler Host

var _ follow.Handler = (*serverHandler)(nil)

// Listed replaces the list of servers. An entry that can't be parsed removes its
// server at once: it is not missing.
func (r *serverHandler) Listed(entries []store.Entry, grace time.Duration) {
	var list []backend.Server
	odd := make(map[string]bool)
	for _, e := range entries {
		if s, ok := r.parse(e); ok {
			list = append(list, s)
		} else {
			odd[e.Key] = true
		}
	}
	r.oddEntries = odd
	now := r.timer.Now()
	r.directory.Replace(now, list, grace)
	for key := range odd {
		r.directory.Remove(now, r.adapter.ServerID(key), 0)
	}
	r.origins.observe()
	if grace > 0 {
		(*Host)(r).confirmMissing()
	}
}

// Changed applies one changed entry. An entry that can't be parsed removes its
// server.
func (r *serverHandler) Changed(e store.Event, grace time.Duration) {
	id := r.adapter.ServerID(e.Key)
	if e.Deleted {
		delete(r.oddEntries, e.Key)
		r.directory.Remove(r.timer.Now(), id, grace)
		r.placer.RemoveServer(id)
		(*Host)(r).passOn()
		if grace > 0 {
			(*Host)(r).confirmMissing()
		}
		return
	}
	s, ok := r.parse(e.Entry)
	if !ok {
		r.oddEntries[e.Key] = true
		r.directory.Remove(r.timer.Now(), id, 0)
		return
	}
	delete(r.oddEntries, e.Key)
	r.directory.Put(s)
	r.origins.observe()
	(*Host)(r).passOn()
}

// parse parses an entry. It logs one that can't be parsed, unless that was logged
// since it was last good or absent.
func (r *serverHandler) parse(e store.Entry) (backend.Server, bool) {
	var s backend.Server
	var err error
	if len(e.Value) <= follow.MaxPassedBytes {
		s, err = r.adapter.ParseServer(e)
	} else {
		// Other hosts get it without its value.
		err = trace.LimitExceeded("%d bytes, more than %d", len(e.Value), follow.MaxPassedBytes)
	}
	if err != nil && !r.oddEntries[e.Key] {
		r.log.Info("entry names no server", "key", e.Key, "cause", err.Error())
	}
	return s, err == nil
}

// The methods below are used by the handler of callers' requests.

// Now returns the current time of the host's timer, which calls are stamped
// with.
func (h *Host) Now() time.Time { return h.timer.Now() }

// Config returns the configuration in force, nil if there is none yet.
func (h *Host) Config() *routes.Config { return h.config.Current() }

// Memory returns the budget of what is held for callers.
func (h *Host) Memory() *buffer.Budget { return h.memory }

// Stopping reports whether connections should be closed after their next
// response.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Serve forwards a call to a backend server; see forward.Forwarder.
func (h *Host) Serve(ctx context.Context, c *exchange.Call, out forward.ResponseWriter) (bool, *result.Error) {
	return h.forwarder.Serve(ctx, c, out)
}

// Submit accepts a job; see ownership.Manager.
func (h *Host) Submit(ctx context.Context, s ownership.Submission) *result.Error {
	return h.jobs.Submit(ctx, s)
}

// TellResults passes results of a job to tell; see ownership.Manager.
func (h *Host) TellResults(ctx context.Context, id string, after int, wait time.Duration, encode func(ownership.ResultPage) ([]byte, error), tell func([]byte, *result.Error)) {
	h.jobs.TellResults(ctx, id, after, wait, true, encode, tell)
}

// TellBody passes the body of an item whose result is not listed yet to tell.
func (h *Host) TellBody(ctx context.Context, id, item string, tell func([]byte, *result.Error)) {
	h.jobs.TellBody(ctx, id, item, tell)
}

// TellEnd ends a job, whose owner may be another host, and passes the outcome to tell.
func (h *Host) TellEnd(ctx context.Context, id string, tell func(*result.Error)) {
	h.jobs.TellEnd(ctx, id, tell)
}

var handlerFaultsTotal = metrics.NewCounter("kingcupquay_handler_faults_total")

// LogFault logs that the handler of a request panicked.
func (h *Host) LogFault(id, target string, failure *result.Error, stack []byte) {
	handlerFaultsTotal.Inc()
	h.log.Error(failure, "handler failed", "request", id, "path", target, "stack", string(stack))
}

// LogRefusal logs a request that was refused before it became a call. Those over the
// limit of an organisation are counted and logged by quotas.
func (h *Host) LogRefusal(id, target string, failure *result.Error) {
	if failure.Code() == result.RateLimited || h.logKeyRefusal(id, target, failure) {
		return
	}
	h.log.Info("refused", "request", id, "path", target, "cause", failure.Error(), "config", h.config.Version())
}
