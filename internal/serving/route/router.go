// Package route chooses the back end for a request. A Router is a pure state
// machine over the services text, the loads that keepers report with their
// heartbeats, and what this host itself has sent since.
//
// Reports lag, so several hosts see the same idle engine at the same moment.
// Two things keep them from all choosing it: each choice is the better of two
// drawn at random, and what this host sent after a report counts on top of it.
// Prefix affinity prefers the engine that served the same prompt head before,
// or else the engine at the prefix's place on a hash ring, but only while that
// engine's load is within a bound of the alternative's. Cache knowledge is a
// hint: it ages, its size is bounded, and a gap in an engine's events voids it.
//
// A request costs a fixed number of draws and one binary search, whatever the
// number of engines. Only when nearly all servers of a pool are out does a
// choice walk the pool.
//
// A server whose connection failed is left out for a time that doubles with
// each failure, then gets one request at a time until one succeeds.
package route

import (
	"math/rand/v2"
	"time"

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
	// ringSteps is how many ring places are tried for one prefix.
	ringSteps = 4
	// drawTries is how many random draws look for a usable server.
	drawTries = 16
	// refusalDraws is how many pairs are drawn before a deadline is refused.
	refusalDraws = 4
	// noBackendRetry is the retry time when every back end is out.
	noBackendRetry = time.Second
)

// Policy says how a router chooses.
type Policy string

// The policies. RoundRobin and LeastLoaded are for comparison: the first
// ignores load, zones and prefixes, the second herds on one old report.
const (
	Balanced    Policy = "balanced"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
)

// Router chooses back ends for one entry host.
type Router struct {
	zone   string
	policy Policy
	random *rand.Rand
	byName map[string]*server
	// models and plain hold the pools by model and by plain service.
	models map[string]*pool
	plain  map[string]*pool
	hints  hints
	text   *services.Text
	// unready holds, by model, the engines that are said not to be ready with it.
	unready map[string][]string
}

// NewRouter returns the router of a host in zone; it knows no back ends yet.
func NewRouter(zone string, seed uint64, policy Policy) *Router {
	return &Router{
		zone: zone, policy: policy, random: rand.New(rand.NewPCG(seed, ^seed)),
		byName: make(map[string]*server), hints: newHints(),
	}
}

// SetServices takes a new services text; what is known of back ends that stay is kept.
func (r *Router) SetServices(text *services.Text) {
	known := r.byName
	r.byName = make(map[string]*server, len(text.Backends()))
	for _, b := range text.Backends() {
		s, ok := known[b.Name]
		if !ok || s.backend.Address != b.Address {
			s = &server{}
		}
		s.backend = b
		r.byName[b.Name] = s
	}
	r.text = text
	r.pools()
}

// pools makes the pools of the text.
func (r *Router) pools() {
	text := r.text
	r.models, r.plain = make(map[string]*pool), make(map[string]*pool)
	for _, one := range text.Services() {
		if _, ok := r.models[one.Model]; one.Kind == services.EngineKind && !ok {
			r.models[one.Model] = newPool(r.zone, r.readyOnes(one.Model, r.list(text, text.EnginesFor(one.Model))), true)
		}
		if one.Kind == services.PlainKind {
			r.plain[one.Name] = newPool(r.zone, r.list(text, text.ServersFor(one.Name)), false)
		}
	}
}

func (r *Router) list(text *services.Text, indices []int) []*server {
	list := make([]*server, len(indices))
	for i, index := range indices {
		list[i] = r.byName[text.Backends()[index].Name]
	}
	return list
}

// SetLoad takes a keeper's report on a back end.
func (r *Router) SetLoad(now time.Time, backend string, load Load) {
	if s, ok := r.byName[backend]; ok {
		s.load, s.reported, s.sentAtReport = load, now, s.sent
		s.began(load.CacheEpoch)
	}
}

// SetLeaving tells whether the platform lists a back end as leaving; the services
// text says so on its own.
func (r *Router) SetLeaving(backend string, leaving bool) {
	if s, ok := r.byName[backend]; ok {
		s.leaving = leaving
	}
}

// RecordSent notes that a request went to a back end; Ended must follow.
func (r *Router) RecordSent(now time.Time, backend string, u request.Urgency) {
	s, ok := r.byName[backend]
	if !ok {
		return
	}
	s.sent[u]++
	if s.failures > 0 {
		s.probing = true
		s.downUntil = now.Add(probeFor)
	}
}

// Outcome is how a request at a back end ended.
type Outcome struct {
	Urgency request.Urgency
	// Failed says that the back end could not be reached or was lost.
	Failed bool
	// Completed says that a whole answer came, Service how long it took from the
	// first byte to the last.
	Completed   bool
	ServiceTime time.Duration
	// Prefix is the prefix of an engine's request that was answered.
	Prefix uint64
}

// RecordEnd notes that a request ended.
func (r *Router) RecordEnd(now time.Time, backend string, o Outcome) {
	s, ok := r.byName[backend]
	if !ok {
		return
	}
	s.sent[o.Urgency] = max(0, s.sent[o.Urgency]-1)
	switch {
	case o.Failed:
		r.failed(now, s)
	case o.Completed:
		s.failures, s.probing, s.downUntil = 0, false, time.Time{}
		s.served(o.ServiceTime)
		if o.Prefix != 0 {
			r.hints.add(now, o.Prefix, s)
		}
	case s.probing:
		s.probing, s.downUntil = false, now
	}
}

