package ownership_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// endGrace is how long after the acknowledgement of a job's end its items may
// still reach a server.
const endGrace = 3 * time.Second

var _ = Describe("the end of a job", func() {
	// waitingJob returns a fleet in which host A, which is no scanner, owns job j,
	// whose items wait for a server.
	waitingJob := func() *fleet {
		f := newFleet("A")
		f.noScanners.Store(true)
		f.hosts["A"].directory.Remove(f.clock.Now(), backendServer.ID, 0)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 20, 1))).To(BeNil())
		return f
	}
	// pass lets time pass in steps that the hosts can follow.
	pass := func(f *fleet, period time.Duration) {
		for began := f.clock.Now(); f.clock.Now().Sub(began) < period; {
			f.tick()
			time.Sleep(time.Millisecond)
		}
	}

	DescribeTable("keeps items from being sent that the owner's record no longer allows, though nobody told the owner", func(change func(*jobstate.Record)) {
		f := waitingJob()
		f.rewrite("j", change)
		pass(f, endGrace)
		f.hosts["A"].directory.Put(backendServer)
		pass(f, endGrace)
		Expect(f.servers.totalRuns()).To(BeZero())
	},
		Entry("the job was ended by another host", func(r *jobstate.Record) { r.Ended, r.Writer, r.Serial = true, "B/1", r.Serial+1 }),
		Entry("another host has taken the job over", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "B", "B/1", r.Serial+1 }),
	)

	It("keeps items from being sent at any time after it, not only at the latest allowed one", func() {
		f := waitingJob()
		f.rewrite("j", func(r *jobstate.Record) { r.Ended, r.Writer, r.Serial = true, "B/1", r.Serial+1 })
		pass(f, endGrace*2/3)
		f.hosts["A"].directory.Put(backendServer)
		pass(f, endGrace)
		Expect(f.servers.totalRuns()).To(BeZero())
	})

	// Guards against an outdated list of results of a job that another host has listed more of.
	It("is no longer served by a host that has read that another one owns it, though a second read fails", func() {
		f := waitingJob()
		hostA := f.hosts["A"]
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "B", "B/1", r.Serial+1 })
		pass(f, endGrace)
		var reads atomic.Int32
		hostA.beforeCall.set(func(op string) {
			if op == "get" {
				hostA.cutOff.Store(reads.Add(1) > 1)
			}
		})
		hostA.directory.Put(backendServer)
		pass(f, endGrace)
		Expect(hostA.OwnedJobs()).To(BeEmpty())
	})

	It("keeps items from being sent after one read of the record has failed", func() {
		f := waitingJob()
		hostA := f.hosts["A"]
		f.rewrite("j", func(r *jobstate.Record) { r.Ended, r.Writer, r.Serial = true, "B/1", r.Serial+1 })
		pass(f, endGrace)
		var reads atomic.Int32
		hostA.beforeCall.set(func(op string) {
			if op == "get" {
				hostA.cutOff.Store(reads.Add(1) == 1)
			}
		})
		hostA.directory.Put(backendServer)
		pass(f, endGrace)
		Expect(f.servers.totalRuns()).To(BeZero())
		Eventually(hostA.OwnedJobs, waitTimeout).Should(BeEmpty())
	})

	It("keeps items from being sent after a failed read, though another one failed long before", func() {
		f := waitingJob()
		hostA := f.hosts["A"]
		pass(f, endGrace)
		hostA.cutOff.Store(true)
		hostA.directory.Put(backendServer)
		pass(f, 100*time.Millisecond)
		hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		hostA.cutOff.Store(false)
		f.rewrite("j", func(r *jobstate.Record) { r.Ended, r.Writer, r.Serial = true, "B/1", r.Serial+1 })
		pass(f, 2*endGrace)
		var reads atomic.Int32
		hostA.beforeCall.set(func(op string) {
			if op == "get" {
				hostA.cutOff.Store(reads.Add(1) == 1)
			}
		})
		hostA.directory.Put(backendServer)
		pass(f, endGrace)
		Expect(f.servers.totalRuns()).To(BeZero())
	})

	It("keeps items from being sent while the record can be read but not understood", func() {
		f := waitingJob()
		_, err := f.kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: jobstate.RecordKey("j"), Value: []byte("{")}}})
		Expect(err).NotTo(HaveOccurred())
		pass(f, endGrace)
		f.hosts["A"].directory.Put(backendServer)
		pass(f, 2*endGrace)
		Expect(f.servers.totalRuns()).To(BeZero())
	})

	DescribeTable("decides about items that wait while the store can't be read", func(told bool, sent int) {
		f := waitingJob()
		f.hosts["A"].cutOff.Store(true)
		if told {
			f.hosts["A"].LearnEnded([]string{"j"})
		}
		pass(f, endGrace)
		f.hosts["A"].directory.Put(backendServer)
		pass(f, 2*endGrace)
		Expect(f.servers.totalRuns()).To(Equal(sent))
	},
		Entry("they are sent", false, 20),
		Entry("they are held if another host says that it ended the job", true, 0),
	)

	It("keeps items from being sent that an heir loads while the job is ended", func() {
		f := waitingJob()
		f.hosts["A"].Kill()
		heir := f.addHost("B", "B/1")
		heir.directory.Remove(f.clock.Now(), backendServer.ID, 0)
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Serial = "B", r.Serial+1 })
		var once sync.Once
		heir.beforeCall.set(func(op string) {
			if op == "range" {
				once.Do(func() {
					f.rewrite("j", func(r *jobstate.Record) { r.Ended, r.Writer, r.Serial = true, "C/1", r.Serial+1 })
				})
			}
		})
		Expect(heir.Manager.Adopt(ctx, "j")).To(BeNil())
		pass(f, endGrace)
		heir.directory.Put(backendServer)
		pass(f, endGrace)
		Expect(f.servers.totalRuns()).To(BeZero())
	})

	It("keeps items from going on that start while it is being written", func() {
		f := newFleet("A")
		f.servers.block = make(chan struct{})
		defer close(f.servers.block)
		Expect(f.hosts["A"].Submit(ctx, submission("j", 20, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(f.servers.activeRuns()).To(Equal(backendServer.Slots)) })
		committing, release := make(chan struct{}), make(chan struct{})
		var once sync.Once
		f.hosts["A"].beforeCall.set(func(op string) {
			if op == "commit" {
				once.Do(func() {
					close(committing)
					<-release
				})
			}
		})
		ended := make(chan *result.Error, 1)
		before := f.servers.totalRuns()
		go func() { ended <- f.hosts["A"].Manager.End(ctx, "j", true) }()
		f.eventually(func(g Gomega) { g.Expect(committing).To(BeClosed()) })
		pass(f, 100*time.Millisecond)
		Expect(f.servers.totalRuns()).To(Equal(before))
		close(release)
		Eventually(ended, waitTimeout).Should(Receive(BeNil()))
		Eventually(f.servers.activeRuns, time.Second).Should(BeZero())
	})

	It("is acknowledged by a host that reaches the store though the owner does not", func() {
		f := newFleet("A", "B")
		Expect(f.hosts["A"].Submit(ctx, submission("j", 20, 1))).To(BeNil())
		f.hosts["B"].LearnOwner("A", []string{"j"})
		f.hosts["A"].cutOff.Store(true)
		Expect(f.hosts["B"].Manager.End(ctx, "j", true)).To(BeNil())
	})

	It("is written though the caller leaves while it waits", func() {
		f := waitingJob()
		calling, leave := context.WithCancel(ctx)
		var once sync.Once
		f.hosts["A"].beforeCall.set(func(op string) {
			if op == "commit" {
				once.Do(leave)
			}
		})
		_ = f.hosts["A"].Manager.End(calling, "j", true)
		f.eventually(func(g Gomega) {
			e, _, err := f.kv.Get(ctx, jobstate.RecordKey("j"))
			g.Expect(err).NotTo(HaveOccurred())
			r, err := jobstate.DecodeRecord(e.Value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Ended).To(BeTrue())
		})
	})
})
