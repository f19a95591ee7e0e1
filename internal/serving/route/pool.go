package route

import (
	"cmp"
	"slices"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
)

// pointsPerServer is the number of points of each server on the hash ring.
const pointsPerServer = 16

// point is one position of a server on a hash ring.
type point struct {
	hash   uint64
	server *server
}

// pool holds the servers of one model or one plain service.
type pool struct {
	// local holds the servers of the router's zone, remote those of other zones.
	local  []*server
	remote []*server
	// ring holds the points of the local servers, sorted by hash, for prefix
	// affinity.
	ring []point
	// nextIndex is the position of the round-robin policy.
	nextIndex int
}

// newPool splits servers by zone. withRing adds a hash ring for prefix affinity.
func newPool(localZone string, servers []*server, withRing bool) *pool {
	p := new(pool)
	for _, s := range servers {
		if s.backend.Zone == localZone {
			p.local = append(p.local, s)
		} else {
			p.remote = append(p.remote, s)
		}
	}
	if withRing {
		p.addRing()
	}
	return p
}

func (p *pool) addRing() {
	p.ring = make([]point, 0, len(p.local)*pointsPerServer)
	for _, s := range p.local {
		hash := rendezvous.Hash(s.backend.Name)
		for range pointsPerServer {
			hash = rendezvous.Mix(hash + 0x9e3779b97f4a7c15)
			p.ring = append(p.ring, point{hash: hash, server: s})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
}

// ringIndex returns the index of the first point on the ring at or after the
// prefix.
func (p *pool) ringIndex(prefix uint64) int {
	low, high := 0, len(p.ring)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if p.ring[middle].hash < prefix {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(p.ring) {
		return 0
	}
	return low
}
