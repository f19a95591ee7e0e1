// Package platform is a small stand-in for the platform's key-value service with
// compare-and-swap transactions, leases and watches. It keeps everything in
// memory and takes the time from a timer service. Faults can be injected into its
// calls: a call fails before it takes effect, or takes effect and its reply is
// lost. It is for tests and for the dev command, never for production.
package platform

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// historyLimit is the number of changes kept for watches that start at an
// earlier revision.
const historyLimit = 10_000

// Fault is the fault injected into a call.
type Fault uint8

// The faults of a call.
const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// Refuse fails the call before it takes effect.
	Refuse
	// LoseReply lets a write take effect and fails the call with
	// store.ErrOutcomeUnknown. It fails a read with store.ErrUnavailable.
	LoseReply
)

// KV is an in-memory key-value service. It is safe for concurrent use.
type KV struct {
	timer timer.Service

	mu          sync.Mutex
	revision    int64
	entries     map[string]store.Entry
	leases      map[store.LeaseID]*lease
	lastLeaseID store.LeaseID
	// history holds the latest changes in revision order. Changes up to the
	// revision compacted are no longer available.
	history     []store.Event
	compacted   int64
	watchers    map[*watcher]struct{}
	chooseFault func(op string) Fault
	// rejects tells the transactions that are never taken besides those over the limits.
	rejects func(store.Txn) bool
	calls   map[string]int
}

var (
	_ store.Store       = (*KV)(nil)
	_ store.Poller      = (*KV)(nil)
	_ store.StaleReader = (*KV)(nil)
)

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]struct{}
}

type watcher struct {
	prefix  string
	changed chan struct{}
}

// NewKV returns an empty service that uses t for lease expiry and timeouts.
func NewKV(t timer.Service) *KV {
	return &KV{
		timer:    t,
		entries:  make(map[string]store.Entry),
		leases:   make(map[store.LeaseID]*lease),
		watchers: make(map[*watcher]struct{}),
		calls:    make(map[string]int),
	}
}

// SetFaults makes choose select the fault of each later call by its kind; nil
// disables faults. A watch or poll in progress calls choose with the kind
// "event" and fails on Refuse.
func (k *KV) SetFaults(choose func(op string) Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.chooseFault = choose
}

// SetRejects makes the service never take the transactions for which rejects returns true,
// besides those over the limits of the platform; nil for none.
func (k *KV) SetRejects(rejects func(store.Txn) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rejects = rejects
}

// Calls returns the number of calls of each kind, including failed ones.
func (k *KV) Calls() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	calls := make(map[string]int, len(k.calls))
	for op, n := range k.calls {
		calls[op] = n
	}
	return calls
}

// beginCall counts the call, expires leases and returns the call's fault. The
// caller holds k.mu.
func (k *KV) beginCall(op string) Fault {
	k.calls[op]++
	k.expireLeases()
	if k.chooseFault == nil {
		return NoFault
	}
	return k.chooseFault(op)
}

func (k *KV) expireLeases() {
	now := k.timer.Now()
	for id, l := range k.leases {
		if now.After(l.expiresAt) {
			k.removeLease(id)
		}
	}
}

// removeLease deletes the lease and its keys in one revision.
func (k *KV) removeLease(id store.LeaseID) {
	keys := make([]string, 0, len(k.leases[id].keys))
	for key := range k.leases[id].keys {
		keys = append(keys, key)
	}
	delete(k.leases, id)
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	k.revision++
	for _, key := range keys {
		k.remove(key)
	}
	k.notifyWatchers()
}

// Get returns the entry of key.
func (k *KV) Get(_ context.Context, key string) (store.Entry, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.beginCall("get") != NoFault {
		return store.Entry{}, false, store.ErrUnavailable
	}
	entry, ok := k.entries[key]
	return entry, ok, nil
}

