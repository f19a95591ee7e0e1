package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// read reads one page of a job at a host.
func (h *host) read(id string, after int) (page ownership.ResultPage, ok bool) {
	page, failure := h.tellResults(ctx, id, after, 0, true)
	return page, failure == nil
}

// shorterPages reads a job for a while at hosts, from each position that was read
// before, and returns how many pages were answered and how many of these had
// nothing at their position.
func (f *fleet) shorterPages(id string, listed int, period time.Duration, names ...string) (answered, shorter int) {
	for end := f.clock.Now().Add(period); f.clock.Now().Before(end); f.advance(100 * time.Millisecond) {
		for _, name := range names {
			for after := range listed {
				page, ok := f.hosts[name].read(id, after)
				if !ok {
					continue
				}
				answered++
				if len(page.Results) == 0 {
					shorter++
				}
			}
		}
	}
	return answered, shorter
}

var _ = Describe("the list of results of a job with a former owner", func() {
	// takenOver returns a fleet in which B has taken job j over from A and completed
	// it, and C has read both results. A, which could neither reach the store nor any
	// host, still has its outdated list; no host scans any more.
	takenOver := func() *fleet {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].cutOff.Store(true)
		f.eventually(func(g Gomega) {
			g.Expect(f.hosts["B"].OwnedJobs() == nil && f.hosts["C"].OwnedJobs() == nil).To(BeFalse())
		})
		f.noScanners.Store(true)
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["C"], "j")).To(HaveLen(2)) })
		return f
	}
	const period = 2 * time.Second

	It("is never shorter than what was read before, once the former owner is back", func() {
		f := takenOver()
		f.hosts["A"].dead.Store(false)
		f.hosts["A"].cutOff.Store(false)
		answered, shorter := f.shorterPages("j", 2, period, "A", "C")
		Expect(shorter).To(BeZero(), "%d pages were answered", answered)
		Expect(answered).To(BeNumerically(">=", 70), "sound reads are answered")
	})

	It("is never shorter at any host that believes the former owner's claim", func() {
		f := takenOver()
		f.hosts["A"].dead.Store(false)
		f.hosts["A"].cutOff.Store(false)
		for _, name := range []string{"B", "C"} {
			f.hosts[name].LearnOwner("A", []string{"j"})
		}
		answered, shorter := f.shorterPages("j", 2, period, "A", "B", "C")
		Expect(shorter).To(BeZero(), "%d pages were answered", answered)
		Expect(answered).To(BeNumerically(">=", 110), "sound reads are answered")
	})

	It("is never shorter while the former owner still can't reach the store", func() {
		f := takenOver()
		f.hosts["A"].dead.Store(false)
		f.hosts["C"].LearnOwner("A", []string{"j"})
		answered, shorter := f.shorterPages("j", 2, period, "A", "C")
		Expect(shorter).To(BeZero(), "%d pages were answered", answered)
		Expect(answered).To(BeNumerically(">=", 35), "C reads the store itself")
	})

	It("is never shorter at an owner that gets a job back of which it has an old list", func() {
		f := takenOver()
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "A", "B/1", r.Serial+1 })
		f.hosts["A"].dead.Store(false)
		f.hosts["A"].cutOff.Store(false)
		Expect(f.hosts["A"].Manager.Adopt(ctx, "j")).To(BeNil())
		answered, shorter := f.shorterPages("j", 2, period, "A", "C")
		Expect(shorter).To(BeZero(), "%d pages were answered", answered)
		Expect(answered).To(BeNumerically(">=", 70), "sound reads are answered")
	})

	// Guards against a proof that outlasts a suspension of the machine, which the time
	// between two readings of the steady clock leaves out.
	It("is not served from memory by an owner whose machine was suspended", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "B", "B/1", r.Serial+1 })
		f.clock.Suspend(endGrace)
		_, _ = f.hosts["A"].read("j", 0)
		Expect(f.hosts["A"].OwnedJobs()).To(BeEmpty())
	})

	// Guards against a result that a reader saw in the store, and that its owner, whose
	// write has no reply yet, denies.
	It("is not served from memory while a write of the owner has no reply", func() {
		f := newFleet("A", "B")
		hostA := f.hosts["A"]
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		Expect(hostA.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.kv.SetFaults(func(op string) platform.Fault {
			if op == "txn" {
				return platform.LoseReply
			}
			return platform.NoFault
		})
		close(f.servers.block)
		hostA.dead.Store(true)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["B"], "j")).To(HaveLen(2)) })
		for after := range 2 {
			page, ok := hostA.read("j", after)
			Expect(ok && len(page.Results) == 0).To(BeFalse(), "position %d", after)
		}
		f.kv.SetFaults(nil)
	})

	It("is read from the store if the owner's build does not confirm that it ends", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.hosts["A"].earlierBuild.Store(true)
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["B"], "j")).To(HaveLen(2)) })
		Expect(f.hosts["B"].OwnedJobs()).To(BeEmpty())
	})

	// Guards against the word of a former owner whose build needs no proof.
	It("is never shorter at a host that asks a former owner of an earlier build", func() {
		f := takenOver()
		f.hosts["A"].dead.Store(false)
		f.hosts["A"].outdatedTotal.Store(2)
		f.addHost("D", "D/1").LearnOwner("A", []string{"j"})
		answered, shorter := f.shorterPages("j", 2, period, "D")
		Expect(shorter).To(BeZero(), "%d pages were answered", answered)
		Expect(answered).To(Equal(40), "D reads the store itself")
	})

	It("gets no result from a new owner before the former one has stopped denying it", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].cutOff.Store(true)
		f.eventually(func(g Gomega) { g.Expect(f.hosts["B"].OwnedJobs()).To(ConsistOf("j")) })
		taken := f.clock.Now()
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["B"], "j")).To(HaveLen(1)) })
		Expect(f.clock.Now().Sub(taken)).To(BeNumerically(">=", endGrace/2-100*time.Millisecond))
	})

	It("gets results at once from an heir that its owner named when it stopped", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.hosts["A"].Stop(ctx)
		}()
		f.eventually(func(g Gomega) { g.Expect(f.hosts["B"].OwnedJobs()).To(ConsistOf("j")) })
		taken := f.clock.Now()
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["B"], "j")).To(HaveLen(1)) })
		Expect(f.clock.Now().Sub(taken)).To(BeNumerically("<", endGrace/2))
		Eventually(stopped, waitTimeout).Should(BeClosed())
	})
})

var _ = Describe("a job that completes long after its acceptance", func() {
	// Guards against results that are removed before their callers can read them.
	It("stays readable for a while", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.clock.Advance(170 * time.Second)
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["A"], "j")).To(HaveLen(1)) })
		for range 20 {
			f.clock.Advance(time.Second)
			time.Sleep(2 * time.Millisecond)
		}
		Expect(listResults(Default, f.hosts["A"], "j")).To(HaveLen(1))
		Expect(listResults(Default, f.hosts["B"], "j")).To(HaveLen(1))
	})
})
