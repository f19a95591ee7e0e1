package ownership_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

// gate holds back a call of a host to the store.
type gate struct {
	reached, opened chan struct{}
	once            sync.Once
}

// release lets the call go on.
func (g *gate) release() { g.once.Do(func() { close(g.opened) }) }

// hold holds back the nth call of a kind from now on.
func (c *callHook) hold(kind string, nth int) *gate {
	return c.holdIf(func(op string) bool {
		if op == kind {
			nth--
		}
		return op == kind && nth == 0
	})
}

// holdIf holds back the first call that is selected; calls are selected one at a
// time.
func (c *callHook) holdIf(selected func(op string) bool) *gate {
	g := &gate{reached: make(chan struct{}), opened: make(chan struct{})}
	DeferCleanup(g.release)
	var mu sync.Mutex
	held := false
	c.set(func(op string) {
		mu.Lock()
		hold := !held && selected(op)
		held = held || hold
		mu.Unlock()
		if hold {
			close(g.reached)
			<-g.opened
		}
	})
	return g
}

// readers read one job at several hosts, one read after the other, and compare each
// page with all that any of them has read before.
type readers struct {
	fleet    *fleet
	job      string
	seen     []jobstate.Result
	answered int
	wrong    []string
}

// read reads the job at hosts from each position that was read before, and from the
// next one.
func (r *readers) read(names ...string) {
	for _, name := range names {
		for after := 0; after <= len(r.seen); after++ {
			page, ok := r.fleet.hosts[name].read(r.job, after)
			if !ok {
				continue
			}
			r.answered++
			if len(page.Results) == 0 && after < len(r.seen) {
				r.wrong = append(r.wrong, fmt.Sprintf("%s has no result at position %d, of %d that were read", name, after, len(r.seen)))
			}
			for i, res := range page.Results {
				at := after + i
				if at == len(r.seen) {
					r.seen = append(r.seen, res)
				}
				if before := r.seen[at]; before.ID != res.ID || before.Done != res.Done || string(before.Text) != string(res.Text) {
					r.wrong = append(r.wrong, fmt.Sprintf("%s has %s at position %d, where %s was read", name, res.ID, at, before.ID))
				}
			}
		}
	}
}

// readFor reads for a period of the manual clock.
func (r *readers) readFor(period time.Duration, names ...string) {
	for end := r.fleet.clock.Now().Add(period); r.fleet.clock.Now().Before(end); r.fleet.advance(50 * time.Millisecond) {
		r.read(names...)
	}
}

// readUntil reads until n results were seen.
func (r *readers) readUntil(n int, names ...string) {
	GinkgoHelper()
	r.fleet.eventually(func(g Gomega) {
		r.read(names...)
		g.Expect(r.seen).To(HaveLen(n))
	})
}

// expectSound expects that no page contradicted an earlier one, that all results were
// seen, and that at least a number of reads was answered.
func (r *readers) expectSound(results, answered int) {
	GinkgoHelper()
	Expect(r.wrong).To(BeEmpty(), "%d pages were answered", r.answered)
	Expect(r.seen).To(HaveLen(results))
	Expect(r.answered).To(BeNumerically(">=", answered), "sound reads are answered")
}

// newHalfListed returns a fleet in which host A owns job j of two items. The first
// has a result, which was read; the second runs until servers.block is closed.
func newHalfListed(names ...string) (*fleet, *readers) {
	GinkgoHelper()
	f := newFleet(names...)
	f.servers.block = make(chan struct{})
	f.servers.status["j-0"] = 422
	Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
	r := &readers{fleet: f, job: "j"}
	r.readUntil(1, "A")
	return f, r
}

// leave makes a host unreachable for others.
func (f *fleet) leave(name string) { f.hosts[name].dead.Store(true) }

