package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/dispatch"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const servers = 4

func textOf() *services.Text {
	var backends []services.Backend
	for i := range servers {
		backends = append(backends, services.Backend{
			Name: fmt.Sprintf("s%d", i), Kind: services.PlainKind, Zone: "a", Address: "127.0.0.1:1", Services: []string{"tanks"}, Slots: 8,
		})
	}
	source, err := json.Marshal(map[string]any{
		"organisations": []services.Organisation{{Name: "agency", TokenHashes: []string{strings.Repeat("a", 64)}}},
		"services":      []services.Service{{Name: "tanks", Kind: services.PlainKind, Urgency: "online", Weight: 1, Idempotent: true, Retries: 5}},
		"backends":      backends,
	})
	Expect(err).NotTo(HaveOccurred())
	text, err := services.Parse(source, 1)
	Expect(err).NotTo(HaveOccurred())
	return text
}

// fakeFleet names hosts as keepers: unreachable ones first, then this host.
type fakeFleet struct {
	down []string
	told int
}

var _ dispatch.Fleet = (*fakeFleet)(nil)

func (f *fakeFleet) Keeper(*services.Backend) (name, address string) {
	if len(f.down) > 0 {
		return "far", f.down[0]
	}
	return "self", ""
}

func (f *fakeFleet) Self() string { return "self" }

func (f *fakeFleet) ReportUnreachable(string) {
	f.told++
	if len(f.down) > 0 {
		f.down = f.down[1:]
	}
}

// fakeLocal ends the n-th run as its list says, and whole after that.
type fakeLocal struct {
	failures []*result.Error
	started  bool
	ran      []string
	clock    *timer.Manual
	// status is that of whole answers, 0 for 200.
	status int
}

var _ dispatch.LocalQueues = (*fakeLocal)(nil)

func (l *fakeLocal) Run(_ context.Context, backend string, _ *request.Request, sink request.Sink) *result.Error {
	l.ran = append(l.ran, backend)
	if n := len(l.ran); n <= len(l.failures) {
		if l.started {
			_ = sink(request.Event{Kind: request.Started, Status: 200})
		}
		return l.failures[n-1]
	}
	return sinkErr(sink(request.Event{Kind: request.Started, Status: max(200, l.status), Backend: backend}))
}

func sinkErr(err error) *result.Error {
	if err == nil {
		return nil
	}
	return result.From(err)
}

// alone is a zone of one host.
type alone struct{ guard *quarantine.Guard }

var _ quarantine.Peers = (*alone)(nil)

func (p *alone) Permit(_ context.Context, r quarantine.Record, server, run string) (quarantine.Verdict, error) {
	return p.guard.Permit(r, server, run), nil
}
func (p *alone) Release(_ context.Context, f quarantine.Fingerprint, run string) {
	p.guard.Release(f, run)
}
func (p *alone) Broadcast(context.Context, quarantine.Record) {}

// run dispatches one request under manual time and returns how it ended.
func run(fleet *fakeFleet, local *fakeLocal, idempotent bool) *result.Error {
	local.clock = timer.NewManual(time.Unix(1_700_000_000, 0))
	return runWith(newDispatcher(fleet, local), local, idempotent)
}

func newDispatcher(fleet *fakeFleet, local *fakeLocal) *dispatch.Dispatcher {
	return newDispatcherAt(local.clock, fleet, local)
}

func newDispatcherAt(t timer.Service, fleet *fakeFleet, local *fakeLocal) *dispatch.Dispatcher {
	text := textOf()
	note := func(string, string, ...string) {}
	peers := new(alone)
	peers.guard = quarantine.NewGuard(local.clock, peers, note)
	pool := peer.NewPool(nil)
	DeferCleanup(pool.Close)
	d := dispatch.New(t, fleet, local, peers.guard, pool, func() *services.Text { return text }, "a", 1, dispatch.Policies{}, note)
	d.SetServices(text)
	return d
}

func runWith(d *dispatch.Dispatcher, local *fakeLocal, idempotent bool) *result.Error {
	r := request.New(request.Options{
		ID: "r", Service: "tanks", Method: "POST", Path: "/", Body: []byte("x"), Idempotent: idempotent,
		Deadline: local.clock.Now().Add(time.Hour),
	})
	done := make(chan *result.Error)
	go func() { done <- d.Run(context.Background(), r, func(request.Event) error { return nil }) }()
	for {
		select {
		case failure := <-done:
			return failure
		case <-time.After(time.Millisecond):
			local.clock.Advance(100 * time.Millisecond)
		}
	}
}

