// Package platform is a small stand-in for what the platform gives: the
// key-value service with compare-and-swap, leases and watches, and the lagging
// host list. It keeps everything in memory, follows the timer service it is
// given, and can be told to be down, slow, or to lose replies whose write took
// effect. It is for tests and for the dev command, never for production.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// historyLimit bounds the changes kept for watches that start late.
const historyLimit = 10_000

// Fault tells what happens to the next call.
type Fault uint8

// The faults a call can meet.
const (
	// NoFault lets the call through.
	NoFault Fault = iota
	// Refuse fails the call before it takes effect.
	Refuse
	// LoseReply lets the call take effect and loses the answer.
	LoseReply
)

// KV is the key-value service. It is safe for concurrent use.
type KV struct {
	timer timer.Service

	mu       sync.Mutex
	revision int64
	entries  map[string]store.Entry
	leases   map[store.LeaseID]*lease
	serial   store.LeaseID
	// history holds the latest changes in revision order; compacted is the
	// revision before the first of them.
	history   []store.Event
	compacted int64
	watchers  map[*watcher]struct{}
	faults    func(op string) Fault
	calls     map[string]int
}

var (
	_ store.Store       = (*KV)(nil)
	_ store.Poller      = (*KV)(nil)
	_ store.StaleReader = (*KV)(nil)
)

type lease struct {
	ttl    time.Duration
	expire time.Time
	keys   map[string]struct{}
}

type watcher struct {
	prefix string
	wake   chan struct{}
}

// NewKV returns an empty service that expires leases by t's time.
func NewKV(t timer.Service) *KV {
	return &KV{
		timer:    t,
		entries:  make(map[string]store.Entry),
		leases:   make(map[store.LeaseID]*lease),
		watchers: make(map[*watcher]struct{}),
		calls:    make(map[string]int),
	}
}

// SetFaults makes choose decide the fault of each later call; nil ends faults.
func (k *KV) SetFaults(choose func(op string) Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = choose
}

// Calls returns how many calls of each kind came in.
func (k *KV) Calls() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	calls := make(map[string]int, len(k.calls))
	for op, n := range k.calls {
		calls[op] = n
	}
	return calls
}

// begin counts the call, expires leases and picks the call's fault. The caller
// holds k.mu.
func (k *KV) begin(op string) Fault {
	k.calls[op]++
	k.expireLeases()
	if k.faults == nil {
		return NoFault
	}
	return k.faults(op)
}

func (k *KV) expireLeases() {
	now := k.timer.Now()
	for id, l := range k.leases {
		if now.After(l.expire) {
			k.dropLease(id)
		}
	}
}

func (k *KV) dropLease(id store.LeaseID) {
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
	k.wakeWatchers()
}

// Get returns the entry of key.
func (k *KV) Get(_ context.Context, key string) (store.Entry, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.begin("get") != NoFault {
		return store.Entry{}, false, store.ErrUnavailable
	}
	entry, ok := k.entries[key]
	return entry, ok, nil
}

