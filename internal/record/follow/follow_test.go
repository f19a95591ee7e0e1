package follow_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

const (
	// waitTimeout bounds every wait; it is no performance target.
	waitTimeout = 20 * time.Second
	prefix      = "p/"
)

// recordingHandler records the keys and graces that it receives.
type recordingHandler struct {
	mu    sync.Mutex
	keys  map[string]string
	grace map[string]time.Duration
}

func (r *recordingHandler) Listed(entries []store.Entry, grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.keys
	r.keys = map[string]string{}
	for _, e := range entries {
		r.keys[e.Key] = string(e.Value)
	}
	for key := range old {
		if _, ok := r.keys[key]; !ok {
			r.grace[key] = grace
		}
	}
}

func (r *recordingHandler) Changed(e store.Event, grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Deleted {
		delete(r.keys, e.Key)
		r.grace[e.Key] = grace
		return
	}
	r.keys[e.Key] = string(e.Value)
}

func (r *recordingHandler) snapshot() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := map[string]string{}
	for k, v := range r.keys {
		copied[k] = v
	}
	return copied
}

func (r *recordingHandler) graceOf(key string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	grace, ok := r.grace[key]
	return grace, ok
}

// silentStore is a store whose polls return no changes while silent is set.
type silentStore struct {
	*platform.KV
	clock  *timer.Manual
	silent atomic.Bool
}

func (s *silentStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if !s.silent.Load() {
		return s.KV.Poll(ctx, prefix, after, wait)
	}
	if !timer.Pause(s.clock, ctx.Done(), wait) {
		return nil, after, store.ErrUnavailable
	}
	return nil, after, nil
}

var _ = Describe("a follower", func() {
	var (
		clock *timer.Manual
		kv    *silentStore
		r     *recordingHandler
		f     *follow.Follower
	)
	write := func(key, value string) int64 {
		outcome, err := kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
		Expect(err).NotTo(HaveOccurred())
		return outcome.Revision
	}
	remove := func(key string) {
		_, err := kv.Commit(context.Background(), store.Txn{Deletes: []string{key}})
		Expect(err).NotTo(HaveOccurred())
	}
	expectKeys := func(want map[string]string) {
		GinkgoHelper()
		Eventually(func() map[string]string {
			clock.Advance(10 * time.Millisecond)
			return r.snapshot()
		}, waitTimeout, time.Millisecond).Should(Equal(want))
	}
	BeforeEach(func() {
		clock = timer.NewManual(time.Unix(1000, 0))
		kv = &silentStore{KV: platform.NewKV(clock), clock: clock}
		r = &recordingHandler{keys: map[string]string{}, grace: map[string]time.Duration{}}
		write("p/1", "a")
		f = follow.New(clock, logr.Discard(), kv, prefix, r, follow.Always, func() int { return 7 })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			Eventually(func() bool {
				clock.Advance(time.Second)
				select {
				case <-done:
					return true
				default:
					return false
				}
			}, waitTimeout).Should(BeTrue())
		})
		expectKeys(map[string]string{"p/1": "a"})
	})

	It("reports changes and deletions in order, without grace", func() {
		write("p/2", "b")
		write("p/1", "c")
		expectKeys(map[string]string{"p/1": "c", "p/2": "b"})
		remove("p/2")
		expectKeys(map[string]string{"p/1": "c"})
		grace, ok := r.graceOf("p/2")
		Expect(ok).To(BeTrue())
		Expect(grace).To(BeZero())
	})

	// refresh refreshes the follower while the clock goes on.
	refresh := func() error {
		done := make(chan error, 1)
		go func() { done <- f.Refresh(context.Background()) }()
		var err error
		Eventually(func() bool {
			clock.Advance(time.Millisecond)
			select {
			case err = <-done:
				return true
			default:
				return false
			}
		}, waitTimeout, time.Millisecond).Should(BeTrue())
		return err
	}

	It("reads what the store has when it is refreshed", func() {
		Expect(refresh()).To(Succeed())
		revision := write("p/2", "b")
		Expect(refresh()).To(Succeed())
		Expect(r.snapshot()).To(HaveKeyWithValue("p/2", "b"))
		Expect(f.Applied()).To(Equal(revision))
		Expect(f.Behind()).To(BeFalse())
	})

	It("is not refreshed while the store is away", func() {
		kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		Expect(refresh()).NotTo(Succeed())
	})

	It("reports the first key of a store that was empty when listed", func() {
		empty := platform.NewKV(clock)
		r := &recordingHandler{keys: map[string]string{}, grace: map[string]time.Duration{}}
		var polls atomic.Int64
		empty.SetFaults(func(op string) platform.Fault {
			if op == "poll" {
				polls.Add(1)
			}
			return platform.NoFault
		})
		f := follow.New(clock, logr.Discard(), empty, prefix, r, follow.Always, func() int { return 1 })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go f.Run(ctx)
		Eventually(polls.Load, waitTimeout).Should(BeNumerically(">", 0))
		_, err := empty.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "p/1", Value: []byte("a")}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() map[string]string {
			clock.Advance(10 * time.Millisecond)
			return r.snapshot()
		}, waitTimeout, time.Millisecond).Should(Equal(map[string]string{"p/1": "a"}))
	})

	It("lists again after a compaction, without grace for missing keys", func() {
		kv.silent.Store(true)
		remove("p/1")
		write("p/2", "b")
		kv.Compact()
		kv.silent.Store(false)
		expectKeys(map[string]string{"p/2": "b"})
		grace, _ := r.graceOf("p/1")
		Expect(grace).To(BeZero())
	})

	It("reads a change whose revision was reported if its own poll does not return", func() {
		kv.silent.Store(true)
		// The follower's poll is waiting and will return no change.
		clock.Advance(time.Millisecond)
		revision := write("p/2", "b")
		kv.silent.Store(false)
		before := clock.Now()
		f.ReportRevision(revision)
		expectKeys(map[string]string{"p/1": "a", "p/2": "b"})
		Expect(clock.Now().Sub(before)).To(BeNumerically("<", 2*time.Second), "the users' bound on a configuration, in manual time")
		Eventually(f.Applied).Should(Equal(revision))
	})

	It("polls once for reported revisions of changes outside the prefix", func() {
		// Another follower that has listed again reports the revision of the whole
		// store.
		var revision int64
		for range 5 {
			revision = write("q/1", "x")
		}
		calls := kv.Calls()["poll"]
		for range 100 {
			f.ReportRevision(revision)
			clock.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		// Ten seconds of polls that each wait at least 0.7 s, and the one poll
		// after the reports.
		Expect(kv.Calls()["poll"] - calls).To(BeNumerically("<", 20))
	})

	DescribeTable("reports a grace for keys deleted right after an outage",
		func(outage time.Duration, wantGrace bool) {
			kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
			// endPoll lets the waiting poll time out; the next calls fail.
			endPoll := func() { clock.Advance(3 * time.Second) }
			endPoll()
			for elapsed := time.Duration(0); elapsed < outage; elapsed += 20 * time.Millisecond {
				clock.Advance(20 * time.Millisecond)
				time.Sleep(time.Millisecond)
			}
			kv.SetFaults(nil)
			remove("p/1")
			expectKeys(map[string]string{})
			grace, ok := r.graceOf("p/1")
			Expect(ok).To(BeTrue())
			Expect(grace > 0).To(Equal(wantGrace))
			Expect(grace).To(BeNumerically("<=", 2*time.Second), "at most the time in which writers create their keys again")
		},
		Entry("an outage", 6*time.Second, true),
	)
})