// Range returns the entries with from <= key < to.
func (k *KV) Range(_ context.Context, from, to string, limit int) ([]store.Entry, int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.beginCall("range") != NoFault {
		return nil, 0, store.ErrUnavailable
	}
	var matches []store.Entry
	for key, entry := range k.entries {
		if key >= from && (key < to || to == "\x00") {
			matches = append(matches, entry)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].Key < matches[j].Key })
	if limit > 0 && len(matches) > limit {
		matches = matches[:limit]
	}
	return matches, k.revision, nil
}

// Commit applies a transaction if all its compares hold.
func (k *KV) Commit(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := k.beginCall("txn")
	if fault == Refuse {
		return store.TxnResult{}, store.ErrUnavailable
	}
	if err := txn.Check(); err != nil {
		return store.TxnResult{}, err
	}
	if k.rejects != nil && k.rejects(txn) {
		return store.TxnResult{}, fmt.Errorf("%w: %w", store.ErrUnavailable, store.ErrRejected)
	}
	outcome, err := k.apply(txn)
	if err == nil && fault == LoseReply {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return outcome, err
}

func (k *KV) apply(txn store.Txn) (store.TxnResult, error) {
	for _, compare := range txn.Compares {
		entry := k.entries[compare.Key]
		actual := entry.CreateRevision
		if compare.Target == store.ModRevision {
			actual = entry.ModRevision
		}
		if actual != compare.Revision {
			return store.TxnResult{Revision: k.revision, Current: k.comparedEntries(txn.Compares)}, nil
		}
	}
	for _, put := range txn.Puts {
		if _, ok := k.leases[put.Lease]; put.Lease != 0 && !ok {
			return store.TxnResult{}, store.ErrLeaseNotFound
		}
	}
	k.revision++
	for _, put := range txn.Puts {
		k.put(put)
	}
	for _, key := range txn.Deletes {
		k.remove(key)
	}
	k.notifyWatchers()
	return store.TxnResult{Succeeded: true, Revision: k.revision}, nil
}

// comparedEntries returns the entries of the compared keys that exist.
func (k *KV) comparedEntries(compares []store.Compare) []store.Entry {
	var entries []store.Entry
	for _, compare := range compares {
		if entry, ok := k.entries[compare.Key]; ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

func (k *KV) put(put store.Put) {
	entry, existed := k.entries[put.Key]
	if !existed {
		entry.CreateRevision = k.revision
	}
	if old, ok := k.leases[entry.Lease]; ok {
		delete(old.keys, put.Key)
	}
	entry.Key = put.Key
	entry.Value = append([]byte(nil), put.Value...)
	entry.ModRevision = k.revision
	entry.Lease = put.Lease
	if l, ok := k.leases[put.Lease]; ok {
		l.keys[put.Key] = struct{}{}
	}
	k.entries[put.Key] = entry
	k.appendHistory(store.Event{Entry: entry})
}

func (k *KV) remove(key string) {
	entry, ok := k.entries[key]
	if !ok {
		return
	}
	if l, ok := k.leases[entry.Lease]; ok {
		delete(l.keys, key)
	}
	delete(k.entries, key)
	k.appendHistory(store.Event{Entry: store.Entry{Key: key, ModRevision: k.revision}, Deleted: true})
}

func (k *KV) appendHistory(event store.Event) {
	k.history = append(k.history, event)
	if len(k.history) > historyLimit {
		drop := len(k.history) - historyLimit
		k.compacted = k.history[drop-1].ModRevision
		k.history = append([]store.Event(nil), k.history[drop:]...)
	}
}

func (k *KV) notifyWatchers() {
	for w := range k.watchers {
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
}

// Compact discards the history. Watches and polls that need a change up to the
// current revision then fail with store.ErrCompacted.
func (k *KV) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compacted = k.revision
	k.history = nil
}

// Grant creates a lease.
func (k *KV) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := k.beginCall("grant")
	if fault == Refuse {
		return 0, store.ErrUnavailable
	}
	k.lastLeaseID++
	k.leases[k.lastLeaseID] = &lease{ttl: ttl, expiresAt: k.timer.Now().Add(ttl), keys: make(map[string]struct{})}
	if fault == LoseReply {
		return 0, store.ErrOutcomeUnknown
	}
	return k.lastLeaseID, nil
}

// KeepAlive renews a lease.
func (k *KV) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := k.beginCall("keepalive")
	if fault == Refuse {
		return 0, store.ErrUnavailable
	}
	l, ok := k.leases[id]
	if !ok {
		return 0, store.ErrLeaseNotFound
	}
	l.expiresAt = k.timer.Now().Add(l.ttl)
	if fault == LoseReply {
		return 0, store.ErrOutcomeUnknown
	}
	return l.ttl, nil
}

// Revoke removes a lease and its keys.
func (k *KV) Revoke(_ context.Context, id store.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := k.beginCall("revoke")
	if fault == Refuse {
		return store.ErrUnavailable
	}
	if _, ok := k.leases[id]; !ok {
		return store.ErrLeaseNotFound
	}
	k.removeLease(id)
	if fault == LoseReply {
		return store.ErrOutcomeUnknown
	}
	return nil
}

// Watch calls fn for each change of a key with the prefix, from the given
// revision on, or only for new changes if revision is 0. It returns when ctx ends
// or on an error.
func (k *KV) Watch(ctx context.Context, prefix string, revision int64, fn func(store.Event)) error {
	w := &watcher{prefix: prefix, changed: make(chan struct{}, 1)}
	k.mu.Lock()
	if k.beginCall("watch") != NoFault {
		k.mu.Unlock()
		return store.ErrUnavailable
	}
	nextRevision := revision
	if nextRevision == 0 {
		nextRevision = k.revision + 1
	}
	k.watchers[w] = struct{}{}
	k.mu.Unlock()
	defer k.stopWatch(w)
	expiry := k.timer.Every(time.Second, func(time.Time) { k.lockAndExpireLeases() })
	defer expiry.Cancel()
	for {
		events, err := k.changesSince(prefix, nextRevision)
		if err != nil {
			return err
		}
		for _, event := range events {
			nextRevision = event.ModRevision + 1
			fn(event)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.changed:
		}
	}
}

// Poll returns the changes of keys with the prefix after a revision and the
// revision up to which they are complete. Without changes it waits for the first
// one, at most for the duration wait.
func (k *KV) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	w := &watcher{prefix: prefix, changed: make(chan struct{}, 1)}
	k.mu.Lock()
	fault := k.beginCall("poll")
	k.watchers[w] = struct{}{}
	k.mu.Unlock()
	defer k.stopWatch(w)
	if fault != NoFault {
		return nil, after, store.ErrUnavailable
	}
	timedOut := make(chan struct{})
	timeout := k.timer.After(wait, func(time.Time) { close(timedOut) })
	defer timeout.Cancel()
	for {
		k.mu.Lock()
		current := k.revision
		k.mu.Unlock()
		events, err := k.changesSince(prefix, after+1)
		if err != nil {
			return nil, after, err
		}
		if len(events) > 0 {
			return events, max(current, events[len(events)-1].ModRevision), nil
		}
		select {
		case <-ctx.Done():
			return nil, after, store.ErrUnavailable
		case <-timedOut:
			return nil, current, nil
		case <-w.changed:
		}
	}
}

// RangeStale returns the entries with the prefix. This implementation never
// returns stale entries.
func (k *KV) RangeStale(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := k.Range(ctx, prefix, store.PrefixEnd(prefix), 0)
	return entries, err
}

func (k *KV) stopWatch(w *watcher) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.watchers, w)
}

func (k *KV) lockAndExpireLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
}

func (k *KV) changesSince(prefix string, revision int64) ([]store.Event, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.chooseFault != nil && k.chooseFault("event") == Refuse {
		return nil, store.ErrUnavailable
	}
	if revision <= k.compacted {
		return nil, store.ErrCompacted
	}
	start := sort.Search(len(k.history), func(i int) bool { return k.history[i].ModRevision >= revision })
	var events []store.Event
	for _, event := range k.history[start:] {
		if strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, nil
}
