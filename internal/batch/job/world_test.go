package job_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// behaviour determines the results of an item's runs: failure for the first
// failures runs, then an answer.
type behaviour struct {
	failure  *result.Error
	failures int
}

const alwaysFails = 1 << 20

var behaviours = []behaviour{
	{},
	{failure: result.New(result.InvalidField, "bad"), failures: alwaysFails},
	{failure: result.New(result.NoBackend, "away"), failures: 7},
	{failure: result.New(result.BackendFailed, "broke").WithRan(result.RanMaybe), failures: 3},
	{failure: result.New(result.BackendFailed, "breaks").WithRan(result.RanYes), failures: alwaysFails},
	{failure: result.New(result.BackendCrashed, "crashes").WithRan(result.RanMaybe), failures: alwaysFails},
	{failure: result.New(result.Stopping, "stopping").WithRan(result.RanMaybe), failures: 9},
}

// eventuallyAnswered reports whether an item with behaviour b gets an answer if it
// is retried often enough.
func eventuallyAnswered(b behaviour) bool { return b.failure == nil || b.failures < alwaysFails }

// fakeStore holds what one shard has written to the store.
type fakeStore struct {
	token    int64
	revision int64
	last     string
	records  map[string]*job.Record
	done     map[string][]byte
	output   map[string][]byte
	errors   map[string][]byte
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		token: 1, records: make(map[string]*job.Record), done: make(map[string][]byte),
		output: make(map[string][]byte), errors: make(map[string][]byte),
	}
}

// commit applies a checkpoint and returns true, or returns false if one of its
// comparisons fails.
func (f *fakeStore) commit(token int64, c *job.Checkpoint) bool {
	if token != f.token || c.PreviousRevision != f.revision {
		return false
	}
	for _, w := range c.Jobs {
		if _, ok := f.records[w.Record.ID]; ok == w.New {
			return false
		}
	}
	f.revision++
	f.last = c.ID
	for _, w := range c.Jobs {
		record := w.Record
		f.records[record.ID] = &record
		f.done[record.ID] = w.Done
		f.output[record.ID] = append(f.output[record.ID], w.Output...)
		f.errors[record.ID] = append(f.errors[record.ID], w.Errors...)
	}
	return true
}

func (f *fakeStore) loaded() []job.LoadedJob {
	var jobs []job.LoadedJob
	for id, record := range f.records {
		r := *record
		jobs = append(jobs, job.LoadedJob{Record: &r, Done: bytes.Clone(f.done[id])})
	}
	return jobs
}

// simulation runs one shard, one event at a time, with events in random order and
// injected faults.
type simulation struct {
	t           *rapid.T
	now         time.Time
	store       *fakeStore
	shard       *job.Shard
	token       int64
	outstanding []job.Action
	// chunks holds the input; itemBehaviours and runs hold the behaviour of each
	// item and how often it ran.
	chunks         [][]byte
	itemBehaviours []behaviour
	runs           []int
	replies        map[job.Ticket]job.Action
	// writes holds the times of the checkpoints, lastWrite the ID of the last one.
	writes    []time.Time
	lastWrite string
	ticket    job.Ticket
}

const jobName = "batch-1"

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_000_000, 0), store: newFakeStore(), replies: make(map[job.Ticket]job.Action), token: 1,
	}
	s.shard = job.OpenShard(s.token, 0, nil)
	kinds := rapid.SliceOfN(rapid.IntRange(0, len(behaviours)-1), 1, 40).Draw(t, "items")
	linesPerChunk := rapid.IntRange(1, 15).Draw(t, "lines per chunk")
	for n, kind := range kinds {
		if n%linesPerChunk == 0 {
			s.chunks = append(s.chunks, nil)
		}
		last := len(s.chunks) - 1
		s.chunks[last] = append(s.chunks[last], line(n)...)
		s.itemBehaviours = append(s.itemBehaviours, behaviours[kind])
	}
	s.runs = make([]int, len(kinds))
	return s
}

func customID(n int) string { return fmt.Sprintf("c%d", n) }

