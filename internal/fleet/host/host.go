// Package host implements an entry host that is configured by a services text.
// It assembles the components of the host and runs its servers under a
// supervisor. Package entry implements the entry hosts of the users' platform.
//
// Every host runs the same components and can take any role. Rendezvous hashing
// over the live hosts assigns most roles: the keeper of a backend server, which
// queues and runs its requests; the home host of a small limit, which counts
// it; and the home host of a zone, which permits runs of suspect request bodies
// there. Hosts with different views of the fleet may disagree on these for a
// while. The holder of a shard and the placement host of a zone, which orders
// its engines to load and unload models, must in addition hold a lease in the
// platform's store.
//
// Host.mu guards the view of the fleet and what is derived from it. It is never
// held during a call to another host or to the store.
package host

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	"github.com/kingcupquay/kingcupquay/internal/batch/batchapi"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/fleet/membership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/supervisor"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/recorder"
	"github.com/kingcupquay/kingcupquay/internal/record/shardclient"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
	"github.com/kingcupquay/kingcupquay/internal/serving/dispatch"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/keeper"
	"github.com/kingcupquay/kingcupquay/internal/serving/onlineapi"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

const (
	keeperTickInterval = 50 * time.Millisecond
	hostListInterval   = 2 * time.Second
	peerTimeout        = time.Second
	maxHeaderBytes     = 64 << 10
	// readTimeout limits how long a caller may send nothing within a body.
	readTimeout = time.Minute
)

// Host is one entry host. It serves from Start until Stop.
type Host struct {
	settings *setup.Settings
	log      logr.Logger
	timer    timer.Service
	store    store.Store

	supervisor  *supervisor.Supervisor
	pool        *peer.Pool
	keepers     *keeper.Set
	remote      remoteRuns
	dispatcher  *dispatch.Dispatcher
	guard       *quarantine.Guard
	recorder    *recorder.Recorder
	jobs        *job.Manager
	shardClient *shardclient.Client
	admission   *call.Middleware
	parkedItems *parkedItems
	placer      *placer
	callerAPI   *onlineapi.API
	batchAPI    *batchapi.API
	eventRing   *cause.Ring
	http        *server.Hertz
	grpc        *grpc.Server
	listener    net.Listener
	callers     callerListener
	// identity is nil for plain TCP between hosts.
	identity *tls.Config

	// text is the services text in force, nil before the first. Its revision
	// never decreases.
	text     atomic.Pointer[services.Text]
	textSync *textSync

	mu   sync.Mutex
	view *membership.View
	// hostTransitions turns changes of the view into events; it is updated once per
	// heartbeat interval. It is guarded by mu.
	hostTransitions *cause.HostTransitions
	subs            []*timer.Subscription
	// unreachable and readiness are guarded by mu.
	unreachable unreachable
	readiness   readiness
	// ready is set while the host accepts callers.
	ready atomic.Bool
}

