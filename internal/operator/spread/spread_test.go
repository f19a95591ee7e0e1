package spread_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/spread"
)

// bound is the longest time until a change is in force on every reachable host.
const bound = 4 * time.Second

// settled returns a fleet in which every host has revision 1.
func settled(zones, perZone int, seed uint64) *fleet {
	f := newFleet(zones, perZone, seed)
	f.store = 1
	f.run(5 * time.Second)
	Expect(f.behind(1, f.hosts)).To(BeEmpty())
	return f
}

// behind names the running hosts among some that don't have the revision.
func (f *fleet) behind(revision int64, hosts []*host) []string {
	var names []string
	for _, h := range hosts {
		if h.up && h.node.Revision() < revision {
			names = append(names, h.name)
		}
	}
	return names
}

func (f *fleet) inZone(zone string) []*host {
	var hosts []*host
	for _, h := range f.hosts {
		if h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (f *fleet) cutZones(a, b string, is bool) {
	f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = is, is
}

var _ = Describe("a change", func() {
	DescribeTable("is in force on every host within the bound", func(fault func(f *fleet)) {
		for seed := range uint64(3) {
			f := settled(3, 7, seed)
			fault(f)
			f.change()
			f.run(bound)
			Expect(f.behind(2, f.hosts)).To(BeEmpty(), fmt.Sprint("seed ", seed))
		}
	},
		Entry("without a fault", func(*fleet) {}),
		Entry("with a fifth of the messages lost", func(f *fleet) { f.loss = 0.2 }),
		Entry("with two hosts a zone just lost", func(f *fleet) {
			for _, h := range f.hosts[:6] {
				h.up = false
			}
		}),
		Entry("with both watchers of a zone just lost", func(f *fleet) {
			for _, h := range f.inZone("z0") {
				h.up = !h.node.Watching()
			}
		}),
		Entry("with all watches silent", func(f *fleet) {
			for _, h := range f.hosts {
				h.silent = h.node.Watching()
			}
		}),
		Entry("with the watches broken by a compaction", func(f *fleet) { f.breakWatches() }),
		Entry("with a zone cut off from the platform", func(f *fleet) { f.cutStore["z1"] = true }),
		Entry("with two zones cut off from the platform and from each other", func(f *fleet) {
			f.cutStore["z1"], f.cutStore["z2"] = true, true
			f.cutZones("z1", "z2", true)
		}),
		Entry("with a host that has just restarted", func(f *fleet) {
			f.start(f.hosts[4])
		}),
	)

	It("reaches a zone that was cut off from everything when the cut heals", func() {
		f := settled(3, 7, 1)
		f.cutStore["z1"] = true
		f.cutZones("z0", "z1", true)
		f.cutZones("z1", "z2", true)
		f.change()
		f.run(time.Minute)
		Expect(f.behind(2, f.hosts)).To(HaveLen(7))
		f.cutZones("z0", "z1", false)
		f.run(bound)
		Expect(f.behind(2, f.hosts)).To(BeEmpty())
	})

	It("is taken from peers by a host that restarts during an outage of the store", func() {
		f := settled(3, 7, 1)
		f.change()
		f.run(bound)
		f.setStoreDown(true)
		h := f.hosts[5]
		f.start(h)
		f.run(bound)
		Expect(h.node.Revision()).To(BeEquivalentTo(2))
	})

	It("follows the end of an outage", func() {
		f := settled(3, 7, 1)
		f.setStoreDown(true)
		f.run(10 * time.Minute)
		f.setStoreDown(false)
		f.change()
		f.run(bound)
		Expect(f.behind(2, f.hosts)).To(BeEmpty())
	})

	It("is watched by two hosts a zone, whatever its size", func() {
		for _, perZone := range []int{1, 2, 9} {
			f := settled(3, perZone, 1)
			watching := 0
			for _, h := range f.hosts {
				if h.node.Watching() {
					watching++
				}
			}
			Expect(watching).To(Equal(3 * min(perZone, 2)))
		}
	})
})

var _ = Describe("a node", func() {
	var members []spread.Member
	for i := range 30 {
		members = append(members, spread.Member{Name: fmt.Sprintf("h%02d", i), Zone: "z"})
	}

	It("ignores a revision that is not higher than the one in force", func() {
		n := spread.NewNode(members[0])
		n.Members(members)
		Expect(n.Adopted(time.Unix(0, 0), 5, spread.FromStore, "")).NotTo(BeEmpty())
		Expect(n.Adopted(time.Unix(0, 0), 4, spread.FromStore, "")).To(BeEmpty())
		Expect(n.Adopted(time.Unix(0, 0), 5, spread.FromStore, "")).To(BeEmpty())
		Expect(n.Revision()).To(BeEquivalentTo(5))
	})

	It("serves the places below a host that can't be reached", func() {
		served := make(map[spread.Action]bool)
		var root *spread.Node
		var first []spread.Action
		for _, m := range members {
			n := spread.NewNode(m)
			n.Members(members)
			if actions := n.Adopted(time.Unix(0, 0), 5, spread.FromStore, ""); len(actions) == 8 {
				root, first = n, actions
			}
		}
		Expect(root).NotTo(BeNil(), "the root pushes to the eight below it")
		for _, action := range first {
			for _, more := range root.PushEnded(time.Unix(0, 0), action.(spread.Push).To, 5, 0, false) {
				Expect(served).NotTo(HaveKey(more))
				served[more] = true
			}
		}
		Expect(served).To(HaveLen(30 - 1 - 8))
	})

	It("takes the highest revision it hears of before its first text", func() {
		n := spread.NewNode(members[0])
		n.Members(members)
		now := time.Unix(0, 0)
		Expect(n.Offered(now, "h01", 4)).To(BeEmpty())
		Expect(n.Offered(now.Add(500*time.Millisecond), "h02", 5)).To(BeEmpty())
		Expect(n.Tick(now.Add(time.Second))).To(ContainElement(spread.Fetch{From: "h02"}))
	})
})

var _ = Describe("any fleet", func() {
	It("never goes back, runs ahead of the store, or stays behind once faults end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
			f.store = 1
			last := make(map[string]int64)
			f.adopted = func(h *host) {
				key := fmt.Sprint(h.name, "/", h.life)
				if h.node.Revision() <= last[key] || h.node.Revision() > f.store {
					t.Fatalf("%s went from %d to %d, the store has %d", key, last[key], h.node.Revision(), f.store)
				}
				last[key] = h.node.Revision()
			}
			zone := func() string { return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")].zone }
			faults := map[string]func(){
				"change":  func() { f.change() },
				"lose":    func() { f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")].up = false },
				"restart": func() { f.start(f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")]) },
				"outage":  func() { f.setStoreDown(!f.storeDown) },
				"compact": f.breakWatches,
				"cut platform": func() {
					z := zone()
					f.cutStore[z] = !f.cutStore[z]
				},
				"cut zones": func() {
					a, b := zone(), zone()
					f.cutZones(a, b, a != b && !f.cut[[2]string{a, b}])
				},
				"loss": func() { f.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss") },
				"silent": func() {
					for _, h := range f.hosts {
						h.silent = h.node.Watching()
					}
				},
			}
			names := []string{"change", "change", "change", "lose", "restart", "outage", "compact", "cut platform", "cut zones", "loss", "silent"}
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				faults[rapid.SampledFrom(names).Draw(t, "step")]()
				f.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			}
			f.storeDown, f.loss = false, 0
			clear(f.cut)
			clear(f.cutStore)
			f.run(2 * bound)
			if behind := f.behind(f.store, f.hosts); len(behind) > 0 {
				t.Fatalf("%v are behind revision %d", behind, f.store)
			}
		})
	})
})

var _ = Describe("a delta", func() {
	It("turns any text into any other, and refuses any other base", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := rapid.StringMatching("[ab]{0,12}")
			before, after, other := text.Draw(t, "before"), text.Draw(t, "after"), text.Draw(t, "other")
			d := spread.Between(1, 2, []byte(before), []byte(after))
			got, ok := d.Apply([]byte(before))
			if !ok || string(got) != after {
				t.Fatalf("%q becomes %q, %v", before, got, ok)
			}
			if got, ok := d.Apply([]byte(other)); ok && string(got) != after {
				t.Fatalf("%q becomes %q", other, got)
			}
		})
	})

	It("is kept for hosts that are some revisions behind, within bounds", func() {
		var h spread.History
		for i := int64(1); i < 200; i++ {
			h.Add(spread.Delta{From: i, To: i + 1, Insert: make([]byte, 100)})
		}
		deltas, ok := h.Since(190)
		Expect(ok).To(BeTrue())
		Expect(deltas).To(HaveLen(10))
		_, ok = h.Since(100)
		Expect(ok).To(BeFalse())
		h.Add(spread.Delta{From: 300, To: 301})
		_, ok = h.Since(190)
		Expect(ok).To(BeFalse(), "a gap ends what was kept")
	})
})
