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

// fakeEngine is an engine whose loads take time.
type fakeEngine struct {
	held          map[string]bool
	loadEnds      map[string]time.Time
	fencing       int64
	checksFencing bool
}

// fakeZone is a zone of fake engines and its planner.
type fakeZone struct {
	now     time.Time
	planner *placement.Planner
	engines map[string]*fakeEngine
	names   []string
	// loseReply reports whether the next reply is lost, dropOrder whether the
	// next order is.
	loseReply, dropOrder func() bool
	loadTime             time.Duration
	orders               int
}

func never() bool { return false }

func newZone(n int, held ...string) *fakeZone {
	z := &fakeZone{
		now: start, planner: placement.NewPlanner(placement.DefaultOptions), engines: make(map[string]*fakeEngine),
		loseReply: never, dropOrder: never, loadTime: 3 * time.Second,
	}
	for i := range n {
		f := &fakeEngine{held: make(map[string]bool), loadEnds: make(map[string]time.Time), checksFencing: true}
		for _, id := range held {
			f.held[id] = true
		}
		z.names = append(z.names, fmt.Sprintf("e-%03d", i))
		z.engines[z.names[i]] = f
	}
	z.planner.LeaseAcquired(z.now, 7, z.now)
	return z
}

func (z *fakeZone) setDesired(ids ...string) {
	var list []placement.Engine
	for _, name := range z.names {
		list = append(list, placement.Engine{Name: name, ChecksFencing: z.engines[name].checksFencing, Desired: ids, Models: []string{"m", "n"}})
	}
	z.planner.SetEngines(list)
}

func unversionedID(id string) string { unversioned, _, _ := strings.Cut(id, "@"); return unversioned }

func (f *fakeEngine) order(now time.Time, a placement.Action, loadTime time.Duration) placement.Outcome {
	if f.checksFencing && a.Fencing < f.fencing {
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
		maps.DeleteFunc(f.held, func(id string, _ bool) bool { return unversionedID(id) == unversionedID(a.Artifact) })
	}
	f.held[a.Artifact], f.loadEnds[a.Artifact] = false, now.Add(loadTime)
	return placement.Accepted
}

