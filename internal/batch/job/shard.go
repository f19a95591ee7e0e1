package job

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// minCheckpointInterval is the minimum time between two checkpoints of a shard.
	minCheckpointInterval = 100 * time.Millisecond
	// The age at which a result is written grows by checkpointAgePerChunk with
	// each output and error chunk of its job, so that the output of a slow job is
	// in few chunks.
	minCheckpointAge      = time.Second
	maxCheckpointAge      = 10 * time.Second
	checkpointAgePerChunk = 50 * time.Millisecond
	// maxCheckpointBytes limits the result lines in one checkpoint.
	maxCheckpointBytes = 640 << 10
	// earlyCheckpointBytes is the size at which a job's pending results are
	// written regardless of their age.
	earlyCheckpointBytes = 256 << 10
	// checkpointEntries is the number of entries of a checkpoint of no job, maxJobEntries
	// the most that one job adds.
	checkpointEntries = 3
	maxJobEntries     = 8
	// maxPendingBytes is the size of a shard's unwritten results at which it
	// starts no more items.
	maxPendingBytes = 4 << 20
	// drainTimeout is how long a closing shard waits for the items in progress
	// before it cancels them.
	drainTimeout = time.Second
	// removalInterval is the time between two scans for jobs to remove.
	removalInterval = 10 * time.Second
	// RetentionPeriod is how long the record and results of an ended job are kept.
	RetentionPeriod = 7 * 24 * time.Hour
)

// ActionKind is what the Manager has to do for an action.
type ActionKind uint8

// The actions of a shard.
const (
	// ReadChunk reads a chunk of an input file; the lines go to ChunkRead.
	ReadChunk ActionKind = iota
	// RunItem runs one item; the result goes to ItemEnded.
	RunItem
	// StopItems cancels the running items of a job; their results still go to
	// ItemEnded.
	StopItems
	// WriteCheckpoint commits a checkpoint; the outcome goes to Written.
	WriteCheckpoint
	// ReadBack reads the ID of the shard's last checkpoint; the result goes to
	// ReadBackDone.
	ReadBack
	// ReplyTo sends Record or Failure to the caller that Ticket identifies.
	ReplyTo
	// Remove deletes an ended job and its results; the result goes to Removed.
	Remove
	// ReportEnd reports that a job has ended with the final record Record.
	ReportEnd
	// Closed reports that the shard is closed and will return no more actions.
	Closed
	// Park parks an item; its release goes to Unparked.
	Park
)

// Ticket identifies a caller that waits for a reply.
type Ticket int64

// Action is one operation for the Manager to carry out.
type Action struct {
	Kind       ActionKind
	Job        string
	File       string
	Chunk      int
	Number     int
	Item       *item.Item
	Checkpoint *Checkpoint
	Ticket     Ticket
	Record     *Record
	Failure    *result.Error
	Parked     *ParkedItem
}

// Checkpoint is one atomic write of a shard.
type Checkpoint struct {
	// ID is unique to the checkpoint and stays the same if the write is retried.
	ID string
	// PreviousRevision is the store revision of the shard's previous checkpoint,
	// 0 for none.
	PreviousRevision int64
	Jobs             []JobWrite
}

// JobWrite is the part of a checkpoint for one job.
type JobWrite struct {
	Record Record
	// New is set if the job is not in the store yet.
	New bool
	// Done is the set of items with a durable result after the write.
	Done []byte
	// Output and Errors are the new lines of the output and error files.
	Output []byte
	Errors []byte
	// resultCount is the number of lines in Output and Errors.
	resultCount int
}

// WriteOutcome is the outcome of a write.
type WriteOutcome uint8

// The outcomes of a write.
const (
	// Committed means that the write took effect.
	Committed WriteOutcome = iota
	// Unavailable means that the write took no effect.
	Unavailable
	// OutcomeUnknown means that the outcome is unknown or that a comparison failed.
	OutcomeUnknown
)

// LoadedJob is a job as read from the store by a new holder.
type LoadedJob struct {
	Record *Record
	Done   []byte
}

