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
})
