package ownership_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// waitTimeout bounds every wait; it is not a performance target.
const waitTimeout = time.Minute

// servers simulates backend servers that answer items with numbered events.
type servers struct {
	mu sync.Mutex
	// runs counts the runs of each item; resumed holds the event numbers after
	// which runs were resumed.
	runs    map[string]int
	resumed []int64
	// services holds the services that ran each item, in the order of its runs.
	services map[string][]string
	// sent counts the runs at each incarnation of a server.
	sent map[backend.Server]int
	// active is the number of runs in progress.
	active int
	// status maps items to an HTTP status that is returned instead of 200.
	status map[string]int
	// breakAfter, if positive, is the number of events after which the first run
	// of each item breaks off.
	breakAfter int
	// crashing is an item that crashes its server in every run, crashed the starts of
	// servers that it has crashed.
	crashing string
	crashed  map[string]bool
	// large is the item whose events are large, endless the one whose first run does
	// not end.
	large, endless string
	// block, if set, makes every run wait before its first event until it is
	// closed or the run is cancelled.
	block chan struct{}
}

func newServers() *servers {
	return &servers{
		runs: make(map[string]int), services: make(map[string][]string), sent: make(map[backend.Server]int), status: make(map[string]int),
		crashed: make(map[string]bool),
	}
}

const eventsPerItem = 5

func (s *servers) Send(ctx context.Context, b backend.Server, c *exchange.Call, resume exchange.Resume, _ time.Duration) (*exchange.Reply, error) {
	s.mu.Lock()
	s.runs[c.ID]++
	s.sent[b]++
	s.services[c.ID] = append(s.services[c.ID], b.Service)
	first := s.runs[c.ID] == 1
	status, block, breakAfter := s.status[c.ID], s.block, s.breakAfter
	large, crashing, endless := s.large, s.crashing, s.endless == c.ID && first
	if resume.Set {
		s.resumed = append(s.resumed, resume.After)
	}
	if c.ID == crashing {
		s.crashed[b.Start()] = true
	}
	s.mu.Unlock()
	if c.ID == crashing {
		return nil, &exchange.SendError{Err: io.ErrUnexpectedEOF, Sent: true}
	}
	if status != 0 {
		return &exchange.Reply{Status: status, Body: io.NopCloser(bytes.NewReader(nil))}, nil
	}
	reader, writer := io.Pipe()
	s.addActive(1)
	go func() {
		defer s.addActive(-1)
		for n := resume.After + 1; n <= eventsPerItem || endless; n++ {
			if breakAfter > 0 && first && n > int64(breakAfter) {
				_ = writer.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			if block != nil {
				select {
				case <-block:
				case <-ctx.Done():
					_ = writer.CloseWithError(ctx.Err())
					return
				}
			}
			padding := ""
			if c.ID == large || endless {
				padding = strings.Repeat("x", 300<<10)
			}
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s-%d%s\n\n", n, c.ID, n, padding); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	return &exchange.Reply{Status: http.StatusOK, EventStream: true, Body: reader}, nil
}

func (s *servers) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

func (s *servers) activeRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// totalRuns returns the number of runs of all items.
func (s *servers) totalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.runs {
		total += n
	}
	return total
}

// setCrashing sets the item that crashes its servers, "" for none.
func (s *servers) setCrashing(item string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing = item
}

// Crashed returns the same as Down.
func (s *servers) Crashed(ctx context.Context, b backend.Server) bool { return s.Down(ctx, b) }

// Watch does nothing: no crash shows later.
func (*servers) Watch(backend.Server) {}

// Down reports whether a start of a server has crashed.
func (s *servers) Down(_ context.Context, b backend.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed[b.Start()]
}

// servicesOf returns the services that ran an item, in the order of its runs.
func (s *servers) servicesOf(item string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.services[item])
}

// sentTo returns the number of runs at an incarnation of a server.
func (s *servers) sentTo(b backend.Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[b]
}

func (s *servers) runsOf(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[item]
}

// fleet holds several managers that share a store and call each other directly.
type fleet struct {
	clock   *timer.Manual
	kv      *platform.KV
	servers *servers
	// hosts is written by specs alone, with hostsMu held, as others read it meanwhile.
	hostsMu sync.RWMutex
	hosts   map[string]*host
	// noScanners makes Live return no hosts, so that no host scans.
	noScanners atomic.Bool
	// crashes is what all hosts know of items under which servers crashed, births how
	// often a server has started again.
	crashes  *suspect.Guard
	births   atomic.Int64
	logMu    sync.Mutex
	logLines []string
	// beforeLine is called before a line is written; it is nil for nothing.
	beforeLine atomic.Pointer[func(line string)]
}

// logged returns the lines with a message that the hosts wrote.
func (f *fleet) logged(message string) []string {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	var lines []string
	for _, line := range f.logLines {
		if strings.Contains(line, strconv.Quote(message)) {
			lines = append(lines, line)
		}
	}
	return lines
}

// host returns the host of a name, nil if there is none.
func (f *fleet) host(name string) *host {
	f.hostsMu.RLock()
	defer f.hostsMu.RUnlock()
	return f.hosts[name]
}

// allHosts returns all hosts, also those that are gone.
func (f *fleet) allHosts() []*host {
	f.hostsMu.RLock()
	defer f.hostsMu.RUnlock()
	return slices.Collect(maps.Values(f.hosts))
}

func (f *fleet) newLog() logr.Logger {
	return funcr.New(func(_, line string) {
		if call := f.beforeLine.Load(); call != nil {
			(*call)(line)
		}
		f.logMu.Lock()
		defer f.logMu.Unlock()
		f.logLines = append(f.logLines, line)
	}, funcr.Options{Verbosity: 1})
}

// rewrite changes a job's record in the store without notifying its owner.
func (f *fleet) rewrite(id string, change func(*jobstate.Record)) {
	GinkgoHelper()
	e, _, err := f.kv.Get(context.Background(), jobstate.RecordKey(id))
	Expect(err).NotTo(HaveOccurred())
	r, err := jobstate.DecodeRecord(e.Value)
	Expect(err).NotTo(HaveOccurred())
	change(&r)
	text, err := r.Encode()
	Expect(err).NotTo(HaveOccurred())
	_, err = f.kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: jobstate.RecordKey(id), Value: text}}})
	Expect(err).NotTo(HaveOccurred())
}