// New returns a host that does nothing until Start; s is the platform's store.
func New(settings *setup.Settings, log logr.Logger, t timer.Service, s store.Store) (*Host, error) {
	h := &Host{settings: settings, log: log.WithValues("host", settings.Name), timer: t, store: s}
	seed := xxhash.Sum64String(settings.Name)
	h.supervisor = supervisor.New(h.log)
	h.eventRing = cause.NewRing(settings.Name, t.Now)
	h.view = membership.NewView(membership.Host{
		Name: settings.Name, Zone: settings.Zone, Address: settings.PeerAddress, Incarnation: t.Now().UnixNano(),
	}, t.Now(), seed)
	s = &observedStore{Store: s, timer: t, note: h.noteAll}
	s = store.NewRateLimited(s, t, storeRateLimits, h.storeRateShares)
	h.store = s
	config, renewal, err := identityConfig(settings.TLS, t, h.note)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h.identity, h.subs = config, append(h.subs, renewal)
	h.textSync = newTextSync(h)
	h.hostTransitions = cause.NewHostTransitions(settings.Zone)
	h.pool = peer.NewPool(config)
	h.keepers = keeper.NewSet(t, engine.NewClient(t), queuePolicy(settings.Policy))
	h.guard = quarantine.NewGuard(t, (*quarantinePeers)(h), h.note)
	h.dispatcher = dispatch.New(t, (*fleetView)(h), h.keepers, h.guard, h.pool, h.text.Load, settings.Zone, seed, dispatch.Policies{
		Routing: route.Policy(settings.Routing), Retries: dispatch.RetryPolicy(settings.Retries),
	}, h.eventRing.Record)
	h.keepers.SetCacheSink(h.dispatcher.ApplyCacheReport)
	h.recorder = recorder.New(settings.Name, s, t, settings.Shards, lease.DefaultTiming, recorder.Hooks{
		Live: h.live, Acquired: h.shardAcquired, Lost: h.shardLost, Rerun: h.rerunRequest, RecordEvent: h.note,
	})
	h.parkedItems, h.placer = newParkedItems(h), newPlacer(h)
	jobs, err := job.NewManager(job.Options{
		Store: s, Timer: t, Runner: &itemRunner{host: h}, Tokens: h.recorder, Gates: h.parkedItems, Shards: settings.Shards, Note: h.note,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h.jobs = jobs
	h.shardClient = shardclient.New(h.recorder, jobs, h.pool, h.peerAddress, settings.Name)
	h.admission = call.NewMiddleware(settings.Name, t, h.text.Load, buffer.New(buffer.LimitsOf(int64(settings.MemoryMB)<<20), t.Now, buffer.NewLines(t.Now, h.log).Decided), h.eventRing.Record)
	h.callerAPI = onlineapi.New(onlineapi.Options{
		Host: settings.Name, Timer: t, Runner: h.dispatcher, Records: h.shardClient, Hosts: h.live, RecordEvent: h.eventRing.Record,
		LimitHomes: (*limitClient)(h),
	})
	h.batchAPI = batchapi.New(batchapi.Options{Jobs: h.shardClient, Store: s, Shards: settings.Shards, Note: h.eventRing.Record})
	return h, nil
}

// Listeners are the open sockets of a host.
type Listeners struct {
	Peers   net.Listener
	Callers net.Listener
}

// Listen opens the addresses of the settings.
func Listen(settings *setup.Settings) (Listeners, error) {
	peers, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return Listeners{}, trace.Wrap(err)
	}
	callers, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		_ = peers.Close()
		return Listeners{}, trace.Wrap(err)
	}
	return Listeners{Peers: peers, Callers: callers}, nil
}

// Start begins to serve on l. The host closes the sockets when it stops.
func (h *Host) Start(l Listeners) {
	h.listener = l.Peers
	h.grpc = peer.NewServer(h.identity)
	wire.RegisterPeerServer(h.grpc, &peerServer{host: h})
	h.http = h.newHTTP(l.Callers)
	h.supervisor.Start(&component{name: "peer server", run: h.servePeers})
	h.supervisor.Start(&component{name: "caller server", run: h.serveCallers})
	h.recorder.Start()
	h.subs = append(h.subs,
		h.timer.Every(membership.HeartbeatInterval, func(now time.Time) { h.sendHeartbeats(now) }),
		h.timer.Every(keeperTickInterval, func(time.Time) { h.keepers.Tick() }),
		h.timer.Every(textTickInterval, h.textSync.tick),
		h.timer.Every(parkedTickInterval, h.parkedItems.tick),
		h.timer.Every(placementTickInterval, h.placer.tick),
		h.timer.Every(flushInterval, func(time.Time) { go h.flushEvents() }),
	)
	if h.settings.HostListURL != "" {
		h.subs = append(h.subs, h.timer.Every(hostListInterval, func(time.Time) { go h.fetchHostList() }))
		go h.fetchHostList()
	}
	h.textSync.tick(h.timer.Now())
	h.log.Info("host started", "zone", h.settings.Zone, "callers", h.settings.CallerAddress)
	h.eventRing.Record("host started", "process was started", h.settings.Name)
}

// component is a function that the supervisor runs.
type component struct {
	name string
	run  func(ctx context.Context) error
}

var _ supervisor.Component = (*component)(nil)

func (p *component) Name() string                  { return p.name }
func (p *component) Run(ctx context.Context) error { return p.run(ctx) }

func (h *Host) servePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, h.grpc.Stop)
	defer stop()
	if err := h.grpc.Serve(h.listener); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return nil
}

