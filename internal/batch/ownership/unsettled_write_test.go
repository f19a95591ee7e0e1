package ownership_test

import (
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

// A write is unsettled while it may take effect, or have done so, and its sender does
// not know. Until then others may have seen what it lists.

// watchPeriod is for how long the job is read once the owner may know the outcome.
const watchPeriod = 2 * time.Second

// newWriter returns a fleet whose host A is about to write the second result of job j,
// and has just read the record. B and C don't reach A.
func newWriter() (*fleet, *readers, *gate) {
	GinkgoHelper()
	f, r := newHalfListed("A", "B", "C")
	f.noScanners.Store(true)
	f.leave("A")
	begun := f.hosts["A"].beforeCall.hold("commit", 1)
	close(f.servers.block)
	f.eventually(func(g Gomega) { g.Expect(begun.reached).To(BeClosed()) })
	r.read("A")
	return f, r, begun
}

// loseReply lets the next transaction of the host take effect without a reply.
func (h *host) loseReply() {
	h.loseReplies.Store(true)
	h.afterCall.set(func(op string) {
		if op == "commit" {
			h.loseReplies.Store(false)
		}
	})
}

// restore ends all faults of the host's calls to the store but the writes held back.
func (h *host) restore() {
	h.beforeCall.set(nil)
	h.afterCall.set(nil)
	h.loseReplies.Store(false)
	h.cutOff.Store(false)
}

// awaitRefusal waits until a write of a host was refused.
func (f *fleet) awaitRefusal() {
	GinkgoHelper()
	Eventually(func() []string { return f.logged("write refused") }, waitTimeout, time.Millisecond).ShouldNot(BeEmpty())
}

var _ = Describe("an owner with an unsettled write", func() {
	// Guards against a result that others have read in the store and that its owner denies,
	// as it takes its write of it for undone.
	DescribeTable("denies no result that others have read after the write took effect,", func(proceed func(f *fleet, begun *gate) (goOn func())) {
		f, r, begun := newWriter()
		goOn := proceed(f, begun)
		r.readUntil(2, "C")
		r.readFor(300*time.Millisecond, "A", "C")
		Expect(r.wrong).To(BeEmpty(), "before the owner knows the outcome")
		f.hosts["A"].restore()
		goOn()
		r.readFor(watchPeriod, "A", "C")
		r.expectSound(2, 100)
	},
		Entry("whose reply is late", replyHeld),
		Entry("after which the store turns the host away", turnedAway),
		Entry("after which the store refuses a read of the record", readRefused),
		Entry("and reads the record to learn its outcome", readHeld),
		Entry("and stops meanwhile", stopsMeanwhile),
		Entry("and is asked to end the job", endsItself),
		Entry("after which another host ends the job", endedElsewhere),
	)

	// Guards against a read of the record that is taken for the outcome of a write which is
	// still on its way.
	DescribeTable("denies no result that others have read after the write took effect late,", func(check func(*host)) {
		f, r, begun := newWriter()
		hostA := f.hosts["A"]
		hostA.delayedWrites.set(true)
		begun.release()
		Eventually(hostA.delayedWrites.count, waitTimeout, time.Millisecond).Should(BeNumerically(">=", 4))
		check(hostA)
		f.advance(50 * time.Millisecond)
		hostA.cutOff.Store(true)
		hostA.delayedWrites.takeEffect(f.kv)
		r.readUntil(2, "C")
		r.readFor(300*time.Millisecond, "A", "C")
		Expect(r.wrong).To(BeEmpty(), "before the owner knows the outcome")
		hostA.restore()
		r.readFor(watchPeriod, "A", "C")
		r.expectSound(2, 100)
	},
		Entry("though it has read the record for a reader meanwhile", readOnce),
		Entry("though another host has claimed the job meanwhile", claimedByOther),
		Entry("though it was asked to run the job meanwhile", func(h *host) { Expect(h.Manager.Adopt(ctx, "j")).To(BeNil()) }),
		Entry("though another host has said that the job was ended", func(h *host) { h.LearnEnded([]string{"j"}) }),
	)

	// Guards against the list of one job while the outcome of a common write is read job by
	// job.
	It("of two jobs denies no result of either, though the record of one has changed since", func() {
		f, j := newHalfListed("A", "B", "C")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		Expect(hostA.Submit(ctx, submission("k", 1, 1))).To(BeNil())
		f.leave("A")
		k := &readers{fleet: f, job: "k"}
		begun := hostA.beforeCall.holdIf(func(op string) bool {
			common := strings.Contains(strings.Join(f.logged("write refused"), ""), `"jobs"=2`)
			hostA.cutOff.Store(op == "commit" && !common)
			return op == "commit" && common
		})
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(begun.reached).To(BeClosed()) })
		j.read("A")
		k.read("A")
		hostA.loseReplies.Store(true)
		written := hostA.afterCall.hold("commit", 1)
		begun.release()
		Eventually(written.reached, waitTimeout).Should(BeClosed())
		hostA.loseReplies.Store(false)
		Expect(f.hosts["B"].Manager.End(ctx, "k", true)).To(BeNil())
		second := hostA.beforeCall.hold("get", 2)
		written.release()
		Eventually(second.reached, waitTimeout).Should(BeClosed())
		j.readUntil(2, "C")
		k.readUntil(1, "C")
		j.read("A")
		k.read("A")
		Expect(append(j.wrong, k.wrong...)).To(BeEmpty(), "before the owner knows the outcome")
		second.release()
		j.readFor(watchPeriod, "A", "C")
		k.readFor(watchPeriod, "A", "C")
		j.expectSound(2, 100)
		k.expectSound(1, 100)
	})

	// Guards against an owner that goes on with a job while its write may have named an heir.
	DescribeTable("that names an heir denies no result which the heir lists,", func(leave func(f *fleet)) {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		begun := hostA.beforeCall.hold("commit", 1)
		leave(f)
		f.eventually(func(g Gomega) { g.Expect(begun.reached).To(BeClosed()) })
		r.read("A")
		written := hostA.afterCall.hold("commit", 1)
		DeferCleanup(begun.release)
		DeferCleanup(written.release)
		begun.release()
		Eventually(written.reached, waitTimeout).Should(BeClosed())
		heir := f.ownerOf("j")
		Expect(heir).NotTo(Equal("A"))
		close(f.servers.block)
		f.hosts[heir].TriggerScan()
		r.readUntil(2, heir)
		r.readFor(300*time.Millisecond, "A", heir)
		Expect(r.wrong).To(BeEmpty(), "before the owner knows the outcome")
		written.release()
		r.readFor(watchPeriod, "A", "B", "C")
		r.expectSound(2, 100)
	},
		Entry("as it is cut off from all servers", func(f *fleet) { f.hosts["A"].setServersCut(true) }),
		Entry("as it stops", (*fleet).stopA),
	)
})

