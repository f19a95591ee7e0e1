package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// prefixHeader carries the key under which a prompt's head is cached.
	prefixHeader = "X-Prefix-Key"
	// cacheLog bounds the events that are kept, cacheAnswer those of one answer.
	cacheLog    = 1024
	cacheAnswer = 256
	// cachePrefixes is how many prefixes the cache holds.
	cachePrefixes = 64
)

// cacheEvent is a change of the prefix cache as the engine publishes it.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	AgeMs    int64  `json:"age_ms"`
	Evicted  bool   `json:"evicted,omitempty"`

	at time.Time
}

// promptCache holds the keys of the last prompts, the first used one is evicted
// first, and the log of what changed. Its zero value is empty.
type promptCache struct {
	mu sync.Mutex
	// epoch grows with each start of the cache; sequence is the last event's.
	epoch    uint32
	sequence uint64
	keys     []string
	log      []cacheEvent
	// lag is how late events are published; drop is how many of the next ones
	// are lost.
	lag  time.Duration
	drop int
}

// SetCacheEventDelay makes the engine publish its cache events that late.
func (e *Engine) SetCacheEventDelay(lag time.Duration) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.lag = lag
}

// DropCacheEvents makes the engine lose its next n cache events.
func (e *Engine) DropCacheEvents(n int) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.drop = n
}

// ResetCache empties the cache, as a restart would.
func (e *Engine) ResetCache() {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.keys, e.cache.log, e.cache.sequence = nil, nil, 0
	e.cache.epoch = max(e.cache.epoch+1, uint32(time.Now().Unix()))
}

// used notes that a prompt with that key was run.
func (c *promptCache) used(key string) {
	if key == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.keys {
		if one == key {
			return
		}
	}
	if len(c.keys) == cachePrefixes {
		c.publish(cacheEvent{Prefix: c.keys[0], Evicted: true})
		c.keys = c.keys[1:]
	}
	c.keys = append(c.keys, key)
	c.publish(cacheEvent{Prefix: key})
}

// publish logs an event; the caller holds c.mu.
func (c *promptCache) publish(e cacheEvent) {
	if c.epoch == 0 {
		c.epoch = uint32(time.Now().Unix())
	}
	c.sequence++
	if c.drop > 0 {
		c.drop--
		return
	}
	e.Sequence, e.at = c.sequence, time.Now()
	c.log = append(c.log, e)
	c.log = c.log[max(0, len(c.log)-cacheLog):]
}

// since returns the published events after a sequence number.
func (c *promptCache) since(sequence uint64, now time.Time) (uint32, []cacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []cacheEvent{}
	for _, e := range c.log {
		age := now.Sub(e.at)
		if e.Sequence <= sequence || age < c.lag {
			continue
		}
		if len(events) == cacheAnswer {
			break
		}
		e.AgeMs = age.Milliseconds()
		events = append(events, e)
	}
	return c.epoch, events
}

// cacheEvents answers GET /cache/events?since=N.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since needs a number", http.StatusBadRequest)
		return
	}
	epoch, events := e.cache.since(since, time.Now())
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": epoch, "events": events})
}