// Shard is the state machine of all jobs of one shard. At most one checkpoint is
// in flight, and two checkpoints are at least minCheckpointInterval apart, so a
// shard writes at most ten times a second however many jobs it has.
type Shard struct {
	token int64
	// revision is the store revision of the shard's last checkpoint.
	revision int64
	// sequence numbers the checkpoints under this token.
	sequence int64
	plans    map[string]*Plan
	// ended holds the jobs that have ended and are not yet removed.
	ended       map[string]*Record
	removing    string
	nextRemoval time.Time
	// waiters holds, by job, the callers that wait until a checkpoint includes
	// the job.
	waiters map[string][]Ticket

	inFlight       *Checkpoint
	nextCheckpoint time.Time

	closing       bool
	drainDeadline time.Time
	abandoned     bool
	closed        bool
}

// OpenShard returns a shard with the jobs that were read from the store. revision
// is the store revision of its last checkpoint.
func OpenShard(token, revision int64, jobs []LoadedJob) *Shard {
	s := &Shard{
		token: token, revision: revision, plans: make(map[string]*Plan),
		ended: make(map[string]*Record), waiters: make(map[string][]Ticket),
	}
	for _, loaded := range jobs {
		if loaded.Record.State.Final() {
			s.ended[loaded.Record.ID] = loaded.Record
			continue
		}
		s.plans[loaded.Record.ID] = newPlan(*loaded.Record, loaded.Done, true)
	}
	return s
}

// Get returns the current record of a job, in progress or ended.
func (s *Shard) Get(id string) (Record, bool) {
	if p, ok := s.plans[id]; ok {
		return p.snapshot(), true
	}
	if r, ok := s.ended[id]; ok {
		return *r, true
	}
	return Record{}, false
}

// IsRunning reports whether the job is in progress.
func (s *Shard) IsRunning(id string) bool { return s.plans[id] != nil }

// Create adds a job. The reply is sent once the job is durable. If a job with the
// same ID exists, the reply is its record.
func (s *Shard) Create(now time.Time, ticket Ticket, record Record) []Action {
	if refusal := s.refuseIfClosing(ticket); refusal != nil {
		return refusal
	}
	if existing, ok := s.ended[record.ID]; ok {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Record: existing}}
	}
	p, ok := s.plans[record.ID]
	if !ok {
		p = newPlan(record, newBitmap(record.Total), false)
		s.plans[record.ID] = p
	}
	if p.created {
		view := p.snapshot()
		return []Action{{Kind: ReplyTo, Ticket: ticket, Record: &view}}
	}
	s.waiters[record.ID] = append(s.waiters[record.ID], ticket)
	return s.Tick(now)
}

// Cancel cancels a job. The reply is sent once the cancellation is durable.
func (s *Shard) Cancel(now time.Time, ticket Ticket, id string) []Action {
	if refusal := s.refuseIfClosing(ticket); refusal != nil {
		return refusal
	}
	if existing, ok := s.ended[id]; ok {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Record: existing}}
	}
	p, ok := s.plans[id]
	if !ok {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Failure: result.New(result.NotFound, "no job %s", id)}}
	}
	actions := p.cancel()
	p.checkpointNow = true
	s.waiters[id] = append(s.waiters[id], ticket)
	return append(actions, s.Tick(now)...)
}

// refuseIfClosing returns a reply with a failure if the shard is closing.
func (s *Shard) refuseIfClosing(ticket Ticket) []Action {
	if !s.closing {
		return nil
	}
	return []Action{{Kind: ReplyTo, Ticket: ticket, Failure: shardMoved()}}
}

func shardMoved() *result.Error {
	return result.New(result.LeaseLost, "shard moves to another host").WithRetry(time.Second)
}

// SetWindow sets how many items of a job may be in progress.
func (s *Shard) SetWindow(id string, window int) {
	if p, ok := s.plans[id]; ok {
		p.window = window
	}
}

