package ownership_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// pastRetention is longer than the time for which a complete job is kept.
const pastRetention = 190 * time.Second

// isStored reports whether the store has the record of a job.
func (f *fleet) isStored(id string) bool {
	GinkgoHelper()
	_, ok, err := f.kv.Get(ctx, jobstate.RecordKey(id))
	Expect(err).NotTo(HaveOccurred())
	return ok
}

// remove removes all of a job from the store, as a host does that no host hears of.
func (f *fleet) remove(id string) {
	GinkgoHelper()
	for _, prefix := range []string{jobstate.BodyPrefix(id), jobstate.ResultPrefix(id), jobstate.PartialKey(id), jobstate.RecordKey(id)} {
		entries, _, err := store.RangeAll(ctx, f.kv, prefix, 0)
		Expect(err).NotTo(HaveOccurred())
		for _, e := range entries {
			_, err := f.kv.Commit(ctx, store.Txn{Deletes: []string{e.Key}})
			Expect(err).NotTo(HaveOccurred())
		}
	}
}

// awaitRemoval waits until a scanner has removed a complete job.
func (f *fleet) awaitRemoval(id string) {
	GinkgoHelper()
	f.eventually(func(g Gomega) {
		f.clock.Advance(time.Second)
		g.Expect(f.isStored(id)).To(BeFalse())
	})
}

// handIn hands a job of two items in at a host.
func (f *fleet) handIn(name, id string) *result.Error {
	return f.hosts[name].Submit(ctx, submission(id, 2, 1))
}

// expectKept expects that a job that was just answered as accepted is kept and runs.
func (f *fleet) expectKept(id string, names ...string) {
	GinkgoHelper()
	Expect(f.isStored(id)).To(BeTrue(), "the job is in the store")
	for _, name := range names {
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts[name], id), 2) })
	}
}

// completed returns a fleet in which A has accepted job j and completed it, and B has heard
// of it. No host scans any more.
func completed() *fleet {
	GinkgoHelper()
	f := newFleet("A", "B")
	Expect(f.handIn("A", "j")).To(BeNil())
	f.hosts["B"].LearnOwner("A", []string{"j"})
	f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
	f.noScanners.Store(true)
	return f
}

var _ = Describe("a job that is handed in again after its removal", func() {
	It("is kept by a host that has heard of its owner", func() {
		f := newFleet("A", "B")
		Expect(f.handIn("A", "j")).To(BeNil())
		f.hosts["B"].LearnOwner("A", []string{"j"})
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		f.awaitRemoval("j")
		f.hosts["B"].LearnOwner("A", []string{"j"})
		Expect(f.handIn("B", "j")).To(BeNil())
		f.expectKept("j", "A", "B")
	})

	It("is kept by a host that has read its record", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.handIn("A", "j")).To(BeNil())
		Expect(f.handIn("B", "j")).To(BeNil())
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		f.awaitRemoval("j")
		Expect(f.handIn("B", "j")).To(BeNil())
		f.expectKept("j", "A", "B")
	})

	It("is kept by its owner, which still has it as complete", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		Expect(f.handIn("A", "j")).To(BeNil())
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		f.remove("j")
		f.clock.Suspend(pastRetention)
		Expect(f.handIn("A", "j")).To(BeNil())
		f.expectKept("j", "A")
	})

	It("is kept by a former owner, which was cut off and still has it as open", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.handIn("A", "j")).To(BeNil())
		f.leave("A")
		f.hosts["A"].cutOff.Store(true)
		f.takenFrom("A")
		f.hosts["A"].directory.Remove(f.clock.Now(), backendServer.ID, 0)
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["B"], "j"), 2) })
		f.awaitRemoval("j")
		Expect(f.hosts["A"].OwnedJobs()).To(ConsistOf("j"))
		f.hosts["A"].cutOff.Store(false)
		Expect(f.handIn("A", "j")).To(BeNil())
		f.hosts["A"].dead.Store(false)
		f.hosts["A"].directory.Put(backendServer)
		f.expectKept("j", "A", "B")
	})
})

