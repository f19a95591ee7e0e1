// Package spread brings each revision of the services text to every host.
//
// A Node is one host's part, a pure state machine. Two hosts a zone, chosen by
// rendezvous hashing over the zone's live hosts, watch the platform's store and
// read the document again every few seconds, since a watch may have gone
// silent. A host that puts a revision into force pushes it down a tree over its
// zone: the order of the hosts is a hash of the revision, so that the load
// moves with each change, and the host at place i serves the places
// fanOut*i+1 to fanOut*i+fanOut. A host that gets the revision from outside its
// zone's tree hands it to the tree's root as well. If a push fails, the pusher
// serves the places below the lost host itself.
//
// Pushes only make it fast. What makes it certain are the heartbeats, which
// carry the revision in force between all hosts and zones: whoever hears of a
// higher one fetches it from the sender. So views that differ, lost messages
// and restarts delay a revision by some heartbeats, and a zone that is cut off
// from the platform gets it from another zone.
//
// Invariants: a node's revision never falls; a node asks for a text only of a
// higher revision than its own; at most one fetch is under way.
package spread

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
)

const (
	// fanOut is how many hosts one host pushes a revision to.
	fanOut = 8
	// watchersPerZone is how many hosts of a zone watch the store.
	watchersPerZone = 2
	// readEvery is the time between two reads of a watcher; it bounds how long a
	// silent watch delays a change.
	readEvery = 3 * time.Second
	// firstReadEvery is the same for any host that has no text yet.
	firstReadEvery = time.Second
	// shortestPause and longestPause bound the wait before a broken watch is
	// opened again.
	shortestPause = 250 * time.Millisecond
	longestPause  = 2 * time.Second
	// settleTime is how long a host without a text listens for offers before it
	// takes the highest: after a restart it must not put into force an earlier
	// revision than before only because a lagging host was heard first.
	settleTime = 700 * time.Millisecond
)

// Member is a live host.
type Member struct {
	Name string
	Zone string
}

// Origin tells where a revision came from.
type Origin uint8

// The origins of a revision.
const (
	// FromStore is a read of the platform's store.
	FromStore Origin = iota
	// FromOperator is a change accepted by this host.
	FromOperator
	// FromPeer is another host.
	FromPeer
)

// Action is something that the shell of a node carries out.
type Action interface{ action() }

// The actions of a node.
type (
	// Push offers the revision in force to a host; PushEnded follows.
	Push struct{ To string }
	// Fetch asks a host for its newer text; FetchEnded follows.
	Fetch struct{ From string }
	// Read reads the document from the store; ReadEnded follows.
	Read struct{}
	// Watch reads the document, then watches it; WatchEnded follows.
	Watch struct{}
	// Unwatch ends the watch.
	Unwatch struct{}
)

func (Push) action()    {}
func (Fetch) action()   {}
func (Read) action()    {}
func (Watch) action()   {}
func (Unwatch) action() {}

// Node is the spreading state of one host.
type Node struct {
	self Member
	// revision is the one in force; it never falls.
	revision int64
	// members holds the live hosts with the node itself, sorted by name.
	members []Member
	// known holds the revision that each host was last heard to have.
	known map[string]int64
	// tried holds the hosts that the revision in force was pushed to.
	tried map[string]bool
	// fetching is the host of the fetch under way, empty for none; asked is the
	// revision it was known to have when the fetch began.
	fetching string
	asked    int64

	// settled is when a node without a text may fetch; zero before the first offer.
	settled time.Time

	watching bool
	reading  bool
	pause    time.Duration
	// nextWatch and nextRead are when the store is to be asked again.
	nextWatch time.Time
	nextRead  time.Time
}

// NewNode returns the node of a host that has no text yet.
func NewNode(self Member) *Node {
	return &Node{
		self: self, members: []Member{self}, known: make(map[string]int64), tried: make(map[string]bool), pause: shortestPause,
	}
}

// Revision returns the revision in force, 0 before the first.
func (n *Node) Revision() int64 { return n.revision }

// Watching reports whether the node watches the store.
func (n *Node) Watching() bool { return n.watching }

// Members takes the live hosts, the node's own among them or not.
func (n *Node) Members(live []Member) {
	n.members = n.members[:0]
	found := false
	for _, m := range live {
		n.members = append(n.members, m)
		found = found || m.Name == n.self.Name
	}
	if !found {
		n.members = append(n.members, n.self)
	}
	sort.Slice(n.members, func(i, j int) bool { return n.members[i].Name < n.members[j].Name })
	alive := make(map[string]bool, len(n.members))
	for _, m := range n.members {
		alive[m.Name] = true
	}
	for name := range n.known {
		if !alive[name] {
			delete(n.known, name)
		}
	}
}

// Adopted takes note that the shell has put a revision into force; peer is the
// host it came from, if any.
func (n *Node) Adopted(_ time.Time, revision int64, origin Origin, peer string) []Action {
	if revision <= n.revision {
		return nil
	}
	n.revision = revision
	clear(n.tried)
	if origin == FromPeer {
		n.known[peer] = max(n.known[peer], revision)
	}
	order := n.order(n.self.Zone)
	var actions []Action
	if origin != FromPeer || n.zoneOf(peer) != n.self.Zone {
		actions = n.push(actions, order[0])
	}
	if origin == FromOperator {
		actions = n.pushZones(actions)
	}
	return n.pushBelow(actions, order, n.self.Name)
}

