package ownership_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
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
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// patience bounds every wait; it is no statement on speed.
const patience = 20 * time.Second

// servers are back ends that answer items with numbered events.
type servers struct {
	mu sync.Mutex
	// runs counts the runs of each item, resumed those that went on.
	runs    map[string]int
	resumed []int64
	// status answers an item with another status than 200.
	status map[string]int
	// breakAfter breaks the first run of each item off after so many events.
	breakAfter int
	// crashing is an item each of whose runs ends with its server.
	crashing string
	// large is the item whose events are large.
	large string
	// hold, if set, keeps every run waiting before its first event until closed
	// or cancelled.
	hold chan struct{}
}

func newServers() *servers {
	return &servers{runs: make(map[string]int), status: make(map[string]int)}
}

const eventsOfItem = 5

func (s *servers) Send(ctx context.Context, _ backend.Server, c *exchange.Call, resume exchange.Resume, _ time.Duration) (*exchange.Reply, error) {
	s.mu.Lock()
	s.runs[c.ID]++
	first := s.runs[c.ID] == 1
	status, hold, breakAfter := s.status[c.ID], s.hold, s.breakAfter
	large, crashing := s.large, s.crashing
	if resume.Set {
		s.resumed = append(s.resumed, resume.After)
	}
	s.mu.Unlock()
	if c.ID == crashing {
		return nil, &exchange.SendError{Err: io.ErrUnexpectedEOF, Sent: true}
	}
	if status != 0 {
		return &exchange.Reply{Status: status, Body: io.NopCloser(bytes.NewReader(nil))}, nil
	}
	reader, writer := io.Pipe()
	go func() {
		for n := resume.After + 1; n <= eventsOfItem; n++ {
			if breakAfter > 0 && first && n > int64(breakAfter) {
				_ = writer.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			if hold != nil {
				select {
				case <-hold:
				case <-ctx.Done():
					_ = writer.CloseWithError(ctx.Err())
					return
				}
			}
			padding := ""
			if c.ID == large {
				padding = strings.Repeat("x", 300<<10)
			}
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s-%d%s\n\n", n, c.ID, n, padding); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	return &exchange.Reply{Status: http.StatusOK, Body: reader}, nil
}

// Down says that a server that broke an item off has crashed, if the test says so.
func (s *servers) Down(context.Context, backend.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashing != ""
}

func (s *servers) runsOf(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[item]
}

// fleet is several managers on one store that reach each other directly.
type fleet struct {
	clock   *timer.Manual
	kv      *platform.KV
	servers *servers
	hosts   map[string]*host
	// offDuty makes hosts believe that enough others scan.
	offDuty bool
}

// rewrite changes a job's record behind its owner's back.
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

// gated is the store as one host reaches it.
type gated struct {
	*platform.KV
	cut *atomic.Bool
	// late keeps writes back and gives no answer while it is on.
	late *late
}

// late is a fault: writes are done some time after they were given up.
type late struct {
	mu   sync.Mutex
	on   bool
	kept []store.Txn
}

func (l *late) set(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = on
}

// keep reports whether a write is kept back.
func (l *late) keep(txn store.Txn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.on {
		l.kept = append(l.kept, txn)
	}
	return l.on
}

func (l *late) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.kept)
}

func (g gated) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	if g.cut.Load() {
		return store.Entry{}, false, store.ErrUnavailable
	}
	return g.KV.Get(ctx, key)
}

func (g gated) Range(ctx context.Context, from, to string, limit int) ([]store.Entry, int64, error) {
	if g.cut.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return g.KV.Range(ctx, from, to, limit)
}

func (g gated) RangeStale(ctx context.Context, prefix string) ([]store.Entry, error) {
	if g.cut.Load() {
		return nil, store.ErrUnavailable
	}
	return g.KV.RangeStale(ctx, prefix)
}

