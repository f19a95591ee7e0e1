package recorder

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// firstReadRetry is the time between two tries of the first read.
	firstReadRetry = time.Second
	// minRefresh and maxRefresh bound the time between two reads of one
	// shard's holder on demand; it doubles while nothing changes.
	minRefresh = 500 * time.Millisecond
	maxRefresh = 8 * time.Second
	// ownersPage is how many shard keys one call reads.
	ownersPage = 1024
)

// owners is what a host knows of the shards' holders. All of them are read
// once; after that a single one is read when a message to the known holder
// failed, or when the lease keeper wants the shard.
type owners struct {
	known map[int]lease.Owner
	// complete is set after the first read of all shards.
	complete bool
	tried    time.Time
	misses   map[int]*miss
}

// miss is a shard whose known holder did not serve.
type miss struct {
	// guess says that the next message goes to the host that should have it.
	guess bool
	// next is the earliest time of the next read, wait the time after that.
	next time.Time
	wait time.Duration
}

func newOwners() *owners {
	return &owners{known: make(map[int]lease.Owner), misses: make(map[int]*miss)}
}

// host returns the holder to try, empty for the host that should have it.
func (o *owners) host(shard int) string {
	if m, ok := o.misses[shard]; ok && m.guess {
		return ""
	}
	return o.known[shard].Host
}

func (o *owners) forget(shard int) { delete(o.known, shard) }

// set takes a holder as it was read.
func (o *owners) set(shard int, owner lease.Owner) {
	if owner != o.known[shard] {
		delete(o.misses, shard)
	}
	o.known[shard] = owner
}

// begin reports whether the first read is due, and notes that it starts.
func (o *owners) begin(now time.Time) bool {
	if !o.tried.IsZero() && now.Sub(o.tried) < firstReadRetry {
		return false
	}
	o.tried = now
	return true
}

// missed notes that the holder tried last did not serve, and reports whether
// the store is to be asked.
func (o *owners) missed(now time.Time, shard int) bool {
	m, ok := o.misses[shard]
	if !ok {
		m = &miss{wait: minRefresh}
		o.misses[shard] = m
	}
	m.guess = !m.guess
	if now.Before(m.next) {
		return false
	}
	m.next = now.Add(m.wait)
	m.wait = min(2*m.wait, maxRefresh)
	return true
}

// readOwners reads who holds which shard.
func (r *Recorder) readOwners() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	entries, _, err := store.RangeAll(ctx, r.store, "shard/", ownersPage)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		var shard int
		if _, err := fmt.Sscanf(entry.Key, "shard/%d", &shard); err == nil {
			r.owners.known[shard] = lease.Owner{Host: string(entry.Value), Token: entry.CreateRevision}
		}
	}
	r.owners.complete = true
}

// Missed says that the holder that Owner returned did not serve. The next one
// is the host that should hold the shard by the live hosts, so that most of a
// fleet finds a new holder without a read of the store; now and then the store
// is asked as well.
func (r *Recorder) Missed(ctx context.Context, shard int) {
	r.mu.Lock()
	due := r.owners.missed(r.timer.Now(), shard)
	r.mu.Unlock()
	if due {
		r.readOwner(ctx, shard)
	}
}

// check reads a shard's holder for the lease keeper.
func (r *Recorder) check(shard int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r.readOwner(ctx, shard)
}

func (r *Recorder) readOwner(ctx context.Context, shard int) {
	entry, ok, err := r.store.Get(ctx, zone.ShardName(shard))
	if err == nil {
		r.learned(shard, entry, ok)
	}
}

// learned takes a shard key as it was read; a shard that is free is known to
// have no holder. Revisions grow, so an older read never replaces a newer one.
func (r *Recorder) learned(shard int, entry store.Entry, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.owners.known[shard]
	if !ok {
		r.owners.forget(shard)
		return
	}
	if entry.CreateRevision >= known.Token {
		r.owners.set(shard, lease.Owner{Host: string(entry.Value), Token: entry.CreateRevision})
	}
}
