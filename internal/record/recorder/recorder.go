// Package recorder executes the actions of the state machines in packages ledger
// and lease. It acquires and releases shards, reads and writes their groups in
// the platform's store, and blocks callers until the reply to their message.
//
// Every write of a shard compares the shard's fencing token in the same
// transaction, so that the store rejects the writes of a holder that was paused
// past its lease, even if that holder has not yet detected the loss.
package recorder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	leaseTick = 250 * time.Millisecond
	// activeShardTick is the time between two ticks of a shard with pending
	// records, idleShardTick of one without.
	activeShardTick = 10 * time.Millisecond
	idleShardTick   = 250 * time.Millisecond
	callTimeout     = 5 * time.Second
	// loadTimeout bounds the time to read many groups, when a shard is acquired
	// or compacted.
	loadTimeout = 20 * time.Second
	// groupPageSize is the number of groups that one call reads; a group may be
	// as large as a megabyte.
	groupPageSize = 8
	// minBackoff and maxBackoff bound the pause before a call that follows a
	// failed one.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Hooks are the callbacks of a Recorder; they must not block for long.
type Hooks struct {
	// Live returns the hosts assumed alive.
	Live func() []string
	// Acquired is called when this host has acquired and opened a shard, Lost
	// when it loses or starts to release one.
	Acquired func(shard int, token int64)
	Lost     func(shard int)
	// Rerun reruns an idempotent request whose owner was lost.
	Rerun func(entry ledger.Entry, claim *wire.Record)
	// RecordEvent records a state change and its cause for operators.
	RecordEvent func(kind, cause string, subjects ...string)
}

// Recorder holds the shards of one host.
type Recorder struct {
	// stopped is set by Stop; afterwards no tick is scheduled.
	stopped atomic.Bool

	host   string
	store  store.Store
	timer  timer.Service
	hooks  Hooks
	shards int
	timing lease.Timing

	mu           sync.Mutex
	leaseManager *lease.Manager
	open         map[int]*openShard
	holders      *holderCache
	subs         []*timer.Subscription
}

// openShard is a shard that this host holds, with its waiting callers.
type openShard struct {
	number int
	token  int64

	mu         sync.Mutex
	shard      *ledger.Shard
	lastTicket ledger.Ticket
	waiters    map[ledger.Ticket]chan reply
	// failures counts failed store calls in a row.
	failures int
	// tickScheduled reports that a tick after activeShardTick is scheduled.
	tickScheduled bool
}

// reply is the outcome of a message to a shard.
type reply struct {
	failure *result.Error
	found   ledger.Entry
}

// New returns a recorder that holds no shard until Start.
func New(host string, s store.Store, t timer.Service, shards int, timing lease.Timing, hooks Hooks) *Recorder {
	return &Recorder{
		host: host, store: s, timer: t, hooks: hooks, shards: shards,
		timing: timing, leaseManager: lease.NewManager(host, shards, timing),
		open: make(map[int]*openShard), holders: newHolderCache(),
	}
}

// Start subscribes the recorder to the timer.
func (r *Recorder) Start() {
	r.subs = []*timer.Subscription{
		r.timer.Every(leaseTick, func(time.Time) { r.tickLease() }),
		r.timer.Every(idleShardTick, func(time.Time) { r.tickShards() }),
	}
}

// Shards returns the number of shards of the deployment.
func (r *Recorder) Shards() int { return r.shards }

// Holder returns the host that probably holds a shard: this one if the shard is
// open here, else the cached holder or the preferred host.
func (r *Recorder) Holder(shard int) (string, bool) {
	r.mu.Lock()
	_, open := r.open[shard]
	host := r.holders.host(shard)
	r.mu.Unlock()
	if open {
		return r.host, true
	}
	if host == "" {
		host = rendezvous.First(r.hooks.Live(), rendezvous.ShardName(shard))
	}
	return host, host != ""
}

// Held returns the shards that this host holds.
func (r *Recorder) Held() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaseManager.Held()
}

// Token returns the fencing token of a shard and whether this host may act on it
// now.
func (r *Recorder) Token(shard int) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaseManager.Holds(r.timer.Now(), shard)
}

// Leave releases all shards and returns when none is held or ctx ends.
func (r *Recorder) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaseManager.Leave()
	r.mu.Unlock()
	for ctx.Err() == nil && len(r.Held()) > 0 {
		r.tickLease()
		select {
		case <-ctx.Done():
		case <-time.After(activeShardTick):
		}
	}
	for _, sub := range r.subs {
		sub.Cancel()
	}
}

// tickLease runs the lease manager and starts its actions, once the holders of
// all shards have been read.
func (r *Recorder) tickLease() {
	live := r.hooks.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	if !r.holders.complete {
		if r.holders.startFirstRead(now) {
			go r.readHolders()
		}
		return
	}
	for _, action := range r.leaseManager.Tick(now, live, r.holders.cached) {
		switch action.Kind {
		case lease.Grant:
			go r.grant()
		case lease.Renew:
			go r.renew(action.Session)
		case lease.Check:
			go r.checkHolder(action.Shard)
		case lease.Acquire:
			go r.acquire(action.Session, action.Shard)
		case lease.Lost:
			go r.closeLost(action.Shard, action.Token, "lease lapsed")
		case lease.Release:
			go r.release(action.Shard, action.Token)
		}
	}
}

// grant creates a session for the lease manager.
func (r *Recorder) grant() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := r.timer.Now()
	id, err := r.store.Grant(ctx, r.timing.TTL)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseManager.Granted(sent, id, err)
}

