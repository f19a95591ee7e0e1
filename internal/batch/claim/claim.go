// Package claim decides for how long a host may act on a job's record that it read
// or wrote earlier.
//
// Any host may rewrite the record of a job at any time, and the owner need not
// hear of it: it may be cut off, or stand still. What an owner knows is therefore
// true as of its last call to the store and has an age. Two acts depend on it: an
// item may be sent, and a position of the list of results may be said to hold none
// yet, only within the period of a proof, which begins with the start of a call to
// the store that showed the record to be what this host takes it for. A result that
// is listed needs no proof, since lists only grow.
//
// A host that takes a job over from another one waits for the period of a proof
// before it lists a result. By then the former owner has none, so that it denies no
// position at which a reader has seen a result. Clocks of different hosts are not
// compared; that they advance at the same rate is assumed.
//
// Times are readings of a clock that goes on while the machine is suspended. A
// Claim reads no clock and is not safe for concurrent use.
package claim

import "time"

// Claim is what an owner knows of the record of one job.
type Claim struct {
	period time.Duration
	// provedAt is when the last call to the store began that showed this host to be
	// the owner; zero if the proof was withdrawn.
	provedAt time.Duration
	// listProvedAt is the same for calls that also showed that no result is listed
	// which this host does not know of. It is zero while a write is unsettled.
	listProvedAt time.Duration
	// disputedAt is when another host last said that it changed the record; zero if
	// the record was proved since.
	disputedAt time.Duration
	// unsettled is the number of writes that may still take effect although this host
	// does not take them for done: those in progress and those without a reply.
	unsettled int
	// listFrom is when results may first be listed.
	listFrom time.Duration
}

// New returns the claim of a host whose call to the store, which began at a time,
// showed it to be the owner of a job, with the list that it knows. Each proof is valid
// for period.
func New(period, began time.Duration) *Claim {
	return &Claim{period: period, provedAt: began, listProvedAt: began}
}

// AwaitFormerOwner keeps results from being listed until the proofs of a former
// owner have ended, which was replaced by now at the latest.
func (c *Claim) AwaitFormerOwner(now time.Duration) { c.listFrom = now + c.period }

// MayList reports whether results may be listed.
func (c *Claim) MayList(now time.Duration) bool { return now >= c.listFrom }

// MaySend reports whether items may be sent.
func (c *Claim) MaySend(now time.Duration) bool { return c.valid(now, c.provedAt) }

// MayDeny reports whether a position after the end of the list may be said to hold
// no result.
func (c *Claim) MayDeny(now time.Duration) bool { return c.valid(now, c.listProvedAt) }

func (c *Claim) valid(now, provedAt time.Duration) bool {
	return provedAt > 0 && now-provedAt < c.period
}

// Prove records that a call to the store, which began at a time, showed this host to
// be the owner, with the list that it knows. It proves nothing if the record was
// disputed since.
func (c *Claim) Prove(began time.Duration) {
	if began >= c.disputedAt && c.unsettled == 0 {
		c.listProvedAt = max(c.listProvedAt, began)
	}
	c.ProveOwner(began)
}

// ProveOwner is Prove after a call that showed results which this host does not know,
// since the reply to its write of them is still to come.
func (c *Claim) ProveOwner(began time.Duration) {
	if began < c.disputedAt {
		return
	}
	c.disputedAt = 0
	c.provedAt = max(c.provedAt, began)
}

// BeginWrite records that a write of the record is about to be sent. CancelWrite or
// Settle follows once its outcome is known.
func (c *Claim) BeginWrite() {
	c.unsettled++
	c.listProvedAt = 0
}

// CancelWrite records that a write has not taken effect and never will.
func (c *Claim) CancelWrite() { c.unsettled = max(0, c.unsettled-1) }

// Settle is Prove after a call that showed the record at a revision which this host
// had not known: no earlier write of this host can take effect any more.
func (c *Claim) Settle(began time.Duration) {
	c.unsettled = 0
	c.Prove(began)
}

// Withdraw withdraws all proofs, as another host may have changed the record.
func (c *Claim) Withdraw() { c.provedAt, c.listProvedAt = 0, 0 }

// Dispute withdraws all proofs, as another host has said by now that it changed the
// record. Only a call that begins later proves it again.
func (c *Claim) Dispute(now time.Duration) {
	c.Withdraw()
	c.disputedAt = now
}

// Disputed reports whether the record was disputed and not proved since.
func (c *Claim) Disputed() bool { return c.disputedAt > 0 }

// ListAge returns the time since the list was last proved, zero if no proof is left.
func (c *Claim) ListAge(now time.Duration) time.Duration {
	if c.listProvedAt == 0 {
		return 0
	}
	return now - c.listProvedAt
}
