package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

var _ = Describe("a host that hands a job over whose acceptance has no reply", func() {
	// Guards against a host that takes a job for its own after it began to hand it over: the
	// write that names the heir may still take effect, and the heir does not wait.
	It("denies no result that its heir lists, though it stops and its write of the hand-over is late", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		hostA, hostB := f.hosts["A"], f.hosts["B"]
		hostA.loseReplies.Store(true)
		held := hostA.afterCall.hold("commit", 1)
		accepted := make(chan *result.Error, 1)
		go func() { accepted <- hostA.Submit(ctx, submission("j", 1, 1)) }()
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		hostA.loseReplies.Store(false)
		Expect(hostA.Manager.Adopt(ctx, "j")).To(BeNil())
		f.advance(endGrace / 2)
		hostA.delayedWrites.set(true)
		hostA.Stop(ctx)
		Expect(hostA.delayedWrites.count()).To(BeNumerically(">=", 1))
		hostA.delayedWrites.set(false)
		held.release()
		f.eventually(func(g Gomega) { g.Expect(accepted).To(Receive(BeNil())) })
		r := &readers{fleet: f, job: "j"}
		r.read("A")
		hostA.delayedWrites.takeEffect(f.kv)
		Expect(f.ownerOf("j")).To(Equal("B"))
		Expect(hostB.Manager.Adopt(ctx, "j")).To(BeNil())
		close(f.servers.block)
		r.readUntil(1, "B", "A")
		r.readFor(endGrace, "A", "B")
		r.expectSound(1, 20)
	})

	// Guards against the record of an acceptance that was read before the job was handed
	// over and is taken for current after that.
	It("denies no result that its heir lists, though it learns late that the job was accepted", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		hostA := f.hosts["A"]
		hostA.loseReplies.Store(true)
		first := hostA.afterCall.hold("commit", 1)
		accepted := make(chan *result.Error, 1)
		go func() { accepted <- hostA.Submit(ctx, submission("j", 1, 1)) }()
		f.eventually(func(g Gomega) { g.Expect(first.reached).To(BeClosed()) })
		hostA.loseReplies.Store(false)
		Expect(hostA.Manager.Adopt(ctx, "j")).To(BeNil())
		f.advance(endGrace / 2)
		hostA.setServersCut(true)
		f.advance(900 * time.Millisecond)
		second := hostA.afterCall.hold("commit", 1)
		first.release()
		f.eventually(func(g Gomega) { g.Expect(second.reached).To(BeClosed()) })
		f.eventually(func(g Gomega) { g.Expect(f.ownerOf("j")).To(Equal("B")) })
		close(f.servers.block)
		r := &readers{fleet: f, job: "j"}
		r.readUntil(1, "B")
		// A has nothing to write.
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		hostA.setServersCut(false)
		second.release()
		f.eventually(func(g Gomega) { g.Expect(accepted).To(Receive(BeNil())) })
		r.readFor(endGrace, "A", "B")
		r.expectSound(1, 20)
	})
})
