package routes_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

func newConfig(version int64, list ...*routes.Route) *routes.Config {
	return routes.New(version, nil, list, nil, routes.Limits{})
}

var _ = Describe("a configuration", func() {
	short := &routes.Route{Name: "short", Host: "a.example", Prefix: "/x/", Shares: []routes.Share{{Service: "s", Weight: 1}}}
	long := &routes.Route{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: []routes.Share{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}}
	c := newConfig(1, short, long)

	DescribeTable("selects by host and the longest prefix", func(host, path, name string) {
		route, ok := c.Match(host, path)
		Expect(ok).To(Equal(name != ""))
		if ok {
			Expect(route.Name).To(Equal(name))
		}
	},
		Entry("the longer", "a.example", "/x/y/z", "long"),
		Entry("the shorter", "a.example", "/x/yy/z", "short"),
		Entry("the prefix itself", "a.example", "/x/", "short"),
		Entry("less than the prefix", "a.example", "/x", ""),
		Entry("another host", "b.example", "/x/y/z", ""),
	)

	// Guards against an item being given up, or run by another service, because of a
	// route that other paths or kinds of requests have.
	DescribeTable("selects the batch route of an item", func(path, jobRoute, name string) {
		batch := func(name, prefix string, kind routes.Kind) *routes.Route {
			return &routes.Route{Name: name, Host: "a.example", Prefix: prefix, Kind: kind, Shares: []routes.Share{{Service: "s", Weight: 1}}}
		}
		c := newConfig(1, batch("jobs", "/x/", routes.Batch), batch("some jobs", "/x/y/", routes.Batch), batch("lookups", "/x/z/", routes.Repeatable), batch("rest", "/", routes.Stream))
		route, ok := c.MatchItem("a.example", path, jobRoute)
		Expect(ok).To(Equal(name != ""))
		if ok {
			Expect(route.Name).To(Equal(name))
		}
	},
		Entry("its job's", "/x/1", "jobs", "jobs"),
		Entry("a longer one", "/x/y/1", "jobs", "some jobs"),
		Entry("its job's, if other requests have its path", "/x/z/1", "jobs", "jobs"),
		Entry("its job's, if its path is outside the prefix", "/other/1", "jobs", "jobs"),
		Entry("the one of its path, if its job's was removed", "/x/1", "removed", "jobs"),
		Entry("none, if its job's was removed and other requests have its path", "/x/z/1", "removed", ""),
		Entry("none, if its job's is of another kind now", "/x/z/1", "rest", ""),
	)

	It("splits requests by weight among the services of a route only", func() {
		count := map[string]int{}
		for i := range 1000 {
			count[long.Pick(float64(i)/1000)]++
		}
		Expect(count).To(Equal(map[string]int{"s": 900, "t": 100}))
		Expect(long.Allows("t")).To(BeTrue())
		Expect(short.Allows("t")).To(BeFalse())
	})

	DescribeTable("reports whether requests of a kind may be repeated", func(kind routes.Kind, resumable, repeat bool) {
		Expect((&routes.Route{Kind: kind, Resumable: resumable}).MayRepeat()).To(Equal(repeat))
	},
		Entry("once", routes.Once, true, false),
		Entry("repeatable", routes.Repeatable, false, true),
		Entry("a stream", routes.Stream, false, false),
		Entry("a stream that can be resumed", routes.Stream, true, true),
		Entry("batch", routes.Batch, false, true),
	)
})

var _ = Describe("a holder", func() {
	It("never puts an older version into force, in whatever order versions arrive", func() {
		h := new(routes.Holder)
		Expect(h.Version()).To(BeZero())
		for _, step := range []struct {
			version  int64
			accepted bool
		}{{3, true}, {2, false}, {3, false}, {10, true}, {4, false}} {
			Expect(h.SetIfNewer(newConfig(step.version))).To(Equal(step.accepted), "version %d", step.version)
		}
		Expect(h.Version()).To(Equal(int64(10)))
	})
})
