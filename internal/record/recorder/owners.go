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
	// refreshEvery bounds how often one shard's holder is read on demand.
	refreshEvery = 250 * time.Millisecond
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
	read     map[int]time.Time
}

func newOwners() *owners {
	return &owners{known: make(map[int]lease.Owner), read: make(map[int]time.Time)}
}

func (o *owners) host(shard int) (string, bool) {
	owner, ok := o.known[shard]
	return owner.Host, ok
}

func (o *owners) forget(shard int) { delete(o.known, shard) }

// begin reports whether the first read is due, and notes that it starts.
func (o *owners) begin(now time.Time) bool {
	if !o.tried.IsZero() && now.Sub(o.tried) < firstReadRetry {
		return false
	}
	o.tried = now
	return true
}

// due reports whether a shard may be read on demand, and notes that it is.
func (o *owners) due(now time.Time, shard int) bool {
	if last, ok := o.read[shard]; ok && now.Sub(last) < refreshEvery {
		return false
	}
	o.read[shard] = now
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

// Refresh reads a shard's holder again after the known one did not serve; it
// returns at once if that was done a moment ago.
func (r *Recorder) Refresh(ctx context.Context, shard int) {
	r.mu.Lock()
	due := r.owners.due(r.timer.Now(), shard)
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
		r.owners.known[shard] = lease.Owner{Host: string(entry.Value), Token: entry.CreateRevision}
	}
}
