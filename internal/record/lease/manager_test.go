package lease_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

const tick = 250 * time.Millisecond

var ctx = context.Background()

// node is one host's manager and the shard holders that the host has read.
type node struct {
	name    string
	manager *lease.Manager
	holders map[int]lease.Holder
	dead    bool
	// pausedUntil is the end of a pause.
	pausedUntil time.Time
	// acquiresBlocked makes all acquires of this host fail.
	acquiresBlocked bool
	lostShards      int
	pending         []lease.Action
	// delay is how long each store call of the host takes.
	delay   time.Duration
	readyAt time.Time
}

// fleet runs managers against the in-memory store, without goroutines.
type fleet struct {
	clock  *timer.Manual
	kv     *platform.KV
	shards int
	nodes  []*node
	// maxAcquiresPerTick is the highest number of acquires of one host in one
	// tick.
	maxAcquiresPerTick int
	acquires           int
	// doubleHeld is set when two hosts hold a shard by their own clocks.
	doubleHeld bool
}

func newFleet(hosts, shards int) *fleet {
	clock := timer.NewManual(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
	f := &fleet{clock: clock, kv: platform.NewKV(clock), shards: shards}
	for i := range hosts {
		f.add(fmt.Sprintf("host-%d", i))
	}
	return f
}

func (f *fleet) add(name string) *node {
	n := &node{name: name, manager: lease.NewManager(name, f.shards, lease.DefaultTiming), holders: make(map[int]lease.Holder)}
	entries, _, _ := f.kv.Range(ctx, "shard/", store.PrefixEnd("shard/"), 0)
	for _, entry := range entries {
		var shard int
		_, _ = fmt.Sscanf(entry.Key, "shard/%d", &shard)
		n.holders[shard] = lease.Holder{Host: string(entry.Value), Token: entry.CreateRevision}
	}
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) live() []string {
	var names []string
	for _, n := range f.nodes {
		if !n.dead {
			names = append(names, n.name)
		}
	}
	return names
}

func (f *fleet) run(d time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); {
		f.clock.Advance(tick)
		f.step()
	}
}

func (f *fleet) step() {
	now, live := f.clock.Now(), f.live()
	for _, n := range f.nodes {
		if n.dead || now.Before(n.pausedUntil) {
			continue
		}
		actions := n.manager.Tick(now, live, n.holders)
		if len(n.pending) == 0 {
			n.readyAt = now.Add(n.delay)
		}
		n.pending = append(n.pending, actions...)
		if now.Before(n.readyAt) {
			continue
		}
		due := n.pending
		n.pending = nil
		acquires := 0
		for _, a := range due {
			if a.Kind == lease.Acquire {
				acquires++
			}
			f.execute(n, a)
		}
		f.acquires += acquires
		f.maxAcquiresPerTick = max(f.maxAcquiresPerTick, acquires)
	}
	f.checkHolders()
}

// checkHolders sets doubleHeld if two hosts would act on a shard. Paused hosts
// count: when a paused host resumes, it acts if its own clock allows it.
func (f *fleet) checkHolders() {
	for shard := range f.shards {
		holders := 0
		for _, n := range f.nodes {
			if _, ok := n.manager.Holds(f.clock.Now(), shard); ok && !n.dead {
				holders++
			}
		}
		f.doubleHeld = f.doubleHeld || holders > 1
	}
}

func (f *fleet) execute(n *node, a lease.Action) {
	sent := f.clock.Now().Add(-n.delay)
	switch a.Kind {
	case lease.Grant:
		id, err := f.kv.Grant(ctx, lease.DefaultTiming.TTL)
		n.manager.Granted(sent, id, err)
	case lease.Renew:
		_, err := f.kv.KeepAlive(ctx, a.Session)
		n.lostShards += len(n.manager.Renewed(sent, a.Session, errors.Is(err, store.ErrLeaseNotFound), err))
	case lease.Check:
		f.read(n, a.Shard)
	case lease.Acquire:
		f.acquire(n, a)
	case lease.Lost:
		n.lostShards++
	case lease.Release:
		_, _ = f.kv.Commit(ctx, store.Txn{
			Compares: []store.Compare{{Key: rendezvous.ShardName(a.Shard), Revision: a.Token}},
			Deletes:  []string{rendezvous.ShardName(a.Shard)},
		})
		delete(n.holders, a.Shard)
		n.manager.Released(a.Shard)
	}
}