var _ = Describe("a job that is handed in again beside its removal", func() {
	It("is not answered as accepted once it may be removed at any moment, and is kept after it", func() {
		f := completed()
		f.clock.Advance(pastRetention)
		failure := f.handIn("B", "j")
		Expect(failure).NotTo(BeNil())
		Expect(failure.Ran()).To(Equal(result.RanYes))
		f.remove("j")
		Expect(f.handIn("B", "j")).To(BeNil())
		f.noScanners.Store(false)
		f.expectKept("j", "A", "B")
	})

	DescribeTable("is kept if it is answered as accepted, whichever call the removal follows", func(heard bool, op string) {
		f := completed()
		f.clock.Advance(pastRetention)
		h := f.addHost("C", "C/1")
		if heard {
			h.LearnOwner("A", []string{"j"})
		}
		var once sync.Once
		h.afterCall.set(func(call string) {
			if call == op {
				once.Do(func() { f.remove("j") })
			}
		})
		failure := f.handIn("C", "j")
		Expect(failure == nil && !f.isStored("j")).To(BeFalse(), "it is answered as accepted and not kept")
		Expect(f.handIn("C", "j")).To(BeNil())
		f.expectKept("j", "C")
	},
		Entry("the read of the record", true, "get"),
		Entry("the write that finds the record", false, "commit"),
	)
})

var _ = Describe("a job that is handed in again soon after its acceptance", func() {
	// calls counts the calls of a host to the store from now on.
	calls := func(h *host) *atomic.Int64 {
		var n atomic.Int64
		h.beforeCall.set(func(string) { n.Add(1) })
		return &n
	}

	It("costs no call to the store, at its owner and at a host that has heard of it", func() {
		f := completed()
		atA, atB := calls(f.hosts["A"]), calls(f.hosts["B"])
		for range 20 {
			Expect(f.handIn("A", "j")).To(BeNil())
			Expect(f.handIn("B", "j")).To(BeNil())
			f.advance(200 * time.Millisecond)
		}
		Expect(atA.Load()).To(BeZero())
		Expect(atB.Load()).To(BeZero())
	})

	It("costs one read at a host whose owner is of a build that can't say whether it is kept", func() {
		f := newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		Expect(f.handIn("A", "j")).To(BeNil())
		f.hosts["A"].earlierBuild.Store(true)
		f.hosts["B"].LearnOwner("A", []string{"j"})
		atB := calls(f.hosts["B"])
		for range 20 {
			Expect(f.handIn("B", "j")).To(BeNil())
		}
		Expect(atB.Load()).To(BeNumerically("==", 1))
	})

	DescribeTable("while the store is away", func(ownerIsGone bool, after time.Duration, accepted bool) {
		f := completed()
		for _, h := range f.hosts {
			h.cutOff.Store(true)
		}
		f.hosts["A"].dead.Store(ownerIsGone)
		f.clock.Advance(after)
		names := []string{"A", "B"}
		if ownerIsGone {
			names = names[1:]
		}
		for _, name := range names {
			failure := f.handIn(name, "j")
			Expect(failure == nil).To(Equal(accepted), name)
			if failure != nil {
				Expect(failure.Ran()).To(Equal(result.RanMaybe), "the job may be kept")
			}
		}
	},
		Entry("is answered as accepted", false, 5*time.Second, true),
		Entry("may have been accepted, if its owner is gone", true, 5*time.Second, false),
		Entry("may have been accepted, if its owner knew of it too long ago", false, 25*time.Second, false),
	)

	It("costs a read by an owner whose machine was suspended", func() {
		f := completed()
		f.clock.Suspend(pastRetention)
		atA := calls(f.hosts["A"])
		Expect(f.handIn("A", "j")).To(BeNil())
		Expect(atA.Load()).To(BeNumerically("==", 1))
	})
})

