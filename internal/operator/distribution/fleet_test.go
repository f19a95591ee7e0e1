package distribution_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/membership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/distribution"
)

const (
	tick        = 250 * time.Millisecond
	callTimeout = time.Second
	insertSize  = 130
)

// fleet simulates the nodes and membership views of many hosts, with messages in
// memory and simulated time. A call that gets no answer fails after callTimeout.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	queue    events
	sequence int
	hosts    []*host
	// storeRevision is the latest revision in the platform's store.
	storeRevision int64
	// storeDown is set during an outage of the store. partitions holds the
	// pairs of zones (from, to) between which messages are lost, storePartitions
	// the zones that cannot reach the store, and loss the probability that any
	// message is lost.
	storeDown       bool
	partitions      map[[2]string]bool
	storePartitions map[string]bool
	loss            float64
	// sameZoneDelay and crossZoneDelay are minimum one-way delays of messages;
	// the actual delay is up to twice as long. parseDelay is how long a host
	// takes to put a text into force.
	sameZoneDelay, crossZoneDelay, parseDelay time.Duration
	// onAdopt is called after a host puts a revision into force.
	onAdopt func(h *host)
}

type host struct {
	name, zone string
	up         bool
	// incarnation counts the starts of the host. Messages to an earlier
	// incarnation are lost.
	incarnation int
	node        *distribution.Node
	view        *membership.View
	history     distribution.History
	// watchSilent is set while the watch delivers no events and reports no error.
	watchSilent bool
	// sentBytes counts the bytes sent in pushes, fetches and replies to them.
	sentBytes int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(zones, perZone int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), partitions: make(map[[2]string]bool), storePartitions: make(map[string]bool),
		sameZoneDelay: 300 * time.Microsecond, crossZoneDelay: 3500 * time.Microsecond, parseDelay: time.Millisecond, onAdopt: func(*host) {},
	}
	for i := range zones * perZone {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("h%03d", i), zone: fmt.Sprintf("z%d", i%zones)})
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, event{f.now.Add(d), f.sequence, run})
}

// run advances the time by d and runs the events that are due.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// start starts or restarts a host. Its view has the addresses of all hosts, as
// from the platform's host list.
func (f *fleet) start(h *host) {
	h.up, h.watchSilent = true, false
	h.incarnation++
	h.history = distribution.History{}
	h.node = distribution.NewNode(distribution.Member{Name: h.name, Zone: h.zone})
	h.view = membership.NewView(membership.Host{Name: h.name, Zone: h.zone, Address: h.name, Incarnation: int64(h.incarnation)}, f.now, f.random.Uint64())
	var list []membership.ListedHost
	for _, other := range f.hosts {
		list = append(list, membership.ListedHost{Name: other.name, Zone: other.zone, Address: other.name})
	}
	h.view.ApplyHostList(f.now, list)
	f.every(h, tick, f.tickNode)
	f.every(h, membership.HeartbeatInterval, f.heartbeat)
}

// every runs fn once per period until the host stops or restarts. The first run
// is at a random time within the first period.
func (f *fleet) every(h *host, period time.Duration, fn func(*host)) {
	incarnation := h.incarnation
	var repeat func()
	repeat = func() {
		if h.up && h.incarnation == incarnation {
			fn(h)
			f.schedule(period, repeat)
		}
	}
	f.schedule(time.Duration(f.random.Int64N(int64(period))), repeat)
}

func (f *fleet) tickNode(h *host) {
	var members []distribution.Member
	for _, name := range h.view.Live(f.now, "") {
		peer, _ := h.view.Host(name)
		members = append(members, distribution.Member{Name: name, Zone: peer.Zone})
	}
	h.node.SetMembers(members)
	f.execute(h, h.node.Tick(f.now))
}

func (f *fleet) heartbeat(h *host) {
	h.view.SetSelf(h.node.Revision(), nil)
	for _, b := range h.view.Tick(f.now) {
		other := f.hostByName(b.Address)
		f.deliver(h, other, func() {
			other.view.ApplyHeartbeat(f.now, b.Message)
			f.execute(other, other.node.RevisionReported(f.now, h.name, b.Message.GetRevision()))
			reply := other.view.Heartbeat(f.now)
			reply.Revision = other.node.Revision()
			f.deliver(other, h, func() {
				h.view.ApplyHeartbeat(f.now, reply)
				f.execute(h, h.node.RevisionReported(f.now, other.name, reply.GetRevision()))
			})
		})
	}
}

func (f *fleet) hostByName(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// deliver simulates a message: it runs fn after the delay between the two hosts,
// unless the message is lost or the receiver stops or restarts meanwhile.
func (f *fleet) deliver(from, to *host, fn func()) {
	delay := f.sameZoneDelay
	if from.zone != to.zone {
		delay = f.crossZoneDelay
	}
	if f.partitions[[2]string{from.zone, to.zone}] || f.random.Float64() < f.loss {
		return
	}
	incarnation := to.incarnation
	f.schedule(delay+time.Duration(f.random.Int64N(int64(delay))), func() {
		if to.up && to.incarnation == incarnation {
			fn()
		}
	})
}

// call simulates a call: it sends a message of the given size, runs serve at the
// receiver and passes the reply to done, or nil after callTimeout. done is called
// at most once, and not at all if the caller stops or restarts meanwhile.
func (f *fleet) call(h, to *host, size int, serve func() proto.Message, done func(proto.Message)) {
	ended, incarnation := false, h.incarnation
	finish := func(reply proto.Message) {
		if !ended && h.up && h.incarnation == incarnation {
			ended = true
			done(reply)
		}
	}
	h.sentBytes += size
	f.deliver(h, to, func() {
		reply := serve()
		to.sentBytes += proto.Size(reply)
		f.deliver(to, h, func() { finish(reply) })
	})
	f.schedule(callTimeout, func() { finish(nil) })
}

func (f *fleet) execute(h *host, actions []distribution.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case distribution.Push:
			f.push(h, f.hostByName(a.To))
		case distribution.Fetch:
			f.fetch(h, f.hostByName(a.From))
		case distribution.Read:
			f.read(h, func(ok bool) { h.node.ReadEnded(f.now, ok) })
		case distribution.Watch:
			f.watch(h)
		case distribution.Unwatch:
		}
	}
}

