package dispatch_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const patience = 30 * time.Second

// farKeeper is a keeper's host whose one run waits in its queue until it is
// withdrawn.
type farKeeper struct {
	wire.UnimplementedPeerServer
	waits     chan *wire.RunRequest
	withdrawn chan struct{}
	// deaf says that it never answers a withdrawal with the run's end; unknown
	// is how many withdrawals come before it knows the run.
	deaf    bool
	unknown atomic.Int32
}

func (k *farKeeper) Run(in *wire.RunRequest, stream wire.Peer_RunServer) error {
	k.waits <- in
	select {
	case <-k.withdrawn:
		return stream.Send(wire.NewRunEvent(request.Event{Kind: request.Finished, Err: withdrew}))
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
}

func (k *farKeeper) Withdraw(_ context.Context, in *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	if k.unknown.Add(-1) >= 0 {
		return new(wire.WithdrawReply), nil
	}
	if !k.deaf && in.GetOrigin() == "self" && in.GetRun() != 0 {
		close(k.withdrawn)
	}
	return &wire.WithdrawReply{Found: true}, nil
}

// toldTimer is manual time that tells of each wait.
type toldTimer struct {
	*timer.Manual
	waits chan time.Duration
}

func (t *toldTimer) After(d time.Duration, fn func(time.Time)) *timer.Subscription {
	sub := t.Manual.After(d, fn)
	t.waits <- d
	return sub
}

var _ = DescribeTable("a caller that leaves the queue of another host's keeper learns",
	func(deaf bool, unknown int, idempotent bool, ran result.Ran) {
		far := &farKeeper{waits: make(chan *wire.RunRequest, 1), withdrawn: make(chan struct{}), deaf: deaf}
		far.unknown.Store(int32(unknown))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := peer.NewServer(nil)
		wire.RegisterPeerServer(server, far)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Stop)
		fleet := &fakeFleet{down: []string{listener.Addr().String()}}
		local := &fakeLocal{clock: timer.NewManual(time.Unix(1_700_000_000, 0))}
		clock := &toldTimer{Manual: local.clock, waits: make(chan time.Duration, 64)}
		d := newDispatcherAt(clock, fleet, local)
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan *result.Error, 1)
		r := request.New(request.Options{ID: "r", Service: "tanks", Method: "POST", Path: "/", Idempotent: idempotent})
		go func() { done <- d.Run(ctx, r, func(request.Event) error { return nil }) }()
		Eventually(far.waits, patience).Should(Receive())
		leave()
		var failure *result.Error
		for failure == nil {
			select {
			case failure = <-done:
			case wait := <-clock.waits:
				// The bound passes only for a host that does not say.
				if deaf || wait < time.Second {
					clock.Advance(wait)
				}
			}
		}
		Expect(failure.Code()).To(Equal(result.Cancelled))
		Expect(failure.Ran()).To(Equal(ran))
		Expect(local.ran).To(BeEmpty())
		Expect(fleet.told).To(BeZero(), "the host is not at fault")
	},
	Entry("that it did not run", false, 0, true, result.RanNo),
	Entry("that it did not run, also if it may not be repeated", false, 0, false, result.RanNo),
	Entry("that it did not run, if the keeper's host knows the run late", false, 3, false, result.RanNo),
	Entry("that it may have run, if the keeper's host does not say", true, 0, false, result.RanMaybe),
)