// Demands returns the demands of the running jobs, in the order of their IDs.
func (s *Shard) Demands() []Demand {
	var demands []Demand
	for _, id := range s.planIDs() {
		p := s.plans[id]
		if p.phase == running && p.created {
			left := p.record.Total - p.record.Completed - p.record.Failed - len(p.pending)
			demands = append(demands, Demand{Job: id, Weight: p.weight, Due: p.record.Due, Remaining: left})
		}
	}
	return demands
}

func (s *Shard) planIDs() []string { return slices.Sorted(maps.Keys(s.plans)) }

// Tick starts items, starts a checkpoint if one is due, and removes an ended job
// that was kept long enough. If the shard is closing, Tick only continues the
// close.
func (s *Shard) Tick(now time.Time) []Action {
	if s.closed {
		return nil
	}
	if s.closing {
		return s.continueClose(now)
	}
	var actions []Action
	blocked := s.pendingBytes() >= maxPendingBytes
	for _, id := range s.planIDs() {
		actions = append(actions, s.plans[id].step(now, blocked)...)
	}
	actions = append(actions, s.startCheckpoint(now, false)...)
	return append(actions, s.removeOldJob(now)...)
}

func (s *Shard) pendingBytes() int {
	total := 0
	for _, p := range s.plans {
		total += p.pendingBytes
	}
	return total
}

// ChunkRead handles the result of ReadChunk.
func (s *Shard) ChunkRead(now time.Time, id string, chunk int, lines []byte, failure *result.Error) []Action {
	if p, ok := s.plans[id]; ok {
		p.chunkRead(now, chunk, lines, failure)
	}
	return s.Tick(now)
}

// ItemEnded handles the result of one run of an item.
func (s *Shard) ItemEnded(now time.Time, id string, number int, runResult RunResult) []Action {
	p, ok := s.plans[id]
	if !ok || s.closed {
		return nil
	}
	p.itemEnded(now, number, runResult)
	if s.closing {
		return s.continueClose(now)
	}
	return p.step(now, s.pendingBytes() >= maxPendingBytes)
}

// Unparked handles the release of a parked item, which may now run.
func (s *Shard) Unparked(now time.Time, id string, number int) []Action {
	p, ok := s.plans[id]
	if !ok || s.closed || s.closing {
		return nil
	}
	p.unparked(now, number)
	return p.step(now, s.pendingBytes() >= maxPendingBytes)
}

// startCheckpoint starts a checkpoint if one is due. If flush is set, pending
// results are due regardless of their age.
func (s *Shard) startCheckpoint(now time.Time, flush bool) []Action {
	if s.inFlight != nil || s.abandoned || now.Before(s.nextCheckpoint) {
		return nil
	}
	due, rest := s.plansToWrite(now, flush)
	if len(due) == 0 {
		return nil
	}
	s.sequence++
	s.inFlight = &Checkpoint{ID: strconv.FormatInt(s.token, 10) + "-" + strconv.FormatInt(s.sequence, 10), PreviousRevision: s.revision}
	size, entries := 0, checkpointEntries
	for _, p := range append(due, rest...) {
		if entries+maxJobEntries > store.MaxTxnEntries || size >= maxCheckpointBytes {
			break
		}
		w := p.buildWrite(now, maxCheckpointBytes-size, s.closing)
		size += len(w.Output) + len(w.Errors) + len(w.Done)
		entries += w.entries()
		s.inFlight.Jobs = append(s.inFlight.Jobs, w)
	}
	s.nextCheckpoint = now.Add(minCheckpointInterval)
	return []Action{{Kind: WriteCheckpoint, Checkpoint: s.inFlight}}
}

// plansToWrite returns the jobs that are due to be written, those with the oldest
// pending result first, and the other jobs with pending results.
func (s *Shard) plansToWrite(now time.Time, flush bool) (due, rest []*Plan) {
	for _, id := range s.planIDs() {
		p := s.plans[id]
		switch {
		case p.checkpointDue(now, flush):
			due = append(due, p)
		case len(p.pending) > 0:
			rest = append(rest, p)
		}
	}
	slices.SortStableFunc(due, func(a, b *Plan) int { return a.oldestPending.Compare(b.oldestPending) })
	return due, rest
}

