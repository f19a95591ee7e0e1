package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

// sendPause is longer than a proof is valid, and shorter than a run waits for a head.
const sendPause = endGrace * 2 / 3

// Where a host stands still on the way from the check of a job's record to the first
// byte of an item.
var sendPauses = []struct {
	name string
	hold func(*host) *gate
}{
	{"before the store has its question", func(h *host) *gate { return h.beforeCall.hold("get", 1) }},
	{"with the store's reply in hand", func(h *host) *gate { return h.afterCall.hold("get", 1) }},
	{"with a connection to the server", func(h *host) *gate { return h.links.beforeSend.hold("send", 1) }},
}

// What happens meanwhile, that nobody tells the host.
var sendChanges = []struct {
	name   string
	change func(*fleet)
}{
	{"the job was ended", func(f *fleet) {
		f.rewrite("j", func(r *jobstate.Record) { r.Ended, r.Writer, r.Serial = true, "B/1", r.Serial+1 })
	}},
	{"another host took the job over", func(f *fleet) {
		f.rewrite("j", func(r *jobstate.Record) { r.Owner, r.Writer, r.Serial = "B", "B/1", r.Serial+1 })
	}},
	{"the server began to drain", func(f *fleet) {
		s := backendServer
		s.Draining = true
		f.hosts["A"].directory.Put(s)
	}},
	{"the server started again elsewhere", func(f *fleet) {
		s := backendServer
		s.Born, s.Address = backendServer.Born+1, "10.0.0.9:1"
		f.hosts["A"].directory.Put(s)
	}},
	{"the operator removed its route", func(f *fleet) { f.hosts["A"].config.SetIfNewer(newConfig(2)) }},
	{"the operator moved its route to another service", func(f *fleet) {
		f.hosts["A"].config.SetIfNewer(newConfig(2, changedRoute(func(r *routes.Route) { r.Shares = []routes.Share{{Service: "t", Weight: 1}} })))
	}},
}

var _ = Describe("an item whose host stands still between the check of its record and its first byte", func() {
	for _, pause := range sendPauses {
		for _, meanwhile := range sendChanges {
			// Guards against an item that is sent on a check made seconds before.
			It("is not sent after the pause if "+meanwhile.name+": "+pause.name, func() {
				f := newFleet("A")
				f.noScanners.Store(true)
				hostA := f.hosts["A"]
				hostA.directory.Remove(f.clock.Now(), backendServer.ID, 0)
				Expect(hostA.Submit(ctx, submission("j", 1, 1))).To(BeNil())
				f.advance(endGrace)
				held := pause.hold(hostA)
				hostA.directory.Put(backendServer)
				f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
				meanwhile.change(f)
				// Nothing else may bring it the news.
				hostA.beforeCall.set(nil)
				f.clock.Advance(sendPause)
				held.release()
				f.advance(300 * time.Millisecond)
				Expect(f.servers.sentTo(backendServer)).To(BeZero())
			})
		}
	}

	It("is sent after a short pause", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		held := hostA.links.beforeSend.hold("send", 1)
		Expect(hostA.Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.advance(endGrace/2 - 200*time.Millisecond)
		held.release()
		f.eventually(func(g Gomega) { g.Expect(listResults(g, hostA, "j")).To(HaveLen(1)) })
		Expect(f.servers.runsOf("j-0")).To(Equal(1))
	})

	It("is sent once the pause is over and the record allows it", func() {
		f := newFleet("A")
		f.noScanners.Store(true)
		hostA := f.hosts["A"]
		held := hostA.links.beforeSend.hold("send", 1)
		Expect(hostA.Submit(ctx, submission("j", 1, 1))).To(BeNil())
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.clock.Advance(sendPause)
		held.release()
		f.eventually(func(g Gomega) { g.Expect(listResults(g, hostA, "j")).To(HaveLen(1)) })
		Expect(f.servers.runsOf("j-0")).To(Equal(1))
	})
})
