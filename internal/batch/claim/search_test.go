package claim_test

import (
	"flag"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/claim"
)

// This file searches a model of one job at three hosts and a store, in which each write
// may be done without a reply, or be done later than everything that follows, and any
// host may take the job over at any moment. What the hosts know is kept by real claims;
// the model repeats only when package ownership calls them. In each state that can be
// reached, no host may deny a result that the store lists, and none may show one that it
// does not list.
//
// A write and its reply, and a take-over, are one step each. There are no groups of
// jobs, no answers passed on, and no removal of the job.

const (
	searchHosts   = 3
	searchResults = 2
	searchPeriod  = 2
	searchLate    = 2
	// first is the serial of the acceptance.
	first = 1
)

var searchDepth = flag.Int("claim.depth", 4, "steps of the search that must find nothing; each takes eight to ten times as long as the one before")

// fault is a fault of package ownership, or of Claim, that the search must find.
type fault string

const (
	noFault          fault = "none"
	noProofs         fault = "a list in memory is denied from without a proof"
	noWait           fault = "a new owner lists at once"
	noUnsettled      fault = "a write without a reply leaves the proof"
	keptAfterLetGo   fault = "a job stays in memory after the write that gave it away"
	alwaysReleased   fault = "a job is released by an owner that may not list itself"
	returnedListsNow fault = "an owner that gets a job back lists at once"
	markDecidedOnce  fault = "the mark of a release is decided before the record is read again"
	proofOneTooLong  fault = "a proof is valid at the end of its period"
	sharedSerial     fault = "the end of a job bears the serial of another write"
	lateAcceptance   fault = "an acceptance that is shown by a slow call proves its record"
	takenBackAtStop  fault = "a host that stops takes a job back while its hand-over has no reply"
)

// record is the record of the job.
type record struct {
	revision, owner, writer, serial, listed int8
	released, ended                         bool
}

// member is a host: owns to lastSerial are as in ownership.Manager and ownership.ownedJob.
type member struct {
	owns                           bool
	known                          record
	claim                          claim.Claim
	writer, lastSerial, read, life int8
	// answer is what a slow read of the record returned, at the time read; 0 for none.
	answer record
	// stopping is set once the host has given its jobs away.
	stopping bool
}

// message is a write that may still take effect.
type message struct {
	condition int8
	after     record
}

// state is one state of the model. It is comparable, so that states are met once.
type state struct {
	now, revisions int8
	store          record
	hosts          [searchHosts]member
	late           [searchLate]message
}

// outcome is what becomes of a write.
type outcome int

const (
	replied outcome = iota
	replyLost
	doneLater
)

var outcomes = []outcome{replied, replyLost, doneLater}

// search explores the states of the model with one fault.
type search struct {
	fault fault
	seen  map[state]bool
	next  []state
	found string
}

func (s *search) newClaim(now int8) claim.Claim {
	period := searchPeriod
	if s.fault == proofOneTooLong {
		period++
	}
	return *claim.New(time.Duration(period)*time.Millisecond, at(int(now)))
}

// await is Claim.AwaitFormerOwner.
func (s *search) await(c *claim.Claim, now int8) {
	switch s.fault {
	case noWait:
	case proofOneTooLong:
		c.AwaitFormerOwner(at(int(now - 1)))
	default:
		c.AwaitFormerOwner(at(int(now)))
	}
}

// commit applies a write or leaves it for later, and reports whether it was done.
func (s *state) commit(condition int8, after record, o outcome) (done, ok bool) {
	if o == doneLater {
		for i := range s.late {
			if s.late[i] == (message{}) {
				s.late[i] = message{condition, after}
				return false, true
			}
		}
		return false, false
	}
	if s.store.revision != condition {
		return false, true
	}
	s.revisions++
	after.revision = s.revisions
	s.store = after
	return true, true
}

// visit adds a state that a step has led to.
func (s *search) visit(to state, step string, args ...any) {
	if s.seen[to] || s.found != "" {
		return
	}
	s.seen[to] = true
	s.next = append(s.next, to)
	for i, h := range to.hosts {
		if !h.owns {
			continue
		}
		denies := h.claim.MayDeny(at(int(to.now))) || s.fault == noProofs
		if denies && h.known.listed < to.store.listed {
			s.found = fmt.Sprintf("host %d denies a result after %s: %+v", i, fmt.Sprintf(step, args...), to)
		}
		if h.known.listed > to.store.listed {
			s.found = fmt.Sprintf("host %d shows a result that is not listed after %s: %+v", i, fmt.Sprintf(step, args...), to)
		}
	}
}

