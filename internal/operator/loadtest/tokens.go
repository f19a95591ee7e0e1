package loadtest

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// TokenCostOptions are the parameters of a measurement of the processor time that
// streamed responses cost.
type TokenCostOptions struct {
	Server string
	Token  string
	Model  string
	// Streams is the number of concurrent streams. Each makes Calls calls of Length
	// tokens.
	Streams int
	Calls   int
	Length  int
}

// TokenCost is the cost of streamed responses at a running host.
type TokenCost struct {
	Calls             int     `json:"calls"`
	Failed            int     `json:"failed"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	CPUMicrosPerCall  float64 `json:"cpu_us_per_call"`
	CPUMicrosPerToken float64 `json:"cpu_us_per_token"`
	MemoryMB          float64 `json:"memory_mb"`
}

// MeasureTokenCost streams responses through a host in another process and reads
// the processor time used from the host's metrics.
func MeasureTokenCost(ctx context.Context, o TokenCostOptions) (TokenCost, error) {
	c := newClient(o.Server, o.Token, o.Model)
	before, err := c.metric(ctx, "process_cpu_seconds_total")
	if err != nil {
		return TokenCost{}, err
	}
	begin := time.Now()
	collected := newCollector()
	var wg sync.WaitGroup
	for stream := range o.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range o.Calls {
				collected.add(c.stream(ctx, fmt.Sprintf("stream %d call %d", stream, i), o.Length))
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(begin)
	after, err := c.metric(ctx, "process_cpu_seconds_total")
	if err != nil {
		return TokenCost{}, err
	}
	memory, err := c.metricMB(ctx, "process_resident_memory_bytes")
	cpuMicros := (after - before) * float64(time.Second/time.Microsecond)
	return TokenCost{
		Calls: collected.calls, Failed: collected.failed, TokensPerSecond: float64(collected.tokens) / elapsed.Seconds(),
		CPUMicrosPerCall: cpuMicros / float64(max(1, collected.calls)), CPUMicrosPerToken: cpuMicros / float64(max(1, collected.tokens)),
		MemoryMB: memory,
	}, err
}
