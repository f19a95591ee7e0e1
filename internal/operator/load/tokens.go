package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// TokensOptions are the size of a measurement of the data path's cost.
type TokensOptions struct {
	Server string
	Token  string
	Model  string
	// Streams run side by side; each makes Calls calls of Length tokens.
	Streams int
	Calls   int
	Length  int
}

// Tokens is what a running host spent on streamed answers.
type Tokens struct {
	Calls            int     `json:"calls"`
	Failed           int     `json:"failed"`
	TokensPerSecond  float64 `json:"tokens_per_second"`
	CPUMicrosPerCall float64 `json:"cpu_us_per_call"`
	CPUMicrosPerTok  float64 `json:"cpu_us_per_token"`
	MemoryMB         float64 `json:"memory_mb"`
}

// MeasureTokens streams answers through a host in another process and asks the
// host's own metrics for its processor time.
func MeasureTokens(ctx context.Context, o TokensOptions) (Tokens, error) {
	c := newClient(o.Server, o.Token, o.Model)
	before, err := c.metric(ctx, "process_cpu_seconds_total")
	if err != nil {
		return Tokens{}, err
	}
	begin := time.Now()
	answers := newSide()
	var group sync.WaitGroup
	for stream := range o.Streams {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range o.Calls {
				answers.add(c.stream(ctx, fmt.Sprintf("stream %d call %d", stream, i), o.Length))
			}
		}()
	}
	group.Wait()
	elapsed := time.Since(begin)
	after, err := c.metric(ctx, "process_cpu_seconds_total")
	if err != nil {
		return Tokens{}, err
	}
	memory, err := c.memory(ctx, "process_resident_memory_bytes")
	spent := (after - before) * float64(time.Second/time.Microsecond)
	return Tokens{
		Calls: answers.calls, Failed: answers.failed, TokensPerSecond: float64(answers.tokens) / elapsed.Seconds(),
		CPUMicrosPerCall: spent / float64(max(1, answers.calls)), CPUMicrosPerTok: spent / float64(max(1, answers.tokens)),
		MemoryMB: memory,
	}, err
}