// Guards against an outage of the store that hides what is listed of an old job.
var _ = Describe("a job that is older than complete ones are kept", func() {
	It("shows its listed results and gives its bodies while the store is away", func() {
		f, _ := newHalfListed("A")
		defer close(f.servers.block)
		f.hosts["A"].cutOff.Store(true)
		f.clock.Advance(pastRetention)
		page, failure := f.hosts["A"].Manager.Results(ctx, "j", 0, 0, true)
		Expect(failure).To(BeNil())
		Expect(page.Results).To(HaveLen(1))
		_, failure = f.hosts["A"].Manager.Results(ctx, "j", 1, 0, true)
		Expect(failure).NotTo(BeNil(), "the host can't know that none is listed")
		Expect(failure.Code()).To(Equal(result.StoreUnavailable))
		body, failure := f.hosts["A"].Manager.Body(ctx, "j", "j-1", true)
		Expect(failure).To(BeNil())
		Expect(body).NotTo(BeEmpty())
		_, failure = f.hosts["A"].Manager.Body(ctx, "j", "j-9", true)
		Expect(failure.Code()).To(Equal(result.StoreUnavailable))
	})
})

var _ = Describe("a job that was accepted anew after its removal", func() {
	// Guards against a removal by what a scanner saw of the job before.
	It("stays readable for a while, however long ago the one before was complete", func() {
		f := newFleet("A")
		Expect(f.handIn("A", "j")).To(BeNil())
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		f.advance(3 * time.Second)
		f.clock.Advance(150 * time.Second)
		f.advance(3 * time.Second)
		f.noScanners.Store(true)
		f.remove("j")
		f.servers.mu.Lock()
		f.servers.block = make(chan struct{})
		f.servers.mu.Unlock()
		f.clock.Suspend(pastRetention)
		Expect(f.handIn("A", "j")).To(BeNil())
		f.clock.Advance(pastRetention)
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		f.noScanners.Store(false)
		f.advance(6 * time.Second)
		Expect(f.isStored("j")).To(BeTrue())
	})

	// other is another job under the ID of the one before.
	other := ownership.Submission{ID: "j", Route: route, Host: "a.example", Items: []jobstate.Item{{ID: "j-other", Path: "/batch/x", Body: []byte("other"), Tokens: 1}}}
	// knows returns a fleet in which job j of two items was complete and removed, and its
	// ID then accepted by B for job other, whose item waits for block. A, which heard
	// of none of that, has the first job in memory.
	knows := func(asOpen bool) (f *fleet, block chan struct{}) {
		f = newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		Expect(f.handIn("A", "j")).To(BeNil())
		if asOpen {
			f.hosts["A"].cutOff.Store(true)
			f.hosts["A"].directory.Remove(f.clock.Now(), backendServer.ID, 0)
		} else {
			close(f.servers.block)
			f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		}
		f.remove("j")
		f.clock.Advance(pastRetention)
		block = make(chan struct{})
		f.servers.mu.Lock()
		f.servers.block = block
		f.servers.mu.Unlock()
		Expect(f.hosts["B"].Submit(ctx, other)).To(BeNil())
		f.hosts["A"].cutOff.Store(false)
		return f, block
	}

	DescribeTable("is served by a host that still has the one before", func(asOpen bool) {
		f, block := knows(asOpen)
		for _, name := range []string{"A", "B"} {
			page, failure := f.hosts[name].Manager.Results(ctx, "j", 0, 0, true)
			Expect(failure).To(BeNil())
			Expect(page.Total).To(Equal(1), name)
			Expect(page.Results).To(BeEmpty(), name)
			body, failure := f.hosts[name].Manager.Body(ctx, "j", "j-other", true)
			Expect(failure).To(BeNil(), name)
			Expect(string(body)).To(Equal("other"))
		}
		close(block)
		for _, name := range []string{"A", "B"} {
			f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts[name], "j"), 1) })
		}
	},
		Entry("as complete", false),
		Entry("as open", true),
	)

	It("gives no body of the one before at a host that still has it as open", func() {
		f, block := knows(true)
		defer close(block)
		_, failure := f.hosts["A"].Manager.Body(ctx, "j", "j-0", true)
		Expect(failure).NotTo(BeNil())
		Expect(failure.Code()).To(Equal(result.NotFound))
	})

	DescribeTable("is ended through a host that still has the one before", func(asOpen bool) {
		f, block := knows(asOpen)
		defer close(block)
		f.hosts["B"].directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(f.hosts["A"].Manager.End(ctx, "j", true)).To(BeNil())
		f.eventually(func(g Gomega) {
			e, _, err := f.kv.Get(ctx, jobstate.RecordKey("j"))
			g.Expect(err).NotTo(HaveOccurred())
			r, err := jobstate.DecodeRecord(e.Value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Ended).To(BeTrue())
		})
	},
		Entry("as complete", false),
		Entry("as open", true),
	)

	DescribeTable("is run by an heir that still has the one before", func(asOpen, asked bool) {
		f, block := knows(asOpen)
		f.hosts["B"].Kill()
		f.leave("B")
		close(block)
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "A", "B/1", r.Serial+1 })
		f.hosts["A"].directory.Put(backendServer)
		if asked {
			Expect(f.hosts["A"].Manager.Adopt(ctx, "j")).To(BeNil())
		} else {
			f.noScanners.Store(false)
			f.hosts["A"].TriggerScan()
		}
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 1) })
		Expect(f.servers.runsOf("j-0")).To(BeNumerically("<=", 1), "no item of the one before runs")
	},
		Entry("as complete, and is asked to", false, true),
		Entry("as open, and is asked to", true, true),
		Entry("as complete, and scans", false, false),
		Entry("as open, and scans", true, false),
	)

	It("is served by a host that has read the results of the one before", func() {
		f := newFleet("A", "B", "C")
		f.noScanners.Store(true)
		Expect(f.handIn("A", "j")).To(BeNil())
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		f.leave("A")
		expectComplete(Default, listResults(Default, f.hosts["C"], "j"), 2)
		f.remove("j")
		f.clock.Advance(pastRetention)
		Expect(f.hosts["B"].Submit(ctx, other)).To(BeNil())
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["B"], "j"), 1) })
		f.leave("B")
		page, failure := f.hosts["C"].Manager.Results(ctx, "j", 0, 0, true)
		Expect(failure).To(BeNil())
		Expect(page.Total).To(Equal(1))
		Expect(page.Results).To(HaveLen(1))
		Expect(page.Results[0].ID).To(Equal("j-other"))
	})
})