// failed leaves the server out. Failures of requests that were in flight at
// the first failure belong to the same incident and count once.
func (r *Router) failed(now time.Time, s *server) {
	s.generation++
	if s.failures > 0 && !s.probing && now.Before(s.downUntil) {
		return
	}
	down := min(longestDown, shortestDown<<min(s.failures, 10))
	s.failures++
	s.probing = false
	s.downUntil = now.Add(down/2 + time.Duration(r.random.Int64N(int64(down/2))))
}

// Pick returns the back end for a request. Names in avoid are left out if
// another one is left. A request that can't be answered before its deadline
// is refused.
func (r *Router) Pick(now time.Time, q *request.Request, avoid []string) (services.Backend, *result.Error) {
	p := r.pool(q)
	if p == nil {
		return services.Backend{}, noBackend(q)
	}
	s := r.choose(now, q, p, avoid)
	if s == nil && len(avoid) > 0 {
		s = r.choose(now, q, p, nil)
	}
	if s == nil {
		return services.Backend{}, noBackend(q)
	}
	if r.late(now, q, s) {
		return r.lastChance(now, q, p, avoid)
	}
	return s.backend, nil
}

func noBackend(q *request.Request) *result.Error {
	return result.New(result.NoBackend, "no back end for %s is up", q.Service()).WithRetry(noBackendRetry)
}

func (r *Router) pool(q *request.Request) *pool {
	if q.Engine() {
		return r.models[q.Model()]
	}
	return r.plain[q.Service()]
}

// late reports whether the request's deadline passes before it gets a slot.
func (r *Router) late(now time.Time, q *request.Request, s *server) bool {
	return r.policy != RoundRobin && !q.Deadline().IsZero() && now.Add(s.wait(now, q.Urgency())).After(q.Deadline())
}

// lastChance looks at more servers before it refuses the request.
func (r *Router) lastChance(now time.Time, q *request.Request, p *pool, avoid []string) (services.Backend, *result.Error) {
	shortest := time.Duration(0)
	for range refusalDraws {
		for _, servers := range [2][]*server{p.near, p.far} {
			s := r.draw(now, q.Urgency(), servers, avoid)
			if s == nil {
				continue
			}
			if !r.late(now, q, s) {
				return s.backend, nil
			}
			if wait := s.wait(now, q.Urgency()); shortest == 0 || wait < shortest {
				shortest = wait
			}
		}
	}
	return services.Backend{}, result.New(result.DeadlineTooShort, "the wait for %s is longer than the deadline", q.Service()).
		WithRetry(max(noBackendRetry, shortest))
}

func (r *Router) choose(now time.Time, q *request.Request, p *pool, avoid []string) *server {
	switch r.policy {
	case RoundRobin:
		return p.roundRobin(now, avoid)
	case LeastLoaded:
		return p.leastLoaded(now, q.Urgency(), avoid)
	}
	return r.balanced(now, q, p, avoid)
}

// balanced takes the better of two servers of the own zone; one of another
// zone wins only if it is better by farPenalty, or meets the deadline alone.
func (r *Router) balanced(now time.Time, q *request.Request, p *pool, avoid []string) *server {
	u := q.Urgency()
	best := r.draw(now, u, p.near, avoid)
	if best == nil || best.cost(now, u) >= farPenalty || r.late(now, q, best) {
		far := r.draw(now, u, p.far, avoid)
		if best == nil {
			return far
		}
		if far != nil && (far.cost(now, u)+farPenalty < best.cost(now, u) || (r.late(now, q, best) && !r.late(now, q, far))) {
			return far
		}
	}
	if !q.Engine() {
		return best
	}
	return r.affine(now, q, p, avoid, best)
}

// draw returns the better of two different random usable servers.
func (r *Router) draw(now time.Time, u request.Urgency, servers []*server, avoid []string) *server {
	first := r.drawOne(now, servers, avoid, nil)
	if first == nil {
		return nil
	}
	second := r.drawOne(now, servers, avoid, first)
	if second != nil && second.cost(now, u) < first.cost(now, u) {
		return second
	}
	return first
}

// drawOne draws at random; if no draw hits, it walks from a random place.
func (r *Router) drawOne(now time.Time, servers []*server, avoid []string, except *server) *server {
	if len(servers) == 0 {
		return nil
	}
	for range drawTries {
		if s := servers[r.random.IntN(len(servers))]; s != except && s.usable(now, avoid) {
			return s
		}
	}
	start := r.random.IntN(len(servers))
	for i := range servers {
		if s := servers[(start+i)%len(servers)]; s != except && s.usable(now, avoid) {
			return s
		}
	}
	return nil
}

// affine returns the server that holds the prompt's head, or best if that one
// costs more than the bound allows.
func (r *Router) affine(now time.Time, q *request.Request, p *pool, avoid []string, best *server) *server {
	u := q.Urgency()
	bound := best.cost(now, u) + affinityBound
	if s := r.hints.find(now, q.Prefix()); s != nil && s.backend.Zone == r.zone && s.usable(now, avoid) && s.cost(now, u) <= bound {
		return s
	}
	if len(p.ring) == 0 {
		return best
	}
	at := p.home(q.Prefix())
	for step := range ringSteps {
		s := p.ring[(at+step)%len(p.ring)].server
		if s.usable(now, avoid) && s.cost(now, u) <= bound {
			return s
		}
	}
	return best
}
