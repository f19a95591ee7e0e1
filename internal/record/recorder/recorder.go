// Package recorder is the shell around the decisions of the ledger and the
// lease keeper: it holds shards, carries out their reads and writes against
// the platform's store, and lets callers wait for their replies.
//
// Every write of a shard compares the shard's fencing token in the same
// transaction, so that a holder that was paused past its lease is refused by
// the store itself, whatever it still believes.
package recorder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	leaseTick = 250 * time.Millisecond
	// shardTick is the time between two ticks of a shard with records on their
	// way, restTick of one without.
	shardTick   = 10 * time.Millisecond
	restTick    = 250 * time.Millisecond
	callTimeout = 5 * time.Second
	// loadTimeout bounds the reading of a shard's groups at take-over.
	loadTimeout = 20 * time.Second
	// rangePage is how many groups, of up to a megabyte each, one call reads.
	rangePage = 8
	// minPause and maxPause bound the wait before a failed call is repeated.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
)

// Hooks are told about shards; they must not block for long.
type Hooks struct {
	// Live returns the hosts believed alive.
	Live func() []string
	// Won is called when a shard is open here, Lost when it is not any more.
	Won  func(shard int, token int64)
	Lost func(shard int)
	// RunAgain runs an idempotent request whose owner was lost.
	RunAgain func(entry ledger.Entry, claim *wire.Record)
	// Note records a change of state and its cause.
	Note func(kind, cause string, subjects ...string)
}

// Recorder holds the shards of one host.
type Recorder struct {
	// stopped is set by Stop; no tick follows then.
	stopped atomic.Bool

	host   string
	store  store.Store
	timer  timer.Service
	hooks  Hooks
	shards int
	terms  lease.Terms

	mu     sync.Mutex
	keeper *lease.Keeper
	open   map[int]*openShard
	owners *owners
	subs   []*timer.Subscription
}

// openShard is a shard held here with its waiting callers.
type openShard struct {
	number int
	token  int64

	mu      sync.Mutex
	shard   *ledger.Shard
	serial  ledger.Ticket
	waiting map[ledger.Ticket]chan reply
	// failures counts the store calls that failed in a row.
	failures int
	// ticking says that a tick is due after shardTick.
	ticking bool
}

type reply struct {
	failure *result.Error
	found   ledger.Entry
}

// New returns a recorder that holds nothing until Start.
func New(host string, s store.Store, t timer.Service, shards int, terms lease.Terms, hooks Hooks) *Recorder {
	return &Recorder{
		host: host, store: s, timer: t, hooks: hooks, shards: shards,
		terms: terms, keeper: lease.NewKeeper(host, shards, terms),
		open: make(map[int]*openShard), owners: newOwners(),
	}
}

// Start subscribes the recorder to the timer.
func (r *Recorder) Start() {
	r.subs = []*timer.Subscription{
		r.timer.Every(leaseTick, func(time.Time) { r.tickLease() }),
		r.timer.Every(restTick, func(time.Time) { r.tickShards() }),
	}
}

// Shards returns the number of shards of the deployment.
func (r *Recorder) Shards() int { return r.shards }

// Owner returns the host that is believed to hold a shard.
func (r *Recorder) Owner(shard int) (string, bool) {
	r.mu.Lock()
	_, open := r.open[shard]
	host := r.owners.host(shard)
	r.mu.Unlock()
	if open {
		return r.host, true
	}
	if host == "" {
		host = zone.First(r.hooks.Live(), zone.ShardName(shard))
	}
	return host, host != ""
}

// Held returns the shards that this host holds.
func (r *Recorder) Held() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.Held()
}

// Token returns the fencing token of a shard that this host may act on now.
func (r *Recorder) Token(shard int) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.Holds(r.timer.Now(), shard)
}

// Leave gives up all shards and returns when none is held or ctx ends.
func (r *Recorder) Leave(ctx context.Context) {
	r.mu.Lock()
	r.keeper.Leave()
	r.mu.Unlock()
	for ctx.Err() == nil && len(r.Held()) > 0 {
		r.tickLease()
		select {
		case <-ctx.Done():
		case <-time.After(shardTick):
		}
	}
	for _, sub := range r.subs {
		sub.Cancel()
	}
}

func (r *Recorder) tickLease() {
	live := r.hooks.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	if !r.owners.complete {
		if r.owners.begin(now) {
			go r.readOwners()
		}
		return
	}
	for _, action := range r.keeper.Tick(now, live, r.owners.known) {
		switch action.Kind {
		case lease.Grant:
			go r.grant()
		case lease.Renew:
			go r.renew(action.Session)
		case lease.Check:
			go r.check(action.Shard)
		case lease.Acquire:
			go r.acquire(action.Session, action.Shard)
		case lease.Lost:
			go r.lose(action.Shard, action.Token, "lease lapsed")
		case lease.Release:
			go r.release(action.Shard, action.Token)
		}
	}
}

func (r *Recorder) grant() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := r.timer.Now()
	id, err := r.store.Grant(ctx, r.terms.TTL)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeper.Granted(sent, id, err)
}

