// Package reach decides whether this host is cut off from all backend servers.
//
// The evidence is the opening of new connections: a connection that was open before
// may go on while new ones are refused, and a server's answer arrives long after
// its connection was opened. A host is cut off once several different servers
// couldn't be reached, and none was since. The failure of one server, or of all
// servers of one service while others are reached, is no such evidence.
//
// The calls of a host go to few of the servers, mostly those of its own zone, which
// may fail together. Before a host takes itself to be cut off it therefore dials
// servers picked evenly among all.
package reach

import (
	"maps"
	"sync"
	"time"
)

const (
	// minSuspect is how many different servers a host fails to reach before it dials
	// others. A single one may well have failed alone.
	minSuspect = 2
	// minProbed is how many dialled servers have to fail as well. If six of ten
	// servers are lost, all five are among them once in twelve times at most.
	minProbed = 5
	// failureWindow is how long a failure counts. A host that opens few connections
	// may see the failures of servers that fail one after the other, with no
	// success between them.
	failureWindow = 10 * time.Second
	// probeInterval is the least time between two probes of a host that is cut off.
	// The longest dial ends within it.
	probeInterval = 180 * time.Millisecond
	// suspectInterval is the least time between two times that servers are dialled
	// because others failed.
	suspectInterval = 500 * time.Millisecond
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
	// failed holds when each server last couldn't be reached, since one was, and
	// probed those that Probe had picked.
	failed, probed map[string]time.Time
	servers        int
	state          State
	nextProbe      time.Time
	probes         int
}

// NewTracker returns a tracker of a host that isn't cut off.
func NewTracker() *Tracker {
	return &Tracker{failed: make(map[string]time.Time), probed: make(map[string]time.Time), servers: minProbed}
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
	return t.observe(now, server, connected, false)
}

// ObserveProbe is Observe for a server that Probe picked.
func (t *Tracker) ObserveProbe(now time.Time, server string, connected bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observe(now, server, connected, true)
}

// observe is Observe. The caller holds t.mu.
func (t *Tracker) observe(now time.Time, server string, connected, probe bool) (changed bool) {
	if connected {
		clear(t.failed)
		clear(t.probed)
		changed = t.state.CutOff
		t.state = State{LastConnected: now}
		return changed
	}
	t.failed[server] = now
	if probe {
		t.probed[server] = now
	}
	if !t.state.CutOff {
		old := func(_ string, at time.Time) bool { return now.Sub(at) > failureWindow }
		maps.DeleteFunc(t.failed, old)
		maps.DeleteFunc(t.probed, old)
	}
	t.state.Failed = len(t.failed)
	if t.state.CutOff || !t.suspects() || len(t.probed) < t.atMostListed(minProbed) {
		return false
	}
	t.state.CutOff, t.state.Since = true, now
	t.nextProbe = now.Add(probeInterval)
	return true
}

// suspects reports whether the host may be cut off. The caller holds t.mu.
func (t *Tracker) suspects() bool { return len(t.failed) >= t.atMostListed(minSuspect) }

// atMostListed returns n, or the number of servers if that is smaller.
func (t *Tracker) atMostListed(n int) int { return max(1, min(n, t.servers)) }

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

// ProbeDue reports whether Probe may name servers.
func (t *Tracker) ProbeDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.failed) > 0 && !now.Before(t.nextProbe)
}

// Probe returns which of n servers are to be dialled now: several at once to learn
// whether the host is cut off, one at a time to learn whether it still is. It takes
// the servers in turn; spread, which differs between hosts, is where it begins.
func (t *Tracker) Probe(now time.Time, n, spread int) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n <= 0 || !t.suspects() || now.Before(t.nextProbe) {
		return nil
	}
	count, pause := min(minProbed, n), suspectInterval
	if t.state.CutOff {
		count, pause = 1, probeInterval
	}
	t.nextProbe = now.Add(pause)
	picked := make([]int, count)
	for i := range picked {
		t.probes++
		picked[i] = (spread%n + t.probes%n*(probeStride%n)) % n
	}
	return picked
}
