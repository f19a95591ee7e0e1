package keeper_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// blockFirst holds the request "first" before its first word until released.
func blockFirst(reached, release chan struct{}) func(context.Context, engine.Attempt, int) *result.Error {
	return func(_ context.Context, a engine.Attempt, n int) *result.Error {
		if a.Request.ID() == "first" && n == 0 {
			close(reached)
			<-release
		}
		return nil
	}
}

var _ = Describe("Keeper of a leaving back end", func() {
	ctx := context.Background()

	It("sends away what waits, takes nothing new, and finishes what runs", func() {
		reached, release := make(chan struct{}), make(chan struct{})
		f := &fake{step: blockFirst(reached, release)}
		k, _ := newKeeper(f, pools, 1)
		first := run(ctx, k, call("first", request.Online, `{}`))
		Eventually(reached, patience).Should(BeClosed())
		second := run(ctx, k, call("second", request.Online, `{}`))
		Eventually(func() int { return k.Counts().Waiting }, patience).Should(Equal(1))
		k.SetLeaving(true)
		third := run(ctx, k, call("third", request.Online, `{}`))
		for _, o := range []*outcome{second, third} {
			Eventually(o.done, patience).Should(BeClosed())
			Expect(o.failure.Code()).To(Equal(result.Stopping))
			Expect(o.failure.Ran()).To(Equal(result.RanNo))
		}
		close(release)
		finished(first)
		Expect(f.runs("second") + f.runs("third")).To(BeZero())
		k.SetLeaving(false)
		finished(run(ctx, k, call("fourth", request.Online, `{}`)))
	})

	It("does not say not run for an answer that yielded before it was sent away", func() {
		reached, blocked, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
		batchStops := stopAt(3, reached, nil)
		firstBlocks := blockFirst(blocked, release)
		f := &fake{step: func(ctx context.Context, a engine.Attempt, n int) *result.Error {
			if failure := batchStops(ctx, a, n); failure != nil {
				return failure
			}
			return firstBlocks(ctx, a, n)
		}}
		k, _ := newKeeper(f, pools, 1)
		batch := run(ctx, k, call("batch", request.Batch, `{}`))
		Eventually(reached, patience).Should(BeClosed())
		online := run(ctx, k, call("first", request.Online, `{}`))
		Eventually(blocked, patience).Should(BeClosed())
		Eventually(func() int { return k.Counts().Waiting }, patience).Should(Equal(1))
		k.SetLeaving(true)
		Eventually(batch.done, patience).Should(BeClosed())
		Expect(batch.failure.Ran()).NotTo(Equal(result.RanNo))
		close(release)
		finished(online)
	})
})
