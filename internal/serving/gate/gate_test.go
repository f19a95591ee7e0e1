package gate_test

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/serving/gate"
)

var (
	start = time.Unix(1_000_000, 0)
	terms = gate.Limits{Rate: 10, Burst: 2, RecheckInterval: 30 * time.Second}
)

func ids(items []gate.Item) []uint64 {
	var list []uint64
	for _, i := range items {
		list = append(list, i.ID)
	}
	return list
}

var _ = Describe("a gate", func() {
	var s *gate.Set
	BeforeEach(func() {
		s = gate.NewSet(terms)
		for n := range uint64(6) {
			s.Park(start, start, "model/a", gate.Item{ID: n, Weight: 1 + int(n%2), Due: start.Add(time.Duration(10-n) * time.Hour)})
		}
	})
	It("lets items go by weight, then due time, at a bounded rate", func() {
		s.Open(start, "model/a")
		Expect(ids(s.Tick(start))).To(Equal([]uint64{5, 3}))
		Expect(s.Tick(start)).To(BeEmpty())
		Expect(ids(s.Tick(start.Add(100 * time.Millisecond)))).To(Equal([]uint64{1}))
		Expect(ids(s.Tick(start.Add(300 * time.Millisecond)))).To(Equal([]uint64{4, 2}))
		Expect(ids(s.Tick(start.Add(400 * time.Millisecond)))).To(Equal([]uint64{0}))
		Expect(s.Names()).To(BeEmpty())
	})
	It("lets twice as many go with each second", func() {
		for n := range uint64(1000) {
			s.Park(start, start, "model/a", gate.Item{ID: 100 + n})
		}
		s.Open(start, "model/a")
		for second, want := range []int{2, 4, 8, 16} {
			Expect(s.Tick(start.Add(time.Duration(second) * time.Second))).To(HaveLen(want))
		}
	})
	It("closes for the rest when a released item finds it absent", func() {
		s.Open(start, "model/a")
		released := s.Tick(start)
		later := start.Add(time.Second)
		s.Park(later, start, "model/a", released[0])
		Expect(s.Closed("model/a")).To(BeTrue())
		Expect(s.Tick(later)).To(BeEmpty())
		Expect(s.Parked("model/a")).To(Equal(5))
	})
	It("stays open for an item that was started before it opened", func() {
		s.Open(start.Add(time.Second), "model/a")
		s.Park(start.Add(2*time.Second), start, "model/a", gate.Item{ID: 9})
		Expect(s.Closed("model/a")).To(BeFalse())
	})
	It("lets one item go when the event is lost", func() {
		Expect(s.Tick(start.Add(terms.RecheckInterval - 1))).To(BeEmpty())
		Expect(s.Tick(start.Add(terms.RecheckInterval))).To(HaveLen(1))
		Expect(s.Tick(start.Add(terms.RecheckInterval + time.Second))).To(BeEmpty())
	})
	It("does not open other gates", func() {
		s.Open(start, "model/b")
		Expect(s.Tick(start)).To(BeEmpty())
	})
})

// TestNaive compares a set with a sorted list and a count of what may go.
func TestNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := gate.NewSet(terms)
		now, opened, lastPop := start, time.Time{}, start
		var parked []gate.Item
		gone, allowed, counted := 0, 0.0, start
		for n := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				s.Open(now, "g")
				if len(parked) > 0 && opened.IsZero() {
					opened, gone, allowed, counted = now, 0, float64(terms.Burst), now
				}
			default:
				i := gate.Item{ID: n, Weight: rapid.IntRange(1, 3).Draw(t, "weight"), Due: start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "due")))}
				started := now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "ago")) * time.Millisecond)
				if len(parked) == 0 {
					lastPop = now
				}
				if !opened.IsZero() && !started.Before(opened) {
					opened, lastPop = time.Time{}, now
				}
				s.Park(now, started, "g", i)
				parked = append(parked, i)
			}
			slices.SortFunc(parked, func(a, b gate.Item) int {
				return cmp.Or(cmp.Compare(b.Weight, a.Weight), a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID))
			})
			released := s.Tick(now)
			if len(released) > len(parked) || !slices.Equal(ids(released), ids(parked[:len(released)])) {
				t.Fatalf("released %v of %v", ids(released), ids(parked))
			}
			parked = parked[len(released):]
			gone += len(released)
			if opened.IsZero() {
				if len(released) > 0 && now.Sub(lastPop) < terms.RecheckInterval {
					t.Fatalf("a closed gate let %v go", ids(released))
				}
			} else {
				allowed += now.Sub(counted).Seconds() * terms.Rate * math.Pow(2, math.Floor(now.Sub(opened).Seconds()))
				counted = now
				if float64(gone) > allowed+1e-6 {
					t.Fatalf("%d gone, %.2f allowed", gone, allowed)
				}
			}
			if len(parked) == 0 {
				opened = time.Time{}
			}
			if s.Parked("g") != len(parked) {
				t.Fatalf("%d parked, want %d", s.Parked("g"), len(parked))
			}
		}
	})
}
