package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

const (
	// pollInterval is the mean time between two load polls of an engine.
	pollInterval = time.Second
	pollTimeout  = time.Second
)

// pollState holds the schedule of a server's load polls. It is protected by
// Keeper.mu.
type pollState struct {
	nextAt time.Time
	// inFlight says that a poll is in progress; there is at most one.
	inFlight bool
	jitter   *rand.Rand
}

func newPollState(backend string) pollState {
	return pollState{jitter: rand.New(rand.NewPCG(xxhash.Sum64String(backend), 0))}
}

// startPoll reports whether a poll is due, and if so marks it as in progress and
// schedules the next one. An engine without requests in its queue is not polled.
func (k *Keeper) startPoll(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.backend.Kind != services.EngineKind || k.pollState.inFlight || now.Before(k.pollState.nextAt) || len(k.entries) == 0 {
		return false
	}
	k.pollState.nextAt = now.Add(pollInterval/2 + time.Duration(k.pollState.jitter.Int64N(int64(pollInterval))))
	k.pollState.inFlight = true
	return true
}

// Poll starts a poll of the engine's load if one is due. It does not block.
func (k *Keeper) Poll() {
	reader, ok := k.executor.(LoadReader)
	if !ok || !k.startPoll(k.timer.Now()) {
		return
	}
	if err := k.pools.Batch.Submit(func() { k.poll(reader) }); err != nil {
		k.endPoll()
	}
}

func (k *Keeper) poll(reader LoadReader) {
	defer k.endPoll()
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

func (k *Keeper) endPoll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pollState.inFlight = false
}