// hostStore is one host's connection to the store.
type hostStore struct {
	*platform.KV
	cutOff *atomic.Bool
	// delayedWrites holds writes back and returns no reply while it is enabled.
	delayedWrites *delayedWrites
	// commits counts the transactions.
	commits *atomic.Int64
	// before is called before each call with its kind, after once the call has taken
	// effect and before the host has its reply.
	before, after *callHook
	// loseReplies lets transactions take effect without a reply.
	loseReplies *atomic.Bool
	// staleRecords, if set, is what stale reads of the records return.
	staleRecords *atomic.Pointer[[]store.Entry]
}

// callHook is called before or after each call of a host to the store.
type callHook struct {
	mu   sync.Mutex
	hook func(op string)
}

func (c *callHook) set(hook func(op string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = hook
}

func (c *callHook) call(op string) {
	c.mu.Lock()
	hook := c.hook
	c.mu.Unlock()
	if hook != nil {
		hook(op)
	}
}

// delayedWrites is a fault that holds writes back, so that a test can apply them
// after their sender has given up.
type delayedWrites struct {
	mu      sync.Mutex
	enabled bool
	kept    []store.Txn
}

func (d *delayedWrites) set(enabled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enabled = enabled
}

// delay holds a write back if the fault is enabled and reports whether it did.
func (d *delayedWrites) delay(txn store.Txn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.enabled {
		d.kept = append(d.kept, txn)
	}
	return d.enabled
}

// takeEffect applies the writes that were held back, and holds back no more.
func (d *delayedWrites) takeEffect(kv *platform.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, txn := range d.kept {
		_, _ = kv.Commit(context.Background(), txn)
	}
	d.enabled, d.kept = false, nil
}

func (d *delayedWrites) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.kept)
}

