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
	// maxAttempts is the maximum number of runs of one item that reached a
	// backend server.
	maxAttempts = 5
	// maxCrashes is the maximum number of runs of one item that crashed a
	// backend server.
	maxCrashes     = 2
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
	minPassBackoff = 250 * time.Millisecond
	maxPassBackoff = 10 * time.Second
	// probeInterval is the time between two new items while the items that wait
	// for a retry fill the window.
	probeInterval = 100 * time.Millisecond
	// parkTimeout is the time after which a parked item runs even though it was
	// not released.
	parkTimeout = 10 * time.Minute
	// reservedAhead is how far beyond the scan position a checkpoint sets
	// Record.Reserved.
	reservedAhead = 4096
	// maxResultBytes limits a result line, so that it fits into a chunk.
	maxResultBytes = 640 << 10
)

// RunResult is the result of one run of an item: a response, or a failure if
// Failure is not nil.
type RunResult struct {
	Response item.Response
	Failure  *result.Error
	// Weight is the weight of the item's service, zero if unknown.
	Weight int
	// Parked is set if a failed item has to wait at a gate instead of for a
	// backoff.
	Parked *ParkedItem
}

// ParkedItem describes an item that waits at a gate because its model or service
// is unavailable.
type ParkedItem struct {
	// ID is the request ID of the item.
	ID string
	// Gate is the name of the gate.
	Gate string
	// Started is the start of the run that found the model or service
	// unavailable; zero if the item was parked without a run.
	Started time.Time
	Weight  int
	Due     time.Time
}

// phase is the phase of a job that is not final.
type phase uint8

const (
	// running starts items.
	running phase = iota
	// stopping waits for the items in progress.
	stopping
	// listing writes the items without a result to the error file.
	listing
	// ended waits for the last checkpoint.
	ended
)

// task is an item that was started and has no result yet. It is either running
// or waiting to be retried.
type task struct {
	number   int
	item     *item.Item
	attempts int
	crashes  int
	// retryAt is the time of the next run; backoff is the last delay before it.
	retryAt time.Time
	backoff time.Duration
	// lastFailure is the failure of the last run, nil before the first.
	lastFailure *result.Error
	// parked is set while the item waits at a gate.
	parked bool
}

// resultLine is the result of one item, encoded as a line of a result file.
type resultLine struct {
	number int
	failed bool
	text   []byte
}

// Plan is the state machine of one job. It scans the input in passes: a pass
// starts the items that have no result and defers those that it can't run to the
// next pass. The memory of a Plan is bounded by the window, one input chunk, three
// sets of item numbers and the results that are not yet written.
type Plan struct {
	// record is the last written record, or the record to create if created is
	// false.
	record  Record
	created bool
	// durable holds the items whose results are in written checkpoints,
	// withResult also those with a pending result, and maybeStarted the items
	// that may have been started.
	durable      bitmap
	withResult   bitmap
	maybeStarted bitmap
	// priorReserved is Record.Reserved as it was loaded: items below it may have
	// been started by an earlier holder.
	priorReserved int

	// window is the maximum number of running items. It also limits the waiting
	// items that have not reached a backend server.
	window  int
	weight  int
	running map[int]*task
	waiting map[int]*task

	// chunk is the input chunk that is scanned, lines its unread lines and
	// nextNumber the item number of the next line. loaded is set once the lines
	// of chunk have been read, reading while they are requested.
	chunk       int
	lines       []byte
	nextNumber  int
	loaded      bool
	reading     bool
	nextRead    time.Time
	readBackoff time.Duration
	// deferred counts the items that this pass leaves for the next one; progress
	// is set if the pass has produced a result.
	deferred    int
	progress    bool
	passBackoff time.Duration
	nextProbe   time.Time
	// parkActions holds the Park actions for the next step to return.
	parkActions []Action

	pending       []resultLine
	pendingBytes  int
	oldestPending time.Time
	// checkpointNow is set if the job must be written without waiting until its
	// results are old or large enough.
	checkpointNow bool

	phase      phase
	finalState State
	cause      string
}