func (r *Recorder) renew(session store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := r.timer.Now()
	_, err := r.store.KeepAlive(ctx, session)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.keeper.Renewed(sent, session, errors.Is(err, store.ErrLeaseNotFound), err) {
		go r.lose(action.Shard, action.Token, "lease ended in the store")
	}
}

// acquire takes a free shard; an unclear outcome is settled by reading back.
func (r *Recorder) acquire(session store.LeaseID, shard int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	key := zone.ShardName(shard)
	_, err := r.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.CreateRevision}},
		Puts:     []store.Put{{Key: key, Value: []byte(r.host), Lease: session}},
	})
	var token int64
	if err == nil || errors.Is(err, store.ErrUnclear) {
		// Whoever has it, the key is read: as our token or as the owner.
		entry, ok, getErr := r.store.Get(ctx, key)
		if getErr == nil && ok && string(entry.Value) == r.host && entry.Lease == session {
			token = entry.CreateRevision
		}
		if getErr == nil {
			r.learned(shard, entry, ok)
		}
	}
	if token == 0 {
		r.acquired(session, shard, 0, nil)
		return
	}
	loading, stop := context.WithTimeout(context.Background(), loadTimeout)
	defer stop()
	r.acquired(session, shard, token, r.load(loading, shard, token))
}

// load reads a shard's groups; nil says that it could not.
func (r *Recorder) load(ctx context.Context, shard int, token int64) *openShard {
	entries, _, err := store.RangeAll(ctx, r.store, ledger.GroupPrefix(shard), rangePage)
	if err != nil {
		return nil
	}
	groups := make([]*wire.Group, 0, len(entries))
	for _, entry := range entries {
		group, err := ledger.Decode(entry.Value)
		if err != nil {
			r.hooks.Note("group unreadable", err.Error(), entry.Key)
			return nil
		}
		groups = append(groups, group)
	}
	return &openShard{
		number: shard, token: token, waiting: make(map[ledger.Ticket]chan reply),
		shard: ledger.Open(ledger.Options{
			Writer: uuid.NewString(), Host: r.host, Interval: ledger.CommitInterval(r.shards),
		}, r.timer.Now(), groups),
	}
}

func (r *Recorder) acquired(session store.LeaseID, shard int, token int64, o *openShard) {
	r.mu.Lock()
	if o == nil && token != 0 {
		// The shard's key is ours but its groups could not be read: give it back.
		r.mu.Unlock()
		r.drop(shard, token)
		r.mu.Lock()
		token = 0
	}
	r.keeper.Acquired(r.timer.Now(), session, shard, token)
	_, held := r.keeper.Holds(r.timer.Now(), shard)
	if held && o != nil {
		r.open[shard] = o
	}
	r.mu.Unlock()
	if held && o != nil {
		r.hooks.Note("shard taken", "shard was free", zone.ShardName(shard))
		r.hooks.Won(shard, token)
	}
}

// drop deletes the shard's key if it is still ours.
func (r *Recorder) drop(shard int, token int64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	key := zone.ShardName(shard)
	_, _ = r.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.CreateRevision, Revision: token}},
		Deletes:  []string{key},
	})
}

// lose closes a shard that must not be acted on any longer.
func (r *Recorder) lose(shard int, token int64, cause string) {
	r.mu.Lock()
	o, ok := r.open[shard]
	if ok && o.token == token {
		delete(r.open, shard)
	}
	r.mu.Unlock()
	if !ok || o.token != token {
		return
	}
	r.hooks.Note("shard lost", cause, zone.ShardName(shard))
	r.hooks.Lost(shard)
	o.mu.Lock()
	defer o.mu.Unlock()
	r.apply(o, o.shard.Close())
}

// release hands a shard over: jobs stop, pending records are written, then
// the key is deleted so that the next holder need not wait for the lease.
func (r *Recorder) release(shard int, token int64) {
	r.hooks.Lost(shard)
	r.mu.Lock()
	o, ok := r.open[shard]
	r.mu.Unlock()
	deadline := r.timer.Now().Add(callTimeout)
	for ok && !o.idle() && r.timer.Now().Before(deadline) {
		time.Sleep(shardTick)
	}
	if ok {
		o.mu.Lock()
		r.apply(o, o.shard.Close())
		o.mu.Unlock()
	}
	r.drop(shard, token)
	r.mu.Lock()
	delete(r.open, shard)
	r.owners.forget(shard)
	r.keeper.Released(shard)
	r.mu.Unlock()
	r.hooks.Note("shard handed over", "another host is preferred", zone.ShardName(shard))
}

func (o *openShard) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Idle()
}

func (r *Recorder) tickShards() {
	r.mu.Lock()
	list := make([]*openShard, 0, len(r.open))
	for _, o := range r.open {
		list = append(list, o)
	}
	r.mu.Unlock()
	now := r.timer.Now()
	for _, o := range list {
		o.mu.Lock()
		r.apply(o, o.shard.Tick(now))
		o.mu.Unlock()
	}
}

// Stop ends the recorder at once, as a crash would: nothing is handed over.
func (r *Recorder) Stop() {
	r.stopped.Store(true)
	for _, sub := range r.subs {
		sub.Cancel()
	}
}