func (g gated) Commit(ctx context.Context, txn store.Txn) (store.Outcome, error) {
	if g.cut.Load() {
		return store.Outcome{}, store.ErrUnavailable
	}
	if g.late.keep(txn) {
		return store.Outcome{}, store.ErrUnclear
	}
	return g.KV.Commit(ctx, txn)
}

type host struct {
	*ownership.Manager
	fleet *fleet
	name  string
	// dead hosts are reached by nobody and have no sign of life.
	dead atomic.Bool
	// cut hosts do not reach the store.
	cut  atomic.Bool
	late late
}

func (h *host) peer(name string) (*host, *result.Error) {
	p, ok := h.fleet.hosts[name]
	if !ok || p.dead.Load() || h.dead.Load() {
		return nil, result.New(result.NoBackend, "host %s can't be reached", name)
	}
	return p, nil
}

func (h *host) Results(ctx context.Context, name, id string, after int, wait time.Duration) (ownership.ResultPage, *result.Error) {
	p, failure := h.peer(name)
	if failure != nil {
		return ownership.ResultPage{}, failure
	}
	return p.Manager.Results(ctx, id, after, wait, false)
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

func (h *host) Alive(name string) bool { _, failure := h.peer(name); return failure == nil }

func (h *host) Dead(_ context.Context, name string) bool { return h.fleet.hosts[name].dead.Load() }

func (h *host) Live() []string {
	if h.fleet.offDuty {
		return nil
	}
	var names []string
	for name, p := range h.fleet.hosts {
		if !p.dead.Load() {
			names = append(names, name)
		}
	}
	return names
}

var route = &routes.Route{
	Name: "r", Host: "a.example", Prefix: "/batch/", Kind: routes.Batch, Shares: []routes.Share{{Service: "s", Weight: 1}},
	Attempts: 3, Due: 18 * time.Second, KeepFor: 24 * time.Hour, TokenCap: 100,
}

func newFleet(names ...string) *fleet {
	clock := timer.NewManual(time.Unix(1000, 0))
	f := &fleet{clock: clock, kv: platform.NewKV(clock), servers: newServers(), hosts: make(map[string]*host)}
	for _, name := range names {
		f.add(name, name+"/1")
	}
	return f
}

func (f *fleet) add(name, writer string) *host {
	list := backend.NewDirectory(func(backend.Server, string) {})
	list.Put(backend.Server{ID: "e", Service: "s", Address: "10.0.0.1:1", Zone: "a", Slots: 8})
	config := new(routes.Holder)
	config.Offer(routes.New(1, nil, []*routes.Route{route}, nil, routes.Limits{}))
	h := &host{fleet: f, name: name}
	h.Manager = ownership.New(ownership.Options{
		Host: name, Writer: writer, Timer: f.clock, Log: logr.Discard(), Store: gated{f.kv, &h.cut, &h.late}, Servers: f.servers, ServerDirectory: list,
		Placer: scheduler.New(name, "a", func() float64 { return 0.5 }, func() {}), Config: config, Peers: h,
		Accepted: func(string) {}, Ended: func(id string) {
			for _, p := range f.hosts {
				if !p.dead.Load() {
					p.LearnEnded([]string{id})
				}
			}
		},
	})
	f.hosts[name] = h
	h.Start()
	DeferCleanup(func() {
		h.dead.Store(true)
		h.Stop(context.Background())
	})
	return h
}

// turn lets manual time pass while a test waits.
func (f *fleet) turn() { f.clock.Advance(10 * time.Millisecond) }

func (f *fleet) eventually(check func(g Gomega)) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		f.turn()
		check(g)
	}, patience, time.Millisecond).Should(Succeed())
}

func submission(id string, n int, tokens int64) ownership.Submission {
	sub := ownership.Submission{ID: id, Route: route, Host: "a.example"}
	for i := range n {
		sub.Items = append(sub.Items, jobstate.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/batch/x", Body: []byte("body"), Tokens: tokens})
	}
	return sub
}
