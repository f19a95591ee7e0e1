package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

var _ = Describe("the backoff of a server", func() {
	It("is that of one failure if all its items fall silent together", func() {
		p := scheduler.New("A", "a", func() float64 { return 0.5 }, func() {})
		servers := []backend.Server{{ID: "x", Service: "s", Zone: "a", Slots: 8}}
		running := p.PlaceBatch(epoch, "s", servers, 8)
		Expect(running).To(HaveLen(8))
		for _, s := range running {
			p.EndBatch(epoch.Add(time.Second), s, scheduler.Unreachable)
		}
		after := epoch.Add(time.Second + 600*time.Millisecond)
		Expect(p.PlaceBatch(after, "s", servers, 8)).To(HaveLen(8))
		p.EndBatch(after, servers[0], scheduler.Unreachable)
		Expect(p.PlaceBatch(after.Add(600*time.Millisecond), "s", servers, 8)).To(BeEmpty(), "the next failure doubles it")
		Expect(p.PlaceBatch(after.Add(1100*time.Millisecond), "s", servers, 8)).NotTo(BeEmpty())
	})
})
