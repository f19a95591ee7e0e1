package job

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// writeGap is the least time between two checkpoints of a shard.
	writeGap = 100 * time.Millisecond
	// The age of a result at which it is written grows with the chunks that
	// its job has, so that a slow job's output stays in few chunks.
	checkpointAge    = time.Second
	checkpointAgeMax = 10 * time.Second
	agePerChunk      = 50 * time.Millisecond
	// checkpointBytes bounds the lines in one checkpoint.
	checkpointBytes = 640 << 10
	// earlyBytes is the size at which a job's results are written at once.
	earlyBytes = 256 << 10
	// checkpointJobs bounds the jobs in one checkpoint.
	checkpointJobs = 20
	// maxPendingBytes bounds the results of a shard that are not written.
	maxPendingBytes = 4 << 20
	// drainTime is how long a closing shard waits for items in progress.
	drainTime = time.Second
	// expireEvery is the time between two looks for jobs to remove.
	expireEvery = 10 * time.Second
	// RetentionPeriod is how long an ended job's record and results stay readable.
	RetentionPeriod = 7 * 24 * time.Hour
)

// ActionKind tells what the shell has to do.
type ActionKind uint8

// The actions of a shard.
const (
	// ReadChunk reads a chunk of an input file and reports to ChunkRead.
	ReadChunk ActionKind = iota
	// RunItem runs one item and reports to Returned.
	RunItem
	// StopItems cancels the runs of a job's items; each still reports.
	StopItems
	// WriteCheckpoint commits a checkpoint and reports to Written.
	WriteCheckpoint
	// ReadBack reads the id of the shard's last checkpoint for ReadBackDone.
	ReadBack
	// ReplyTo answers a caller with the job as it stands.
	ReplyTo
	// Remove deletes an ended job and its results and reports to Removed.
	Remove
	// ReportEnd says that a job has ended; its record is final.
	ReportEnd
	// Closed says that the shard does nothing any more.
	Closed
	// Park keeps an item until what it waits for is back, then Unparked.
	Park
)

// Ticket names a caller that waits for a reply.
type Ticket int64

// Action is one thing for the shell to do.
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

// Checkpoint is one write of a shard; all of it takes effect or nothing.
type Checkpoint struct {
	// ID is unique to the write; a write that is sent again keeps it.
	ID string
	// PreviousRevision is the revision of the shard's previous checkpoint, 0 for none.
	PreviousRevision int64
	Jobs             []JobWrite
}

// JobWrite is what a checkpoint says of one job.
type JobWrite struct {
	Record Record
	// New says that the job does not exist yet.
	New bool
	// Done is the set of items with a durable result after the write.
	Done   []byte
	Output []byte
	Errors []byte
	// taken counts the pending results in it.
	taken int
}

// WriteOutcome is how a write ended.
type WriteOutcome uint8

// The outcomes of a write.
const (
	// Committed took effect.
	Committed WriteOutcome = iota
	// Unavailable certainly took no effect.
	Unavailable
	// OutcomeUnknown may have taken effect, or a comparison failed.
	OutcomeUnknown
)

// LoadedJob is a job as a new holder read it.
type LoadedJob struct {
	Record *Record
	Done   []byte
}

// Shard decides for all jobs of one shard. At most one checkpoint is in
// progress, and two are at least writeGap apart, so a shard writes at most ten
// times a second however many jobs it has.
type Shard struct {
	token int64
	// revision is that of the shard's last checkpoint.
	revision int64
	sequence int64
	plans    map[string]*Plan
	// ended holds the final jobs whose keep time runs.
	ended      map[string]*Record
	removing   string
	nextExpire time.Time
	// tickets wait until a checkpoint holds their job.
	tickets map[string][]Ticket

	writing   *Checkpoint
	nextWrite time.Time

	closing   bool
	drained   time.Time
	abandoned bool
	closed    bool
}

// OpenShard returns a shard with the jobs that were read from the store.
func OpenShard(token, revision int64, jobs []LoadedJob) *Shard {
	s := &Shard{
		token: token, revision: revision, plans: make(map[string]*Plan),
		ended: make(map[string]*Record), tickets: make(map[string][]Ticket),
	}
	for _, one := range jobs {
		if one.Record.State.Final() {
			s.ended[one.Record.ID] = one.Record
			continue
		}
		s.plans[one.Record.ID] = newPlan(*one.Record, one.Done, true)
	}
	return s
}

