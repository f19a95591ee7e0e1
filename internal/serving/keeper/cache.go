package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

const (
	// noEventsRetryInterval is the time until an engine that publishes no cache
	// events is polled for them again.
	noEventsRetryInterval = time.Minute
	// newEpochTTL is how long a new cache epoch is reported to other hosts.
	// Afterwards, cache hints from the previous epoch have expired.
	newEpochTTL = route.HintTTL
)

// CacheReader is an Executor that can read an engine's cache events.
type CacheReader interface {
	CacheEvents(ctx context.Context, address string, since uint64) (engine.CacheReport, error)
}

var _ CacheReader = (*engine.Client)(nil)

// CacheSink receives reports of an engine's prefix cache. It must not block.
type CacheSink func(backend string, report engine.CacheReport)

// cacheState is the position up to which an engine's cache events have been
// read. It is protected by Keeper.mu; only one poll at a time changes it.
type cacheState struct {
	sink CacheSink
	// epoch is the epoch of the cache that lastSequence belongs to.
	epoch uint32
	// epochChangedAt is when the epoch last changed, zero if only one epoch has
	// been seen.
	epochChangedAt time.Time
	// lastSequence is the sequence number of the last event read.
	lastSequence uint64
	// pausedUntil is the time before which the engine is not polled for cache
	// events.
	pausedUntil time.Time
}

// SetCacheSink sets the receiver of the engine's cache events. It must be
// called before the first request.
func (k *Keeper) SetCacheSink(sink CacheSink) { k.cacheState.sink = sink }

// SetCacheSink sets the receiver of the cache events of all engines in the set.
// It must be called before the first request.
func (s *Set) SetCacheSink(sink CacheSink) { s.cacheSink = sink }

// RecentCacheEpoch returns the epoch of the engine's cache if it changed within
// the last newEpochTTL, and 0 otherwise. Other hosts may still have hints about
// the contents of the cache before the change.
func (k *Keeper) RecentCacheEpoch() uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cacheState.epochChangedAt.IsZero() || k.timer.Now().Sub(k.cacheState.epochChangedAt) > newEpochTTL {
		return 0
	}
	return k.cacheState.epoch
}

// pollCache reads the engine's new cache events and passes them to the sink.
func (k *Keeper) pollCache(ctx context.Context) {
	reader, ok := k.executor.(CacheReader)
	k.mu.Lock()
	state := k.cacheState
	k.mu.Unlock()
	if !ok || state.sink == nil || k.timer.Now().Before(state.pausedUntil) {
		return
	}
	report, err := reader.CacheEvents(ctx, k.backend.Address, state.lastSequence)
	if err != nil {
		k.handleCacheError(err)
		return
	}
	if report = k.applyCacheReport(report); report.Epoch != 0 {
		state.sink(k.backend.Name, report)
	}
}

func (k *Keeper) handleCacheError(err error) {
	pollFailures.Inc()
	if !errors.Is(err, engine.ErrNoCacheEvents) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cacheState.pausedUntil = k.timer.Now().Add(noEventsRetryInterval)
}

// applyCacheReport updates the read position and returns the report to pass on.
// The first report of a new epoch was requested with the last sequence number of
// the old one. Unless that number is zero, the first events of the new epoch may
// be missing from the report. Its events are then dropped, and the next poll
// reads them from the start.
func (k *Keeper) applyCacheReport(report engine.CacheReport) engine.CacheReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	if report.Epoch != k.cacheState.epoch {
		if k.cacheState.lastSequence > 0 {
			report.Events = nil
		}
		if k.cacheState.epoch != 0 {
			k.cacheState.epochChangedAt = k.timer.Now()
		}
		k.cacheState.epoch, k.cacheState.lastSequence = report.Epoch, 0
	}
	for _, e := range report.Events {
		k.cacheState.lastSequence = max(k.cacheState.lastSequence, e.Sequence)
	}
	cacheEvents.Add(len(report.Events))
	return report
}
