// Package distribution distributes each revision of the services text to every
// host.
//
// Node is the state machine of one host. It performs no I/O: its methods take
// events and return the actions that the host must perform.
//
// Two hosts per zone, chosen by rendezvous hashing over the zone's live hosts,
// watch the text in the platform's store. They also read it every few seconds,
// because a watch can stop delivering events without an error.
//
// A host that puts a revision into force pushes it down a tree of the hosts in
// its zone. The hosts are ordered by a hash of the revision and their names, so
// that different revisions load different hosts, and the host at index i pushes
// to the indexes fanOut*i+1 to fanOut*i+fanOut. A host that gets the revision
// from outside its zone's tree also pushes it to the tree's root. If a push
// fails, the sender itself pushes to the children of the unreachable host.
//
// Pushes make distribution fast but are not needed for it to complete. All
// hosts, also across zones, exchange the revision in force in their heartbeats,
// and a host that receives a higher revision than its own fetches the text from
// the sender. Differing views of the live hosts, lost messages and restarts
// therefore delay a revision only by a few heartbeats, and a zone that is cut
// off from the platform gets it from another zone.
//
// Invariants: a node's revision never decreases; a node fetches only from a
// host that reported a higher revision than its own; at most one fetch is in
// progress.
package distribution

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
)

const (
	// fanOut is the number of children of a host in its zone's tree.
	fanOut = 8
	// watchersPerZone is the number of hosts in a zone that watch the store.
	watchersPerZone = 2
	// readInterval is the time between two reads of a watcher. It bounds how long
	// a watch that delivers nothing delays a change.
	readInterval = 3 * time.Second
	// initialReadInterval is the time between two reads of a host that has no
	// text yet, watcher or not.
	initialReadInterval = time.Second
	// minWatchBackoff and maxWatchBackoff bound the exponential backoff before a
	// broken watch is opened again.
	minWatchBackoff = 250 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
	// firstFetchDelay is how long a host without a text collects the revisions of
	// other hosts before it fetches the highest. Otherwise a restarted host could
	// put into force an earlier revision than before the restart, if the first
	// report came from a host that lags behind.
	firstFetchDelay = 700 * time.Millisecond
)

// Member identifies a live host and its availability zone.
type Member struct {
	Name string
	Zone string
}

// Origin is where a revision came from.
type Origin uint8

// The origins of a revision.
const (
	// FromStore is a read or a watch of the platform's store.
	FromStore Origin = iota
	// FromOperator is a change that an operator applied at this host.
	FromOperator
	// FromPeer is another host.
	FromPeer
)

// Action is an I/O operation that the host performs for its node.
type Action interface{ action() }

// The actions of a node.
type (
	// Push sends the revision in force to a host. The host calls PushEnded
	// afterwards.
	Push struct{ To string }
	// Fetch requests a newer text from a host. The host calls FetchEnded
	// afterwards.
	Fetch struct{ From string }
	// Read reads the text from the store. The host calls ReadEnded afterwards.
	Read struct{}
	// Watch reads the text from the store and then watches it. The host calls
	// WatchEnded if the watch breaks.
	Watch struct{}
	// Unwatch cancels the watch.
	Unwatch struct{}
)

func (Push) action()    {}
func (Fetch) action()   {}
func (Read) action()    {}
func (Watch) action()   {}
func (Unwatch) action() {}

// Node is the distribution state of one host. It is not safe for concurrent
// use.
type Node struct {
	self Member
	// revision is the revision in force. It never decreases.
	revision int64
	// members holds the live hosts, including this one, sorted by name.
	members []Member
	// peerRevisions holds the last reported revision of each other host.
	peerRevisions map[string]int64
	// pushedTo holds the hosts that the revision in force was pushed to.
	pushedTo map[string]bool
	// fetching is the host of the fetch in progress, empty for none.
	// fetchRevision is the last reported revision of that host when the fetch
	// began.
	fetching      string
	fetchRevision int64

	// firstFetchAt is when a node without a text may fetch. It is zero until the
	// first report of a revision.
	firstFetchAt time.Time

	watching     bool
	reading      bool
	watchBackoff time.Duration
	// nextWatch and nextRead are the earliest times of the next watch and read.
	nextWatch time.Time
	nextRead  time.Time
}

// NewNode returns a node without a revision in force.
func NewNode(self Member) *Node {
	return &Node{
		self: self, members: []Member{self}, peerRevisions: make(map[string]int64), pushedTo: make(map[string]bool), watchBackoff: minWatchBackoff,
	}
}

// Revision returns the revision in force, 0 before the first.
func (n *Node) Revision() int64 { return n.revision }

// Watching reports whether the node watches the store.
func (n *Node) Watching() bool { return n.watching }

// SetMembers sets the live hosts. The node adds its own host if it is missing.
func (n *Node) SetMembers(live []Member) {
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
	for name := range n.peerRevisions {
		if !alive[name] {
			delete(n.peerRevisions, name)
		}
	}
}

// Adopted records that the host has put a revision into force and returns the
// pushes that follow. peer is the host that it came from, if origin is FromPeer.
func (n *Node) Adopted(_ time.Time, revision int64, origin Origin, peer string) []Action {
	if revision <= n.revision {
		return nil
	}
	n.revision = revision
	clear(n.pushedTo)
	if origin == FromPeer {
		n.peerRevisions[peer] = max(n.peerRevisions[peer], revision)
	}
	order := n.order(n.self.Zone)
	var actions []Action
	if origin != FromPeer || n.zoneOf(peer) != n.self.Zone {
		actions = n.appendPush(actions, order[0])
	}
	if origin == FromOperator {
		actions = n.pushOtherZones(actions)
	}
	return n.pushChildren(actions, order, n.self.Name)
}

