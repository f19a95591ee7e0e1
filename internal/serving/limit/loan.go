package limit

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// Limit names a small limit that another host counts.
type Limit struct {
	// Service says that it is a service's limit, not an organisation's.
	Service bool
	Name    string
	// Home is the host that counts it.
	Home string
}

func (l Limit) key() key {
	if l.Service {
		return key{service, l.Name}
	}
	return key{organisation, l.Name}
}

// Loan names one request of another host that a home host has let in.
type Loan struct {
	Origin string
	Number int64
}

// small reports whether a limit has less than one request for each host.
func small(rate float64, concurrency, hosts int) bool {
	return (concurrency > 0 && concurrency < hosts) || (rate > 0 && rate*burstSeconds < float64(hosts))
}

// RemoteLimits returns the limits on a request that other hosts count.
func (g *Limiter) RemoteLimits(o *services.Organisation, s *services.Service) []Limit {
	var away []Limit
	for _, l := range [2]Limit{{Name: o.Name}, {Name: s.Name, Service: true}} {
		if b, ok := g.buckets[l.key()]; ok && b.home != "" {
			l.Home = b.home
			away = append(away, l)
		}
	}
	return away
}

// Lend lets a request of another host in under a limit of that rate and
// concurrency, or refuses it. It is taken back when it is returned, or after
// until, for its host may be lost. A host that does not count the limit
// refuses, since hosts then disagree on who is live.
func (g *Limiter) Lend(now time.Time, l Limit, rate float64, concurrency int, loan Loan, until time.Time) *result.Error {
	b := g.bucket(now, l.key(), rate, concurrency)
	if _, ok := b.loans[loan]; ok {
		return nil
	}
	if b.home != "" {
		return result.New(result.Overloaded, "host %s counts %s", b.home, b.key).WithRetry(concurrencyRetry)
	}
	if failure := b.check(now); failure != nil {
		return failure
	}
	if b.loans == nil {
		b.loans = make(map[Loan]time.Time)
	}
	b.loans[loan] = until
	b.enter()
	return nil
}

// Return ends a loan; one that is not known has ended before.
func (g *Limiter) Return(l Limit, loan Loan) {
	b, ok := g.buckets[l.key()]
	if !ok {
		return
	}
	if _, ok := b.loans[loan]; ok {
		delete(b.loans, loan)
		b.active = max(0, b.active-1)
	}
}

// expire takes back the loans whose time is over.
func (b *bucket) expire(now time.Time) {
	for loan, until := range b.loans {
		if !now.Before(until) {
			delete(b.loans, loan)
			b.active = max(0, b.active-1)
		}
	}
}