var _ = Describe("a job that is handed in several times at once", func() {
	// hold makes a host's transactions wait after they have taken effect, until release
	// is closed; held is closed once the first one waits.
	hold := func(h *host) (held, release chan struct{}) {
		held, release = make(chan struct{}), make(chan struct{})
		var first atomic.Bool
		h.afterCall.set(func(op string) {
			if op == "commit" && first.CompareAndSwap(false, true) {
				close(held)
				<-release
			}
		})
		return held, release
	}

	DescribeTable("is accepted once", func(second string) {
		f := newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		held, release := hold(f.hosts["A"])
		accepted := make(chan *result.Error, 1)
		go func() { accepted <- f.handIn("A", "j") }()
		Eventually(held, waitTimeout).Should(BeClosed())
		Expect(f.handIn(second, "j")).To(BeNil())
		close(release)
		Eventually(accepted, waitTimeout).Should(Receive(BeNil()))
		close(f.servers.block)
		f.expectKept("j", "A", "B")
		Expect(f.servers.totalRuns()).To(Equal(2))
	},
		Entry("at one host", "A"),
		Entry("at two hosts", "B"),
	)

	// Guards against an acceptance that takes the record of another one by the same
	// process for its own, and runs items that the store does not have.
	It("runs the items that the store has, if the bodies differ", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		held, release := hold(f.hosts["A"])
		accepted := make(chan *result.Error, 1)
		go func() { accepted <- f.handIn("A", "j") }()
		Eventually(held, waitTimeout).Should(BeClosed())
		differing := submission("j", 2, 1)
		for i := range differing.Items {
			differing.Items[i].ID += "-differing"
		}
		Expect(f.hosts["A"].Submit(ctx, differing)).To(BeNil())
		close(release)
		Eventually(accepted, waitTimeout).Should(Receive(BeNil()))
		f.expectKept("j", "A")
		Expect(f.servers.runsOf("j-0-differing")).To(BeZero())
		Expect(f.servers.runsOf("j-0")).To(Equal(1))
	})
})
