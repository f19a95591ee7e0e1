// Package entry is one entry host on the users' platform: it puts the parts
// together, follows the platform's store, and starts and stops in order.
//
// A host serves as soon as it knows a configuration, from the store or from
// another host, and a server. It asks nobody for leave: occupancy, configuration
// and jobs are told between hosts by notices, and a host that hears none goes on
// with what it knows.
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
	"github.com/kingcupquay/kingcupquay/internal/fleet/kept"
	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

// Adapter is the platform's manner of speaking.
type Adapter struct {
	Store   store.Whole
	Servers exchange.Servers
	// ConfigKey holds the configuration, ServerPrefix the entries of servers.
	ConfigKey    string
	ServerPrefix string
	Config       func(text []byte) (*routes.Config, error)
	Server       func(e store.Entry) (backend.Server, error)
	ServerID     func(key string) string
	Front        func(h *Host) http.Handler
	Ready        func(ready func() bool) http.Handler
}

const (
	// expireEvery is the time between two looks at servers that an outage of the
	// store took from the list.
	expireEvery = 100 * time.Millisecond
	// headerTimeout bounds the time for a request's head, idleTimeout the time
	// that a kept connection may stay unused; both are above what the operator
	// allows callers.
	headerTimeout = 20 * time.Second
	idleTimeout   = 90 * time.Second
	// drainTime is how long connections are still accepted after the word to
	// stop: the platform asks once a second and needs two answers.
	drainTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace time that is kept for the end itself.
	stopMargin = 500 * time.Millisecond
	// jobsTold is how many of its newest jobs a host tells in each notice, for
	// jobsToldFor.
	jobsTold    = 24
	jobsToldFor = 2 * time.Second
)

// Host is one entry host.
type Host struct {
	settings *setup.Entry
	timer    timer.Service
	log      logr.Logger
	adapter  Adapter

	config    routes.Holder
	list      *backend.Directory
	placer    *scheduler.Placer
	forwarder *forward.Forwarder
	jobs      *ownership.Manager
	book      *notice.Book
	notices   *notice.Exchange
	peers     *peers
	// texts and registry follow the configuration and the list of servers.
	texts    *follow.Follower
	registry *follow.Follower

	stopping atomic.Bool
	fetching atomic.Bool
	// servers serve conns, each at the same place.
	servers []*http.Server
	conns   []*kept.Listener
	expiry  *timer.Subscription
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu sync.Mutex
	// told are jobs that this host has come to own, ended those that were ended
	// through it.
	told  recent
	ended recent
}

// recent is a list of jobs that something has happened to, oldest first.
type recent []recentJob

type recentJob struct {
	id string
	at time.Time
}

// newest drops what is too old to be told and returns the newest of the rest.
func (r *recent) newest(now time.Time) []string {
	for len(*r) > 0 && now.Sub((*r)[0].at) > jobsToldFor {
		*r = (*r)[1:]
	}
	var ids []string
	for _, one := range (*r)[max(0, len(*r)-jobsTold):] {
		ids = append(ids, one.id)
	}
	return ids
}

// New returns a host that does nothing until Start.
func New(s *setup.Entry, log logr.Logger, t timer.Service, a Adapter) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	a.Store = store.NewCounted(a.Store, t)
	h := &Host{settings: s, timer: t, log: log, adapter: a, ctx: ctx, cancel: cancel}
	h.book = notice.NewBook(s.Name, s.Zone, s.PeerAddress, func(host string, live bool) {
		log.Info("host seen", "host", host, "live", live)
		if live {
			h.peers.returned(host)
			// It may have missed who owns what.
			go h.retell()
		} else {
			go h.silent(host)
		}
	})
	h.placer = scheduler.New(s.Name, s.Zone, rand.Float64, h.changed)
	h.list = backend.NewDirectory(func(b backend.Server, state string) {
		log.Info("server", "server", b.ID, "service", b.Service, "address", b.Address, "zone", b.Zone, "slots", b.Slots, "state", state)
	})
	h.forwarder = forward.New(t, log, a.Servers, h.list, h.placer)
	h.peers = newPeers(h)
	readers := func() int { return 1 + len(h.book.Live()) }
	h.texts = follow.New(t, log, a.Store, a.ConfigKey, (*configReader)(h), readers)
	h.registry = follow.New(t, log, a.Store, a.ServerPrefix, (*serverReader)(h), readers)
	h.jobs = ownership.New(ownership.Options{
		Host: s.Name, Writer: s.Name + "/" + strconv.FormatInt(t.Now().UnixNano(), 36), Timer: t, Log: log, Store: a.Store,
		Servers: a.Servers, ServerDirectory: h.list, Placer: h.placer, Config: &h.config, Peers: h.peers,
		Accepted: func(id string) { h.tell(&h.told, id) }, Ended: func(id string) { h.tell(&h.ended, id) },
	})
	return h
}

func (h *Host) changed() {
	if h.notices != nil {
		h.notices.Changed()
	}
}

// Listeners are the open addresses of a host; Metrics may be nil.
type Listeners struct {
	Notices                        *net.UDPConn
	Peers, Callers, Ready, Metrics net.Listener
}

