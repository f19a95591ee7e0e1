package host

import (
	"context"
	"sync"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// runKey names a run that another host asked for.
type runKey struct {
	origin string
	run    int64
}

// remoteRuns are the runs for other hosts in progress here.
type remoteRuns struct {
	mu      sync.Mutex
	cancels map[runKey]context.CancelFunc
}

// enter makes the run one that can be withdrawn; the returned function must be
// called at its end.
func (r *remoteRuns) enter(ctx context.Context, key runKey) (context.Context, func()) {
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

// withdraw ends a run and reports whether it is in progress here.
func (r *remoteRuns) withdraw(key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	cancel, ok := r.cancels[key]
	if ok {
		cancel()
	}
	return ok
}

// Withdraw ends a run whose caller left. The run's own stream says what it did.
func (s *peerServer) Withdraw(_ context.Context, in *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	return &wire.WithdrawReply{Found: s.host.remote.withdraw(runKey{in.GetOrigin(), in.GetRun()})}, nil
}
