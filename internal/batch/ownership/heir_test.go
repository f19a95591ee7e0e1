package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
})