// takenFrom waits until a live host has taken job j over from others, and knows it.
func (f *fleet) takenFrom(names ...string) {
	GinkgoHelper()
	f.eventually(func(g Gomega) {
		for _, h := range f.hosts {
			h.TriggerScan()
		}
		owner := f.ownerOf("j")
		g.Expect(names).NotTo(ContainElement(owner))
		g.Expect(f.logged("job taken over")).To(ContainElement(ContainSubstring(`"job"="j" "from"=%q`, names[len(names)-1])))
	})
}

var _ = Describe("results that were read are shown again", func() {
	const period = 3 * time.Second

	// Guards against the old list of a host that stood still between its write of the
	// record and its own knowledge of it.
	DescribeTable("if another host takes a job over from a new owner that stands still in its take-over,", func(hold func(*host) *gate, completed bool, prevent func(*fleet)) {
		f, r := newHalfListed("A", "B", "C", "D")
		f.noScanners.Store(true)
		f.leave("A")
		f.hosts["A"].cutOff.Store(true)
		hostB := f.hosts["B"]
		held := hold(hostB)
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Serial = "B", r.Serial+1 })
		adopted := make(chan struct{})
		go func() {
			defer close(adopted)
			hostB.Manager.Adopt(ctx, "j")
		}()
		Eventually(held.reached, waitTimeout).Should(BeClosed())
		f.leave("B")
		f.noScanners.Store(false)
		f.takenFrom("A", "B")
		if completed {
			close(f.servers.block)
			r.readUntil(2, "C", "D")
		}
		f.noScanners.Store(true)
		prevent(f)
		hostB.dead.Store(false)
		held.release()
		Eventually(adopted, waitTimeout).Should(BeClosed())
		for _, name := range []string{"C", "D"} {
			f.hosts[name].LearnOwner("B", []string{"j"})
		}
		if !completed {
			close(f.servers.block)
		}
		for end := f.clock.Now().Add(period); f.clock.Now().Before(end); {
			prevent(f)
			r.readFor(50*time.Millisecond, "B", "C", "D")
		}
		r.expectSound(2, 300)
	},
		Entry("before it reads the items", beforeRange, true, nothing),
		Entry("before it reads the items, for a short time", beforeRange, false, nothing),
		Entry("before it reads the items, and no slot is free", beforeRange, true, withoutServer),
		Entry("before it reads the items, for a short time, and no slot is free", beforeRange, false, withoutServer),
		Entry("before it reads the items, and all items rest", beforeRange, true, itemsRest),
		Entry("after it has read the results", beforePartials, true, nothing),
		Entry("after it has read the results, and no slot is free", beforePartials, true, withoutServer),
		Entry("after it has read the results, and all items rest", beforePartials, true, itemsRest),
		Entry("before the reply to its write", beforeCommitReply, true, nothing),
		Entry("before the reply to its write, and no slot is free", beforeCommitReply, true, withoutServer),
	)

	// Guards against an owner that answers after a hand-over that it takes for undone.
	DescribeTable("if an owner hands its job over,", func(evacuates bool, late time.Duration, fault func(*host, time.Duration) func(), replaced bool) {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		end := fault(hostA, late)
		close(f.servers.block)
		handedOver := make(chan struct{})
		if evacuates {
			hostA.setServersCut(true)
			close(handedOver)
			r.readFor(1200*time.Millisecond, "B", "C")
		} else {
			go func() {
				defer close(handedOver)
				hostA.Stop(ctx)
			}()
		}
		if replaced {
			f.leave("A")
			f.takenFrom("A")
		}
		names := []string{"A", "B", "C"}
		if late < time.Second {
			names = names[1:]
		}
		r.readFor(late, names...)
		end()
		Eventually(handedOver, waitTimeout).Should(BeClosed())
		r.readFor(period, "A", "B", "C")
		if replaced {
			hostA.dead.Store(false)
			r.readFor(period, "A", "B", "C")
		}
		r.readUntil(2, "A", "B", "C")
		r.expectSound(2, 200)
	},
		Entry("stopping, without a reply", false, time.Second, losesReplies, false),
		Entry("stopping, with a reply after 1 s", false, time.Second, repliesLate, false),
		Entry("stopping, with a write that takes effect after 1 s", false, time.Second, writesLate, false),
		Entry("stopping, with a write that takes effect after 3 s", false, 3*time.Second, writesLate, false),
		Entry("stopping, with a write that takes effect after 6 s", false, 6*time.Second, writesLate, false),
		Entry("stopping, with a write that comes after a take-over", false, time.Second, writesLate, true),
		Entry("cut off from all servers, without a reply", true, time.Second, losesReplies, false),
		Entry("cut off from all servers, with a reply after 1 s", true, time.Second, repliesLate, false),
		Entry("cut off from all servers, with a reply after 3 s", true, 3*time.Second, repliesLate, false),
		Entry("cut off from all servers, with a write that takes effect after 1 s", true, time.Second, writesLate, false),
		Entry("cut off from all servers, with a write that takes effect after 3 s", true, 3*time.Second, writesLate, false),
		Entry("cut off from all servers, with a write that takes effect after 6 s", true, 6*time.Second, writesLate, false),
		Entry("cut off from all servers, with a write that comes after a take-over", true, time.Second, writesLate, true),
	)

	// Guards against an owner that denies a result of a write which it takes for undone.
	DescribeTable("if a write of results takes effect late,", func(late time.Duration, replaced bool) {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		hostA.delayedWrites.set(true)
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(hostA.delayedWrites.count()).To(BeNumerically(">=", 4)) })
		r.readFor(late, "A", "B", "C")
		f.leave("A")
		if replaced {
			f.takenFrom("A")
		}
		hostA.delayedWrites.takeEffect(f.kv)
		r.readUntil(2, "B", "C")
		r.readFor(period, "A", "B", "C")
		hostA.dead.Store(false)
		r.readFor(period, "A", "B", "C")
		r.expectSound(2, 200)
	},
		Entry("after 1 s", time.Second, false),
		Entry("after 3 s", 3*time.Second, false),
		Entry("after 6 s", 6*time.Second, false),
		Entry("after 1 s and a take-over", time.Second, true),
		Entry("after 6 s and a take-over", 6*time.Second, true),
	)

	// Guards against a refusal of a second attempt that is taken for the outcome of the
	// first one.
	It("if a write takes effect late whose next attempt was refused", func() {
		f, r := newHalfListed("A", "B")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		hostA.delayedWrites.set(true)
		var commits atomic.Int32
		hostA.beforeCall.set(func(op string) {
			// The store delays the first write and refuses all others.
			hostA.cutOff.Store(op == "commit" && commits.Add(1) > 1)
		})
		close(f.servers.block)
		f.eventually(func(g Gomega) { g.Expect(f.logged("write refused")).NotTo(BeEmpty()) })
		f.leave("A")
		r.read("A")
		Expect(hostA.delayedWrites.count()).To(Equal(1))
		hostA.delayedWrites.takeEffect(f.kv)
		r.read("B", "A")
		hostA.beforeCall.set(nil)
		hostA.cutOff.Store(false)
		r.readFor(period, "A", "B")
		r.expectSound(2, 100)
	})

	// Guards against a read from before a take-over that proves the record after it.
	DescribeTable("if an owner's read of the record ends after a take-over,", func(begin func(*host), completed bool) {
		f, r := newHalfListed("A", "B", "C")
		hostA := f.hosts["A"]
		held := hostA.afterCall.hold("get", 1)
		f.advance(endGrace)
		go begin(hostA)
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.leave("A")
		f.takenFrom("A")
		close(f.servers.block)
		if completed {
			r.readUntil(2, "B", "C")
		}
		held.release()
		r.readFor(period, "A", "B", "C")
		hostA.dead.Store(false)
		r.readFor(period, "A", "B", "C")
		r.expectSound(2, 200)
	},
		Entry("a refresh, soon", claimedByOther, false),
		Entry("a refresh, once the job is complete", claimedByOther, true),
		Entry("a read for a reader, soon", readOnce, false),
		Entry("a read for a reader, once the job is complete", readOnce, true),
	)

	// Guards against a restarted host that goes on with a job which another one has taken.
	DescribeTable("if an owner is started again while another host takes its job over,", func(hold func(*host) *gate, completed bool) {
		f, r := newHalfListed("A", "B", "C")
		f.noScanners.Store(true)
		f.leave("A")
		f.hosts["A"].Kill()
		config := new(routes.Holder)
		config.SetIfNewer(newConfig(1, route))
		var held *gate
		hostA := f.addHostWith("A", "A/2", config, func(h *host) { held = hold(h) })
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.leave("A")
		f.noScanners.Store(false)
		f.takenFrom("A")
		close(f.servers.block)
		if completed {
			r.readUntil(2, "B", "C")
		}
		hostA.dead.Store(false)
		held.release()
		r.readFor(period, "A", "B", "C")
		r.expectSound(2, 200)
	},
		Entry("before its write, soon", beforeCommit, false),
		Entry("before its write, once the job is complete", beforeCommit, true),
		Entry("before the reply to its write, soon", beforeCommitReply, false),
		Entry("before the reply to its write, once the job is complete", beforeCommitReply, true),
		Entry("before it reads the items, soon", beforeRange, false),
		Entry("before it reads the items, once the job is complete", beforeRange, true),
		Entry("after it has read the results, soon", beforePartials, false),
		Entry("after it has read the results, once the job is complete", beforePartials, true),
	)

	// Guards against a restarted host that reclaims what an old list of records names.
	It("if an owner is started again and reads an old list of records", func() {
		f, r := newHalfListed("A", "B", "C")
		old := f.records()
		f.leave("A")
		f.hosts["A"].Kill()
		f.takenFrom("A")
		close(f.servers.block)
		r.readUntil(2, "B", "C")
		config := new(routes.Holder)
		config.SetIfNewer(newConfig(1, route))
		f.addHostWith("A", "A/2", config, func(h *host) { h.staleRecords.Store(&old) })
		r.readFor(period, "A", "B", "C")
		r.expectSound(2, 200)
		Expect(f.ownerOf("j")).NotTo(Equal("A"))
	})
})