// Listen opens the addresses that the settings name.
func Listen(s *setup.Entry) (Listeners, error) {
	var l Listeners
	var err error
	if l.Notices, err = notice.Listen(s.PeerAddress); err != nil {
		return l, trace.Wrap(err)
	}
	config := net.ListenConfig{KeepAliveConfig: dial.KeepAlive(), Control: dial.SetUnacknowledged}
	for _, one := range []struct {
		to      *net.Listener
		address string
	}{{&l.Peers, s.PeerAddress}, {&l.Callers, s.CallerAddress}, {&l.Ready, s.ReadyAddress}, {&l.Metrics, s.MetricsAddress}} {
		if one.address == "" {
			continue
		}
		if *one.to, err = config.Listen(context.Background(), "tcp4", one.address); err != nil {
			l.Close()
			return l, trace.ConvertSystemError(err)
		}
	}
	return l, nil
}

// Close closes what is open.
func (l Listeners) Close() {
	if l.Notices != nil {
		_ = l.Notices.Close()
	}
	for _, one := range []net.Listener{l.Peers, l.Callers, l.Ready, l.Metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// Start begins to serve at the open addresses, which the host closes.
func (h *Host) Start(l Listeners) {
	h.notices = notice.NewExchange(h.timer, h.log, h.book, l.Notices, h.compose, h.heard)
	h.serve(l.Peers, h.peers.handler())
	h.serve(l.Callers, h.adapter.Front(h))
	h.serve(l.Ready, h.adapter.Ready(h.Ready))
	if l.Metrics != nil {
		h.serve(l.Metrics, MetricsHandler())
	}
	h.book.Learn(h.timer.Now(), h.settings.Seeds...)
	h.notices.Start()
	h.run(h.texts)
	h.run(h.registry)
	h.wait.Add(1)
	go h.lease()
	h.jobs.Start()
	h.expiry = h.timer.Every(expireEvery, func(now time.Time) { h.tick(now) })
	h.log.Info("started", "host", h.settings.Name, "zone", h.settings.Zone, "callers", h.settings.CallerAddress, "peers", h.settings.PeerAddress, "seeds", len(h.settings.Seeds))
}

func (h *Host) serve(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	conns := kept.NewListener(l)
	h.servers, h.conns = append(h.servers, server), append(h.conns, conns)
	go func() {
		if err := kept.Serve(server, conns); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.log.Error(err, "listener ended", "address", l.Addr().String())
		}
	}()
}

func (h *Host) tick(now time.Time) {
	h.list.Expire(now)
	h.placer.SetLargeFleet(h.book.Large())
}

// Kill ends the host at once, as when its process is killed; for tests.
func (h *Host) Kill() {
	for _, server := range h.servers {
		_ = server.Close()
	}
	h.expiry.Cancel()
	h.cancel()
	h.notices.Close()
	h.jobs.Kill()
	h.wait.Wait()
}

// MetricsHandler shows the process's metrics.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
}

func (h *Host) run(f *follow.Follower) {
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		f.Run(h.ctx)
	}()
}

// Reload takes changed settings; addresses stay as they were at the start.
func (h *Host) Reload(s *setup.Entry) {
	h.book.Learn(h.timer.Now(), s.Seeds...)
}

// Ready reports whether callers may come.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.config.Current() != nil && h.list.Len() > 0
}

// Stop ends the host: callers are sent elsewhere, what is in work is answered,
// jobs go to other hosts.
func (h *Host) Stop() {
	began := h.timer.Now()
	h.stopping.Store(true)
	h.notices.Changed()
	h.log.Info("stopping", "host", h.settings.Name)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(h.settings.GraceSeconds*float64(time.Second))-stopMargin)
	defer cancel()
	given := make(chan struct{})
	go func() {
		defer close(given)
		h.jobs.Stop(ctx)
	}()
	timer.Pause(h.timer, ctx.Done(), drainTime-h.timer.Now().Sub(began))
	for n, conns := range h.conns {
		if err := conns.End(ctx); err != nil {
			h.log.Info("requests left at the end", "cause", err.Error())
		}
		// Nothing is left but what the time did not suffice for.
		_ = h.servers[n].Close()
	}
	select {
	case <-given:
	case <-ctx.Done():
		h.log.Info("jobs left at the end")
	}
	h.expiry.Cancel()
	h.cancel()
	h.notices.Close()
	h.wait.Wait()
	h.log.Info("stopped", "host", h.settings.Name, "took_ms", h.timer.Now().Sub(began).Milliseconds())
}

// tell notes a job to tell other hosts of.
func (h *Host) tell(list *recent, id string) {
	h.mu.Lock()
	*list = append(*list, recentJob{id: id, at: h.timer.Now()})
	h.mu.Unlock()
	h.changed()
}

// silent looks whether a host that has fallen silent is gone, and for its jobs.
func (h *Host) silent(host string) {
	h.peers.probe(h.ctx, host)
	h.jobs.TriggerScan()
}

// retell tells other hosts once more of the jobs that this host owns.
func (h *Host) retell() {
	for _, id := range h.jobs.OwnedJobs() {
		h.tell(&h.told, id)
	}
}

