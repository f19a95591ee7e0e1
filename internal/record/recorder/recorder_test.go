package recorder_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/lease"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/record/recorder"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

const (
	shards = 4
	// longTTL outlasts any stall of the test machine; shortTTL is short because
	// a test waits for it to expire.
	longTTL  = 30 * time.Second
	shortTTL = 5 * time.Second
	// waitTimeout bounds every wait; it is no performance target.
	waitTimeout = 30 * time.Second
)

// fleet is a set of hosts whose recorders share one store.
type fleet struct {
	kv    *platform.KV
	timer timer.Service

	mu   sync.Mutex
	live []string
}

func (f *fleet) setLive(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = names
}

func (f *fleet) start(name string, ttl time.Duration) *recorder.Recorder {
	timing := lease.DefaultTiming
	timing.TTL, timing.Margin, timing.RenewInterval = ttl, time.Second, 500*time.Millisecond
	timing.ReleaseDelay, timing.CheckInterval = 100*time.Millisecond, 100*time.Millisecond
	r := recorder.New(name, f.kv, f.timer, shards, timing, recorder.Hooks{
		Live: func() []string {
			f.mu.Lock()
			defer f.mu.Unlock()
			return append([]string(nil), f.live...)
		},
		Acquired: func(int, int64) {}, Lost: func(int) {}, RecordEvent: func(string, string, ...string) {},
		Rerun: func(ledger.Entry, *wire.Record) {},
	})
	r.Start()
	DeferCleanup(r.Stop)
	return r
}

func claimOf(key, attempt string) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Shard: int32(rendezvous.Shard(key, shards)), Key: key, Attempt: attempt, Owner: "owner", Fingerprint: []byte("f"),
		DeadlineInMs: 60_000, KeepMs: time.Hour.Milliseconds(),
	}
}

func finishOf(key, attempt string, answer []byte) *wire.FinishRequest {
	return &wire.FinishRequest{
		Shard: int32(rendezvous.Shard(key, shards)), Key: key, Attempt: attempt, State: int32(ledger.Done), Status: 200, Answer: answer,
	}
}

func lookup(ctx context.Context, r *recorder.Recorder, key string) *wire.LookupReply {
	return r.Lookup(ctx, &wire.LookupRequest{Key: key, Shard: int32(rendezvous.Shard(key, shards))})
}

