// Package limit decides whether a new request may enter: rates and concurrency
// per organisation and per service. A refusal is always "not run".
//
// Limits are enforced per entry host without messages between hosts: each host
// admits the share of a limit that falls to it. A rate is divided by the live
// hosts of the deployment; a count is divided in whole numbers, and rendezvous
// hashing by the limit's name says which hosts get one of the remainder. So
// the shares add up to the limit, and a limit smaller than the number of hosts
// is neither lost nor multiplied. A limit below one for each host is not divided:
// its home host, the first by the same hashing, counts it alone, and lends the
// others what they ask for.
//
// While hosts disagree on who is live, the sum may differ from the limit.
package limit

import (
	"math"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

const (
	// burstSeconds is how many seconds of its rate a limit may save up.
	burstSeconds = 1.0
	// idleAfter is how long an unused bucket is kept at least.
	idleAfter = 10 * time.Second
	// sweepStep is how many buckets one new bucket looks at to forget.
	sweepStep = 2
	// concurrencyRetry is the retry time at a full concurrency limit.
	concurrencyRetry = time.Second
)

// kind tells limits of organisations and of services apart.
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

// bucket is a token bucket with a concurrency count; source of the algorithm:
// the usual token bucket as in RFC 2697, with one rate.
type bucket struct {
	key    key
	tokens float64
	// updated is the time of the last use.
	updated time.Time
	active  int
	// epoch is that of the gate when the shares below were computed.
	epoch       int
	rate        float64
	concurrency int
	// rateShare is in requests a second, burst and slots in whole requests.
	rateShare float64
	burst     int
	slots     int
	// home is the host that counts a small limit, empty if this host counts.
	home string
	// loans are the requests of other hosts among active, with when each is
	// taken back.
	loans map[Loan]time.Time
	// newer and older link the buckets by last use.
	newer *bucket
	older *bucket
}

// Limiter holds the buckets of one entry host. Buckets that were idle until they
// were full again are forgotten, so that the map holds what was in use lately.
type Limiter struct {
	self string
	// hosts are the live entry hosts that share each limit, self among them.
	hosts []string
	epoch int
	// buckets and the list from newest to oldest hold the same buckets.
	buckets map[key]*bucket
	newest  *bucket
	oldest  *bucket
}

// NewLimiter returns the gate of a host, without history.
func NewLimiter(self string) *Limiter {
	return &Limiter{self: self, hosts: []string{self}, epoch: 1, buckets: make(map[key]*bucket)}
}

// SetHosts tells which live hosts share the limits.
func (g *Limiter) SetHosts(hosts []string) {
	if slices.Equal(hosts, g.hosts) {
		return
	}
	g.hosts = slices.Clone(hosts)
	g.epoch++
}

// Len returns the number of buckets.
func (g *Limiter) Len() int { return len(g.buckets) }

// Admit lets a request of this host in or refuses it; Leave must follow each
// admission. Limits that Away lists are not checked here.
func (g *Limiter) Admit(now time.Time, o *services.Organisation, s *services.Service) *result.Error {
	org := g.bucket(now, key{organisation, o.Name}, o.RequestsPerSecond, o.Concurrency)
	if err := org.check(now); err != nil {
		return err
	}
	one := g.bucket(now, key{service, s.Name}, s.RequestsPerSecond, s.Concurrency)
	if err := one.check(now); err != nil {
		return err
	}
	org.enter()
	one.enter()
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

// bucket returns the up-to-date bucket of a limit.
func (g *Limiter) bucket(now time.Time, k key, rate float64, concurrency int) *bucket {
	b, ok := g.buckets[k]
	if !ok {
		g.sweep(now)
		b = &bucket{key: k, updated: now}
		g.buckets[k] = b
		g.push(b)
		g.share(b, rate, concurrency)
		b.tokens = float64(b.burst)
		return b
	}
	if b.epoch != g.epoch || b.rate != rate || b.concurrency != concurrency {
		g.share(b, rate, concurrency)
	}
	b.tokens = math.Min(math.Max(1, float64(b.burst)), b.tokens+b.rateShare*now.Sub(b.updated).Seconds())
	b.updated = now
	g.unlink(b)
	g.push(b)
	return b
}

// share computes this host's part of a limit.
func (g *Limiter) share(b *bucket, rate float64, concurrency int) {
	n := max(1, len(g.hosts))
	b.home = ""
	if n > 1 && small(rate, concurrency, n) {
		if b.home = zone.First(g.hosts, b.key.String()); b.home == g.self {
			b.home = ""
		}
		n = 1
	}
	rank := 0
	if n > 1 && (rate > 0 || concurrency > 0) {
		rank = zone.Rank(g.hosts, g.self, b.key.String())
	}
	b.epoch, b.rate, b.concurrency = g.epoch, rate, concurrency
	b.rateShare = rate / float64(n)
	b.burst = shareOf(max(1, int(rate*burstSeconds)), rank, n)
	b.slots = shareOf(concurrency, rank, n)
}

// sweep forgets some of the oldest buckets if they are idle and full again;
// the others go to the newer end, so that none hides those behind it.
func (g *Limiter) sweep(now time.Time) {
	for range sweepStep {
		b := g.oldest
		if b == nil || now.Sub(b.updated) < idleAfter {
			return
		}
		g.unlink(b)
		if b.forgettable(now) {
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

// forgettable reports whether a new bucket would be the same as b.
func (b *bucket) forgettable(now time.Time) bool {
	idle := now.Sub(b.updated)
	return b.active == 0 && idle >= idleAfter && (b.rate <= 0 || b.tokens+b.rateShare*idle.Seconds() >= float64(b.burst))
}

// check refuses a request that a limit does not let in.
func (b *bucket) check(now time.Time) *result.Error {
	if b.home != "" {
		return nil
	}
	if b.concurrency > 0 && b.active >= b.slots {
		b.expire(now)
	}
	if b.concurrency > 0 && b.active >= b.slots {
		return result.New(result.ConcurrencyLimited, "%s has %d requests in progress here", b.key, b.active).WithRetry(concurrencyRetry)
	}
	if b.rate > 0 && b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / b.rateShare * float64(time.Second))
		return result.New(result.RateLimited, "%s is over its rate", b.key).WithRetry(wait)
	}
	return nil
}

func (b *bucket) enter() {
	b.active++
	if b.rate > 0 && b.home == "" {
		b.tokens--
	}
}
