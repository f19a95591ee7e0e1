package dispatch

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// withdrawWait is how long a run whose caller left may take to say what it did.
	withdrawWait = time.Second
	// withdrawAgain is the time until a keeper host that did not know the run yet
	// is told again.
	withdrawAgain = 50 * time.Millisecond
)

// withdraw ends a run at another host's keeper whose caller left, and leaves
// its stream open, within bounds, for the last event. A host that can't be told
// sees the stream's end instead.
func (d *Dispatcher) withdraw(open context.Context, cancel context.CancelFunc, client wire.PeerClient, run *wire.RunRequest) {
	bound := d.timer.After(withdrawWait, func(time.Time) { cancel() })
	defer bound.Cancel()
	in := &wire.WithdrawRequest{Origin: run.GetOrigin(), Run: run.GetRun()}
	for {
		reply, err := client.Withdraw(open, in)
		if err != nil {
			cancel()
			return
		}
		if reply.GetFound() {
			<-open.Done()
			return
		}
		if !d.sleep(open, withdrawAgain) {
			return
		}
	}
}