// Get returns a job that is in progress or has ended as it stands.
func (s *Shard) Get(id string) (Record, bool) {
	if p, ok := s.plans[id]; ok {
		return p.view(), true
	}
	if r, ok := s.ended[id]; ok {
		return *r, true
	}
	return Record{}, false
}

// IsRunning reports whether the job is in progress here.
func (s *Shard) IsRunning(id string) bool { return s.plans[id] != nil }

// Create adds a job that the store does not hold. The reply follows when the
// job is durable; a job that is known already is not made again.
func (s *Shard) Create(now time.Time, ticket Ticket, record Record) []Action {
	if refused := s.refuse(ticket); refused != nil {
		return refused
	}
	if known, ok := s.ended[record.ID]; ok {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Record: known}}
	}
	p, ok := s.plans[record.ID]
	if !ok {
		p = newPlan(record, newBitmap(record.Total), false)
		s.plans[record.ID] = p
	}
	if p.created {
		view := p.view()
		return []Action{{Kind: ReplyTo, Ticket: ticket, Record: &view}}
	}
	s.tickets[record.ID] = append(s.tickets[record.ID], ticket)
	return s.Tick(now)
}

// Cancel stops a job. The reply follows when the wish is durable.
func (s *Shard) Cancel(now time.Time, ticket Ticket, id string) []Action {
	if refused := s.refuse(ticket); refused != nil {
		return refused
	}
	if known, ok := s.ended[id]; ok {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Record: known}}
	}
	p, ok := s.plans[id]
	if !ok {
		return []Action{{Kind: ReplyTo, Ticket: ticket, Failure: result.New(result.NotFound, "no job %s", id)}}
	}
	actions := p.cancel()
	p.urgent = true
	s.tickets[id] = append(s.tickets[id], ticket)
	return append(actions, s.Tick(now)...)
}

func (s *Shard) refuse(ticket Ticket) []Action {
	if !s.closing {
		return nil
	}
	return []Action{{Kind: ReplyTo, Ticket: ticket, Failure: moved()}}
}

func moved() *result.Error {
	return result.New(result.LeaseLost, "shard moves to another host").WithRetry(time.Second)
}

// SetWindow bounds the items of a job in progress.
func (s *Shard) SetWindow(id string, window int) {
	if p, ok := s.plans[id]; ok {
		p.window = window
	}
}

// Demands returns what each running job could use, in the order of their ids.
func (s *Shard) Demands() []Demand {
	var demands []Demand
	for _, id := range s.ids() {
		p := s.plans[id]
		if p.phase == running && p.created {
			left := p.record.Total - p.record.Completed - p.record.Failed - len(p.pending)
			demands = append(demands, Demand{Job: id, Weight: p.weight, Due: p.record.Due, Remaining: left})
		}
	}
	return demands
}

func (s *Shard) ids() []string { return slices.Sorted(maps.Keys(s.plans)) }

// Tick hands out items, writes what is due and removes what was kept long
// enough.
func (s *Shard) Tick(now time.Time) []Action {
	if s.closed {
		return nil
	}
	if s.closing {
		return s.close(now)
	}
	var actions []Action
	blocked := s.pendingBytes() >= maxPendingBytes
	for _, id := range s.ids() {
		actions = append(actions, s.plans[id].step(now, blocked)...)
	}
	actions = append(actions, s.write(now, false)...)
	return append(actions, s.expire(now)...)
}

func (s *Shard) pendingBytes() int {
	sum := 0
	for _, p := range s.plans {
		sum += p.pendingBytes
	}
	return sum
}

// ChunkRead takes the lines of an input chunk.
func (s *Shard) ChunkRead(now time.Time, id string, chunk int, lines []byte, failure *result.Error) []Action {
	if p, ok := s.plans[id]; ok {
		p.chunkRead(now, chunk, lines, failure)
	}
	return s.Tick(now)
}

