// Package reach decides whether this host is cut off from all backend servers.
//
// The evidence is the opening of new connections: a connection that was open before
// may go on while new ones are refused, and a server's answer arrives long after
// its connection was opened. A host is cut off once several different servers
// couldn't be reached, and none was since. The failure of one server, or of all
// servers of one service while others are reached, is no such evidence.
package reach

import (
	"sync"
	"time"
)

const (
	// minFailed is how many different servers a host fails to reach before it takes
	// itself to be cut off. Two may well share a machine that has failed.
	minFailed = 3
	// failureWindow is how long a failure counts. A host that opens few connections
	// may see the failures of servers that fail one after the other, with no
	// success between them.
	failureWindow = 10 * time.Second
	// probeInterval is the least time between two probes of a host that is cut off.
	// The longest dial ends within it.
	probeInterval = 180 * time.Millisecond
	// probeStride is a prime larger than any list of servers, so that successive
	// probes visit all of a list, in places far from each other.
	probeStride = 1_000_003
)

// State is what a host knows about its connections to servers.
type State struct {
	// CutOff is set while no server can be reached, and Since when that was
	// noticed.
	CutOff bool
	Since  time.Time
	// Failed counts the servers that couldn't be reached since one was last.
	Failed int
	// LastConnected is when a connection was last opened, zero if none ever was.
	LastConnected time.Time
}

// Tracker decides from the results of connections whether the host is cut off from
// all servers. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// failed holds when each server last couldn't be reached, since one was.
	failed    map[string]time.Time
	servers   int
	state     State
	nextProbe time.Time
	probes    int
}

// NewTracker returns a tracker of a host that isn't cut off.
func NewTracker() *Tracker {
	return &Tracker{failed: make(map[string]time.Time), servers: minFailed}
}

// SetServers tells how many servers are listed. If they are few, the failure of all
// of them suffices.
func (t *Tracker) SetServers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers = n
}

// Observe records the result of opening a new connection to a server, and reports
// whether it changed what CutOff returns.
func (t *Tracker) Observe(now time.Time, server string, connected bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if connected {
		clear(t.failed)
		changed = t.state.CutOff
		t.state = State{LastConnected: now}
		return changed
	}
	t.failed[server] = now
	for id, at := range t.failed {
		if now.Sub(at) > failureWindow && !t.state.CutOff {
			delete(t.failed, id)
		}
	}
	t.state.Failed = len(t.failed)
	if t.state.CutOff || t.state.Failed < max(1, min(minFailed, t.servers)) {
		return false
	}
	t.state.CutOff, t.state.Since = true, now
	t.nextProbe = now
	return true
}

// CutOff reports whether no server can be reached.
func (t *Tracker) CutOff() bool { return t.State().CutOff }

// LastConnected returns when a connection to a server was last opened, zero if none
// ever was.
func (t *Tracker) LastConnected() time.Time { return t.State().LastConnected }

// State returns what is known.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Probe returns which of n servers is to be dialled now to learn whether the host
// still is cut off, false if none is. It takes the servers in turn; spread, which
// differs between hosts, is where it begins.
func (t *Tracker) Probe(now time.Time, n, spread int) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.state.CutOff || n <= 0 || now.Before(t.nextProbe) {
		return 0, false
	}
	t.nextProbe = now.Add(probeInterval)
	t.probes++
	return (spread%n + t.probes*(probeStride%n)) % n, true
}
