package limit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

// naive remembers every admission. It counts in millionths of a request, and
// its rate is in thousandths of a request a second.
type naive struct {
	rate, concurrency int
	millis            []int
	active            int
	loans             map[limit.Loan]int
}

const million = 1_000_000

// tokens replays all admissions up to now, in milliseconds.
func (n *naive) tokens(now int) int {
	burst := max(million, n.rate/1000*million)
	tokens, last := burst, 0
	for _, at := range n.millis {
		tokens, last = min(burst, tokens+n.rate*(at-last))-million, at
	}
	return min(burst, tokens+n.rate*(now-last))
}

// admits says whether to admit, and whether rounding may decide otherwise.
func (n *naive) admits(now int) (ok, unsure bool) {
	active := n.active
	for _, until := range n.loans {
		if until > now {
			active++
		}
	}
	tokens := n.tokens(now)
	return active < n.concurrency && tokens >= million, active < n.concurrency && tokens == million
}

// TestGateAgainstNaive compares a gate, which forgets what is idle, with one
// that remembers everything, over admissions, ends, loans and returns.
func TestGateAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := limit.NewLimiter("home")
		var all [4]*naive
		for i := range all {
			all[i] = &naive{rate: []int{20, 50, 1000, 3000}[i], concurrency: rapid.IntRange(1, 4).Draw(t, "concurrency"), loans: make(map[limit.Loan]int)}
		}
		now := 0
		for number := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.SampledFrom([]int{0, 1, 100, 999, 11_000, 30_000}).Draw(t, "later")
			i := rapid.IntRange(0, len(all)-1).Draw(t, "organisation")
			n := all[i]
			o := &services.Organisation{Name: fmt.Sprint(i), RequestsPerSecond: float64(n.rate) / 1000, Concurrency: n.concurrency}
			l, loan := limit.Limit{Name: o.Name}, limit.Loan{Origin: "far", Number: int64(number)}
			at := start.Add(time.Duration(now) * time.Millisecond)
			// A new organisation makes the gate look for what it can forget.
			stranger := &services.Organisation{Name: fmt.Sprint("stranger ", number)}
			if g.Admit(at, stranger, chat) == nil {
				g.Release(stranger, chat)
			}
			want, unsure := n.admits(now)
			var got bool
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if got = g.Admit(at, o, chat) == nil; got {
					n.active++
				}
			case 1:
				lasts := rapid.SampledFrom([]int{50, 5000, 100_000}).Draw(t, "lasts")
				got = g.Lend(at, l, o.RequestsPerSecond, o.Concurrency, loan, at.Add(time.Duration(lasts)*time.Millisecond)) == nil
				if got {
					n.loans[loan] = now + lasts
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
			if got != want && !unsure {
				t.Fatalf("at %d ms organisation %d: admitted %t, naive %t", now, i, got, want)
			}
			if got {
				n.millis = append(n.millis, now)
			}
		}
	})
}
