// Package notice implements the status protocol between hosts. Each host
// regularly sends the others a notice: that it is alive, which configuration it
// has, how many requests it has in flight at each server, and jobs that it owns.
//
// A notice is a datagram and may be lost, late or out of order. It carries the
// complete status, so the newest one replaces all earlier ones; a sequence
// number shows which is the newest. A host sends a notice soon after a change,
// and several within PeerTimeout, after which it would count as dead. Hosts
// learn each other's addresses from their settings, from the store and from
// notices.
package notice

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

// Notice is the status of one host.
type Notice struct {
	Host string `json:"h"`
	Zone string `json:"z"`
	// Address is the IP:PORT at which the host receives notices (UDP) and calls
	// (TCP) of other hosts.
	Address string `json:"a"`
	// Start identifies a start of the host and grows with each one, unless the
	// time of day is set back. Sequence grows with each notice of the same start.
	Start    int64 `json:"s"`
	Sequence int64 `json:"n"`
	// ConfigVersion is the version of the configuration in force at the host.
	ConfigVersion int64 `json:"c,omitempty"`
	// ServersRevision is the store revision of the newest change of the list of
	// servers that the host has read.
	ServersRevision int64 `json:"r,omitempty"`
	// EndedJobs are jobs that were recently ended through the host.
	EndedJobs []string `json:"e,omitempty"`
	// Stopping is set once the host is stopping and takes no new jobs.
	Stopping bool                      `json:"x,omitempty"`
	Loads    map[string]scheduler.Load `json:"l,omitempty"`
	Backlog  scheduler.Backlog         `json:"b,omitzero"`
	// AcquiredJobs are some of the jobs that the host has recently come to own.
	AcquiredJobs []string `json:"j,omitempty"`
	// KnownAddresses are addresses of other hosts.
	KnownAddresses []string `json:"k,omitempty"`
}

// Encode returns the notice as a datagram.
func (n Notice) Encode() ([]byte, error) {
	text, err := json.Marshal(n)
	return text, trace.Wrap(err)
}

// withoutEnds returns a copy without the expected ends of requests, for far
// hosts, which then assume that the requests end evenly spread.
func (n Notice) withoutEnds() Notice {
	loads := make(map[string]scheduler.Load, len(n.Loads))
	for server, l := range n.Loads {
		loads[server] = scheduler.Load{Online: l.Online, Batch: l.Batch}
	}
	n.Loads = loads
	return n
}

// Decode parses a datagram.
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
	// PeerTimeout is how long after its last notice a host still counts as live.
	// A host sends several notices in this time.
	PeerTimeout = 1500 * time.Millisecond
	// removeAfter is how long hosts and addresses are kept without a notice.
	removeAfter = 60 * time.Second
)

// Peer is the last notice of another host.
type Peer struct {
	Notice
	ReceivedAt time.Time
}

// PeerTable holds the last notices and the addresses of other hosts. It is safe
// for concurrent use.
type PeerTable struct {
	self    string
	zone    string
	address string

	mu    sync.Mutex
	peers map[string]*Peer
	// addresses are all addresses that notices are sent to, with the time at
	// which each was added or a notice last came from it.
	addresses        map[string]time.Time
	live             map[string]bool
	onLivenessChange func(host string, live bool)
}

// NewPeerTable returns an empty table for host self. onLivenessChange is called
// with the table locked when a host becomes live or dead.
func NewPeerTable(self, zone, address string, onLivenessChange func(host string, live bool)) *PeerTable {
	return &PeerTable{
		self: self, zone: zone, address: address, peers: make(map[string]*Peer), addresses: make(map[string]time.Time),
		live: make(map[string]bool), onLivenessChange: onLivenessChange,
	}
}

// AddAddresses adds addresses to send notices to.
func (t *PeerTable) AddAddresses(now time.Time, addresses ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addAddresses(now, addresses)
}

func (t *PeerTable) addAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		if _, known := t.addresses[a]; !known && a != t.address && a != "" {
			t.addresses[a] = now
		}
	}
}

// Apply stores a notice and reports whether it is newer than all earlier ones of
// its host.
func (t *PeerTable) Apply(now time.Time, n Notice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Host == t.self {
		return false
	}
	old, known := t.peers[n.Host]
	if known && n.Start == old.Start && n.Sequence <= old.Sequence {
		return false
	}
	// An earlier Start is usually a late datagram of the previous run, which
	// arrives while notices of the new run do. After a silence it is accepted: the
	// host may have restarted after its time of day was set back.
	if known && n.Start < old.Start && now.Sub(old.ReceivedAt) <= PeerTimeout {
		return false
	}
	if known && old.Address != n.Address {
		delete(t.addresses, old.Address)
	}
	t.peers[n.Host] = &Peer{Notice: n, ReceivedAt: now}
	t.addresses[n.Address] = now
	t.addAddresses(now, n.KnownAddresses)
	if !t.live[n.Host] {
		t.live[n.Host] = true
		t.onLivenessChange(n.Host, true)
	}
	return true
}

// Expire marks hosts as dead whose last notice is older than PeerTimeout, and
// removes hosts and addresses after removeAfter.
func (t *PeerTable) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, p := range t.peers {
		if t.live[host] && now.Sub(p.ReceivedAt) > PeerTimeout {
			t.live[host] = false
			t.onLivenessChange(host, false)
		}
		if now.Sub(p.ReceivedAt) > removeAfter {
			delete(t.peers, host)
			delete(t.live, host)
		}
	}
	for a, lastSeen := range t.addresses {
		if now.Sub(lastSeen) > removeAfter {
			delete(t.addresses, a)
		}
	}
}

// Addresses returns the addresses to send notices to: to near ones after each
// change, to far ones less often. In a large fleet the hosts of other zones are
// far, in a small one none are. A further zone therefore adds only the less
// frequent far notices.
func (t *PeerTable) Addresses() (near, far []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := make(map[string]string, len(t.peers))
	for _, p := range t.peers {
		zones[p.Address] = p.Zone
	}
	large := t.large()
	for a := range t.addresses {
		if zone, known := zones[a]; large && known && zone != t.zone {
			far = append(far, a)
		} else {
			near = append(near, a)
		}
	}
	sort.Strings(near)
	sort.Strings(far)
	return near, far
}

// maxSmallFleet is the largest number of live hosts, this one included, at
// which all hosts are near.
const maxSmallFleet = 16

func (t *PeerTable) large() bool {
	n := 1
	for _, live := range t.live {
		if live {
			n++
		}
	}
	return n > maxSmallFleet
}

// LargeFleet reports whether the hosts of other zones are far.
func (t *PeerTable) LargeFleet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.large()
}

// Alive reports whether a host counts as live.
func (t *PeerTable) Alive(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return host == t.self || t.live[host]
}

// Peer returns the last notice of a host.
func (t *PeerTable) Peer(host string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[host]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Live returns the other live hosts that are not stopping, sorted by name.
func (t *PeerTable) Live() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Peer
	for host, p := range t.peers {
		if t.live[host] && !p.Stopping {
			list = append(list, *p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}