func (f *fleet) storeReachable(h *host) bool { return !f.storeDown && !f.storePartitions[h.zone] }

// read simulates a read of the store. It puts the store's revision into force
// and calls done(true), or calls done(false) after callTimeout if the host cannot
// reach the store.
func (f *fleet) read(h *host, done func(ok bool)) {
	incarnation := h.incarnation
	scheduleIfUp := func(d time.Duration, fn func()) {
		f.schedule(d, func() {
			if h.up && h.incarnation == incarnation {
				fn()
			}
		})
	}
	if !f.storeReachable(h) {
		scheduleIfUp(callTimeout, func() { done(false) })
		return
	}
	revision := f.storeRevision
	scheduleIfUp(5*time.Millisecond, func() {
		f.adopt(h, revision, distribution.FromStore, "")
		done(true)
	})
}

// watch starts a watch with a read; if that fails, the watch ends. Events of the
// watch are simulated by change.
func (f *fleet) watch(h *host) {
	h.watchSilent = false
	f.read(h, func(ok bool) {
		if !ok {
			h.node.WatchEnded(f.now)
		}
	})
}

// change creates a new revision in the store and lets the watching hosts read
// it. It returns false during an outage.
func (f *fleet) change() bool {
	if f.storeDown {
		return false
	}
	f.storeRevision++
	for _, h := range f.hosts {
		if h.up && h.node.Watching() && !h.watchSilent && f.storeReachable(h) {
			f.read(h, func(bool) {})
		}
	}
	return true
}

// breakWatches ends the watches as an outage or a compaction of the store does.
// Silent watches stay open.
func (f *fleet) breakWatches() {
	for _, h := range f.hosts {
		if h.up && h.node.Watching() && !h.watchSilent {
			h.node.WatchEnded(f.now)
		}
	}
}

func (f *fleet) setStoreDown(down bool) {
	f.storeDown = down
	if down {
		f.breakWatches()
	}
}

// adopt puts a revision into force after parseDelay, if it is newer than the
// host's.
func (f *fleet) adopt(h *host, revision int64, origin distribution.Origin, peer string) {
	if revision <= h.node.Revision() {
		return
	}
	incarnation := h.incarnation
	f.schedule(f.parseDelay, func() {
		from := h.node.Revision()
		if !h.up || h.incarnation != incarnation || revision <= from {
			return
		}
		if from > 0 {
			h.history.Add(newDelta(from, revision))
		}
		actions := h.node.Adopted(f.now, revision, origin, peer)
		f.onAdopt(h)
		f.execute(h, actions)
	})
}

// newDelta returns a delta of typical size.
func newDelta(from, to int64) distribution.Delta {
	return distribution.Delta{From: from, To: to, Start: 1 << 20, End: 1<<20 + insertSize, Insert: make([]byte, insertSize)}
}

func deltaMessage(d distribution.Delta) *wire.TextDelta {
	return &wire.TextDelta{
		From: d.From, To: d.To, Start: int64(d.Start), End: int64(d.End), Insert: d.Insert, Digest: d.Digest[:],
	}
}

func (f *fleet) push(h, to *host) {
	revision := h.node.Revision()
	offer := &wire.TextOffer{Revision: revision, Host: h.name}
	if d, ok := h.history.Latest(); ok {
		offer.Delta = deltaMessage(d)
	}
	f.call(h, to, proto.Size(offer), func() proto.Message {
		if d := offer.GetDelta(); d != nil && d.GetFrom() == to.node.Revision() && d.GetFrom() > 0 {
			f.adopt(to, revision, distribution.FromPeer, h.name)
			return &wire.TextState{Revision: revision}
		}
		f.execute(to, to.node.RevisionReported(f.now, h.name, revision))
		return &wire.TextState{Revision: to.node.Revision()}
	}, func(reply proto.Message) {
		state, ok := reply.(*wire.TextState)
		f.execute(h, h.node.PushEnded(f.now, to.name, revision, state.GetRevision(), ok))
	})
}

func (f *fleet) fetch(h, from *host) {
	request := &wire.TextRequest{NewerThan: h.node.Revision()}
	f.call(h, from, proto.Size(request), func() proto.Message {
		reply := &wire.TextReply{Revision: from.node.Revision()}
		deltas, ok := from.history.Since(request.GetNewerThan())
		if reply.GetRevision() > request.GetNewerThan() && ok {
			for _, d := range deltas {
				reply.Deltas = append(reply.Deltas, deltaMessage(d))
			}
		}
		return reply
	}, func(reply proto.Message) {
		text, _ := reply.(*wire.TextReply)
		f.adopt(h, text.GetRevision(), distribution.FromPeer, from.name)
		f.schedule(f.parseDelay, func() { f.execute(h, h.node.FetchEnded(f.now, from.name, text.GetRevision())) })
	})
}
