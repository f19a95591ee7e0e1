package ownership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

// changedRoute returns a copy of the route of submission with changes.
func changedRoute(change func(*routes.Route)) *routes.Route {
	r := *route
	change(&r)
	return &r
}

// passTime is longer than a scheduling pass takes.
const passTime = 50 * time.Millisecond

// below is the prefix of the routes that the operator adds below route's.
const below = "/batch/0/"

func added(kind routes.Kind, prefix string) *routes.Route {
	return changedRoute(func(r *routes.Route) {
		r.Name, r.Prefix, r.Kind, r.Shares = "added", prefix, kind, []routes.Share{{Service: "t", Weight: 1}}
	})
}

// pathsSubmission returns a job of three items whose paths differ; the first one's
// is below the prefix below.
func pathsSubmission() ownership.Submission {
	sub := submission("j", 3, 1)
	for i := range sub.Items {
		sub.Items[i].Path = fmt.Sprintf("/batch/%d/x", i)
	}
	return sub
}

// newRoutedFleet returns a fleet with servers of the services s and t, whose items
// wait until block is closed.
func newRoutedFleet(hosts ...string) *fleet {
	f := newFleet(hosts...)
	f.servers.block = make(chan struct{})
	for _, h := range f.hosts {
		h.addServerOf("t")
	}
	return f
}

func (h *host) addServerOf(service string) {
	s := backendServer
	s.ID, s.Service, s.Address = "e-"+service, service, "10.0.0.2:1"
	h.directory.Put(s)
}

var _ = Describe("a waiting item after a change of the configuration", func() {
	const givenUp = "given up"
	// Guards against a route of one item, which the operator added, being taken for
	// that of its whole job: other items were given up or ran at the wrong service.
	DescribeTable("runs at the service that its own path and the job's route select", func(want []string, list ...*routes.Route) {
		f := newRoutedFleet("A")
		h := f.hosts["A"]
		h.placer.SetCutOff(true, f.clock.Now())
		Expect(h.Submit(ctx, pathsSubmission())).To(BeNil())
		h.config.SetIfNewer(newConfig(2, list...))
		// A scheduling pass that began with the former configuration ends first.
		time.Sleep(passTime)
		h.placer.SetCutOff(false, f.clock.Now())
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, h, "j")).To(HaveLen(3)) })
		got := make(map[string]string)
		for _, r := range listResults(Default, h, "j") {
			got[r.ID] = givenUp
			if r.Done {
				Expect(string(r.Text)).To(Equal(completeText(r.ID)))
				got[r.ID] = f.servers.servicesOf(r.ID)[0]
			}
		}
		Expect(got).To(Equal(map[string]string{"j-0": want[0], "j-1": want[1], "j-2": want[2]}))
	},
		Entry("no change", []string{"s", "s", "s"}, route),
		Entry("a route of another kind added below", []string{"s", "s", "s"}, route, added(routes.Repeatable, below)),
		Entry("a batch route added below", []string{"t", "s", "s"}, route, added(routes.Batch, below)),
		Entry("a route of another kind added above", []string{"s", "s", "s"}, route, added(routes.Repeatable, "/")),
		Entry("a batch route added above", []string{"s", "s", "s"}, route, added(routes.Batch, "/")),
		Entry("moved to another service", []string{"t", "t", "t"}, changedRoute(func(r *routes.Route) { r.Shares = []routes.Share{{Service: "t", Weight: 1}} })),
		Entry("its time-out and attempts changed", []string{"s", "s", "s"}, changedRoute(func(r *routes.Route) { r.Timeout, r.MaxAttempts = 1, 1 })),
		Entry("renamed", []string{"s", "s", "s"}, changedRoute(func(r *routes.Route) { r.Name = "renamed" })),
		Entry("split by path, under new names", []string{"t", "s", "s"}, changedRoute(func(r *routes.Route) { r.Name = "renamed" }), added(routes.Batch, below)),
		Entry("removed", []string{givenUp, givenUp, givenUp}),
		Entry("removed, with one path left to a batch route", []string{"t", givenUp, givenUp}, added(routes.Batch, below)),
		Entry("removed, with all paths left to a route of another kind", []string{givenUp, givenUp, givenUp}, added(routes.Repeatable, "/")),
		Entry("of another kind now", []string{givenUp, givenUp, givenUp}, changedRoute(func(r *routes.Route) { r.Kind = routes.Repeatable })),
	)

	It("runs at the service of its own path under a new owner", func() {
		f := newRoutedFleet("A", "B")
		Expect(f.hosts["A"].Submit(ctx, pathsSubmission())).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(f.servers.totalRuns()).To(Equal(3)) })
		for _, h := range f.hosts {
			h.config.SetIfNewer(newConfig(2, route, added(routes.Batch, below)))
		}
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].Kill()
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["B"], "j"), 3) })
		Expect(f.servers.servicesOf("j-0")).To(Equal([]string{"s", "t"}))
		Expect(f.servers.servicesOf("j-1")).To(Equal([]string{"s", "s"}))
	})

	It("goes on at the service of its own path after it was interrupted", func() {
		f := newRoutedFleet("A")
		h := f.hosts["A"]
		Expect(h.Submit(ctx, pathsSubmission())).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(f.servers.totalRuns()).To(Equal(3)) })
		h.config.SetIfNewer(newConfig(2, route, added(routes.Repeatable, below)))
		h.setServersCut(true)
		f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(BeZero()) })
		h.setServersCut(false)
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, h, "j"), 3) })
		Expect(f.servers.servicesOf("j-0")).To(HaveEach("s"))
	})
})

// Guards against all items of a job being sent to the first service of a route that
// is split by weight.
var _ = It("spreads the items of a job over the services of its route by weight, each item at one", func() {
	f := newRoutedFleet("A")
	h := f.hosts["A"]
	h.config.SetIfNewer(newConfig(2, changedRoute(func(r *routes.Route) {
		r.Shares = []routes.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	})))
	Expect(h.Submit(ctx, submission("j", 16, 1))).To(BeNil())
	f.eventually(func(g Gomega) { g.Expect(f.servers.totalRuns()).To(BeNumerically(">", 8)) })
	h.setServersCut(true)
	f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(BeZero()) })
	h.setServersCut(false)
	close(f.servers.block)
	f.eventually(func(g Gomega) { expectComplete(g, listResults(g, h, "j"), 16) })
	count := make(map[string]int)
	for i := range 16 {
		services := f.servers.servicesOf(fmt.Sprintf("j-%d", i))
		Expect(services).To(HaveEach(services[0]))
		count[services[0]]++
	}
	Expect(count["s"]).To(BeNumerically("~", 8, 4))
	Expect(count["t"]).To(BeNumerically("~", 8, 4))
})
