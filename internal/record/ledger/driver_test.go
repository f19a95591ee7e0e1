package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
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

// mishap is what happens around one write of a group.
type mishap int

const (
	none mishap = iota
	refuse
	loseReply
	crashBefore
	crashAfter
	pauseBefore
	pauseAfter
	mishaps
)

func (m mishap) String() string {
	return [...]string{"none", "refuse", "lose reply", "crash before", "crash after", "pause before", "pause after"}[m]
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type answer struct {
	failure *result.Error
	found   ledger.Entry
}

// holder is one holding of the shard.
type holder struct {
	name    string
	token   int64
	session store.LeaseID
	shard   *ledger.Shard
	queue   []ledger.Action
	answers map[ledger.Ticket]answer
	serial  ledger.Ticket
	dead    bool
	// until is the end of a pause.
	until time.Time
}

// world connects shards and owners with the stand-in store, step by step.
type world struct {
	clock   *timer.Manual
	kv      *platform.KV
	holders []*holder
	owners  []*owner
	commits int
	// mishaps is asked for each write of a group, by its number.
	mishaps func(commit int) mishap
	// ran counts the sends to the back end by key, held by attempt.
	ran        map[string]int
	ranAttempt map[string]int
	maxValue   int
	ttl        time.Duration
}

func newWorld(m func(int) mishap) *world {
	clock := timer.NewManual(start)
	return &world{
		clock: clock, kv: platform.NewKV(clock), mishaps: m,
		ran: make(map[string]int), ranAttempt: make(map[string]int), ttl: leaseTTL,
	}
}

// newSteadyWorld returns a world whose leases don't lapse.
func newSteadyWorld() *world {
	w := newWorld(nil)
	w.ttl = longTTL
	w.take()
	return w
}

var ctx = context.Background()

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// take lets a new holder take the shard if it is free.
func (w *world) take() {
	if _, taken, _ := w.kv.Get(ctx, zone.ShardName(0)); taken {
		return
	}
	h := &holder{name: fmt.Sprintf("host-%d", len(w.holders)), answers: make(map[ledger.Ticket]answer)}
	h.session = must(w.kv.Grant(ctx, w.ttl))
	must(w.kv.Commit(ctx, store.Txn{Puts: []store.Put{{Key: zone.ShardName(0), Value: []byte(h.name), Lease: h.session}}}))
	entry, _, _ := w.kv.Get(ctx, zone.ShardName(0))
	h.token = entry.CreateRevision
	h.shard = ledger.Open(ledger.Options{Writer: h.name, Host: h.name}, w.clock.Now(), w.groups())
	w.holders = append(w.holders, h)
}

func (w *world) groups() []*wire.Group {
	entries, _, _ := store.RangeAll(ctx, w.kv, ledger.GroupPrefix(0), 64)
	groups := make([]*wire.Group, len(entries))
	for i, entry := range entries {
		w.maxValue = max(w.maxValue, len(entry.Value))
		groups[i] = must(ledger.Decode(entry.Value))
	}
	return groups
}

// current returns the holder as the store lists it, nil if it can't be reached.
func (w *world) current() *holder {
	entry, ok, _ := w.kv.Get(ctx, zone.ShardName(0))
	if !ok {
		return nil
	}
	for _, h := range w.holders {
		if h.name == string(entry.Value) && !h.dead && !w.paused(h) {
			return h
		}
	}
	return nil
}

func (w *world) paused(h *holder) bool { return w.clock.Now().Before(h.until) }

// step advances the time and lets every part act once.
func (w *world) step(d time.Duration) {
	w.clock.Advance(d)
	w.take()
	for _, h := range w.holders {
		if h.dead || w.paused(h) {
			continue
		}
		_, _ = w.kv.KeepAlive(ctx, h.session)
		h.queue = append(h.queue, h.shard.Tick(w.clock.Now())...)
		w.drain(h)
	}
	for _, o := range w.owners {
		o.step(w)
	}
}

// run steps until the time end.
func (w *world) run(end time.Duration, d time.Duration) {
	for w.clock.Now().Sub(start) < end {
		w.step(d)
	}
}

// drain carries out a holder's actions; a repeated write or read waits for the
// next step.
func (w *world) drain(h *holder) {
	queue := h.queue
	h.queue = nil
	for len(queue) > 0 && !h.dead {
		if w.paused(h) {
			h.queue = append(queue, h.queue...)
			return
		}
		action := queue[0]
		queue = queue[1:]
		more, again := w.act(h, action)
		if again {
			h.queue = append(h.queue, more...)
			continue
		}
		queue = append(queue, more...)
	}
}

func (w *world) act(h *holder, a ledger.Action) (more []ledger.Action, again bool) {
	now := w.clock.Now()
	switch a.Kind {
	case ledger.ReplyTo:
		h.answers[a.Ticket] = answer{a.Failure, a.Found}
	case ledger.CommitGroup:
		return w.commit(h, a)
	case ledger.ReadGroup:
		entry, ok, err := w.kv.Get(ctx, ledger.GroupKey(0, a.Group.GetSequence()))
		held, holds, _ := w.kv.Get(ctx, zone.ShardName(0))
		read := ledger.ReadResult{Failed: err != nil, TokenValid: holds && held.CreateRevision == h.token}
		if ok {
			read.Writer = must(ledger.Decode(entry.Value)).GetWriter()
		}
		return h.shard.ReadBack(now, read), read.Failed
	case ledger.LoadClaim:
		return h.shard.ClaimLoaded(now, a.Found, ledger.Assemble(w.groups(), a.Found)), false
	case ledger.RunAgain:
		w.send(a.Found.Key, a.Found.Attempt)
		h.serial++
		return h.shard.Finish(now, h.serial, finishOf(a.Found.Key, a.Found.Attempt, ledger.Done)), false
	case ledger.ReadGroupRange:
		var run []*wire.Group
		for _, group := range w.groups() {
			if s := group.GetSequence(); s >= a.From && s <= a.To {
				run = append(run, group)
			}
		}
		h.shard.GroupRangeRead(now, run)
	}
	return nil, false
}

func (w *world) commit(h *holder, a ledger.Action) (more []ledger.Action, again bool) {
	m := none
	if w.mishaps != nil {
		m = w.mishaps(w.commits)
	}
	w.commits++
	value := must(ledger.Encode(a.Group))
	txn := recorder.GroupTxn(0, h.token, a.Group.GetSequence(), value, a.Deletes)
	switch m {
	case refuse:
		return h.shard.Committed(w.clock.Now(), ledger.NotWritten), true
	case crashBefore:
		h.dead = true
		return nil, false
	case pauseBefore:
		h.until = w.clock.Now().Add(pauseTime)
		return []ledger.Action{a}, true
	}
	outcome, err := w.kv.Commit(ctx, txn)
	result := ledger.Written
	switch {
	case errors.Is(err, store.ErrUnavailable):
		result = ledger.NotWritten
	case err != nil || m == loseReply:
		result = ledger.OutcomeUnknown
	case !outcome.Succeeded:
		result = ledger.CompareFailed
	}
	switch m {
	case crashAfter:
		h.dead = true
		return nil, false
	case pauseAfter:
		h.until = w.clock.Now().Add(pauseTime)
	}
	return h.shard.Committed(w.clock.Now(), result), result != ledger.Written
}

func (w *world) send(key, attempt string) {
	w.ran[key]++
	w.ranAttempt[attempt]++
}

func finishOf(key, attempt string, state ledger.State) *wire.FinishRequest {
	return &wire.FinishRequest{Key: key, Attempt: attempt, State: int32(state), Answer: []byte("answer of " + attempt)}
}

// lookup reads a key's durable state at the current holder.
func (w *world) lookup(key string) (ledger.Entry, *wire.Record) {
	h := w.current()
	h.serial++
	ticket := h.serial
	h.queue = append(h.queue, h.shard.Lookup(ticket, key)...)
	w.drain(h)
	for i := 0; i < 100; i++ {
		if _, ok := h.answers[ticket]; ok {
			break
		}
		w.step(fineStep)
	}
	found := h.answers[ticket].found
	return found, ledger.Assemble(w.groups(), found)
}

// phase is how far an owner has come.
type phase int

const (
	idle phase = iota
	claiming
	sending
	finishing
	abandoning
	ended
)

// owner runs one attempt of a request as the entry host of its caller does.
type owner struct {
	key, attempt string
	idempotent   bool
	begin        time.Duration
	// crash ends the owner when it reaches that phase.
	crash phase
	// keepClaim leaves an unclear claim as it is.
	keepClaim bool

	phase  phase
	since  time.Time
	unsure bool
	holder *holder
	ticket ledger.Ticket
	// told is what the caller heard: "answer", "not run", "maybe", "existing".
	told     string
	existing ledger.Entry
	called   int64
	returned int64
}

func (o *owner) step(w *world) {
	if o.phase == idle && w.clock.Now().Sub(start) >= o.begin {
		o.enter(claiming, w)
		o.called = w.clock.Now().UnixNano()
	}
	switch o.phase {
	case claiming, finishing, abandoning:
		o.exchange(w)
	case sending:
		w.send(o.key, o.attempt)
		o.enter(finishing, w)
	}
}

func (o *owner) enter(p phase, w *world) {
	o.phase, o.since, o.holder = p, w.clock.Now(), nil
	if p == o.crash {
		o.phase = ended
	}
}

func (o *owner) tell(told string, w *world) {
	o.told = told
	o.returned = w.clock.Now().UnixNano()
}

// exchange asks the holder until it answers or the claim's time is over.
func (o *owner) exchange(w *world) {
	if o.holder != nil {
		if a, ok := o.holder.answers[o.ticket]; ok {
			o.holder = nil
			o.answered(a, w)
			return
		}
		if o.holder.dead {
			o.unsure, o.holder = true, nil
		}
	}
	if o.phase == claiming && w.clock.Now().Sub(o.since) >= claimTimeout {
		o.unsure = o.unsure || o.holder != nil
		o.giveUp(w)
		return
	}
	if o.holder != nil && w.paused(o.holder) {
		o.unsure, o.holder = true, nil
	}
	if h := w.current(); o.holder == nil && h != nil {
		o.ask(h, w)
	}
}

func (o *owner) giveUp(w *world) {
	if !o.unsure {
		o.tell("not run", w)
		o.phase = ended
		return
	}
	o.tell("maybe", w)
	o.enter(abandoning, w)
	if o.keepClaim {
		o.phase = ended
	}
}

func (o *owner) ask(h *holder, w *world) {
	h.serial++
	o.holder, o.ticket = h, h.serial
	var actions []ledger.Action
	switch o.phase {
	case claiming:
		actions = h.shard.Claim(w.clock.Now(), o.ticket, &wire.ClaimRequest{
			Key: o.key, Attempt: o.attempt, Owner: "owner of " + o.attempt, Fingerprint: []byte("f"), Idempotent: o.idempotent,
			Request: &wire.RunRequest{Body: []byte("body")}, DeadlineInMs: 2000, KeepMs: time.Hour.Milliseconds(),
		})
	case finishing:
		actions = h.shard.Finish(w.clock.Now(), o.ticket, finishOf(o.key, o.attempt, ledger.Done))
	case abandoning:
		actions = h.shard.Finish(w.clock.Now(), o.ticket, finishOf(o.key, o.attempt, ledger.NotRun))
	}
	h.queue = append(h.queue, actions...)
	w.drain(h)
}

func (o *owner) answered(a answer, w *world) {
	if f := a.failure; f != nil && (f.Code() == result.LeaseLost || f.Code() == result.StoreUnavailable) {
		o.unsure = o.unsure || f.Ran() != result.RanNo
		return
	}
	switch {
	case o.phase != claiming:
		if o.phase == finishing {
			o.tell("answer", w)
		}
		o.phase = ended
	case a.found.State == ledger.Claimed && a.found.Attempt == o.attempt:
		o.returned = w.clock.Now().UnixNano()
		o.enter(sending, w)
	default:
		o.existing = a.found
		o.tell("existing", w)
		o.phase = ended
	}
}
