package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// The limits that the platform's store sets to one transaction.
const (
	// MaxTxnEntries is the most compares, puts and deletes of a transaction in all.
	MaxTxnEntries = 32
	// MaxKeyBytes is the longest key.
	MaxKeyBytes = 200
)

// ErrRejected is returned, together with ErrUnavailable, for a call that the store never
// takes as it is. Sending it again is of no use.
var ErrRejected = errors.New("the store does not take such a call")

// Entries returns the number of entries that the store counts.
func (t Txn) Entries() int { return len(t.Compares) + len(t.Puts) + len(t.Deletes) }

// Check returns an error that wraps ErrRejected if a transaction exceeds a limit of the
// store.
func (t Txn) Check() error {
	if n := t.Entries(); n > MaxTxnEntries {
		return fmt.Errorf("%w: %w: %d entries", ErrUnavailable, ErrRejected, n)
	}
	for _, c := range t.Compares {
		if len(c.Key) > MaxKeyBytes {
			return fmt.Errorf("%w: %w: key %.40q has %d bytes", ErrUnavailable, ErrRejected, c.Key, len(c.Key))
		}
	}
	for _, p := range t.Puts {
		if len(p.Key) > MaxKeyBytes || len(p.Value) > MaxValueBytes {
			return fmt.Errorf("%w: %w: key %.40q has %d bytes and its value %d", ErrUnavailable, ErrRejected, p.Key, len(p.Key), len(p.Value))
		}
	}
	for _, key := range t.Deletes {
		if len(key) > MaxKeyBytes {
			return fmt.Errorf("%w: %w: key %.40q has %d bytes", ErrUnavailable, ErrRejected, key, len(key))
		}
	}
	return nil
}

// Batch gathers parts, each of which is written whole, into one transaction that the store
// takes. Its zero value is empty.
type Batch struct {
	txn   Txn
	bytes int
}

// Add adds a part and reports whether it fits, by its entries and so that the values of all
// parts have at most maxBytes. The first part always fits by its bytes. One that doesn't
// fit leaves the batch as it is.
func (b *Batch) Add(part Txn, maxBytes int) bool {
	size := 0
	for _, p := range part.Puts {
		size += len(p.Value)
	}
	if b.txn.Entries()+part.Entries() > MaxTxnEntries || b.txn.Entries() > 0 && b.bytes+size > maxBytes {
		return false
	}
	b.txn.Compares = append(b.txn.Compares, part.Compares...)
	b.txn.Puts = append(b.txn.Puts, part.Puts...)
	b.txn.Deletes = append(b.txn.Deletes, part.Deletes...)
	b.bytes += size
	return true
}

// Txn returns the transaction of all parts.
func (b *Batch) Txn() Txn { return b.txn }

// DeleteAll deletes keys, under the same conditions, in as many transactions as the store
// needs. It reports whether all conditions held, and stops at the first that did not.
func DeleteAll(ctx context.Context, s Store, compares []Compare, keys []string) (bool, error) {
	for part := range slices.Chunk(keys, MaxTxnEntries-len(compares)) {
		outcome, err := s.Commit(ctx, Txn{Compares: compares, Deletes: part})
		if err != nil || !outcome.Succeeded {
			return false, err
		}
	}
	return true, nil
}