// checkpointDue reports whether the job must be written now.
func (p *Plan) checkpointDue(now time.Time, flush bool) bool {
	if p.checkpointNow || p.phase == ended || p.pendingBytes >= earlyCheckpointBytes {
		return true
	}
	if len(p.pending) == 0 {
		return false
	}
	age := min(minCheckpointAge+checkpointAgePerChunk*time.Duration(p.record.OutputChunks+p.record.ErrorChunks), maxCheckpointAge)
	return flush || now.Sub(p.oldestPending) >= age
}

// buildWrite returns the job's part of a checkpoint. It includes pending results
// of up to maxBytes, but at least one if there is any.
func (p *Plan) buildWrite(now time.Time, maxBytes int, closing bool) JobWrite {
	w := JobWrite{Record: p.record, New: !p.created, Done: bytes.Clone(p.durable)}
	for _, line := range p.pending {
		if w.resultCount > 0 && len(w.Output)+len(w.Errors)+len(line.text) > maxBytes {
			break
		}
		w.resultCount++
		bitmap(w.Done).add(line.number)
		w.Record.count(line)
		if line.failed {
			w.Errors = append(append(w.Errors, line.text...), '\n')
		} else {
			w.Output = append(append(w.Output, line.text...), '\n')
		}
	}
	if len(w.Output) > 0 {
		w.Record.OutputChunks++
		w.Record.OutputBytes += int64(len(w.Output))
	}
	if len(w.Errors) > 0 {
		w.Record.ErrorChunks++
		w.Record.ErrorBytes += int64(len(w.Errors))
	}
	if !closing {
		w.Record.Reserved = max(w.Record.Reserved, min(w.Record.Total, p.scanEnd()+reservedAhead))
	}
	if p.finalState == Cancelled {
		w.Record.State = Cancelling
	}
	if p.phase == ended && w.resultCount == len(p.pending) {
		w.Record.State, w.Record.Cause, w.Record.Ended = p.finalState, p.cause, now
	}
	p.checkpointNow = false
	return w
}

// scanEnd returns the number of the next item to scan, or 0 if the job starts no
// more items.
func (p *Plan) scanEnd() int {
	if p.phase != running {
		return 0
	}
	return p.nextNumber
}

// Written handles the outcome of WriteCheckpoint. revision is the store revision
// of a committed checkpoint. A checkpoint that took no effect is written again;
// after an unknown outcome the shard's last checkpoint is read back first.
func (s *Shard) Written(now time.Time, outcome WriteOutcome, revision int64) []Action {
	switch {
	case s.inFlight == nil || s.closed:
		return nil
	case outcome == Committed:
		return s.applyCheckpoint(now, revision)
	case outcome == OutcomeUnknown:
		return []Action{{Kind: ReadBack}}
	}
	return []Action{{Kind: WriteCheckpoint, Checkpoint: s.inFlight}}
}

// ReadBackDone handles the result of ReadBack: the ID and revision of the shard's
// last checkpoint, and whether the fencing token is still valid. A failed read is
// repeated. If the checkpoint in flight was not written, it is written again,
// unless the token or the previous checkpoint has changed; then the shard is
// abandoned.
func (s *Shard) ReadBackDone(now time.Time, id string, revision int64, held bool, failed bool) []Action {
	switch {
	case s.inFlight == nil || s.closed:
		return nil
	case failed:
		return []Action{{Kind: ReadBack}}
	case id == s.inFlight.ID:
		return s.applyCheckpoint(now, revision)
	case !held || revision != s.revision:
		return s.Abandon()
	}
	return []Action{{Kind: WriteCheckpoint, Checkpoint: s.inFlight}}
}

// applyCheckpoint handles the commit of the checkpoint in flight.
func (s *Shard) applyCheckpoint(now time.Time, revision int64) []Action {
	var actions []Action
	for i := range s.inFlight.Jobs {
		w := &s.inFlight.Jobs[i]
		actions = append(actions, s.applyWrite(w)...)
	}
	s.inFlight, s.revision = nil, revision
	return append(actions, s.Tick(now)...)
}