func line(n int) string {
	return fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{}}`+"\n", n)
}

func (s *simulation) record() job.Record {
	r := job.Record{
		ID: jobName, State: job.InProgress, Created: s.now, Due: s.now.Add(time.Hour), InputFile: "f",
		Chunks: len(s.chunks), Total: len(s.itemBehaviours),
	}
	start := 0
	for _, lines := range s.chunks {
		r.FirstItems = append(r.FirstItems, start)
		start += bytes.Count(lines, []byte("\n"))
	}
	if rapid.Bool().Draw(s.t, "starts unknown") {
		r.FirstItems = nil
	}
	return r
}

func (s *simulation) add(actions []job.Action) {
	for _, a := range actions {
		switch a.Kind {
		case job.ReplyTo:
			s.replies[a.Ticket] = a
		case job.WriteCheckpoint:
			if a.Checkpoint.ID != s.lastWrite {
				s.writes = append(s.writes, s.now)
			}
			s.lastWrite = a.Checkpoint.ID
			s.outstanding = append(s.outstanding, a)
		case job.ReadChunk, job.RunItem, job.ReadBack:
			if a.Kind == job.RunItem {
				s.runs[a.Number]++
			}
			s.outstanding = append(s.outstanding, a)
		}
	}
}

// advance moves the time forward and ticks the shard.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.add(s.shard.Tick(s.now))
}

// step carries out a random outstanding action, or advances the time if there is
// none.
func (s *simulation) step() {
	if len(s.outstanding) == 0 {
		s.advance(500 * time.Millisecond)
		return
	}
	i := rapid.IntRange(0, len(s.outstanding)-1).Draw(s.t, "next")
	a := s.outstanding[i]
	s.outstanding = append(s.outstanding[:i:i], s.outstanding[i+1:]...)
	s.now = s.now.Add(10 * time.Millisecond)
	switch a.Kind {
	case job.ReadChunk:
		s.readChunk(a)
	case job.RunItem:
		s.add(s.shard.ItemEnded(s.now, a.Job, a.Number, s.answer(a.Number)))
	case job.WriteCheckpoint:
		s.write(a.Checkpoint)
	case job.ReadBack:
		failed := rapid.IntRange(0, 3).Draw(s.t, "read back fails") == 0
		s.add(s.shard.ReadBackDone(s.now, s.store.last, s.store.revision, s.store.token == s.token, failed))
	}
}

// reachesBackend reports whether a run of the item reaches a back end.
func (s *simulation) reachesBackend(n int) bool {
	b := s.itemBehaviours[n]
	return b.failure == nil || b.failure.Ran() != result.RanNo
}

func (s *simulation) readChunk(a job.Action) {
	if rapid.IntRange(0, 5).Draw(s.t, "read fails") == 0 {
		s.add(s.shard.ChunkRead(s.now, a.Job, a.Chunk, nil, result.New(result.StoreUnavailable, "down")))
		return
	}
	s.add(s.shard.ChunkRead(s.now, a.Job, a.Chunk, s.chunks[a.Chunk], nil))
}

func (s *simulation) answer(n int) job.RunResult {
	if b := s.itemBehaviours[n]; b.failure != nil && s.runs[n] <= b.failures {
		return job.RunResult{Failure: b.failure}
	}
	return job.RunResult{Response: item.Response{StatusCode: 200, Body: json.RawMessage("{}")}}
}

func (s *simulation) write(c *job.Checkpoint) {
	fault := rapid.IntRange(0, 5).Draw(s.t, "write")
	switch fault {
	case 0:
		s.add(s.shard.Written(s.now, job.Unavailable, 0))
		return
	case 1:
		s.add(s.shard.Written(s.now, job.OutcomeUnknown, 0))
		return
	}
	if !s.store.commit(s.token, c) || fault == 2 {
		s.add(s.shard.Written(s.now, job.OutcomeUnknown, 0))
		return
	}
	s.add(s.shard.Written(s.now, job.Committed, s.store.revision))
}

// failOver reopens the shard on another host from what is in the store.
func (s *simulation) failOver() {
	s.store.token++
	s.token = s.store.token
	s.outstanding = nil
	s.shard = job.OpenShard(s.token, s.store.revision, s.store.loaded())
	s.advance(0)
}

func (s *simulation) create(r job.Record) {
	s.ticket++
	if _, ok := s.store.records[r.ID]; ok && !s.shard.IsRunning(r.ID) {
		return
	}
	s.add(s.shard.Create(s.now, s.ticket, r))
}

func (s *simulation) state() job.State {
	r, ok := s.store.records[jobName]
	if !ok {
		return ""
	}
	return r.State
}

// finish takes steps until the job is final. Like a client, it resends the job if
// that was lost before it became durable.
func (s *simulation) finish(r job.Record) {
	for range 20_000 {
		if s.state().Final() {
			return
		}
		if s.state() == "" {
			s.create(r)
		}
		s.step()
	}
	s.t.Fatalf("job does not end: state %q, runs %v", s.state(), s.runs)
}

// resultsByCustomID returns the results in a file by custom_id and checks that no
// item is in it twice.
func (s *simulation) resultsByCustomID(file []byte) map[string]item.Result {
	results := make(map[string]item.Result)
	for text := range strings.Lines(string(file)) {
		var r item.Result
		if err := json.Unmarshal([]byte(text), &r); err != nil {
			s.t.Fatalf("line %q: %v", text, err)
		}
		if _, duplicate := results[r.CustomID]; duplicate {
			s.t.Fatalf("item %s is in the file twice", r.CustomID)
		}
		results[r.CustomID] = r
	}
	return results
}
