package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		rate := float64(rapid.IntRange(1, 50).Draw(t, "rate"))
		b := store.NewBucket(now, rate)
		taken := 0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			wait := b.Take(now, rapid.Bool().Draw(t, "background"))
			if wait > 0 {
				now = now.Add(wait)
				if remaining := b.Take(now, false); remaining > 0 {
					t.Fatalf("after waiting %v, Take returned a further wait of %v", wait, remaining)
				}
			}
			taken++
			if limit := rate*now.Sub(time.Unix(0, 0)).Seconds() + 2*rate + 1; float64(taken) > limit {
				t.Fatalf("%d calls admitted by %v at a rate of %v per second", taken, now, rate)
			}
		}
	})
}

var _ = Describe("a metered store", func() {
	clock := func() *timer.Manual { return timer.NewManual(time.Unix(1000, 0)) }

	It("reserves half of the bucket for urgent calls", func() {
		now := time.Unix(0, 0)
		b := store.NewBucket(now, 10)
		background := 0
		for b.Take(now, true) == 0 {
			background++
		}
		urgent := 0
		for b.Take(now, false) == 0 {
			urgent++
		}
		Expect(background).To(Equal(10))
		Expect(urgent).To(Equal(10))
	})

	It("fails a call that would wait too long, without sending it", func() {
		t := clock()
		kv := platform.NewKV(t)
		m := store.NewRateLimited(kv, t, store.Rates{Reads: 10, Writes: 0.1}, func() int { return 1 })
		_, err := m.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "a"}}})
		Expect(err).NotTo(HaveOccurred())
		_, err = m.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "b"}}})
		Expect(err).To(MatchError(store.ErrUnavailable))
		Expect(kv.Calls()["txn"]).To(Equal(1))
	})

	It("divides the deployment's rates by the number of live hosts", func() {
		t := clock()
		kv := platform.NewKV(t)
		hosts := 1
		m := store.NewRateLimited(kv, t, store.Rates{Reads: 100, Writes: 100}, func() int { return hosts })
		hosts = 1000
		for i := range 5 {
			_, _ = m.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: fmt.Sprint(i)}}})
		}
		Expect(kv.Calls()["txn"]).To(Equal(1))
	})

	It("does not limit lease renewals", func() {
		t := clock()
		m := store.NewRateLimited(platform.NewKV(t), t, store.Rates{}, func() int { return 1 })
		id, err := m.Grant(context.Background(), 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		_, err = m.KeepAlive(context.Background(), id)
		Expect(err).NotTo(HaveOccurred())
	})
})
