package ownership_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

var _ = Describe("an item that fails at each run", func() {
	// Guards against a default in place of the attempts of a route that the host had
	// not read, or could not find by name, when it got the job.
	DescribeTable("is given up after the attempts of its route, at a host that took its job over", func(knownBefore bool, attempts int, change func(*routes.Route)) {
		f := newFleet("A")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.hosts["A"].Kill()
		config := new(routes.Holder)
		if knownBefore {
			config.SetIfNewer(newConfig(2, changedRoute(change)))
		}
		before := f.servers.runsOf("j-0")
		close(f.servers.block)
		f.servers.status["j-0"] = http.StatusInternalServerError
		h := f.addHostWith("A", "A/2", config)
		f.eventually(func(g Gomega) { g.Expect(f.logged("job taken over")).NotTo(BeEmpty()) })
		config.SetIfNewer(newConfig(2, changedRoute(change)))
		f.eventually(func(g Gomega) { g.Expect(listResults(g, h, "j")).To(HaveLen(2)) })
		for _, r := range listResults(Default, h, "j") {
			Expect(r.Done).To(Equal(r.ID == "j-1"), r.ID)
		}
		Expect(f.servers.runsOf("j-0") - before).To(Equal(attempts))
	},
		Entry("before it read a configuration", false, 3, func(*routes.Route) {}),
		Entry("after it read one", true, 3, func(*routes.Route) {}),
		Entry("with more attempts than before", true, 5, func(r *routes.Route) { r.MaxAttempts = 5 }),
		Entry("with fewer attempts than before", true, 2, func(r *routes.Route) { r.MaxAttempts = 2 }),
		Entry("of a renamed route", true, 3, func(r *routes.Route) { r.Name = "renamed" }),
	)

	It("is given up after the attempts that its route has by then", func() {
		f := newFleet("A")
		h := f.hosts["A"]
		f.servers.status["j-0"] = http.StatusInternalServerError
		h.placer.SetCutOff(true, f.clock.Now())
		Expect(h.Submit(ctx, submission("j", 1, 1))).To(BeNil())
		h.config.SetIfNewer(newConfig(2, changedRoute(func(r *routes.Route) { r.MaxAttempts = 5 })))
		h.placer.SetCutOff(false, f.clock.Now())
		f.eventually(func(g Gomega) { g.Expect(listResults(g, h, "j")).To(HaveLen(1)) })
		Expect(f.servers.runsOf("j-0")).To(Equal(5))
	})
})
