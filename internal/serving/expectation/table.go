// Package expectation remembers which servers did not meet what callers expect of
// them, such as a version of the weights.
//
// A server answers a call that expects something else of it as it answers one for another
// server: it refuses to run it. What a caller expects is the caller's choice, so such a
// refusal must change nothing for calls that expect nothing, or something else. It does
// tell those that expect the same not to try that server again for a while, so that they
// reach a server that meets it within the few attempts that they have, and are refused at
// once if there is none.
package expectation

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// period is how long a refusal counts. The server may get other weights meanwhile.
	period = 4 * time.Second
	// maxEntries bounds the table, as callers may expect anything.
	maxEntries = 4096
)

// key is an expectation, by its hash, and a start of a server.
type key struct {
	expectation uint64
	start       string
}

// Table holds which starts of servers did not meet which expectations. Its zero value is
// empty. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	unmet map[key]time.Time
	// sweptAt is when the old entries of a full table were last removed.
	sweptAt time.Time
}

// Record records that a start of a server did not meet an expectation. If the table is full
// it does nothing: the next call then asks the server again.
func (t *Table) Record(now time.Time, expectation, start string) {
	if expectation == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unmet == nil {
		t.unmet = make(map[key]time.Time)
	}
	k := key{xxhash.Sum64String(expectation), start}
	if _, known := t.unmet[k]; !known && len(t.unmet) >= maxEntries {
		if t.sweep(now); len(t.unmet) >= maxEntries {
			return
		}
	}
	t.unmet[k] = now
}

// sweep removes old entries, unless it did so lately. The caller holds t.mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < period {
		return
	}
	t.sweptAt = now
	for k, at := range t.unmet {
		if now.Sub(at) >= period {
			delete(t.unmet, k)
		}
	}
}

// Unmet reports whether a start of a server did not meet an expectation lately.
func (t *Table) Unmet(now time.Time, expectation, start string) bool {
	if expectation == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.unmet[key{xxhash.Sum64String(expectation), start}]
	return known && now.Sub(at) < period
}