var _ = Describe("a host that is started again while a write of its former life is on its way", func() {
	// Guards against a job that goes on with the record of the former life, so that its write
	// may still take effect.
	DescribeTable("denies no result that others have read, if the write takes effect", func(hold func(*host) *gate) {
		f, r, begun := newWriter()
		former := f.hosts["A"]
		former.delayedWrites.set(true)
		begun.release()
		Eventually(former.delayedWrites.count, waitTimeout, time.Millisecond).Should(BeNumerically(">=", 4))
		former.Kill()
		config := new(routes.Holder)
		config.SetIfNewer(newConfig(1, route))
		var held *gate
		f.servers.mu.Lock()
		f.servers.block = make(chan struct{})
		f.servers.mu.Unlock()
		hostA := f.addHostWith("A", "A/2", config, func(h *host) {
			h.dead.Store(true)
			held = hold(h)
		})
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		former.delayedWrites.takeEffect(f.kv)
		held.release()
		r.readFor(watchPeriod, "C", "A")
		Expect(r.wrong).To(BeEmpty(), "%d results were read", len(r.seen))
		hostA.dead.Store(false)
		close(f.servers.block)
		r.readUntil(2, "A", "C")
		r.readFor(watchPeriod, "A", "C")
		r.expectSound(2, 100)
	},
		Entry("after the new one has read the record", beforeCommit),
		Entry("after the new one has written the record", beforeRange),
		Entry("after the new one has read the results", beforePartials),
	)
})

// What becomes of a write that host A is about to send, or of A, while the write takes
// effect and A does not know. Each returns a function that lets A go on.

func replyHeld(f *fleet, begun *gate) func() {
	held := f.hosts["A"].afterCall.hold("commit", 1)
	begun.release()
	Eventually(held.reached, waitTimeout).Should(BeClosed())
	return held.release
}

func turnedAway(f *fleet, begun *gate) func() {
	h := f.hosts["A"]
	h.loseReplies.Store(true)
	h.afterCall.set(func(op string) { h.cutOff.Store(op == "commit") })
	begun.release()
	f.awaitRefusal()
	return func() {}
}

func readRefused(f *fleet, begun *gate) func() {
	h := f.hosts["A"]
	h.loseReply()
	h.beforeCall.set(func(op string) { h.cutOff.Store(op == "get") })
	begun.release()
	Eventually(func() []string { return f.logged("record not read") }, waitTimeout, time.Millisecond).ShouldNot(BeEmpty())
	return func() {}
}

func readHeld(f *fleet, begun *gate) func() {
	h := f.hosts["A"]
	h.loseReply()
	held := h.beforeCall.hold("get", 1)
	begun.release()
	Eventually(held.reached, waitTimeout).Should(BeClosed())
	return held.release
}

func stopsMeanwhile(f *fleet, begun *gate) func() {
	goOn := replyHeld(f, begun)
	f.stopA()
	DeferCleanup(goOn)
	return goOn
}

// stopA stops host A aside.
func (f *fleet) stopA() {
	var stopped sync.WaitGroup
	stopped.Add(1)
	go func() {
		defer stopped.Done()
		f.hosts["A"].Stop(ctx)
	}()
	DeferCleanup(stopped.Wait)
}

func endsItself(f *fleet, begun *gate) func() {
	h := f.hosts["A"]
	turnedAway(f, begun)
	h.restore()
	held := h.beforeCall.hold("get", 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Manager.End(ctx, "j", true)
	}()
	DeferCleanup(func() { Eventually(ended, waitTimeout).Should(BeClosed()) })
	DeferCleanup(held.release)
	Eventually(held.reached, waitTimeout).Should(BeClosed())
	return held.release
}

func endedElsewhere(f *fleet, begun *gate) func() {
	turnedAway(f, begun)
	Expect(f.hosts["B"].Manager.End(ctx, "j", true)).To(BeNil())
	return func() {}
}
