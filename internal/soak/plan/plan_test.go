package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/soak/plan"
)

var _ = Describe("a plan", func() {
	sizes := plan.Sizes{Hosts: 3, Servers: 4, Length: 20 * time.Second}

	It("is the same for the same seed, and another for another", func() {
		Expect(plan.New(7, sizes).String()).To(Equal(plan.New(7, sizes).String()))
		Expect(plan.New(7, sizes).String()).NotTo(Equal(plan.New(8, sizes).String()))
	})

	It("has each kind, series and overlaps within some seeds, in order and within its sizes", func() {
		kinds := map[plan.Kind]int{}
		series, overlaps := 0, 0
		for seed := range uint64(40) {
			p := plan.New(seed, sizes)
			for n, f := range p.Faults {
				kinds[f.Kind]++
				Expect(f.At + f.For).To(BeNumerically("<=", p.Calm))
				switch {
				case f.Kind.OfHost():
					Expect(f.Target).To(BeNumerically("<", sizes.Hosts))
				case f.Kind.OfServer():
					Expect(f.Target).To(BeNumerically("<", sizes.Servers))
				}
				for _, other := range p.Faults[:n] {
					Expect(other.At).To(BeNumerically("<=", f.At))
					if other.Kind == f.Kind && other.Target == f.Target && f.At >= other.At+other.For && f.At < other.At+other.For+time.Second {
						series++
					}
					if other.Kind != f.Kind && f.Kind.OfHost() && other.Kind.OfHost() && other.Target == f.Target && f.At < other.At+other.For {
						overlaps++
					}
				}
			}
		}
		for k := plan.Stop; k <= plan.Configure; k++ {
			Expect(kinds[k]).To(BeNumerically(">", 0), k.String())
		}
		Expect(series).To(BeNumerically(">", 40))
		Expect(overlaps).To(BeNumerically(">", 40))
	})

	It("knows the spans that only certain faults touch", func() {
		p := plan.Plan{Faults: []plan.Fault{{Kind: plan.Stop, At: 2 * time.Second, For: time.Second}, {Kind: plan.Kill, At: 5 * time.Second, For: time.Second}}}
		planned := func(f plan.Fault) bool { return f.Kind.Planned() }
		Expect(p.Only(0, 4*time.Second, planned)).To(BeTrue())
		Expect(p.Only(0, 5*time.Second, planned)).To(BeFalse())
		Expect(p.Only(6*time.Second, 7*time.Second, planned)).To(BeFalse())
		Expect(p.Only(7*time.Second, 8*time.Second, planned)).To(BeTrue())
	})
})