// newPlan returns the plan of a job. done is the set of items with a durable
// result; created is false for a job that is not in the store yet.
func newPlan(record Record, done bitmap, created bool) *Plan {
	p := &Plan{
		record: record, created: created, durable: done, priorReserved: record.Reserved, weight: 1,
		withResult: bytes.Clone(done), maybeStarted: newBitmap(record.Total), window: minWindow,
		running: make(map[int]*task), waiting: make(map[int]*task),
	}
	if !created {
		p.priorReserved = 0
		p.record.Reserved = min(record.Total, reservedAhead)
		p.checkpointNow = true
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

// snapshot returns the current record. Unlike the last written one, it counts the
// pending results and shows a cancellation that is not yet written.
func (p *Plan) snapshot() Record {
	c := p.record
	for _, r := range p.pending {
		c.count(r)
	}
	if p.finalState == Cancelled {
		c.State = Cancelling
	}
	return c
}

// stop cancels the running items and prevents further starts. Once no item is
// running, the job ends in the state final.
func (p *Plan) stop(final State, cause string) []Action {
	p.phase, p.finalState, p.cause = stopping, final, cause
	p.checkpointNow = true
	if len(p.running) == 0 {
		return nil
	}
	return []Action{{Kind: StopItems, Job: p.record.ID}}
}

// cancel cancels the job unless it has ended or is being cancelled.
func (p *Plan) cancel() []Action {
	if p.phase == ended || p.finalState == Cancelled {
		return nil
	}
	return p.stop(Cancelled, causeCancelled)
}

// step returns the actions that are due. If blocked is set, the shard's limit of
// pending results is reached and no items are started or listed.
func (p *Plan) step(now time.Time, blocked bool) []Action {
	if !p.created {
		return nil
	}
	actions := p.parkActions
	p.parkActions = nil
	if p.phase == running && !now.Before(p.record.Due) {
		actions = append(actions, p.stop(Expired, causeExpired)...)
	}
	switch p.phase {
	case running:
		actions = append(actions, p.startItems(now, blocked)...)
	case stopping:
		p.finishStop()
	}
	if p.phase == listing {
		actions = append(actions, p.listUnfinished(now, blocked)...)
	}
	return actions
}

// finishStop leaves the stopping phase when no item is running. An expired job
// first lists its unfinished items in the error file.
func (p *Plan) finishStop() {
	if len(p.running) > 0 {
		return
	}
	if p.finalState != Expired {
		p.end(p.finalState, p.cause)
		return
	}
	p.phase = listing
	p.startPass()
}

// end ends the job; the next checkpoint writes its final state.
func (p *Plan) end(final State, cause string) {
	p.phase, p.finalState, p.cause = ended, final, cause
	p.lines, p.checkpointNow = nil, true
	clear(p.waiting)
}

// startPass starts a new pass over the input.
func (p *Plan) startPass() {
	p.chunk, p.nextNumber, p.lines, p.loaded = 0, 0, nil, false
	p.deferred, p.progress = 0, false
}

// startItems starts the waiting items whose retry is due and then items of the
// input, until the window is full.
func (p *Plan) startItems(now time.Time, blocked bool) []Action {
	var actions []Action
	if blocked {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(p.waiting)) {
		t := p.waiting[n]
		if len(p.running) < p.window && !now.Before(t.retryAt) {
			delete(p.waiting, n)
			actions = append(actions, p.startItem(t))
		}
	}
	// Any new item may have to wait because its model or service is unavailable.
	// Count new items as waiting, so that the waiting items stay within the
	// window.
	for newItems := 0; len(p.running) < p.window && p.phase == running; newItems++ {
		if len(p.waiting)+newItems >= p.window && now.Before(p.nextProbe) {
			return actions
		}
		line, n, ok := p.nextLine()
		if !ok {
			return append(actions, p.nextChunk(now)...)
		}
		if n >= p.record.Reserved {
			p.unreadLine(line)
			p.checkpointNow = true
			return actions
		}
		if len(p.waiting)+newItems >= p.window {
			p.nextProbe = now.Add(probeInterval)
		}
		i, failure := item.Parse(line, n+1)
		if failure != nil {
			p.addResult(now, n, item.Result{ID: itemID(p.record.ID, n), Error: item.NewFailure(failure)})
			continue
		}
		actions = append(actions, p.startItem(&task{number: n, item: i}))
	}
	return actions
}

func (p *Plan) startItem(t *task) Action {
	p.running[t.number] = t
	p.maybeStarted.add(t.number)
	t.parked = false
	return Action{Kind: RunItem, Job: p.record.ID, Number: t.number, Item: t.item}
}

// nextLine returns the next line of the chunk whose item has no result and is
// neither running nor waiting, and the item's number.
func (p *Plan) nextLine() ([]byte, int, bool) {
	for len(p.lines) > 0 {
		line, rest, _ := bytes.Cut(p.lines, []byte("\n"))
		n := p.nextNumber
		p.lines = rest
		p.nextNumber++
		if n >= p.record.Total || p.withResult.has(n) || p.running[n] != nil || p.waiting[n] != nil {
			continue
		}
		return line, n, true
	}
	return nil, 0, false
}

// unreadLine puts back the line that nextLine returned.
func (p *Plan) unreadLine(line []byte) {
	buffer := make([]byte, 0, len(line)+1+len(p.lines))
	p.lines = append(append(append(buffer, line...), '\n'), p.lines...)
	p.nextNumber--
}

// nextChunk requests the next chunk with an item that may lack a result, or ends
// the pass if there is none.
func (p *Plan) nextChunk(now time.Time) []Action {
	if p.reading || now.Before(p.nextRead) {
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

// chunkDone reports whether every item of a chunk has a result. It returns false
// if the first items of the chunks are unknown.
func (p *Plan) chunkDone(chunk int) bool {
	if len(p.record.FirstItems) == 0 {
		return false
	}
	end := p.record.Total
	if chunk+1 < len(p.record.FirstItems) {
		end = p.record.FirstItems[chunk+1]
	}
	for n := p.record.FirstItems[chunk]; n < end; n++ {
		if !p.withResult.has(n) {
			return false
		}
	}
	return true
}

// endPass ends a pass once no item is running. If items were deferred, it starts
// another pass after a delay that doubles with each pass without a result, and
// also defers the waiting items that are not parked and have not reached a
// backend server.
// Otherwise it ends the job if no item waits. In the listing phase it ends the
// job at once.
func (p *Plan) endPass(now time.Time) {
	if p.phase == listing {
		p.end(Expired, causeExpired)
		return
	}
	if len(p.running) > 0 {
		return
	}
	for n, t := range p.waiting {
		if p.deferred > 0 && t.attempts == 0 && !t.parked {
			delete(p.waiting, n)
			p.deferred++
		}
	}
	if p.deferred == 0 {
		p.complete()
		return
	}
	p.passBackoff = min(max(minPassBackoff, 2*p.passBackoff), maxPassBackoff)
	if p.progress {
		p.passBackoff = minPassBackoff
	}
	p.nextRead = now.Add(p.passBackoff)
	p.startPass()
}

// complete ends the job if no item waits.
func (p *Plan) complete() {
	c := p.snapshot()
	switch {
	case len(p.waiting) > 0:
	case c.Completed+c.Failed < c.Total:
		p.end(Failed, "input file has fewer items than its manifest says")
	default:
		p.end(Completed, "")
	}
}

// listUnfinished adds an error result for each item of an expired job that has no
// result. The result says whether the item may have run.
func (p *Plan) listUnfinished(now time.Time, blocked bool) []Action {
	for !blocked && p.pendingBytes < maxCheckpointBytes {
		line, n, ok := p.nextLine()
		if !ok {
			return p.nextChunk(now)
		}
		p.addResult(now, n, p.unfinishedResult(n, line))
	}
	return nil
}

// unfinishedResult returns the error result of item n of an expired job.
func (p *Plan) unfinishedResult(n int, line []byte) item.Result {
	failure := result.New(result.DeadlinePassed, "item was not run: %s", causeExpired)
	if n < p.priorReserved || p.maybeStarted.has(n) {
		failure = result.New(result.DeadlinePassed, "item did not end in time: %s", causeExpired).WithRan(result.RanMaybe)
	}
	r := item.Result{ID: itemID(p.record.ID, n), Error: item.NewFailure(failure)}
	if i, parseFailure := item.Parse(line, n+1); parseFailure == nil {
		r.CustomID = i.CustomID()
	}
	return r
}

// chunkRead handles the lines of a requested chunk or the failure to read it.
func (p *Plan) chunkRead(now time.Time, chunk int, lines []byte, failure *result.Error) {
	p.reading = false
	switch {
	case chunk != p.chunk || (p.phase != running && p.phase != listing):
	case failure == nil:
		p.lines, p.loaded, p.readBackoff = lines, true, 0
		if len(p.record.FirstItems) > chunk {
			p.nextNumber = p.record.FirstItems[chunk]
		}
	case failure.Code() == result.StoreUnavailable:
		p.readBackoff = min(max(minBackoff, 2*p.readBackoff), maxBackoff)
		p.nextRead = now.Add(p.readBackoff)
	case p.phase == listing:
		p.end(Expired, failure.Error())
	default:
		p.stop(Failed, failure.Error())
	}
}

// itemEnded handles the result of one run of item n.
func (p *Plan) itemEnded(now time.Time, n int, runResult RunResult) {
	t, ok := p.running[n]
	if !ok {
		return
	}
	delete(p.running, n)
	p.weight = max(p.weight, runResult.Weight)
	r := item.Result{ID: itemID(p.record.ID, n), CustomID: t.item.CustomID()}
	if runResult.Failure == nil {
		r.Response = &runResult.Response
		p.addResult(now, n, r)
		return
	}
	t.recordFailure(runResult.Failure)
	switch {
	case permanent(runResult.Failure) && p.phase == running:
		r.Error = item.NewFailure(runResult.Failure)
		p.addResult(now, n, r)
	case t.attempts >= maxAttempts || t.crashes >= maxCrashes:
		r.Error = item.NewFailure(runResult.Failure)
		r.Error.Message = fmt.Sprintf("given up after %d tries: %s", t.attempts, r.Error.Message)
		p.addResult(now, n, r)
	default:
		p.scheduleRetry(now, t, runResult.Parked)
	}
}

// recordFailure stores the failure and counts the run as an attempt, unless the
// run did not reach a backend server, was cancelled, or ended because the host was
// stopping or the backend server leaving.
func (t *task) recordFailure(failure *result.Error) {
	t.lastFailure = failure
	if failure.Ran() == result.RanNo || failure.Code() == result.Cancelled || failure.Code() == result.Stopping {
		return
	}
	t.attempts++
	if failure.Code() == result.BackendCrashed {
		t.crashes++
	}
}

// scheduleRetry parks an item or schedules its next run. If the waiting items
// fill the window and the item never reached a backend server, it is deferred to
// the next pass. If the job starts no more items, the item is dropped.
func (p *Plan) scheduleRetry(now time.Time, t *task, parked *ParkedItem) {
	if t.attempts == 0 && t.lastFailure.Ran() == result.RanNo && t.number >= p.priorReserved {
		p.maybeStarted.remove(t.number)
	}
	if p.phase != running {
		return
	}
	if t.attempts == 0 && len(p.waiting) >= p.window {
		p.deferred++
		return
	}
	p.waiting[t.number] = t
	if parked != nil {
		t.retryAt, t.backoff, t.parked = now.Add(parkTimeout), 0, true
		p.parkActions = append(p.parkActions, Action{Kind: Park, Job: p.record.ID, Number: t.number, Parked: parked})
		return
	}
	t.backoff = min(max(minBackoff, 2*t.backoff), maxBackoff)
	t.retryAt = now.Add(t.backoff)
}

// unparked makes a parked item due.
func (p *Plan) unparked(now time.Time, n int) {
	if t, ok := p.waiting[n]; ok {
		t.retryAt = now
	}
}

// permanent reports whether a retry of the item would fail in the same way.
func permanent(e *result.Error) bool {
	switch e.Code() {
	case result.NoBackend, result.BackendFailed, result.BackendSilent, result.BackendCrashed, result.Overloaded,
		result.Cancelled, result.Stopping, result.QueueFull, result.RateLimited, result.ConcurrencyLimited,
		result.StoreUnavailable, result.DeadlineTooShort, result.DeadlinePassed, result.LeaseLost:
		return false
	}
	return true
}

// addResult adds the result of item n to the pending ones, which a checkpoint
// writes. A result that can't be encoded or is too large is replaced by a
// failure.
func (p *Plan) addResult(now time.Time, n int, r item.Result) {
	if p.withResult.has(n) {
		return
	}
	line, err := json.Marshal(r)
	if err != nil {
		line = failureLine(r, result.New(result.BackendFailed, "answer is not JSON: %v", err).WithRan(result.RanYes))
		r.Error = &item.Failure{}
	} else if len(line) > maxResultBytes {
		line = failureLine(r, result.New(result.BodyTooLarge, "answer is over %d bytes", maxResultBytes).WithRan(result.RanYes))
		r.Error = &item.Failure{}
	}
	if len(p.pending) == 0 {
		p.oldestPending = now
	}
	p.withResult.add(n)
	p.progress = true
	p.pending = append(p.pending, resultLine{number: n, failed: r.Error != nil, text: line})
	p.pendingBytes += len(line)
}

func failureLine(r item.Result, failure *result.Error) []byte {
	line, err := json.Marshal(item.Result{ID: r.ID, CustomID: r.CustomID, Error: item.NewFailure(failure)})
	if err != nil {
		panic("item failure can't be encoded: " + err.Error())
	}
	return line
}

// itemID returns the request ID of an item. It is the same on every host that
// runs the job.
func itemID(job string, n int) string { return fmt.Sprintf("%s-%06d", job, n) }
