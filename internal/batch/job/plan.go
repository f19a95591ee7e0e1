package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// maxTries bounds the tries of one item that reached a back end.
	maxTries = 5
	// maxCrashes bounds the tries of one item that crashed a back end.
	maxCrashes = 2
	retryWait  = 250 * time.Millisecond
	retryMax   = 5 * time.Second
	passWait   = 250 * time.Millisecond
	passMax    = 10 * time.Second
	// probeInterval is the pace of new items while the waiting ones fill the window.
	probeInterval = 100 * time.Millisecond
	// parkedWait is after what time a parked item runs without its release.
	parkedWait = 10 * time.Minute
	// reserveItems is how many items a checkpoint allows to start.
	reserveItems = 4096
	// maxResultBytes bounds one result line, so that it fits a chunk.
	maxResultBytes = 640 << 10
)

// RunResult is how one run of an item ended; Failure is nil for a response.
type RunResult struct {
	Response item.Response
	Failure  *result.Error
	// Weight is the weight of the item's service, zero if not known.
	Weight int
	// Parked, if set, is what the item waits for instead of a time.
	Parked *ParkedItem
}

// ParkedItem is what an item waits for that is known to be absent.
type ParkedItem struct {
	// ID is the id of the item's request.
	ID   string
	Gate string
	// Started is when the run began that found it absent, zero for none.
	Started time.Time
	Weight  int
	Due     time.Time
}

// phase is where a plan stands between two final states.
type phase uint8

const (
	// running hands out items.
	running phase = iota
	// stopping waits for the items in progress.
	stopping
	// listing writes the items that were not run into the error file.
	listing
	// ended has nothing left to do but its last checkpoint.
	ended
)

// trial is one item that was handed out and has no result yet.
type trial struct {
	number  int
	item    *item.Item
	tries   int
	crashes int
	// next is when a waiting item is handed out again, wait how long it waited.
	next time.Time
	wait time.Duration
	// last is the failure of the last run, nil before it.
	last *result.Error
	// parked says that the item waits at a gate.
	parked bool
}

// outcome is the result line of one item.
type outcome struct {
	number int
	failed bool
	line   []byte
}

// Plan decides how one job runs. Its memory is bounded by the window, one
// input chunk, three sets of item numbers and the results not yet written.
type Plan struct {
	// record is as last written, or as it is to be created.
	record  Record
	created bool
	// durable holds the items in written checkpoints; seen those and the
	// pending ones; touched those that may have been started.
	durable bitmap
	seen    bitmap
	touched bitmap
	// inherited is the record's Reserved when the plan began: items below it
	// may have been started by an earlier holder.
	inherited int

	window  int
	weight  int
	running map[int]*trial
	waiting map[int]*trial

	// chunk is the input chunk that is scanned, lines its rest, number the
	// item of the next line. loaded says that lines are those of chunk.
	chunk   int
	lines   []byte
	number  int
	loaded  bool
	reading bool
	readAt  time.Time
	backoff time.Duration
	// deferred counts items of this pass that were left for the next one.
	deferred int
	progress bool
	pause    time.Duration
	probeAt  time.Time
	// parked are the items that are to be parked.
	parked []Action

	pending      []outcome
	pendingBytes int
	oldest       time.Time
	// urgent asks for a checkpoint without delay.
	urgent bool

	phase phase
	final State
	cause string
}

// newPlan returns the plan of a job whose done items are given.
func newPlan(record Record, done bitmap, created bool) *Plan {
	p := &Plan{
		record: record, created: created, durable: done, inherited: record.Reserved, weight: 1,
		seen: bytes.Clone(done), touched: newBitmap(record.Total), window: minWindow,
		running: make(map[int]*trial), waiting: make(map[int]*trial),
	}
	if !created {
		p.inherited = 0
		p.record.Reserved = min(record.Total, reserveItems)
		p.urgent = true
	}
	if record.State == Cancelling {
		p.stop(Cancelled, causeCancelled)
	}
	return p
}

const (
	causeCancelled = "cancelled by the caller"
	causeExpired   = "job is past its due time"
)