func (s hostStore) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	s.before.call("get")
	if s.cutOff.Load() || ctx.Err() != nil {
		return store.Entry{}, false, store.ErrUnavailable
	}
	defer s.after.call("get")
	return s.KV.Get(ctx, key)
}

func (s hostStore) Range(ctx context.Context, from, to string, limit int) ([]store.Entry, int64, error) {
	s.before.call("range")
	if s.cutOff.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.KV.Range(ctx, from, to, limit)
}

func (s hostStore) RangeStale(ctx context.Context, prefix string) ([]store.Entry, error) {
	if s.cutOff.Load() {
		return nil, store.ErrUnavailable
	}
	if stale := s.staleRecords.Load(); stale != nil && prefix == jobstate.RecordPrefix {
		return *stale, nil
	}
	return s.KV.RangeStale(ctx, prefix)
}

func (s hostStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.commits.Add(1)
	s.before.call("commit")
	if ctx.Err() != nil {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	if s.cutOff.Load() {
		return store.TxnResult{}, store.ErrUnavailable
	}
	if s.delayedWrites.delay(txn) {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	defer s.after.call("commit")
	outcome, err := s.KV.Commit(ctx, txn)
	if err == nil && s.loseReplies.Load() {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return outcome, err
}

// host is one host of the fleet. It implements Peers for its manager.
type host struct {
	*ownership.Manager
	fleet *fleet
	name  string
	// dead is set if the host is gone: it and the other hosts can't reach each
	// other, and Dead returns true for it.
	dead atomic.Bool
	// earlierBuild is set if the host's pages to other hosts are those of an earlier
	// build.
	earlierBuild atomic.Bool
	// knownAfterMS, unless zero, is what the host's pages to other hosts say instead of
	// the time.
	knownAfterMS atomic.Int64
	// outdatedTotal, if above zero, makes the host answer other hosts as a former owner
	// of an earlier build does: a job of so many items has no results.
	outdatedTotal atomic.Int64
	// cutOff makes the store unavailable to this host.
	cutOff        atomic.Bool
	delayedWrites delayedWrites
	commits       atomic.Int64
	// links are the host's connections to the servers, placer its view of them.
	links                 links
	placer                *scheduler.Placer
	beforeCall, afterCall callHook
	// afterPeerCall is called once another host has answered, afterEncoding between the
	// encoding of a page and its first byte.
	afterPeerCall, afterEncoding callHook
	// peerCalls counts the reads at other hosts.
	peerCalls    atomic.Int64
	loseReplies  atomic.Bool
	staleRecords atomic.Pointer[[]store.Entry]
	// config holds configuration 1 with the route of submission, unless a test sets
	// another one.
	config *routes.Holder
	// directory holds backendServer unless a test removes it.
	directory *backend.Directory
}

// links are the connections of a host to the servers.
type links struct {
	*servers
	// restart starts a server again that has crashed.
	restart func(backend.Server)
	// beforeSend is called once there is a connection, before the first byte of an item.
	beforeSend callHook
	mu         sync.Mutex
	// cut is closed while they are cut, which breaks runs off and lets none begin.
	cut chan struct{}
}

func (l *links) Send(ctx context.Context, b backend.Server, c *exchange.Call, resume exchange.Resume, timeout time.Duration) (*exchange.Reply, error) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	select {
	case <-cut:
		return nil, &exchange.SendError{Err: syscall.ECONNREFUSED}
	default:
	}
	l.beforeSend.call("send")
	if !exchange.MaySend(ctx) {
		return nil, &exchange.SendError{Err: exchange.ErrWithdrawn}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-cut:
		case <-ctx.Done():
		}
	}()
	return l.servers.Send(ctx, b, c, resume, timeout)
}

// Crashed is that of the servers. A server that has crashed starts again.
func (l *links) Crashed(ctx context.Context, b backend.Server) bool {
	if !l.servers.Crashed(ctx, b) {
		return false
	}
	l.restart(b)
	return true
}

func (l *links) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.cut:
		return true
	default:
		return false
	}
}

