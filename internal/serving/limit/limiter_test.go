package limit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

var (
	start = time.Unix(1_700_000_000, 0)
	chat  = &services.Service{Name: "chat"}
)

func newLimiters(n int) []*limit.Limiter {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	limiters := make([]*limit.Limiter, n)
	for i := range limiters {
		limiters[i] = limit.NewLimiter(names[i])
		limiters[i].SetHosts(names)
	}
	return limiters
}

// admitAt admits a request at one host, which obtains loans from the home hosts
// of undivided limits.
func admitAt(limiters []*limit.Limiter, host int, now time.Time, o *services.Organisation, number int64) *result.Error {
	g := limiters[host]
	if failure := g.Admit(now, o, chat); failure != nil {
		return failure
	}
	loan := limit.Loan{Origin: fmt.Sprint(host), Number: number}
	for _, l := range g.RemoteLimits(o, chat) {
		var home int
		if _, err := fmt.Sscanf(l.Home, "entry-%d", &home); err != nil {
			panic(err)
		}
		if failure := limiters[home].Lend(now, l, o.RequestsPerSecond, o.Concurrency, loan, now.Add(time.Minute)); failure != nil {
			g.Release(o, chat)
			return failure
		}
	}
	return nil
}

// TestSharesAddUp offers more requests than the limit at every host and checks
// that all hosts together admit exactly the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "hosts")
		allowed := rapid.IntRange(1, 60).Draw(t, "limit")
		o := &services.Organisation{Name: rapid.StringMatching("[a-z]{1,8}").Draw(t, "name")}
		byRate := rapid.Bool().Draw(t, "rate")
		if byRate {
			o.RequestsPerSecond = float64(allowed)
		} else {
			o.Concurrency = allowed
		}
		admitted := 0
		limiters := newLimiters(n)
		for host := range limiters {
			for number := range allowed + 1 {
				if admitAt(limiters, host, start, o, int64(number)) == nil {
					admitted++
				}
			}
		}
		if admitted != allowed {
			t.Fatalf("%d hosts admitted %d of a limit of %d", n, admitted, allowed)
		}
	})
}

var _ = Describe("a limiter", func() {
	It("admits the rate over all hosts in the long run, also if it is below one per host", func() {
		o := &services.Organisation{Name: "agency", RequestsPerSecond: 2}
		limiters := newLimiters(7)
		admitted := 0
		for step := range 600 {
			for host, g := range limiters {
				if admitAt(limiters, host, start.Add(time.Duration(step)*100*time.Millisecond), o, int64(step)) == nil {
					g.Release(o, chat)
					admitted++
				}
			}
		}
		Expect(admitted).To(BeNumerically("~", 120, 8))
	})

	It("refuses requests as not run, with the time until the next token", func() {
		o := &services.Organisation{Name: "agency", RequestsPerSecond: 4}
		g := limit.NewLimiter("entry-1")
		for range 4 {
			Expect(g.Admit(start, o, chat)).To(BeNil())
		}
		failure := g.Admit(start, o, chat)
		Expect(failure.Code()).To(Equal(result.RateLimited))
		Expect(failure.Ran()).To(Equal(result.RanNo))
		Expect(failure.RetryAfter()).To(Equal(250 * time.Millisecond))
		Expect(g.Admit(start.Add(250*time.Millisecond), o, chat)).To(BeNil())
	})

	It("admits the one request of an undivided limit at any host, once", func() {
		o := &services.Organisation{Name: "agency", Concurrency: 1}
		limiters := newLimiters(9)
		for host := range limiters {
			now := start.Add(time.Duration(host) * time.Hour)
			Expect(admitAt(limiters, host, now, o, 1)).To(BeNil())
			for other := range limiters {
				failure := admitAt(limiters, other, now, o, 2)
				Expect(failure.Code()).To(Equal(result.ConcurrencyLimited))
				Expect(failure.Ran()).To(Equal(result.RanNo))
				Expect(failure.RetryAfter()).To(BeNumerically(">", 0))
			}
			// Even hosts return their loans. Odd hosts count as lost: their
			// loans expire before the next host starts an hour later.
			if limiters[host].Release(o, chat); host%2 == 0 {
				for _, l := range limiters[host].RemoteLimits(o, chat) {
					for _, g := range limiters {
						g.Return(l, limit.Loan{Origin: fmt.Sprint(host), Number: 1})
						g.Return(l, limit.Loan{Origin: fmt.Sprint(host), Number: 1})
					}
				}
				Expect(admitAt(limiters, host, now, o, 3)).To(BeNil())
				limiters[host].Release(o, chat)
			}
		}
	})

	It("deletes the buckets of idle organisations, but only when they are full again", func() {
		g := limit.NewLimiter("entry-1")
		slow := &services.Organisation{Name: "slow", RequestsPerSecond: 0.01}
		Expect(g.Admit(start, slow, chat)).To(BeNil())
		g.Release(slow, chat)
		for i := range 44_000 {
			o := &services.Organisation{Name: fmt.Sprintf("o-%d", i), RequestsPerSecond: 5}
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			Expect(g.Admit(now, o, chat)).To(BeNil())
			g.Release(o, chat)
			if i == 5000 {
				Expect(g.Admit(now, slow, chat)).NotTo(BeNil())
			}
		}
		Expect(g.Len()).To(BeNumerically("<", 12_000))
	})
})

func BenchmarkAdmit(b *testing.B) {
	for _, organisations := range []int{1, 44_000} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			g := newLimiters(450)[0]
			organisationList := make([]*services.Organisation, organisations)
			for i := range organisationList {
				organisationList[i] = &services.Organisation{Name: fmt.Sprintf("o-%d", i), RequestsPerSecond: 1e9, Concurrency: 1e6}
				if g.Admit(start, organisationList[i], chat) == nil {
					g.Release(organisationList[i], chat)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				o := organisationList[i%len(organisationList)]
				if g.Admit(start, o, chat) == nil {
					g.Release(o, chat)
				}
			}
		})
	}
}

// BenchmarkNewBucket measures the first request of an organisation, or the
// first after the live hosts changed.
func BenchmarkNewBucket(b *testing.B) {
	o := &services.Organisation{Name: "agency", RequestsPerSecond: 1e9, Concurrency: 1e6}
	limiters := newLimiters(450)
	hosts := make([]string, 450)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("entry-%d", i)
	}
	for i := 0; b.Loop(); i++ {
		limiters[0].SetHosts(hosts[:449+i%2])
		if limiters[0].Admit(start, o, chat) == nil {
			limiters[0].Release(o, chat)
		}
	}
}

// BenchmarkLend measures one loan and its return at the home host.
func BenchmarkLend(b *testing.B) {
	g := limit.NewLimiter("home")
	l := limit.Limit{Name: "agency"}
	until := start.Add(time.Minute)
	for i := int64(0); b.Loop(); i++ {
		loan := limit.Loan{Origin: "far", Number: i}
		if g.Lend(start, l, 0, 50, loan, until) != nil {
			b.Fatal("refused")
		}
		g.Return(l, loan)
	}
}