// view returns the record with the results that are not written yet.
func (p *Plan) view() Record {
	c := p.record
	for _, o := range p.pending {
		c.count(o)
	}
	if p.final == Cancelled {
		c.State = Cancelling
	}
	return c
}

// stop ends the hand-out of items; the job ends as final.
func (p *Plan) stop(final State, cause string) []Action {
	p.phase, p.final, p.cause = stopping, final, cause
	p.urgent = true
	if len(p.running) == 0 {
		return nil
	}
	return []Action{{Kind: StopItems, Job: p.record.ID}}
}

// cancel stops the job for good unless it ends already.
func (p *Plan) cancel() []Action {
	if p.phase == ended || p.final == Cancelled {
		return nil
	}
	return p.stop(Cancelled, causeCancelled)
}

// step hands out what may run now; blocked says that no result fits.
func (p *Plan) step(now time.Time, blocked bool) []Action {
	if !p.created {
		return nil
	}
	actions := p.parked
	p.parked = nil
	if p.phase == running && !now.Before(p.record.Due) {
		actions = append(actions, p.stop(Expired, causeExpired)...)
	}
	switch p.phase {
	case running:
		actions = append(actions, p.handOut(now, blocked)...)
	case stopping:
		p.stopped()
	}
	if p.phase == listing {
		actions = append(actions, p.list(now, blocked)...)
	}
	return actions
}

// stopped goes on when no item is in progress any more.
func (p *Plan) stopped() {
	if len(p.running) > 0 {
		return
	}
	if p.final != Expired {
		p.end(p.final, p.cause)
		return
	}
	p.phase = listing
	p.rewind()
}

func (p *Plan) end(final State, cause string) {
	p.phase, p.final, p.cause = ended, final, cause
	p.lines, p.urgent = nil, true
	clear(p.waiting)
}

// rewind starts a pass over the input.
func (p *Plan) rewind() {
	p.chunk, p.number, p.lines, p.loaded = 0, 0, nil, false
	p.deferred, p.progress = 0, false
}

func (p *Plan) handOut(now time.Time, blocked bool) []Action {
	var actions []Action
	if blocked {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(p.waiting)) {
		t := p.waiting[n]
		if len(p.running) < p.window && !now.Before(t.next) {
			delete(p.waiting, n)
			actions = append(actions, p.start(t))
		}
	}
	// What starts now may all have to wait, so no more of it than may wait.
	for fresh := 0; len(p.running) < p.window && p.phase == running; fresh++ {
		if len(p.waiting)+fresh >= p.window && now.Before(p.probeAt) {
			return actions
		}
		line, n, ok := p.next()
		if !ok {
			return append(actions, p.advance(now)...)
		}
		if n >= p.record.Reserved {
			p.unread(line)
			p.urgent = true
			return actions
		}
		if len(p.waiting)+fresh >= p.window {
			p.probeAt = now.Add(probeInterval)
		}
		i, failure := item.Parse(line, n+1)
		if failure != nil {
			p.add(now, n, item.Result{ID: itemID(p.record.ID, n), Error: item.NewFailure(failure)})
			continue
		}
		actions = append(actions, p.start(&trial{number: n, item: i}))
	}
	return actions
}

func (p *Plan) start(t *trial) Action {
	p.running[t.number] = t
	p.touched.add(t.number)
	t.parked = false
	return Action{Kind: RunItem, Job: p.record.ID, Number: t.number, Item: t.item}
}

// next returns the next item's line that has no result and is not held.
func (p *Plan) next() ([]byte, int, bool) {
	for len(p.lines) > 0 {
		line, rest, _ := bytes.Cut(p.lines, []byte("\n"))
		n := p.number
		p.lines = rest
		p.number++
		if n >= p.record.Total || p.seen.has(n) || p.running[n] != nil || p.waiting[n] != nil {
			continue
		}
		return line, n, true
	}
	return nil, 0, false
}

