package keeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/keeper"
	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

// fakeCacheEngine is an engine whose cache events are set by the test.
type fakeCacheEngine struct {
	*fakeEngine
	report    engine.CacheReport
	err       error
	sinceArgs []uint64
}

func (f *fakeCacheEngine) CacheEvents(_ context.Context, _ string, since uint64) (engine.CacheReport, error) {
	f.sinceArgs = append(f.sinceArgs, since)
	report := engine.CacheReport{Epoch: f.report.Epoch}
	for _, e := range f.report.Events {
		if e.Sequence > since {
			report.Events = append(report.Events, e)
		}
	}
	return report, f.err
}

// newRouter returns a router for 50 engines of the same model.
func newRouter(seed uint64) *route.Router {
	var backends []services.Backend
	for i := range 50 {
		backends = append(backends, services.Backend{
			Name: fmt.Sprintf("engine-%d", i), Kind: services.EngineKind, Zone: "a", Address: "127.0.0.1:1", Models: []string{"m"}, Slots: 8,
		})
	}
	source, err := json.Marshal(map[string]any{
		"organisations": []services.Organisation{{Name: "agency", TokenHashes: []string{strings.Repeat("a", 64)}}},
		"services":      []services.Service{{Name: "s", Kind: services.EngineKind, Model: "m", Urgency: "online", Weight: 1, Idempotent: true}},
		"backends":      backends,
	})
	Expect(err).NotTo(HaveOccurred())
	config, err := services.Parse(source, 1)
	Expect(err).NotTo(HaveOccurred())
	r := route.NewRouter("a", seed, route.Balanced)
	r.SetServices(config)
	return r
}

var _ = Describe("Cache events of an engine", func() {
	const backendName = "engine-1"
	var (
		f                         *fakeCacheEngine
		k                         *keeper.Keeper
		clock                     *timer.Manual
		localRouter, remoteRouter *route.Router
		first, second             *request.Request
	)

	BeforeEach(func() {
		reached, release := make(chan struct{}), make(chan struct{})
		f = &fakeCacheEngine{fakeEngine: &fakeEngine{step: blockFirst(reached, release)}, report: engine.CacheReport{Epoch: 7}}
		clock, localRouter, remoteRouter = timer.NewManual(epoch), newRouter(1), newRouter(2)
		backend := services.Backend{Name: backendName, Kind: services.EngineKind, Slots: 8}
		k = keeper.New(clock, f, keeper.Pools{Online: goPool{}, Batch: inlinePool{}}, backend, queue.NewPriorityPolicy(8, 1000))
		k.SetCacheSink(func(name string, report engine.CacheReport) {
			for _, e := range report.Events {
				localRouter.ApplyCacheEvent(clock.Now(), route.CacheEvent{
					Backend: name, Epoch: report.Epoch, Sequence: e.Sequence, Prefix: e.Prefix, Age: e.Age, Evicted: e.Evicted,
				})
			}
			localRouter.SetLoad(clock.Now(), name, route.Load{CacheEpoch: report.Epoch})
		})
		k.Poll()
		Expect(f.sinceArgs).To(BeEmpty(), "an engine without requests is not polled")
		busy := startRun(context.Background(), k, newRequest("first", request.Online, `{}`))
		Eventually(reached, waitTimeout).Should(BeClosed())
		DeferCleanup(func() {
			close(release)
			expectComplete(busy)
		})
		first, second = newRequest("a", request.Online, `{"a":1}`), newRequest("b", request.Online, `{"b":2}`)
	})

	pick := func(router *route.Router, r *request.Request) string {
		b, failure := router.Pick(clock.Now(), r, nil)
		Expect(failure).To(BeNil())
		return b.Name
	}
	publish := func(events ...engine.CacheEvent) {
		f.report.Events = append(f.report.Events, events...)
		clock.Advance(2 * time.Second)
		k.Poll()
		remoteRouter.SetLoad(clock.Now(), backendName, route.Load{CacheEpoch: k.RecentCacheEpoch()})
	}

	It("make the local router prefer the engine until an eviction", func() {
		Expect(pick(localRouter, first)).NotTo(Equal(backendName))
		publish(engine.CacheEvent{Sequence: 40, Prefix: first.Prefix()}, engine.CacheEvent{Sequence: 41, Prefix: second.Prefix()})
		Expect([]string{pick(localRouter, first), pick(localRouter, second)}).To(HaveEach(backendName))
		publish(engine.CacheEvent{Sequence: 42, Prefix: first.Prefix(), Evicted: true})
		Expect(pick(localRouter, first)).NotTo(Equal(backendName))
		Expect(pick(localRouter, second)).To(Equal(backendName))
		Expect(f.sinceArgs).To(HaveExactElements(uint64(0), uint64(41)))
	})

	It("invalidate earlier hints after a gap in the sequence, and set new ones", func() {
		publish(engine.CacheEvent{Sequence: 1, Prefix: first.Prefix()})
		publish(engine.CacheEvent{Sequence: 3, Prefix: second.Prefix()})
		Expect(pick(localRouter, first)).NotTo(Equal(backendName))
		Expect(pick(localRouter, second)).To(Equal(backendName))
	})

	It("age from when they happened, not from when they were read", func() {
		publish(engine.CacheEvent{Sequence: 1, Prefix: first.Prefix(), Age: 50 * time.Second})
		Expect(pick(localRouter, first)).To(Equal(backendName))
		clock.Advance(11 * time.Second)
		Expect(pick(localRouter, first)).NotTo(Equal(backendName))
	})

	It("invalidate the hints of all hosts when the epoch changes, but not on a late report of the old epoch", func() {
		publish(engine.CacheEvent{Sequence: 9, Prefix: first.Prefix()})
		remoteRouter.RecordEnd(clock.Now(), backendName, route.Outcome{Completed: true, Prefix: first.Prefix()})
		Expect([]string{pick(localRouter, first), pick(remoteRouter, first)}).To(HaveEach(backendName))
		f.report = engine.CacheReport{Epoch: 8}
		publish(engine.CacheEvent{Sequence: 1, Prefix: second.Prefix()}, engine.CacheEvent{Sequence: 12, Prefix: second.Prefix()})
		Expect([]string{pick(localRouter, first), pick(remoteRouter, first)}).NotTo(ContainElement(backendName))
		Expect(pick(localRouter, second)).NotTo(Equal(backendName), "events requested with a sequence number of the old epoch are dropped")
		publish()
		Expect(pick(localRouter, second)).To(Equal(backendName))
		remoteRouter.RecordEnd(clock.Now(), backendName, route.Outcome{Completed: true, Prefix: first.Prefix()})
		remoteRouter.SetLoad(clock.Now(), backendName, route.Load{CacheEpoch: 7})
		Expect(pick(remoteRouter, first)).To(Equal(backendName))
		Expect(k.RecentCacheEpoch()).To(Equal(uint32(8)))
		clock.Advance(time.Minute)
		Expect(k.RecentCacheEpoch()).To(BeZero(), "hints of the old epoch have expired")
	})

	It("are not polled for a minute if the engine has none", func() {
		f.err = engine.ErrNoCacheEvents
		for range 20 {
			publish()
		}
		Expect(f.sinceArgs).To(HaveLen(1))
		clock.Advance(time.Minute)
		publish()
		Expect(f.sinceArgs).To(HaveLen(2))
	})
})
