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
	// owners.
	firstReadRetry = time.Second
	// minReadInterval and maxReadInterval bound the time between two reads of one
	// shard's owner on demand; the time doubles while the owner stays the same.
	minReadInterval = 500 * time.Millisecond
	maxReadInterval = 8 * time.Second
	// ownersPageSize is the number of shard keys that one call reads.
	ownersPageSize = 1024
)

// owners caches the holders of all shards. All of them are read once; after that
// a single one is read when a message to the cached holder failed, or when the
// lease keeper requests it.
type owners struct {
	cached map[int]lease.Holder
	// complete is set once all shards have been read.
	complete bool
	lastTry  time.Time
	misses   map[int]*miss
}

// miss is the state of a shard whose holder failed to serve a message.
type miss struct {
	// usePreferred selects the preferred host, see package lease, instead of the
	// cached holder.
	usePreferred bool
	// nextRead is the earliest time of the next read, readInterval the time from
	// that read to the one after it.
	nextRead     time.Time
	readInterval time.Duration
}

func newOwners() *owners {
	return &owners{cached: make(map[int]lease.Holder), misses: make(map[int]*miss)}
}

// host returns the holder to try, or "" for the preferred host.
func (o *owners) host(shard int) string {
	if m, ok := o.misses[shard]; ok && m.usePreferred {
		return ""
	}
	return o.cached[shard].Host
}

// remove deletes a shard's holder from the cache.
func (o *owners) remove(shard int) { delete(o.cached, shard) }

// set stores a holder that was read; a new holder clears the misses.
func (o *owners) set(shard int, owner lease.Holder) {
	if owner != o.cached[shard] {
		delete(o.misses, shard)
	}
	o.cached[shard] = owner
}

// startFirstRead reports whether the first read is due, and if so records its
// start.
func (o *owners) startFirstRead(now time.Time) bool {
	if !o.lastTry.IsZero() && now.Sub(o.lastTry) < firstReadRetry {
		return false
	}
	o.lastTry = now
	return true
}

// recordMiss records that the holder tried last failed to serve, and reports
// whether to read the owner from the store. It alternates between the cached
// holder and the preferred host.
func (o *owners) recordMiss(now time.Time, shard int) bool {
	m, ok := o.misses[shard]
	if !ok {
		m = &miss{readInterval: minReadInterval}
		o.misses[shard] = m
	}
	m.usePreferred = !m.usePreferred
	if now.Before(m.nextRead) {
		return false
	}
	m.nextRead = now.Add(m.readInterval)
	m.readInterval = min(2*m.readInterval, maxReadInterval)
	return true
}

// readOwners reads the holders of all shards.
func (r *Recorder) readOwners() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	entries, _, err := store.RangeAll(ctx, r.store, "shard/", ownersPageSize)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		var shard int
		if _, err := fmt.Sscanf(entry.Key, "shard/%d", &shard); err == nil {
			r.owners.cached[shard] = lease.Holder{Host: string(entry.Value), Token: entry.CreateRevision}
		}
	}
	r.owners.complete = true
}

// ReportFailure reports that the host that Owner returned failed to serve. Owner then
// alternates between the cached holder and the preferred host among the live
// ones, so that most hosts of a fleet find a new holder without reading the
// store. The owner is also read from the store, at intervals that grow from
// minReadInterval to maxReadInterval.
func (r *Recorder) ReportFailure(ctx context.Context, shard int) {
	r.mu.Lock()
	due := r.owners.recordMiss(r.timer.Now(), shard)
	r.mu.Unlock()
	if due {
		r.readOwner(ctx, shard)
	}
}

// checkOwner reads a shard's owner for the lease keeper.
func (r *Recorder) checkOwner(shard int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r.readOwner(ctx, shard)
}

func (r *Recorder) readOwner(ctx context.Context, shard int) {
	entry, ok, err := r.store.Get(ctx, rendezvous.ShardName(shard))
	if err == nil {
		r.updateOwner(shard, entry, ok)
	}
}

// updateOwner updates the cache from a read of a shard's key; ok is false if the
// shard is free. Create revisions only grow, so an older read never replaces a
// newer owner by an older one.
func (r *Recorder) updateOwner(shard int, entry store.Entry, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.owners.cached[shard]
	if !ok {
		r.owners.remove(shard)
		return
	}
	if entry.CreateRevision >= cached.Token {
		r.owners.set(shard, lease.Holder{Host: string(entry.Value), Token: entry.CreateRevision})
	}
}
