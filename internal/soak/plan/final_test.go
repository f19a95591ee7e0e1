package plan_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/soak/plan"
)

var _ = Describe("NewFinal", func() {
	sizes := plan.Sizes{Hosts: 3, Servers: 4, Length: 16 * time.Second}

	It("ends all hosts at one moment, the same for equal seeds, and over 40 seeds yields every outage, second deaths and all that goes on", func() {
		const seeds = 40
		outages, after, changes, aims := map[plan.Kind]int{}, map[plan.Kind]int{}, map[plan.Change]int{}, map[plan.Aim]int{}
		calm, again := 0, 0
		for seed := range uint64(seeds) {
			p := plan.NewFinal(seed, sizes)
			Expect(p.String()).To(Equal(plan.NewFinal(seed, sizes).String()))
			Expect(p.Final).To(BeNumerically(">", 3*time.Second))
			Expect(p.Cells).To(HaveLen(1))
			killed, outage, secondDeath := map[int]bool{}, false, false
			for _, f := range p.Faults {
				Expect(f.Start).To(And(BeNumerically(">=", p.Final), BeNumerically("<", sizes.Length)))
				Expect(f.Start + f.Duration).To(BeNumerically("<=", p.FaultsEnd))
				if f.Kind.TargetsHost() {
					Expect(f.Target).To(BeNumerically("<", sizes.Hosts))
				}
				switch {
				case f.Kind == plan.Kill && f.Start == p.Final:
					killed[f.Target] = true
				case f.Kind == plan.Kill:
					Expect(f.Start).To(BeNumerically("<=", p.Final+3*time.Second))
					secondDeath = true
				case f.Start == p.Final:
					Expect(f.Duration).To(And(BeNumerically(">=", 500*time.Millisecond), BeNumerically("<=", 4*time.Second)))
					outages[f.Kind]++
					outage = true
				default:
					after[f.Kind]++
				}
				switch f.Kind {
				case plan.Configure:
					changes[f.Change]++
				case plan.Pause:
					aims[f.Aim]++
				}
			}
			Expect(killed).To(HaveLen(sizes.Hosts))
			Expect(strings.Contains(p.Cells[0], " and the store")).To(Equal(outage))
			Expect(strings.Contains(p.Cells[0], " again after")).To(Equal(secondDeath))
			if !outage {
				calm++
			}
			if secondDeath {
				again++
			}
		}
		Expect(outages).To(HaveLen(4))
		Expect(after).To(HaveLen(7))
		Expect(changes).To(HaveLen(int(plan.ChangeCount)))
		Expect(aims).To(HaveLen(4))
		Expect(calm).To(BeNumerically("~", seeds/2, seeds/4))
		Expect(again).To(BeNumerically("~", seeds/2, seeds/4))
	})
})
