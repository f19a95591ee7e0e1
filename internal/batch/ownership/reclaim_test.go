package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

var _ = Describe("a host that is started again and does not scan", func() {
	// Guards against a job that waits for a scanner since a late write of the host's former
	// life came between the read and the write of its record.
	It("takes its job back although the record changes meanwhile", func() {
		f, r := newHalfListed("A", "B")
		f.noScanners.Store(true)
		f.hosts["A"].Kill()
		config := new(routes.Holder)
		config.SetIfNewer(newConfig(1, route))
		var held *gate
		hostA := f.addHostWith("A", "A/2", config, func(h *host) { held = beforeCommit(h) })
		f.eventually(func(g Gomega) { g.Expect(held.reached).To(BeClosed()) })
		f.rewrite("j", func(r *jobstate.Record) { r.Serial++ })
		held.release()
		f.advance(2 * time.Second)
		Expect(hostA.OwnedJobs()).To(ConsistOf("j"))
		close(f.servers.block)
		r.readUntil(2, "A", "B")
		r.expectSound(2, 2)
	})
})
