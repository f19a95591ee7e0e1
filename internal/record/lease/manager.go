// Package lease decides which shards a host holds. A Manager is a state machine
// without I/O or a clock of its own. It manages one platform lease, the host's
// session. The key of each shard that the host holds is attached to the session,
// and the key's create revision is the shard's fencing token.
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

// Timing holds the durations of a session and of moving shards between hosts.
type Timing struct {
	// TTL is the platform lease's time to live.
	TTL time.Duration
	// Margin is subtracted from TTL for clock drift and delays.
	Margin time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// ReleaseDelay is how long another host must be preferred for a shard before
	// this host releases it.
	ReleaseDelay time.Duration
	// CheckInterval is the time between two reads of the holder of a shard for
	// which this host is preferred but which another host holds.
	CheckInterval time.Duration
	// BackupDelay is how long a shard must be free before the backup host
	// acquires it, and BackupCheckInterval the time between two reads of its
	// holder by that host.
	BackupDelay         time.Duration
	BackupCheckInterval time.Duration
	// BackupReleaseDelay is used instead of ReleaseDelay for a shard that the
	// host acquired as the backup.
	BackupReleaseDelay time.Duration
	// RetryInterval is the minimum time between two attempts of a Grant or an
	// Acquire.
	RetryInterval time.Duration
}

// DefaultTiming holds the durations of a production host.
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

// The actions that a Manager requests from its caller.
const (
	// Grant asks to create a session and pass the result to Granted.
	Grant ActionKind = iota
	// Renew asks to renew the session and pass the result to Renewed.
	Renew
	// Check asks to read the holder of a shard into the holders passed to
	// Tick.
	Check
	// Acquire asks to acquire a free shard and pass the result to Acquired.
	Acquire
	// Lost reports that the host no longer holds a shard and must not act on it.
	Lost
	// Release asks to flush the shard, delete its key and call Released.
	Release
)

// Action is a request to the caller of a Manager.
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
	// notPreferredSince is when this host stopped being preferred for the shard
	// or started to leave; zero if it should hold the shard.
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

