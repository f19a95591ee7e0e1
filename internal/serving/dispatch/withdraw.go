package dispatch

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// withdrawTimeout bounds the wait for the last event of a withdrawn run.
	withdrawTimeout = time.Second
	// withdrawRetryInterval is the time until Withdraw is repeated if the other
	// host has not yet registered the run.
	withdrawRetryInterval = 50 * time.Millisecond
)

// withdraw ends a run on another host after its caller has left. It keeps the
// stream open for up to withdrawTimeout, so that the last event can arrive. If
// the Withdraw call fails, it cancels the stream, which the other host notices.
func (d *Dispatcher) withdraw(streamCtx context.Context, cancel context.CancelFunc, client wire.PeerClient, run *wire.RunRequest) {
	timeout := d.timer.After(withdrawTimeout, func(time.Time) { cancel() })
	defer timeout.Cancel()
	in := &wire.WithdrawRequest{Origin: run.GetOrigin(), Run: run.GetRun()}
	for {
		reply, err := client.Withdraw(streamCtx, in)
		if err != nil {
			cancel()
			return
		}
		if reply.GetFound() {
			<-streamCtx.Done()
			return
		}
		if !d.sleep(streamCtx, withdrawRetryInterval) {
			return
		}
	}
}
