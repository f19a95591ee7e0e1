package route

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// serverAt returns the server with index i. The indices of the local servers
// come before those of the remote ones.
func (p *pool) serverAt(i int) *server {
	if i < len(p.local) {
		return p.local[i]
	}
	return p.remote[i-len(p.local)]
}

// roundRobin returns the next usable server regardless of its zone and load.
func (p *pool) roundRobin(now time.Time, avoid []string) *server {
	n := len(p.local) + len(p.remote)
	for range n {
		s := p.serverAt(p.nextIndex % n)
		p.nextIndex++
		if s.usable(now, avoid) {
			return s
		}
	}
	return nil
}

// leastLoaded scans all servers and returns the usable one with the lowest cost.
func (p *pool) leastLoaded(now time.Time, u request.Urgency, avoid []string) *server {
	var best *server
	for i := range len(p.local) + len(p.remote) {
		s := p.serverAt(i)
		if s.usable(now, avoid) && (best == nil || s.cost(now, u) < best.cost(now, u)) {
			best = s
		}
	}
	return best
}
