// Package limit decides whether a new request is admitted. It enforces rate and
// concurrency limits per organisation and per service. A refused request is
// always reported as not run.
//
// Each entry host enforces its share of a limit without messages between hosts.
// A rate is divided equally among the live hosts of the deployment. A count is
// divided in whole numbers, and rendezvous hashing by the limit's name selects
// the hosts that get one more while the remainder lasts, so that the shares add
// up to the limit.
//
// The exception is a limit of less than one request per host. It is not
// divided, because rounding the shares would either lose or multiply it. Its
// home host, the first by the same hashing, counts the requests of all hosts:
// for each of their requests the other hosts obtain a loan from it.
//
// While hosts disagree on which hosts are live, the sum of the shares may
// differ from the limit.
package limit

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

const (
	// burstSeconds is how many seconds of its rate a limit may accumulate.
	burstSeconds = 1.0
	// minIdle is the minimum time that an unused bucket is kept.
	minIdle = 10 * time.Second
	// sweepBatch is how many old buckets are examined for each new one.
	sweepBatch = 2
	// concurrencyRetry is the retry time when a concurrency limit is reached.
	concurrencyRetry = time.Second
)

// kind distinguishes the limits of organisations and services.
type kind byte

const (
	organisation kind = 'o'
	service      kind = 's'
)

type key struct {
	kind kind
	name string
}

func (k key) String() string {
	if k.kind == organisation {
		return "organisation " + k.name
	}
	return "service " + k.name
}

// bucket is a token bucket, updated at each use, with a concurrency count.
type bucket struct {
	key    key
	tokens Tokens
	active int
	// epoch is the epoch of the Limiter for which the shares below were computed.
	epoch       int
	rate        float64
	concurrency int
	// rateShare is in requests per second, burst and slots are in requests.
	rateShare float64
	burst     int
	slots     int
	// home is the other host that counts an undivided limit. It is empty if this
	// host counts the limit or its share of it.
	home string
	// loans holds the loans to other hosts and their expiry times; active
	// includes them.
	loans map[Loan]time.Time
	// newer and older link the buckets in order of last use, or of the last sweep
	// that examined and kept them.
	newer *bucket
	older *bucket
}

// Limiter holds the buckets of one entry host. Buckets that have been idle until
// they were full again are deleted, so that the map holds only limits in recent
// use.
type Limiter struct {
	self string
	// hosts are the live entry hosts that share each limit, including self.
	hosts []string
	// epoch is incremented whenever hosts changes.
	epoch int
	// buckets and the list from newest to oldest hold the same elements.
	buckets map[key]*bucket
	newest  *bucket
	oldest  *bucket
}

// NewLimiter returns the limiter of the host self, initially the only live host.
func NewLimiter(self string) *Limiter {
	return &Limiter{self: self, hosts: []string{self}, epoch: 1, buckets: make(map[key]*bucket)}
}

// SetHosts sets the live hosts that share the limits.
func (g *Limiter) SetHosts(hosts []string) {
	if slices.Equal(hosts, g.hosts) {
		return
	}
	g.hosts = slices.Clone(hosts)
	g.epoch++
}

// Len returns the number of buckets held.
func (g *Limiter) Len() int { return len(g.buckets) }

// Admit admits or refuses a request of this host; each admitted request must be
// ended with Release. It does not check the limits that RemoteLimits returns.
func (g *Limiter) Admit(now time.Time, o *services.Organisation, s *services.Service) *result.Error {
	org := g.bucket(now, key{organisation, o.Name}, o.RequestsPerSecond, o.Concurrency)
	if err := org.check(now); err != nil {
		return err
	}
	svc := g.bucket(now, key{service, s.Name}, s.RequestsPerSecond, s.Concurrency)
	if err := svc.check(now); err != nil {
		return err
	}
	org.acquire()
	svc.acquire()
	return nil
}

