package loadtest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
)

// AddedLatencyOptions are the parameters of an added-latency measurement.
type AddedLatencyOptions struct {
	// Calls is the number of calls on each side, Callers how many of them run
	// concurrently.
	Calls   int
	Callers int
	// Tokens is the length of each response.
	Tokens int
}

// AddedLatency compares the latency of engines called directly with that of the
// same engines called through a host.
type AddedLatency struct {
	Calls       int         `json:"calls"`
	Failed      int         `json:"failed"`
	DirectFirst Percentiles `json:"direct_first_token"`
	HostFirst   Percentiles `json:"host_first_token"`
	DirectTotal Percentiles `json:"direct_total"`
	HostTotal   Percentiles `json:"host_total"`
}

// MeasureAddedLatency alternates calls between the two sides, so that other load
// on the machine affects both equally.
func MeasureAddedLatency(ctx context.Context, o AddedLatencyOptions) (AddedLatency, error) {
	options := deployment.SmallOptions()
	options.Slots = max(options.Slots, o.Callers)
	options.Step, options.Prefill = time.Millisecond, time.Millisecond
	d, err := deployment.Start(ctx, options)
	if err != nil {
		return AddedLatency{}, err
	}
	defer d.Close()
	direct, viaHost := newCollector(), newCollector()
	var wg sync.WaitGroup
	for caller := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			engineClient := newClient("http://"+d.Engines()[caller%options.Engines].Address(), "", "dispatch-llm")
			hostClient := newClient(d.URL(caller%options.Hosts), examples.AgencyCallerToken, "village-requests-chat")
			for i := range o.Calls / o.Callers {
				prompt := fmt.Sprintf("caller %d call %d", caller, i)
				direct.add(engineClient.stream(ctx, prompt, o.Tokens))
				viaHost.add(hostClient.stream(ctx, prompt, o.Tokens))
			}
		}()
	}
	wg.Wait()
	return AddedLatency{
		Calls: o.Calls, Failed: direct.failed + viaHost.failed,
		DirectFirst: direct.firstToken.percentiles(), HostFirst: viaHost.firstToken.percentiles(),
		DirectTotal: direct.total.percentiles(), HostTotal: viaHost.total.percentiles(),
	}, nil
}
