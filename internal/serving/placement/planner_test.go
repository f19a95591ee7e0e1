package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/serving/placement"
)

var start = time.Unix(1_000_000, 0)

const step = 500 * time.Millisecond

// fake is an engine that loads for some time.
type fake struct {
	held    map[string]bool
	ends    map[string]time.Time
	fencing int64
	checks  bool
}

// zoneOf is a zone with engines that hold what they are ordered to.
type zoneOf struct {
	now     time.Time
	planner *placement.Planner
	engines map[string]*fake
	names   []string
	// lose says that the next reply is lost, drop that the order is.
	lose, drop func() bool
	loadFor    time.Duration
	orders     int
}

func never() bool { return false }

func newZone(n int, held ...string) *zoneOf {
	z := &zoneOf{
		now: start, planner: placement.NewPlanner(placement.DefaultOptions), engines: make(map[string]*fake),
		lose: never, drop: never, loadFor: 3 * time.Second,
	}
	for i := range n {
		f := &fake{held: make(map[string]bool), ends: make(map[string]time.Time), checks: true}
		for _, id := range held {
			f.held[id] = true
		}
		z.names = append(z.names, fmt.Sprintf("e-%03d", i))
		z.engines[z.names[i]] = f
	}
	z.planner.LeaseAcquired(z.now, 7, z.now)
	return z
}

func (z *zoneOf) want(ids ...string) {
	var list []placement.Engine
	for _, name := range z.names {
		list = append(list, placement.Engine{Name: name, ChecksFencing: z.engines[name].checks, Desired: ids, Models: []string{"m", "n"}})
	}
	z.planner.SetEngines(list)
}

func lineOf(id string) string { before, _, _ := strings.Cut(id, "@"); return before }

func (f *fake) order(now time.Time, a placement.Action, loadFor time.Duration) placement.Outcome {
	if f.checks && a.Fencing < f.fencing {
		return placement.Refused
	}
	f.fencing = a.Fencing
	if a.Kind == placement.Unload {
		delete(f.held, a.Artifact)
		return placement.Accepted
	}
	if _, ok := f.held[a.Artifact]; ok {
		return placement.Accepted
	}
	if !a.KeepOld {
		maps.DeleteFunc(f.held, func(id string, _ bool) bool { return lineOf(id) == lineOf(a.Artifact) })
	}
	f.held[a.Artifact], f.ends[a.Artifact] = false, now.Add(loadFor)
	return placement.Accepted
}

func (z *zoneOf) tick() {
	z.now = z.now.Add(step)
	for _, f := range z.engines {
		for id, end := range f.ends {
			if _, ok := f.held[id]; ok && !z.now.Before(end) {
				f.held[id] = true
				delete(f.ends, id)
			}
		}
	}
	for _, a := range z.planner.Tick(z.now) {
		f := z.engines[a.Engine]
		if a.Kind == placement.Read {
			z.planner.RecordRead(z.now, z.now, a.Engine, maps.Clone(f.held))
			continue
		}
		z.orders++
		if z.drop() {
			z.planner.RecordOrderOutcome(z.now, a.Engine, placement.OutcomeUnknown)
			continue
		}
		o := f.order(z.now, a, z.loadFor)
		if z.lose() {
			o = placement.OutcomeUnknown
		}
		z.planner.RecordOrderOutcome(z.now, a.Engine, o)
	}
}

func (z *zoneOf) ready(l string) int {
	n := 0
	for _, f := range z.engines {
		for id, ready := range f.held {
			if ready && lineOf(id) == l {
				n++
				break
			}
		}
	}
	return n
}

func (z *zoneOf) loading() map[string]int {
	by := make(map[string]int)
	for _, f := range z.engines {
		for id, ready := range f.held {
			if !ready {
				by[id]++
			}
		}
	}
	return by
}

func (z *zoneOf) whole(ids ...string) bool {
	for _, f := range z.engines {
		for _, id := range ids {
			if !f.held[id] {
				return false
			}
		}
		if len(f.held) != len(ids) {
			return false
		}
	}
	return true
}

