package spread_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/membership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/spread"
)

const (
	tick       = 250 * time.Millisecond
	callEnds   = time.Second
	insertSize = 130
)

// fleet runs nodes and views of many hosts over links in memory, under manual
// time. A call that gets no answer ends after callEnds.
type fleet struct {
	now    time.Time
	random *rand.Rand
	queue  events
	serial int
	hosts  []*host
	// store is the platform's latest revision.
	store int64
	// storeDown, cut and cutStore are the faults: for all, between two zones,
	// between a zone and the platform.
	storeDown bool
	cut       map[[2]string]bool
	cutStore  map[string]bool
	loss      float64
	// near and far are one-way delays in a zone and between zones; parse is how
	// long a host needs to put a text into force.
	near, far, parse time.Duration
	// adopted is called when a host puts a revision into force.
	adopted func(h *host)
}

type host struct {
	name, zone string
	up         bool
	// life counts the starts; messages to an earlier life are lost.
	life    int
	node    *spread.Node
	view    *membership.View
	history spread.History
	// silent says that the watch has lost track of the store.
	silent bool
	// sent counts the bytes of offers, fetches and their answers.
	sent int
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].serial < e[j].serial)
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
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), cut: make(map[[2]string]bool), cutStore: make(map[string]bool),
		near: 300 * time.Microsecond, far: 3500 * time.Microsecond, parse: time.Millisecond, adopted: func(*host) {},
	}
	for i := range zones * perZone {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("h%03d", i), zone: fmt.Sprintf("z%d", i%zones)})
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.serial++
	heap.Push(&f.queue, event{f.now.Add(d), f.serial, run})
}

// run advances the time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// start begins a new life of a host; it knows all addresses, as from the
// platform's host list.
func (f *fleet) start(h *host) {
	h.up, h.silent = true, false
	h.life++
	h.history = spread.History{}
	h.node = spread.NewNode(spread.Member{Name: h.name, Zone: h.zone})
	h.view = membership.NewView(membership.Host{Name: h.name, Zone: h.zone, Address: h.name, Incarnation: int64(h.life)}, f.now, f.random.Uint64())
	var list []membership.ListedHost
	for _, other := range f.hosts {
		list = append(list, membership.ListedHost{Name: other.name, Zone: other.zone, Address: other.name})
	}
	h.view.ApplyHostList(f.now, list)
	f.every(h, tick, f.tickNode)
	f.every(h, membership.HeartbeatInterval, f.beat)
}

// every runs fn from a random moment of the period on, while this life lasts.
func (f *fleet) every(h *host, period time.Duration, fn func(*host)) {
	life := h.life
	var again func()
	again = func() {
		if h.up && h.life == life {
			fn(h)
			f.after(period, again)
		}
	}
	f.after(time.Duration(f.random.Int64N(int64(period))), again)
}

func (f *fleet) tickNode(h *host) {
	var members []spread.Member
	for _, name := range h.view.Live(f.now, "") {
		known, _ := h.view.Host(name)
		members = append(members, spread.Member{Name: name, Zone: known.Zone})
	}
	h.node.Members(members)
	f.carryOut(h, h.node.Tick(f.now))
}

func (f *fleet) beat(h *host) {
	h.view.SetSelf(h.node.Revision(), nil)
	for _, b := range h.view.Tick(f.now) {
		other := f.byName(b.Address)
		f.deliver(h, other, func() {
			other.view.ApplyHeartbeat(f.now, b.Message)
			f.carryOut(other, other.node.Offered(f.now, h.name, b.Message.GetRevision()))
			reply := other.view.Heartbeat(f.now)
			reply.Revision = other.node.Revision()
			f.deliver(other, h, func() {
				h.view.ApplyHeartbeat(f.now, reply)
				f.carryOut(h, h.node.Offered(f.now, other.name, reply.GetRevision()))
			})
		})
	}
}

func (f *fleet) byName(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// deliver runs fn at to after the link's delay, unless the message is lost.
func (f *fleet) deliver(from, to *host, fn func()) {
	delay := f.near
	if from.zone != to.zone {
		delay = f.far
	}
	if f.cut[[2]string{from.zone, to.zone}] || f.random.Float64() < f.loss {
		return
	}
	life := to.life
	f.after(delay+time.Duration(f.random.Int64N(int64(delay))), func() {
		if to.up && to.life == life {
			fn()
		}
	})
}

// call sends a message of a size to a host and gives its answer, or nil, to
// done exactly once.
func (f *fleet) call(h, to *host, size int, serve func() proto.Message, done func(proto.Message)) {
	ended, life := false, h.life
	end := func(reply proto.Message) {
		if !ended && h.up && h.life == life {
			ended = true
			done(reply)
		}
	}
	h.sent += size
	f.deliver(h, to, func() {
		reply := serve()
		to.sent += proto.Size(reply)
		f.deliver(to, h, func() { end(reply) })
	})
	f.after(callEnds, func() { end(nil) })
}

func (f *fleet) carryOut(h *host, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.Push:
			f.push(h, f.byName(a.To))
		case spread.Fetch:
			f.fetch(h, f.byName(a.From))
		case spread.Read:
			f.read(h, func(ok bool) { h.node.ReadEnded(f.now, ok) })
		case spread.Watch:
			f.watch(h)
		case spread.Unwatch:
		}
	}
}

