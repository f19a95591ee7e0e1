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

// waitTimeout bounds every wait.
const waitTimeout = 30 * time.Second

// remoteHost is a fake host with a queue, in which its only run waits until it is
// withdrawn.
type remoteHost struct {
	wire.UnimplementedPeerServer
	waits     chan *wire.RunRequest
	withdrawn chan struct{}
	// unresponsive makes the run continue after a withdrawal. notFoundReplies is
	// the number of withdrawals that are answered as if the run were unknown,
	// before one is accepted.
	unresponsive    bool
	notFoundReplies atomic.Int32
}

func (k *remoteHost) Run(in *wire.RunRequest, stream wire.Peer_RunServer) error {
	k.waits <- in
	select {
	case <-k.withdrawn:
		return stream.Send(wire.NewRunEvent(request.Event{Kind: request.Finished, Err: leftQueue}))
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
}

func (k *remoteHost) Withdraw(_ context.Context, in *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	if k.notFoundReplies.Add(-1) >= 0 {
		return new(wire.WithdrawReply), nil
	}
	if !k.unresponsive && in.GetOrigin() == "self" && in.GetRun() != 0 {
		close(k.withdrawn)
	}
	return &wire.WithdrawReply{Found: true}, nil
}

// observedTimer is a manual clock that sends the duration of each wait to waits.
type observedTimer struct {
	*timer.Manual
	waits chan time.Duration
}

func (t *observedTimer) After(d time.Duration, fn func(time.Time)) *timer.Subscription {
	sub := t.Manual.After(d, fn)
	t.waits <- d
	return sub
}

var _ = DescribeTable("a request whose caller leaves a queue on another host is reported",
	func(unresponsive bool, notFoundReplies int, idempotent bool, ran result.Ran) {
		remote := &remoteHost{waits: make(chan *wire.RunRequest, 1), withdrawn: make(chan struct{}), unresponsive: unresponsive}
		remote.notFoundReplies.Store(int32(notFoundReplies))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := peer.NewServer(nil)
		wire.RegisterPeerServer(server, remote)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Stop)
		fleet := &fakeFleet{down: []string{listener.Addr().String()}}
		local := &fakeLocal{clock: timer.NewManual(time.Unix(1_700_000_000, 0))}
		clock := &observedTimer{Manual: local.clock, waits: make(chan time.Duration, 64)}
		d := newDispatcherAt(clock, fleet, local)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan *result.Error, 1)
		r := request.New(request.Options{ID: "r", Service: "tanks", Method: "POST", Path: "/", Idempotent: idempotent})
		go func() { done <- d.Run(ctx, r, func(request.Event) error { return nil }) }()
		Eventually(remote.waits, waitTimeout).Should(Receive())
		cancel()
		var failure *result.Error
		for failure == nil {
			select {
			case failure = <-done:
			case wait := <-clock.waits:
				// withdrawTimeout may pass only for an unresponsive host.
				if unresponsive || wait < time.Second {
					clock.Advance(wait)
				}
			}
		}
		Expect(failure.Code()).To(Equal(result.Cancelled))
		Expect(failure.Ran()).To(Equal(ran))
		Expect(local.ran).To(BeEmpty())
		Expect(fleet.reports).To(BeZero(), "the host is not at fault")
	},
	Entry("as not run", false, 0, true, result.RanNo),
	Entry("as not run, also if it is not idempotent", false, 0, false, result.RanNo),
	Entry("as not run, also if the host registers the run only after some withdrawals", false, 3, false, result.RanNo),
	Entry("as possibly run, if the host does not end the run", true, 0, false, result.RanMaybe),
)
