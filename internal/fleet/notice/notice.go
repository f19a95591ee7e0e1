// Package notice carries what hosts tell one another all the time: that they
// live, which configuration they have, how many requests they have at each
// server, and which jobs they own.
//
// A notice is a datagram; it may be lost, late or out of order. Each one is
// whole, so the newest wins, and the number that a host counts its notices with
// shows which that is. A host sends soon after a change and several times in
// the time after which it would be held gone. Hosts learn of each other from
// the addresses they start with, from the store, and from one another.
package notice

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

// Notice is what one host tells.
type Notice struct {
	Host string `json:"h"`
	Zone string `json:"z"`
	// Address is IP:PORT for notices (UDP) and calls (TCP) of other hosts.
	Address string `json:"a"`
	// Start is unique to a start of the host and grows with each, unless the time
	// of day is set back; Number grows with each notice of a start.
	Start    int64 `json:"s"`
	Sequence int64 `json:"n"`
	// ConfigVersion is the version of the configuration in force there.
	ConfigVersion int64 `json:"c,omitempty"`
	// ServersRevision is the store's revision of the newest change of the list of
	// servers that the host knows.
	ServersRevision int64 `json:"r,omitempty"`
	// EndedJobs are jobs that were ended through the host lately.
	EndedJobs []string `json:"e,omitempty"`
	// Stopping says that the host takes no new jobs and will be gone.
	Stopping bool                      `json:"x,omitempty"`
	Loads    map[string]scheduler.Load `json:"l,omitempty"`
	Backlog  scheduler.Backlog         `json:"b,omitzero"`
	// AcquiredJobs are some jobs that the host has come to own lately.
	AcquiredJobs []string `json:"j,omitempty"`
	// KnownAddresses are addresses of other hosts.
	KnownAddresses []string `json:"k,omitempty"`
}

// Encode returns the datagram.
func (n Notice) Encode() ([]byte, error) {
	text, err := json.Marshal(n)
	return text, trace.Wrap(err)
}

// far returns the notice for far hosts, which need no expected ends.
func (n Notice) far() Notice {
	loads := make(map[string]scheduler.Load, len(n.Loads))
	for server, l := range n.Loads {
		loads[server] = scheduler.Load{Online: l.Online, Batch: l.Batch}
	}
	n.Loads = loads
	return n
}

// Decode reads a datagram.
func Decode(datagram []byte) (Notice, error) {
	var n Notice
	if err := json.Unmarshal(datagram, &n); err != nil {
		return n, trace.BadParameter("notice: %v", err)
	}
	if n.Host == "" || n.Address == "" {
		return n, trace.BadParameter("notice without host or address")
	}
	return n, nil
}

const (
	// PeerTimeout is how long a host that is not heard counts as live; notices
	// come several times in it.
	PeerTimeout = 1500 * time.Millisecond
	// forgetAfter is how long a silent address is still told.
	forgetAfter = 60 * time.Second
)

// Peer is another host as last heard.
type Peer struct {
	Notice
	ReceivedAt time.Time
}

// PeerTable holds what other hosts told. It is safe for concurrent use.
type PeerTable struct {
	self    string
	zone    string
	address string

	mu    sync.Mutex
	peers map[string]*Peer
	// addresses are all that notices go to, with when each was last heard of.
	addresses map[string]time.Time
	live      map[string]bool
	changed   func(host string, live bool)
}

// NewPeerTable returns a book of a host; changed is told when a host comes to live
// or falls silent.
func NewPeerTable(self, zone, address string, changed func(host string, live bool)) *PeerTable {
	return &PeerTable{
		self: self, zone: zone, address: address, peers: make(map[string]*Peer), addresses: make(map[string]time.Time),
		live: make(map[string]bool), changed: changed,
	}
}

// AddAddresses adds addresses that notices go to.
func (b *PeerTable) AddAddresses(now time.Time, addresses ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learn(now, addresses)
}

func (b *PeerTable) learn(now time.Time, addresses []string) {
	for _, a := range addresses {
		if _, known := b.addresses[a]; !known && a != b.address && a != "" {
			b.addresses[a] = now
		}
	}
}

// Apply takes a notice and reports whether it is newer than all before.
func (b *PeerTable) Apply(now time.Time, n Notice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Host == b.self {
		return false
	}
	old, known := b.peers[n.Host]
	if known && n.Start == old.Start && n.Sequence <= old.Sequence {
		return false
	}
	// A start is dated by the time of day, which may have been set back before a
	// restart; a late datagram of the start before comes while the new one is heard.
	if known && n.Start < old.Start && now.Sub(old.ReceivedAt) <= PeerTimeout {
		return false
	}
	if known && old.Address != n.Address {
		delete(b.addresses, old.Address)
	}
	b.peers[n.Host] = &Peer{Notice: n, ReceivedAt: now}
	b.addresses[n.Address] = now
	b.learn(now, n.KnownAddresses)
	if !b.live[n.Host] {
		b.live[n.Host] = true
		b.changed(n.Host, true)
	}
	return true
}

// Expire notes the hosts that have fallen silent.
func (b *PeerTable) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for host, p := range b.peers {
		if b.live[host] && now.Sub(p.ReceivedAt) > PeerTimeout {
			b.live[host] = false
			b.changed(host, false)
		}
		if now.Sub(p.ReceivedAt) > forgetAfter {
			delete(b.peers, host)
			delete(b.live, host)
		}
	}
	for a, heard := range b.addresses {
		if now.Sub(heard) > forgetAfter {
			delete(b.addresses, a)
		}
	}
}

// Addresses returns where notices go: to near hosts after each change, to far
// ones now and then. In a small fleet all are near; in a large one those of
// other zones are far, so that what a host sends and hears does not grow with
// the number of zones.
func (b *PeerTable) Addresses() (near, far []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	zones := make(map[string]string, len(b.peers))
	for _, p := range b.peers {
		zones[p.Address] = p.Zone
	}
	large := b.large()
	for a := range b.addresses {
		if zone, heard := zones[a]; large && heard && zone != b.zone {
			far = append(far, a)
		} else {
			near = append(near, a)
		}
	}
	sort.Strings(near)
	sort.Strings(far)
	return near, far
}

// smallFleet is the most live hosts that all tell each other each change.
const smallFleet = 16

func (b *PeerTable) large() bool {
	n := 1
	for _, live := range b.live {
		if live {
			n++
		}
	}
	return n > smallFleet
}

// LargeFleet reports whether hosts of other zones are far.
func (b *PeerTable) LargeFleet() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.large()
}

// Alive reports whether a host has been heard lately.
func (b *PeerTable) Alive(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return host == b.self || b.live[host]
}

// Peer returns what a host last told.
func (b *PeerTable) Peer(host string) (Peer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[host]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Live returns the live hosts that do not stop, in order, without this one.
func (b *PeerTable) Live() []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Peer
	for host, p := range b.peers {
		if b.live[host] && !p.Stopping {
			list = append(list, *p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}