func (f *fleet) reaches(h *host) bool { return !f.storeDown && !f.cutStore[h.zone] }

// read reads the store's revision, or fails after callEnds.
func (f *fleet) read(h *host, done func(ok bool)) {
	life := h.life
	later := func(d time.Duration, fn func()) {
		f.after(d, func() {
			if h.up && h.life == life {
				fn()
			}
		})
	}
	if !f.reaches(h) {
		later(callEnds, func() { done(false) })
		return
	}
	revision := f.store
	later(5*time.Millisecond, func() {
		f.adopt(h, revision, spread.FromStore, "")
		done(true)
	})
}

// watch reads and from then on hears of changes while it is not silent; a
// break of the store ends it.
func (f *fleet) watch(h *host) {
	h.silent = false
	f.read(h, func(ok bool) {
		if !ok {
			h.node.WatchEnded(f.now)
		}
	})
}

// change makes a new revision in the store; it returns false during an outage.
func (f *fleet) change() bool {
	if f.storeDown {
		return false
	}
	f.store++
	for _, h := range f.hosts {
		if h.up && h.node.Watching() && !h.silent && f.reaches(h) {
			f.read(h, func(bool) {})
		}
	}
	return true
}

// breakWatches ends all watches, as an outage or a compaction does.
func (f *fleet) breakWatches() {
	for _, h := range f.hosts {
		if h.up && h.node.Watching() && !h.silent {
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

// adopt puts a revision into force after the time to parse it.
func (f *fleet) adopt(h *host, revision int64, origin spread.Origin, peer string) {
	if revision <= h.node.Revision() {
		return
	}
	life := h.life
	f.after(f.parse, func() {
		from := h.node.Revision()
		if !h.up || h.life != life || revision <= from {
			return
		}
		if from > 0 {
			h.history.Add(deltaOf(from, revision))
		}
		actions := h.node.Adopted(f.now, revision, origin, peer)
		f.adopted(h)
		f.carryOut(h, actions)
	})
}

// deltaOf is a delta of a usual size.
func deltaOf(from, to int64) spread.Delta {
	return spread.Delta{From: from, To: to, Start: 1 << 20, End: 1<<20 + insertSize, Insert: make([]byte, insertSize)}
}

func message(d spread.Delta) *wire.TextDelta {
	return &wire.TextDelta{
		From: d.From, To: d.To, Start: int64(d.Start), End: int64(d.End), Insert: d.Insert, Digest: d.Digest[:],
	}
}

func (f *fleet) push(h, to *host) {
	revision := h.node.Revision()
	offer := &wire.TextOffer{Revision: revision, Host: h.name}
	if d, ok := h.history.Latest(); ok {
		offer.Delta = message(d)
	}
	f.call(h, to, proto.Size(offer), func() proto.Message {
		if d := offer.GetDelta(); d != nil && d.GetFrom() == to.node.Revision() && d.GetFrom() > 0 {
			f.adopt(to, revision, spread.FromPeer, h.name)
			return &wire.TextState{Revision: revision}
		}
		f.carryOut(to, to.node.Offered(f.now, h.name, revision))
		return &wire.TextState{Revision: to.node.Revision()}
	}, func(reply proto.Message) {
		state, ok := reply.(*wire.TextState)
		f.carryOut(h, h.node.PushEnded(f.now, to.name, revision, state.GetRevision(), ok))
	})
}

func (f *fleet) fetch(h, from *host) {
	request := &wire.TextRequest{NewerThan: h.node.Revision()}
	f.call(h, from, proto.Size(request), func() proto.Message {
		reply := &wire.TextReply{Revision: from.node.Revision()}
		deltas, ok := from.history.Since(request.GetNewerThan())
		if reply.GetRevision() > request.GetNewerThan() && ok {
			for _, d := range deltas {
				reply.Deltas = append(reply.Deltas, message(d))
			}
		}
		return reply
	}, func(reply proto.Message) {
		text, _ := reply.(*wire.TextReply)
		f.adopt(h, text.GetRevision(), spread.FromPeer, from.name)
		f.after(f.parse, func() { f.carryOut(h, h.node.FetchEnded(f.now, from.name, text.GetRevision())) })
	})
}