// ItemEnded takes the end of one run of an item.
func (s *Shard) ItemEnded(now time.Time, id string, number int, a RunResult) []Action {
	p, ok := s.plans[id]
	if !ok || s.closed {
		return nil
	}
	p.returned(now, number, a)
	if s.closing {
		return s.close(now)
	}
	return p.step(now, s.pendingBytes() >= maxPendingBytes)
}

// Unparked lets a parked item run again.
func (s *Shard) Unparked(now time.Time, id string, number int) []Action {
	p, ok := s.plans[id]
	if !ok || s.closed || s.closing {
		return nil
	}
	p.unparked(now, number)
	return p.step(now, s.pendingBytes() >= maxPendingBytes)
}

// write starts a checkpoint if one is due; flush writes whatever there is.
func (s *Shard) write(now time.Time, flush bool) []Action {
	if s.writing != nil || s.abandoned || now.Before(s.nextWrite) {
		return nil
	}
	due, rest := s.ready(now, flush)
	if len(due) == 0 {
		return nil
	}
	s.sequence++
	s.writing = &Checkpoint{ID: strconv.FormatInt(s.token, 10) + "-" + strconv.FormatInt(s.sequence, 10), PreviousRevision: s.revision}
	size := 0
	for _, p := range append(due, rest...) {
		if len(s.writing.Jobs) == checkpointJobs || size >= checkpointBytes {
			break
		}
		w := p.take(now, checkpointBytes-size, s.closing)
		size += len(w.Output) + len(w.Errors) + len(w.Done)
		s.writing.Jobs = append(s.writing.Jobs, w)
	}
	s.nextWrite = now.Add(writeGap)
	return []Action{{Kind: WriteCheckpoint, Checkpoint: s.writing}}
}

// ready returns the jobs whose state must be written now, the longest waiting
// first, and those that may go with them.
func (s *Shard) ready(now time.Time, flush bool) (due, rest []*Plan) {
	for _, id := range s.ids() {
		p := s.plans[id]
		switch {
		case p.due(now, flush):
			due = append(due, p)
		case len(p.pending) > 0:
			rest = append(rest, p)
		}
	}
	slices.SortStableFunc(due, func(a, b *Plan) int { return a.oldest.Compare(b.oldest) })
	return due, rest
}

func (p *Plan) due(now time.Time, flush bool) bool {
	if p.urgent || p.phase == ended || p.pendingBytes >= earlyBytes {
		return true
	}
	if len(p.pending) == 0 {
		return false
	}
	age := min(checkpointAge+agePerChunk*time.Duration(p.record.OutputChunks+p.record.ErrorChunks), checkpointAgeMax)
	return flush || now.Sub(p.oldest) >= age
}