// The calls at which a host stands still during a take-over.
func beforeRange(h *host) *gate       { return h.beforeCall.hold("range", 1) }
func beforePartials(h *host) *gate    { return h.beforeCall.hold("get", 2) }
func beforeCommit(h *host) *gate      { return h.beforeCall.hold("commit", 1) }
func beforeCommitReply(h *host) *gate { return h.afterCall.hold("commit", 1) }

// What keeps host B from running items.
func nothing(*fleet)         {}
func withoutServer(f *fleet) { f.hosts["B"].directory.Remove(f.clock.Now(), backendServer.ID, 0) }
func itemsRest(f *fleet) {
	for _, item := range []string{"j-0", "j-1"} {
		f.crashes.ItemLost("j", &exchange.Call{ID: item}, "other/1", f.clock.Now(), 0)
	}
}

// The faults of the writes of a host; each returns a function that ends it.
func losesReplies(h *host, _ time.Duration) func() {
	h.loseReplies.Store(true)
	return func() { h.loseReplies.Store(false) }
}

func repliesLate(h *host, _ time.Duration) func() { return h.afterCall.hold("commit", 1).release }

func writesLate(h *host, _ time.Duration) func() {
	h.delayedWrites.set(true)
	return func() { h.delayedWrites.takeEffect(h.fleet.kv) }
}

// How an owner begins to read a record.
func claimedByOther(h *host) { h.LearnOwner("B", []string{"j"}) }
func readOnce(h *host)       { _, _ = h.read("j", 1) }

// records returns the entries of all records.
func (f *fleet) records() []store.Entry {
	GinkgoHelper()
	entries, err := f.kv.RangeStale(ctx, jobstate.RecordPrefix)
	Expect(err).NotTo(HaveOccurred())
	return entries
}
