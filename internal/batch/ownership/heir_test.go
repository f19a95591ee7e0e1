package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

var _ = Describe("an owner that names its heir", func() {
	// Guards against a list in memory that is taken for current between the write that
	// named the heir and the removal of the job.
	It("denies no result of the heir while it learns the outcome of its write", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		hostA := f.hosts["A"]
		for _, id := range []string{"j", "k"} {
			Expect(hostA.Submit(ctx, submission(id, 1, 1))).To(BeNil())
		}
		hostA.setServersCut(true)
		hostA.loseReplies.Store(true)
		commits, reads := 0, 0
		held := hostA.beforeCall.holdIf(func(op string) bool {
			switch {
			case op == "commit":
				commits++
				hostA.loseReplies.Store(commits == 1)
			case op == "get" && commits > 1:
				reads++
			}
			return reads == 2
		})
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		close(f.servers.block)
		f.hosts["B"].TriggerScan()
		lists := map[string]*readers{"j": {fleet: f, job: "j"}, "k": {fleet: f, job: "k"}}
		for _, r := range lists {
			r.readUntil(1, "B")
		}
		for _, r := range lists {
			r.read("A")
		}
		held.release()
		for _, r := range lists {
			r.readFor(2*time.Second, "A", "B")
			r.expectSound(1, 40)
		}
	})

	// Guards against a result that is listed with the name of the heir while the owner
	// before the one that lists it still denies it.
	It("lists no result with its heir's name if it has just taken the job over", func() {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		f.servers.status["j-0"] = 422
		hostA, hostB := f.hosts["A"], f.hosts["B"]
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		f.leave("C")
		Expect(hostA.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.leave("A")
		hostA.cutOff.Store(true)
		f.takenFrom("A")
		f.eventually(func(g Gomega) { g.Expect(f.servers.runsOf("j-0")).To(Equal(1)) })
		f.hosts["C"].dead.Store(false)
		hostB.setServersCut(true)
		r := &readers{fleet: f, job: "j"}
		r.readFor(endGrace, "C", "A")
		Expect(f.ownerOf("j")).To(Equal("C"))
		close(f.servers.block)
		r.readUntil(2, "C", "A")
		r.expectSound(2, 40)
	})

	// Guards against a named heir that does not wait for the owner before the one that
	// named it.
	DescribeTable("if it has just taken the job over,", func(handOver func(*host)) {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		hostA := f.hosts["A"]
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(hostA.Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.leave("A")
		hostA.cutOff.Store(true)
		f.takenFrom("A")
		next, heir := f.ownerOf("j"), "C"
		if next == "C" {
			heir = "B"
		}
		handOver(f.hosts[next])
		close(f.servers.block)
		r := &readers{fleet: f, job: "j"}
		f.eventually(func(g Gomega) {
			r.read(heir, "A")
			g.Expect(r.seen).To(HaveLen(1))
		})
		r.readFor(2*time.Second, heir, "A")
		r.expectSound(1, 20)
	},
		Entry("and stops", func(h *host) { go h.Stop(ctx) }),
		Entry("and is cut off from all servers", func(h *host) { h.setServersCut(true) }),
	)
})

var _ = Describe("a host that stops", func() {
	// Guards against jobs that wait for the next start of their owner because the record
	// of another one, written in the same transaction, had changed.
	It("hands a job over although another one was taken from it meanwhile", func() {
		f := newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		for _, id := range []string{"j1", "j2", "j3"} {
			Expect(f.hosts["A"].Submit(ctx, submission(id, 1, 1))).To(BeNil())
		}
		f.noScanners.Store(false)
		f.rewrite("j2", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "B", "B/1", r.Serial+1 })
		f.hosts["A"].Stop(ctx)
		for _, id := range []string{"j1", "j2", "j3"} {
			Expect(f.ownerOf(id)).To(Equal("B"), id)
		}
	})
})
