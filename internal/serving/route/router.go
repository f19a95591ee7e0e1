// Package route chooses the back end for a request. A Router is a pure state
// machine over the services text, the loads that keepers report with their
// heartbeats, and what this host itself has sent since.
//
// Reports lag, so several hosts see the same idle engine at the same moment.
// Two things keep them from all choosing it: each choice is the better of two
// drawn at random, and what this host sent after a report counts on top of it.
// Prefix affinity prefers the engine that served the same prompt head before,
// but only while that engine's load is within a bound of the alternative's.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// farPenalty is the load, in shares of the slots, that a hop to another
	// zone is worth.
	farPenalty = 1.0
	// affinityBound is the extra load that prefix affinity may cost.
	affinityBound = 0.25
	// downFor is how long a back end is left out after a failed connection.
	downFor = 2 * time.Second
	// noBackendRetry is the retry time when every back end is out.
	noBackendRetry = time.Second
)

// Load is what a keeper last reported of its back end.
type Load struct {
	Running int
	Waiting int
	Batch   int
}

// server is what the router knows of one back end.
type server struct {
	backend services.Backend
	load    Load
	// sent counts requests of this host in flight; sentAtReport is the part
	// of them that the last report can contain.
	sent      int
	downUntil time.Time
	leaving   bool
}

// Router chooses back ends for one entry host.
type Router struct {
	zone   string
	random *rand.Rand
	// servers is indexed like the services text's back ends.
	servers []*server
	byName  map[string]*server
	text    *services.Text
}

// NewRouter returns the router of a host in zone; it knows no back ends yet.
func NewRouter(zone string, seed uint64) *Router {
	return &Router{zone: zone, random: rand.New(rand.NewPCG(seed, ^seed)), byName: make(map[string]*server)}
}

// SetText takes a new services text; what is known of back ends that stay is kept.
func (r *Router) SetText(text *services.Text) {
	known := r.byName
	r.text = text
	r.servers = make([]*server, len(text.Backends()))
	r.byName = make(map[string]*server, len(text.Backends()))
	for i, b := range text.Backends() {
		s, ok := known[b.Name]
		if !ok {
			s = &server{}
		}
		s.backend = b
		s.leaving = b.Leaving
		r.servers[i] = s
		r.byName[b.Name] = s
	}
}

// Reported takes a keeper's report on a back end.
func (r *Router) Reported(backend string, load Load) {
	if s, ok := r.byName[backend]; ok {
		s.load = load
	}
}

// Left marks a back end as leaving or staying.
func (r *Router) Left(backend string, leaving bool) {
	if s, ok := r.byName[backend]; ok {
		s.leaving = leaving || s.backend.Leaving
	}
}

// Sent notes that a request went to a back end, Ended that it ended.
func (r *Router) Sent(backend string) {
	if s, ok := r.byName[backend]; ok {
		s.sent++
	}
}

// Ended notes that a request ended; failed says that the back end could not be
// reached.
func (r *Router) Ended(now time.Time, backend string, failed bool) {
	s, ok := r.byName[backend]
	if !ok {
		return
	}
	s.sent = max(0, s.sent-1)
	if failed {
		s.downUntil = now.Add(downFor)
	}
}

// Pick returns the back end for a request. Names in avoid are left out if
// another one is left.
func (r *Router) Pick(now time.Time, q *request.Request, avoid []string) (services.Backend, *result.Error) {
	candidates := r.candidates(q)
	if s := r.choose(now, q, candidates, avoid); s != nil {
		return s.backend, nil
	}
	if s := r.choose(now, q, candidates, nil); s != nil {
		return s.backend, nil
	}
	return services.Backend{}, result.New(result.NoBackend, "no back end for %s is up", q.Service()).WithRetry(noBackendRetry)
}

func (r *Router) candidates(q *request.Request) []int {
	if r.text == nil {
		return nil
	}
	if q.Engine() {
		return r.text.EnginesFor(q.Model())
	}
	return r.text.ServersFor(q.Service())
}

// choose draws two servers of the own zone and takes the better; a server of
// another zone wins only if it is better by farPenalty.
func (r *Router) choose(now time.Time, q *request.Request, candidates []int, avoid []string) *server {
	near := r.draw(now, candidates, avoid, true)
	far := r.draw(now, candidates, avoid, false)
	best := near
	if best == nil || (far != nil && far.cost()+farPenalty < near.cost()) {
		best = far
	}
	if best == nil || !q.Engine() {
		return best
	}
	if s := r.affine(now, q, candidates, avoid); s != nil && s.cost() <= best.cost()+affinityBound {
		return s
	}
	return best
}

// draw returns the better of two random usable servers, in or out of the zone.
func (r *Router) draw(now time.Time, candidates []int, avoid []string, near bool) *server {
	first := r.pickOne(now, candidates, avoid, near)
	second := r.pickOne(now, candidates, avoid, near)
	if first == nil || (second != nil && second.cost() < first.cost()) {
		return second
	}
	return first
}

// pickOne walks from a random place to the first usable server.
func (r *Router) pickOne(now time.Time, candidates []int, avoid []string, near bool) *server {
	if len(candidates) == 0 {
		return nil
	}
	start := r.random.IntN(len(candidates))
	for i := range candidates {
		s := r.servers[candidates[(start+i)%len(candidates)]]
		if (s.backend.Zone == r.zone) == near && s.usable(now, avoid) {
			return s
		}
	}
	return nil
}

// affine returns the own zone's server that the prompt's head belongs to.
func (r *Router) affine(now time.Time, q *request.Request, candidates []int, avoid []string) *server {
	var best *server
	var bestScore uint64
	for _, i := range candidates {
		s := r.servers[i]
		if s.backend.Zone != r.zone || !s.usable(now, avoid) {
			continue
		}
		if score := zone.Mix(q.Prefix() ^ zone.Hash(s.backend.Name)); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func (s *server) usable(now time.Time, avoid []string) bool {
	if s.leaving || now.Before(s.downUntil) {
		return false
	}
	for _, name := range avoid {
		if name == s.backend.Name {
			return false
		}
	}
	return true
}

// cost is the load in shares of the slots, as this host believes it.
func (s *server) cost() float64 {
	online := max(s.load.Running-s.load.Batch+s.load.Waiting, s.sent)
	return float64(online) / float64(s.backend.Slots)
}