// setServersCut cuts the host off from all servers, or ends this, as the host
// notices.
func (h *host) setServersCut(cut bool) {
	h.links.mu.Lock()
	if cut {
		close(h.links.cut)
	} else {
		h.links.cut = make(chan struct{})
	}
	h.links.mu.Unlock()
	h.placer.SetCutOff(cut, h.fleet.clock.Now())
}

func (h *host) CutOff(name string) bool {
	if name == h.name {
		return h.links.isCut()
	}
	return h.fleet.host(name).links.isCut()
}

func (h *host) peer(name string) (*host, *result.Error) {
	p := h.fleet.host(name)
	if p == nil || p.dead.Load() || h.dead.Load() {
		return nil, result.New(result.NoBackend, "host %s can't be reached", name)
	}
	return p, nil
}

func (h *host) Results(ctx context.Context, name, id string, after int, wait time.Duration) (ownership.ResultPage, *result.Error) {
	p, failure := h.peer(name)
	if failure != nil {
		return ownership.ResultPage{}, failure
	}
	if total := p.outdatedTotal.Load(); total > 0 {
		return ownership.ResultPage{Total: int(total), Next: after}, nil
	}
	page, failure := p.tellResults(ctx, id, after, wait, false)
	if p.earlierBuild.Load() {
		page.Confirmed, page.KnownAfterMS = false, 0
	}
	if ms := p.knownAfterMS.Load(); ms != 0 {
		page.KnownAfterMS = ms
	}
	h.peerCalls.Add(1)
	h.afterPeerCall.call("results")
	return page, failure
}

// tellResults returns the page that the host tells, as it is told to other hosts.
func (h *host) tellResults(ctx context.Context, id string, after int, wait time.Duration, mayForward bool) (page ownership.ResultPage, failure *result.Error) {
	h.TellResults(ctx, id, after, wait, mayForward, func(page ownership.ResultPage) ([]byte, error) {
		defer h.afterEncoding.call("results")
		return json.Marshal(page)
	}, func(text []byte, told *result.Error) {
		failure = told
		if failure == nil {
			Expect(json.Unmarshal(text, &page)).To(Succeed())
		}
	})
	return page, failure
}

func (h *host) Body(ctx context.Context, name, id, item string) ([]byte, *result.Error) {
	p, failure := h.peer(name)
	if failure != nil {
		return nil, failure
	}
	return p.Manager.Body(ctx, id, item, false)
}

func (h *host) End(ctx context.Context, name, id string) *result.Error {
	p, failure := h.peer(name)
	if failure != nil {
		return failure
	}
	return p.Manager.End(ctx, id, false)
}

func (h *host) Adopt(ctx context.Context, name, id string) *result.Error {
	p, failure := h.peer(name)
	if failure != nil {
		return failure
	}
	return p.Manager.Adopt(ctx, id)
}

func (h *host) Kept(_ context.Context, name, id string) *result.Error {
	p, failure := h.peer(name)
	if failure != nil {
		return failure
	}
	if p.earlierBuild.Load() {
		return result.New(result.NoBackend, "status 404")
	}
	failure = p.Manager.Kept(id)
	h.afterPeerCall.call("kept")
	return failure
}

func (h *host) Alive(name string) bool { _, failure := h.peer(name); return failure == nil }

