package ownership_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// told is the answer to one read.
type told struct {
	page    ownership.ResultPage
	failure *result.Error
}

// ask reads job j at a host in the background.
func (h *host) ask(after int, wait time.Duration) <-chan told {
	answer := make(chan told, 1)
	go func() {
		defer GinkgoRecover()
		page, failure := h.tellResults(ctx, "j", after, wait, true)
		answer <- told{page, failure}
	}()
	return answer
}

// await returns an answer once it is there.
func (f *fleet) await(answer <-chan told) (a told) {
	GinkgoHelper()
	f.eventually(func(g Gomega) { g.Expect(answer).To(Receive(&a)) })
	return a
}

// expectNotDenied expects an answer that does not deny the result at a position that
// was read.
func expectNotDenied(a told) {
	GinkgoHelper()
	Expect(a.failure == nil && len(a.page.Results) == 0).To(BeFalse(), "the answer has no result at a position that was read")
}

var _ = Describe("an answer that denies a result and is delayed", func() {
	// newRead returns a fleet in which A owns job j of two items, which run until
	// servers.block is closed.
	newRead := func() (*fleet, *readers) {
		f := newFleet("A", "C", "D")
		f.servers.block = make(chan struct{})
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		return f, &readers{fleet: f, job: "j"}
	}
	// completeDuring completes the job while a call is held, releases the call a delay
	// after it was held at the earliest, and returns what it then answers.
	completeDuring := func(f *fleet, r *readers, held *gate, answer <-chan told, delay time.Duration) told {
		GinkgoHelper()
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		began := f.clock.Now()
		close(f.servers.block)
		r.readUntil(2, "D")
		if rest := delay - f.clock.Now().Sub(began); rest > 0 {
			f.advance(rest)
		}
		held.release()
		return f.await(answer)
	}

	// Guards against the page of another host that was true when it was sent.
	DescribeTable("does not contradict what was read while the owner's page was on its way,", func(delay, wait time.Duration) {
		f, r := newRead()
		held := f.hosts["C"].afterPeerCall.hold("results", 1)
		a := completeDuring(f, r, held, f.hosts["C"].ask(0, wait), delay)
		expectNotDenied(a)
		Expect(a.failure).To(BeNil())
	},
		Entry("for 0.6 s", 600*time.Millisecond, time.Duration(0)),
		Entry("for 1.5 s", 1500*time.Millisecond, time.Duration(0)),
		Entry("for 5 s", 5*time.Second, time.Duration(0)),
		Entry("for 0.6 s, after a wait", 600*time.Millisecond, time.Second),
	)

	// Guards against a comparison that is not the last step before the first byte.
	It("does not contradict what was read while its line was written", func() {
		f, r := newRead()
		reached, opened := make(chan struct{}), make(chan struct{})
		var once sync.Once
		hold := func(line string) {
			if strings.Contains(line, `"answer told"`) && strings.Contains(line, `"caller"=true`) {
				once.Do(func() {
					close(reached)
					<-opened
				})
			}
		}
		f.beforeLine.Store(&hold)
		answer := f.hosts["C"].ask(0, 0)
		f.eventually(func(g Gomega) { g.Expect(reached).To(BeClosed()) })
		none := func(string) {}
		f.beforeLine.Store(&none)
		close(f.servers.block)
		r.readUntil(2, "D")
		f.advance(time.Second)
		close(opened)
		a := f.await(answer)
		expectNotDenied(a)
		Expect(a.failure).To(BeNil())
	})

	// Guards against the page of an owner whose uptime jumped between the question and
	// the decision.
	It("does not contradict what was read if the owner says that it knew later than its page arrived", func() {
		f, r := newRead()
		f.hosts["A"].knownAfterMS.Store(time.Minute.Milliseconds())
		held := f.hosts["C"].afterPeerCall.hold("results", 1)
		a := completeDuring(f, r, held, f.hosts["C"].ask(0, 0), time.Second)
		expectNotDenied(a)
		Expect(a.failure).To(BeNil())
	})

	// Guards against a check that counts however long ago it began.
	It("does not contradict what was read while the owner stood still with the store's reply", func() {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		f.advance(endGrace)
		held := hostA.afterCall.hold("get", 1)
		answer := hostA.ask(1, 0)
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.leave("A")
		hostA.beforeCall.set(func(string) { <-held.opened })
		f.takenFrom("A")
		close(f.servers.block)
		r.readUntil(2, "B", "C")
		held.release()
		expectNotDenied(f.await(answer))
	})

	// Guards against the outcome of a check that another reader began, and that is old by
	// the time both have it.
	It("does not contradict what was read while the owner stood still with the store's reply, for a reader that joined the check", func() {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		f.advance(endGrace)
		held := hostA.afterCall.hold("get", 1)
		first := hostA.ask(1, 0)
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		joined := hostA.ask(1, 0)
		f.leave("A")
		hostA.beforeCall.set(func(string) { <-held.opened })
		f.takenFrom("A")
		close(f.servers.block)
		r.readUntil(2, "B", "C")
		Expect(joined).NotTo(Receive())
		held.release()
		expectNotDenied(f.await(first))
		expectNotDenied(f.await(joined))
	})

	// Guards against a record that is old by the time its parts are read.
	It("does not contradict what was read while a host stood still with the record in hand", func() {
		f, r := newRead()
		hostC := f.hosts["C"]
		f.hosts["A"].earlierBuild.Store(true)
		hostC.LearnOwner("A", []string{"j"})
		a := completeDuring(f, r, hostC.afterCall.hold("get", 1), hostC.ask(0, 0), time.Second)
		expectNotDenied(a)
		Expect(a.failure).To(BeNil())
	})

	// Guards against a pause after the last decision.
	DescribeTable("does not contradict what was read while a host stood still before the first byte,", func(name string) {
		f, r := newRead()
		h := f.hosts[name]
		a := completeDuring(f, r, h.afterEncoding.hold("results", 1), f.hosts["C"].ask(0, 0), time.Second)
		expectNotDenied(a)
		Expect(a.failure).To(BeNil())
	},
		Entry("the one that was asked", "C"),
		Entry("the owner", "A"),
	)

	It("is told if it is recent", func() {
		f, _ := newRead()
		defer close(f.servers.block)
		hostC := f.hosts["C"]
		held := hostC.afterPeerCall.hold("results", 1)
		answer := hostC.ask(0, 0)
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.clock.Advance(endGrace/6 - 200*time.Millisecond)
		held.release()
		var a told
		Eventually(answer, waitTimeout).Should(Receive(&a))
		Expect(a.failure).To(BeNil())
		Expect(hostC.peerCalls.Load()).To(Equal(int64(1)))
	})

	It("is told after a long wait at the owner without a second question", func() {
		f, _ := newRead()
		defer close(f.servers.block)
		hostC := f.hosts["C"]
		a := f.await(hostC.ask(0, time.Second))
		Expect(a.failure).To(BeNil())
		Expect(hostC.peerCalls.Load()).To(Equal(int64(1)))
	})

	// Guards against the page of a job that was removed meanwhile, and another one accepted
	// under its ID.
	DescribeTable("does not contradict what was read of a job that was accepted anew under the ID of an ended one,", func(name string) {
		f, _ := newHalfListed("A", "B", "C", "D")
		f.noScanners.Store(true)
		Expect(f.hosts["A"].Manager.End(ctx, "j", true)).To(BeNil())
		close(f.servers.block)
		// C has the ended job in its cache of results.
		f.leave("A")
		Expect(f.await(f.hosts["C"].ask(1, 0)).failure).To(BeNil())
		f.hosts["A"].dead.Store(false)
		f.clock.Advance(149 * time.Second)
		h := f.hosts[name]
		held := h.afterEncoding.hold("results", 1)
		answer := h.ask(1, 0)
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.clock.Advance(time.Second)
		f.remove("j")
		Expect(f.handIn("B", "j")).To(BeNil())
		r := &readers{fleet: f, job: "j"}
		f.hosts["D"].LearnOwner("B", []string{"j"})
		r.readUntil(2, "D")
		f.advance(time.Second)
		held.release()
		expectNotDenied(f.await(answer))
	},
		Entry("at its owner", "A"),
		Entry("at a host that has it in its cache", "C"),
	)

	// Guards against an ended job that is still in memory after its removal.
	It("does not contradict what was read of a job that was accepted anew under the ID of an ended one, whose host can't read the record", func() {
		f, _ := newHalfListed("A", "B", "D")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		f.clock.Advance(140 * time.Second)
		Expect(hostA.Manager.End(ctx, "j", true)).To(BeNil())
		close(f.servers.block)
		hostA.cutOff.Store(true)
		f.clock.Advance(15 * time.Second)
		f.remove("j")
		// A keeps the job in memory for 30 s after its end.
		record := jobstate.Record{ID: "j", Route: "r", Host: "a.example", Owner: "B", Serial: 1, Writer: "B/1", Total: 2, Listed: 2, ResultParts: 1, Accepted: f.clock.Now()}
		value, err := record.Encode()
		Expect(err).NotTo(HaveOccurred())
		parts, err := jobstate.SplitResults([]jobstate.Result{{ID: "j-0", Done: true}, {ID: "j-1", Done: true}})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: jobstate.RecordKey("j"), Value: value}, {Key: jobstate.ResultKey("j", 0), Value: parts[0]}}})
		Expect(err).NotTo(HaveOccurred())
		page, ok := f.hosts["D"].read("j", 1)
		Expect(ok).To(BeTrue())
		Expect(page.Results).To(HaveLen(1))
		page, failure := hostA.tellResults(ctx, "j", 1, 0, true)
		expectNotDenied(told{page, failure})
	})

	// Guards against pages of an ended job that are taken for as old as the job's end.
	It("is told of an ended job however long it is known", func() {
		f, _ := newHalfListed("A", "C")
		hostC := f.hosts["C"]
		Expect(f.hosts["A"].Manager.End(ctx, "j", true)).To(BeNil())
		f.leave("A")
		for range 3 {
			a := f.await(hostC.ask(1, 0))
			Expect(a.failure).To(BeNil())
			Expect(a.page.Results).To(BeEmpty())
			Expect([]int{a.page.Total, a.page.Next}).To(Equal([]int{2, 1}))
			f.advance(time.Second)
		}
	})

	It("is refused if no answer is recent", func() {
		f, _ := newRead()
		defer close(f.servers.block)
		hostC := f.hosts["C"]
		hostC.LearnOwner("A", []string{"j"})
		hostC.afterPeerCall.set(func(string) { f.clock.Advance(endGrace / 6) })
		hostC.afterCall.set(func(string) { f.clock.Advance(endGrace / 6) })
		a := f.await(hostC.ask(0, 0))
		Expect(a.failure).NotTo(BeNil())
		Expect(a.failure.Code()).To(Equal(result.StoreUnavailable))
		Expect(a.failure.RetryAfter()).To(BeNumerically(">", 0))
		Expect(hostC.peerCalls.Load()).To(Equal(int64(1)), "the store is asked then")
	})
})

