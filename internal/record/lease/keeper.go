// Package lease decides which shards a host holds. A Keeper is a pure state
// machine over one platform lease per host, its session: every shard key that
// the host owns is attached to it, and the key's create revision is the
// shard's fencing token.
//
// The session counts as valid only until the time at which the last successful
// renewal was sent, plus the time to live, less a margin for clock drift. A
// host that was paused past that point finds out by its own clock before it
// acts; the store refuses it in any case, since each write compares the token.
package lease

import (
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// Terms are the times of a session.
type Terms struct {
	// TTL is the platform lease's time to live.
	TTL time.Duration
	// Margin is taken off TTL for clock drift and delays.
	Margin time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Settle is how long an assignment must stand before a shard is given up.
	Settle time.Duration
}

// DefaultTerms are the terms of a production host.
var DefaultTerms = Terms{
	TTL:    10 * time.Second,
	Margin: 2 * time.Second,
	Renew:  3 * time.Second,
	Settle: 3 * time.Second,
}

// ActionKind tells what the shell has to do.
type ActionKind uint8

// The actions of a keeper.
const (
	// Grant creates a session and reports to Granted.
	Grant ActionKind = iota
	// Renew renews the session and reports to Renewed.
	Renew
	// Acquire takes a free shard and reports to Acquired.
	Acquire
	// Lost says that a shard must not be acted on any longer.
	Lost
	// Release asks to flush the shard, then give it up, then call Released.
	Release
)

// Action is one thing for the shell to do.
type Action struct {
	Kind    ActionKind
	Session store.LeaseID
	Shard   int
	Token   int64
}

// Owner is the holder of a shard as the store lists it.
type Owner struct {
	Host  string
	Token int64
}

type holding struct {
	token int64
	// unwanted is since when another host should hold the shard; zero if none.
	unwanted  time.Time
	releasing bool
}

// Keeper holds one host's session and shards.
type Keeper struct {
	host   string
	shards int
	terms  Terms

	// session is zero while there is none; validUntil bounds every holding.
	session    store.LeaseID
	validUntil time.Time
	busy       bool
	nextRenew  time.Time
	held       map[int]*holding
	acquiring  map[int]bool
	leaving    bool
}

// NewKeeper returns the keeper of a host in a deployment with that many shards.
func NewKeeper(host string, shards int, terms Terms) *Keeper {
	return &Keeper{
		host: host, shards: shards, terms: terms,
		held: make(map[int]*holding), acquiring: make(map[int]bool),
	}
}

// Holds returns the fencing token of a shard and whether the host may act on
// it at that time.
func (k *Keeper) Holds(now time.Time, shard int) (int64, bool) {
	h, ok := k.held[shard]
	if !ok || !now.Before(k.validUntil) {
		return 0, false
	}
	return h.token, true
}

// Held returns the shards that the host holds, in order.
func (k *Keeper) Held() []int {
	list := make([]int, 0, len(k.held))
	for shard := range k.held {
		list = append(list, shard)
	}
	sort.Ints(list)
	return list
}

// Leave makes the host give up its shards and take no new ones.
func (k *Keeper) Leave() { k.leaving = true }

// Tick renews the session and moves shards towards their wanted holders. live
// lists the hosts believed alive, owners the shard keys as last read.
func (k *Keeper) Tick(now time.Time, live []string, owners map[int]Owner) []Action {
	var actions []Action
	if k.session != 0 && !now.Before(k.validUntil) {
		actions = k.drop()
	}
	if !k.busy && k.session == 0 && !k.leaving {
		k.busy = true
		return append(actions, Action{Kind: Grant})
	}
	if !k.busy && k.session != 0 && !now.Before(k.nextRenew) {
		k.busy = true
		actions = append(actions, Action{Kind: Renew, Session: k.session})
	}
	if k.session == 0 || !now.Before(k.validUntil) {
		return actions
	}
	return append(actions, k.balance(now, live, owners)...)
}

func (k *Keeper) balance(now time.Time, live []string, owners map[int]Owner) []Action {
	var actions []Action
	for shard := 0; shard < k.shards; shard++ {
		wanted := !k.leaving && zone.First(live, zone.ShardName(shard)) == k.host
		if h, ok := k.held[shard]; ok {
			actions = append(actions, k.reconsider(now, shard, h, wanted)...)
			continue
		}
		if _, taken := owners[shard]; wanted && !taken && !k.acquiring[shard] {
			k.acquiring[shard] = true
			actions = append(actions, Action{Kind: Acquire, Session: k.session, Shard: shard})
		}
	}
	return actions
}

func (k *Keeper) reconsider(now time.Time, shard int, h *holding, wanted bool) []Action {
	if wanted {
		h.unwanted = time.Time{}
		return nil
	}
	if h.unwanted.IsZero() {
		h.unwanted = now
	}
	if h.releasing || (!k.leaving && now.Sub(h.unwanted) < k.terms.Settle) {
		return nil
	}
	h.releasing = true
	return []Action{{Kind: Release, Shard: shard, Token: h.token}}
}

// drop forgets the session and says that all its shards are lost.
func (k *Keeper) drop() []Action {
	var actions []Action
	for _, shard := range k.Held() {
		actions = append(actions, Action{Kind: Lost, Shard: shard, Token: k.held[shard].token})
	}
	k.session = 0
	k.held = make(map[int]*holding)
	k.acquiring = make(map[int]bool)
	return actions
}

// Granted takes the result of Grant; sent is when the call was sent.
func (k *Keeper) Granted(sent time.Time, id store.LeaseID, err error) {
	k.busy = false
	if err != nil {
		return
	}
	k.session = id
	k.extend(sent)
}

// Renewed takes the result of Renew. gone says that the store knows no such
// lease; any other error leaves the session to its remaining time.
func (k *Keeper) Renewed(sent time.Time, id store.LeaseID, gone bool, err error) []Action {
	k.busy = false
	if id != k.session {
		return nil
	}
	if gone {
		return k.drop()
	}
	if err != nil {
		k.nextRenew = sent.Add(k.terms.Renew / 3)
		return nil
	}
	k.extend(sent)
	return nil
}

func (k *Keeper) extend(sent time.Time) {
	k.validUntil = sent.Add(k.terms.TTL - k.terms.Margin)
	k.nextRenew = sent.Add(k.terms.Renew)
}

// Acquired takes the result of Acquire; token 0 says that the shard was taken.
func (k *Keeper) Acquired(session store.LeaseID, shard int, token int64) {
	delete(k.acquiring, shard)
	if session != k.session || token == 0 {
		return
	}
	k.held[shard] = &holding{token: token}
}

// Released takes the end of Release: the shard is no longer held here.
func (k *Keeper) Released(shard int) { delete(k.held, shard) }
