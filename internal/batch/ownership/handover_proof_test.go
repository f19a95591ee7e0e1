package ownership_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

var _ = Describe("the proof of an owner", func() {
	// The mark that a record was released says that the host before the heir denies
	// nothing any more. It says nothing of the owner before that one.
	It("has ended at the owner before the last one when an heir lists a result", func() {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		f.hosts["A"].dead.Store(true)
		// No item runs at A, so that it has nothing to write.
		f.hosts["A"].directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		proved := f.clock.Now()
		f.hosts["A"].cutOff.Store(true)
		for f.ownerOf("j") == "A" {
			f.hosts["B"].TriggerScan()
			f.hosts["C"].TriggerScan()
			f.advance(20 * time.Millisecond)
		}
		second := f.ownerOf("j")
		third := map[string]string{"B": "C", "C": "B"}[second]
		f.eventually(func(g Gomega) { g.Expect(f.hosts[second].OwnedJobs()).To(ConsistOf("j")) })
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.hosts[second].Stop(ctx)
		}()
		f.eventually(func(g Gomega) { g.Expect(f.hosts[third].OwnedJobs()).To(ConsistOf("j")) })
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(listResults(g, f.hosts[third], "j")).To(HaveLen(1)) })
		page, ok := f.hosts["A"].read("j", 0)
		GinkgoWriter.Printf("%v after the proof of A began: A answers %v with %d results, confirmed %v\n", f.clock.Now().Sub(proved), ok, len(page.Results), page.Confirmed)
		Expect(ok && len(page.Results) == 0).To(BeFalse(), "A denies a result that a reader has seen at %s", third)
		Eventually(stopped, waitTimeout).Should(BeClosed())
	})

	// A evacuates two jobs, and the reply of the store is lost. The second attempt
	// finds that the first one took effect: it applies the change to one job and reads
	// the record of the next, which takes a while. Only then are the jobs removed.
	evacuating := func(then func(f *fleet, goOn chan struct{})) {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		hostA := f.hosts["A"]
		Expect(hostA.Submit(ctx, submission("j1", 1, 1))).To(BeNil())
		Expect(hostA.Submit(ctx, submission("j2", 1, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(Equal(2)) })
		var lost atomic.Bool
		f.kv.SetFaults(func(op string) platform.Fault {
			if op == "txn" && lost.CompareAndSwap(false, true) {
				return platform.LoseReply
			}
			return platform.NoFault
		})
		entered, goOn := make(chan struct{}), make(chan struct{})
		var gets atomic.Int32
		hostA.beforeCall.set(func(op string) {
			if op == "get" && lost.Load() && gets.Add(1) == 2 {
				close(entered)
				<-goOn
			}
		})
		hostA.setServersCut(true)
		Eventually(func() bool {
			f.tick()
			time.Sleep(time.Millisecond)
			select {
			case <-entered:
				return true
			default:
				return false
			}
		}, waitTimeout, time.Millisecond).Should(BeTrue())
		then(f, goOn)
	}
	// seenElsewhere waits until the heirs have listed both results and B has read them.
	seenElsewhere := func(f *fleet) {
		for _, id := range []string{"j1", "j2"} {
			Expect(f.ownerOf(id)).NotTo(Equal("A"))
		}
		close(f.servers.block)
		Eventually(func() int {
			for _, h := range []string{"B", "C"} {
				f.hosts[h].TriggerScan()
			}
			f.tick()
			time.Sleep(time.Millisecond)
			listed := 0
			for _, id := range []string{"j1", "j2"} {
				page, ok := f.hosts["B"].read(id, 0)
				if ok {
					listed += len(page.Results)
				}
			}
			return listed
		}, waitTimeout, time.Millisecond).Should(Equal(2))
	}
	deniedAt := func(f *fleet) (denied []string) {
		for _, id := range []string{"j1", "j2"} {
			page, ok := f.hosts["A"].read(id, 0)
			if ok && len(page.Results) == 0 {
				denied = append(denied, id)
			}
		}
		return denied
	}

	It("is none of a job that it has handed over, whose mark of release is in the store", func() {
		evacuating(func(f *fleet, goOn chan struct{}) {
			defer close(goOn)
			seenElsewhere(f)
			Expect(deniedAt(f)).To(BeEmpty())
		})
	})

	It("is none of a job that it has handed over, after the read of another one's record failed", func() {
		evacuating(func(f *fleet, goOn chan struct{}) {
			f.hosts["A"].cutOff.Store(true)
			close(goOn)
			time.Sleep(20 * time.Millisecond)
			seenElsewhere(f)
			Expect(deniedAt(f)).To(BeEmpty())
		})
	})
})