// Range returns the entries with from <= key < to.
func (k *KV) Range(_ context.Context, from, to string, limit int) ([]store.Entry, int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.begin("range") != NoFault {
		return nil, 0, store.ErrUnavailable
	}
	var found []store.Entry
	for key, entry := range k.entries {
		if key >= from && (key < to || to == "\x00") {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, k.revision, nil
}

// Commit runs one transaction.
func (k *KV) Commit(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := k.begin("txn")
	if fault == Refuse {
		return store.TxnResult{}, store.ErrUnavailable
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
			return store.TxnResult{Revision: k.revision, Current: k.current(txn.Compares)}, nil
		}
	}
	for _, put := range txn.Puts {
		if len(put.Value) > store.MaxValueBytes {
			return store.TxnResult{}, store.ErrUnavailable
		}
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
	k.wakeWatchers()
	return store.TxnResult{Succeeded: true, Revision: k.revision}, nil
}

// current returns the existing keys under conditions.
func (k *KV) current(compares []store.Compare) []store.Entry {
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
	k.remember(store.Event{Entry: entry})
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
	k.remember(store.Event{Entry: store.Entry{Key: key, ModRevision: k.revision}, Deleted: true})
}

func (k *KV) remember(event store.Event) {
	k.history = append(k.history, event)
	if len(k.history) > historyLimit {
		drop := len(k.history) - historyLimit
		k.compacted = k.history[drop-1].ModRevision
		k.history = append([]store.Event(nil), k.history[drop:]...)
	}
}

func (k *KV) wakeWatchers() {
	for w := range k.watchers {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// Compact forgets the changes up to now, so that late watches fail.
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
	fault := k.begin("grant")
	if fault == Refuse {
		return 0, store.ErrUnavailable
	}
	k.serial++
	k.leases[k.serial] = &lease{ttl: ttl, expire: k.timer.Now().Add(ttl), keys: make(map[string]struct{})}
	if fault == LoseReply {
		return 0, store.ErrOutcomeUnknown
	}
	return k.serial, nil
}

// KeepAlive renews a lease.
func (k *KV) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := k.begin("keepalive")
	if fault == Refuse {
		return 0, store.ErrUnavailable
	}
	l, ok := k.leases[id]
	if !ok {
		return 0, store.ErrLeaseNotFound
	}
	l.expire = k.timer.Now().Add(l.ttl)
	if fault == LoseReply {
		return 0, store.ErrOutcomeUnknown
	}
	return l.ttl, nil
}

// Revoke ends a lease.
func (k *KV) Revoke(_ context.Context, id store.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := k.begin("revoke")
	if fault == Refuse {
		return store.ErrUnavailable
	}
	if _, ok := k.leases[id]; !ok {
		return store.ErrLeaseNotFound
	}
	k.dropLease(id)
	if fault == LoseReply {
		return store.ErrOutcomeUnknown
	}
	return nil
}

// Watch calls fn for each change below prefix.
func (k *KV) Watch(ctx context.Context, prefix string, revision int64, fn func(store.Event)) error {
	w := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	k.mu.Lock()
	if k.begin("watch") != NoFault {
		k.mu.Unlock()
		return store.ErrUnavailable
	}
	next := revision
	if next == 0 {
		next = k.revision + 1
	}
	k.watchers[w] = struct{}{}
	k.mu.Unlock()
	defer k.stopWatch(w)
	expiry := k.timer.Every(time.Second, func(time.Time) { k.expire() })
	defer expiry.Cancel()
	for {
		events, err := k.changesSince(prefix, next)
		if err != nil {
			return err
		}
		for _, event := range events {
			next = event.ModRevision + 1
			fn(event)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		}
	}
}

// Poll returns the changes below prefix after a revision, waiting for the first
// by the service's timer.
func (k *KV) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	w := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	k.mu.Lock()
	fault := k.begin("poll")
	k.watchers[w] = struct{}{}
	k.mu.Unlock()
	defer k.stopWatch(w)
	if fault != NoFault {
		return nil, after, store.ErrUnavailable
	}
	over := make(chan struct{})
	expiry := k.timer.After(wait, func(time.Time) { close(over) })
	defer expiry.Cancel()
	for {
		k.mu.Lock()
		now := k.revision
		k.mu.Unlock()
		events, err := k.changesSince(prefix, after+1)
		if err != nil {
			return nil, after, err
		}
		if len(events) > 0 {
			return events, max(now, events[len(events)-1].ModRevision), nil
		}
		select {
		case <-ctx.Done():
			return nil, after, store.ErrUnavailable
		case <-over:
			return nil, now, nil
		case <-w.wake:
		}
	}
}

// RangeStale returns the entries with the prefix; they are never stale here.
func (k *KV) RangeStale(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := k.Range(ctx, prefix, store.PrefixEnd(prefix), 0)
	return entries, err
}

func (k *KV) stopWatch(w *watcher) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.watchers, w)
}

func (k *KV) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
}

func (k *KV) changesSince(prefix string, revision int64) ([]store.Event, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults != nil && k.faults("event") == Refuse {
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
