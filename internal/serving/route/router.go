// Package route chooses the backend server for a request. A Router is a pure
// state machine. Its inputs are the services text, the load reports in the
// heartbeats, the cache events of the engines, and the requests that this host
// sends. The load of a backend server is reported by its keeper, the component
// that runs the queue of that server.
//
// Reports are delayed, so several hosts see the same idle engine at the same
// time. Two measures keep them from all choosing it: each choice is the better
// of two random servers, and the requests that this host sent after a report are
// added to it. Prefix affinity prefers the engine that served the same prompt
// prefix before, or else the engine at the prefix's position on a hash ring, but
// only while that engine's cost is within a bound of the alternative's. What is
// known of the engines' caches is a hint: hints expire, their number is bounded,
// and a gap in an engine's events invalidates its hints.
//
// A choice tests a bounded number of random servers, independent of the number
// of engines, and takes one binary search on the hash ring. Only if nearly all
// servers of a pool are unusable does it scan the pool.
//
// A server whose connection failed gets no requests for a time that doubles with
// each failure, and then one request at a time until one succeeds.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// crossZonePenalty is the cost of a hop to another zone, as a load in
	// fractions of the slots.
	crossZonePenalty = 1.0
	// maxAffinityCost is the additional load that prefix affinity may accept.
	maxAffinityCost = 0.25
	// ringTries is the number of ring points that are tried for a prefix.
	ringTries = 4
	// randomTries is the number of random servers that are tested before all
	// servers are scanned for a usable one.
	randomTries = 16
	// deadlineTries is the number of random pairs of local and of remote servers
	// that are tested before a request is refused because of its deadline.
	deadlineTries = 4
	// noBackendRetry is the retry delay when no backend server is usable.
	noBackendRetry = time.Second
)

// Policy selects how a router chooses a backend server.
type Policy string

// The policies. RoundRobin and LeastLoaded serve for comparison: the first
// ignores load, zones and prefixes; under the second, hosts that act on the same
// old report all choose the same server.
const (
	Balanced    Policy = "balanced"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
)

// Router chooses backend servers for one entry host.
type Router struct {
	zone   string
	policy Policy
	rng    *rand.Rand
	byName map[string]*server
	// models holds the pools by model, plain those by plain service.
	models map[string]*pool
	plain  map[string]*pool
	hints  hints
	config *services.Text
	// unready holds, by model, the engines that are reported as not ready with
	// it.
	unready map[string][]string
}

// NewRouter returns a router without backend servers for a host in zone.
func NewRouter(zone string, seed uint64, policy Policy) *Router {
	return &Router{
		zone: zone, policy: policy, rng: rand.New(rand.NewPCG(seed, ^seed)),
		byName: make(map[string]*server), hints: newHints(),
	}
}

// SetServices applies a new services text. The state of backend servers that keep
// their name and address is kept.
func (r *Router) SetServices(config *services.Text) {
	previous := r.byName
	r.byName = make(map[string]*server, len(config.Backends()))
	for _, b := range config.Backends() {
		s, ok := previous[b.Name]
		if !ok || s.backend.Address != b.Address {
			s = &server{}
		}
		s.backend = b
		r.byName[b.Name] = s
	}
	r.config = config
	r.rebuildPools()
}

// rebuildPools creates the pools of the current services text.
func (r *Router) rebuildPools() {
	config := r.config
	r.models, r.plain = make(map[string]*pool), make(map[string]*pool)
	for _, service := range config.Services() {
		if _, ok := r.models[service.Model]; service.Kind == services.EngineKind && !ok {
			r.models[service.Model] = newPool(r.zone, r.filterReady(service.Model, r.servers(config, config.EnginesFor(service.Model))), true)
		}
		if service.Kind == services.PlainKind {
			r.plain[service.Name] = newPool(r.zone, r.servers(config, config.ServersFor(service.Name)), false)
		}
	}
}

func (r *Router) servers(config *services.Text, indices []int) []*server {
	servers := make([]*server, len(indices))
	for i, index := range indices {
		servers[i] = r.byName[config.Backends()[index].Name]
	}
	return servers
}

// SetLoad records the load that a keeper reports for its backend server.
func (r *Router) SetLoad(now time.Time, backend string, load Load) {
	if s, ok := r.byName[backend]; ok {
		s.load, s.reportedAt, s.inFlightAtReport = load, now, s.inFlight
		s.advanceEpoch(load.CacheEpoch)
	}
}

// SetLeaving sets whether the platform lists a backend server as leaving.
// Independently of that, the services text can mark it as leaving.
func (r *Router) SetLeaving(backend string, leaving bool) {
	if s, ok := r.byName[backend]; ok {
		s.leaving = leaving
	}
}

// RecordSent records that a request was sent to a backend server. RecordEnd must
// be called when it ends.
func (r *Router) RecordSent(now time.Time, backend string, u request.Urgency) {
	s, ok := r.byName[backend]
	if !ok {
		return
	}
	s.inFlight[u]++
	if s.failures > 0 {
		s.probing = true
		s.backoffUntil = now.Add(probeTimeout)
	}
}

// Outcome describes how a request to a backend server ended.
type Outcome struct {
	Urgency request.Urgency
	// Failed reports whether the backend server could not be reached or the
	// connection to it was lost.
	Failed bool
	// Completed reports whether a complete response arrived, and ServiceTime the
	// time from its first byte to the last.
	Completed   bool
	ServiceTime time.Duration
	// Prefix is the prompt prefix of a request that an engine answered, or 0.
	Prefix uint64
}

