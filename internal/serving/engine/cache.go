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
	// prefixHeader tells an engine the key of the prompt's head, by which its
	// cache events name it.
	prefixHeader = "X-Prefix-Key"
	// maxCacheBytes bounds one answer with cache events.
	maxCacheBytes = 64 << 10
)

// ErrNoCacheEvents says that an engine publishes no cache events.
var ErrNoCacheEvents = errors.New("engine publishes no cache events")

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one with each change since the cache's start.
	Sequence uint64
	Prefix   uint64
	// Age is how long ago the change was.
	Age     time.Duration
	Evicted bool
}

// CacheReport is what an engine tells of its prefix cache, late and with gaps.
type CacheReport struct {
	// Epoch grows with each start of the cache; 0 is a cache never used.
	Epoch  uint32
	Events []CacheEvent
}

// prefixKey returns the form in which engines get and publish a prefix.
func prefixKey(prefix uint64) string { return fmt.Sprintf("%016x", prefix) }

// CacheEvents asks the engine at address for the changes after a number.
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
	var answer struct {
		Epoch  uint32 `json:"epoch"`
		Events []struct {
			Sequence uint64 `json:"sequence"`
			Prefix   string `json:"prefix"`
			AgeMs    int64  `json:"age_ms"`
			Evicted  bool   `json:"evicted"`
		} `json:"events"`
	}
	if err := json.NewDecoder(reader).Decode(&answer); err != nil {
		return CacheReport{}, trace.Wrap(err)
	}
	report := CacheReport{Epoch: answer.Epoch, Events: make([]CacheEvent, 0, len(answer.Events))}
	for _, e := range answer.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return CacheReport{}, trace.Wrap(err)
		}
		age := time.Duration(max(0, e.AgeMs)) * time.Millisecond
		report.Events = append(report.Events, CacheEvent{Sequence: e.Sequence, Prefix: prefix, Age: age, Evicted: e.Evicted})
	}
	return report, nil
}
