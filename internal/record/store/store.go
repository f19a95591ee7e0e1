// Package store is the boundary to the platform's key-value service, the only
// place where anything of ours lasts. The service offers compare-and-swap,
// leases and watches; it may be down, slow, or lose a reply whose write took
// effect. Callers must therefore treat ErrUnclear as "either", settle it by
// reading back, and never write blindly again.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// ErrUnavailable says that a call certainly took no effect.
var ErrUnavailable = errors.New("platform store unavailable")

// ErrUnclear says that a write may or may not have taken effect.
var ErrUnclear = errors.New("platform store reply lost")

// ErrCompacted says that a watch asked for revisions that are gone.
var ErrCompacted = errors.New("watched revisions compacted")

// ErrLeaseNotFound says that a lease lapsed or never was.
var ErrLeaseNotFound = errors.New("lease not found")

// LeaseID names a lease of the platform; zero is no lease.
type LeaseID int64

// Entry is one key with its value and revisions.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Target tells what a Compare looks at.
type Target uint8

// The targets of a Compare.
const (
	// CreateRevision is zero for a key that does not exist.
	CreateRevision Target = iota
	// ModRevision is zero for a key that does not exist.
	ModRevision
)

// Compare is one condition: the key's target equals Revision.
type Compare struct {
	Key      string
	Target   Target
	Revision int64
}

// Put writes one key, attached to Lease if that is not zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic compare-and-swap: if every Compare holds, all Puts and
// Deletes take effect under one new revision, otherwise nothing does.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Outcome is the answer to a Txn.
type Outcome struct {
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Current holds the existing keys under conditions when one did not hold,
	// if the service tells them.
	Current []Entry
}

// Event is one change seen by a watch; Deleted has only a key and ModRevision.
type Event struct {
	Entry
	Deleted bool
}

// Store is the platform's key-value service. All methods block until the
// service answered, ctx ended or the client's timeout passed.
type Store interface {
	// Get returns the entry of key and whether it exists.
	Get(ctx context.Context, key string) (Entry, bool, error)
	// Range returns up to limit entries with from <= key < to in key order,
	// and the revision of the store they were read at; limit 0 is unlimited.
	Range(ctx context.Context, from, to string, limit int) ([]Entry, int64, error)
	// Commit runs a transaction; its error is ErrUnavailable or ErrUnclear.
	Commit(ctx context.Context, txn Txn) (Outcome, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its new time to live.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls fn for each change of a key with the prefix, in order, from
	// revision on, until ctx ends or the stream breaks.
	Watch(ctx context.Context, prefix string, revision int64, fn func(Event)) error
}

// Poller waits for changes one call at a time, so that a reader knows how far
// it has got even while nothing changes.
type Poller interface {
	// Poll returns the changes below prefix after a revision, waiting at most
	// wait for the first, and the revision to go on from.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
}

// Staler reads at a lower price what may be some seconds old.
type Staler interface {
	// RangeStale returns the entries with the prefix.
	RangeStale(ctx context.Context, prefix string) ([]Entry, error)
}

// PrefixEnd returns the first key after all keys that begin with prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}

// RangeAll reads every entry with the prefix in pages of at most page entries.
func RangeAll(ctx context.Context, s Store, prefix string, page int) ([]Entry, int64, error) {
	var all []Entry
	from, end := prefix, PrefixEnd(prefix)
	for {
		entries, revision, err := s.Range(ctx, from, end, page)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, entries...)
		if page == 0 || len(entries) < page {
			return all, revision, nil
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
}