// unread puts back the line that next returned.
func (p *Plan) unread(line []byte) {
	whole := make([]byte, 0, len(line)+1+len(p.lines))
	p.lines = append(append(append(whole, line...), '\n'), p.lines...)
	p.number--
}

// advance asks for the next chunk that has items to run, or ends the pass.
func (p *Plan) advance(now time.Time) []Action {
	if p.reading || now.Before(p.readAt) {
		return nil
	}
	if p.loaded {
		p.chunk, p.loaded = p.chunk+1, false
	}
	for p.chunk < p.record.Chunks && p.chunkDone(p.chunk) {
		p.chunk++
	}
	if p.chunk < p.record.Chunks {
		p.reading = true
		return []Action{{Kind: ReadChunk, Job: p.record.ID, Chunk: p.chunk, File: p.record.InputFile}}
	}
	p.endPass(now)
	return nil
}

// chunkDone reports whether every item of a chunk is known to have a result.
func (p *Plan) chunkDone(chunk int) bool {
	if len(p.record.FirstItems) == 0 {
		return false
	}
	end := p.record.Total
	if chunk+1 < len(p.record.FirstItems) {
		end = p.record.FirstItems[chunk+1]
	}
	for n := p.record.FirstItems[chunk]; n < end; n++ {
		if !p.seen.has(n) {
			return false
		}
	}
	return true
}

// endPass ends the job if every item has a result and starts another pass if
// some were left out.
func (p *Plan) endPass(now time.Time) {
	if p.phase == listing {
		p.end(Expired, causeExpired)
		return
	}
	if len(p.running) > 0 {
		return
	}
	for n, t := range p.waiting {
		if p.deferred > 0 && t.tries == 0 && !t.parked {
			delete(p.waiting, n)
			p.deferred++
		}
	}
	if p.deferred == 0 {
		p.complete()
		return
	}
	p.pause = min(max(passWait, 2*p.pause), passMax)
	if p.progress {
		p.pause = passWait
	}
	p.readAt = now.Add(p.pause)
	p.rewind()
}

// complete ends the job when nothing is left to run.
func (p *Plan) complete() {
	c := p.view()
	switch {
	case len(p.waiting) > 0:
	case c.Completed+c.Failed < c.Total:
		p.end(Failed, "input file has fewer items than its manifest says")
	default:
		p.end(Completed, "")
	}
}

// list writes the items without a result into the error file, each with
// whether it may have run.
func (p *Plan) list(now time.Time, blocked bool) []Action {
	for !blocked && p.pendingBytes < checkpointBytes {
		line, n, ok := p.next()
		if !ok {
			return p.advance(now)
		}
		p.add(now, n, p.unfinished(n, line))
	}
	return nil
}

func (p *Plan) unfinished(n int, line []byte) item.Result {
	failure := result.New(result.DeadlinePassed, "item was not run: %s", causeExpired)
	if n < p.inherited || p.touched.has(n) {
		failure = result.New(result.DeadlinePassed, "item did not end in time: %s", causeExpired).WithRan(result.RanMaybe)
	}
	one := item.Result{ID: itemID(p.record.ID, n), Error: item.NewFailure(failure)}
	if i, bad := item.Parse(line, n+1); bad == nil {
		one.CustomID = i.CustomID()
	}
	return one
}

// chunkRead takes the lines of the chunk that was asked for.
func (p *Plan) chunkRead(now time.Time, chunk int, lines []byte, failure *result.Error) {
	p.reading = false
	switch {
	case chunk != p.chunk || (p.phase != running && p.phase != listing):
	case failure == nil:
		p.lines, p.loaded, p.backoff = lines, true, 0
		if len(p.record.FirstItems) > chunk {
			p.number = p.record.FirstItems[chunk]
		}
	case failure.Code() == result.StoreUnavailable:
		p.backoff = min(max(retryWait, 2*p.backoff), retryMax)
		p.readAt = now.Add(p.backoff)
	case p.phase == listing:
		p.end(Expired, failure.Error())
	default:
		p.stop(Failed, failure.Error())
	}
}

