package ledger_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/record/recorder"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

const (
	leaseTTL     = 10 * time.Second
	longTTL      = 10_000 * time.Hour
	pauseTime    = 13 * time.Second
	claimTimeout = 5 * time.Second
	fineStep     = 50 * time.Millisecond
	coarseStep   = 250 * time.Millisecond
)

// fault is a failure injected into one write of a group.
type fault int

const (
	noFault fault = iota
	rejectWrite
	loseReply
	crashBefore
	crashAfter
	pauseBefore
	pauseAfter
	faultCount
)

func (f fault) String() string {
	return [...]string{"none", "refuse", "lose reply", "crash before", "crash after", "pause before", "pause after"}[f]
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type reply struct {
	failure *result.Error
	found   ledger.Entry
}

// holder is a host that holds, or held, the shard.
type holder struct {
	name       string
	token      int64
	session    store.LeaseID
	shard      *ledger.Shard
	queue      []ledger.Action
	replies    map[ledger.Ticket]reply
	lastTicket ledger.Ticket
	crashed    bool
	// The holder does nothing before pausedUntil.
	pausedUntil time.Time
}

// cluster simulates holders and owners that share an in-memory store, step by
// step on a manual clock.
type cluster struct {
	clock   *timer.Manual
	kv      *platform.KV
	holders []*holder
	owners  []*owner
	commits int
	// faults returns the fault for a write of a group by its number; nil
	// injects none.
	faults func(commit int) fault
	// sendsByKey and sendsByAttempt count the requests sent to the backend
	// server.
	sendsByKey     map[string]int
	sendsByAttempt map[string]int
	maxValueBytes  int
	ttl            time.Duration
}

func newCluster(faultFor func(int) fault) *cluster {
	clock := timer.NewManual(start)
	return &cluster{
		clock: clock, kv: platform.NewKV(clock), faults: faultFor,
		sendsByKey: make(map[string]int), sendsByAttempt: make(map[string]int), ttl: leaseTTL,
	}
}

// newStableCluster returns a cluster with one holder and leases that don't
// expire.
func newStableCluster() *cluster {
	c := newCluster(nil)
	c.ttl = longTTL
	c.acquire()
	return c
}

var ctx = context.Background()

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// acquire starts a new holder of the shard if it has none.
func (c *cluster) acquire() {
	if _, taken, _ := c.kv.Get(ctx, rendezvous.ShardName(0)); taken {
		return
	}
	h := &holder{name: fmt.Sprintf("host-%d", len(c.holders)), replies: make(map[ledger.Ticket]reply)}
	h.session = must(c.kv.Grant(ctx, c.ttl))
	must(c.kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: rendezvous.ShardName(0), Value: []byte(h.name), Lease: h.session}}}))
	entry, _, _ := c.kv.Get(ctx, rendezvous.ShardName(0))
	h.token = entry.CreateRevision
	h.shard = ledger.Open(ledger.Options{Writer: h.name, Host: h.name}, c.clock.Now(), c.groups())
	c.holders = append(c.holders, h)
}

func (c *cluster) groups() []*wire.Group {
	entries, _, _ := store.RangeAll(ctx, c.kv, ledger.GroupPrefix(0), 64)
	groups := make([]*wire.Group, len(entries))
	for i, entry := range entries {
		c.maxValueBytes = max(c.maxValueBytes, len(entry.Value))
		groups[i] = must(ledger.Decode(entry.Value))
	}
	return groups
}

// current returns the holder that the store lists, nil if there is none or it
// has crashed or is paused.
func (c *cluster) current() *holder {
	entry, ok, _ := c.kv.Get(ctx, rendezvous.ShardName(0))
	if !ok {
		return nil
	}
	for _, h := range c.holders {
		if h.name == string(entry.Value) && !h.crashed && !c.paused(h) {
			return h
		}
	}
	return nil
}

func (c *cluster) paused(h *holder) bool { return c.clock.Now().Before(h.pausedUntil) }

// step advances the clock by d and then runs each holder and owner once.
func (c *cluster) step(d time.Duration) {
	c.clock.Advance(d)
	c.acquire()
	for _, h := range c.holders {
		if h.crashed || c.paused(h) {
			continue
		}
		_, _ = c.kv.KeepAlive(ctx, h.session)
		h.queue = append(h.queue, h.shard.Tick(c.clock.Now())...)
		c.runActions(h)
	}
	for _, o := range c.owners {
		o.step(c)
	}
}

// run advances the clock in steps of d until end after the start.
func (c *cluster) run(end time.Duration, d time.Duration) {
	for c.clock.Now().Sub(start) < end {
		c.step(d)
	}
}

