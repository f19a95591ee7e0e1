// Package lease decides which shards a host holds. A Keeper is a state machine
// without I/O or a clock of its own. It manages one platform lease per host, its
// session. Every shard key that the host owns is attached to the session, and
// the key's create revision is the shard's fencing token.
//
// Rendezvous hashing ranks the live hosts for each shard. The first host, the
// preferred one, acquires the shard as soon as it is free; the second, the
// backup, acquires it only if it stays free for a while.
//
// The session is valid until the time at which the last successful renewal was
// sent, plus the time to live, less a margin for clock drift. A host that was
// paused past that point detects this by its own clock before it acts. The store
// rejects its writes in any case, since each write compares the fencing token.
package lease

import (
	"slices"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// Timing are the durations of a session and of moving shards between hosts.
type Timing struct {
	// TTL is the platform lease's time to live.
	TTL time.Duration
	// Margin is subtracted from TTL for clock drift and delays.
	Margin time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// ReleaseDelay is how long another host must be preferred for a shard before this
	// host releases it.
	ReleaseDelay time.Duration
	// CheckInterval is the time between two reads of the holder of a shard for which
	// this host is preferred but which another host holds.
	CheckInterval time.Duration
	// BackupDelay is how long a shard must be free before the backup host acquires
	// it, and SecondCheck the time between two reads by that host.
	BackupDelay         time.Duration
	BackupCheckInterval time.Duration
	// BackupReleaseDelay is Settle for a shard that was acquired as the backup host.
	BackupReleaseDelay time.Duration
	// RetryInterval is the least time between two attempts of a Grant or an Acquire.
	RetryInterval time.Duration
}

// DefaultTiming are the durations of a production host.
var DefaultTiming = Timing{
	TTL:           10 * time.Second,
	Margin:        2 * time.Second,
	RenewInterval: 3 * time.Second,
	ReleaseDelay:  3 * time.Second,

	CheckInterval:       time.Second,
	BackupDelay:         4 * time.Second,
	BackupCheckInterval: 20 * time.Second,
	BackupReleaseDelay:  time.Minute,
	RetryInterval:       time.Second,
}

// maxConcurrentAcquires bounds the acquires that a host has in flight.
const maxConcurrentAcquires = 4

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions that a keeper requests from its caller.
const (
	// Grant asks to create a session and pass the result to Granted.
	Grant ActionKind = iota
	// Renew asks to renew the session and pass the result to Renewed.
	Renew
	// Check asks to read the holder of a shard into the owners passed to Tick.
	Check
	// Acquire asks to acquire a free shard and pass the result to Acquired.
	Acquire
	// Lost reports that the host no longer holds a shard and must not act on it.
	Lost
	// Release asks to flush the shard, delete its key and call Released.
	Release
)

// Action is a request to the caller of the keeper.
type Action struct {
	Kind    ActionKind
	Session store.LeaseID
	Shard   int
	Token   int64
}

// Holder is the holder of a shard as read from the store.
type Holder struct {
	Host  string
	Token int64
}

// holding is a shard that the host holds.
type holding struct {
	token int64
	// notPreferredSince is when this host stopped being preferred for the shard or
	// started to leave; zero if it should hold the shard.
	notPreferredSince time.Time
	releaseDelay      time.Duration
	releasing         bool
}

// candidate is a shard that the host may acquire.
type candidate struct {
	// freeSince is when the shard was first seen without a holder; zero if it
	// has one.
	freeSince time.Time
	// nextCheck and nextAcquire are the earliest times of the next Check and
	// Acquire.
	nextCheck, nextAcquire time.Time
	backup                 bool
	acquiring              bool
}

// Manager holds one host's session and shards.
type Manager struct {
	host   string
	shards int
	terms  Timing

	// session is zero while there is none. No shard is held after validUntil.
	session          store.LeaseID
	validUntil       time.Time
	leaseCallPending bool
	nextRenew        time.Time
	nextGrant        time.Time
	held             map[int]*holding
	candidates       map[int]*candidate
	acquiring        int // acquires in flight
	// sessionNeeded reports that a shard could be acquired if there were a
	// session.
	sessionNeeded bool
	leaving       bool
	// ranks holds the host's rank among the hosts in live for each shard, at
	// most maxRank.
	live  []string
	ranks []uint8
}

// NewManager returns the keeper of a host in a deployment with the given number
// of shards.
func NewManager(host string, shards int, terms Timing) *Manager {
	return &Manager{
		host: host, shards: shards, terms: terms,
		held: make(map[int]*holding), candidates: make(map[int]*candidate),
	}
}

// Holds returns the fencing token of a shard and whether the host may act on
// the shard at now.
func (k *Manager) Holds(now time.Time, shard int) (int64, bool) {
	h, ok := k.held[shard]
	if !ok || !now.Before(k.validUntil) {
		return 0, false
	}
	return h.token, true
}

// Held returns the shards that the host holds, in order.
func (k *Manager) Held() []int {
	shards := make([]int, 0, len(k.held))
	for shard := range k.held {
		shards = append(shards, shard)
	}
	sort.Ints(shards)
	return shards
}

// Leave makes the host release its shards and acquire no new ones.
func (k *Manager) Leave() { k.leaving = true }

// Tick renews the session and moves shards towards their preferred hosts. live
// lists the hosts assumed alive, owners the shard keys as last read.
func (k *Manager) Tick(now time.Time, live []string, owners map[int]Holder) []Action {
	var actions []Action
	if k.session != 0 && !now.Before(k.validUntil) {
		actions = k.endSession()
	}
	actions = append(actions, k.rebalance(now, live, owners)...)
	return append(actions, k.maintainSession(now)...)
}

// maintainSession creates or renews the session while the host holds a shard or
// can acquire one. Otherwise it lets the session expire, so that the number of
// renewals grows with the number of shards and not of hosts.
func (k *Manager) maintainSession(now time.Time) []Action {
	needed := len(k.held) > 0 || k.acquiring > 0 || k.sessionNeeded
	switch {
	case k.leaseCallPending || !needed:
		return nil
	case k.session == 0 && !k.leaving && !now.Before(k.nextGrant):
		k.leaseCallPending = true
		k.nextGrant = now.Add(k.terms.RetryInterval)
		return []Action{{Kind: Grant}}
	case k.session != 0 && !now.Before(k.nextRenew):
		k.leaseCallPending = true
		return []Action{{Kind: Renew, Session: k.session}}
	}
	return nil
}

// rebalance returns the actions that move shards towards their preferred hosts.
func (k *Manager) rebalance(now time.Time, live []string, owners map[int]Holder) []Action {
	var actions []Action
	k.rank(live)
	k.sessionNeeded = false
	for shard := 0; shard < k.shards; shard++ {
		rank := int(k.ranks[shard])
		if h, ok := k.held[shard]; ok {
			actions = append(actions, k.updateHeld(now, shard, h, rank == 0 && !k.leaving)...)
			continue
		}
		if k.leaving || rank > 1 {
			k.dropCandidate(shard)
			continue
		}
		_, hasHolder := owners[shard]
		actions = append(actions, k.updateCandidate(now, shard, rank == 1, hasHolder)...)
	}
	return actions
}

// maxRank stands for every rank after the second, counted from zero.
const maxRank = 2

// rank recomputes the host's rank for each shard when the live hosts have
// changed.
func (k *Manager) rank(live []string) {
	if k.ranks != nil && slices.Equal(k.live, live) {
		return
	}
	k.live = slices.Clone(live)
	k.ranks = make([]uint8, k.shards)
	hashes := make([]uint64, 0, len(live))
	ownHash, listed := rendezvous.Hash(k.host), false
	for _, host := range live {
		if host == k.host {
			listed = true
			continue
		}
		hashes = append(hashes, rendezvous.Hash(host))
	}
	for shard := range k.ranks {
		if !listed {
			k.ranks[shard] = maxRank
			continue
		}
		k.ranks[shard] = rankOf(ownHash, hashes, rendezvous.Mix(rendezvous.Hash(rendezvous.ShardName(shard))))
	}
}

// rankOf returns how many hashes score higher than ownHash for a shard, at most
// maxRank.
func rankOf(ownHash uint64, hashes []uint64, shardHash uint64) uint8 {
	score := rendezvous.Mix(ownHash ^ shardHash)
	var higher uint8
	for _, hash := range hashes {
		if rendezvous.Mix(hash^shardHash) <= score {
			continue
		}
		if higher++; higher == maxRank {
			break
		}
	}
	return higher
}

// dropCandidate removes a shard that this host should no longer acquire from
// the candidates, unless its Acquire is in flight.
func (k *Manager) dropCandidate(shard int) {
	if c, ok := k.candidates[shard]; ok && !c.acquiring {
		delete(k.candidates, shard)
	}
}

// updateCandidate requests to check or acquire a shard that the host does not
// hold. The preferred host acquires a free shard at once, the backup host after
// the shard has been free for terms.Second.
func (k *Manager) updateCandidate(now time.Time, shard int, backup, hasHolder bool) []Action {
	c, ok := k.candidates[shard]
	if !ok {
		c = &candidate{nextCheck: now.Add(k.checkInterval(backup))}
		k.candidates[shard] = c
	}
	if c.acquiring {
		return nil
	}
	if c.backup && !backup {
		c.nextCheck = now
	}
	c.backup = backup
	var actions []Action
	if hasHolder {
		c.freeSince = time.Time{}
		if !now.Before(c.nextCheck) {
			c.nextCheck = now.Add(k.checkInterval(backup))
			actions = append(actions, Action{Kind: Check, Shard: shard})
		}
		return actions
	}
	if c.freeSince.IsZero() {
		c.freeSince = now
	}
	if backup && now.Sub(c.freeSince) < k.terms.BackupDelay || now.Before(c.nextAcquire) || k.acquiring >= maxConcurrentAcquires {
		return nil
	}
	if k.session == 0 {
		k.sessionNeeded = true
		return nil
	}
	c.acquiring = true
	c.nextAcquire = now.Add(k.terms.RetryInterval)
	k.acquiring++
	return []Action{{Kind: Acquire, Session: k.session, Shard: shard}}
}

func (k *Manager) checkInterval(backup bool) time.Duration {
	if backup {
		return k.terms.BackupCheckInterval
	}
	return k.terms.CheckInterval
}

// updateHeld requests to release a held shard once another host has been
// preferred for it for h.releaseDelay, or at once if this host is leaving.
func (k *Manager) updateHeld(now time.Time, shard int, h *holding, preferred bool) []Action {
	if preferred {
		h.notPreferredSince = time.Time{}
		h.releaseDelay = k.terms.ReleaseDelay
		return nil
	}
	if h.notPreferredSince.IsZero() {
		h.notPreferredSince = now
	}
	if h.releasing || (!k.leaving && now.Sub(h.notPreferredSince) < h.releaseDelay) {
		return nil
	}
	h.releasing = true
	return []Action{{Kind: Release, Shard: shard, Token: h.token}}
}

// endSession discards the session and returns a Lost action for each held shard.
func (k *Manager) endSession() []Action {
	var actions []Action
	for _, shard := range k.Held() {
		actions = append(actions, Action{Kind: Lost, Shard: shard, Token: k.held[shard].token})
	}
	k.session = 0
	k.held = make(map[int]*holding)
	k.candidates = make(map[int]*candidate)
	k.acquiring = 0
	return actions
}

// Granted handles the result of Grant; sent is when the call was sent.
func (k *Manager) Granted(sent time.Time, id store.LeaseID, err error) {
	k.leaseCallPending = false
	if err != nil {
		return
	}
	k.session = id
	k.extendSession(sent)
}

// Renewed handles the result of Renew. gone reports that the lease no longer
// exists in the store; after any other error the session stays valid until it
// expires.
func (k *Manager) Renewed(sent time.Time, id store.LeaseID, gone bool, err error) []Action {
	k.leaseCallPending = false
	if id != k.session {
		return nil
	}
	if gone {
		return k.endSession()
	}
	if err != nil {
		k.nextRenew = sent.Add(k.terms.RenewInterval / 3)
		return nil
	}
	k.extendSession(sent)
	return nil
}

// extendSession starts a new validity period of the session from the time at
// which the store call was sent.
func (k *Manager) extendSession(sent time.Time) {
	k.validUntil = sent.Add(k.terms.TTL - k.terms.Margin)
	k.nextRenew = sent.Add(k.terms.RenewInterval)
}

// Acquired handles the result of Acquire; token 0 means that the host did not
// get the shard.
func (k *Manager) Acquired(now time.Time, session store.LeaseID, shard int, token int64) {
	c, ok := k.candidates[shard]
	if session != k.session || !ok {
		return
	}
	c.acquiring = false
	k.acquiring--
	if token == 0 {
		c.nextAcquire = now.Add(k.terms.RetryInterval)
		return
	}
	releaseDelay := k.terms.ReleaseDelay
	if c.backup {
		releaseDelay = k.terms.BackupReleaseDelay
	}
	delete(k.candidates, shard)
	k.held[shard] = &holding{token: token, releaseDelay: releaseDelay}
}

// Released handles the end of Release: the host no longer holds the shard.
func (k *Manager) Released(shard int) { delete(k.held, shard) }

// FormerHolderStopTime returns the earliest time at which a new holder may send commands to
// a receiver that does not check fencing tokens. By then the former holder,
// whose last renewal may have been sent as late as noticed, has stopped by its
// own clock, and its last commands have arrived within transit. transit must
// also cover the pause of a former holder that stalls between reading its clock
// and sending; a longer pause is not covered.
func FormerHolderStopTime(noticed time.Time, terms Timing, transit time.Duration) time.Time {
	return noticed.Add(terms.TTL + terms.Margin + transit)
}
