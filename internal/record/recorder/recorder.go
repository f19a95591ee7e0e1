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
	"fmt"
	"sync"
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
	leaseTick   = 250 * time.Millisecond
	shardTick   = 10 * time.Millisecond
	ownersEvery = time.Second
	callTimeout = 5 * time.Second
	rangePage   = 64
	writePause  = 100 * time.Millisecond
)

// Hooks are told about shards; they must not block for long.
type Hooks struct {
	// Live returns the hosts believed alive.
	Live func() []string
	// Won is called when a shard is open here, Lost when it is not any more.
	Won  func(shard int, token int64)
	Lost func(shard int)
	// RunAgain runs an idempotent request whose owner was lost.
	RunAgain func(shard int, entry ledger.Entry, claim *wire.Record)
	// Note records a change of state and its cause.
	Note func(kind, cause string, subjects ...string)
}

// Recorder holds the shards of one host.
type Recorder struct {
	host   string
	store  store.Store
	timer  timer.Service
	hooks  Hooks
	shards int

	mu     sync.Mutex
	keeper *lease.Keeper
	open   map[int]*openShard
	owners map[int]lease.Owner
	ownRev time.Time
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
}

type reply struct {
	failure *result.Error
	found   ledger.Entry
}

// New returns a recorder that holds nothing until Start.
func New(host string, s store.Store, t timer.Service, shards int, terms lease.Terms, hooks Hooks) *Recorder {
	return &Recorder{
		host: host, store: s, timer: t, hooks: hooks, shards: shards,
		keeper: lease.NewKeeper(host, shards, terms),
		open:   make(map[int]*openShard), owners: make(map[int]lease.Owner),
	}
}

// Start subscribes the recorder to the timer.
func (r *Recorder) Start() {
	r.subs = []*timer.Subscription{
		r.timer.Every(ownersEvery, func(time.Time) { go r.readOwners() }),
		r.timer.Every(leaseTick, func(time.Time) { r.tickLease() }),
		r.timer.Every(shardTick, func(time.Time) { r.tickShards() }),
	}
	go r.readOwners()
}

// Shards returns the number of shards of the deployment.
func (r *Recorder) Shards() int { return r.shards }

// Owner returns the host that holds a shard, as last read from the store.
func (r *Recorder) Owner(shard int) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[shard]; ok {
		return r.host, true
	}
	owner, ok := r.owners[shard]
	return owner.Host, ok
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

// readOwners reads who holds which shard.
func (r *Recorder) readOwners() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := r.timer.Now()
	entries, _, err := r.store.Range(ctx, "shard/", store.PrefixEnd("shard/"), 0)
	if err != nil {
		return
	}
	owners := make(map[int]lease.Owner, len(entries))
	for _, entry := range entries {
		var shard int
		if _, err := fmt.Sscanf(entry.Key, "shard/%d", &shard); err == nil {
			owners[shard] = lease.Owner{Host: string(entry.Value), Token: entry.CreateRevision}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if sent.After(r.ownRev) {
		r.owners, r.ownRev = owners, sent
	}
}

func (r *Recorder) tickLease() {
	live := r.hooks.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownRev.IsZero() {
		return
	}
	for _, action := range r.keeper.Tick(r.timer.Now(), live, r.owners) {
		switch action.Kind {
		case lease.Grant:
			go r.grant()
		case lease.Renew:
			go r.renew(action.Session)
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
	id, err := r.store.Grant(ctx, lease.DefaultTerms.TTL)
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
		entry, ok, getErr := r.store.Get(ctx, key)
		if getErr == nil && ok && string(entry.Value) == r.host && entry.Lease == session {
			token = entry.CreateRevision
		}
	}
	if token == 0 {
		r.acquired(session, shard, 0, nil)
		return
	}
	r.acquired(session, shard, token, r.load(ctx, shard, token))
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
		shard: ledger.Open(uuid.NewString(), r.timer.Now(), groups),
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
	r.keeper.Acquired(session, shard, token)
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
	delete(r.owners, shard)
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

// apply carries out a shard's actions; the caller holds o.mu.
func (r *Recorder) apply(o *openShard, actions []ledger.Action) {
	for _, action := range actions {
		switch action.Kind {
		case ledger.ReplyTo:
			if waiter, ok := o.waiting[action.Ticket]; ok {
				delete(o.waiting, action.Ticket)
				waiter <- reply{action.Failure, action.Found}
			}
		case ledger.CommitGroup:
			go r.commit(o, action.Group)
		case ledger.ReadGroup:
			go r.readBack(o, action.Group)
		case ledger.RunAgain:
			go r.runAgain(o, action.Found)
		case ledger.CloseShard:
			go r.lose(o.number, o.token, "store refused the fencing token")
		}
	}
}

func (r *Recorder) commit(o *openShard, group *wire.Group) {
	value, err := ledger.Encode(group)
	if err != nil {
		r.lose(o.number, o.token, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	key := ledger.GroupKey(o.number, group.GetSequence())
	outcome, err := r.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{
			{Key: zone.ShardName(o.number), Target: store.CreateRevision, Revision: o.token},
			{Key: key, Target: store.CreateRevision},
		},
		Puts: []store.Put{{Key: key, Value: value}},
	})
	committed := ledger.Written
	switch {
	case errors.Is(err, store.ErrUnavailable):
		committed = ledger.NotWritten
		time.Sleep(writePause)
	case err != nil:
		committed = ledger.Unclear
		time.Sleep(writePause)
	case !outcome.Succeeded:
		committed = ledger.Refused
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r.apply(o, o.shard.Committed(r.timer.Now(), committed))
}

func (r *Recorder) readBack(o *openShard, group *wire.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	found, err := r.readGroup(ctx, o.number, group.GetSequence())
	holder, ok, holderErr := r.store.Get(ctx, zone.ShardName(o.number))
	read := ledger.ReadResult{
		Failed:      err != nil || holderErr != nil,
		Writer:      found.GetWriter(),
		HolderValid: ok && holder.CreateRevision == o.token,
	}
	if read.Failed {
		time.Sleep(writePause)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r.apply(o, o.shard.ReadBack(r.timer.Now(), read))
}

// readGroup returns a group, nil if there is none.
func (r *Recorder) readGroup(ctx context.Context, shard int, sequence int64) (*wire.Group, error) {
	entry, ok, err := r.store.Get(ctx, ledger.GroupKey(shard, sequence))
	if err != nil || !ok {
		return nil, err
	}
	return ledger.Decode(entry.Value)
}

func (r *Recorder) runAgain(o *openShard, entry ledger.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	claim, failure := r.record(ctx, o.number, entry.ClaimSequence, entry.Key)
	if failure == nil {
		r.hooks.RunAgain(o.number, entry, claim)
	}
}

// record returns the last record of a key in a group.
func (r *Recorder) record(ctx context.Context, shard int, sequence int64, key string) (*wire.Record, *result.Error) {
	group, err := r.readGroup(ctx, shard, sequence)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	records := group.GetRecords()
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].GetKey() == key {
			return records[i], nil
		}
	}
	return nil, result.New(result.Gone, "record of %q is gone", key)
}

// Stop ends the recorder at once, as a crash would: nothing is handed over.
func (r *Recorder) Stop() {
	for _, sub := range r.subs {
		sub.Cancel()
	}
}
