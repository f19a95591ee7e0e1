package route

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// at returns the server at a place, near ones first.
func (p *pool) at(i int) *server {
	if i < len(p.near) {
		return p.near[i]
	}
	return p.far[i-len(p.near)]
}

// roundRobin returns the next server that is up, whatever its zone and load.
func (p *pool) roundRobin(now time.Time, avoid []string) *server {
	n := len(p.near) + len(p.far)
	for range n {
		s := p.at(p.next % n)
		p.next++
		if s.usable(now, avoid) {
			return s
		}
	}
	return nil
}

// leastLoaded walks all servers for the one with the lowest cost.
func (p *pool) leastLoaded(now time.Time, u request.Urgency, avoid []string) *server {
	var best *server
	for i := range len(p.near) + len(p.far) {
		s := p.at(i)
		if s.usable(now, avoid) && (best == nil || s.cost(now, u) < best.cost(now, u)) {
			best = s
		}
	}
	return best
}
