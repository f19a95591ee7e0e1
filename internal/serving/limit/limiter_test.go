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

func gates(n int) []*limit.Limiter {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	list := make([]*limit.Limiter, n)
	for i := range list {
		list[i] = limit.NewLimiter(names[i])
		list[i].SetHosts(names)
	}
	return list
}

// admitAt lets a request in at one of the hosts, which asks the home hosts of
// small limits.
func admitAt(list []*limit.Limiter, at int, now time.Time, o *services.Organisation, number int64) *result.Error {
	g := list[at]
	if failure := g.Admit(now, o, chat); failure != nil {
		return failure
	}
	loan := limit.Loan{Origin: fmt.Sprint(at), Number: number}
	for _, l := range g.RemoteLimits(o, chat) {
		var home int
		if _, err := fmt.Sscanf(l.Home, "entry-%d", &home); err != nil {
			panic(err)
		}
		if failure := list[home].Lend(now, l, o.RequestsPerSecond, o.Concurrency, loan, now.Add(time.Minute)); failure != nil {
			g.Release(o, chat)
			return failure
		}
	}
	return nil
}

// TestSharesAddUp offers more than the limit at every host and counts what all
// hosts admit, against one gate for the whole deployment.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "hosts")
		most := rapid.IntRange(1, 60).Draw(t, "limit")
		o := &services.Organisation{Name: rapid.StringMatching("[a-z]{1,8}").Draw(t, "name")}
		byRate := rapid.Bool().Draw(t, "rate")
		if byRate {
			o.RequestsPerSecond = float64(most)
		} else {
			o.Concurrency = most
		}
		admitted := 0
		list := gates(n)
		for at := range list {
			for number := range most + 1 {
				if admitAt(list, at, start, o, int64(number)) == nil {
					admitted++
				}
			}
		}
		if admitted != most {
			t.Fatalf("%d hosts admitted %d of a limit of %d", n, admitted, most)
		}
	})
}

var _ = Describe("a gate", func() {
	It("admits the rate over all hosts in the long run, also a small one", func() {
		o := &services.Organisation{Name: "agency", RequestsPerSecond: 2}
		list := gates(7)
		admitted := 0
		for step := range 600 {
			for at, g := range list {
				if admitAt(list, at, start.Add(time.Duration(step)*100*time.Millisecond), o, int64(step)) == nil {
					g.Release(o, chat)
					admitted++
				}
			}
		}
		Expect(admitted).To(BeNumerically("~", 120, 8))
	})

	It("refuses not run, with the time until the next token", func() {
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

	It("lets the one request of a small limit in at whichever host it comes to, once", func() {
		o := &services.Organisation{Name: "agency", Concurrency: 1}
		list := gates(9)
		for at := range list {
			now := start.Add(time.Duration(at) * time.Hour)
			Expect(admitAt(list, at, now, o, 1)).To(BeNil())
			for other := range list {
				failure := admitAt(list, other, now, o, 2)
				Expect(failure.Code()).To(Equal(result.ConcurrencyLimited))
				Expect(failure.Ran()).To(Equal(result.RanNo))
				Expect(failure.RetryAfter()).To(BeNumerically(">", 0))
			}
			// Loans of a lost host are taken back; own requests end.
			if list[at].Release(o, chat); at%2 == 0 {
				for _, l := range list[at].RemoteLimits(o, chat) {
					for _, g := range list {
						g.Return(l, limit.Loan{Origin: fmt.Sprint(at), Number: 1})
						g.Return(l, limit.Loan{Origin: fmt.Sprint(at), Number: 1})
					}
				}
				Expect(admitAt(list, at, now, o, 3)).To(BeNil())
				list[at].Release(o, chat)
			}
		}
	})

	It("forgets idle organisations but none that would gain by it", func() {
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
			g := gates(450)[0]
			list := make([]*services.Organisation, organisations)
			for i := range list {
				list[i] = &services.Organisation{Name: fmt.Sprintf("o-%d", i), RequestsPerSecond: 1e9, Concurrency: 1e6}
				if g.Admit(start, list[i], chat) == nil {
					g.Release(list[i], chat)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				o := list[i%len(list)]
				if g.Admit(start, o, chat) == nil {
					g.Release(o, chat)
				}
			}
		})
	}
}

// BenchmarkNewBucket is the cost of the first request of an organisation, or
// of the first after a change of the live hosts.
func BenchmarkNewBucket(b *testing.B) {
	o := &services.Organisation{Name: "agency", RequestsPerSecond: 1e9, Concurrency: 1e6}
	list := gates(450)
	hosts := make([]string, 450)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("entry-%d", i)
	}
	for i := 0; b.Loop(); i++ {
		list[0].SetHosts(hosts[:449+i%2])
		if list[0].Admit(start, o, chat) == nil {
			list[0].Release(o, chat)
		}
	}
}

// BenchmarkLend is what a home host pays for one loan and its return.
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