// applyWrite updates a job after a committed checkpoint and replies to its
// waiters. If the job ended or was cancelled after the checkpoint was built, the
// waiters wait for the next one.
func (s *Shard) applyWrite(w *JobWrite) []Action {
	id := w.Record.ID
	p := s.plans[id]
	p.record, p.durable, p.created = w.Record, w.Done, true
	for _, line := range p.pending[:w.resultCount] {
		p.pendingBytes -= len(line.text)
	}
	p.pending = slices.Delete(p.pending, 0, w.resultCount)
	var actions []Action
	if w.Record.State.Final() {
		delete(s.plans, id)
		s.ended[id] = &w.Record
		actions = append(actions, Action{Kind: ReportEnd, Job: id, Record: &w.Record})
	} else if p.phase == ended || (p.finalState == Cancelled && w.Record.State != Cancelling) {
		p.checkpointNow = true
		return nil
	}
	view, _ := s.Get(id)
	for _, ticket := range s.waiters[id] {
		actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Record: &view})
	}
	delete(s.waiters, id)
	return actions
}

// removeOldJob starts the removal of an ended job that was kept long enough. One
// job is removed at a time.
func (s *Shard) removeOldJob(now time.Time) []Action {
	if s.removing != "" || now.Before(s.nextRemoval) {
		return nil
	}
	s.nextRemoval = now.Add(removalInterval)
	for id, r := range s.ended {
		if now.Sub(r.Ended) >= RetentionPeriod && (s.removing == "" || id < s.removing) {
			s.removing = id
		}
	}
	if s.removing == "" {
		return nil
	}
	return []Action{{Kind: Remove, Job: s.removing, Record: s.ended[s.removing]}}
}

// Removed handles the result of Remove. A failed removal is retried at the next
// scan.
func (s *Shard) Removed(id string, ok bool) {
	s.removing = ""
	if ok {
		delete(s.ended, id)
		s.nextRemoval = time.Time{}
	}
}

// Close closes the shard, so that another host can take it over. No more items
// are started; those in progress get drainTimeout to end before they are
// cancelled. After a last checkpoint the shard returns Closed.
func (s *Shard) Close(now time.Time) []Action {
	if s.closing {
		return nil
	}
	s.closing = true
	s.drainDeadline = now.Add(drainTimeout)
	return s.continueClose(now)
}

// continueClose takes the next step of Close that is possible.
func (s *Shard) continueClose(now time.Time) []Action {
	var actions []Action
	inProgress := 0
	for _, id := range s.planIDs() {
		inProgress += len(s.plans[id].running)
	}
	if inProgress > 0 {
		if !s.drainDeadline.IsZero() && !now.Before(s.drainDeadline) {
			s.drainDeadline = time.Time{}
			for _, id := range s.planIDs() {
				actions = append(actions, Action{Kind: StopItems, Job: id})
			}
		}
		return actions
	}
	if s.inFlight != nil {
		return nil
	}
	if due, _ := s.plansToWrite(now, true); len(due) == 0 {
		return append(actions, s.finishClose()...)
	}
	return append(actions, s.startCheckpoint(now, true)...)
}

// Abandon closes the shard at once without a checkpoint, because this host no
// longer holds it.
func (s *Shard) Abandon() []Action {
	if s.closed {
		return nil
	}
	s.closing, s.abandoned = true, true
	var actions []Action
	for _, id := range s.planIDs() {
		actions = append(actions, Action{Kind: StopItems, Job: id})
	}
	return append(actions, s.finishClose()...)
}

// finishClose sends a failure to all waiters and returns Closed.
func (s *Shard) finishClose() []Action {
	s.closed = true
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		for _, ticket := range s.waiters[id] {
			actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Failure: shardMoved()})
		}
	}
	clear(s.waiters)
	return append(actions, Action{Kind: Closed})
}
