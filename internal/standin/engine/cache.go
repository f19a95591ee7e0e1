package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// prefixHeader carries the cache key of the prompt's prefix.
	prefixHeader = "X-Prefix-Key"
	// maxStoredEvents limits the events that are kept, maxReturnedEvents those of
	// one response.
	maxStoredEvents   = 1024
	maxReturnedEvents = 256
	// maxCachedPrefixes is the capacity of the cache.
	maxCachedPrefixes = 64
)

// cacheEvent is a published change of the prefix cache.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	AgeMs    int64  `json:"age_ms"`
	Evicted  bool   `json:"evicted,omitempty"`

	createdAt time.Time
}

// promptCache holds the keys of cached prompt prefixes and a log of changes. Keys
// are evicted in order of insertion. The zero value is an empty cache.
type promptCache struct {
	mu sync.Mutex
	// epoch increases with each reset of the cache; sequence is the number of the
	// last event.
	epoch    uint32
	sequence uint64
	keys     []string
	eventLog []cacheEvent
	// publishDelay is how long after a change its event is published. dropNext is
	// the number of coming events to drop; they still use a sequence number.
	publishDelay time.Duration
	dropNext     int
}

// SetCacheEventDelay sets the delay with which the engine publishes cache events.
func (e *Engine) SetCacheEventDelay(publishDelay time.Duration) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.publishDelay = publishDelay
}

// DropCacheEvents makes the engine drop its next n cache events.
func (e *Engine) DropCacheEvents(n int) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.dropNext = n
}

// ResetCache empties the cache and starts a new epoch, as a restart would.
func (e *Engine) ResetCache() {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.keys, e.cache.eventLog, e.cache.sequence = nil, nil, 0
	e.cache.epoch = max(e.cache.epoch+1, uint32(time.Now().Unix()))
}

// add caches a key unless it is empty or already cached, and evicts the oldest
// key if the cache is full.
func (c *promptCache) add(key string) {
	if key == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cached := range c.keys {
		if cached == key {
			return
		}
	}
	if len(c.keys) == maxCachedPrefixes {
		c.publish(cacheEvent{Prefix: c.keys[0], Evicted: true})
		c.keys = c.keys[1:]
	}
	c.keys = append(c.keys, key)
	c.publish(cacheEvent{Prefix: key})
}

// publish appends an event to the log, or drops it if dropNext is set. The
// caller holds c.mu.
func (c *promptCache) publish(e cacheEvent) {
	if c.epoch == 0 {
		c.epoch = uint32(time.Now().Unix())
	}
	c.sequence++
	if c.dropNext > 0 {
		c.dropNext--
		return
	}
	e.Sequence, e.createdAt = c.sequence, time.Now()
	c.eventLog = append(c.eventLog, e)
	c.eventLog = c.eventLog[max(0, len(c.eventLog)-maxStoredEvents):]
}

// since returns the epoch and the first published events after a sequence
// number.
func (c *promptCache) since(sequence uint64, now time.Time) (uint32, []cacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []cacheEvent{}
	for _, e := range c.eventLog {
		age := now.Sub(e.createdAt)
		if e.Sequence <= sequence || age < c.publishDelay {
			continue
		}
		if len(events) == maxReturnedEvents {
			break
		}
		e.AgeMs = age.Milliseconds()
		events = append(events, e)
	}
	return c.epoch, events
}

// handleCacheEvents serves GET /cache/events?since=N.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "parameter since must be an unsigned integer", http.StatusBadRequest)
		return
	}
	epoch, events := e.cache.since(since, time.Now())
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": epoch, "events": events})
}
