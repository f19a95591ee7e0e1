package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

var _ = Describe("a scan that reads an old list of records", func() {
	const period = 5 * time.Second

	// Guards against a host that takes a job over from an owner that is not its owner any more.
	DescribeTable("takes no job over", func(old func(f *fleet) []store.Entry, openStill bool) {
		f, r := newHalfListed("A", "B", "C")
		records := old(f)
		f.leave("A")
		f.takenFrom("A")
		if !openStill {
			close(f.servers.block)
			r.readUntil(2, "B", "C")
		}
		owner := f.ownerOf("j")
		for _, h := range f.hosts {
			h.staleRecords.Store(&records)
		}
		r.readFor(period, "B", "C")
		Expect(f.ownerOf("j")).To(Equal(owner))
		if openStill {
			close(f.servers.block)
		}
		f.hosts["A"].dead.Store(false)
		r.readFor(period, "A", "B", "C")
		Expect(f.ownerOf("j")).To(Equal(owner))
		r.expectSound(2, 300)
	},
		Entry("of an owner that is gone", (*fleet).records, true),
		Entry("that is complete", (*fleet).records, false),
		Entry("of no owner", func(f *fleet) []store.Entry { return f.recordsWith("") }, true),
		Entry("that host B owned", func(f *fleet) []store.Entry { return f.recordsWith("B") }, true),
		Entry("that host B owned and that is complete", func(f *fleet) []store.Entry { return f.recordsWith("B") }, false),
		Entry("that host C owned", func(f *fleet) []store.Entry { return f.recordsWith("C") }, true),
	)

	// Guards against the removal of a job that was accepted again after its removal.
	It("removes no job that was accepted after the one on the list was removed", func() {
		f := newFleet("A", "B", "C", "D")
		// D learns nothing of the first job.
		hostD := f.hosts["D"]
		f.leave("D")
		hostD.cutOff.Store(true)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["A"], "j")).To(HaveLen(1)) })
		f.clock.Advance(149 * time.Second)
		old := f.records()
		Expect(old).To(HaveLen(1))
		f.eventually(func(g Gomega) { g.Expect(f.records()).To(BeEmpty()) })
		hostD.dead.Store(false)
		hostD.cutOff.Store(false)
		f.servers.mu.Lock()
		f.servers.block = make(chan struct{})
		f.servers.mu.Unlock()
		Expect(hostD.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		Expect(f.records()).To(HaveLen(1))
		for _, h := range f.hosts {
			h.staleRecords.Store(&old)
		}
		f.advance(3 * time.Second)
		Expect(f.records()).To(HaveLen(1))
		for _, h := range f.hosts {
			h.staleRecords.Store(nil)
		}
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, hostD, "j")).To(HaveLen(2)) })
	})
})

// recordsWith returns the entries of all records with another owner.
func (f *fleet) recordsWith(owner string) []store.Entry {
	GinkgoHelper()
	entries := f.records()
	for i, e := range entries {
		r, err := jobstate.DecodeRecord(e.Value)
		Expect(err).NotTo(HaveOccurred())
		r.Owner = owner
		entries[i].Value, err = r.Encode()
		Expect(err).NotTo(HaveOccurred())
	}
	return entries
}
