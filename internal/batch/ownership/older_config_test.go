package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

var _ = Describe("a job whose heir has an older configuration than the host that accepted it", func() {
	// newHeir returns a fleet in which A owns job j, accepted by configuration 2, and B has
	// only configuration 1 with the given routes.
	newHeir := func(list ...*routes.Route) *fleet {
		f := newRoutedFleet("A")
		f.noScanners.Store(true)
		f.hosts["A"].config.SetIfNewer(newConfig(2, route))
		config := new(routes.Holder)
		config.SetIfNewer(newConfig(1, list...))
		f.addHostWith("B", "B/1", config).addServerOf("t")
		f.hosts["A"].directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.noScanners.Store(false)
		f.hosts["A"].Stop(ctx)
		f.leave("A")
		f.eventually(func(g Gomega) { g.Expect(f.hosts["B"].OwnedJobs()).To(Equal([]string{"j"})) })
		f.advance(endGrace)
		return f
	}

	// Guards against items that are given up since the heir does not know their route yet.
	DescribeTable("waits until the heir knows that configuration", func(list ...*routes.Route) {
		f := newHeir(list...)
		Expect(listResults(Default, f.hosts["B"], "j")).To(BeEmpty())
		Expect(f.servers.totalRuns()).To(BeZero())
		f.hosts["B"].config.SetIfNewer(newConfig(2, route))
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["B"], "j")).To(HaveLen(2)) })
		for _, r := range listResults(Default, f.hosts["B"], "j") {
			Expect(r.Done).To(BeTrue())
			Expect(f.servers.servicesOf(r.ID)).To(HaveEach("s"))
		}
	},
		Entry("which adds its route"),
		Entry("which moves its route to another service", changedRoute(func(r *routes.Route) { r.Shares = []routes.Share{{Service: "t", Weight: 1}} })),
	)

	It("is given up as before if the heir's configuration is newer and has no route for it", func() {
		f := newHeir()
		close(f.servers.block)
		f.hosts["B"].config.SetIfNewer(newConfig(3))
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts["B"], "j")).To(HaveLen(2)) })
		f.advance(100 * time.Millisecond)
		for _, r := range listResults(Default, f.hosts["B"], "j") {
			Expect(r.Done).To(BeFalse())
		}
	})
})
