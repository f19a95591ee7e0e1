package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

const (
	// pollEvery is the mean time between two questions for an engine's load.
	pollEvery   = time.Second
	pollTimeout = time.Second
)

// polls says when the load of a back end is asked for next. It is guarded by
// the keeper's lock.
type polls struct {
	next time.Time
	// asking says that an answer is awaited; there is one question at a time.
	asking bool
	jitter *rand.Rand
}

func newPolls(backend string) polls {
	return polls{jitter: rand.New(rand.NewPCG(xxhash.Sum64String(backend), 0))}
}

// due reports whether to ask now. An engine that this host gives no work is
// not asked.
func (k *Keeper) due(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.backend.Kind != services.EngineKind || k.polls.asking || now.Before(k.polls.next) || len(k.runs) == 0 {
		return false
	}
	k.polls.next = now.Add(pollEvery/2 + time.Duration(k.polls.jitter.Int64N(int64(pollEvery))))
	k.polls.asking = true
	return true
}

// Poll asks the engine for its load if it is time to; it does not block.
func (k *Keeper) Poll() {
	reader, ok := k.executor.(LoadReader)
	if !ok || !k.due(k.timer.Now()) {
		return
	}
	if err := k.pools.Batch.Submit(func() { k.poll(reader) }); err != nil {
		k.asked()
	}
}

func (k *Keeper) poll(reader LoadReader) {
	defer k.asked()
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	load, err := reader.Load(ctx, k.backend.Address)
	if err != nil {
		pollFailures.Inc()
		return
	}
	k.ObserveLoad(load)
	k.pollCache(ctx)
}

func (k *Keeper) asked() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.polls.asking = false
}
