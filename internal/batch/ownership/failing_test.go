package ownership_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

// liveOwner waits for a host in touch that runs job j.
func (f *fleet) liveOwner() (owner *host) {
	GinkgoHelper()
	f.eventually(func(g Gomega) {
		for _, h := range f.hosts {
			if h.dead.Load() {
				continue
			}
			h.TriggerScan()
			if len(h.OwnedJobs()) > 0 {
				owner = h
			}
		}
		g.Expect(owner).NotTo(BeNil())
	})
	return owner
}

// waitFor lets the hosts work until a condition holds, for a period of the manual clock at
// most.
func (f *fleet) waitFor(period time.Duration, holds func() bool) {
	for end := f.clock.Now().Add(period); f.clock.Now().Before(end) && !holds(); {
		f.advance(10 * time.Millisecond)
	}
}

// loss is a way in which an owner is lost: its writes are disturbed once it has accepted
// the job or taken it over; it is lost at a time after its item has failed.
type loss struct {
	disturb func(*fleet, *host)
	after   time.Duration
	lose    func(*fleet, *host)
}

// standsStill cuts a host off from all others, the store and the servers.
func standsStill(_ *fleet, h *host) {
	h.dead.Store(true)
	h.beforeCall.set(nil)
	h.cutOff.Store(true)
	h.setServersCut(true)
}

// afterFirstWrite calls a function once the first write of a host has taken effect.
func (h *host) afterFirstWrite(call func()) {
	first := true
	h.afterCall.set(func(op string) {
		if op == "commit" && first {
			first = false
			call()
		}
	})
}

// beforeLaterCalls calls a function before each call of a host to the store that follows
// its first write.
func (h *host) beforeLaterCalls(call func(op string)) {
	h.afterFirstWrite(func() { h.beforeCall.set(call) })
}

// The ways in which the owners of the plays are lost.
var (
	calm = func(*fleet, *host) {}

	frozen = loss{calm, 0, standsStill}
	// A store that refuses writes can still be read.
	writesLost = loss{func(_ *fleet, h *host) {
		h.beforeLaterCalls(func(op string) { h.cutOff.Store(op == "commit") })
	}, 900 * time.Millisecond, standsStill}
	lateWrites = loss{func(_ *fleet, h *host) {
		h.afterFirstWrite(func() { h.delayedWrites.set(true) })
	}, 900 * time.Millisecond, standsStill}
	lostReplies = loss{func(_ *fleet, h *host) {
		h.afterFirstWrite(func() { h.loseReplies.Store(true) })
	}, 900 * time.Millisecond, standsStill}
	refused = loss{func(f *fleet, h *host) {
		var last time.Time
		h.beforeLaterCalls(func(op string) {
			if now := f.clock.Now(); op == "commit" && now.After(last) {
				last = now
				f.rewrite("j", func(r *jobstate.Record) { r.Writer, r.Serial = "X/1", r.Serial+1 })
			}
		})
	}, 900 * time.Millisecond, standsStill}
	killed = loss{calm, 0, func(_ *fleet, h *host) {
		h.dead.Store(true)
		h.Kill()
	}}
	restarted = loss{calm, 0, func(f *fleet, h *host) {
		h.Kill()
		f.addHost(h.name, h.name+"/again")
	}}
	stopped = loss{calm, 0, func(_ *fleet, h *host) {
		h.dead.Store(true)
		h.Stop(ctx)
	}}
)

// later returns the loss 200 ms later than it is, which is time for a write.
func (l loss) later() loss {
	l.after += 200 * time.Millisecond
	return l
}

