package keeper_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// blockFirst returns a step function that blocks the request "first" before its
// first word until release is closed. It closes reached when it blocks.
func blockFirst(reached, release chan struct{}) func(context.Context, engine.Attempt, int) *result.Error {
	return func(_ context.Context, a engine.Attempt, n int) *result.Error {
		if a.Request.ID() == "first" && n == 0 {
			close(reached)
			<-release
		}
		return nil
	}
}

var _ = Describe("Keeper of a leaving server", func() {
	ctx := context.Background()

	It("refuses waiting and new requests and finishes running ones", func() {
		reached, release := make(chan struct{}), make(chan struct{})
		f := &fakeEngine{step: blockFirst(reached, release)}
		k, _ := newKeeper(f, pools, 1)
		first := startRun(ctx, k, newRequest("first", request.Online, `{}`))
		Eventually(reached, waitTimeout).Should(BeClosed())
		second := startRun(ctx, k, newRequest("second", request.Online, `{}`))
		Eventually(func() int { return k.Counts().Waiting }, waitTimeout).Should(Equal(1))
		k.SetLeaving(true)
		third := startRun(ctx, k, newRequest("third", request.Online, `{}`))
		for _, o := range []*outcome{second, third} {
			Eventually(o.done, waitTimeout).Should(BeClosed())
			Expect(o.failure.Code()).To(Equal(result.Stopping))
			Expect(o.failure.Ran()).To(Equal(result.RanNo))
		}
		close(release)
		expectComplete(first)
		Expect(f.runCount("second") + f.runCount("third")).To(BeZero())
		k.SetLeaving(false)
		expectComplete(startRun(ctx, k, newRequest("fourth", request.Online, `{}`)))
	})

	It("does not report a refused request as not run if it ran before a preemption", func() {
		reached, blocked, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
		batchStops := stopAt(3, reached, nil)
		firstBlocks := blockFirst(blocked, release)
		f := &fakeEngine{step: func(ctx context.Context, a engine.Attempt, n int) *result.Error {
			if failure := batchStops(ctx, a, n); failure != nil {
				return failure
			}
			return firstBlocks(ctx, a, n)
		}}
		k, _ := newKeeper(f, pools, 1)
		batch := startRun(ctx, k, newRequest("batch", request.Batch, `{}`))
		Eventually(reached, waitTimeout).Should(BeClosed())
		online := startRun(ctx, k, newRequest("first", request.Online, `{}`))
		Eventually(blocked, waitTimeout).Should(BeClosed())
		Eventually(func() int { return k.Counts().Waiting }, waitTimeout).Should(Equal(1))
		k.SetLeaving(true)
		Eventually(batch.done, waitTimeout).Should(BeClosed())
		Expect(batch.failure.Ran()).NotTo(Equal(result.RanNo))
		close(release)
		expectComplete(online)
	})
})
