package distribution_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/distribution"
)

// propagationBound is the longest allowed time until a change is in force on
// every reachable host.
const propagationBound = 4 * time.Second

// newSettledFleet returns a fleet in which every host has revision 1 in force.
func newSettledFleet(zones, perZone int, seed uint64) *fleet {
	f := newFleet(zones, perZone, seed)
	f.storeRevision = 1
	f.run(5 * time.Second)
	Expect(f.behind(1, f.hosts)).To(BeEmpty())
	return f
}

// behind returns the names of the given hosts that are up and have an earlier
// revision in force than the given one.
func (f *fleet) behind(revision int64, hosts []*host) []string {
	var names []string
	for _, h := range hosts {
		if h.up && h.node.Revision() < revision {
			names = append(names, h.name)
		}
	}
	return names
}

func (f *fleet) hostsInZone(zone string) []*host {
	var hosts []*host
	for _, h := range f.hosts {
		if h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (f *fleet) setPartition(a, b string, partitioned bool) {
	f.partitions[[2]string{a, b}], f.partitions[[2]string{b, a}] = partitioned, partitioned
}

var _ = Describe("a change", func() {
	DescribeTable("is in force on every host within the bound", func(fault func(f *fleet)) {
		for seed := range uint64(3) {
			f := newSettledFleet(3, 7, seed)
			fault(f)
			f.change()
			f.run(propagationBound)
			Expect(f.behind(2, f.hosts)).To(BeEmpty(), fmt.Sprint("seed ", seed))
		}
	},
		Entry("without a fault", func(*fleet) {}),
		Entry("with a fifth of the messages lost", func(f *fleet) { f.loss = 0.2 }),
		Entry("with two hosts per zone just lost", func(f *fleet) {
			for _, h := range f.hosts[:6] {
				h.up = false
			}
		}),
		Entry("with both watchers of a zone just lost", func(f *fleet) {
			for _, h := range f.hostsInZone("z0") {
				h.up = !h.node.Watching()
			}
		}),
		Entry("with all watches silent", func(f *fleet) {
			for _, h := range f.hosts {
				h.watchSilent = h.node.Watching()
			}
		}),
		Entry("with the watches broken by a compaction", func(f *fleet) { f.breakWatches() }),
		Entry("with a zone cut off from the platform", func(f *fleet) { f.storePartitions["z1"] = true }),
		Entry("with two zones cut off from the platform and from each other", func(f *fleet) {
			f.storePartitions["z1"], f.storePartitions["z2"] = true, true
			f.setPartition("z1", "z2", true)
		}),
		Entry("with a host that has just restarted", func(f *fleet) {
			f.start(f.hosts[4])
		}),
	)

	It("reaches a zone that was cut off from everything when the cut heals", func() {
		f := newSettledFleet(3, 7, 1)
		f.storePartitions["z1"] = true
		f.setPartition("z0", "z1", true)
		f.setPartition("z1", "z2", true)
		f.change()
		f.run(time.Minute)
		Expect(f.behind(2, f.hosts)).To(HaveLen(7))
		f.setPartition("z0", "z1", false)
		f.run(propagationBound)
		Expect(f.behind(2, f.hosts)).To(BeEmpty())
	})

	It("is taken from peers by a host that restarts during an outage of the store", func() {
		f := newSettledFleet(3, 7, 1)
		f.change()
		f.run(propagationBound)
		f.setStoreDown(true)
		h := f.hosts[5]
		f.start(h)
		f.run(propagationBound)
		Expect(h.node.Revision()).To(BeEquivalentTo(2))
	})

	It("is put into force within the bound if it is made at the end of an outage of the store", func() {
		f := newSettledFleet(3, 7, 1)
		f.setStoreDown(true)
		f.run(10 * time.Minute)
		f.setStoreDown(false)
		f.change()
		f.run(propagationBound)
		Expect(f.behind(2, f.hosts)).To(BeEmpty())
	})

	It("is watched for by two hosts per zone, whatever the size of the zone", func() {
		for _, perZone := range []int{1, 2, 9} {
			f := newSettledFleet(3, perZone, 1)
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
	var members []distribution.Member
	for i := range 30 {
		members = append(members, distribution.Member{Name: fmt.Sprintf("h%02d", i), Zone: "z"})
	}

	It("ignores a revision that is not higher than the one in force", func() {
		n := distribution.NewNode(members[0])
		n.SetMembers(members)
		Expect(n.Adopted(time.Unix(0, 0), 5, distribution.FromStore, "")).NotTo(BeEmpty())
		Expect(n.Adopted(time.Unix(0, 0), 4, distribution.FromStore, "")).To(BeEmpty())
		Expect(n.Adopted(time.Unix(0, 0), 5, distribution.FromStore, "")).To(BeEmpty())
		Expect(n.Revision()).To(BeEquivalentTo(5))
	})

	It("pushes to the children of a host that can't be reached", func() {
		pushed := make(map[distribution.Action]bool)
		var root *distribution.Node
		var rootPushes []distribution.Action
		for _, m := range members {
			n := distribution.NewNode(m)
			n.SetMembers(members)
			if actions := n.Adopted(time.Unix(0, 0), 5, distribution.FromStore, ""); len(actions) == 8 {
				root, rootPushes = n, actions
			}
		}
		Expect(root).NotTo(BeNil(), "the root pushes to its eight children")
		for _, action := range rootPushes {
			for _, push := range root.PushEnded(time.Unix(0, 0), action.(distribution.Push).To, 5, 0, false) {
				Expect(pushed).NotTo(HaveKey(push))
				pushed[push] = true
			}
		}
		Expect(pushed).To(HaveLen(30 - 1 - 8))
	})

	It("fetches the highest revision reported to it before its first text", func() {
		n := distribution.NewNode(members[0])
		n.SetMembers(members)
		now := time.Unix(0, 0)
		Expect(n.RevisionReported(now, "h01", 4)).To(BeEmpty())
		Expect(n.RevisionReported(now.Add(500*time.Millisecond), "h02", 5)).To(BeEmpty())
		Expect(n.Tick(now.Add(time.Second))).To(ContainElement(distribution.Fetch{From: "h02"}))
	})
})

var _ = Describe("any fleet", func() {
	It("never goes back, runs ahead of the store, or stays behind once faults end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
			f.storeRevision = 1
			last := make(map[string]int64)
			f.onAdopt = func(h *host) {
				key := fmt.Sprint(h.name, "/", h.incarnation)
				if h.node.Revision() <= last[key] || h.node.Revision() > f.storeRevision {
					t.Fatalf("%s went from %d to %d, the store has %d", key, last[key], h.node.Revision(), f.storeRevision)
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
					f.storePartitions[z] = !f.storePartitions[z]
				},
				"cut zones": func() {
					a, b := zone(), zone()
					f.setPartition(a, b, a != b && !f.partitions[[2]string{a, b}])
				},
				"loss": func() { f.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss") },
				"silent": func() {
					for _, h := range f.hosts {
						h.watchSilent = h.node.Watching()
					}
				},
			}
			names := []string{"change", "change", "change", "lose", "restart", "outage", "compact", "cut platform", "cut zones", "loss", "silent"}
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				faults[rapid.SampledFrom(names).Draw(t, "step")]()
				f.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			}
			f.storeDown, f.loss = false, 0
			clear(f.partitions)
			clear(f.storePartitions)
			f.run(2 * propagationBound)
			if behind := f.behind(f.storeRevision, f.hosts); len(behind) > 0 {
				t.Fatalf("%v are behind revision %d", behind, f.storeRevision)
			}
		})
	})
})

var _ = Describe("a delta", func() {
	It("turns any text into any other, and refuses any other base", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := rapid.StringMatching("[ab]{0,12}")
			before, after, other := text.Draw(t, "before"), text.Draw(t, "after"), text.Draw(t, "other")
			d := distribution.NewDelta(1, 2, []byte(before), []byte(after))
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
		var h distribution.History
		for i := int64(1); i < 200; i++ {
			h.Add(distribution.Delta{From: i, To: i + 1, Insert: make([]byte, 100)})
		}
		deltas, ok := h.Since(190)
		Expect(ok).To(BeTrue())
		Expect(deltas).To(HaveLen(10))
		_, ok = h.Since(100)
		Expect(ok).To(BeFalse())
		h.Add(distribution.Delta{From: 300, To: 301})
		_, ok = h.Since(190)
		Expect(ok).To(BeFalse(), "a gap empties the history")
	})
})