// take builds the job's part of a checkpoint with at most room bytes of lines,
// but with at least one line.
func (p *Plan) take(now time.Time, room int, closing bool) JobWrite {
	w := JobWrite{Record: p.record, New: !p.created, Done: bytes.Clone(p.durable)}
	for _, o := range p.pending {
		if w.taken > 0 && len(w.Output)+len(w.Errors)+len(o.line) > room {
			break
		}
		w.taken++
		bitmap(w.Done).add(o.number)
		w.Record.count(o)
		if o.failed {
			w.Errors = append(append(w.Errors, o.line...), '\n')
		} else {
			w.Output = append(append(w.Output, o.line...), '\n')
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
		w.Record.Reserved = max(w.Record.Reserved, min(w.Record.Total, p.highest()+reserveItems))
	}
	if p.final == Cancelled {
		w.Record.State = Cancelling
	}
	if p.phase == ended && w.taken == len(p.pending) {
		w.Record.State, w.Record.Cause, w.Record.Ended = p.final, p.cause, now
	}
	p.urgent = false
	return w
}

// highest returns the number after the last item that the scan has come to.
func (p *Plan) highest() int {
	if p.phase != running {
		return 0
	}
	return p.number
}

// Written takes the end of a write; revision is that of the store after it.
func (s *Shard) Written(now time.Time, outcome WriteOutcome, revision int64) []Action {
	switch {
	case s.writing == nil || s.closed:
		return nil
	case outcome == Committed:
		return s.committed(now, revision)
	case outcome == OutcomeUnknown:
		return []Action{{Kind: ReadBack}}
	}
	return []Action{{Kind: WriteCheckpoint, Checkpoint: s.writing}}
}

// ReadBackDone takes the id and revision of the shard's last checkpoint.
func (s *Shard) ReadBackDone(now time.Time, id string, revision int64, held bool, failed bool) []Action {
	switch {
	case s.writing == nil || s.closed:
		return nil
	case failed:
		return []Action{{Kind: ReadBack}}
	case id == s.writing.ID:
		return s.committed(now, revision)
	case !held || revision != s.revision:
		return s.Abandon()
	}
	return []Action{{Kind: WriteCheckpoint, Checkpoint: s.writing}}
}

func (s *Shard) committed(now time.Time, revision int64) []Action {
	var actions []Action
	for i := range s.writing.Jobs {
		w := &s.writing.Jobs[i]
		actions = append(actions, s.advance(w)...)
	}
	s.writing, s.revision = nil, revision
	return append(actions, s.Tick(now)...)
}

// advance takes over what a checkpoint made durable for one job.
func (s *Shard) advance(w *JobWrite) []Action {
	id := w.Record.ID
	p := s.plans[id]
	p.record, p.durable, p.created = w.Record, w.Done, true
	for _, o := range p.pending[:w.taken] {
		p.pendingBytes -= len(o.line)
	}
	p.pending = slices.Delete(p.pending, 0, w.taken)
	var actions []Action
	if w.Record.State.Final() {
		delete(s.plans, id)
		s.ended[id] = &w.Record
		actions = append(actions, Action{Kind: ReportEnd, Job: id, Record: &w.Record})
	} else if p.phase == ended || (p.final == Cancelled && w.Record.State != Cancelling) {
		p.urgent = true
		return nil
	}
	view, _ := s.Get(id)
	for _, ticket := range s.tickets[id] {
		actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Record: &view})
	}
	delete(s.tickets, id)
	return actions
}

// expire removes one ended job whose keep time is over.
func (s *Shard) expire(now time.Time) []Action {
	if s.removing != "" || now.Before(s.nextExpire) {
		return nil
	}
	s.nextExpire = now.Add(expireEvery)
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

// Removed takes the end of Remove; a failed one is tried again.
func (s *Shard) Removed(id string, ok bool) {
	s.removing = ""
	if ok {
		delete(s.ended, id)
		s.nextExpire = time.Time{}
	}
}

// Close hands the shard over: no new items, a short wait for those in
// progress, a last checkpoint, then Closed.
func (s *Shard) Close(now time.Time) []Action {
	if s.closing {
		return nil
	}
	s.closing = true
	s.drained = now.Add(drainTime)
	return s.close(now)
}

func (s *Shard) close(now time.Time) []Action {
	var actions []Action
	inProgress := 0
	for _, id := range s.ids() {
		inProgress += len(s.plans[id].running)
	}
	if inProgress > 0 {
		if !s.drained.IsZero() && !now.Before(s.drained) {
			s.drained = time.Time{}
			for _, id := range s.ids() {
				actions = append(actions, Action{Kind: StopItems, Job: id})
			}
		}
		return actions
	}
	if s.writing != nil {
		return nil
	}
	if due, _ := s.ready(now, true); len(due) == 0 {
		return append(actions, s.end()...)
	}
	return append(actions, s.write(now, true)...)
}

// Abandon stops at once: the shard is not held any more.
func (s *Shard) Abandon() []Action {
	if s.closed {
		return nil
	}
	s.closing, s.abandoned = true, true
	var actions []Action
	for _, id := range s.ids() {
		actions = append(actions, Action{Kind: StopItems, Job: id})
	}
	return append(actions, s.end()...)
}

func (s *Shard) end() []Action {
	s.closed = true
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(s.tickets)) {
		for _, ticket := range s.tickets[id] {
			actions = append(actions, Action{Kind: ReplyTo, Ticket: ticket, Failure: moved()})
		}
	}
	clear(s.tickets)
	return append(actions, Action{Kind: Closed})
}