// pushOtherZones adds pushes to the roots of the trees of the other zones.
func (n *Node) pushOtherZones(actions []Action) []Action {
	seen := map[string]bool{n.self.Zone: true}
	for _, m := range n.members {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			actions = n.appendPush(actions, n.order(m.Zone)[0])
		}
	}
	return actions
}

// pushChildren adds pushes to the children of a host in the tree.
func (n *Node) pushChildren(actions []Action, order []string, name string) []Action {
	for i, host := range order {
		if host != name {
			continue
		}
		for j := fanOut*i + 1; j <= fanOut*i+fanOut && j < len(order); j++ {
			actions = n.appendPush(actions, order[j])
		}
	}
	return actions
}

// appendPush adds a push to a host, unless the revision was already pushed to
// that host or the host is known to have it.
func (n *Node) appendPush(actions []Action, name string) []Action {
	if name == n.self.Name || n.pushedTo[name] || n.peerRevisions[name] >= n.revision {
		return actions
	}
	n.pushedTo[name] = true
	return append(actions, Push{To: name})
}

// order returns the hosts of a zone in their order in the tree of the revision
// in force, the root first.
func (n *Node) order(zoneName string) []string {
	type hashedHost struct {
		name string
		hash uint64
	}
	var hosts []hashedHost
	for _, m := range n.members {
		if m.Zone == zoneName {
			hosts = append(hosts, hashedHost{m.Name, xxhash.Sum64String(fmt.Sprintf("%d/%s", n.revision, m.Name))})
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].hash < hosts[j].hash })
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.name
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

// RevisionReported records the revision that another host reports as in force
// and returns the fetch that follows, if any.
func (n *Node) RevisionReported(now time.Time, peer string, revision int64) []Action {
	n.peerRevisions[peer] = revision
	if n.firstFetchAt.IsZero() && revision > 0 {
		n.firstFetchAt = now.Add(firstFetchDelay)
	}
	return n.fetch(now)
}

// fetch returns a fetch from the host with the highest revision, if that is
// above the node's own and no fetch is in progress.
func (n *Node) fetch(now time.Time) []Action {
	if n.fetching != "" || (n.revision == 0 && now.Before(n.firstFetchAt)) {
		return nil
	}
	best := ""
	for name, revision := range n.peerRevisions {
		if revision <= n.revision {
			continue
		}
		if best == "" || revision > n.peerRevisions[best] || (revision == n.peerRevisions[best] && name < best) {
			best = name
		}
	}
	if best == "" {
		return nil
	}
	n.fetching, n.fetchRevision = best, n.peerRevisions[best]
	return []Action{Fetch{From: best}}
}

// FetchEnded records the end of a fetch. If the fetch returned a text, Adopted
// must have been called before. peerRevision is the revision in the host's
// answer, 0 if the call failed. A host that did not answer, or whose text could
// not be put into force, is asked again after its next report.
func (n *Node) FetchEnded(now time.Time, peer string, peerRevision int64) []Action {
	n.fetching = ""
	switch {
	case peerRevision == 0 || peerRevision > n.revision:
		delete(n.peerRevisions, peer)
	case n.peerRevisions[peer] == n.fetchRevision:
		n.peerRevisions[peer] = peerRevision
	}
	return n.fetch(now)
}

// PushEnded records the end of a push. pushed is the revision that was pushed,
// peerRevision the revision that the host has in force afterwards. If the host
// could not be reached (ok is false), the node pushes to that host's children in
// the tree, unless a newer revision is in force by then.
func (n *Node) PushEnded(now time.Time, peer string, pushed, peerRevision int64, ok bool) []Action {
	if ok {
		return n.RevisionReported(now, peer, peerRevision)
	}
	if pushed != n.revision {
		return nil
	}
	return n.pushChildren(nil, n.order(n.zoneOf(peer)), peer)
}

// WatchEnded records that a watch broke. The next one begins with a read, so
// that no change is missed, whether the watch broke because of a lost connection
// or a compaction of the store.
func (n *Node) WatchEnded(now time.Time) {
	n.watching = false
	n.nextWatch = now.Add(n.watchBackoff)
	n.watchBackoff = min(2*n.watchBackoff, maxWatchBackoff)
}

// ReadEnded records the end of a read. ok reports whether the store answered.
func (n *Node) ReadEnded(now time.Time, ok bool) {
	n.reading = false
	n.nextRead = now.Add(n.readDelay())
	if ok {
		n.watchBackoff = minWatchBackoff
	}
}

func (n *Node) readDelay() time.Duration {
	if n.revision == 0 {
		return initialReadInterval
	}
	return readInterval
}

// Tick returns the reads, watches and fetches that are due.
func (n *Node) Tick(now time.Time) []Action {
	isWatcher := n.isWatcher()
	if !isWatcher && n.watching {
		n.watching = false
		return []Action{Unwatch{}}
	}
	var actions []Action
	if isWatcher && !n.watching && !now.Before(n.nextWatch) {
		n.watching = true
		actions = append(actions, Watch{})
	}
	if (isWatcher || n.revision == 0) && !n.reading && !now.Before(n.nextRead) {
		n.reading = true
		actions = append(actions, Read{})
	}
	return append(actions, n.fetch(now)...)
}

// isWatcher reports whether the host is one of its zone's watchers.
func (n *Node) isWatcher() bool {
	var names []string
	for _, m := range n.members {
		if m.Zone == n.self.Zone {
			names = append(names, m.Name)
		}
	}
	return rendezvous.Rank(names, n.self.Name, "watcher") < watchersPerZone
}
