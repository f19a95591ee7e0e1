package limit

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// Limit identifies an undivided limit that another host counts.
type Limit struct {
	// Service is true for the limit of a service, false for that of an
	// organisation.
	Service bool
	Name    string
	// Home is the host that counts the limit.
	Home string
}

func (l Limit) key() key {
	if l.Service {
		return key{service, l.Name}
	}
	return key{organisation, l.Name}
}

// Loan identifies one request of another host that the home host has admitted.
// Origin is that other host, which numbers its requests.
type Loan struct {
	Origin string
	Number int64
}

// belowOnePerHost reports whether a limit allows less than one request per
// host.
func belowOnePerHost(rate float64, concurrency, hosts int) bool {
	return (concurrency > 0 && concurrency < hosts) || (rate > 0 && rate*burstSeconds < float64(hosts))
}

// RemoteLimits returns the limits on a request that other hosts count.
func (g *Limiter) RemoteLimits(o *services.Organisation, s *services.Service) []Limit {
	var remote []Limit
	for _, l := range [2]Limit{{Name: o.Name}, {Name: s.Name, Service: true}} {
		if b, ok := g.buckets[l.key()]; ok && b.home != "" {
			l.Home = b.home
			remote = append(remote, l)
		}
	}
	return remote
}

// Lend admits or refuses a request of another host under a limit of the given
// rate and concurrency. The loan ends when it is returned, or at the latest at
// until, because the other host may have failed. If this host does not count the
// limit, the two disagree on which hosts are live, and Lend refuses.
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
	b.acquire()
	return nil
}

// Return ends a loan. A loan that does not exist has already ended.
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

// expireLoans ends the loans that were not returned in time.
func (b *bucket) expireLoans(now time.Time) {
	for loan, until := range b.loans {
		if !now.Before(until) {
			delete(b.loans, loan)
			b.active = max(0, b.active-1)
		}
	}
}
