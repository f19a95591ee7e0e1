package host

import (
	"context"
	"sync"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// runKey identifies a run that another host requested.
type runKey struct {
	origin string
	run    int64
}

// remoteRuns holds the runs for other hosts that are in progress here.
type remoteRuns struct {
	mu      sync.Mutex
	cancels map[runKey]context.CancelFunc
}

// register makes a run cancellable by withdraw. The returned function must be
// called when the run ends.
func (r *remoteRuns) register(ctx context.Context, key runKey) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = make(map[runKey]context.CancelFunc)
	}
	r.cancels[key] = cancel
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, key)
	}
}

// withdraw cancels a run and reports whether it was in progress here.
func (r *remoteRuns) withdraw(key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	cancel, ok := r.cancels[key]
	if ok {
		cancel()
	}
	return ok
}

// Withdraw cancels a run whose caller has disconnected. The run's own stream
// reports its outcome.
func (s *peerServer) Withdraw(_ context.Context, in *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	return &wire.WithdrawReply{Found: s.host.remote.withdraw(runKey{in.GetOrigin(), in.GetRun()})}, nil
}
