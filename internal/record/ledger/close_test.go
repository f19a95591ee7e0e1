package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
)

// closing is a shard whose messages and results the test passes one by one.
type closing struct {
	now     time.Time
	shard   *ledger.Shard
	replies map[ledger.Ticket]reply
	// groups are the groups of the CommitGroup actions so far.
	groups []*wire.Group
}

func newClosing() *closing {
	return &closing{now: start, shard: ledger.Open(ledger.Options{Writer: "w", Host: "h"}, start, nil), replies: make(map[ledger.Ticket]reply)}
}

func (c *closing) apply(actions []ledger.Action) {
	for _, a := range actions {
		switch a.Kind {
		case ledger.ReplyTo:
			c.replies[a.Ticket] = reply{a.Failure, a.Found}
		case ledger.CommitGroup:
			c.groups = append(c.groups, a.Group)
		}
	}
}

func (c *closing) claim(ticket ledger.Ticket, key, attempt string) {
	c.apply(c.shard.Claim(c.now, ticket, &wire.ClaimRequest{
		Key: key, Attempt: attempt, Fingerprint: []byte("f"), DeadlineInMs: 60_000, KeepMs: time.Hour.Milliseconds(),
	}))
}

// tick lets the pending records' batch delay pass.
func (c *closing) tick() {
	c.now = c.now.Add(100 * time.Millisecond)
	c.apply(c.shard.Tick(c.now))
}

// begin starts the latest attempt to write a group.
func (c *closing) begin() {
	Expect(c.shard.BeginWrite(c.groups[len(c.groups)-1])).To(BeTrue())
}

func (c *closing) committed(r ledger.CommitResult) { c.apply(c.shard.Committed(c.now, r)) }

// end ends an attempt to write a group.
func (c *closing) end(r ledger.CommitResult) {
	c.begin()
	c.committed(r)
}

var _ = Describe("a shard that closes", func() {
	DescribeTable("tells each waiting claim whether it may be durable",
		func(steps func(c *closing), want result.Ran) {
			c := newClosing()
			c.claim(1, "k", "a")
			steps(c)
			c.apply(c.shard.Close())
			Expect(c.replies).To(HaveKey(ledger.Ticket(1)))
			failure := c.replies[1].failure
			Expect(failure).NotTo(BeNil())
			Expect(failure.Code()).To(Equal(result.LeaseLost))
			Expect(failure.Ran()).To(Equal(want))
		},
		Entry("no group has the claim yet", func(*closing) {}, result.RanNo),
		Entry("the write of its group has not begun", func(c *closing) { c.tick() }, result.RanNo),
		Entry("each write of its group was refused", func(c *closing) {
			c.tick()
			c.end(ledger.NotWritten)
			c.end(ledger.NotWritten)
		}, result.RanNo),
		Entry("a write of its group is at the store", func(c *closing) {
			c.tick()
			c.begin()
		}, result.RanMaybe),
		Entry("a repeated write of its group is at the store", func(c *closing) {
			c.tick()
			c.end(ledger.NotWritten)
			c.begin()
		}, result.RanMaybe),
		Entry("a write of its group has an unknown outcome", func(c *closing) {
			c.tick()
			c.end(ledger.OutcomeUnknown)
		}, result.RanMaybe),
		Entry("a refused write of its group follows one with an unknown outcome", func(c *closing) {
			c.tick()
			c.end(ledger.OutcomeUnknown)
			c.apply(c.shard.ReadBack(c.now, ledger.ReadResult{TokenValid: true}))
			c.end(ledger.NotWritten)
		}, result.RanMaybe),
	)

	It("begins no write after it has told a claim that it is not durable", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.tick()
		c.apply(c.shard.Close())
		Expect(c.shard.BeginWrite(c.groups[0])).To(BeFalse())
	})

	It("refuses a claim that is not in the group at the store as not run", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.tick()
		c.begin()
		c.claim(2, "l", "b")
		c.apply(c.shard.Close())
		Expect(c.replies[1].failure.Ran()).To(Equal(result.RanMaybe))
		Expect(c.replies[2].failure.Ran()).To(Equal(result.RanNo))
	})

	It("tells a claim that waits for another attempt's outcome that the request may have run", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.tick()
		c.end(ledger.Written)
		c.apply(c.shard.Finish(c.now, 2, &wire.FinishRequest{Key: "k", Attempt: "a", State: int32(ledger.Done)}))
		c.claim(3, "k", "b")
		c.apply(c.shard.Close())
		Expect(c.replies[2].failure.Ran()).To(Equal(result.RanMaybe))
		Expect(c.replies[3].failure.Ran()).To(Equal(result.RanMaybe))
	})
})