// Manager is the state machine of one host's session and shards. It is not safe
// for concurrent use.
type Manager struct {
	host   string
	shards int
	timing Timing

	// session is zero while there is none. From validUntil on, the host may not
	// act on any shard.
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

// NewManager returns the manager of a host in a deployment with the given number
// of shards.
func NewManager(host string, shards int, timing Timing) *Manager {
	return &Manager{
		host: host, shards: shards, timing: timing,
		held: make(map[int]*holding), candidates: make(map[int]*candidate),
	}
}

// Holds returns the fencing token of a shard and whether the host may act on
// the shard at now.
func (m *Manager) Holds(now time.Time, shard int) (int64, bool) {
	h, ok := m.held[shard]
	if !ok || !now.Before(m.validUntil) {
		return 0, false
	}
	return h.token, true
}

// Held returns the shards that the host holds, in order.
func (m *Manager) Held() []int {
	shards := make([]int, 0, len(m.held))
	for shard := range m.held {
		shards = append(shards, shard)
	}
	sort.Ints(shards)
	return shards
}

// Leave makes the host release its shards and acquire no new ones.
func (m *Manager) Leave() { m.leaving = true }

// Tick renews the session and moves shards towards their preferred hosts. live
// lists the hosts assumed alive, holders the holders of shards as last read.
func (m *Manager) Tick(now time.Time, live []string, holders map[int]Holder) []Action {
	var actions []Action
	if m.session != 0 && !now.Before(m.validUntil) {
		actions = m.endSession()
	}
	actions = append(actions, m.rebalance(now, live, holders)...)
	return append(actions, m.maintainSession(now)...)
}

// maintainSession creates or renews the session while the host holds a shard or
// can acquire one. Otherwise it lets the session expire, so that the number of
// renewals grows with the number of shards and not of hosts.
func (m *Manager) maintainSession(now time.Time) []Action {
	needed := len(m.held) > 0 || m.acquiring > 0 || m.sessionNeeded
	switch {
	case m.leaseCallPending || !needed:
		return nil
	case m.session == 0 && !m.leaving && !now.Before(m.nextGrant):
		m.leaseCallPending = true
		m.nextGrant = now.Add(m.timing.RetryInterval)
		return []Action{{Kind: Grant}}
	case m.session != 0 && !now.Before(m.nextRenew):
		m.leaseCallPending = true
		return []Action{{Kind: Renew, Session: m.session}}
	}
	return nil
}

// rebalance returns the actions that move shards towards their preferred hosts.
func (m *Manager) rebalance(now time.Time, live []string, holders map[int]Holder) []Action {
	var actions []Action
	m.rank(live)
	m.sessionNeeded = false
	for shard := 0; shard < m.shards; shard++ {
		rank := int(m.ranks[shard])
		if h, ok := m.held[shard]; ok {
			actions = append(actions, m.updateHeld(now, shard, h, rank == 0 && !m.leaving)...)
			continue
		}
		if m.leaving || rank > 1 {
			m.dropCandidate(shard)
			continue
		}
		_, hasHolder := holders[shard]
		actions = append(actions, m.updateCandidate(now, shard, rank == 1, hasHolder)...)
	}
	return actions
}

// maxRank stands for all ranks from 2 on. The preferred host of a shard has rank
// 0, the backup host rank 1.
const maxRank = 2

// rank recomputes the host's rank for each shard when the live hosts have
// changed.
func (m *Manager) rank(live []string) {
	if m.ranks != nil && slices.Equal(m.live, live) {
		return
	}
	m.live = slices.Clone(live)
	m.ranks = make([]uint8, m.shards)
	hashes := make([]uint64, 0, len(live))
	ownHash, listed := rendezvous.Hash(m.host), false
	for _, host := range live {
		if host == m.host {
			listed = true
			continue
		}
		hashes = append(hashes, rendezvous.Hash(host))
	}
	for shard := range m.ranks {
		if !listed {
			m.ranks[shard] = maxRank
			continue
		}
		m.ranks[shard] = rankOf(ownHash, hashes, rendezvous.Mix(rendezvous.Hash(rendezvous.ShardName(shard))))
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
func (m *Manager) dropCandidate(shard int) {
	if c, ok := m.candidates[shard]; ok && !c.acquiring {
		delete(m.candidates, shard)
	}
}

// updateCandidate requests to check or acquire a shard that the host does not
// hold. The preferred host acquires a free shard at once, the backup host after
// the shard has been free for timing.BackupDelay.
func (m *Manager) updateCandidate(now time.Time, shard int, backup, hasHolder bool) []Action {
	c, ok := m.candidates[shard]
	if !ok {
		c = &candidate{nextCheck: now.Add(m.checkInterval(backup))}
		m.candidates[shard] = c
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
			c.nextCheck = now.Add(m.checkInterval(backup))
			actions = append(actions, Action{Kind: Check, Shard: shard})
		}
		return actions
	}
	if c.freeSince.IsZero() {
		c.freeSince = now
	}
	if backup && now.Sub(c.freeSince) < m.timing.BackupDelay || now.Before(c.nextAcquire) || m.acquiring >= maxConcurrentAcquires {
		return nil
	}
	if m.session == 0 {
		m.sessionNeeded = true
		return nil
	}
	c.acquiring = true
	c.nextAcquire = now.Add(m.timing.RetryInterval)
	m.acquiring++
	return []Action{{Kind: Acquire, Session: m.session, Shard: shard}}
}

func (m *Manager) checkInterval(backup bool) time.Duration {
	if backup {
		return m.timing.BackupCheckInterval
	}
	return m.timing.CheckInterval
}

// updateHeld requests to release a held shard once another host has been
// preferred for it for h.releaseDelay, or at once if this host is leaving.
func (m *Manager) updateHeld(now time.Time, shard int, h *holding, preferred bool) []Action {
	if preferred {
		h.notPreferredSince = time.Time{}
		h.releaseDelay = m.timing.ReleaseDelay
		return nil
	}
	if h.notPreferredSince.IsZero() {
		h.notPreferredSince = now
	}
	if h.releasing || (!m.leaving && now.Sub(h.notPreferredSince) < h.releaseDelay) {
		return nil
	}
	h.releasing = true
	return []Action{{Kind: Release, Shard: shard, Token: h.token}}
}

// endSession discards the session and returns a Lost action for each held shard.
func (m *Manager) endSession() []Action {
	var actions []Action
	for _, shard := range m.Held() {
		actions = append(actions, Action{Kind: Lost, Shard: shard, Token: m.held[shard].token})
	}
	m.session = 0
	m.held = make(map[int]*holding)
	m.candidates = make(map[int]*candidate)
	m.acquiring = 0
	return actions
}

// Granted handles the result of Grant; sent is when the call was sent.
func (m *Manager) Granted(sent time.Time, id store.LeaseID, err error) {
	m.leaseCallPending = false
	if err != nil {
		return
	}
	m.session = id
	m.extendSession(sent)
}

// Renewed handles the result of Renew. gone reports that the lease no longer
// exists in the store; after any other error the session stays valid until it
// expires.
func (m *Manager) Renewed(sent time.Time, id store.LeaseID, gone bool, err error) []Action {
	m.leaseCallPending = false
	if id != m.session {
		return nil
	}
	if gone {
		return m.endSession()
	}
	if err != nil {
		m.nextRenew = sent.Add(m.timing.RenewInterval / 3)
		return nil
	}
	m.extendSession(sent)
	return nil
}

// extendSession starts a new validity period of the session from the time at
// which the store call was sent.
func (m *Manager) extendSession(sent time.Time) {
	m.validUntil = sent.Add(m.timing.TTL - m.timing.Margin)
	m.nextRenew = sent.Add(m.timing.RenewInterval)
}

// Acquired handles the result of Acquire; token 0 means that the host did not
// get the shard.
func (m *Manager) Acquired(now time.Time, session store.LeaseID, shard int, token int64) {
	c, ok := m.candidates[shard]
	if session != m.session || !ok {
		return
	}
	c.acquiring = false
	m.acquiring--
	if token == 0 {
		c.nextAcquire = now.Add(m.timing.RetryInterval)
		return
	}
	releaseDelay := m.timing.ReleaseDelay
	if c.backup {
		releaseDelay = m.timing.BackupReleaseDelay
	}
	delete(m.candidates, shard)
	m.held[shard] = &holding{token: token, releaseDelay: releaseDelay}
}

// Released handles the end of Release: the host no longer holds the shard.
func (m *Manager) Released(shard int) { delete(m.held, shard) }

// FormerHolderStopTime returns the earliest time at which a new holder may send
// commands to a receiver that does not check fencing tokens. By then the former
// holder, whose last renewal may have been sent as late as acquiredAt, has
// stopped by its own clock, and its last commands have arrived within transit.
// transit must also cover the pause of a former holder that stalls between
// reading its clock and sending; a longer pause is not covered.
func FormerHolderStopTime(acquiredAt time.Time, timing Timing, transit time.Duration) time.Time {
	return acquiredAt.Add(timing.TTL + timing.Margin + transit)
}
