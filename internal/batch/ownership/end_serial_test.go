package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

var _ = Describe("an end by a host that takes the job over meanwhile", func() {
	// Guards against the record of an end that the host takes for its own write of results,
	// since both have its next serial.
	It("is not undone by a write of results at the same time", func() {
		f := newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		f.servers.status["j-0"] = 422
		hostA, hostB := f.hosts["A"], f.hosts["B"]
		for _, h := range f.hosts {
			h.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		}
		Expect(hostB.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.leave("B")
		f.rewrite("j", func(r *jobstate.Record) { r.Serial = 10 })
		read := hostA.afterCall.hold("get", 1)
		ended := make(chan *result.Error, 1)
		go func() { ended <- hostA.Manager.End(ctx, "j", true) }()
		f.eventually(func(g Gomega) { g.Expect(read.reached).To(BeClosed()) })
		f.rewrite("j", func(r *jobstate.Record) { r.Owner = "A" })
		Expect(hostA.Manager.Adopt(ctx, "j")).To(BeNil())
		ending := hostA.beforeCall.hold("commit", 1)
		read.release()
		f.eventually(func(g Gomega) { g.Expect(ending.reached).To(BeClosed()) })
		listing := hostA.beforeCall.hold("commit", 1)
		hostA.directory.Put(backendServer)
		f.eventually(func(g Gomega) { g.Expect(listing.reached).To(BeClosed()) })
		ending.release()
		var failure *result.Error
		f.eventually(func(g Gomega) { g.Expect(ended).To(Receive(&failure)) })
		Expect(failure).To(BeNil())
		listing.release()
		close(f.servers.block)
		f.advance(2 * time.Second)
		var current jobstate.Record
		f.rewrite("j", func(r *jobstate.Record) { current = *r })
		Expect(current.Ended).To(BeTrue())
		Expect(current.Listed).To(BeZero())
		page, ok := hostA.read("j", 0)
		Expect(ok).To(BeTrue())
		Expect(page.Results).To(BeEmpty())
	})
})