func (h *Host) compose() notice.Notice {
	now := h.timer.Now()
	loads, backlog := h.placer.LocalState(now)
	h.mu.Lock()
	told, ended := h.told.newest(now), h.ended.newest(now)
	h.mu.Unlock()
	return notice.Notice{
		Host: h.settings.Name, Zone: h.settings.Zone, Address: h.settings.PeerAddress, Config: h.config.Version(),
		Servers: h.registry.Applied(), Stopping: h.stopping.Load(), Loads: loads, Backlog: backlog, Jobs: told, Ended: ended,
	}
}

// heard takes a notice.
func (h *Host) heard(n notice.Notice) {
	h.placer.Report(n.Host, n.Zone, h.timer.Now(), n.Loads, n.Backlog)
	h.registry.Nudge(n.Servers)
	if len(n.Jobs) > 0 {
		h.jobs.LearnOwner(n.Host, n.Jobs)
	}
	if len(n.Ended) > 0 {
		h.jobs.LearnEnded(n.Ended)
	}
	if n.Config > h.config.Version() && h.fetching.CompareAndSwap(false, true) {
		go func() {
			defer h.fetching.Store(false)
			h.fetchConfig(n.Address)
		}()
	}
	h.jobs.TriggerSchedule()
}

func (h *Host) fetchConfig(address string) {
	text, err := h.peers.config(h.ctx, address)
	if err != nil {
		h.log.Info("configuration not fetched", "from", address, "cause", err.Error())
		return
	}
	h.offer(text, address)
}

// offer puts a configuration in force if it is newer than what is.
func (h *Host) offer(text []byte, from string) {
	config, err := h.adapter.Config(text)
	if err != nil {
		h.log.Error(err, "configuration can't be read", "from", from)
		return
	}
	if h.config.Offer(config) {
		h.log.Info("configuration in force", "version", config.Version(), "from", from)
		h.changed()
	}
}

// configReader takes the configuration from the store.
type configReader Host

var _ follow.Reader = (*configReader)(nil)

// Listed takes the configuration that stands in the store.
func (r *configReader) Listed(entries []store.Entry, _ time.Duration) {
	for _, e := range entries {
		r.take(e)
	}
}

// Changed takes a new configuration.
func (r *configReader) Changed(e store.Event, _ time.Duration) {
	if !e.Deleted {
		r.take(e.Entry)
	}
}

func (r *configReader) take(e store.Entry) {
	if e.Key == r.adapter.ConfigKey {
		(*Host)(r).offer(e.Value, "store")
	}
}

// serverReader takes the list of servers from the store.
type serverReader Host

var _ follow.Reader = (*serverReader)(nil)

// Listed takes the whole list.
func (r *serverReader) Listed(entries []store.Entry, grace time.Duration) {
	var list []backend.Server
	for _, e := range entries {
		s, err := r.adapter.Server(e)
		if err != nil {
			r.log.Info("entry names no server", "key", e.Key, "cause", err.Error())
			continue
		}
		list = append(list, s)
	}
	r.list.Replace(r.timer.Now(), list, grace)
}

// Changed takes one changed entry.
func (r *serverReader) Changed(e store.Event, grace time.Duration) {
	id := r.adapter.ServerID(e.Key)
	if e.Deleted {
		r.list.Remove(r.timer.Now(), id, grace)
		r.placer.RemoveServer(id)
		return
	}
	s, err := r.adapter.Server(e.Entry)
	if err != nil {
		r.log.Info("entry names no server", "key", e.Key, "cause", err.Error())
		r.list.Remove(r.timer.Now(), id, 0)
		return
	}
	r.list.Put(s)
}

// The methods below are what callers' requests are served with.

// Now is the time that calls are dated with.
func (h *Host) Now() time.Time { return h.timer.Now() }

// Config is the configuration in force, nil before the first.
func (h *Host) Config() *routes.Config { return h.config.Current() }

// Stopping reports whether connections should end with their next answer.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Serve answers a call; see forward.Forwarder.
func (h *Host) Serve(ctx context.Context, c *exchange.Call, out forward.Out) (bool, *result.Error) {
	return h.forwarder.Serve(ctx, c, out)
}

// Submit accepts a job; see ownership.Manager.
func (h *Host) Submit(ctx context.Context, s ownership.Submission) *result.Error {
	return h.jobs.Submit(ctx, s)
}

// Results reads a job's results.
func (h *Host) Results(ctx context.Context, id string, after int, wait time.Duration) (ownership.ResultPage, *result.Error) {
	return h.jobs.Results(ctx, id, after, wait, true)
}

// Body reads the body of an item.
func (h *Host) Body(ctx context.Context, id, item string) ([]byte, *result.Error) {
	return h.jobs.Body(ctx, id, item, true)
}

// End ends a job.
func (h *Host) End(ctx context.Context, id string) *result.Error {
	return h.jobs.End(ctx, id, true)
}

// Refused notes a request that was refused before it became a call.
func (h *Host) Refused(id, target string, failure *result.Error) {
	h.log.Info("refused", "request", id, "path", target, "cause", failure.Error(), "config", h.config.Version())
}
