package ownership_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

var _ = Describe("the readers of an owner that can't reach the store", func() {
	It("get a listed result through another host, after a position could not be denied", func() {
		f := newFleet("A", "B")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.hosts["B"].LearnOwner("A", []string{"j"})
		f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(Equal(2)) })
		for range eventsPerItem {
			f.servers.block <- struct{}{}
		}
		// Whichever item has got more events, let one end.
		for len(f.listed("j")) == 0 {
			select {
			case f.servers.block <- struct{}{}:
			default:
			}
			f.tick()
			time.Sleep(time.Millisecond)
			if f.servers.activeRuns() < 2 {
				f.advance(time.Second)
			}
		}
		Expect(f.listed("j")).To(HaveLen(1), "only one item has ended")
		f.advance(2 * time.Second)
		// Nobody reaches the store.
		f.hosts["A"].cutOff.Store(true)
		f.hosts["B"].cutOff.Store(true)
		page, ok := f.hosts["B"].read("j", 0)
		Expect(ok && len(page.Results) == 1).To(BeTrue(), "B shows the listed result that A knows, without the store")
		_, ok = f.hosts["B"].read("j", 1)
		Expect(ok).To(BeFalse(), "position 1 can't be denied")
		page, ok = f.hosts["B"].read("j", 0)
		Expect(ok && len(page.Results) == 1).To(BeTrue(), "B still shows the listed result that A knows")
		close(f.servers.block)
	})

	// A write that has no reply takes the proof of the list away, but not the one by
	// which items may be sent. A reader's read of the record that fails then holds them.
	DescribeTable("do not keep its items from being sent while the record allows it", func(reads bool) {
		f := newFleet("A")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(hostA.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		// A write that lists a result, without a reply: one item fails for good.
		hostA.delayedWrites.set(true)
		f.servers.mu.Lock()
		f.servers.status["j-0"] = 422
		f.servers.block = make(chan struct{})
		f.servers.mu.Unlock()
		defer close(f.servers.block)
		hostA.directory.Put(backendServer)
		Eventually(func() int {
			f.tick()
			return hostA.delayedWrites.count()
		}, waitTimeout, time.Millisecond).Should(BeNumerically(">=", 4))
		hostA.cutOff.Store(true)
		runs := f.servers.runsOf("j-1")
		// The run of the other item breaks off and is to be started again.
		hostA.setServersCut(true)
		f.advance(50 * time.Millisecond)
		if reads {
			_, ok := hostA.read("j", 0)
			Expect(ok).To(BeFalse())
		}
		hostA.setServersCut(false)
		f.advance(200 * time.Millisecond)
		Expect(f.servers.runsOf("j-1")).To(Equal(runs + 1))
	},
		Entry("without a reader", false),
		Entry("with a reader", true),
	)

	// The allowance to send items while the store is away outlasts a read that shows
	// that the job was ended, if that read was a reader's.
	It("learn that the job has ended, and no item is sent after that", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(hostA.Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.advance(endGrace)
		hostA.cutOff.Store(true)
		for range 12 {
			_, _ = hostA.read("j", 0)
			f.advance(300 * time.Millisecond)
		}
		_, _ = hostA.read("j", 0)
		// Readers are refused without a check for as long as the last one allows items.
		f.advance(time.Second)
		// The store is back for reads; refresh waits for a write in progress or is left
		// out, as it was made just before.
		f.rewrite("j", func(r *jobstate.Record) { r.Ended, r.Writer, r.Serial = true, "B/1", r.Serial+1 })
		var gets atomic.Int32
		hostA.cutOff.Store(false)
		hostA.beforeCall.set(func(op string) {
			if op == "get" {
				hostA.cutOff.Store(gets.Add(1) > 1)
			}
		})
		_, _ = hostA.read("j", 0)
		f.advance(310 * time.Millisecond)
		hostA.directory.Put(backendServer)
		f.advance(300 * time.Millisecond)
		Expect(f.servers.totalRuns()).To(BeZero())
	})

	// Guards against a call to a store that is away for each read of each job.
	It("cost one read of the store a second, however many jobs they read", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		hostA := f.hosts["A"]
		ids := []string{"j1", "j2", "j3", "j4", "j5", "j6"}
		for _, id := range ids {
			Expect(hostA.Submit(ctx, submission(id, 1, 1))).To(BeNil())
		}
		f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(Equal(len(ids))) })
		f.advance(endGrace)
		var gets atomic.Int32
		hostA.beforeCall.set(func(op string) {
			if op == "get" {
				gets.Add(1)
			}
		})
		hostA.cutOff.Store(true)
		const seconds = 10
		for range seconds * 4 {
			for _, id := range ids {
				_, ok := hostA.read(id, 0)
				Expect(ok).To(BeFalse())
			}
			f.advance(250 * time.Millisecond)
		}
		// Ten reads in the first three seconds, while one that fails may be bad luck.
		Expect(gets.Load()).To(BeNumerically("<=", 10+seconds))
		hostA.cutOff.Store(false)
		f.advance(time.Second)
		_, ok := hostA.read("j1", 0)
		Expect(ok).To(BeTrue(), "the store is back")
	})

	It("do not wait for each other's reads of the record", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		hostA := f.hosts["A"]
		Expect(hostA.Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(Equal(1)) })
		f.advance(endGrace)
		// The store gives no answer, and each read ends with its time limit.
		var gets atomic.Int32
		hostA.beforeCall.set(func(op string) {
			if op == "get" {
				gets.Add(1)
				time.Sleep(300 * time.Millisecond)
			}
		})
		hostA.cutOff.Store(true)
		const readers = 10
		var wg sync.WaitGroup
		var slowest atomic.Int64
		for range readers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				began := time.Now()
				_, _ = hostA.read("j", 0)
				for took := int64(time.Since(began)); ; {
					old := slowest.Load()
					if took <= old || slowest.CompareAndSwap(old, took) {
						return
					}
				}
			}()
		}
		wg.Wait()
		Expect(gets.Load()).To(BeNumerically("<=", 3))
		Expect(time.Duration(slowest.Load())).To(BeNumerically("<", time.Second))
	})
})