// Guards against answers that are too old each time they are decided.
var _ = Describe("an answer from a store that takes 200 ms for each call", func() {
	// atSlowStore returns a host that has to read job j of two items, one of which is
	// listed, in the store, and counts its calls.
	atSlowStore := func() (h *host, calls *atomic.Int64) {
		f, _ := newHalfListed("A", "C")
		DeferCleanup(func() { close(f.servers.block) })
		f.noScanners.Store(true)
		f.leave("A")
		h, calls = f.hosts["C"], new(atomic.Int64)
		h.beforeCall.set(func(string) {
			calls.Add(1)
			f.clock.Advance(200 * time.Millisecond)
		})
		return h, calls
	}

	DescribeTable("denies the body of an item", func(item string, most int) {
		h, calls := atSlowStore()
		var told *result.Error
		h.TellBody(ctx, "j", item, func(_ []byte, failure *result.Error) { told = failure })
		Expect(told).NotTo(BeNil())
		Expect(told.Code()).To(Equal(result.NotFound), "%v", told)
		Expect(calls.Load()).To(BeNumerically("<=", most))
	},
		Entry("that is listed", "j-0", 5),
		Entry("that the job does not have", "j-9", 6),
	)

	It("gives the body of an item that is not listed", func() {
		h, calls := atSlowStore()
		var body []byte
		h.TellBody(ctx, "j", "j-1", func(text []byte, failure *result.Error) {
			Expect(failure).To(BeNil())
			body = text
		})
		Expect(body).NotTo(BeEmpty())
		Expect(calls.Load()).To(BeNumerically("<=", 4))
	})

	It("says that no result is listed", func() {
		h, calls := atSlowStore()
		page, failure := h.tellResults(ctx, "j", 1, 0, true)
		Expect(failure).To(BeNil())
		Expect(page.Results).To(BeEmpty())
		Expect(calls.Load()).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("an answer that denies a job and is delayed", func() {
	// Guards against a 404 of a job that was accepted before it is told.
	DescribeTable("does not contradict an acceptance meanwhile,", func(ask func(h *host) *result.Error) {
		f := newFleet("A", "C")
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		hostC := f.hosts["C"]
		held := hostC.afterCall.hold("get", 1)
		answer := make(chan *result.Error, 1)
		go func() { answer <- ask(hostC) }()
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		Expect(f.hosts["A"].Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.clock.Advance(2 * time.Second)
		held.release()
		var failure *result.Error
		f.eventually(func(g Gomega) { g.Expect(answer).To(Receive(&failure)) })
		if failure != nil {
			Expect(failure.Code()).NotTo(Equal(result.NotFound))
		}
	},
		Entry("to a read", func(h *host) *result.Error {
			_, failure := h.tellResults(ctx, "j", 0, 0, true)
			return failure
		}),
		Entry("to a read of a body", func(h *host) (told *result.Error) {
			h.TellBody(ctx, "j", "j-0", func(_ []byte, failure *result.Error) { told = failure })
			return told
		}),
		Entry("to an end", func(h *host) (told *result.Error) {
			h.TellEnd(ctx, "j", func(failure *result.Error) { told = failure })
			return told
		}),
	)
})