func (h *Host) serveCallers(ctx context.Context) error {
	h.ready.Store(true)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		h.callers.CloseIdle()
		_ = h.http.Shutdown(shutdownCtx)
		h.callers.CloseAll()
	})
	defer stop()
	return h.http.Run()
}

// disableHertzLog turns off the log of the HTTP library. The host logs state
// changes and exports counters itself.
var disableHertzLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

func (h *Host) newHTTP(listener net.Listener) *server.Hertz {
	disableHertzLog()
	h.callers = newCallerListener(listener, h.settings)
	// The library's own transport reads whatever a caller sends into memory, also while
	// nothing takes it.
	s := server.New(
		server.WithTransport(standard.NewTransporter), server.WithOnAccept(withConn),
		server.WithListener(h.callers), server.WithStreamBody(true), server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
		server.WithMaxHeaderBytes(maxHeaderBytes), server.WithReadTimeout(readTimeout),
		server.WithMaxRequestBodySize(128<<20), server.WithExitWaitTime(time.Second),
		server.WithUnescapePathValues(true),
	)
	s.Use(handleCaller)
	h.callerAPI.Register(s, h.admission)
	h.batchAPI.Register(s, h.admission)
	admin.New(admin.Options{
		Timer: h.timer, Store: h.store, Text: h.text.Load, Adopt: h.textSync.adoptApplied, Status: h.status, Explain: h.explain, Page: h.page, Note: h.eventRing.Record,
		Quarantine: h.guard,
	}).Register(s)
	s.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	s.GET("/readyz", h.readyz)
	s.GET("/metrics", func(_ context.Context, c *app.RequestContext) { metrics.WritePrometheus(c, true) })
	return s
}

func (h *Host) readyz(_ context.Context, c *app.RequestContext) {
	switch {
	case !h.ready.Load():
		c.String(http.StatusServiceUnavailable, "stopping\n")
	case h.text.Load() == nil:
		c.String(http.StatusServiceUnavailable, "no services text yet\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

// Ready reports whether the host has a services text and is not stopping.
func (h *Host) Ready() bool { return h.ready.Load() && h.text.Load() != nil }

// Stop stops the host gracefully: it refuses new work, announces that it leaves,
// so that other hosts become the keepers of its backend servers, finishes the
// requests in progress, hands its shards over and closes the connections. It
// stops waiting when ctx ends.
func (h *Host) Stop(ctx context.Context) {
	h.ready.Store(false)
	h.note("host stopping", "stop was asked for", h.settings.Name)
	h.mu.Lock()
	h.view.SetLeaving()
	h.mu.Unlock()
	h.announceLeaving()
	h.admission.Stop(ctx)
	h.callerAPI.Wait(ctx)
	h.recorder.Leave(ctx)
	h.jobs.Stop()
	h.flushEvents()
	for _, sub := range h.subs {
		sub.Cancel()
	}
	h.textSync.stop()
	h.placer.stop(true)
	h.stopPeers(ctx)
	h.supervisor.Stop(ctx)
	h.keepers.Close()
	h.pool.Close()
	h.log.Info("host stopped")
}

// Kill stops the host at once, as a crash would. It is for tests.
func (h *Host) Kill() {
	h.ready.Store(false)
	for _, sub := range h.subs {
		sub.Cancel()
	}
	h.textSync.stop()
	h.placer.stop(false)
	h.recorder.Stop()
	h.jobs.Stop()
	h.grpc.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.supervisor.Stop(ctx)
	h.keepers.Close()
	h.pool.Close()
}

// stopPeers stops the peer server after the streams of other hosts have ended,
// or when ctx ends.
func (h *Host) stopPeers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		h.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		h.grpc.Stop()
	}
}

// note records an event in the event ring and in the log.
func (h *Host) note(kind, reason string, subjects ...string) {
	h.eventRing.Record(kind, reason, subjects...)
	h.log.Info(kind, "cause", reason, "subjects", subjects)
}

// live returns the names of the live hosts of all zones.
func (h *Host) live() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Live(h.timer.Now(), "")
}

func (h *Host) peerAddress(name string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.view.Host(name)
	return known.Address, ok && known.Address != ""
}