var _ = Describe("the items of a job whose last write has no reply yet", func() {
	// Guards against a read of the record for each item.
	It("share one read of the record", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		f.servers.status["j-0"] = 422
		held := hostA.afterCall.hold("commit", 2)
		Expect(hostA.Submit(ctx, submission("j", 8, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		// The runs break off, and none starts before the proof of the record has ended.
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		hostA.setServersCut(true)
		f.advance(endGrace)
		var gets atomic.Int32
		hostA.beforeCall.set(func(op string) {
			if op == "get" {
				gets.Add(1)
				// All items come to wait for the first read.
				time.Sleep(50 * time.Millisecond)
			}
		})
		runs := f.servers.totalRuns()
		hostA.setServersCut(false)
		hostA.directory.Put(backendServer)
		f.advance(500 * time.Millisecond)
		Expect(f.servers.totalRuns() - runs).To(Equal(7))
		Expect(gets.Load()).To(Equal(int32(1)))
		held.release()
	})
})

var _ = Describe("the readers of an owner that reaches the store", func() {
	// Guards against a read of one record that keeps the readers of all other jobs from
	// an answer.
	It("are answered while the record of another job is read", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		hostA := f.hosts["A"]
		for _, id := range []string{"j1", "j2"} {
			Expect(hostA.Submit(ctx, submission(id, 1, 1))).To(BeNil())
		}
		f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(Equal(2)) })
		f.advance(endGrace)
		held := hostA.beforeCall.hold("get", 1)
		first := make(chan struct{})
		go func() {
			defer close(first)
			_, _ = hostA.read("j1", 0)
		}()
		Eventually(held.reached, waitTimeout).Should(BeClosed())
		page, ok := hostA.read("j2", 0)
		Expect(ok && page.Confirmed).To(BeTrue())
		held.release()
		Eventually(first, waitTimeout).Should(BeClosed())
	})
})

// listed returns the IDs of the results in a job's record and parts in the store.
func (f *fleet) listed(id string) []jobstate.Result {
	GinkgoHelper()
	e, _, err := f.kv.Get(ctx, jobstate.RecordKey(id))
	Expect(err).NotTo(HaveOccurred())
	r, err := jobstate.DecodeRecord(e.Value)
	Expect(err).NotTo(HaveOccurred())
	return make([]jobstate.Result, r.Listed)
}