// renew renews the session and closes all shards if it no longer exists.
func (r *Recorder) renew(session store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := r.timer.Now()
	_, err := r.store.KeepAlive(ctx, session)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.leaseManager.Renewed(sent, session, errors.Is(err, store.ErrLeaseNotFound), err) {
		go r.closeLost(action.Shard, action.Token, "lease ended in the store")
	}
}

// acquire tries to acquire a free shard and reads the key afterwards, which also
// resolves an unknown outcome.
func (r *Recorder) acquire(session store.LeaseID, shard int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	key := rendezvous.ShardName(shard)
	_, err := r.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.CreateRevision}},
		Puts:     []store.Put{{Key: key, Value: []byte(r.host), Lease: session}},
	})
	var token int64
	if err == nil || errors.Is(err, store.ErrOutcomeUnknown) {
		// The key gives either this host's token or the current holder.
		entry, ok, getErr := r.store.Get(ctx, key)
		if getErr == nil && ok && string(entry.Value) == r.host && entry.Lease == session {
			token = entry.CreateRevision
		}
		if getErr == nil {
			r.updateHolder(shard, entry, ok)
		}
	}
	if token == 0 {
		r.finishAcquire(session, shard, 0, nil)
		return
	}
	loadCtx, cancelLoad := context.WithTimeout(context.Background(), loadTimeout)
	defer cancelLoad()
	r.finishAcquire(session, shard, token, r.load(loadCtx, shard, token))
}

// load reads a shard's groups and opens the shard; it returns nil on failure.
func (r *Recorder) load(ctx context.Context, shard int, token int64) *openShard {
	entries, _, err := store.RangeAll(ctx, r.store, ledger.GroupPrefix(shard), groupPageSize)
	if err != nil {
		return nil
	}
	groups := make([]*wire.Group, 0, len(entries))
	for _, entry := range entries {
		group, err := ledger.Decode(entry.Value)
		if err != nil {
			r.hooks.RecordEvent("group unreadable", err.Error(), entry.Key)
			return nil
		}
		groups = append(groups, group)
	}
	return &openShard{
		number: shard, token: token, waiters: make(map[ledger.Ticket]chan reply),
		shard: ledger.Open(ledger.Options{
			Writer: uuid.NewString(), Host: r.host, Interval: ledger.CommitInterval(r.shards),
		}, r.timer.Now(), groups),
	}
}

// finishAcquire reports the end of an acquire to the lease manager and opens the
// shard if this host holds it. o is nil if the host did not get the shard or
// could not load it.
func (r *Recorder) finishAcquire(session store.LeaseID, shard int, token int64, o *openShard) {
	r.mu.Lock()
	if o == nil && token != 0 {
		// This host holds the shard's key, but its groups could not be read:
		// release the key.
		r.mu.Unlock()
		r.deleteKey(shard, token)
		r.mu.Lock()
		token = 0
	}
	r.leaseManager.Acquired(r.timer.Now(), session, shard, token)
	_, held := r.leaseManager.Holds(r.timer.Now(), shard)
	if held && o != nil {
		r.open[shard] = o
	}
	r.mu.Unlock()
	if held && o != nil {
		r.hooks.RecordEvent("shard taken", "shard was free", rendezvous.ShardName(shard))
		r.hooks.Acquired(shard, token)
	}
}

// deleteKey deletes the shard's key if it still has the given token.
func (r *Recorder) deleteKey(shard int, token int64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	key := rendezvous.ShardName(shard)
	_, _ = r.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.CreateRevision, Revision: token}},
		Deletes:  []string{key},
	})
}

// closeLost closes a shard that this host no longer holds.
func (r *Recorder) closeLost(shard int, token int64, cause string) {
	r.mu.Lock()
	o, ok := r.open[shard]
	if ok && o.token == token {
		delete(r.open, shard)
	}
	r.mu.Unlock()
	if !ok || o.token != token {
		return
	}
	r.hooks.RecordEvent("shard lost", cause, rendezvous.ShardName(shard))
	r.hooks.Lost(shard)
	o.mu.Lock()
	defer o.mu.Unlock()
	r.apply(o, o.shard.Close())
}

// release hands a shard over. It calls Lost, which stops the shard's jobs, waits
// at most callTimeout until the pending records are written and closes the
// shard. It then deletes the shard's key, so that the next holder need not wait
// for the lease to expire.
func (r *Recorder) release(shard int, token int64) {
	r.hooks.Lost(shard)
	r.mu.Lock()
	o, ok := r.open[shard]
	r.mu.Unlock()
	deadline := r.timer.Now().Add(callTimeout)
	for ok && !o.idle() && r.timer.Now().Before(deadline) {
		time.Sleep(activeShardTick)
	}
	if ok {
		o.mu.Lock()
		r.apply(o, o.shard.Close())
		o.mu.Unlock()
	}
	r.deleteKey(shard, token)
	r.mu.Lock()
	delete(r.open, shard)
	r.holders.remove(shard)
	r.leaseManager.Released(shard)
	r.mu.Unlock()
	r.hooks.RecordEvent("shard handed over", "another host is preferred", rendezvous.ShardName(shard))
}

func (o *openShard) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Idle()
}

func (r *Recorder) tickShards() {
	r.mu.Lock()
	shards := make([]*openShard, 0, len(r.open))
	for _, o := range r.open {
		shards = append(shards, o)
	}
	r.mu.Unlock()
	now := r.timer.Now()
	for _, o := range shards {
		o.mu.Lock()
		r.apply(o, o.shard.Tick(now))
		o.mu.Unlock()
	}
}

// Stop ends the recorder without releasing its shards, as a crash would.
func (r *Recorder) Stop() {
	r.stopped.Store(true)
	for _, sub := range r.subs {
		sub.Cancel()
	}
}
