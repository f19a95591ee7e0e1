package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

const (
	// noEventsRetry is how long an engine without cache events is not asked again.
	noEventsRetry = time.Minute
	// epochToldFor is how long a new start of a cache is told to other hosts.
	epochToldFor = route.HintTTL
)

// CacheReader is an Executor that can ask an engine for its cache events.
type CacheReader interface {
	CacheEvents(ctx context.Context, address string, since uint64) (engine.CacheReport, error)
}

var _ CacheReader = (*engine.Client)(nil)

// CacheSink takes what an engine told of its prefix cache; it must not block.
type CacheSink func(backend string, report engine.CacheReport)

// cache is how far an engine's cache events are read. It is guarded by the
// keeper's lock; only one poll at a time changes it.
type cache struct {
	sink CacheSink
	// epoch is the cache's start that since belongs to.
	epoch uint32
	// began is when another epoch followed the first one known, zero before.
	began time.Time
	// since is the number of the last event read.
	since uint64
	// pause is until when the engine is not asked.
	pause time.Time
}

// SetCacheSink sets who gets the engine's cache events. It must be called
// before the first request.
func (k *Keeper) SetCacheSink(sink CacheSink) { k.cache.sink = sink }

// SetCacheSink sets who gets the cache events of engines kept here. It must be
// called before the first request.
func (s *Set) SetCacheSink(sink CacheSink) { s.cached = sink }

// RecentCacheEpoch returns the start of the engine's cache for as long as others
// may believe in what the cache held before it, and 0 otherwise.
func (k *Keeper) RecentCacheEpoch() uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cache.began.IsZero() || k.timer.Now().Sub(k.cache.began) > epochToldFor {
		return 0
	}
	return k.cache.epoch
}

// pollCache reads the engine's new cache events and passes them on.
func (k *Keeper) pollCache(ctx context.Context) {
	reader, ok := k.executor.(CacheReader)
	k.mu.Lock()
	one := k.cache
	k.mu.Unlock()
	if !ok || one.sink == nil || k.timer.Now().Before(one.pause) {
		return
	}
	report, err := reader.CacheEvents(ctx, k.backend.Address, one.since)
	if err != nil {
		k.cacheFailed(err)
		return
	}
	if report = k.cacheRead(report); report.Epoch != 0 {
		one.sink(k.backend.Name, report)
	}
}

func (k *Keeper) cacheFailed(err error) {
	pollFailures.Inc()
	if !errors.Is(err, engine.ErrNoCacheEvents) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cache.pause = k.timer.Now().Add(noEventsRetry)
}

// cacheRead notes how far the events are read. A report of a cache that began
// anew was asked for with a number of the old one, so its events may lack a
// head: they are left to the next poll.
func (k *Keeper) cacheRead(report engine.CacheReport) engine.CacheReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	if report.Epoch != k.cache.epoch {
		if k.cache.since > 0 {
			report.Events = nil
		}
		if k.cache.epoch != 0 {
			k.cache.began = k.timer.Now()
		}
		k.cache.epoch, k.cache.since = report.Epoch, 0
	}
	for _, e := range report.Events {
		k.cache.since = max(k.cache.since, e.Sequence)
	}
	cacheEvents.Add(len(report.Events))
	return report
}
