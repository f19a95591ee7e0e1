package ownership_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

var ctx = context.Background()

// whole is the text of an item's whole answer.
func whole(item string) string {
	var lines []string
	for n := 1; n <= eventsOfItem; n++ {
		lines = append(lines, fmt.Sprintf("%s-%d", item, n))
	}
	return strings.Join(lines, "\n")
}

// listed returns the results of a job as a host shows them.
func listed(g Gomega, h *host, id string) []jobstate.Result {
	var all []jobstate.Result
	for {
		view, failure := h.Manager.Results(ctx, id, len(all), 0, true)
		g.Expect(failure).To(BeNil())
		if len(view.Results) == 0 {
			return all
		}
		g.Expect(view.Next).To(Equal(len(all) + len(view.Results)))
		all = append(all, view.Results...)
	}
}

func expectWhole(g Gomega, results []jobstate.Result, n int) {
	g.Expect(results).To(HaveLen(n))
	seen := map[string]bool{}
	for _, one := range results {
		g.Expect(one.Done).To(BeTrue())
		g.Expect(string(one.Text)).To(Equal(whole(one.ID)))
		g.Expect(seen[one.ID]).To(BeFalse())
		seen[one.ID] = true
	}
}

var _ = Describe("a manager", func() {
	It("runs a job, and every host shows the same results", func() {
		f := newFleet("A", "B")
		Expect(f.hosts["A"].Submit(ctx, submission("j", 4, 1))).To(BeNil())
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 4) })
		Expect(listed(Default, f.hosts["B"], "j")).To(Equal(listed(Default, f.hosts["A"], "j")))
	})

	It("accepts a job once, wherever it is handed in again", func() {
		f := newFleet("A", "B")
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		Expect(f.hosts["B"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["B"], "j"), 2) })
		Expect(f.servers.runsOf("j-0")).To(Equal(1))
	})

	It("goes on from the last event of a run that broke off", func() {
		f := newFleet("A")
		f.servers.breakAfter = 3
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 2) })
		Expect(f.servers.resumed).To(Equal([]int64{3, 3}))
	})

	It("lists as given up only what can't be done or has failed as often as allowed", func() {
		f := newFleet("A")
		f.servers.status["j-0"] = http.StatusUnprocessableEntity
		f.servers.status["j-1"] = http.StatusInternalServerError
		Expect(f.hosts["A"].Submit(ctx, submission("j", 3, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(listed(g, f.hosts["A"], "j")).To(HaveLen(3)) })
		for _, one := range listed(Default, f.hosts["A"], "j") {
			Expect(one.Done).To(Equal(one.ID == "j-2"), one.ID)
		}
		Expect(f.servers.runsOf("j-0")).To(Equal(1))
		Expect(f.servers.runsOf("j-1")).To(Equal(3))
	})

	DescribeTable("settles an acceptance whose answer was lost", func(fault platform.Fault, kept bool) {
		f := newFleet("A")
		var calls atomic.Int64
		f.kv.SetFaults(func(op string) platform.Fault {
			if op == "txn" && calls.Add(1) == 1 {
				return fault
			}
			return platform.NoFault
		})
		done := make(chan *result.Error, 1)
		go func() { done <- f.hosts["A"].Submit(ctx, submission("j", 1, 1)) }()
		var failure *result.Error
		f.eventually(func(g Gomega) { g.Expect(done).To(Receive(&failure)) })
		if !kept {
			Expect(failure.Ran()).To(Equal(result.RanNo))
			Expect(failure.RetryAfter()).To(BeNumerically(">", 0))
			_, ok, err := f.kv.Get(ctx, jobstate.RecordKey("j"))
			Expect(err).NotTo(HaveOccurred())
			Expect(ok).To(BeFalse())
			return
		}
		Expect(failure).To(BeNil())
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 1) })
		Expect(f.servers.runsOf("j-0")).To(Equal(1))
	},
		Entry("done, and the answer lost", platform.LoseReply, true),
		Entry("refused", platform.Refuse, false),
	)

	It("does not promise that a job never runs when it can't know", func() {
		f := newFleet("A")
		f.kv.SetFaults(func(op string) platform.Fault {
			if op == "txn" {
				return platform.LoseReply
			}
			return platform.NoFault
		})
		sub := submission("j", 1, 1)
		done := make(chan *result.Error, 1)
		go func() { done <- f.hosts["A"].Submit(ctx, sub) }()
		var failure *result.Error
		f.eventually(func(g Gomega) { g.Expect(done).To(Receive(&failure)) })
		// The stand-in did the first write; the repeats meet it and are told so,
		// unless every answer is lost.
		if failure != nil {
			Expect(failure.Ran()).To(Equal(result.RanMaybe))
		}
	})

	It("keeps the tokens that wait on a route below its bound, over all hosts", func() {
		f := newFleet("A", "B")
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j1", 6, 10))).To(BeNil())
		Expect(f.hosts["B"].Submit(ctx, submission("j2", 4, 10))).To(BeNil())
		failure := f.hosts["A"].Submit(ctx, submission("j3", 1, 10))
		Expect(failure.Code()).To(Equal(result.QueueFull))
		Expect(failure.Ran()).To(Equal(result.RanNo))
		close(f.servers.hold)
		f.eventually(func(g Gomega) {
			expectWhole(g, listed(g, f.hosts["A"], "j1"), 6)
			g.Expect(f.hosts["A"].Submit(ctx, submission("j3", 1, 10))).To(BeNil())
		})
	})

	It("does not turn away a job that it accepted before because the route's bound is reached", func() {
		f := newFleet("A", "B")
		f.servers.hold = make(chan struct{})
		defer close(f.servers.hold)
		Expect(f.hosts["A"].Submit(ctx, submission("j1", 10, 10))).To(BeNil())
		Expect(f.hosts["B"].Submit(ctx, submission("j1", 10, 10))).To(BeNil())
		Expect(f.hosts["B"].Submit(ctx, submission("j2", 1, 10)).Code()).To(Equal(result.QueueFull))
	})

	It("takes over the jobs of a host that is gone; what was listed stays", func() {
		f := newFleet("A", "B", "C")
		f.servers.status["j-0"] = http.StatusUnprocessableEntity
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 3, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(listed(g, f.hosts["A"], "j")).To(HaveLen(1)) })
		first := listed(Default, f.hosts["B"], "j")[0]
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].cut.Store(true)
		close(f.servers.hold)
		f.eventually(func(g Gomega) {
			e, _, err := f.kv.Get(ctx, jobstate.RecordKey("j"))
			g.Expect(err).NotTo(HaveOccurred())
			r, err := jobstate.DecodeRecord(e.Value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Owner).NotTo(Equal("A"))
			results := listed(g, f.hosts["C"], "j")
			g.Expect(results).To(HaveLen(3))
			g.Expect(results[0]).To(Equal(first))
		})
		// The former owner can't write any more and lets go of the job.
		f.hosts["A"].cut.Store(false)
		f.eventually(func(g Gomega) {
			_, failure := f.hosts["A"].Manager.Results(ctx, "j", 0, 0, false)
			g.Expect(failure).NotTo(BeNil())
			g.Expect(failure.Code()).To(Equal(result.LeaseLost))
		})
	})

	It("lets go of a job that another host has taken over, though nothing of it ends here", func() {
		f := newFleet("A", "B")
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].cut.Store(true)
		f.eventually(func(g Gomega) { g.Expect(f.hosts["B"].OwnedJobs()).To(ConsistOf("j")) })
		f.hosts["A"].dead.Store(false)
		f.hosts["A"].cut.Store(false)
		f.eventually(func(g Gomega) { g.Expect(f.hosts["A"].OwnedJobs()).To(BeEmpty()) })
		Expect(f.hosts["B"].OwnedJobs()).To(ConsistOf("j"))
		close(f.servers.hold)
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 2) })
	})

	It("looks a job up when another host says that it owns it", func() {
		f := newFleet("A")
		f.servers.hold = make(chan struct{})
		defer close(f.servers.hold)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "B", "B/1", r.Serial+1 })
		f.hosts["A"].LearnOwner("B", []string{"j"})
		Eventually(f.hosts["A"].OwnedJobs, patience).Should(BeEmpty())
	})

	It("takes its own jobs back after a restart", func() {
		f := newFleet("A")
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].cut.Store(true)
		again := f.add("A", "A/2")
		close(f.servers.hold)
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, again, "j"), 2) })
	})

	It("gives its jobs away when it stops", func() {
		f := newFleet("A", "B")
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		a := f.hosts["A"]
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			a.Stop(ctx)
		}()
		f.eventually(func(g Gomega) { g.Expect(stopped).To(BeClosed()) })
		close(f.servers.hold)
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["B"], "j"), 2) })
		// The host that stops still answers, and must not show the list as it was.
		expectWhole(Default, listed(Default, a, "j"), 2)
	})

	It("runs a job whose owner was never told that it owns it, in a fleet where few hosts scan", func() {
		names := []string{"A", "B", "C", "D", "E", "F", "G", "H", "I", "J", "K"}
		f := newFleet(names...)
		f.servers.hold = make(chan struct{})
		a := f.hosts["A"]
		for _, name := range names[1:] {
			Expect(a.Submit(ctx, submission("j"+name, 1, 1))).To(BeNil())
		}
		a.dead.Store(true)
		a.Kill()
		// The last write of the host that stopped landed after its end.
		for _, name := range names[1:] {
			f.rewrite("j"+name, func(r *jobstate.Record) { r.Owner, r.Serial = name, r.Serial+1 })
		}
		close(f.servers.hold)
		f.eventually(func(g Gomega) {
			for _, name := range names[1:] {
				expectWhole(g, listed(g, f.hosts["B"], "j"+name), 1)
			}
		})
	})

	It("takes its own jobs back once they can be read, also if it does not scan", func() {
		f := newFleet("A")
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].Kill()
		var reads atomic.Int64
		f.kv.SetFaults(func(op string) platform.Fault {
			// The record is read, its items are not.
			if op == "range" && reads.Add(1) == 2 {
				return platform.Refuse
			}
			return platform.NoFault
		})
		f.offDuty = true
		again := f.add("A", "A/2")
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, again, "j"), 1) })
	})

	It("looks a claimed job up a bounded number of times, however often it is claimed", func() {
		f := newFleet("A")
		f.servers.hold = make(chan struct{})
		defer close(f.servers.hold)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		var reads atomic.Int64
		f.kv.SetFaults(func(op string) platform.Fault {
			if op == "get" {
				reads.Add(1)
			}
			return platform.NoFault
		})
		for range 100 {
			f.hosts["A"].LearnOwner("B", []string{"j"})
			f.hosts["A"].LearnEnded([]string{"j"})
			f.turn()
			time.Sleep(100 * time.Microsecond)
		}
		Expect(reads.Load()).To(BeNumerically(">=", 1))
		Expect(reads.Load()).To(BeNumerically("<=", 6), "one second of claims")
	})

	It("takes a job over as soon as its owner is known to be gone, without waiting for a scan", func() {
		f := newFleet("A", "B")
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		// Two scans have passed, the next one is nearly a period away.
		f.hosts["A"].dead.Store(true)
		f.hosts["A"].Kill()
		f.hosts["B"].TriggerScan()
		Eventually(f.hosts["B"].OwnedJobs, patience, time.Millisecond).Should(ConsistOf("j"))
		close(f.servers.hold)
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["B"], "j"), 1) })
	})

	It("ends a job through any host, also while the owner can't be reached", func() {
		f := newFleet("A", "B")
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 9, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(f.servers.runsOf("j-0")).To(Equal(1)) })
		a := f.hosts["A"]
		delete(f.hosts, "A")
		Expect(f.hosts["B"].Manager.End(ctx, "j", true)).To(BeNil())
		f.hosts["A"] = a
		a.LearnEnded([]string{"j"})
		f.eventually(func(g Gomega) {
			_, failure := a.Manager.Body(ctx, "j", "j-0", true)
			g.Expect(failure).NotTo(BeNil())
		})
		close(f.servers.hold)
		ran := f.servers.runsOf("j-8")
		for range 100 {
			f.turn()
		}
		Expect(f.servers.runsOf("j-8")).To(Equal(ran))
		Expect(f.hosts["B"].Manager.End(ctx, "j", true)).To(BeNil())
		Expect(f.hosts["B"].Manager.End(ctx, "nothing", true).Code()).To(Equal(result.NotFound))
	})

	It("keeps running and keeps results while the store is away, and lists them after", func() {
		f := newFleet("A")
		Expect(f.hosts["A"].Submit(ctx, submission("j", 3, 1))).To(BeNil())
		f.kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		f.eventually(func(g Gomega) { g.Expect(f.servers.runsOf("j-2")).To(Equal(1)) })
		failure := f.hosts["A"].Submit(ctx, submission("k", 1, 1))
		Expect(failure.Ran()).To(Equal(result.RanNo))
		Expect(listed(Default, f.hosts["A"], "j")).To(BeEmpty())
		f.kv.SetFaults(nil)
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 3) })
		Expect(f.servers.runsOf("j-2")).To(Equal(1))
	})

	It("asks a store that is away for few writes, and lists soon after its return", func() {
		f := newFleet("A")
		Expect(f.hosts["A"].Submit(ctx, submission("j", 3, 1))).To(BeNil())
		f.kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		f.eventually(func(g Gomega) { g.Expect(f.servers.runsOf("j-2")).To(Equal(1)) })
		before := f.kv.Calls()["txn"]
		for range 1000 {
			f.turn()
			time.Sleep(100 * time.Microsecond)
		}
		Expect(f.kv.Calls()["txn"]-before).To(And(BeNumerically(">", 3), BeNumerically("<", 20)), "ten seconds")
		f.kv.SetFaults(nil)
		back := f.clock.Now()
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 3) })
		Expect(f.clock.Now().Sub(back)).To(BeNumerically("<", 2*time.Second), "manual time")
	})

	It("lists nothing twice when the answer to a write of results is lost", func() {
		f := newFleet("A")
		var n atomic.Int64
		f.kv.SetFaults(func(op string) platform.Fault {
			if op == "txn" && n.Add(1)%3 == 2 {
				return platform.LoseReply
			}
			return platform.NoFault
		})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 5, 1))).To(BeNil())
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 5) })
		entries, _, err := store.RangeAll(ctx, f.kv, jobstate.ResultPrefix("j"), 0)
		Expect(err).NotTo(HaveOccurred())
		total := 0
		for _, e := range entries {
			list, err := jobstate.DecodeResults(e.Value)
			Expect(err).NotTo(HaveOccurred())
			total += len(list)
		}
		Expect(total).To(Equal(5))
	})

	It("does not take a write that lands late for the one that it tried after it", func() {
		f := newFleet("A")
		a := f.hosts["A"]
		f.servers.status["j-0"] = http.StatusUnprocessableEntity
		f.servers.hold = make(chan struct{})
		Expect(a.Submit(ctx, submission("j", 3, 1))).To(BeNil())
		a.late.set(true)
		// The first write holds one result and gets no answer.
		f.eventually(func(g Gomega) { g.Expect(a.late.count()).To(BeNumerically(">", 0)) })
		close(f.servers.hold)
		var first store.Txn
		a.late.mu.Lock()
		first = a.late.kept[0]
		a.late.mu.Unlock()
		f.eventually(func(g Gomega) {
			a.late.mu.Lock()
			defer a.late.mu.Unlock()
			last := a.late.kept[len(a.late.kept)-1]
			g.Expect(len(last.Puts[1].Value)).To(BeNumerically(">", len(first.Puts[1].Value)), "a later write holds more")
		})
		outcome, err := f.kv.Commit(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Succeeded).To(BeTrue())
		a.late.set(false)
		f.eventually(func(g Gomega) { g.Expect(listed(g, a, "j")).To(HaveLen(3)) })
		entries, _, err := store.RangeAll(ctx, f.kv, jobstate.ResultPrefix("j"), 0)
		Expect(err).NotTo(HaveOccurred())
		var durable []jobstate.Result
		for _, e := range entries {
			list, err := jobstate.DecodeResults(e.Value)
			Expect(err).NotTo(HaveOccurred())
			durable = append(durable, list...)
		}
		Expect(durable).To(Equal(listed(Default, a, "j")))
	})

	It("gives an item's body until it is listed, at any host", func() {
		f := newFleet("A", "B")
		f.servers.hold = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		body, failure := f.hosts["B"].Manager.Body(ctx, "j", "j-0", true)
		Expect(failure).To(BeNil())
		Expect(string(body)).To(Equal("body"))
		close(f.servers.hold)
		f.eventually(func(g Gomega) { g.Expect(listed(g, f.hosts["A"], "j")).To(HaveLen(1)) })
		_, failure = f.hosts["B"].Manager.Body(ctx, "j", "j-0", true)
		Expect(failure.Code()).To(Equal(result.NotFound))
		_, failure = f.hosts["B"].Manager.Results(ctx, "nothing", 0, 0, true)
		Expect(failure.Code()).To(Equal(result.NotFound))
	})

	It("runs an item that crashes servers three times, then rarely, and six times at most; the others go on", func() {
		f := newFleet("A")
		f.servers.crashing = "j-1"
		Expect(f.hosts["A"].Submit(ctx, submission("j", 3, 1))).To(BeNil())
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 2) })
		f.eventually(func(g Gomega) { g.Expect(f.servers.runsOf("j-1")).To(Equal(3)) })
		for range 500 {
			f.turn()
		}
		Consistently(func() int { return f.servers.runsOf("j-1") }, "50ms").Should(Equal(3))
		f.eventually(func(g Gomega) {
			f.clock.Advance(time.Second)
			g.Expect(f.servers.runsOf("j-1")).To(Equal(6))
		})
		for range 200 {
			f.clock.Advance(time.Second)
			time.Sleep(100 * time.Microsecond)
		}
		Consistently(func() int { return f.servers.runsOf("j-1") }, "50ms").Should(Equal(6))
	})

	It("gives up an item whose answer is larger than the store takes, and lists the others", func() {
		f := newFleet("A")
		f.servers.large = "j-1"
		Expect(f.hosts["A"].Submit(ctx, submission("j", 3, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(listed(g, f.hosts["A"], "j")).To(HaveLen(3)) })
		for _, one := range listed(Default, f.hosts["A"], "j") {
			Expect(one.Done).To(Equal(one.ID != "j-1"), one.ID)
		}
	})

	It("removes all of a job long after its end, in the store and at its owner", func() {
		f := newFleet("A", "B")
		large := submission("j", 24, 1)
		for i := range large.Items {
			// Each item takes a part, so that one transaction can't remove all.
			large.Items[i].Body = make([]byte, 500<<10)
		}
		Expect(f.hosts["A"].Submit(ctx, large)).To(BeNil())
		f.eventually(func(g Gomega) { expectWhole(g, listed(g, f.hosts["A"], "j"), 24) })
		f.eventually(func(g Gomega) {
			f.clock.Advance(time.Second)
			_, ok, err := f.kv.Get(ctx, jobstate.RecordKey("j"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ok).To(BeFalse())
			for _, prefix := range []string{"jobs/result/", "jobs/body/", "jobs/partial/"} {
				entries, _, err := store.RangeAll(ctx, f.kv, prefix, 0)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(entries).To(BeEmpty())
			}
			_, failure := f.hosts["A"].Manager.Results(ctx, "j", 0, 0, false)
			g.Expect(failure).NotTo(BeNil())
		})
	})
})