// steps visits all states that follow a state.
func (s *search) steps(from state) {
	to := from
	to.now++
	s.visit(to, "a tick")
	for i, m := range from.late {
		if m != (message{}) {
			to := from
			to.late[i] = message{}
			s.visit(to, "the loss of a write")
			to.commit(m.condition, m.after, replied)
			s.visit(to, "a late write")
		}
	}
	for i := range from.hosts {
		h := &from.hosts[i]
		if h.life == 0 {
			to := from
			to.hosts[i] = member{writer: h.writer + searchHosts, life: 1}
			s.visit(to, "a start of host %d", i)
		}
		for _, o := range outcomes {
			s.end(from, int8(i), o)
			if !h.owns {
				s.takeOver(from, int8(i), o)
				continue
			}
			s.list(from, int8(i), o)
			for heir := range from.hosts {
				if heir != i {
					s.handOver(from, int8(i), int8(heir), false, o)
					s.handOver(from, int8(i), int8(heir), true, o)
				}
			}
		}
		s.accepted(from, int8(i))
		if h.owns {
			s.readRecord(from, int8(i))
			to := from
			s.resolve(&to, int8(i), to.hosts[i].known)
			s.visit(to, "a refresh of host %d", i)
		}
	}
}

// change is ownership.Manager.newChange.
func (h *member) change() record {
	after := h.known
	h.lastSerial = max(h.lastSerial, h.known.serial) + 1
	after.serial, after.writer, after.released = h.lastSerial, h.writer, false
	return after
}

// rewrite is ownership.Manager.rewriteRecord.
func (s *search) rewrite(h *member, r record) record {
	if s.fault == sharedSerial {
		r.serial++
	} else {
		h.lastSerial = max(h.lastSerial, r.serial) + 1
		r.serial = h.lastSerial
	}
	r.writer, r.released = h.writer, false
	return r
}

func (s *search) list(from state, i int8, o outcome) {
	to := from
	h := &to.hosts[i]
	if h.known.listed == searchResults || h.known.ended || !h.claim.MayList(at(int(to.now))) {
		return
	}
	after := h.change()
	after.listed++
	if s.write(&to, i, after, o) {
		s.visit(to, "a list of host %d, %d", i, o)
	}
}

// handOver gives the job to an heir. A host that stops forgets it before the write. If the
// record has changed it is read, and the job given away alone.
func (s *search) handOver(from state, i, heir int8, stops bool, o outcome) {
	to := from
	h := &to.hosts[i]
	if h.known.ended {
		return
	}
	released := h.claim.MayList(at(int(to.now))) || s.fault == alwaysReleased
	if to.store.revision != h.known.revision {
		s.resolve(&to, i, h.change())
		if !h.owns || h.known.owner != i || h.known.ended {
			return
		}
		if s.fault != markDecidedOnce {
			released = h.claim.MayList(at(int(to.now)))
		}
	}
	after := h.change()
	after.owner, after.released = heir, released
	if s.write(&to, i, after, o) {
		if stops {
			h.owns, h.stopping = false, true
		}
		s.visit(to, "a hand-over of host %d, %d", i, o)
	}
}

// write is ownership.Manager.write.
func (s *search) write(to *state, i int8, after record, o outcome) (ok bool) {
	h := &to.hosts[i]
	if s.fault != noUnsettled {
		h.claim.BeginWrite()
	}
	done, ok := to.commit(h.known.revision, after, o)
	switch {
	case !ok:
		return false
	case o != replied:
	case done:
		s.apply(to, i, to.store)
	default:
		h.claim.CancelWrite()
		s.resolve(to, i, after)
	}
	return true
}

// apply is ownership.Manager.applyWrite.
func (s *search) apply(to *state, i int8, r record) {
	h := &to.hosts[i]
	h.known = r
	if r.owner != i && s.fault != keptAfterLetGo {
		h.owns = false
		return
	}
	h.claim.Settle(at(int(to.now)))
}

// resolve is ownership.Manager.resolveConflicts; after is what was to be written, or
// what this host knows.
func (s *search) resolve(to *state, i int8, after record) {
	h, r := &to.hosts[i], to.store
	switch {
	case r.revision == h.known.revision:
		h.claim.Prove(at(int(to.now)))
	case r.writer == after.writer && r.serial == after.serial:
		after.revision = r.revision
		s.apply(to, i, after)
	case r.owner != i || r.listed != h.known.listed:
		h.owns = false
	default:
		h.claim.Settle(at(int(to.now)))
		if r.writer != h.writer && !r.released && s.fault != returnedListsNow {
			s.await(&h.claim, to.now)
		}
		h.known = r
	}
}

// readRecord is ownership.Manager.finishCheck, with a reply that comes at once or later.
func (s *search) readRecord(from state, i int8) {
	h := from.hosts[i]
	if h.read == 0 {
		to := from
		to.hosts[i].read, to.hosts[i].answer = to.now, to.store
		s.visit(to, "a slow read of host %d", i)
		h.read, h.answer = from.now, from.store
	}
	to := from
	r, n := h.answer, &to.hosts[i]
	n.read, n.answer = 0, record{}
	switch {
	case r.owner == i && !r.ended && r.listed <= n.known.listed:
		n.claim.Prove(at(int(h.read)))
	case r.owner == i && !r.ended && r.writer == n.writer:
		n.claim.ProveOwner(at(int(h.read)))
	default:
		n.claim.Withdraw()
		if r.revision > n.known.revision && (r.owner != i || r.listed > n.known.listed) {
			n.owns = false
		}
	}
	s.visit(to, "a read of host %d", i)
}