// Release ends an admitted request of this host.
func (g *Limiter) Release(o *services.Organisation, s *services.Service) {
	for _, k := range [2]key{{organisation, o.Name}, {service, s.Name}} {
		if b, ok := g.buckets[k]; ok {
			b.active = max(0, b.active-1)
		}
	}
}

// bucket returns the bucket of a limit with its share and tokens updated.
func (g *Limiter) bucket(now time.Time, k key, rate float64, concurrency int) *bucket {
	b, ok := g.buckets[k]
	if !ok {
		g.sweep(now)
		b = &bucket{key: k, tokens: Tokens{Updated: now}}
		g.buckets[k] = b
		g.push(b)
		g.updateShare(b, rate, concurrency)
		b.tokens.Level = float64(b.burst)
		return b
	}
	if b.epoch != g.epoch || b.rate != rate || b.concurrency != concurrency {
		g.updateShare(b, rate, concurrency)
	}
	b.tokens.Refill(now, b.rateShare, max(1, float64(b.burst)))
	g.unlink(b)
	g.push(b)
	return b
}

// updateShare computes this host's share of a limit.
func (g *Limiter) updateShare(b *bucket, rate float64, concurrency int) {
	n := max(1, len(g.hosts))
	b.home = ""
	if n > 1 && belowOnePerHost(rate, concurrency, n) {
		if b.home = rendezvous.First(g.hosts, b.key.String()); b.home == g.self {
			b.home = ""
		}
		n = 1
	}
	rank := 0
	if n > 1 && (rate > 0 || concurrency > 0) {
		rank = rendezvous.Rank(g.hosts, g.self, b.key.String())
	}
	b.epoch, b.rate, b.concurrency = g.epoch, rate, concurrency
	b.rateShare = rate / float64(n)
	b.burst = shareOf(max(1, int(rate*burstSeconds)), rank, n)
	b.slots = shareOf(concurrency, rank, n)
}

// sweep deletes those of the oldest buckets that are evictable. The others move
// to the newest end of the list, so that the next sweep examines other buckets.
func (g *Limiter) sweep(now time.Time) {
	for range sweepBatch {
		b := g.oldest
		if b == nil || now.Sub(b.tokens.Updated) < minIdle {
			return
		}
		g.unlink(b)
		if b.evictable(now) {
			delete(g.buckets, b.key)
			continue
		}
		g.push(b)
	}
}

func (g *Limiter) push(b *bucket) {
	b.older = g.newest
	if g.newest != nil {
		g.newest.newer = b
	}
	g.newest = b
	if g.oldest == nil {
		g.oldest = b
	}
}

func (g *Limiter) unlink(b *bucket) {
	if b.newer != nil {
		b.newer.older = b.older
	} else {
		g.newest = b.older
	}
	if b.older != nil {
		b.older.newer = b.newer
	} else {
		g.oldest = b.newer
	}
	b.newer, b.older = nil, nil
}

// evictable reports whether a new bucket would behave like b.
func (b *bucket) evictable(now time.Time) bool {
	full := float64(b.burst)
	return b.active == 0 && now.Sub(b.tokens.Updated) >= minIdle && (b.rate <= 0 || b.tokens.At(now, b.rateShare, full) >= full)
}

// check returns an error if the limit does not admit another request.
func (b *bucket) check(now time.Time) *result.Error {
	if b.home != "" {
		return nil
	}
	if b.concurrency > 0 && b.active >= b.slots {
		b.expireLoans(now)
	}
	if b.concurrency > 0 && b.active >= b.slots {
		return result.New(result.ConcurrencyLimited, "%s has %d requests in progress here", b.key, b.active).WithRetry(concurrencyRetry)
	}
	if b.rate > 0 && b.tokens.Level < 1 {
		return result.New(result.RateLimited, "%s is over its rate", b.key).WithRetry(b.tokens.Wait(b.rateShare))
	}
	return nil
}

func (b *bucket) acquire() {
	b.active++
	if b.rate > 0 && b.home == "" {
		b.tokens.Level--
	}
}
