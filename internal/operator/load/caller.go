// Package load measures a deployment: what it adds to the latency of an engine
// called directly, and what batch work does to online callers under each queue
// policy. Both sides of a comparison run in one process, one after the other,
// with the same arrivals and seed.
//
// Trap: callers, hosts and engines share one machine here, so the figures say
// what changes between two sides, not what a fleet would reach.
package load

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
	maxConnections = 1024
	// histogramMax bounds a recorded time, in microseconds.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxErrorBytes   = 1024
)

// client sends calls of one caller.
type client struct {
	http  *http.Client
	url   string
	token string
	model string
}

func newClient(url, token, model string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections}
	return &client{http: &http.Client{Transport: transport}, url: url, token: token, model: model}
}

// send sends one call; the caller closes the answer's body.
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

// call sends one call and decodes the answer.
func (c *client) call(ctx context.Context, method, path, contentType string, body io.Reader, out any) error {
	resp, err := c.send(ctx, method, path, contentType, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// timing is what one streamed call took.
type timing struct {
	first  time.Duration
	total  time.Duration
	gaps   []time.Duration
	tokens int
}

// stream sends one prompt and reads its answer to the end.
func (c *client) stream(ctx context.Context, prompt string, tokens int) (timing, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.model, tokens, prompt)
	begin := time.Now()
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readStream(resp.Body, begin)
}

func readStream(body io.Reader, begin time.Time) (timing, error) {
	var t timing
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
			t.first = now.Sub(begin)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
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

// histogram collects times in microseconds.
type histogram struct {
	*hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) { _ = h.RecordValue(d.Microseconds()) }

// Percentiles are times of a distribution, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

func (h histogram) percentiles() Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P99: at(99), P999: at(99.9)}
}
