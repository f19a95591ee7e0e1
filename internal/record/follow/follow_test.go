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
	// patience bounds every wait; it is no statement on speed.
	patience = 20 * time.Second
	prefix   = "p/"
)

// reader keeps what it was told.
type reader struct {
	mu    sync.Mutex
	keys  map[string]string
	grace map[string]time.Duration
}

func (r *reader) Listed(entries []store.Entry, grace time.Duration) {
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

func (r *reader) Changed(e store.Event, grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Deleted {
		delete(r.keys, e.Key)
		r.grace[e.Key] = grace
		return
	}
	r.keys[e.Key] = string(e.Value)
}

func (r *reader) snapshot() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := map[string]string{}
	for k, v := range r.keys {
		copied[k] = v
	}
	return copied
}

func (r *reader) graceOf(key string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	grace, ok := r.grace[key]
	return grace, ok
}

// deaf is a store whose polls hear nothing while it is on.
type deaf struct {
	*platform.KV
	clock *timer.Manual
	on    atomic.Bool
}

func (d *deaf) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if !d.on.Load() {
		return d.KV.Poll(ctx, prefix, after, wait)
	}
	if !timer.Pause(d.clock, ctx.Done(), wait) {
		return nil, after, store.ErrUnavailable
	}
	return nil, after, nil
}

var _ = Describe("a follower", func() {
	var (
		clock *timer.Manual
		kv    *deaf
		r     *reader
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
	sees := func(want map[string]string) {
		GinkgoHelper()
		Eventually(func() map[string]string {
			clock.Advance(10 * time.Millisecond)
			return r.snapshot()
		}, patience, time.Millisecond).Should(Equal(want))
	}
	BeforeEach(func() {
		clock = timer.NewManual(time.Unix(1000, 0))
		kv = &deaf{KV: platform.NewKV(clock), clock: clock}
		r = &reader{keys: map[string]string{}, grace: map[string]time.Duration{}}
		write("p/1", "a")
		f = follow.New(clock, logr.Discard(), kv, prefix, r, func() int { return 7 })
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
			}, patience).Should(BeTrue())
		})
		sees(map[string]string{"p/1": "a"})
	})

	It("takes changes and removals in order, without grace", func() {
		write("p/2", "b")
		write("p/1", "c")
		sees(map[string]string{"p/1": "c", "p/2": "b"})
		remove("p/2")
		sees(map[string]string{"p/1": "c"})
		grace, ok := r.graceOf("p/2")
		Expect(ok).To(BeTrue())
		Expect(grace).To(BeZero())
	})

	It("misses nothing of a store that was empty when it was listed", func() {
		empty := platform.NewKV(clock)
		r := &reader{keys: map[string]string{}, grace: map[string]time.Duration{}}
		var listed atomic.Int64
		empty.SetFaults(func(op string) platform.Fault {
			if op == "poll" {
				listed.Add(1)
			}
			return platform.NoFault
		})
		f := follow.New(clock, logr.Discard(), empty, prefix, r, func() int { return 1 })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go f.Run(ctx)
		Eventually(listed.Load, patience).Should(BeNumerically(">", 0))
		_, err := empty.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "p/1", Value: []byte("a")}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() map[string]string {
			clock.Advance(10 * time.Millisecond)
			return r.snapshot()
		}, patience, time.Millisecond).Should(Equal(map[string]string{"p/1": "a"}))
	})

	It("lists again when the history is gone; what is missing then is gone", func() {
		kv.on.Store(true)
		remove("p/1")
		write("p/2", "b")
		kv.Compact()
		kv.on.Store(false)
		sees(map[string]string{"p/2": "b"})
		grace, _ := r.graceOf("p/1")
		Expect(grace).To(BeZero())
	})

	It("finds out by another reader's word what its own poll does not hear", func() {
		kv.on.Store(true)
		// A poll that waits and hears nothing.
		clock.Advance(time.Millisecond)
		revision := write("p/2", "b")
		kv.on.Store(false)
		before := clock.Now()
		f.Nudge(revision)
		sees(map[string]string{"p/1": "a", "p/2": "b"})
		Expect(clock.Now().Sub(before)).To(BeNumerically("<", 2*time.Second), "the users' bound on a configuration, in manual time")
		Eventually(f.Applied).Should(Equal(revision))
	})

	It("looks once at another reader's word that stems from changes elsewhere in the store", func() {
		// The other reader has listed again; its list is as new as the whole store.
		var revision int64
		for range 5 {
			revision = write("q/1", "x")
		}
		calls := kv.Calls()["poll"]
		for range 100 {
			f.Nudge(revision)
			clock.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		// Ten seconds of polls that wait for 0.7 s or more, and the one look.
		Expect(kv.Calls()["poll"] - calls).To(BeNumerically("<", 20))
	})

	DescribeTable("gives a grace time to what an outage took, but not after a single failed call",
		func(away time.Duration, wantGrace bool) {
			kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
			// The poll that waits ends, and the next ones fail.
			write2 := func() { clock.Advance(3 * time.Second) }
			write2()
			for passed := time.Duration(0); passed < away; passed += 20 * time.Millisecond {
				clock.Advance(20 * time.Millisecond)
				time.Sleep(time.Millisecond)
			}
			kv.SetFaults(nil)
			remove("p/1")
			sees(map[string]string{})
			grace, ok := r.graceOf("p/1")
			Expect(ok).To(BeTrue())
			Expect(grace > 0).To(Equal(wantGrace))
			Expect(grace).To(BeNumerically("<=", 2*time.Second), "not longer than the time in which entries come back")
		},
		Entry("an outage", 6*time.Second, true),
	)
})
