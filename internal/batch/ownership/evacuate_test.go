package ownership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

// ownerOf returns the owner of a job by its record in the store.
func (f *fleet) ownerOf(id string) string {
	GinkgoHelper()
	e, _, err := f.kv.Get(ctx, jobstate.RecordKey(id))
	Expect(err).NotTo(HaveOccurred())
	r, err := jobstate.DecodeRecord(e.Value)
	Expect(err).NotTo(HaveOccurred())
	return r.Owner
}

// advance lets the hosts work for a period of the manual clock.
func (f *fleet) advance(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		f.tick()
		time.Sleep(time.Millisecond)
	}
}

var _ = Describe("a manager whose host is cut off from all servers", func() {
	It("hands its jobs over with the output so far, and they end while the cut lasts", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(f.servers.runsOf("j-0")).To(Equal(1)) })
		f.servers.block <- struct{}{}
		f.servers.block <- struct{}{}
		f.advance(100 * time.Millisecond)
		f.hosts["A"].setServersCut(true)
		f.advance(100 * time.Millisecond)
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 1) })
		Expect(f.ownerOf("j")).To(Equal("B"))
		Expect(f.servers.resumed).To(Equal([]int64{2}))
	})

	It("hands over a job that it accepts meanwhile", func() {
		f := newFleet("A", "B", "C")
		f.hosts["A"].setServersCut(true)
		f.hosts["B"].setServersCut(true)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
		Expect(f.ownerOf("j")).To(Equal("C"))
	})

	It("keeps its jobs without a write while all others are cut off too, and ends them afterwards", func() {
		f := newFleet("A", "B")
		for _, h := range f.hosts {
			h.setServersCut(true)
		}
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.advance(6 * time.Second)
		Expect(f.ownerOf("j")).To(Equal("A"))
		Expect(f.hosts["A"].commits.Load()).To(BeEquivalentTo(1))
		Expect(f.hosts["B"].commits.Load()).To(BeZero())
		f.hosts["A"].setServersCut(false)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["B"], "j"), 2) })
	})

	It("hands a job over once, however long the cut lasts, and does not take it back", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.hosts["A"].setServersCut(true)
		f.advance(6 * time.Second)
		f.hosts["A"].setServersCut(false)
		f.advance(3 * time.Second)
		Expect(f.ownerOf("j")).To(Equal("B"))
		Expect(f.hosts["A"].commits.Load()).To(BeEquivalentTo(2), "the acceptance and the hand-over")
		Expect(f.hosts["B"].commits.Load()).To(BeEquivalentTo(1), "the take-over")
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
	})

	It("keeps its jobs through cuts that are short", func() {
		f := newFleet("A", "B")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		for range 5 {
			f.hosts["A"].setServersCut(true)
			f.advance(500 * time.Millisecond)
			f.hosts["A"].setServersCut(false)
			f.advance(200 * time.Millisecond)
		}
		Expect(f.ownerOf("j")).To(Equal("A"))
		Expect(f.hosts["A"].commits.Load()).To(BeEquivalentTo(1))
		close(f.servers.block)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "j"), 2) })
	})

	It("loses no result and no job when the store is unavailable during the cut", func() {
		f := newFleet("A", "B")
		Expect(f.hosts["A"].Submit(ctx, submission("j", 20, 1))).To(BeNil())
		f.hosts["A"].cutOff.Store(true)
		f.advance(30 * time.Millisecond)
		f.hosts["A"].setServersCut(true)
		f.advance(4 * time.Second)
		f.hosts["A"].cutOff.Store(false)
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["B"], "j"), 20) })
	})

	It("hands over more jobs than fit into one write", func() {
		f := newFleet("A", "B")
		f.hosts["A"].setServersCut(true)
		for _, id := range []string{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8", "j9", "ja", "jb", "jc", "jd", "je", "jf", "jg"} {
			Expect(f.hosts["A"].Submit(ctx, submission(id, 1, 1))).To(BeNil())
		}
		f.advance(3 * time.Second)
		Expect(f.hosts["A"].OwnedJobs()).To(BeEmpty())
		Expect(f.hosts["A"].commits.Load()).To(BeNumerically("<=", 16+2))
		f.eventually(func(g Gomega) { expectComplete(g, listResults(g, f.hosts["A"], "jg"), 1) })
	})

	It("takes over no job of a host that is gone while others can", func() {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		ids := []string{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8"}
		for _, id := range ids {
			Expect(f.hosts["A"].Submit(ctx, submission(id, 1, 1))).To(BeNil())
		}
		f.hosts["B"].setServersCut(true)
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].Kill()
		f.advance(3 * time.Second)
		Expect(f.hosts["B"].commits.Load()).To(BeZero())
		Expect(f.hosts["C"].OwnedJobs()).To(ConsistOf(ids))
	})

	It("is not chosen for the jobs of a host that stops", func() {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		ids := []string{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8"}
		for _, id := range ids {
			Expect(f.hosts["A"].Submit(ctx, submission(id, 1, 1))).To(BeNil())
		}
		f.hosts["B"].setServersCut(true)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.hosts["A"].Stop(ctx)
		}()
		f.eventually(func(g Gomega) { g.Expect(stopped).To(BeClosed()) })
		Expect(f.hosts["C"].OwnedJobs()).To(ConsistOf(ids))
	})

	It("keeps its jobs after an outage of all servers, though another host learns of the end before", func() {
		f := newFleet("A", "B", "C")
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		for _, name := range []string{"A", "C"} {
			for i := range 20 {
				Expect(f.hosts[name].Submit(ctx, submission(fmt.Sprint("j", name, i), 2, 1))).To(BeNil())
			}
		}
		for _, h := range f.hosts {
			h.setServersCut(true)
		}
		f.advance(3 * time.Second)
		f.hosts["B"].setServersCut(false)
		f.advance(200 * time.Millisecond)
		f.hosts["A"].setServersCut(false)
		f.hosts["C"].setServersCut(false)
		f.advance(200 * time.Millisecond)
		owners := map[string]int{}
		for _, name := range []string{"A", "C"} {
			for i := range 20 {
				owners[name+"->"+f.ownerOf(fmt.Sprint("j", name, i))]++
			}
		}
		Expect(owners).To(Equal(map[string]int{"A->A": 20, "C->C": 20}))
	})
})