func (h *host) Dead(_ context.Context, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !h.fleet.host(name).dead.Load() })
}

func (h *host) Live() []string {
	if h.fleet.noScanners.Load() {
		return nil
	}
	var names []string
	for _, p := range h.fleet.allHosts() {
		if !p.dead.Load() {
			names = append(names, p.name)
		}
	}
	return names
}

func (h *host) Scanners() []string { return h.Live() }

var route = &routes.Route{
	Name: "r", Host: "a.example", Prefix: "/batch/", Kind: routes.Batch, Shares: []routes.Share{{Service: "s", Weight: 1}},
	MaxAttempts: 3, DueAfter: 18 * time.Second, GiveUpAfter: 24 * time.Hour, TokenCap: 100,
}

var backendServer = backend.Server{ID: "e", Service: "s", Address: "10.0.0.1:1", Zone: "a", Slots: 8, SoftwareVersion: "v1"}

func newFleet(names ...string) *fleet {
	clock := timer.NewManual(time.Unix(1000, 0))
	f := &fleet{clock: clock, kv: platform.NewKV(clock), servers: newServers(), hosts: make(map[string]*host), crashes: suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})}
	for _, name := range names {
		f.addHost(name, name+"/1")
	}
	return f
}

func (f *fleet) addHost(name, writer string) *host {
	config := new(routes.Holder)
	config.SetIfNewer(newConfig(1, route))
	return f.addHostWith(name, writer, config)
}

// newConfig returns a configuration with the given routes.
func newConfig(version int64, list ...*routes.Route) *routes.Config {
	return routes.New(version, nil, list, nil, routes.Limits{})
}

// addHostWith is addHost with a configuration, which may hold none yet. It calls
// prepare with the host before the host is started.
func (f *fleet) addHostWith(name, writer string, config *routes.Holder, prepare ...func(*host)) *host {
	list := backend.NewDirectory(func(backend.Server, string) {})
	list.Put(backendServer)
	h := &host{fleet: f, name: name, directory: list, config: config, placer: scheduler.New(name, "a", func() float64 { return 0.5 }, func() {}), links: links{servers: f.servers, cut: make(chan struct{}), restart: func(b backend.Server) {
		b.Born = f.births.Add(1)
		for _, h := range f.allHosts() {
			h.directory.Put(b)
		}
	}}}
	h.Manager = ownership.New(ownership.Options{
		Host: name, Writer: writer, Timer: f.clock, Log: f.newLog(), Store: hostStore{f.kv, &h.cutOff, &h.delayedWrites, &h.commits, &h.beforeCall, &h.afterCall, &h.loseReplies, &h.staleRecords}, Servers: &h.links, Crashes: f.crashes, ServerDirectory: list,
		Placer: h.placer, Config: config, Peers: h,
		EndWithin: endGrace, Accepted: func(string) {}, Ended: func(id string) {
			for _, p := range f.allHosts() {
				if !p.dead.Load() {
					p.LearnEnded([]string{id})
				}
			}
		},
	})
	f.hostsMu.Lock()
	f.hosts[name] = h
	f.hostsMu.Unlock()
	for _, prepare := range prepare {
		prepare(h)
	}
	h.Start()
	DeferCleanup(func() {
		h.dead.Store(true)
		h.Stop(context.Background())
	})
	return h
}

// tick advances the manual clock by one step.
func (f *fleet) tick() { f.clock.Advance(10 * time.Millisecond) }

func (f *fleet) eventually(check func(g Gomega)) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		f.tick()
		check(g)
	}, waitTimeout, time.Millisecond).Should(Succeed())
}

func submission(id string, n int, tokens int64) ownership.Submission {
	sub := ownership.Submission{ID: id, Route: route, Host: "a.example"}
	for i := range n {
		sub.Items = append(sub.Items, jobstate.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/batch/x", Body: []byte("body"), Tokens: tokens})
	}
	return sub
}