// returned takes the end of one run of an item.
func (p *Plan) returned(now time.Time, n int, a RunResult) {
	t, ok := p.running[n]
	if !ok {
		return
	}
	delete(p.running, n)
	p.weight = max(p.weight, a.Weight)
	one := item.Result{ID: itemID(p.record.ID, n), CustomID: t.item.CustomID()}
	if a.Failure == nil {
		one.Response = &a.Response
		p.add(now, n, one)
		return
	}
	t.count(a.Failure)
	switch {
	case permanent(a.Failure) && p.phase == running:
		one.Error = item.NewFailure(a.Failure)
		p.add(now, n, one)
	case t.tries >= maxTries || t.crashes >= maxCrashes:
		one.Error = item.NewFailure(a.Failure)
		one.Error.Message = fmt.Sprintf("given up after %d tries: %s", t.tries, one.Error.Message)
		p.add(now, n, one)
	default:
		p.later(now, t, a.Parked)
	}
}

// count adds a run that reached a back end and was not called off.
func (t *trial) count(failure *result.Error) {
	t.last = failure
	if failure.Ran() == result.RanNo || failure.Code() == result.Cancelled || failure.Code() == result.Stopping {
		return
	}
	t.tries++
	if failure.Code() == result.BackendCrashed {
		t.crashes++
	}
}

// later keeps an item for another try, or leaves it to the next pass if too
// many wait already and it never reached a back end.
func (p *Plan) later(now time.Time, t *trial, parked *ParkedItem) {
	if t.tries == 0 && t.last.Ran() == result.RanNo && t.number >= p.inherited {
		p.touched.remove(t.number)
	}
	if p.phase != running {
		return
	}
	if t.tries == 0 && len(p.waiting) >= p.window {
		p.deferred++
		return
	}
	p.waiting[t.number] = t
	if parked != nil {
		t.next, t.wait, t.parked = now.Add(parkedWait), 0, true
		p.parked = append(p.parked, Action{Kind: Park, Job: p.record.ID, Number: t.number, Parked: parked})
		return
	}
	t.wait = min(max(retryWait, 2*t.wait), retryMax)
	t.next = now.Add(t.wait)
}

// unparked lets a parked item run again.
func (p *Plan) unparked(now time.Time, n int) {
	if t, ok := p.waiting[n]; ok {
		t.next = now
	}
}

// permanent reports whether trying the item again can't help.
func permanent(e *result.Error) bool {
	switch e.Code() {
	case result.NoBackend, result.BackendFailed, result.BackendSilent, result.BackendCrashed, result.Overloaded,
		result.Cancelled, result.Stopping, result.QueueFull, result.RateLimited, result.ConcurrencyLimited,
		result.StoreUnavailable, result.DeadlineTooShort, result.DeadlinePassed, result.LeaseLost:
		return false
	}
	return true
}

// add keeps an item's result for the next checkpoint.
func (p *Plan) add(now time.Time, n int, one item.Result) {
	if p.seen.has(n) {
		return
	}
	line, err := json.Marshal(one)
	if err != nil {
		line = failureLine(one, result.New(result.BackendFailed, "answer is not JSON: %v", err).WithRan(result.RanYes))
		one.Error = &item.Failure{}
	} else if len(line) > maxResultBytes {
		line = failureLine(one, result.New(result.BodyTooLarge, "answer is over %d bytes", maxResultBytes).WithRan(result.RanYes))
		one.Error = &item.Failure{}
	}
	if len(p.pending) == 0 {
		p.oldest = now
	}
	p.seen.add(n)
	p.progress = true
	p.pending = append(p.pending, outcome{number: n, failed: one.Error != nil, line: line})
	p.pendingBytes += len(line)
}

func failureLine(one item.Result, failure *result.Error) []byte {
	line, err := json.Marshal(item.Result{ID: one.ID, CustomID: one.CustomID, Error: item.NewFailure(failure)})
	if err != nil {
		panic("item failure can't be encoded: " + err.Error())
	}
	return line
}

// itemID returns the request id of a job's item, the same on every holder.
func itemID(job string, n int) string { return fmt.Sprintf("%s-%06d", job, n) }
