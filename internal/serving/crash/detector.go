// Package crash decides whether a backend server has crashed.
//
// A crashed server refuses connections, but so do all servers if this host is cut
// off from them. A refusal is therefore evidence of a crash only if this host
// reaches another server.
package crash

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

const (
	// maxWitnesses is how many other servers are dialled at most. Some may have
	// crashed too, as under a prompt that crashes each server it is sent to.
	maxWitnesses = 3
	// minZoneWitnesses is how many other servers of the server's zone suffice as
	// witnesses. If there are fewer, those of other zones are dialled too.
	minZoneWitnesses = 2
	// crashedTTL is how long a server whose crash was confirmed is no witness under
	// the same start, unless it answers a call; maxCrashed is how many of these are
	// remembered.
	crashedTTL = 10 * time.Second
	maxCrashed = 1024
)

// Records are what the hosts know of servers that ended.
type Records interface {
	// EndedServers returns the starts of servers that any host found to have ended, apart
	// from those that have answered this host since.
	EndedServers() map[string]bool
	// Answers reports whether a start of a server that was found to have ended has
	// answered a call that this host sent later.
	Answers(start string) bool
	// Ended records that a start of a server has ended.
	Ended(start string)
}

// Detector sends calls to backend servers and tells crashed servers from those
// that this host is cut off from.
type Detector struct {
	exchange.Servers
	timer     timer.Service
	log       logr.Logger
	directory *backend.Directory
	records   Records

	mu sync.Mutex
	// crashed holds when crashes of starts were confirmed here, at most maxCrashed;
	// protected by mu.
	crashed map[string]time.Time
	// watches holds the servers that are watched, at most maxWatches, by their
	// starts; protected by mu.
	watches map[string]*watch
	// checks holds the checks that run, by the starts of their servers; protected by mu.
	checks map[string]*check
}

// check is a check whether a server has crashed. crashed is valid once done is closed.
type check struct {
	done    chan struct{}
	crashed bool
}

var _ exchange.MonitoredServers = (*Detector)(nil)

// NewDetector returns a detector for the servers of a directory.
func NewDetector(t timer.Service, log logr.Logger, servers exchange.Servers, directory *backend.Directory, r Records) *Detector {
	return &Detector{
		Servers: servers, timer: t, log: log, directory: directory, records: r,
		crashed: make(map[string]time.Time), watches: make(map[string]*watch), checks: make(map[string]*check),
	}
}

// Crashed reports whether nothing listens at a server's address while this host
// reaches another server. The calls that a server loses at once share one answer.
func (d *Detector) Crashed(ctx context.Context, s backend.Server) bool {
	start := s.Start()
	d.mu.Lock()
	if d.confirmed(s) {
		d.mu.Unlock()
		return true
	}
	if c, running := d.checks[start]; running {
		d.mu.Unlock()
		<-c.done
		return c.crashed
	}
	c := &check{done: make(chan struct{})}
	d.checks[start] = c
	d.mu.Unlock()
	// Others wait for the check, whoever's call began it.
	crashed, dialled, doubt := d.dial(context.WithoutCancel(ctx), s, 0)
	if !crashed {
		d.log.Info("crash not confirmed", "server", s.ID, "dialled", dialled, "cause", doubt)
	}
	d.mu.Lock()
	delete(d.checks, start)
	d.mu.Unlock()
	c.crashed = crashed
	close(c.done)
	return crashed
}

// confirmed reports whether a crash of a server's start was confirmed here lately. A
// server that does not say when it was born may have started again since. The caller
// holds d.mu.
func (d *Detector) confirmed(s backend.Server) bool {
	return s.Born != 0 && d.knownDown(s.Start())
}

// knownDown reports whether the crash of a start was confirmed here lately and the start
// has answered no call since. Servers of a zone that can be reached again one after
// another look like crashed ones for a moment. The caller holds d.mu.
func (d *Detector) knownDown(start string) bool {
	at, crashed := d.crashed[start]
	return crashed && d.timer.Now().Sub(at) < crashedTTL && !d.records.Answers(start)
}

