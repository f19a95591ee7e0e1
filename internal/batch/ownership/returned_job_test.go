package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stopAside stops a host while the clock goes on, and returns once its job has another
// owner in the store.
func (f *fleet) stopAside(name, heir string) {
	GinkgoHelper()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.hosts[name].Stop(ctx)
	}()
	DeferCleanup(func() { Eventually(stopped, waitTimeout).Should(BeClosed()) })
	f.eventually(func(g Gomega) { g.Expect(f.ownerOf("j")).To(Equal(heir)) })
}

var _ = Describe("an owner that gets a job back which it still has", func() {
	// Guards against an heir that lists a result while the owner before the last one
	// still denies it, as the heir does not take the job over.
	It("lists no result before the owner before the last one has stopped denying it", func() {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		// A learns from no scan that it lost the job.
		old := f.records()
		hostA.staleRecords.Store(&old)
		f.leave("A")
		f.leave("C")
		hostA.cutOff.Store(true)
		f.takenFrom("A")
		Expect(f.ownerOf("j")).To(Equal("B"))
		f.leave("B")
		f.hosts["B"].cutOff.Store(true)
		f.hosts["C"].dead.Store(false)
		f.takenFrom("A", "B")
		Expect(f.ownerOf("j")).To(Equal("C"))
		hostA.dead.Store(false)
		hostA.cutOff.Store(false)
		f.stopAside("C", "A")
		close(f.servers.block)
		f.eventually(func(g Gomega) {
			r.read("A", "B")
			g.Expect(r.seen).To(HaveLen(2))
		})
		r.readFor(2*time.Second, "A", "B")
		r.expectSound(2, 40)
	})

	// Guards against a mark of release that outlasts the owner which it was made for.
	It("has stopped denying a result when the host that takes the job over next lists it", func() {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		// A learns from no scan that it lost the job.
		old := f.records()
		hostA.staleRecords.Store(&old)
		f.leave("A")
		f.leave("C")
		hostA.cutOff.Store(true)
		f.takenFrom("A")
		Expect(f.ownerOf("j")).To(Equal("B"))
		f.advance(endGrace)
		hostA.dead.Store(false)
		hostA.cutOff.Store(false)
		f.stopAside("B", "A")
		f.eventually(func(g Gomega) {
			page, ok := hostA.read("j", 1)
			g.Expect(ok && page.Confirmed).To(BeTrue())
		})
		f.leave("A")
		f.leave("B")
		hostA.cutOff.Store(true)
		f.hosts["C"].dead.Store(false)
		f.takenFrom("B", "A")
		close(f.servers.block)
		f.eventually(func(g Gomega) {
			r.read("C", "A")
			g.Expect(r.seen).To(HaveLen(2))
		})
		r.readFor(2*time.Second, "A", "C")
		r.expectSound(2, 40)
	})

	// Guards against a mark of release from before the owner knew that the job had been
	// elsewhere.
	It("lets its heir list no result too early, if it stops before it has learnt of this", func() {
		f, r := newHalfListed("A", "B", "C", "D")
		hostA := f.hosts["A"]
		// A learns from no scan that it lost the job.
		old := f.records()
		hostA.staleRecords.Store(&old)
		f.leave("A")
		f.leave("C")
		f.leave("D")
		hostA.cutOff.Store(true)
		f.takenFrom("A")
		Expect(f.ownerOf("j")).To(Equal("B"))
		f.leave("B")
		f.hosts["B"].cutOff.Store(true)
		f.hosts["C"].dead.Store(false)
		f.takenFrom("A", "B")
		Expect(f.ownerOf("j")).To(Equal("C"))
		hostA.dead.Store(false)
		f.stopAside("C", "A")
		f.leave("C")
		f.hosts["D"].dead.Store(false)
		hostA.cutOff.Store(false)
		f.stopAside("A", "D")
		close(f.servers.block)
		f.eventually(func(g Gomega) {
			r.read("D", "B")
			g.Expect(r.seen).To(HaveLen(2))
		})
		r.readFor(2*time.Second, "D", "B")
		r.expectSound(2, 40)
	})
})

var _ = Describe("an heir that has taken a job over", func() {
	// Guards against a mark of release that is taken for one of the heir's own.
	It("has stopped denying a result when the host that takes the job over next lists it", func() {
		f, r := newHalfListed("A", "B", "C")
		hostB := f.hosts["B"]
		// B runs no item, so that it attempts no write.
		hostB.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		f.leave("C")
		f.stopAside("A", "B")
		f.eventually(func(g Gomega) { g.Expect(hostB.OwnedJobs()).To(ConsistOf("j")) })
		page, ok := hostB.read("j", 1)
		Expect(ok && page.Confirmed).To(BeTrue())
		f.leave("A")
		f.leave("B")
		hostB.cutOff.Store(true)
		f.hosts["C"].dead.Store(false)
		f.takenFrom("A", "B")
		close(f.servers.block)
		f.eventually(func(g Gomega) {
			r.read("C", "B")
			g.Expect(r.seen).To(HaveLen(2))
		})
		r.readFor(2*time.Second, "B", "C")
		r.expectSound(2, 40)
	})
})