var (
	crashed  = result.New(result.BackendCrashed, "lost").WithRan(result.RanMaybe)
	unsent   = result.New(result.NoBackend, "refused")
	withdrew = result.New(result.Cancelled, "caller left the queue")
)

var _ = Describe("a dispatcher", func() {
	It("sends a non-idempotent request once, whatever became of it", func() {
		local := &fakeLocal{failures: []*result.Error{crashed, crashed}}
		failure := run(&fakeFleet{}, local, false)
		Expect(failure.Ran()).To(Equal(result.RanMaybe))
		Expect(local.ran).To(HaveLen(1))
	})

	It("sends a non-idempotent request elsewhere if surely nothing was sent", func() {
		local := &fakeLocal{failures: []*result.Error{unsent}}
		Expect(run(&fakeFleet{}, local, false)).To(BeNil())
		Expect(local.ran).To(HaveLen(2))
		Expect(local.ran[0]).NotTo(Equal(local.ran[1]))
	})

	It("says not run for a request that left the queue", func() {
		local := &fakeLocal{failures: []*result.Error{withdrew}}
		Expect(run(&fakeFleet{}, local, true).Ran()).To(Equal(result.RanNo))
	})

	It("never says not run once an attempt may have run or an answer began", func() {
		local := &fakeLocal{failures: []*result.Error{result.New(result.BackendFailed, "").WithRan(result.RanMaybe), withdrew}}
		Expect(run(&fakeFleet{}, local, true).Ran()).To(Equal(result.RanMaybe))
		local = &fakeLocal{failures: []*result.Error{withdrew}, started: true}
		Expect(run(&fakeFleet{}, local, true).Ran()).To(Equal(result.RanYes))
	})

	It("falls to the next host when a keeper's host can't be connected to", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		fleet := &fakeFleet{down: []string{closed, closed}}
		local := &fakeLocal{}
		Expect(run(fleet, local, false)).To(BeNil())
		Expect(fleet.told).To(Equal(2))
		Expect(local.ran).To(HaveLen(1))
	})

	It("moves a request that a leaving back end sends away, also a non-idempotent one", func() {
		local := &fakeLocal{failures: []*result.Error{result.New(result.Stopping, "leaving")}}
		Expect(run(&fakeFleet{}, local, false)).To(BeNil())
		Expect(local.ran).To(HaveLen(2))
		Expect(local.ran[0]).NotTo(Equal(local.ran[1]))
	})

	It("gives a server that answered 503 no more work", func() {
		local := &fakeLocal{clock: timer.NewManual(time.Unix(1_700_000_000, 0)), status: 503}
		d := newDispatcher(&fakeFleet{}, local)
		sink := func(request.Event) error { return nil }
		for i := range 3 {
			r := request.New(request.Options{ID: "r", Service: "tanks", Path: "/", Body: []byte{byte(i)}})
			Expect(d.Run(context.Background(), r, sink)).To(BeNil())
		}
		out := local.ran[0]
		Expect(local.ran[1:]).NotTo(ContainElement(out))
	})

	It("counts a silence against the server only on a new connection", func() {
		silent := result.New(result.BackendSilent, "").WithRan(result.RanMaybe)
		for _, failure := range []*result.Error{silent.WithFirstSilence(), wire.NewFailure(silent.WithFirstSilence()).Err(), silent, wire.NewFailure(silent).Err()} {
			local := &fakeLocal{clock: timer.NewManual(time.Unix(1_700_000_000, 0)), failures: []*result.Error{failure}}
			d := newDispatcher(&fakeFleet{}, local)
			for i := range 60 {
				r := request.New(request.Options{ID: "r", Service: "tanks", Path: "/", Body: []byte{byte(i)}})
				Expect(d.Run(context.Background(), r, func(request.Event) error { return nil }) == nil).To(Equal(i > 0))
			}
			first, others := local.ran[0], local.ran[1:]
			Expect(slices.Contains(others, first)).To(Equal(failure.FirstSilence()))
		}
	})

	It("crashes at most two servers with one body over retries and resends, then refuses it", func() {
		var failures []*result.Error
		for range 100 {
			failures = append(failures, crashed)
		}
		local := &fakeLocal{failures: failures, clock: timer.NewManual(time.Unix(1_700_000_000, 0))}
		d := newDispatcher(&fakeFleet{}, local)
		var last *result.Error
		for range 10 {
			last = runWith(d, local, true)
		}
		Expect(local.ran).To(HaveLen(2))
		Expect(last.Code()).To(Equal(result.Quarantined))
		Expect(last.Ran()).To(Equal(result.RanNo))
	})
})