// dial is Crashed without an answer that is shared. The port must refuse connections
// for a time at least. It also returns how many other servers were dialled, and why the
// crash is not confirmed.
func (d *Detector) dial(ctx context.Context, s backend.Server, atLeast time.Duration) (crashed bool, dialled int, doubt string) {
	if !d.Down(ctx, s) {
		return false, 0, "its port does not refuse connections"
	}
	others := witnesses(s, d.perhapsUp())
	if !d.reachesAny(ctx, others) {
		return false, len(others), "no other server can be reached"
	}
	if atLeast > 0 {
		timer.Pause(d.timer, ctx.Done(), atLeast)
	}
	// The refusal counts only if it lasts longer than a cut that has just ended.
	if !d.Down(ctx, s) {
		return false, len(others), "its port no longer refuses connections"
	}
	d.recordCrashed(s)
	return true, len(others), ""
}

// perhapsUp returns the listed servers that are not known to have crashed.
func (d *Detector) perhapsUp() []backend.Server {
	ended := d.records.EndedServers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(d.listed(), func(s backend.Server) bool {
		return ended[s.Start()] || d.knownDown(s.Start())
	})
}

func (d *Detector) recordCrashed(s backend.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timer.Now()
	maps.DeleteFunc(d.crashed, func(_ string, at time.Time) bool { return now.Sub(at) >= crashedTTL })
	if len(d.crashed) < maxCrashed {
		d.crashed[s.Start()] = now
	}
}

func (d *Detector) listed() []backend.Server {
	var list []backend.Server
	for _, service := range d.directory.Services() {
		list = append(list, d.directory.Usable(service)...)
	}
	return list
}

// reachesAny dials servers at once and reports whether one accepts.
func (d *Detector) reachesAny(ctx context.Context, servers []backend.Server) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(servers))
	for _, s := range servers {
		go func() { results <- d.reaches(ctx, s) }()
	}
	for range servers {
		if <-results {
			return true
		}
	}
	return false
}

// Reaches reports whether a new connection to a listed start of a server can be opened.
func (d *Detector) Reaches(start string) bool {
	listed := d.listed()
	i := slices.IndexFunc(listed, func(s backend.Server) bool { return s.Start() == start })
	return i >= 0 && d.reaches(context.Background(), listed[i])
}

// reaches reports whether a new connection to a server can be opened.
func (d *Detector) reaches(ctx context.Context, s backend.Server) bool {
	opened := false
	d.Down(exchange.WithOpened(ctx, func() { opened = true }), s)
	return opened
}

// witnesses returns the servers to dial, to learn whether this host is cut off: those of
// the same zone, since a host may also be cut off from a single zone, and of each
// other zone in turn if these are too few. In each zone they begin with the next ID
// after that of the server, so that no server is dialled for all others.
func witnesses(s backend.Server, listed []backend.Server) []backend.Server {
	others := slices.DeleteFunc(listed, func(o backend.Server) bool { return o.ID == s.ID || o.Address == s.Address })
	slices.SortFunc(others, func(a, b backend.Server) int {
		return cmp.Or(compareBools(a.ID < s.ID, b.ID < s.ID), cmp.Compare(a.ID, b.ID))
	})
	// turn is how many servers of the same zone come before one.
	turn, inZone := make(map[string]int, len(others)), make(map[string]int)
	for _, o := range others {
		turn[o.ID] = inZone[o.Zone]
		inZone[o.Zone]++
	}
	slices.SortStableFunc(others, func(a, b backend.Server) int {
		if a.Zone == s.Zone || b.Zone == s.Zone {
			return compareBools(a.Zone != s.Zone, b.Zone != s.Zone)
		}
		return cmp.Compare(turn[a.ID], turn[b.ID])
	})
	if near := inZone[s.Zone]; near >= minZoneWitnesses {
		others = others[:near]
	}
	return others[:min(len(others), maxWitnesses)]
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