func (f *fleet) acquire(n *node, a lease.Action) {
	var token int64
	if !n.acquiresBlocked {
		_, _ = f.kv.Commit(ctx, store.Txn{
			Compares: []store.Compare{{Key: rendezvous.ShardName(a.Shard)}},
			Puts:     []store.Put{{Key: rendezvous.ShardName(a.Shard), Value: []byte(n.name), Lease: a.Session}},
		})
		if entry, ok := f.read(n, a.Shard); ok && entry.Lease == a.Session {
			token = entry.CreateRevision
		}
	}
	n.manager.Acquired(f.clock.Now(), a.Session, a.Shard, token)
}

func (f *fleet) read(n *node, shard int) (store.Entry, bool) {
	entry, ok, err := f.kv.Get(ctx, rendezvous.ShardName(shard))
	if err != nil {
		return entry, false
	}
	delete(n.holders, shard)
	if ok {
		n.holders[shard] = lease.Holder{Host: string(entry.Value), Token: entry.CreateRevision}
	}
	return entry, ok
}

// held returns the number of shards that running hosts may act on, in total and
// the highest of a single host.
func (f *fleet) held() (sum, most int) {
	for _, n := range f.nodes {
		count := 0
		for _, shard := range n.manager.Held() {
			if _, ok := n.manager.Holds(f.clock.Now(), shard); ok && !n.dead && !f.clock.Now().Before(n.pausedUntil) {
				count++
			}
		}
		sum += count
		most = max(most, count)
	}
	return sum, most
}

// timeUntilAllHeld returns how long it takes until every shard is held.
func (f *fleet) timeUntilAllHeld() time.Duration {
	begin := f.clock.Now()
	for range 1000 {
		if sum, _ := f.held(); sum == f.shards {
			break
		}
		f.run(tick)
	}
	return f.clock.Now().Sub(begin)
}

var _ = Describe("a fleet of lease managers", func() {
	It("spreads shards evenly and does not move them without cause", func() {
		f := newFleet(7, 64)
		f.run(20 * time.Second)
		sum, most := f.held()
		Expect(sum).To(Equal(64))
		Expect(most).To(BeNumerically("<=", 20))
		Expect(f.maxAcquiresPerTick).To(BeNumerically("<=", 4))
		before := f.acquires
		f.run(5 * time.Minute)
		Expect(f.acquires).To(Equal(before))
		Expect(f.doubleHeld).To(BeFalse())
	})

	It("takes over a lost host's shards within the lease time and 2 s", func() {
		for victim := range 7 {
			f := newFleet(7, 64)
			f.run(20*time.Second + time.Duration(victim)*700*time.Millisecond)
			f.nodes[victim].dead = true
			Expect(f.timeUntilAllHeld()).To(BeNumerically("<=", lease.DefaultTiming.TTL+2*time.Second))
			Expect(f.doubleHeld).To(BeFalse())
		}
	})

	It("moves shards to a new host and back without two holders", func() {
		f := newFleet(6, 64)
		f.run(20 * time.Second)
		n := f.add("host-new")
		f.run(20 * time.Second)
		Expect(len(n.manager.Held())).To(BeNumerically(">", 3))
		n.manager.Leave()
		f.run(5 * time.Second)
		Expect(n.manager.Held()).To(BeEmpty())
		n.dead = true
		Expect(f.timeUntilAllHeld()).To(BeNumerically("<=", 5*time.Second))
		Expect(f.doubleHeld).To(BeFalse())
	})

	It("detects by the host's own clock that it was paused past its lease", func() {
		f := newFleet(3, 12)
		f.run(20 * time.Second)
		n := f.nodes[0]
		shards := n.manager.Held()
		n.pausedUntil = f.clock.Now().Add(11 * time.Second)
		f.clock.Advance(9 * time.Second)
		for _, shard := range shards {
			_, ok := n.manager.Holds(f.clock.Now(), shard)
			Expect(ok).To(BeFalse())
		}
		f.run(4 * time.Second)
		Expect(n.lostShards).To(Equal(len(shards)))
		f.run(20 * time.Second)
		sum, _ := f.held()
		Expect(sum).To(Equal(12))
		Expect(f.doubleHeld).To(BeFalse())
	})

	It("moves no shards while the store is slow", func() {
		f := newFleet(7, 64)
		f.run(20 * time.Second)
		before := f.acquires
		for _, n := range f.nodes {
			n.delay = 2 * time.Second
		}
		f.run(2 * time.Minute)
		sum, _ := f.held()
		Expect(sum).To(Equal(64))
		Expect(f.acquires).To(Equal(before))
	})

	It("survives an outage longer than the lease without two holders", func() {
		f := newFleet(7, 64)
		f.run(20 * time.Second)
		f.kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		f.run(30 * time.Second)
		sum, _ := f.held()
		Expect(sum).To(BeZero())
		f.kv.SetFaults(nil)
		Expect(f.timeUntilAllHeld()).To(BeNumerically("<=", 15*time.Second))
		Expect(f.doubleHeld).To(BeFalse())
	})

	It("recovers from lost replies to grants, renewals and acquires", func() {
		f := newFleet(3, 12)
		calls := 0
		f.kv.SetFaults(func(op string) platform.Fault {
			calls++
			if op != "get" && calls%3 == 0 {
				return platform.LoseReply
			}
			return platform.NoFault
		})
		f.run(2 * time.Minute)
		sum, _ := f.held()
		Expect(sum).To(Equal(12))
		Expect(f.doubleHeld).To(BeFalse())
	})

	It("lets the backup host acquire a shard that the preferred host cannot", func() {
		f := newFleet(3, 12)
		f.nodes[0].acquiresBlocked = true
		f.run(10 * time.Second)
		sum, _ := f.held()
		Expect(sum).To(Equal(12))
		holders := make(map[int]string)
		for _, n := range f.nodes {
			for _, shard := range n.manager.Held() {
				holders[shard] = n.name
			}
		}
		f.run(30 * time.Second)
		for _, n := range f.nodes {
			for _, shard := range n.manager.Held() {
				Expect(holders[shard]).To(Equal(n.name))
			}
		}
		Expect(f.doubleHeld).To(BeFalse())
	})

	It("makes few store calls while nothing changes", func() {
		f := newFleet(7, 64)
		f.run(30 * time.Second)
		before := f.kv.Calls()
		f.run(100 * time.Second)
		after := f.kv.Calls()
		perHost := func(op string) float64 { return float64(after[op]-before[op]) / 7 / 100 }
		Expect(perHost("keepalive")).To(BeNumerically("<=", 0.34))
		Expect(perHost("txn")).To(BeZero())
		Expect(perHost("get")).To(BeNumerically("<=", 0.6))
	})
})

