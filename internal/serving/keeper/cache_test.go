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

// cacheFake is an engine whose cache events the test writes.
type cacheFake struct {
	*fake
	report engine.CacheReport
	err    error
	asked  []uint64
}

func (f *cacheFake) CacheEvents(_ context.Context, _ string, since uint64) (engine.CacheReport, error) {
	f.asked = append(f.asked, since)
	report := engine.CacheReport{Epoch: f.report.Epoch}
	for _, e := range f.report.Events {
		if e.Sequence > since {
			report.Events = append(report.Events, e)
		}
	}
	return report, f.err
}

func routerOf50(seed uint64) *route.Router {
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
	text, err := services.Parse(source, 1)
	Expect(err).NotTo(HaveOccurred())
	r := route.NewRouter("a", seed, route.Balanced)
	r.SetServices(text)
	return r
}

var _ = Describe("Cache events of an engine", func() {
	const kept = "engine-1"
	var (
		f             *cacheFake
		k             *keeper.Keeper
		clock         *timer.Manual
		own, far      *route.Router
		first, second *request.Request
	)

	BeforeEach(func() {
		reached, release := make(chan struct{}), make(chan struct{})
		f = &cacheFake{fake: &fake{step: blockFirst(reached, release)}, report: engine.CacheReport{Epoch: 7}}
		clock, own, far = timer.NewManual(epoch), routerOf50(1), routerOf50(2)
		backend := services.Backend{Name: kept, Kind: services.EngineKind, Slots: 8}
		k = keeper.New(clock, f, keeper.Pools{Online: goPool{}, Batch: inlinePool{}}, backend, queue.NewPriorityPolicy(8, 1000))
		k.SetCacheSink(func(name string, report engine.CacheReport) {
			for _, e := range report.Events {
				own.ApplyCacheEvent(clock.Now(), route.CacheEvent{
					Backend: name, Epoch: report.Epoch, Sequence: e.Sequence, Prefix: e.Prefix, Age: e.Age, Evicted: e.Evicted,
				})
			}
			own.SetLoad(clock.Now(), name, route.Load{CacheEpoch: report.Epoch})
		})
		k.Poll()
		Expect(f.asked).To(BeEmpty(), "an engine without work is not asked")
		busy := run(context.Background(), k, call("first", request.Online, `{}`))
		Eventually(reached, patience).Should(BeClosed())
		DeferCleanup(func() {
			close(release)
			finished(busy)
		})
		first, second = call("a", request.Online, `{"a":1}`), call("b", request.Online, `{"b":2}`)
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
		far.SetLoad(clock.Now(), kept, route.Load{CacheEpoch: k.RecentCacheEpoch()})
	}

	It("steer the keeper's host, until an eviction", func() {
		Expect(pick(own, first)).NotTo(Equal(kept))
		publish(engine.CacheEvent{Sequence: 40, Prefix: first.Prefix()}, engine.CacheEvent{Sequence: 41, Prefix: second.Prefix()})
		Expect([]string{pick(own, first), pick(own, second)}).To(HaveEach(kept))
		publish(engine.CacheEvent{Sequence: 42, Prefix: first.Prefix(), Evicted: true})
		Expect(pick(own, first)).NotTo(Equal(kept))
		Expect(pick(own, second)).To(Equal(kept))
		Expect(f.asked).To(HaveExactElements(uint64(0), uint64(41)))
	})

	It("void what was believed at a gap, and count from there", func() {
		publish(engine.CacheEvent{Sequence: 1, Prefix: first.Prefix()})
		publish(engine.CacheEvent{Sequence: 3, Prefix: second.Prefix()})
		Expect(pick(own, first)).NotTo(Equal(kept))
		Expect(pick(own, second)).To(Equal(kept))
	})

	It("count from when they happened, however late they come", func() {
		publish(engine.CacheEvent{Sequence: 1, Prefix: first.Prefix(), Age: 50 * time.Second})
		Expect(pick(own, first)).To(Equal(kept))
		clock.Advance(11 * time.Second)
		Expect(pick(own, first)).NotTo(Equal(kept))
	})

	It("void every host's hints when the cache began anew, and never by an old report", func() {
		publish(engine.CacheEvent{Sequence: 9, Prefix: first.Prefix()})
		far.RecordEnd(clock.Now(), kept, route.Outcome{Completed: true, Prefix: first.Prefix()})
		Expect([]string{pick(own, first), pick(far, first)}).To(HaveEach(kept))
		f.report = engine.CacheReport{Epoch: 8}
		publish(engine.CacheEvent{Sequence: 1, Prefix: second.Prefix()}, engine.CacheEvent{Sequence: 12, Prefix: second.Prefix()})
		Expect([]string{pick(own, first), pick(far, first)}).NotTo(ContainElement(kept))
		Expect(pick(own, second)).NotTo(Equal(kept), "asked for with a number of the old cache")
		publish()
		Expect(pick(own, second)).To(Equal(kept))
		far.RecordEnd(clock.Now(), kept, route.Outcome{Completed: true, Prefix: first.Prefix()})
		far.SetLoad(clock.Now(), kept, route.Load{CacheEpoch: 7})
		Expect(pick(far, first)).To(Equal(kept))
		Expect(k.RecentCacheEpoch()).To(Equal(uint32(8)))
		clock.Advance(time.Minute)
		Expect(k.RecentCacheEpoch()).To(BeZero(), "hints from before are too old by now")
	})

	It("are not asked for again at once of an engine that has none", func() {
		f.err = engine.ErrNoCacheEvents
		for range 20 {
			publish()
		}
		Expect(f.asked).To(HaveLen(1))
		clock.Advance(time.Minute)
		publish()
		Expect(f.asked).To(HaveLen(2))
	})
})