// runActions carries out a holder's queued actions. Actions that repeat a write
// or read stay queued until the next step.
func (c *cluster) runActions(h *holder) {
	queue := h.queue
	h.queue = nil
	for len(queue) > 0 && !h.crashed {
		if c.paused(h) {
			h.queue = append(queue, h.queue...)
			return
		}
		action := queue[0]
		queue = queue[1:]
		next, retry := c.execute(h, action)
		if retry {
			h.queue = append(h.queue, next...)
			continue
		}
		queue = append(queue, next...)
	}
}

func (c *cluster) execute(h *holder, a ledger.Action) (next []ledger.Action, retry bool) {
	now := c.clock.Now()
	switch a.Kind {
	case ledger.ReplyTo:
		h.replies[a.Ticket] = reply{a.Failure, a.Found}
	case ledger.CommitGroup:
		return c.commit(h, a)
	case ledger.ReadGroup:
		entry, ok, err := c.kv.Get(ctx, ledger.GroupKey(0, a.Group.GetSequence()))
		shardEntry, shardHeld, _ := c.kv.Get(ctx, rendezvous.ShardName(0))
		read := ledger.ReadResult{Failed: err != nil, TokenValid: shardHeld && shardEntry.CreateRevision == h.token}
		if ok {
			read.Writer = must(ledger.Decode(entry.Value)).GetWriter()
		}
		return h.shard.ReadBack(now, read), read.Failed
	case ledger.LoadClaim:
		return h.shard.ClaimLoaded(now, a.Found, ledger.Assemble(c.groups(), a.Found)), false
	case ledger.RunAgain:
		c.countSend(a.Found.Key, a.Found.Attempt)
		h.lastTicket++
		return h.shard.Finish(now, h.lastTicket, finishOf(a.Found.Key, a.Found.Attempt, ledger.Done)), false
	case ledger.ReadGroupRange:
		var selected []*wire.Group
		for _, group := range c.groups() {
			if s := group.GetSequence(); s >= a.From && s <= a.To {
				selected = append(selected, group)
			}
		}
		h.shard.GroupRangeRead(now, selected)
	}
	return nil, false
}

func (c *cluster) commit(h *holder, a ledger.Action) (next []ledger.Action, retry bool) {
	injected := noFault
	if c.faults != nil {
		injected = c.faults(c.commits)
	}
	c.commits++
	value := must(ledger.Encode(a.Group))
	txn := recorder.GroupTxn(0, h.token, a.Group.GetSequence(), value, a.Deletes)
	switch injected {
	case rejectWrite:
		if !h.shard.BeginWrite(a.Group) {
			return nil, false
		}
		return h.shard.Committed(c.clock.Now(), ledger.NotWritten), true
	case crashBefore:
		h.crashed = true
		return nil, false
	case pauseBefore:
		h.pausedUntil = c.clock.Now().Add(pauseTime)
		return []ledger.Action{a}, true
	}
	if !h.shard.BeginWrite(a.Group) {
		return nil, false
	}
	outcome, err := c.kv.Commit(ctx, txn)
	committed := ledger.Written
	switch {
	case errors.Is(err, store.ErrUnavailable):
		committed = ledger.NotWritten
	case err != nil || injected == loseReply:
		committed = ledger.OutcomeUnknown
	case !outcome.Succeeded:
		committed = ledger.CompareFailed
	}
	switch injected {
	case crashAfter:
		h.crashed = true
		return nil, false
	case pauseAfter:
		h.pausedUntil = c.clock.Now().Add(pauseTime)
	}
	return h.shard.Committed(c.clock.Now(), committed), committed != ledger.Written
}

func (c *cluster) countSend(key, attempt string) {
	c.sendsByKey[key]++
	c.sendsByAttempt[attempt]++
}

func finishOf(key, attempt string, state ledger.State) *wire.FinishRequest {
	return &wire.FinishRequest{Key: key, Attempt: attempt, State: int32(state), Answer: []byte("answer of " + attempt)}
}

// lookup returns a key's durable state from the current holder and its record
// from the store.
func (c *cluster) lookup(key string) (ledger.Entry, *wire.Record) {
	h := c.current()
	h.lastTicket++
	ticket := h.lastTicket
	h.queue = append(h.queue, h.shard.Lookup(ticket, key)...)
	c.runActions(h)
	for i := 0; i < 100; i++ {
		if _, ok := h.replies[ticket]; ok {
			break
		}
		c.step(fineStep)
	}
	found := h.replies[ticket].found
	return found, ledger.Assemble(c.groups(), found)
}

// phase is the progress of an owner.
type phase int

const (
	idle phase = iota
	claiming
	sending
	finishing
	abandoning
	ended
)