// sendHeartbeats sends the heartbeats of this interval. As long as no other host
// is known, they go to the peers of the settings.
func (h *Host) sendHeartbeats(now time.Time) {
	var revision int64
	if text := h.text.Load(); text != nil {
		revision = text.Revision()
	}
	loads := h.keepers.Loads()
	h.mu.Lock()
	h.view.SetSelf(revision, loads)
	heartbeats := h.view.Tick(now)
	message := h.view.Heartbeat(now)
	hosts := h.view.Hosts()
	h.mu.Unlock()
	h.noteHosts(now)
	h.dispatcher.SetLoads(loads)
	h.addQuarantine(message)
	message.Unready = h.placer.unreadyPairs(now)
	h.updateReadiness(h.settings.Name, message.Unready)
	for _, b := range heartbeats {
		b.Message.Quarantine, b.Message.Unready = message.Quarantine, message.Unready
	}
	for _, b := range heartbeats {
		go h.sendHeartbeat(b.Address, b.Message)
	}
	if len(hosts) == 0 {
		for _, address := range h.settings.Peers {
			if address != h.settings.PeerAddress {
				go h.sendHeartbeat(address, message)
			}
		}
	}
}

// announceLeaving sends heartbeats that mark this host as leaving, to every live
// host of the zone and at least one live host of each other zone.
func (h *Host) announceLeaving() {
	h.mu.Lock()
	now := h.timer.Now()
	heartbeats := append(h.view.Tick(now), h.view.LeavingHeartbeats(now)...)
	h.mu.Unlock()
	for _, b := range heartbeats {
		go h.sendHeartbeat(b.Address, b.Message)
	}
}

func (h *Host) sendHeartbeat(address string, message *wire.Heartbeat) {
	client, err := h.pool.Client(address, 0)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply, err := client.Beat(ctx, message)
	if err != nil {
		return
	}
	h.handleHeartbeat(reply)
}

// handleHeartbeat applies a heartbeat. If the sender has a newer services text,
// the text may be fetched.
func (h *Host) handleHeartbeat(heartbeat *wire.Heartbeat) {
	h.mu.Lock()
	h.view.ApplyHeartbeat(h.timer.Now(), heartbeat)
	h.mu.Unlock()
	h.applyQuarantine(heartbeat)
	h.updateReadiness(heartbeat.GetHost(), heartbeat.GetUnready())
	h.dispatcher.SetLoads(heartbeat.GetLoads())
	for _, other := range heartbeat.GetOthers() {
		h.dispatcher.SetLoads(other.GetLoads())
	}
	h.textSync.handlePeerRevision(heartbeat.GetHost(), heartbeat.GetRevision())
}

// fetchHostList reads the platform's host list; a failed read changes nothing.
func (h *Host) fetchHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.settings.HostListURL, nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var list []membership.ListedHost
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return
	}
	h.applyHostList(h.timer.Now(), list)
}

// status returns the state of all hosts in this host's view, itself first.
func (h *Host) status() []admin.HostStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	self := h.view.Self()
	list := []admin.HostStatus{{
		Host: self.Name, Zone: self.Zone, Revision: self.Revision, Alive: true, Leaving: self.Leaving,
		Shards: len(h.recorder.Held()),
	}}
	for _, other := range h.view.Hosts() {
		list = append(list, admin.HostStatus{
			Host: other.Name, Zone: other.Zone, Revision: other.Revision, Leaving: other.Leaving,
			Alive: h.view.Alive(now, other.Name),
		})
	}
	return list
}

// fleetView implements dispatch.Fleet.
type fleetView Host

var _ dispatch.Fleet = (*fleetView)(nil)

// KeeperHost returns the keeper of a backend server: the reachable live host of
// its zone that ranks first for it, or this host if there is none.
func (f *fleetView) KeeperHost(b *services.Backend) (name, address string) {
	h := (*Host)(f)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	live := h.unreachable.without(now, h.view.Live(now, b.Zone))
	first := rendezvous.First(live, fmt.Sprintf("keeper/%s", b.Name))
	known, ok := h.view.Host(first)
	if !ok {
		return h.settings.Name, h.settings.PeerAddress
	}
	return known.Name, known.Address
}

// Self returns this host's name.
func (f *fleetView) Self() string { return f.settings.Name }