var _ = Describe("a caller that gives a claim up", func() {
	giveUp := func(c *closing, ticket ledger.Ticket, key, attempt string) *result.Error {
		actions, failure := c.shard.GiveUp(c.now, ticket, key, attempt)
		c.apply(actions)
		return failure
	}

	DescribeTable("is told whether the claim may be durable",
		func(steps func(c *closing), want result.Ran) {
			c := newClosing()
			c.claim(1, "k", "a")
			steps(c)
			failure := giveUp(c, 1, "k", "a")
			Expect(failure.Code()).To(Equal(result.StoreUnavailable))
			Expect(failure.Ran()).To(Equal(want))
			Expect(c.replies).To(BeEmpty())
		},
		Entry("no group has the claim yet", func(*closing) {}, result.RanNo),
		Entry("the write of its group has not begun", func(c *closing) { c.tick() }, result.RanNo),
		Entry("each write of its group was refused", func(c *closing) {
			c.tick()
			c.end(ledger.NotWritten)
		}, result.RanNo),
		Entry("a write of its group is at the store", func(c *closing) {
			c.tick()
			c.begin()
		}, result.RanMaybe),
		Entry("a write of its group has an unknown outcome", func(c *closing) {
			c.tick()
			c.end(ledger.OutcomeUnknown)
		}, result.RanMaybe),
		Entry("the shard was closed", func(c *closing) {
			c.tick()
			c.begin()
			c.shard.Close()
		}, result.RanMaybe),
	)

	It("leaves no claim behind that is written later", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.claim(2, "l", "b")
		c.tick()
		c.end(ledger.NotWritten)
		Expect(giveUp(c, 1, "k", "a").Ran()).To(Equal(result.RanNo))
		c.end(ledger.Written)
		group := c.groups[len(c.groups)-1]
		Expect(group.GetRecords()).To(HaveLen(1))
		Expect(group.GetRecords()[0].GetKey()).To(Equal("l"))
		Expect(c.replies[2].failure).To(BeNil())
		c.apply(c.shard.Lookup(3, "k"))
		Expect(c.replies[3].failure.Code()).To(Equal(result.NotFound))
	})

	It("ends the write of a group that has no other record", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.tick()
		Expect(giveUp(c, 1, "k", "a").Ran()).To(Equal(result.RanNo))
		Expect(c.shard.BeginWrite(c.groups[0])).To(BeFalse())
		Expect(c.shard.Idle()).To(BeTrue())
		c.claim(2, "k", "b")
		c.tick()
		c.end(ledger.Written)
		Expect(c.replies[2].failure).To(BeNil())
		Expect(c.replies[2].found.Attempt).To(Equal("b"))
	})

	It("keeps the claim of another attempt that it waited for", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.claim(2, "k", "b")
		c.tick()
		Expect(giveUp(c, 2, "k", "b").Ran()).To(Equal(result.RanMaybe))
		c.end(ledger.Written)
		Expect(c.replies[1].found.Attempt).To(Equal("a"))
	})

	It("lets another attempt that waited for the claim claim the key itself", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.claim(2, "k", "b")
		Expect(giveUp(c, 1, "k", "a").Ran()).To(Equal(result.RanNo))
		Expect(c.replies[2].failure.Ran()).To(Equal(result.RanNo))
		c.claim(3, "k", "b")
		c.tick()
		c.end(ledger.Written)
		Expect(c.replies[3].found.Attempt).To(Equal("b"))
	})
})

var _ = Describe("a stalled group", func() {
	It("is not written with a claim that was withdrawn after its caller had left", func() {
		c := newClosing()
		c.claim(1, "k", "a")
		c.tick()
		c.end(ledger.NotWritten)
		c.shard.CancelWait(1, "k")
		c.now = c.now.Add(3 * time.Second)
		c.end(ledger.NotWritten)
		Expect(c.shard.BeginWrite(c.groups[0])).To(BeFalse())
		Expect(c.shard.Idle()).To(BeTrue())
	})
})