var _ = Describe("a planner", func() {
	It("orders nothing when every engine holds what it should", func() {
		z := newZone(20, "m@1", "other")
		z.want("m@1")
		for range 100 {
			z.tick()
		}
		Expect(z.orders).To(BeZero())
	})
	It("orders nothing without the lease", func() {
		z := newZone(3)
		z.want("m")
		z.planner.LeaseLost()
		for range 10 {
			Expect(z.planner.Tick(z.now)).To(BeEmpty())
			z.tick()
		}
	})
	It("waits the former holder out for engines that ignore fencing", func() {
		z := newZone(2)
		z.engines["e-000"].checks = false
		z.want("m")
		z.planner.LeaseAcquired(z.now, 8, z.now.Add(12*time.Second))
		for range 22 {
			z.tick()
		}
		Expect(z.engines["e-000"].held).To(BeEmpty())
		Expect(z.engines["e-001"].held).To(HaveKey("m"))
		for range 4 {
			z.tick()
		}
		Expect(z.engines["e-000"].held).To(HaveKey("m"))
	})
	It("goes on when an engine refuses its old number", func() {
		z := newZone(1)
		z.engines["e-000"].fencing = 9
		z.want("m")
		for range 40 {
			z.tick()
		}
		Expect(z.engines["e-000"].held).To(BeEmpty())
		Expect(z.orders).To(BeNumerically("<", 6))
	})
	It("orders an engine again that restarted and forgot", func() {
		z := newZone(3, "m")
		z.want("m")
		z.tick()
		clear(z.engines["e-001"].held)
		for range 60 {
			z.tick()
		}
		Expect(z.whole("m")).To(BeTrue())
		Expect(z.orders).To(Equal(1))
	})
	It("loads a new version beside the old one on a sole engine", func() {
		z := newZone(1, "m@1")
		z.want("m@2")
		for range 60 {
			z.tick()
			Expect(z.ready("m")).To(Equal(1))
		}
		Expect(z.whole("m@2")).To(BeTrue())
	})
	It("sends a new version to one engine first", func() {
		z := newZone(16, "m@1")
		z.want("m@2")
		surge := z.engines["e-000"]
		for z.tick(); !surge.held["m@2"]; z.tick() {
			Expect(z.loading()["m@2"]).To(BeNumerically("<=", 1))
		}
		for range 200 {
			z.tick()
			Expect(z.ready("m")).To(BeNumerically(">=", 12))
		}
		Expect(z.whole("m@2")).To(BeTrue())
	})
	It("tells which engines are not ready with a model, from the order on", func() {
		z := newZone(4, "m@1")
		z.want("m@2")
		Expect(z.planner.Unready()).To(BeEmpty(), "nothing is read")
		z.tick()
		z.tick()
		Expect(z.planner.Unready()).To(Equal([]string{"e-000/m"}))
		for range 200 {
			z.tick()
		}
		Expect(z.planner.Unready()).To(BeEmpty())
	})
	It("shares the loads between artifacts", func() {
		z := newZone(32)
		z.loadFor = time.Minute
		z.want("m", "n")
		for range 4 {
			z.tick()
		}
		Expect(z.loading()).To(Equal(map[string]int{"m": 4, "n": 4}))
	})
})

// TestVersions changes versions while replies and orders are lost.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "engines")
		z := newZone(n, "m@0", "n")
		odds := rapid.IntRange(0, 60).Draw(t, "lost percent")
		chance := func() bool { return rapid.IntRange(0, 99).Draw(t, "lost") < odds }
		z.lose, z.drop = chance, chance
		crashes := rapid.Bool().Draw(t, "crashes")
		version := "m@0"
		check := func() {
			if !crashes && z.ready("m") == 0 {
				t.Fatal("no engine is ready")
			}
			total := 0
			for id, l := range z.loading() {
				if l > 1 && l >= n {
					t.Fatalf("%d of %d engines load %s", l, n, id)
				}
				total += l
			}
			if total > placement.DefaultOptions.MaxLoads {
				t.Fatalf("%d loads at a time", total)
			}
		}
		z.want(version, "n")
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			version = fmt.Sprintf("m@%d", rapid.IntRange(0, 3).Draw(t, "version"))
			z.want(version, "n")
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				z.tick()
				check()
			}
			if crashes {
				clear(z.engines[rapid.SampledFrom(z.names).Draw(t, "crashed")].held)
			}
		}
		z.lose, z.drop = never, never
		for range 400 {
			z.tick()
			check()
		}
		if !z.whole(version, "n") {
			t.Fatalf("not settled: %v", slices.Collect(maps.Values(z.engines))[0])
		}
	})
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 833, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			z := newZone(n, "m@1")
			z.want("m@1")
			z.tick()
			b.ReportAllocs()
			for b.Loop() {
				z.planner.Tick(z.now)
			}
		})
	}
}

func BenchmarkFirstOrders(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		z := newZone(833)
		z.want("m@1", "n")
		for _, a := range z.planner.Tick(z.now) {
			z.planner.RecordRead(z.now, z.now, a.Engine, nil)
		}
		b.StartTimer()
		if len(z.planner.Tick(z.now)) == 0 {
			b.Fatal("no orders")
		}
	}
}
