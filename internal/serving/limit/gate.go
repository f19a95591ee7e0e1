// Package limit decides whether a new request may enter: rates and concurrency
// per organisation and per service. A refusal is always "not run".
//
// Limits are enforced per entry host: each host admits the share of a limit
// that falls to it, the limit divided by the live hosts of the deployment.
package limit

import (
	"math"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// burstSeconds is how many seconds of its rate a bucket may save up.
const burstSeconds = 1.0

// bucket is a token bucket with a concurrency count; source of the algorithm:
// the usual token bucket as in RFC 2697, with one rate.
type bucket struct {
	tokens  float64
	updated time.Time
	active  int
}

// Gate holds the buckets of one entry host.
type Gate struct {
	// hosts is the number of live entry hosts that share each limit, at least 1.
	hosts   int
	buckets map[string]*bucket
}

// NewGate returns a gate without history.
func NewGate() *Gate { return &Gate{hosts: 1, buckets: make(map[string]*bucket)} }

// SetHosts tells how many hosts share the limits.
func (g *Gate) SetHosts(n int) { g.hosts = max(1, n) }

// Admit lets a request in or refuses it; Leave must follow each admission.
func (g *Gate) Admit(now time.Time, o *services.Organisation, s *services.Service) *result.Error {
	org, service := g.bucket("o/"+o.Name), g.bucket("s/"+s.Name)
	if err := g.check(now, org, o.RequestsPerSecond, o.Concurrency, "organisation "+o.Name); err != nil {
		return err
	}
	if err := g.check(now, service, s.RequestsPerSecond, s.Concurrency, "service "+s.Name); err != nil {
		return err
	}
	for _, b := range []*bucket{org, service} {
		b.tokens--
		b.active++
	}
	return nil
}

// Leave ends an admitted request.
func (g *Gate) Leave(o *services.Organisation, s *services.Service) {
	g.bucket("o/"+o.Name).active--
	g.bucket("s/"+s.Name).active--
}

func (g *Gate) bucket(name string) *bucket {
	b, ok := g.buckets[name]
	if !ok {
		b = &bucket{}
		g.buckets[name] = b
	}
	return b
}

func (g *Gate) check(now time.Time, b *bucket, rate float64, concurrency int, what string) *result.Error {
	if concurrency > 0 && b.active >= max(1, concurrency/g.hosts) {
		return result.New(result.ConcurrencyLimited, "%s has %d requests in progress here", what, b.active).WithRetry(time.Second)
	}
	if rate <= 0 {
		b.tokens = 1
		return nil
	}
	rate /= float64(g.hosts)
	burst := math.Max(1, rate*burstSeconds)
	if b.updated.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = math.Min(burst, b.tokens+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
		return result.New(result.RateLimited, "%s is over its rate", what).WithRetry(wait)
	}
	return nil
}
