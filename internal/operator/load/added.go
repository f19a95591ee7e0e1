package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
)

// AddedOptions are the size of an added-latency measurement.
type AddedOptions struct {
	// Calls are made on each side, Callers of them side by side.
	Calls   int
	Callers int
	// Tokens is the length of each answer.
	Tokens int
}

// Added compares an engine called directly with the same engine behind a host.
type Added struct {
	Calls       int         `json:"calls"`
	Failed      int         `json:"failed"`
	DirectFirst Percentiles `json:"direct_first_token"`
	HostFirst   Percentiles `json:"host_first_token"`
	DirectTotal Percentiles `json:"direct_total"`
	HostTotal   Percentiles `json:"host_total"`
}

// MeasureAdded makes each call on both sides in turn, so that whatever else
// the machine does weighs on both alike.
func MeasureAdded(ctx context.Context, o AddedOptions) (Added, error) {
	size := deployment.Small()
	size.Slots = max(size.Slots, o.Callers)
	size.Step, size.Prefill = time.Millisecond, time.Millisecond
	d, err := deployment.Start(ctx, size)
	if err != nil {
		return Added{}, err
	}
	defer d.Close()
	direct, through := newSide(), newSide()
	var group sync.WaitGroup
	for caller := range o.Callers {
		group.Add(1)
		go func() {
			defer group.Done()
			straight := newClient("http://"+d.Engines()[caller%size.Engines].Address(), "", "dispatch-llm")
			host := newClient(d.URL(caller%size.Hosts), examples.AgencyCallerToken, "village-requests-chat")
			for i := range o.Calls / o.Callers {
				prompt := fmt.Sprintf("caller %d call %d", caller, i)
				direct.add(straight.stream(ctx, prompt, o.Tokens))
				through.add(host.stream(ctx, prompt, o.Tokens))
			}
		}()
	}
	group.Wait()
	return Added{
		Calls: o.Calls, Failed: direct.failed + through.failed,
		DirectFirst: direct.first.percentiles(), HostFirst: through.first.percentiles(),
		DirectTotal: direct.total.percentiles(), HostTotal: through.total.percentiles(),
	}, nil
}
