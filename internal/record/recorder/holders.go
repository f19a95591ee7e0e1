package recorder

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// firstReadRetry is the time between two attempts of the first read of all
	// holders.
	firstReadRetry = time.Second
	// minReadInterval and maxReadInterval bound the time between two reads of one
	// shard's holder on demand; the time doubles while the holder stays the same.
	minReadInterval = 500 * time.Millisecond
	maxReadInterval = 8 * time.Second
	// holdersPageSize is the number of shard keys that one call reads.
	holdersPageSize = 1024
)

// holderCache caches the holders of all shards. All of them are read once; after
// that a single one is read when a message to the cached holder failed, or when
// the lease manager requests it.
type holderCache struct {
	cached map[int]lease.Holder
	// complete is set once all shards have been read.
	complete bool
	// lastFullRead is when the last read of all shards started.
	lastFullRead time.Time
	failures     map[int]*holderFailure
}

// holderFailure is the state of a shard whose holder failed to serve a message.
type holderFailure struct {
	// usePreferred selects the preferred host, see package lease, instead of the
	// cached holder.
	usePreferred bool
	// nextRead is the earliest time of the next read, readInterval the time from
	// that read to the one after it.
	nextRead     time.Time
	readInterval time.Duration
}

func newHolderCache() *holderCache {
	return &holderCache{cached: make(map[int]lease.Holder), failures: make(map[int]*holderFailure)}
}

// host returns the holder to try, or "" for the preferred host.
func (c *holderCache) host(shard int) string {
	if f, ok := c.failures[shard]; ok && f.usePreferred {
		return ""
	}
	return c.cached[shard].Host
}

// remove deletes a shard's holder from the cache.
func (c *holderCache) remove(shard int) { delete(c.cached, shard) }

// set stores a holder that was read; a new holder clears the failures.
func (c *holderCache) set(shard int, holder lease.Holder) {
	if holder != c.cached[shard] {
		delete(c.failures, shard)
	}
	c.cached[shard] = holder
}

// startFirstRead reports whether the first read is due, and if so records its
// start.
func (c *holderCache) startFirstRead(now time.Time) bool {
	if !c.lastFullRead.IsZero() && now.Sub(c.lastFullRead) < firstReadRetry {
		return false
	}
	c.lastFullRead = now
	return true
}

// recordFailure records that the holder tried last failed to serve, and reports
// whether to read the holder from the store. It alternates between the cached
// holder and the preferred host.
func (c *holderCache) recordFailure(now time.Time, shard int) bool {
	f, ok := c.failures[shard]
	if !ok {
		f = &holderFailure{readInterval: minReadInterval}
		c.failures[shard] = f
	}
	f.usePreferred = !f.usePreferred
	if now.Before(f.nextRead) {
		return false
	}
	f.nextRead = now.Add(f.readInterval)
	f.readInterval = min(2*f.readInterval, maxReadInterval)
	return true
}

// readHolders reads the holders of all shards.
func (r *Recorder) readHolders() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	entries, _, err := store.RangeAll(ctx, r.store, "shard/", holdersPageSize)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		var shard int
		if _, err := fmt.Sscanf(entry.Key, "shard/%d", &shard); err == nil {
			r.holders.cached[shard] = lease.Holder{Host: string(entry.Value), Token: entry.CreateRevision}
		}
	}
	r.holders.complete = true
}

// ReportFailure reports that the host that Holder returned failed to serve.
// Holder then alternates between the cached holder and the preferred host among
// the live ones, so that most hosts of a fleet find a new holder without reading
// the store. The holder is also read from the store, at intervals that grow from
// minReadInterval to maxReadInterval.
func (r *Recorder) ReportFailure(ctx context.Context, shard int) {
	r.mu.Lock()
	due := r.holders.recordFailure(r.timer.Now(), shard)
	r.mu.Unlock()
	if due {
		r.readHolder(ctx, shard)
	}
}

// checkHolder reads a shard's holder for the lease manager.
func (r *Recorder) checkHolder(shard int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r.readHolder(ctx, shard)
}

func (r *Recorder) readHolder(ctx context.Context, shard int) {
	entry, ok, err := r.store.Get(ctx, rendezvous.ShardName(shard))
	if err == nil {
		r.updateHolder(shard, entry, ok)
	}
}

// updateHolder updates the cache from a read of a shard's key; ok is false if the
// shard is free. Create revisions only grow, so an older read never replaces a
// newer holder.
func (r *Recorder) updateHolder(shard int, entry store.Entry, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.holders.cached[shard]
	if !ok {
		r.holders.remove(shard)
		return
	}
	if entry.CreateRevision >= cached.Token {
		r.holders.set(shard, lease.Holder{Host: string(entry.Value), Token: entry.CreateRevision})
	}
}