// pushZones hands the revision to the tree of each other zone.
func (n *Node) pushZones(actions []Action) []Action {
	seen := map[string]bool{n.self.Zone: true}
	for _, m := range n.members {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			actions = n.push(actions, n.order(m.Zone)[0])
		}
	}
	return actions
}

// pushBelow pushes to the places of the tree below a host.
func (n *Node) pushBelow(actions []Action, order []string, name string) []Action {
	for i, one := range order {
		if one != name {
			continue
		}
		for j := fanOut*i + 1; j <= fanOut*i+fanOut && j < len(order); j++ {
			actions = n.push(actions, order[j])
		}
	}
	return actions
}

func (n *Node) push(actions []Action, name string) []Action {
	if name == n.self.Name || n.tried[name] || n.known[name] >= n.revision {
		return actions
	}
	n.tried[name] = true
	return append(actions, Push{To: name})
}

// order returns the hosts of a zone in the order of the tree for the revision
// in force.
func (n *Node) order(zoneName string) []string {
	type place struct {
		name string
		hash uint64
	}
	var places []place
	for _, m := range n.members {
		if m.Zone == zoneName {
			places = append(places, place{m.Name, xxhash.Sum64String(fmt.Sprintf("%d/%s", n.revision, m.Name))})
		}
	}
	sort.Slice(places, func(i, j int) bool { return places[i].hash < places[j].hash })
	names := make([]string, len(places))
	for i, p := range places {
		names[i] = p.name
	}
	return names
}

func (n *Node) zoneOf(name string) string {
	for _, m := range n.members {
		if m.Name == name {
			return m.Zone
		}
	}
	return ""
}

// Offered takes the revision that a host says it has in force.
func (n *Node) Offered(now time.Time, peer string, revision int64) []Action {
	n.known[peer] = revision
	if n.settled.IsZero() && revision > 0 {
		n.settled = now.Add(settleTime)
	}
	return n.fetch(now)
}

// fetch asks the host with the highest revision above the node's own, unless a
// fetch is under way.
func (n *Node) fetch(now time.Time) []Action {
	if n.fetching != "" || (n.revision == 0 && now.Before(n.settled)) {
		return nil
	}
	best := ""
	for name, revision := range n.known {
		if revision <= n.revision {
			continue
		}
		if best == "" || revision > n.known[best] || (revision == n.known[best] && name < best) {
			best = name
		}
	}
	if best == "" {
		return nil
	}
	n.fetching, n.asked = best, n.known[best]
	return []Action{Fetch{From: best}}
}

// FetchEnded takes the end of a fetch, after Adopted if it brought a text. got
// is the revision that the host answered with, 0 if it could not be asked. A
// host that failed, or has a text that can't be used, is asked again when it is
// heard of again.
func (n *Node) FetchEnded(now time.Time, peer string, got int64) []Action {
	n.fetching = ""
	switch {
	case got == 0 || got > n.revision:
		delete(n.known, peer)
	case n.known[peer] == n.asked:
		n.known[peer] = got
	}
	return n.fetch(now)
}

// PushEnded takes the end of a push of a revision; inForce is what the host
// has. For a host that could not be reached the places below it are served.
func (n *Node) PushEnded(now time.Time, peer string, pushed, inForce int64, ok bool) []Action {
	if ok {
		return n.Offered(now, peer, inForce)
	}
	if pushed != n.revision {
		return nil
	}
	return n.pushBelow(nil, n.order(n.zoneOf(peer)), peer)
}

// WatchEnded takes the end of a watch that was not asked for. The next one
// begins with a read, so that nothing is missed: not by a break, nor by a
// compaction of the store.
func (n *Node) WatchEnded(now time.Time) {
	n.watching = false
	n.nextWatch = now.Add(n.pause)
	n.pause = min(2*n.pause, longestPause)
}

// ReadEnded takes the end of a read; ok says that the store answered.
func (n *Node) ReadEnded(now time.Time, ok bool) {
	n.reading = false
	n.nextRead = now.Add(n.readPause())
	if ok {
		n.pause = shortestPause
	}
}

func (n *Node) readPause() time.Duration {
	if n.revision == 0 {
		return firstReadEvery
	}
	return readEvery
}

// Tick returns what is due towards the store.
func (n *Node) Tick(now time.Time) []Action {
	watcher := n.watcher()
	if !watcher && n.watching {
		n.watching = false
		return []Action{Unwatch{}}
	}
	var actions []Action
	if watcher && !n.watching && !now.Before(n.nextWatch) {
		n.watching = true
		actions = append(actions, Watch{})
	}
	if (watcher || n.revision == 0) && !n.reading && !now.Before(n.nextRead) {
		n.reading = true
		actions = append(actions, Read{})
	}
	return append(actions, n.fetch(now)...)
}

// watcher reports whether the node is one of its zone's watchers.
func (n *Node) watcher() bool {
	var names []string
	for _, m := range n.members {
		if m.Zone == n.self.Zone {
			names = append(names, m.Name)
		}
	}
	return rendezvous.Rank(names, n.self.Name, "watcher") < watchersPerZone
}
