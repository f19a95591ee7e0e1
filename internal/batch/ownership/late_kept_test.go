package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

var _ = Describe("a job that is handed in again while its host stands still", func() {
	// Guards against a 202 of a job that is removed before it is told.
	DescribeTable("is kept if it is answered as accepted, though the job was removed meanwhile,", func(hold func(f *fleet) *gate) {
		f := newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		Expect(f.handIn("A", "j")).To(BeNil())
		// The job stays open until it is older than complete ones are kept.
		f.clock.Advance(pastRetention)
		_, ok := f.hosts["A"].read("j", 0)
		Expect(ok).To(BeTrue(), "A has read the open record")
		f.hosts["B"].LearnOwner("A", []string{"j"})
		held := hold(f)
		answer := make(chan *result.Error, 1)
		go func() { answer <- f.handIn("B", "j") }()
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		f.remove("j")
		f.clock.Advance(30 * time.Second)
		held.release()
		var failure *result.Error
		f.eventually(func(g Gomega) { g.Expect(answer).To(Receive(&failure)) })
		if failure == nil {
			f.expectKept("j", "B")
		}
	},
		Entry("with the owner's answer in hand", func(f *fleet) *gate { return f.hosts["B"].afterPeerCall.hold("kept", 1) }),
		Entry("with the record in hand", func(f *fleet) *gate {
			f.hosts["A"].earlierBuild.Store(true)
			return f.hosts["B"].afterCall.hold("get", 1)
		}),
	)

	// Guards against the second decision, which knows nothing of the first one.
	It("is not answered as one that never runs, though its caller's time has passed", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		sub := submission("j", 2, 1)
		sub.Deadline = f.clock.Now().Add(10 * time.Second)
		held := f.hosts["A"].afterCall.hold("commit", 1)
		answer := make(chan *result.Error, 1)
		go func() { answer <- f.hosts["A"].Submit(ctx, sub) }()
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.clock.Advance(pastRetention)
		f.remove("j")
		held.release()
		var failure *result.Error
		Eventually(answer, waitTimeout).Should(Receive(&failure))
		Expect(failure).NotTo(BeNil())
		Expect(failure.Ran()).NotTo(Equal(result.RanNo), "the job had been accepted")
	})
})
