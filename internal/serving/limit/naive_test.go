package limit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

// reference is a limiter that keeps every admission. It counts in millionths of
// a request, and its rate is in thousandths of a request per second.
type reference struct {
	rate, concurrency int
	admittedAt        []int
	active            int
	loans             map[limit.Loan]int
}

const million = 1_000_000

// tokens replays all admissions up to now, which is in milliseconds.
func (n *reference) tokens(now int) int {
	burst := max(million, n.rate/1000*million)
	tokens, last := burst, 0
	for _, at := range n.admittedAt {
		tokens, last = min(burst, tokens+n.rate*(at-last))-million, at
	}
	return min(burst, tokens+n.rate*(now-last))
}

// admits reports whether to admit, and whether rounding may change the
// decision.
func (n *reference) admits(now int) (ok, ambiguous bool) {
	active := n.active
	for _, until := range n.loans {
		if until > now {
			active++
		}
	}
	tokens := n.tokens(now)
	return active < n.concurrency && tokens >= million, active < n.concurrency && tokens == million
}

// TestLimiterAgainstNaive compares a limiter, which deletes idle buckets,
// with a reference that keeps every admission, over admissions, releases, loans
// and returns.
func TestLimiterAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := limit.NewLimiter("home")
		var references [4]*reference
		for i := range references {
			references[i] = &reference{rate: []int{20, 50, 1000, 3000}[i], concurrency: rapid.IntRange(1, 4).Draw(t, "concurrency"), loans: make(map[limit.Loan]int)}
		}
		now := 0
		for number := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.SampledFrom([]int{0, 1, 100, 999, 11_000, 30_000}).Draw(t, "later")
			i := rapid.IntRange(0, len(references)-1).Draw(t, "organisation")
			n := references[i]
			o := &services.Organisation{Name: fmt.Sprint(i), RequestsPerSecond: float64(n.rate) / 1000, Concurrency: n.concurrency}
			l, loan := limit.Limit{Name: o.Name}, limit.Loan{Origin: "far", Number: int64(number)}
			instant := start.Add(time.Duration(now) * time.Millisecond)
			// A new organisation makes the limiter sweep its buckets.
			newOrganisation := &services.Organisation{Name: fmt.Sprint("stranger ", number)}
			if g.Admit(instant, newOrganisation, chat) == nil {
				g.Release(newOrganisation, chat)
			}
			want, ambiguous := n.admits(now)
			var got bool
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if got = g.Admit(instant, o, chat) == nil; got {
					n.active++
				}
			case 1:
				duration := rapid.SampledFrom([]int{50, 5000, 100_000}).Draw(t, "lasts")
				got = g.Lend(instant, l, o.RequestsPerSecond, o.Concurrency, loan, instant.Add(time.Duration(duration)*time.Millisecond)) == nil
				if got {
					n.loans[loan] = now + duration
				}
			case 2:
				if n.active > 0 {
					g.Release(o, chat)
					n.active--
				}
				continue
			case 3:
				loan.Number = int64(rapid.IntRange(0, number).Draw(t, "returned"))
				g.Return(l, loan)
				delete(n.loans, loan)
				continue
			}
			if got != want && !ambiguous {
				t.Fatalf("at %d ms organisation %d: admitted %t, reference %t", now, i, got, want)
			}
			if got {
				n.admittedAt = append(n.admittedAt, now)
			}
		}
	})
}
