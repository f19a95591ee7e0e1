package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

const (
	// cachePath is where engines publish changes of their prefix cache.
	cachePath = "/cache/events"
	// prefixHeader carries the key of the prompt's prefix. The engine uses the
	// same key in its cache events.
	prefixHeader = "X-Prefix-Key"
	// maxCacheBytes bounds the body of one answer with cache events.
	maxCacheBytes = 64 << 10
)

// ErrNoCacheEvents is returned for an engine that publishes no cache events.
var ErrNoCacheEvents = errors.New("engine publishes no cache events")

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence increases by one with each change since the cache was started.
	Sequence uint64
	Prefix   uint64
	// Age is the time since the change.
	Age     time.Duration
	Evicted bool
}

// CacheReport lists changes of an engine's prefix cache. Reports are delayed and
// may have gaps.
type CacheReport struct {
	// Epoch increases each time the cache is started; 0 means that it was never
	// used.
	Epoch  uint32
	Events []CacheEvent
}

// prefixKey returns the encoding of a prefix in headers and cache events.
func prefixKey(prefix uint64) string { return fmt.Sprintf("%016x", prefix) }

// CacheEvents fetches the cache changes of the engine at address with sequence
// numbers after since.
func (c *Client) CacheEvents(ctx context.Context, address string, since uint64) (CacheReport, error) {
	url := fmt.Sprintf("http://%s%s?since=%d", address, cachePath, since)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return CacheReport{}, trace.Wrap(err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return CacheReport{}, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return readCacheReport(io.LimitReader(resp.Body, maxCacheBytes))
	case http.StatusNotFound:
		return CacheReport{}, ErrNoCacheEvents
	}
	return CacheReport{}, trace.BadParameter("status %d", resp.StatusCode)
}

func readCacheReport(reader io.Reader) (CacheReport, error) {
	var payload struct {
		Epoch  uint32 `json:"epoch"`
		Events []struct {
			Sequence uint64 `json:"sequence"`
			Prefix   string `json:"prefix"`
			AgeMs    int64  `json:"age_ms"`
			Evicted  bool   `json:"evicted"`
		} `json:"events"`
	}
	if err := json.NewDecoder(reader).Decode(&payload); err != nil {
		return CacheReport{}, trace.Wrap(err)
	}
	report := CacheReport{Epoch: payload.Epoch, Events: make([]CacheEvent, 0, len(payload.Events))}
	for _, e := range payload.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return CacheReport{}, trace.Wrap(err)
		}
		age := time.Duration(max(0, e.AgeMs)) * time.Millisecond
		report.Events = append(report.Events, CacheEvent{Sequence: e.Sequence, Prefix: prefix, Age: age, Evicted: e.Evicted})
	}
	return report, nil
}