// accepted is ownership.Manager.resolveAcceptConflict: the host that accepted the job
// attempts it again, as it had no reply, and a slow call shows that it was done.
func (s *search) accepted(from state, i int8) {
	h := from.hosts[i]
	switch {
	case h.owns || h.stopping:
	case h.read == 0 && from.store.writer == h.writer && from.store.serial == first:
		from.hosts[i].read, from.hosts[i].answer = from.now, from.store
		s.visit(from, "an acceptance by host %d", i)
	case h.answer.writer == h.writer && h.answer.serial == first:
		n := &from.hosts[i]
		n.owns, n.known, n.claim = true, h.answer, s.newClaim(h.read)
		n.read, n.answer = 0, record{}
		if s.fault != lateAcceptance {
			n.claim.Withdraw()
		}
		s.visit(from, "the reply to an acceptance by host %d", i)
	}
}

// takeOver is ownership.Manager.tryTakeOver.
func (s *search) takeOver(from state, i int8, o outcome) {
	r := from.store
	to := from
	h := &to.hosts[i]
	if r.ended || r.listed == searchResults || h.stopping && s.fault != takenBackAtStop {
		return
	}
	released := r.released && r.owner == i
	if r.owner != i || r.writer != h.writer {
		r = s.rewrite(h, r)
		r.owner = i
		done, ok := to.commit(r.revision, r, o)
		if !ok {
			return
		}
		if !done || o != replied {
			s.visit(to, "a take-over by host %d, %d", i, o)
			return
		}
	} else if o != replied {
		return
	}
	h.owns, h.known, h.claim = true, to.store, s.newClaim(to.now)
	h.read, h.answer = 0, record{}
	if !released {
		s.await(&h.claim, to.now)
	}
	s.visit(to, "a take-over by host %d, %d", i, o)
}

// end is ownership.Manager.endUnowned, which any host may be in while it acquires the job.
func (s *search) end(from state, i int8, o outcome) {
	if from.store.ended {
		return
	}
	to := from
	h := &to.hosts[i]
	r := s.rewrite(h, to.store)
	r.ended = true
	if _, ok := to.commit(r.revision, r, o); ok {
		s.visit(to, "an end by host %d, %d", i, o)
	}
}

// explore searches the states within a number of steps from the start and returns what
// it found. At the start host 0 owns the job, or the next hosts have just taken it over one
// after the other, and none before them knows it.
func explore(f fault, takeOvers int8, depth int) (found string, states int) {
	s := &search{fault: f, seen: make(map[state]bool)}
	start := state{now: 1, revisions: 1, store: record{revision: 1, serial: first}}
	for i := range start.hosts {
		start.hosts[i].writer = int8(i)
	}
	owner := &start.hosts[0]
	owner.owns, owner.known, owner.claim, owner.lastSerial = true, start.store, s.newClaim(start.now), first
	s.visit(start, "the start")
	for i := range takeOvers {
		from := s.next[0]
		s.next = nil
		s.takeOver(from, i+1, replied)
	}
	for range depth {
		states := s.next
		s.next = nil
		for _, from := range states {
			if s.steps(from); s.found != "" {
				return s.found, len(s.seen)
			}
		}
	}
	return "", len(s.seen)
}

var _ = Describe("A search of all states of a job at three hosts", func() {
	DescribeTable("finds", func(f fault, takeOvers int8, depth int) {
		found, states := explore(f, takeOvers, depth)
		GinkgoWriter.Println(states, "states:", found)
		Expect(found).NotTo(BeEmpty())
	},
		func(f fault, _ int8, depth int) string { return fmt.Sprintf("within %d steps that %s", depth, f) },
		Entry(nil, noProofs, int8(0), 1),
		Entry(nil, noWait, int8(0), 2),
		Entry(nil, noUnsettled, int8(0), 1),
		Entry(nil, keptAfterLetGo, int8(0), 3),
		Entry(nil, alwaysReleased, int8(0), 4),
		Entry(nil, returnedListsNow, int8(2), 3),
		Entry(nil, markDecidedOnce, int8(2), 4),
		Entry(nil, proofOneTooLong, int8(0), 4),
		Entry(nil, sharedSerial, int8(0), 2),
		Entry(nil, takenBackAtStop, int8(0), 4),
		Entry(nil, lateAcceptance, int8(0), 4),
	)

	DescribeTable("finds no denial of a listed result, and no result that is not listed, if", func(takeOvers int8) {
		found, states := explore(noFault, takeOvers, *searchDepth)
		GinkgoWriter.Println(states, "states")
		Expect(found).To(BeEmpty())
	},
		Entry("the job has had one owner", int8(0)),
		Entry("the job has just been taken over", int8(1)),
		Entry("the job has just been taken over twice", int8(2)),
	)
})