// owner runs one attempt of a request like the host that received it.
type owner struct {
	key, attempt string
	idempotent   bool
	startAfter   time.Duration
	// The owner crashes when it enters crashPhase; idle is never entered.
	crashPhase phase
	// giveUpAfter is how long the owner waits for its claim, claimTimeout if zero.
	giveUpAfter time.Duration
	// skipAbandon ends the owner without abandoning a claim that may have
	// been recorded.
	skipAbandon bool

	phase              phase
	phaseStart         time.Time
	claimMaybeRecorded bool
	holder             *holder
	ticket             ledger.Ticket
	// reported is the result reported to the caller: "answer", "not run",
	// "maybe" or "existing".
	reported   string
	existing   ledger.Entry
	callTime   int64
	returnTime int64
}

func (o *owner) step(c *cluster) {
	if o.phase == idle && c.clock.Now().Sub(start) >= o.startAfter {
		o.enter(claiming, c)
		o.callTime = c.clock.Now().UnixNano()
	}
	switch o.phase {
	case claiming, finishing, abandoning:
		o.pollHolder(c)
	case sending:
		c.countSend(o.key, o.attempt)
		o.enter(finishing, c)
	}
}

func (o *owner) enter(p phase, c *cluster) {
	o.phase, o.phaseStart, o.holder = p, c.clock.Now(), nil
	if p == o.crashPhase {
		o.phase = ended
	}
}

func (o *owner) report(reported string, c *cluster) {
	o.reported = reported
	o.returnTime = c.clock.Now().UnixNano()
}

// pollHolder sends the request of the current phase to the holder, again if the
// holder crashed or paused, until there is a reply or the claim times out.
func (o *owner) pollHolder(c *cluster) {
	if o.holder != nil {
		if r, ok := o.holder.replies[o.ticket]; ok {
			o.holder = nil
			o.handleReply(r, c)
			return
		}
		if o.holder.crashed {
			o.claimMaybeRecorded, o.holder = true, nil
		}
	}
	if o.phase == claiming && c.clock.Now().Sub(o.phaseStart) >= cmp.Or(o.giveUpAfter, claimTimeout) {
		o.claimMaybeRecorded = o.claimMaybeRecorded || !o.giveUp(c)
		o.timeOut(c)
		return
	}
	if o.holder != nil && c.paused(o.holder) {
		o.claimMaybeRecorded, o.holder = true, nil
	}
	if h := c.current(); o.holder == nil && h != nil {
		o.sendRequest(h, c)
	}
}

// giveUp ends the wait for the holder's reply and reports whether the claim is
// certainly not durable.
func (o *owner) giveUp(c *cluster) bool {
	h := o.holder
	if h == nil {
		return true
	}
	if c.paused(h) {
		return false
	}
	actions, failure := h.shard.GiveUp(c.clock.Now(), o.ticket, o.key, o.attempt)
	h.queue = append(h.queue, actions...)
	c.runActions(h)
	return failure.Ran() == result.RanNo
}

func (o *owner) timeOut(c *cluster) {
	if !o.claimMaybeRecorded {
		o.report("not run", c)
		o.phase = ended
		return
	}
	o.report("maybe", c)
	o.enter(abandoning, c)
	if o.skipAbandon {
		o.phase = ended
	}
}

func (o *owner) sendRequest(h *holder, c *cluster) {
	h.lastTicket++
	o.holder, o.ticket = h, h.lastTicket
	var actions []ledger.Action
	switch o.phase {
	case claiming:
		actions = h.shard.Claim(c.clock.Now(), o.ticket, &wire.ClaimRequest{
			Key: o.key, Attempt: o.attempt, Owner: "owner of " + o.attempt, Fingerprint: []byte("f"), Idempotent: o.idempotent,
			Request: &wire.RunRequest{Body: []byte("body")}, DeadlineInMs: 2000, KeepMs: time.Hour.Milliseconds(),
		})
	case finishing:
		actions = h.shard.Finish(c.clock.Now(), o.ticket, finishOf(o.key, o.attempt, ledger.Done))
	case abandoning:
		actions = h.shard.Finish(c.clock.Now(), o.ticket, finishOf(o.key, o.attempt, ledger.NotRun))
	}
	h.queue = append(h.queue, actions...)
	c.runActions(h)
}

func (o *owner) handleReply(r reply, c *cluster) {
	if f := r.failure; f != nil && (f.Code() == result.LeaseLost || f.Code() == result.StoreUnavailable) {
		o.claimMaybeRecorded = o.claimMaybeRecorded || f.Ran() != result.RanNo
		return
	}
	switch {
	case o.phase != claiming:
		if o.phase == finishing {
			o.report("answer", c)
		}
		o.phase = ended
	case r.found.State == ledger.Claimed && r.found.Attempt == o.attempt:
		o.returnTime = c.clock.Now().UnixNano()
		o.enter(sending, c)
	default:
		o.existing = r.found
		o.report("existing", c)
		o.phase = ended
	}
}
