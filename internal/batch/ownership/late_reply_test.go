package ownership_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an owner whose write has a late reply", func() {
	// Guards against a proof that begins with the reply to a write, not with its call.
	It("denies no result that a new owner lists after the write", func() {
		f := newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		f.servers.setStatus("j-0", http.StatusUnprocessableEntity)
		hostA, hostB := f.hosts["A"], f.hosts["B"]
		Expect(hostA.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		held := hostA.afterCall.hold("commit", 1)
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.leave("A")
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		hostA.setServersCut(true)
		f.advance(100 * time.Millisecond)
		close(f.servers.block)
		f.noScanners.Store(false)
		f.eventually(func(g Gomega) {
			hostB.TriggerScan()
			g.Expect(f.ownerOf("j")).To(Equal("B"))
		})
		f.advance(1300 * time.Millisecond)
		hostA.cutOff.Store(true)
		r := &readers{fleet: f, job: "j"}
		r.read("B")
		held.release()
		f.advance(20 * time.Millisecond)
		r.readFor(endGrace, "B", "A")
		r.expectSound(2, 20)
	})
})
