package route

import (
	"cmp"
	"slices"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
)

// ringPoints is how often each server stands on the ring of its pool.
const ringPoints = 16

// point is one place of a server on a hash ring.
type point struct {
	hash   uint64
	server *server
}

// pool is the servers of one model or one plain service.
type pool struct {
	near []*server
	far  []*server
	// ring holds the near servers by hash, for prefix affinity.
	ring []point
	// next is the place of the round-robin policy.
	next int
}

// newPool splits servers by zone; ring says whether prefixes matter.
func newPool(home string, servers []*server, ring bool) *pool {
	p := new(pool)
	for _, s := range servers {
		if s.backend.Zone == home {
			p.near = append(p.near, s)
		} else {
			p.far = append(p.far, s)
		}
	}
	if ring {
		p.addRing()
	}
	return p
}

func (p *pool) addRing() {
	p.ring = make([]point, 0, len(p.near)*ringPoints)
	for _, s := range p.near {
		hash := zone.Hash(s.backend.Name)
		for range ringPoints {
			hash = zone.Mix(hash + 0x9e3779b97f4a7c15)
			p.ring = append(p.ring, point{hash: hash, server: s})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
}

// home returns the place on the ring of the first point at or after the prefix.
func (p *pool) home(prefix uint64) int {
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
