// Package crash decides whether a backend server has crashed.
//
// A crashed server refuses connections, but so do all servers if this host is cut
// off from them. A refusal is therefore evidence of a crash only if this host
// reaches another server.
package crash

import (
	"cmp"
	"context"
	"slices"
	"sync"

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
)

// Detector sends calls to backend servers and tells crashed servers from those
// that this host is cut off from.
type Detector struct {
	exchange.Servers
	timer     timer.Service
	log       logr.Logger
	directory *backend.Directory

	mu sync.Mutex
	// watches holds the servers that are watched, at most maxWatches, by their
	// starts; protected by mu.
	watches map[string]*watch
}

var _ exchange.MonitoredServers = (*Detector)(nil)

// NewDetector returns a detector for the servers of a directory.
func NewDetector(t timer.Service, log logr.Logger, servers exchange.Servers, directory *backend.Directory) *Detector {
	return &Detector{Servers: servers, timer: t, log: log, directory: directory, watches: make(map[string]*watch)}
}

// Crashed reports whether nothing listens at a server's address while this host
// reaches another server.
func (d *Detector) Crashed(ctx context.Context, s backend.Server) bool {
	crashed, dialled, doubt := d.check(ctx, s)
	if !crashed {
		d.log.Info("crash not confirmed", "server", s.ID, "dialled", dialled, "cause", doubt)
	}
	return crashed
}

// check is Crashed. It also returns how many other servers were dialled, and why the
// crash is not confirmed.
func (d *Detector) check(ctx context.Context, s backend.Server) (crashed bool, dialled int, doubt string) {
	if !d.Down(ctx, s) {
		return false, 0, "its port does not refuse connections"
	}
	others := witnesses(s, d.listed())
	if !d.reachesAny(ctx, others) {
		return false, len(others), "no other server can be reached"
	}
	// The refusal counts only if it lasts longer than a cut that has just ended.
	if !d.Down(ctx, s) {
		return false, len(others), "its port no longer refuses connections"
	}
	return true, len(others), ""
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

// reaches reports whether a new connection to a server can be opened.
func (d *Detector) reaches(ctx context.Context, s backend.Server) bool {
	opened := false
	d.Down(exchange.WithOpened(ctx, func() { opened = true }), s)
	return opened
}

// witnesses returns the servers to dial, to learn whether this host is cut off: those of
// the same zone, since a host may also be cut off from a single zone, and of other
// zones if these are too few. The first ones by ID after that of the server are
// chosen, so that no server is dialled for all others.
func witnesses(s backend.Server, listed []backend.Server) []backend.Server {
	others := slices.DeleteFunc(slices.Clone(listed), func(o backend.Server) bool { return o.ID == s.ID || o.Address == s.Address })
	distance := func(o backend.Server) int {
		n := 0
		if o.Zone != s.Zone {
			n += 2
		}
		if o.ID < s.ID {
			n++
		}
		return n
	}
	slices.SortFunc(others, func(a, b backend.Server) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.ID, b.ID))
	})
	near := 0
	for near < len(others) && others[near].Zone == s.Zone {
		near++
	}
	if near >= minZoneWitnesses {
		others = others[:near]
	}
	return others[:min(len(others), maxWitnesses)]
}
