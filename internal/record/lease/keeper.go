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
	"slices"
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
	// Check is the time between two looks at a wanted shard of another holder.
	Check time.Duration
	// Second is how long a shard must be free until the host after the wanted
	// one takes it, and SecondCheck how often that host looks.
	Second      time.Duration
	SecondCheck time.Duration
	// SecondSettle is Settle for a shard that was taken as the second.
	SecondSettle time.Duration
	// Retry is the wait after a failed Grant or Acquire.
	Retry time.Duration
}

// DefaultTerms are the terms of a production host.
var DefaultTerms = Terms{
	TTL:    10 * time.Second,
	Margin: 2 * time.Second,
	Renew:  3 * time.Second,
	Settle: 3 * time.Second,

	Check:        time.Second,
	Second:       4 * time.Second,
	SecondCheck:  20 * time.Second,
	SecondSettle: time.Minute,
	Retry:        time.Second,
}

// maxAcquiring bounds the shards that a host takes at the same time.
const maxAcquiring = 4

// ActionKind tells what the shell has to do.
type ActionKind uint8

// The actions of a keeper.
const (
	// Grant creates a session and reports to Granted.
	Grant ActionKind = iota
	// Renew renews the session and reports to Renewed.
	Renew
	// Check reads the holder of a shard, for the owners of the next Tick.
	Check
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
	settle    time.Duration
	releasing bool
}

// candidate is a shard that the host may take.
type candidate struct {
	// free is since when the shard has no holder; zero if it has one.
	free time.Time
	// check and try are the earliest times of the next look and Acquire.
	check, try time.Time
	second     bool
	acquiring  bool
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
	nextGrant  time.Time
	held       map[int]*holding
	candidates map[int]*candidate
	acquiring  int
	// wanted says that a shard could be taken if there were a session.
	wanted  bool
	leaving bool
	// ranks holds the host's place among the hosts of live for each shard, at
	// most lastRank.
	live  []string
	ranks []uint8
}

