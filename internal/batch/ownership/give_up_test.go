package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

var _ = Describe("the time at which an item may be given up", func() {
	// earlyResults returns how many results a job has shortly before its items may be given
	// up, if the owner's clock is ahead of that of the host that accepted it.
	earlyResults := func(ahead time.Duration) int {
		const giveUpAfter = 30 * time.Second
		f := newFleet("A", "B")
		for _, h := range f.hosts {
			h.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		}
		limited := *route
		limited.GiveUpAfter = giveUpAfter
		sub := submission("j", 2, 1)
		sub.Route = &limited
		accepted := f.clock.Now()
		Expect(f.hosts["A"].Submit(ctx, sub)).To(BeNil())
		f.hosts["A"].Kill()
		f.rewrite("j", func(r *jobstate.Record) {
			r.Accepted, r.Due, r.GiveUpAt = r.Accepted.Add(-ahead), r.Due.Add(-ahead), r.GiveUpAt.Add(-ahead)
		})
		f.leave("A")
		f.takenFrom("A")
		f.advance(accepted.Add(giveUpAfter - 100*time.Millisecond).Sub(f.clock.Now()))
		return len(listResults(Default, f.hosts["B"], "j"))
	}

	It("is not early by the clock of an owner that is 2 s ahead", func() {
		Expect(earlyResults(2 * time.Second)).To(BeZero())
	})

	It("is not early if the host that accepted the job is 2 s back as well", func() {
		Expect(earlyResults(4 * time.Second)).To(BeZero())
	})
})