var _ = Describe("FormerHolderStopTime", func() {
	It("covers the former holder's session and its commands in transit", func() {
		now := time.Unix(0, 0)
		timing := lease.DefaultTiming
		m := lease.NewManager("former", 1, timing)
		m.Tick(now, []string{"former"}, nil)
		m.Granted(now, 7, nil)
		m.Tick(now, []string{"former"}, nil)
		m.Acquired(now, 7, 0, 1)
		stopTime := lease.FormerHolderStopTime(now, timing, time.Second)
		_, held := m.Holds(stopTime.Add(-time.Second-2*timing.Margin), 0)
		Expect(held).To(BeFalse())
		Expect(stopTime).To(Equal(now.Add(timing.TTL + timing.Margin + time.Second)))
	})
})

var _ = Describe("a session", func() {
	It("is renewed only by hosts that hold a shard", func() {
		f := newFleet(60, 4)
		f.timeUntilAllHeld()
		f.run(time.Minute)
		before := f.kv.Calls()["keepalive"]
		f.run(time.Minute)
		renewals := f.kv.Calls()["keepalive"] - before
		Expect(renewals).To(BeNumerically("<=", 4*20+4), "at most 4 holders renew every 3 s")
		Expect(renewals).To(BeNumerically(">", 0))
	})
})

func BenchmarkManagerTick(b *testing.B) {
	const hosts, shards = 1900, 4096
	live := make([]string, hosts)
	holders := make(map[int]lease.Holder)
	for i := range live {
		live[i] = fmt.Sprintf("host-%d", i)
	}
	for i := range shards {
		holders[i] = lease.Holder{Host: live[i%hosts], Token: 1}
	}
	now := time.Unix(0, 0)
	m := lease.NewManager(live[0], shards, lease.DefaultTiming)
	m.Tick(now, live, holders)
	m.Granted(now, 1, nil)
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			m.Tick(now, live, holders)
		}
	})
	b.Run("hosts changed", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			m.Tick(now, live[:hosts-1-i%2], holders)
		}
	})
}
