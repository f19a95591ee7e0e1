package claim_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/claim"
)

const periodMS = 1500

// at returns the time n milliseconds after the claim of a spec was made.
func at(n int) time.Duration { return time.Hour + time.Duration(n)*time.Millisecond }

var _ = Describe("Claim", func() {
	DescribeTable("allows items to be sent and positions to be denied", func(acts func(*claim.Claim), now int, maySend, mayDeny bool) {
		c := claim.New(periodMS*time.Millisecond, at(0))
		acts(c)
		Expect(c.MaySend(at(now))).To(Equal(maySend))
		Expect(c.MayDeny(at(now))).To(Equal(mayDeny))
	},
		Entry("new", func(*claim.Claim) {}, 1499, true, true),
		Entry("its period has passed", func(*claim.Claim) {}, 1500, false, false),
		Entry("proved again", func(c *claim.Claim) { c.Prove(at(1000)) }, 2499, true, true),
		Entry("proved by a call that began earlier than the last one", func(c *claim.Claim) { c.Prove(at(1000)); c.Prove(at(500)) }, 2400, true, true),
		Entry("withdrawn", func(c *claim.Claim) { c.Withdraw() }, 1, false, false),
		Entry("withdrawn and proved", func(c *claim.Claim) { c.Withdraw(); c.Prove(at(10)) }, 20, true, true),
		Entry("disputed, and proved by a call that began before", func(c *claim.Claim) { c.Dispute(at(10)); c.Prove(at(9)) }, 20, false, false),
		Entry("disputed, and proved by a later call", func(c *claim.Claim) { c.Dispute(at(10)); c.Prove(at(11)) }, 20, true, true),
		Entry("a write in progress", func(c *claim.Claim) { c.BeginWrite() }, 20, true, false),
		Entry("a write in progress, and a read since", func(c *claim.Claim) { c.BeginWrite(); c.Prove(at(10)) }, 20, true, false),
		Entry("a write in progress, which a read has shown", func(c *claim.Claim) { c.BeginWrite(); c.ProveOwner(at(1000)) }, 2499, true, false),
		Entry("results that are not known", func(c *claim.Claim) { c.ProveOwner(at(1000)) }, 2499, true, false),
		Entry("disputed, and shown to be the owner by a call that began before", func(c *claim.Claim) { c.Dispute(at(10)); c.ProveOwner(at(9)) }, 20, false, false),
		Entry("a write that was done", func(c *claim.Claim) { c.BeginWrite(); c.Settle(at(10)) }, 20, true, true),
		Entry("a write that was refused, and a read since", func(c *claim.Claim) { c.BeginWrite(); c.CancelWrite(); c.Prove(at(10)) }, 20, true, true),
		Entry("a write refused after one without a reply", func(c *claim.Claim) { c.BeginWrite(); c.BeginWrite(); c.CancelWrite(); c.Prove(at(10)) }, 20, true, false),
		Entry("a write done after one without a reply", func(c *claim.Claim) { c.BeginWrite(); c.BeginWrite(); c.Settle(at(10)) }, 20, true, true),
	)

	// Guards against a new owner that lists a result which the former one still denies.
	DescribeTable("lets a new owner list no result before the proofs of the former one have ended", func(began, known int) {
		former := claim.New(periodMS*time.Millisecond, at(0))
		next := claim.New(periodMS*time.Millisecond, at(began))
		next.AwaitFormerOwner(at(known))
		for n := range 2 * periodMS {
			Expect(former.MayDeny(at(n)) && next.MayList(at(n))).To(BeFalse(), "after %d ms", n)
		}
		Expect(next.MayList(at(known + periodMS))).To(BeTrue())
	},
		Entry("that were made before its take-over", 5, 10),
		Entry("that were made at the time of its take-over", 0, 0),
	)

	It("stays disputed until a call that began later proves it", func() {
		c := claim.New(periodMS*time.Millisecond, at(0))
		c.Dispute(at(10))
		c.Prove(at(5))
		Expect(c.Disputed()).To(BeTrue())
		c.Prove(at(15))
		Expect(c.Disputed()).To(BeFalse())
	})
})
