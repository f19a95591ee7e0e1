// Package loadtest measures a deployment.
//
// MeasureAddedLatency compares the latency of an engine called directly with
// that of a call through a host. MeasureInterference measures the effect of
// batch work on online callers under each queue policy, in runs one after the
// other with the same arrivals and seed. Both start a deployment of stand-ins in
// the same process. MeasureTokenCost and MeasureUpload measure a host that runs
// in another process.
//
// In-process measurements run callers, hosts and engines on one machine. Their
// figures show the difference between two sides, not the capacity of a fleet.
package loadtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

const (
	maxIdleConnections = 1024
	// maxHistogramMicros is the maximum recorded time in microseconds.
	maxHistogramMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
	maxErrorBytes      = 1024
)

// client sends HTTP calls with one token to one host or engine.
type client struct {
	http  *http.Client
	url   string
	token string
	model string
}

func newClient(url, token, model string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &client{http: &http.Client{Transport: transport}, url: url, token: token, model: model}
}

// send sends an HTTP request and returns an error if the status is not 200. The
// caller must close the response body.
func (c *client) send(ctx context.Context, method, path, contentType string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		_ = resp.Body.Close()
		return nil, trace.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, text)
	}
	return resp, nil
}

// call sends an HTTP request and decodes the JSON response into out.
func (c *client) call(ctx context.Context, method, path, contentType string, body io.Reader, out any) error {
	resp, err := c.send(ctx, method, path, contentType, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// streamTiming holds the latencies and the number of tokens of a streamed
// response.
type streamTiming struct {
	firstToken time.Duration
	total      time.Duration
	tokenGaps  []time.Duration
	tokens     int
}

// stream sends a prompt and reads the streamed response to the end.
func (c *client) stream(ctx context.Context, prompt string, tokens int) (streamTiming, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.model, tokens, prompt)
	begin := time.Now()
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return streamTiming{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readStream(resp.Body, begin)
}

// readStream reads a stream of server-sent events to its end and measures the
// time to the first token, the gaps between tokens and the total time since
// begin.
func readStream(body io.Reader, begin time.Time) (streamTiming, error) {
	var t streamTiming
	last := begin
	done := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		done = done || string(data) == "[DONE]"
		if !ok || !bytes.Contains(data, []byte(`"content"`)) {
			continue
		}
		now := time.Now()
		if t.tokens == 0 {
			t.firstToken = now.Sub(begin)
		} else {
			t.tokenGaps = append(t.tokenGaps, now.Sub(last))
		}
		t.tokens++
		last = now
	}
	t.total = time.Since(begin)
	if err := scanner.Err(); err != nil {
		return t, trace.Wrap(err)
	}
	if !done {
		return t, trace.Errorf("stream ended without [DONE]")
	}
	return t, nil
}

// histogram records durations in microseconds.
type histogram struct {
	*hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxHistogramMicros, histogramDigits)}
}

func (h histogram) add(d time.Duration) { _ = h.RecordValue(d.Microseconds()) }

// Percentiles are percentiles of a latency distribution, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

func (h histogram) percentiles() Percentiles {
	percentile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: percentile(50), P99: percentile(99), P999: percentile(99.9)}
}