var _ = Describe("recorders", func() {
	var f *fleet
	BeforeEach(func() {
		f = &fleet{kv: platform.NewKV(timer.Real{}), timer: timer.Real{}}
		f.setLive("a")
	})

	It("grant one of many claims of a key, and hand its answer over to the next holder", func(ctx SpecContext) {
		a := f.start("a", longTTL)
		Eventually(a.Held, waitTimeout).Should(HaveLen(shards))
		granted := make(chan string, 50)
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				attempt := fmt.Sprintf("attempt-%d", i)
				if reply := a.Claim(ctx, claimOf("k", attempt)); reply.GetFailure() == nil && reply.GetExisting() == nil {
					granted <- attempt
				}
			})
		}
		wg.Wait()
		Expect(granted).To(HaveLen(1))
		answer := bytes.Repeat([]byte("0123456789abcdef"), 200_000)
		Expect(a.Finish(ctx, finishOf("k", <-granted, answer)).GetFailure()).To(BeNil())

		b := f.start("b", longTTL)
		f.setLive("b")
		Eventually(b.Held, waitTimeout).Should(HaveLen(shards))
		reply := lookup(ctx, b, "k")
		Expect(reply.GetFailure()).To(BeNil())
		Expect(bytes.Equal(reply.GetEntry().GetAnswer(), answer)).To(BeTrue())
		Expect(lookup(ctx, a, "k").GetFailure().Err().Code()).To(Equal(result.LeaseLost))
	}, SpecTimeout(2*waitTimeout))

	It("reject calls past their lease, and the next holder reads all records", func(ctx SpecContext) {
		a := f.start("a", shortTTL)
		Eventually(a.Held, waitTimeout).Should(HaveLen(shards))
		Expect(a.Claim(ctx, claimOf("k", "one")).GetFailure()).To(BeNil())
		a.Stop()
		b := f.start("b", longTTL)
		f.setLive("b")
		Eventually(b.Held, waitTimeout).Should(HaveLen(shards))
		failure := a.Finish(ctx, finishOf("k", "one", nil)).GetFailure().Err()
		Expect(failure.Code()).To(Equal(result.LeaseLost))
		Expect(b.Claim(ctx, claimOf("k", "two")).GetExisting().GetAttempt()).To(Equal("one"))
		Expect(b.Finish(ctx, finishOf("k", "one", []byte("late"))).GetFailure()).To(BeNil())
		Expect(string(lookup(ctx, b, "k").GetEntry().GetAnswer())).To(Equal("late"))
	}, SpecTimeout(2*waitTimeout))

	It("resolve writes whose replies are lost", func(ctx SpecContext) {
		a := f.start("a", longTTL)
		Eventually(a.Held, waitTimeout).Should(HaveLen(shards))
		var mu sync.Mutex
		calls := 0
		f.kv.SetFaults(func(op string) platform.Fault {
			mu.Lock()
			defer mu.Unlock()
			if calls++; op == "txn" && calls%2 == 0 {
				return platform.LoseReply
			}
			return platform.NoFault
		})
		for i := range 10 {
			key := fmt.Sprintf("k%d", i)
			Expect(a.Claim(ctx, claimOf(key, "one")).GetFailure()).To(BeNil())
			Expect(a.Finish(ctx, finishOf(key, "one", []byte(key))).GetFailure()).To(BeNil())
			Expect(string(lookup(ctx, a, key).GetEntry().GetAnswer())).To(Equal(key))
		}
	}, SpecTimeout(2*waitTimeout))

	It("refuse a claim as not run if the lease ends while each of its writes was refused", func(ctx SpecContext) {
		clock := timer.NewManual(time.Unix(1000, 0))
		f.kv, f.timer = platform.NewKV(clock), clock
		a := f.start("a", shortTTL)
		Eventually(func() []int {
			clock.Advance(50 * time.Millisecond)
			return a.Held()
		}, waitTimeout).Should(HaveLen(shards))
		f.kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		replies := make(chan *wire.ClaimReply, 1)
		go func() { replies <- a.Claim(ctx, claimOf("k", "one")) }()
		// From six refused calls on, each is a second after the one before.
		before := f.kv.Calls()["txn"]
		Eventually(func() int {
			clock.Advance(10 * time.Millisecond)
			return f.kv.Calls()["txn"] - before
		}, waitTimeout, 20*time.Millisecond).Should(BeNumerically(">=", 6))
		Expect(replies).NotTo(Receive())
		clock.Advance(shortTTL)
		var reply *wire.ClaimReply
		Eventually(replies, waitTimeout).Should(Receive(&reply))
		Expect(reply.GetFailure()).NotTo(BeNil())
		Expect(reply.GetFailure().Err().Ran()).To(Equal(result.RanNo))
	}, SpecTimeout(2*waitTimeout))

	DescribeTable("tell a claim whose call ends during an outage whether it may be durable, before the call ends",
		func(ctx SpecContext, fault platform.Fault, want result.Ran) {
			a := f.start("a", longTTL)
			Eventually(a.Held, waitTimeout).Should(HaveLen(shards))
			f.kv.SetFaults(func(op string) platform.Fault {
				if op == "txn" {
					return fault
				}
				return platform.Refuse
			})
			callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			reply := a.Claim(callCtx, claimOf("k", "one"))
			Expect(callCtx.Err()).NotTo(HaveOccurred())
			Expect(reply.GetFailure().Err().Code()).To(Equal(result.StoreUnavailable))
			Expect(reply.GetFailure().Err().Ran()).To(Equal(want))
			f.kv.SetFaults(nil)
			if want == result.RanNo {
				Expect(lookup(ctx, a, "k").GetFailure().Err().Code()).To(Equal(result.NotFound))
			} else {
				Expect(lookup(ctx, a, "k").GetEntry().GetAttempt()).To(Equal("one"))
			}
		},
		Entry("if the store refuses its writes", platform.Refuse, result.RanNo, SpecTimeout(2*waitTimeout)),
		Entry("if the reply to its write is lost", platform.LoseReply, result.RanMaybe, SpecTimeout(2*waitTimeout)),
	)
})
