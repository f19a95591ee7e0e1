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

// newConfig returns a configuration with one plain service on all servers.
func newConfig() *services.Text {
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
	config, err := services.Parse(source, 1)
	Expect(err).NotTo(HaveOccurred())
	return config
}

// fakeFleet places every queue on the first address in down, or on this host if
// down is empty. Unreachable removes the first address.
type fakeFleet struct {
	down    []string
	reports int
}

var _ dispatch.Fleet = (*fakeFleet)(nil)

func (f *fakeFleet) KeeperHost(*services.Backend) (name, address string) {
	if len(f.down) > 0 {
		return "far", f.down[0]
	}
	return "self", ""
}

func (f *fakeFleet) Self() string { return "self" }

func (f *fakeFleet) ReportUnreachable(string) {
	f.reports++
	if len(f.down) > 0 {
		f.down = f.down[1:]
	}
}

// fakeLocal ends the n-th run with the n-th failure, and completes all further
// runs.
type fakeLocal struct {
	failures []*result.Error
	started  bool
	ran      []string
	clock    *timer.Manual
	// status is the HTTP status of complete answers, 0 for 200.
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
	return toResult(sink(request.Event{Kind: request.Started, Status: max(200, l.status), Backend: backend}))
}

func toResult(err error) *result.Error {
	if err == nil {
		return nil
	}
	return result.From(err)
}

// singleHost implements quarantine.Peers for a zone with a single host.
type singleHost struct{ guard *quarantine.Guard }

var _ quarantine.Peers = (*singleHost)(nil)

func (p *singleHost) Permit(_ context.Context, r quarantine.Record, server, run string) (quarantine.Verdict, error) {
	return p.guard.Permit(r, server, run), nil
}
func (p *singleHost) Release(_ context.Context, f quarantine.Fingerprint, run string) {
	p.guard.Release(f, run)
}
func (p *singleHost) Broadcast(context.Context, quarantine.Record) {}

// runOnce dispatches one request with a manual clock and returns its failure.
func runOnce(fleet *fakeFleet, local *fakeLocal, idempotent bool) *result.Error {
	local.clock = timer.NewManual(time.Unix(1_700_000_000, 0))
	return runOnceWith(newDispatcher(fleet, local), local, idempotent)
}

func newDispatcher(fleet *fakeFleet, local *fakeLocal) *dispatch.Dispatcher {
	return newDispatcherAt(local.clock, fleet, local)
}

func newDispatcherAt(t timer.Service, fleet *fakeFleet, local *fakeLocal) *dispatch.Dispatcher {
	config := newConfig()
	recordEvent := func(string, string, ...string) {}
	peers := new(singleHost)
	peers.guard = quarantine.NewGuard(local.clock, peers, recordEvent)
	pool := peer.NewPool(nil)
	DeferCleanup(pool.Close)
	d := dispatch.New(t, fleet, local, peers.guard, pool, func() *services.Text { return config }, "a", 1, dispatch.Policies{}, recordEvent)
	d.SetServices(config)
	return d
}

func runOnceWith(d *dispatch.Dispatcher, local *fakeLocal, idempotent bool) *result.Error {
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
	crashed   = result.New(result.BackendCrashed, "lost").WithRan(result.RanMaybe)
	unsent    = result.New(result.NoBackend, "refused")
	leftQueue = result.New(result.Cancelled, "caller left the queue")
)

var _ = Describe("a dispatcher", func() {
	It("does not retry a non-idempotent request that may have run", func() {
		local := &fakeLocal{failures: []*result.Error{crashed, crashed}}
		failure := runOnce(&fakeFleet{}, local, false)
		Expect(failure.Ran()).To(Equal(result.RanMaybe))
		Expect(local.ran).To(HaveLen(1))
	})

	It("retries a non-idempotent request on another server if nothing was sent", func() {
		local := &fakeLocal{failures: []*result.Error{unsent}}
		Expect(runOnce(&fakeFleet{}, local, false)).To(BeNil())
		Expect(local.ran).To(HaveLen(2))
		Expect(local.ran[0]).NotTo(Equal(local.ran[1]))
	})

	It("reports a request that was withdrawn from the queue as not run", func() {
		local := &fakeLocal{failures: []*result.Error{leftQueue}}
		Expect(runOnce(&fakeFleet{}, local, true).Ran()).To(Equal(result.RanNo))
	})

	It("does not report a request as not run once an attempt may have run or an answer has begun", func() {
		local := &fakeLocal{failures: []*result.Error{result.New(result.BackendFailed, "").WithRan(result.RanMaybe), leftQueue}}
		Expect(runOnce(&fakeFleet{}, local, true).Ran()).To(Equal(result.RanMaybe))
		local = &fakeLocal{failures: []*result.Error{leftQueue}, started: true}
		Expect(runOnce(&fakeFleet{}, local, true).Ran()).To(Equal(result.RanYes))
	})

	It("tries the next host when the host of the queue can't be connected to", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		fleet := &fakeFleet{down: []string{closed, closed}}
		local := &fakeLocal{}
		Expect(runOnce(fleet, local, false)).To(BeNil())
		Expect(fleet.reports).To(Equal(2))
		Expect(local.ran).To(HaveLen(1))
	})

	It("sends a request refused by a leaving server to another one, even if it is non-idempotent", func() {
		local := &fakeLocal{failures: []*result.Error{result.New(result.Stopping, "leaving")}}
		Expect(runOnce(&fakeFleet{}, local, false)).To(BeNil())
		Expect(local.ran).To(HaveLen(2))
		Expect(local.ran[0]).NotTo(Equal(local.ran[1]))
	})

	It("sends no more requests to a server that answered 503", func() {
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

	It("treats a silence as the server's failure only on a new connection", func() {
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

	It("lets one body crash at most two servers over retries and resends, then refuses it", func() {
		var failures []*result.Error
		for range 100 {
			failures = append(failures, crashed)
		}
		local := &fakeLocal{failures: failures, clock: timer.NewManual(time.Unix(1_700_000_000, 0))}
		d := newDispatcher(&fakeFleet{}, local)
		var last *result.Error
		for range 10 {
			last = runOnceWith(d, local, true)
		}
		Expect(local.ran).To(HaveLen(2))
		Expect(last.Code()).To(Equal(result.Quarantined))
		Expect(last.Ran()).To(Equal(result.RanNo))
	})
})