func (z *fakeZone) tick() {
	z.now = z.now.Add(step)
	for _, f := range z.engines {
		for id, end := range f.loadEnds {
			if _, ok := f.held[id]; ok && !z.now.Before(end) {
				f.held[id] = true
				delete(f.loadEnds, id)
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
		if z.dropOrder() {
			z.planner.RecordOrderOutcome(z.now, a.Engine, placement.OutcomeUnknown)
			continue
		}
		o := f.order(z.now, a, z.loadTime)
		if z.loseReply() {
			o = placement.OutcomeUnknown
		}
		z.planner.RecordOrderOutcome(z.now, a.Engine, o)
	}
}

func (z *fakeZone) ready(unversioned string) int {
	n := 0
	for _, f := range z.engines {
		for id, ready := range f.held {
			if ready && unversionedID(id) == unversioned {
				n++
				break
			}
		}
	}
	return n
}

func (z *fakeZone) loading() map[string]int {
	counts := make(map[string]int)
	for _, f := range z.engines {
		for id, ready := range f.held {
			if !ready {
				counts[id]++
			}
		}
	}
	return counts
}

func (z *fakeZone) holdsExactly(ids ...string) bool {
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
	It("sends no orders if every engine holds the desired artifacts", func() {
		z := newZone(20, "m@1", "other")
		z.setDesired("m@1")
		for range 100 {
			z.tick()
		}
		Expect(z.orders).To(BeZero())
	})
	It("sends no orders without the lease", func() {
		z := newZone(3)
		z.setDesired("m")
		z.planner.LeaseLost()
		for range 10 {
			Expect(z.planner.Tick(z.now)).To(BeEmpty())
			z.tick()
		}
	})
	It("waits for the former lease to expire before it orders engines that ignore fencing", func() {
		z := newZone(2)
		z.engines["e-000"].checksFencing = false
		z.setDesired("m")
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
	It("limits its orders when an engine refuses its old fencing token", func() {
		z := newZone(1)
		z.engines["e-000"].fencing = 9
		z.setDesired("m")
		for range 40 {
			z.tick()
		}
		Expect(z.engines["e-000"].held).To(BeEmpty())
		Expect(z.orders).To(BeNumerically("<", 6))
	})
	It("repeats the order to an engine that lost its artifacts in a restart", func() {
		z := newZone(3, "m")
		z.setDesired("m")
		z.tick()
		clear(z.engines["e-001"].held)
		for range 60 {
			z.tick()
		}
		Expect(z.holdsExactly("m")).To(BeTrue())
		Expect(z.orders).To(Equal(1))
	})
	It("keeps the old version during the load on the only engine", func() {
		z := newZone(1, "m@1")
		z.setDesired("m@2")
		for range 60 {
			z.tick()
			Expect(z.ready("m")).To(Equal(1))
		}
		Expect(z.holdsExactly("m@2")).To(BeTrue())
	})
	It("sends a new version to one engine first", func() {
		z := newZone(16, "m@1")
		z.setDesired("m@2")
		first := z.engines["e-000"]
		for z.tick(); !first.held["m@2"]; z.tick() {
			Expect(z.loading()["m@2"]).To(BeNumerically("<=", 1))
		}
		for range 200 {
			z.tick()
			Expect(z.ready("m")).To(BeNumerically(">=", 12))
		}
		Expect(z.holdsExactly("m@2")).To(BeTrue())
	})
	It("returns the engines that are not ready with a model as soon as an order is sent to them", func() {
		z := newZone(4, "m@1")
		z.setDesired("m@2")
		Expect(z.planner.Unready()).To(BeEmpty(), "no engine has been read")
		z.tick()
		z.tick()
		Expect(z.planner.Unready()).To(Equal([]string{"e-000/m"}))
		for range 200 {
			z.tick()
		}
		Expect(z.planner.Unready()).To(BeEmpty())
	})
	It("divides the loads equally between artifacts", func() {
		z := newZone(32)
		z.loadTime = time.Minute
		z.setDesired("m", "n")
		for range 4 {
			z.tick()
		}
		Expect(z.loading()).To(Equal(map[string]int{"m": 4, "n": 4}))
	})
})

// TestVersions changes versions while replies and orders are lost. Unless
// engines crash, at least one must stay ready, and the limits on loads must
// always hold.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "engines")
		z := newZone(n, "m@0", "n")
		lostPercent := rapid.IntRange(0, 60).Draw(t, "lost percent")
		lost := func() bool { return rapid.IntRange(0, 99).Draw(t, "lost") < lostPercent }
		z.loseReply, z.dropOrder = lost, lost
		crashes := rapid.Bool().Draw(t, "crashes")
		version := "m@0"
		check := func() {
			if !crashes && z.ready("m") == 0 {
				t.Fatal("no engine is ready with a version of m")
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
		z.setDesired(version, "n")
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			version = fmt.Sprintf("m@%d", rapid.IntRange(0, 3).Draw(t, "version"))
			z.setDesired(version, "n")
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				z.tick()
				check()
			}
			if crashes {
				clear(z.engines[rapid.SampledFrom(z.names).Draw(t, "crashed")].held)
			}
		}
		z.loseReply, z.dropOrder = never, never
		for range 400 {
			z.tick()
			check()
		}
		if !z.holdsExactly(version, "n") {
			t.Fatalf("an engine does not hold exactly the desired artifacts: %v", slices.Collect(maps.Values(z.engines))[0])
		}
	})
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 833, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			z := newZone(n, "m@1")
			z.setDesired("m@1")
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
		z.setDesired("m@1", "n")
		for _, a := range z.planner.Tick(z.now) {
			z.planner.RecordRead(z.now, z.now, a.Engine, nil)
		}
		b.StartTimer()
		if len(z.planner.Tick(z.now)) == 0 {
			b.Fatal("no orders")
		}
	}
}
