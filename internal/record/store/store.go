// Package store is the interface to the platform's key-value service, which
// holds all durable state of the system. The service offers compare-and-swap,
// leases and watches. It may be down or slow, or lose the reply to a write that
// took effect. After ErrUnclear a caller must therefore read back whether the
// write took effect, and must not repeat it unconditionally.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// ErrUnavailable is returned for a call that certainly had no effect.
var ErrUnavailable = errors.New("platform store unavailable")

// ErrOutcomeUnknown is returned for a write that may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("platform store reply lost")

// ErrCompacted is returned when a watch or poll asks for revisions that the
// service has compacted.
var ErrCompacted = errors.New("watched revisions compacted")

// ErrLeaseNotFound is returned for a lease that expired or never existed.
var ErrLeaseNotFound = errors.New("lease not found")

// LeaseID identifies a lease of the platform; zero means no lease.
type LeaseID int64

// Entry is one key with its value and revisions.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Target selects the revision that a Compare checks.
type Target uint8

// The targets of a Compare.
const (
	// CreateRevision is zero for a key that does not exist.
	CreateRevision Target = iota
	// ModRevision is zero for a key that does not exist.
	ModRevision
)

// Compare is one condition of a Txn: the key's Target equals Revision.
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

// TxnResult is the answer to a Txn.
type TxnResult struct {
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Current holds the existing entries of the compared keys if a Compare
	// failed and the service returns them.
	Current []Entry
}

// Event is one change from a watch or poll. If Deleted is set, only Key and
// ModRevision are.
type Event struct {
	Entry
	Deleted bool
}

// Store is the platform's key-value service. All methods block until the
// service responds, ctx ends or the client's timeout expires.
type Store interface {
	// Get returns the entry of key and whether it exists.
	Get(ctx context.Context, key string) (Entry, bool, error)
	// Range returns up to limit entries with from <= key < to in key order,
	// and the revision of the store they were read at; limit 0 is unlimited.
	Range(ctx context.Context, from, to string, limit int) ([]Entry, int64, error)
	// Commit runs a transaction; its error wraps ErrUnavailable or ErrUnclear.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
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

// Poller reads changes by long polling. Unlike a watch, each reply carries the
// revision that the reader has reached, also while nothing changes.
type Poller interface {
	// Poll returns the changes of keys with the prefix after a revision, waiting
	// at most wait for the first, and the revision to continue from.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
}

// StaleReader offers reads that are cheaper and may return data some seconds old.
type StaleReader interface {
	// RangeStale returns the entries with the prefix, possibly some seconds old.
	RangeStale(ctx context.Context, prefix string) ([]Entry, error)
}

// PrefixEnd returns the exclusive end of the range of keys that begin with
// prefix. It is "\x00", which stands for no upper bound, if prefix is empty or
// has only 0xff bytes.
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