var _ = Describe("an item that fails at each run, whose job loses its owner four times in a row", func() {
	const losses = 4

	// play submits a job with an item that each server ends with a status. It loses each
	// owner after the item has failed, the first one in all its attempts, and returns the
	// number of its runs once it is listed.
	play := func(status, attempts int, l loss) int {
		f := newFleet("A", "B", "C", "D", "E", "F")
		f.servers.setStatus("j-0", status)
		f.servers.block = make(chan struct{})
		for _, h := range f.hosts {
			l.disturb(f, h)
		}
		Expect(f.hosts["A"].Submit(ctx, submission("j", 2, 1))).To(BeNil())
		listed := func() bool { return len(f.listed("j")) > 0 }
		runs, wanted := func() int { return f.servers.runsOf("j-0") }, attempts
		for n := range losses {
			owner := f.liveOwner()
			f.waitFor(3*time.Second, func() bool { return listed() || runs() >= wanted })
			f.advance(l.after)
			wanted = runs() + 1
			GinkgoWriter.Println("loss", n+1, "of", owner.name, "after", runs(), "runs; listed:", listed())
			if n == losses-1 {
				for _, h := range f.hosts {
					if h != owner {
						h.afterCall.set(nil)
					}
				}
			}
			l.lose(f, owner)
		}
		f.waitFor(30*time.Second, func() bool {
			for _, h := range f.hosts {
				h.TriggerScan()
			}
			return listed()
		})
		Expect(listed()).To(BeTrue())
		for _, h := range f.hosts {
			h.delayedWrites.takeEffect(f.kv)
		}
		f.advance(time.Second)
		GinkgoWriter.Println("runs:", runs())
		return runs()
	}

	// Guards against failures that are known to the owner alone.
	DescribeTable("reaches servers no more than three times its attempts", func(l loss) {
		runs := play(http.StatusInternalServerError, route.MaxAttempts, l)
		Expect(runs).To(BeNumerically(">=", route.MaxAttempts))
		Expect(runs).To(BeNumerically("<=", 3*route.MaxAttempts))
	},
		Entry("as the owner stands still", frozen),
		Entry("as the owner's writes are lost", writesLost),
		Entry("as the owner's writes are late", lateWrites),
		Entry("as the replies to the owner's writes are lost", lostReplies),
		Entry("as the owner's writes are refused", refused),
		Entry("as the owner is killed", killed),
		Entry("as the owner is started again", restarted),
		Entry("as the owner stops", stopped),
	)

	// Guards against an item that each owner sends once more, since a server's word that
	// it can't be done is known to the owner before alone.
	noMoreThanThrice := func(l loss) { Expect(play(http.StatusUnprocessableEntity, 1, l)).To(BeNumerically("<=", 3)) }
	DescribeTable("reaches servers no more than three times if it can't be done", noMoreThanThrice,
		Entry("as the owner stands still", frozen.later()),
		Entry("as the replies to the owner's writes are lost", lostReplies),
		Entry("as the owner's writes are refused", refused),
		Entry("as the owner is killed", killed.later()),
		Entry("as the owner is started again", restarted.later()),
		Entry("as the owner stops", stopped),
	)
	DescribeTable("reaches servers no more than three times if it can't be done, and no owner can write that", Label(specs.KnownRed), noMoreThanThrice,
		Entry("as the owner's writes are lost", writesLost),
		Entry("as the owner's writes are late", lateWrites),
		Entry("as the owner is killed at once", killed),
		Entry("as the owner is started again at once", restarted),
	)

	// Guards against calls to the store for failures where the owner knows them all.
	DescribeTable("costs no call to the store as long as its job has the owner that accepted it", func(status, runs int) {
		f := newFleet("A")
		hostA := f.hosts["A"]
		f.servers.setStatus("j-0", status)
		Expect(hostA.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(listResults(g, hostA, "j")).To(HaveLen(2)) })
		Expect(f.servers.runsOf("j-0")).To(Equal(runs))
		Expect(hostA.commits.Load()).To(BeEquivalentTo(2), "the acceptance and the results")
	},
		Entry("if it fails", http.StatusInternalServerError, 3),
		Entry("if it can't be done", http.StatusUnprocessableEntity, 1),
	)

	It("costs a write for each failure under an owner that does not know all of them", func() {
		f := newFleet("A", "B")
		hostA, hostB := f.hosts["A"], f.hosts["B"]
		f.servers.setStatus("j-0", http.StatusInternalServerError)
		f.servers.block = make(chan struct{})
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(hostA.Submit(ctx, submission("j", 2, 1))).To(BeNil())
		standsStill(f, hostA)
		f.takenFrom("A")
		f.eventually(func(g Gomega) { g.Expect(f.listed("j")).NotTo(BeEmpty()) })
		Expect(f.servers.runsOf("j-0")).To(Equal(3))
		Expect(hostB.commits.Load()).To(BeEquivalentTo(5), "the take-over, three failures and the result")
	})
})
