package plan_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/soak/plan"
)

var _ = Describe("New", func() {
	sizes := plan.Sizes{Hosts: 3, Servers: 4, Length: 20 * time.Second}

	It("returns equal plans for equal seeds and different ones for different seeds", func() {
		Expect(plan.New(7, sizes).String()).To(Equal(plan.New(7, sizes).String()))
		Expect(plan.New(7, sizes).String()).NotTo(Equal(plan.New(8, sizes).String()))
	})

	It("orders faults by start, keeps targets in range, and over 40 seeds yields every kind, repeats and overlaps", func() {
		kinds := map[plan.Kind]int{}
		repeats, overlaps := 0, 0
		for seed := range uint64(40) {
			p := plan.New(seed, sizes)
			for n, f := range p.Faults {
				kinds[f.Kind]++
				Expect(f.Start + f.Duration).To(BeNumerically("<=", p.FaultsEnd))
				switch {
				case f.Kind.TargetsHost():
					Expect(f.Target).To(BeNumerically("<", sizes.Hosts))
				case f.Kind.TargetsServer():
					Expect(f.Target).To(BeNumerically("<", sizes.Servers))
				}
				for _, earlier := range p.Faults[:n] {
					Expect(earlier.Start).To(BeNumerically("<=", f.Start))
					if earlier.Kind == f.Kind && earlier.Target == f.Target && f.Start >= earlier.Start+earlier.Duration && f.Start < earlier.Start+earlier.Duration+time.Second {
						repeats++
					}
					if earlier.Kind != f.Kind && f.Kind.TargetsHost() && earlier.Kind.TargetsHost() && earlier.Target == f.Target && f.Start < earlier.Start+earlier.Duration {
						overlaps++
					}
				}
			}
		}
		for k := plan.Stop; k <= plan.Configure; k++ {
			Expect(kinds[k]).To(BeNumerically(">", 0), k.String())
		}
		Expect(repeats).To(BeNumerically(">", 40))
		Expect(overlaps).To(BeNumerically(">", 40))
	})

	It("replaces servers of a release while hosts are out of touch, the same for equal seeds", func() {
		kinds := map[plan.Kind]int{}
		for seed := range uint64(20) {
			p := plan.NewRelease(seed, sizes)
			Expect(p.String()).To(Equal(plan.NewRelease(seed, sizes).String()))
			for _, f := range p.Faults {
				kinds[f.Kind]++
				Expect(f.Kind.TargetsHost()).NotTo(Equal(f.Kind.TargetsServer()))
				if f.Kind.TargetsHost() {
					Expect(f.Target).To(BeNumerically("<", sizes.Hosts))
				} else {
					Expect(f.Target).To(BeNumerically("<", sizes.Servers))
				}
				Expect(f.Start + f.Duration).To(BeNumerically("<=", p.FaultsEnd))
			}
		}
		for _, k := range []plan.Kind{plan.Pause, plan.StoreSilent, plan.StoreRefuses, plan.ServerUpgraded, plan.ServerRemoved, plan.ServerRestarts, plan.ServerHeld} {
			Expect(kinds[k]).To(BeNumerically(">", 0), k.String())
		}
	})

	It("keeps hosts away for longer than a take-over takes, the same for equal seeds, and over 40 seeds yields every form and change", func() {
		cells, changes := map[string]int{}, map[plan.Change]int{}
		aims, held := map[plan.Aim]int{}, map[plan.Kind]int{}
		for seed := range uint64(40) {
			p := plan.NewAway(seed, sizes)
			Expect(p.String()).To(Equal(plan.NewAway(seed, sizes).String()))
			away := 0
			for _, f := range p.Faults {
				Expect(f.Start).To(BeNumerically(">=", 0))
				Expect(f.Start + f.Duration).To(BeNumerically("<=", p.FaultsEnd))
				switch {
				case f.Kind == plan.StoreHoldsReplies || f.Kind == plan.ServerHoldsReplies:
					held[f.Kind]++
				case f.Kind == plan.Configure:
					changes[f.Change]++
				case f.Kind.TargetsHost():
					Expect(f.Target).To(BeNumerically("<", sizes.Hosts))
					if f.Duration > 3500*time.Millisecond {
						away++
					}
					if f.Kind == plan.Pause {
						aims[f.Aim]++
					}
				}
			}
			Expect(away).To(BeNumerically(">=", len(p.Cells)))
			for _, cell := range p.Cells {
				form, _, _ := strings.Cut(cell, " +")
				cells[form]++
			}
		}
		Expect(cells).To(HaveLen(14), "two forms of pauses, and four with each of three cuts")
		Expect(changes).To(HaveLen(7))
		Expect(aims).To(HaveLen(4))
		Expect(held).To(HaveLen(2))
	})

	It("reports whether only allowed faults overlap a period", func() {
		p := plan.Plan{Faults: []plan.Fault{{Kind: plan.Stop, Start: 2 * time.Second, Duration: time.Second}, {Kind: plan.Kill, Start: 5 * time.Second, Duration: time.Second}}}
		graceful := func(f plan.Fault) bool { return f.Kind.Graceful() }
		Expect(p.AllDuring(0, 4*time.Second, graceful)).To(BeTrue())
		Expect(p.AllDuring(0, 5*time.Second, graceful)).To(BeFalse())
		Expect(p.AllDuring(6*time.Second, 7*time.Second, graceful)).To(BeFalse())
		Expect(p.AllDuring(7*time.Second, 8*time.Second, graceful)).To(BeTrue())
	})
})