// RecordEnd records the end of a request.
func (r *Router) RecordEnd(now time.Time, backend string, o Outcome) {
	s, ok := r.byName[backend]
	if !ok {
		return
	}
	s.inFlight[o.Urgency] = max(0, s.inFlight[o.Urgency]-1)
	switch {
	case o.Failed:
		r.recordFailure(now, s)
	case o.Completed:
		s.failures, s.probing, s.backoffUntil = 0, false, time.Time{}
		s.recordServiceTime(o.ServiceTime)
		if o.Prefix != 0 {
			r.hints.add(now, o.Prefix, s)
		}
	case s.probing:
		s.probing, s.backoffUntil = false, now
	}
}

// recordFailure puts the server in backoff. Failures of requests that were in
// flight at the first failure belong to the same incident and count once.
func (r *Router) recordFailure(now time.Time, s *server) {
	s.generation++
	if s.failures > 0 && !s.probing && now.Before(s.backoffUntil) {
		return
	}
	backoff := min(maxBackoff, minBackoff<<min(s.failures, 10))
	s.failures++
	s.probing = false
	s.backoffUntil = now.Add(backoff/2 + time.Duration(r.rng.Int64N(int64(backoff/2))))
}

// Pick returns the backend server for a request. Servers named in avoid are used
// only if no other is usable. A request that is not expected to get a slot before
// its deadline is refused.
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
	if r.missesDeadline(now, q, s) {
		return r.pickWithinDeadline(now, q, p, avoid)
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

// missesDeadline reports whether the request is expected to get a slot at s only
// after its deadline. RoundRobin ignores deadlines.
func (r *Router) missesDeadline(now time.Time, q *request.Request, s *server) bool {
	return r.policy != RoundRobin && !q.Deadline().IsZero() && now.Add(s.estimateWait(now, q.Urgency())).After(q.Deadline())
}

// pickWithinDeadline tries more servers, and refuses the request if none of them
// meets its deadline.
func (r *Router) pickWithinDeadline(now time.Time, q *request.Request, p *pool, avoid []string) (services.Backend, *result.Error) {
	shortest := time.Duration(0)
	for range deadlineTries {
		for _, servers := range [2][]*server{p.local, p.remote} {
			s := r.betterOfTwo(now, q.Urgency(), servers, avoid)
			if s == nil {
				continue
			}
			if !r.missesDeadline(now, q, s) {
				return s.backend, nil
			}
			if wait := s.estimateWait(now, q.Urgency()); shortest == 0 || wait < shortest {
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
	return r.chooseBalanced(now, q, p, avoid)
}

// chooseBalanced returns the better of two random servers of the router's zone. A
// server of another zone is used only if its cost is lower by more than
// crossZonePenalty, or if it meets the deadline and the local one does not, or if
// there is no usable local one. For engines, prefix affinity may replace a local
// choice.
func (r *Router) chooseBalanced(now time.Time, q *request.Request, p *pool, avoid []string) *server {
	u := q.Urgency()
	best := r.betterOfTwo(now, u, p.local, avoid)
	if best == nil || best.cost(now, u) >= crossZonePenalty || r.missesDeadline(now, q, best) {
		remote := r.betterOfTwo(now, u, p.remote, avoid)
		if best == nil {
			return remote
		}
		if remote != nil && (remote.cost(now, u)+crossZonePenalty < best.cost(now, u) || (r.missesDeadline(now, q, best) && !r.missesDeadline(now, q, remote))) {
			return remote
		}
	}
	if !q.Engine() {
		return best
	}
	return r.applyAffinity(now, q, p, avoid, best)
}

// betterOfTwo returns the one with the lower cost of two different random usable
// servers.
func (r *Router) betterOfTwo(now time.Time, u request.Urgency, servers []*server, avoid []string) *server {
	first := r.randomUsable(now, servers, avoid, nil)
	if first == nil {
		return nil
	}
	second := r.randomUsable(now, servers, avoid, first)
	if second != nil && second.cost(now, u) < first.cost(now, u) {
		return second
	}
	return first
}

// randomUsable returns a random usable server other than exclude. If randomTries
// random servers are not usable, it scans the servers from a random start.
func (r *Router) randomUsable(now time.Time, servers []*server, avoid []string, exclude *server) *server {
	if len(servers) == 0 {
		return nil
	}
	for range randomTries {
		if s := servers[r.rng.IntN(len(servers))]; s != exclude && s.usable(now, avoid) {
			return s
		}
	}
	start := r.rng.IntN(len(servers))
	for i := range servers {
		if s := servers[(start+i)%len(servers)]; s != exclude && s.usable(now, avoid) {
			return s
		}
	}
	return nil
}

// applyAffinity returns a server that is likely to have the prompt's prefix in
// its cache, or best if every such server costs more than the bound allows.
func (r *Router) applyAffinity(now time.Time, q *request.Request, p *pool, avoid []string, best *server) *server {
	u := q.Urgency()
	bound := best.cost(now, u) + maxAffinityCost
	if s := r.hints.find(now, q.Prefix()); s != nil && s.backend.Zone == r.zone && s.usable(now, avoid) && s.cost(now, u) <= bound {
		return s
	}
	if len(p.ring) == 0 {
		return best
	}
	first := p.ringIndex(q.Prefix())
	for step := range ringTries {
		s := p.ring[(first+step)%len(p.ring)].server
		if s.usable(now, avoid) && s.cost(now, u) <= bound {
			return s
		}
	}
	return best
}