// NewKeeper returns the keeper of a host in a deployment with that many shards.
func NewKeeper(host string, shards int, terms Terms) *Keeper {
	return &Keeper{
		host: host, shards: shards, terms: terms,
		held: make(map[int]*holding), candidates: make(map[int]*candidate),
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
	actions = append(actions, k.balance(now, live, owners)...)
	return append(actions, k.attend(now)...)
}

// attend keeps the session as long as it has a use: a host that holds no shard
// and has none to take lets it lapse, so that the number of renewals follows
// the number of shards and not that of hosts.
func (k *Keeper) attend(now time.Time) []Action {
	used := len(k.held) > 0 || k.acquiring > 0 || k.wanted
	switch {
	case k.busy || !used:
		return nil
	case k.session == 0 && !k.leaving && !now.Before(k.nextGrant):
		k.busy = true
		k.nextGrant = now.Add(k.terms.Retry)
		return []Action{{Kind: Grant}}
	case k.session != 0 && !now.Before(k.nextRenew):
		k.busy = true
		return []Action{{Kind: Renew, Session: k.session}}
	}
	return nil
}

func (k *Keeper) balance(now time.Time, live []string, owners map[int]Owner) []Action {
	var actions []Action
	k.rank(live)
	k.wanted = false
	for shard := 0; shard < k.shards; shard++ {
		rank := int(k.ranks[shard])
		if h, ok := k.held[shard]; ok {
			actions = append(actions, k.reconsider(now, shard, h, rank == 0 && !k.leaving)...)
			continue
		}
		if k.leaving || rank > 1 {
			k.withdraw(shard)
			continue
		}
		_, taken := owners[shard]
		actions = append(actions, k.pursue(now, shard, rank == 1, taken)...)
	}
	return actions
}

// lastRank stands for every place after the second.
const lastRank = 2

// rank works out the host's places when the live hosts have changed.
func (k *Keeper) rank(live []string) {
	if k.ranks != nil && slices.Equal(k.live, live) {
		return
	}
	k.live = slices.Clone(live)
	k.ranks = make([]uint8, k.shards)
	hashes := make([]uint64, 0, len(live))
	own, listed := zone.Hash(k.host), false
	for _, host := range live {
		if host == k.host {
			listed = true
			continue
		}
		hashes = append(hashes, zone.Hash(host))
	}
	for shard := range k.ranks {
		if !listed {
			k.ranks[shard] = lastRank
			continue
		}
		k.ranks[shard] = place(own, hashes, zone.Mix(zone.Hash(zone.ShardName(shard))))
	}
}

// place returns how many hashes score higher than own for a name, at most
// lastRank.
func place(own uint64, hashes []uint64, name uint64) uint8 {
	score := zone.Mix(own ^ name)
	var higher uint8
	for _, hash := range hashes {
		if zone.Mix(hash^name) <= score {
			continue
		}
		if higher++; higher == lastRank {
			break
		}
	}
	return higher
}

// withdraw forgets a shard that another host shall take, unless its Acquire
// is under way.
func (k *Keeper) withdraw(shard int) {
	if c, ok := k.candidates[shard]; ok && !c.acquiring {
		delete(k.candidates, shard)
	}
}

// pursue looks at a shard that the host may take, and takes it when it is free:
// at once as the first host for it, after a while as the second.
func (k *Keeper) pursue(now time.Time, shard int, second, taken bool) []Action {
	c, ok := k.candidates[shard]
	if !ok {
		c = &candidate{check: now.Add(k.checkEvery(second))}
		k.candidates[shard] = c
	}
	if c.acquiring {
		return nil
	}
	if c.second && !second {
		c.check = now
	}
	c.second = second
	var actions []Action
	if taken {
		c.free = time.Time{}
		if !now.Before(c.check) {
			c.check = now.Add(k.checkEvery(second))
			actions = append(actions, Action{Kind: Check, Shard: shard})
		}
		return actions
	}
	if c.free.IsZero() {
		c.free = now
	}
	if second && now.Sub(c.free) < k.terms.Second || now.Before(c.try) || k.acquiring >= maxAcquiring {
		return nil
	}
	if k.session == 0 {
		k.wanted = true
		return nil
	}
	c.acquiring = true
	c.try = now.Add(k.terms.Retry)
	k.acquiring++
	return []Action{{Kind: Acquire, Session: k.session, Shard: shard}}
}

func (k *Keeper) checkEvery(second bool) time.Duration {
	if second {
		return k.terms.SecondCheck
	}
	return k.terms.Check
}

func (k *Keeper) reconsider(now time.Time, shard int, h *holding, wanted bool) []Action {
	if wanted {
		h.unwanted = time.Time{}
		h.settle = k.terms.Settle
		return nil
	}
	if h.unwanted.IsZero() {
		h.unwanted = now
	}
	if h.releasing || (!k.leaving && now.Sub(h.unwanted) < h.settle) {
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
	k.candidates = make(map[int]*candidate)
	k.acquiring = 0
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

// Acquired takes the result of Acquire; token 0 says that it was not taken.
func (k *Keeper) Acquired(now time.Time, session store.LeaseID, shard int, token int64) {
	c, ok := k.candidates[shard]
	if session != k.session || !ok {
		return
	}
	c.acquiring = false
	k.acquiring--
	if token == 0 {
		c.try = now.Add(k.terms.Retry)
		return
	}
	settle := k.terms.Settle
	if c.second {
		settle = k.terms.SecondSettle
	}
	delete(k.candidates, shard)
	k.held[shard] = &holding{token: token, settle: settle}
}

// Released takes the end of Release: the shard is no longer held here.
func (k *Keeper) Released(shard int) { delete(k.held, shard) }

// WaitOut returns when a new holder may order something that does not check
// fencing tokens: not before the former holder, whose last renewal may have
// been sent as late as noticed, has stopped by its own clock, its orders in
// transit included. A former holder that is paused between looking at its
// clock and sending is covered only as far as transit allows for that.
func WaitOut(noticed time.Time, terms Terms, transit time.Duration) time.Time {
	return noticed.Add(terms.TTL + terms.Margin + transit)
}
