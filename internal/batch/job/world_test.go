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

// behaviour is what an item's runs bring: failures first, then an answer
// unless it always fails.
type behaviour struct {
	failure *result.Error
	times   int
}

const always = 1 << 20

var behaviours = []behaviour{
	{},
	{failure: result.New(result.InvalidField, "bad"), times: always},
	{failure: result.New(result.NoBackend, "away"), times: 7},
	{failure: result.New(result.BackendFailed, "broke").WithRan(result.RanMaybe), times: 3},
	{failure: result.New(result.BackendFailed, "breaks").WithRan(result.RanYes), times: always},
	{failure: result.New(result.BackendCrashed, "crashes").WithRan(result.RanMaybe), times: always},
	{failure: result.New(result.Stopping, "stopping").WithRan(result.RanMaybe), times: 9},
}

// naive runs one item to its end, alone: it says whether it has an answer.
func naive(b behaviour) bool { return b.failure == nil || b.times < always }

// durable is the store as far as one shard writes it.
type durable struct {
	token    int64
	revision int64
	last     string
	records  map[string]*job.Record
	done     map[string][]byte
	output   map[string][]byte
	errors   map[string][]byte
}

func newDurable() *durable {
	return &durable{
		token: 1, records: make(map[string]*job.Record), done: make(map[string][]byte),
		output: make(map[string][]byte), errors: make(map[string][]byte),
	}
}

// commit applies a checkpoint if its comparisons hold.
func (d *durable) commit(token int64, c *job.Checkpoint) bool {
	if token != d.token || c.PreviousRevision != d.revision {
		return false
	}
	for _, w := range c.Jobs {
		if _, ok := d.records[w.Record.ID]; ok == w.New {
			return false
		}
	}
	d.revision++
	d.last = c.ID
	for _, w := range c.Jobs {
		record := w.Record
		d.records[record.ID] = &record
		d.done[record.ID] = w.Done
		d.output[record.ID] = append(d.output[record.ID], w.Output...)
		d.errors[record.ID] = append(d.errors[record.ID], w.Errors...)
	}
	return true
}

func (d *durable) loaded() []job.LoadedJob {
	var list []job.LoadedJob
	for id, record := range d.records {
		r := *record
		list = append(list, job.LoadedJob{Record: &r, Done: bytes.Clone(d.done[id])})
	}
	return list
}

// world drives a shard's decisions by hand, one event at a time.
type world struct {
	t     *rapid.T
	now   time.Time
	store *durable
	shard *job.Shard
	token int64
	queue []job.Action
	// chunks holds the input, behave what each item does, runs how often it ran.
	chunks  [][]byte
	behave  []behaviour
	runs    []int
	replies map[job.Ticket]job.Action
	// writes are the times of checkpoints, written the id of the last one.
	writes  []time.Time
	written string
	ticket  job.Ticket
}

const jobName = "batch-1"

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), store: newDurable(), replies: make(map[job.Ticket]job.Action), token: 1,
	}
	w.shard = job.OpenShard(w.token, 0, nil)
	kinds := rapid.SliceOfN(rapid.IntRange(0, len(behaviours)-1), 1, 40).Draw(t, "items")
	perChunk := rapid.IntRange(1, 15).Draw(t, "lines per chunk")
	for n, kind := range kinds {
		if n%perChunk == 0 {
			w.chunks = append(w.chunks, nil)
		}
		last := len(w.chunks) - 1
		w.chunks[last] = append(w.chunks[last], line(n)...)
		w.behave = append(w.behave, behaviours[kind])
	}
	w.runs = make([]int, len(kinds))
	return w
}

func customID(n int) string { return fmt.Sprintf("c%d", n) }

func line(n int) string {
	return fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{}}`+"\n", n)
}

func (w *world) record() job.Record {
	r := job.Record{
		ID: jobName, State: job.InProgress, Created: w.now, Due: w.now.Add(time.Hour), InputFile: "f",
		Chunks: len(w.chunks), Total: len(w.behave),
	}
	start := 0
	for _, lines := range w.chunks {
		r.FirstItems = append(r.FirstItems, start)
		start += bytes.Count(lines, []byte("\n"))
	}
	if rapid.Bool().Draw(w.t, "starts unknown") {
		r.FirstItems = nil
	}
	return r
}

func (w *world) add(actions []job.Action) {
	for _, a := range actions {
		switch a.Kind {
		case job.ReplyTo:
			w.replies[a.Ticket] = a
		case job.WriteCheckpoint:
			if a.Checkpoint.ID != w.written {
				w.writes = append(w.writes, w.now)
			}
			w.written = a.Checkpoint.ID
			w.queue = append(w.queue, a)
		case job.ReadChunk, job.RunItem, job.ReadBack:
			if a.Kind == job.RunItem {
				w.runs[a.Number]++
			}
			w.queue = append(w.queue, a)
		}
	}
}

// advance lets time pass.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.add(w.shard.Tick(w.now))
}

// step carries out one outstanding action, chosen by the test, or lets time pass.
func (w *world) step() {
	if len(w.queue) == 0 {
		w.advance(500 * time.Millisecond)
		return
	}
	i := rapid.IntRange(0, len(w.queue)-1).Draw(w.t, "next")
	a := w.queue[i]
	w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	w.now = w.now.Add(10 * time.Millisecond)
	switch a.Kind {
	case job.ReadChunk:
		w.readChunk(a)
	case job.RunItem:
		w.add(w.shard.ItemEnded(w.now, a.Job, a.Number, w.answer(a.Number)))
	case job.WriteCheckpoint:
		w.write(a.Checkpoint)
	case job.ReadBack:
		failed := rapid.IntRange(0, 3).Draw(w.t, "read back fails") == 0
		w.add(w.shard.ReadBackDone(w.now, w.store.last, w.store.revision, w.store.token == w.token, failed))
	}
}

// reaches reports whether a run of the item reaches a back end.
func (w *world) reaches(n int) bool {
	b := w.behave[n]
	return b.failure == nil || b.failure.Ran() != result.RanNo
}

func (w *world) readChunk(a job.Action) {
	if rapid.IntRange(0, 5).Draw(w.t, "read fails") == 0 {
		w.add(w.shard.ChunkRead(w.now, a.Job, a.Chunk, nil, result.New(result.StoreUnavailable, "down")))
		return
	}
	w.add(w.shard.ChunkRead(w.now, a.Job, a.Chunk, w.chunks[a.Chunk], nil))
}

func (w *world) answer(n int) job.RunResult {
	if b := w.behave[n]; b.failure != nil && w.runs[n] <= b.times {
		return job.RunResult{Failure: b.failure}
	}
	return job.RunResult{Response: item.Response{StatusCode: 200, Body: json.RawMessage("{}")}}
}

func (w *world) write(c *job.Checkpoint) {
	fate := rapid.IntRange(0, 5).Draw(w.t, "write")
	switch fate {
	case 0:
		w.add(w.shard.Written(w.now, job.Unavailable, 0))
		return
	case 1:
		w.add(w.shard.Written(w.now, job.OutcomeUnknown, 0))
		return
	}
	if !w.store.commit(w.token, c) || fate == 2 {
		w.add(w.shard.Written(w.now, job.OutcomeUnknown, 0))
		return
	}
	w.add(w.shard.Written(w.now, job.Committed, w.store.revision))
}

// lose takes the shard to another host, which knows only what is durable.
func (w *world) lose() {
	w.store.token++
	w.token = w.store.token
	w.queue = nil
	w.shard = job.OpenShard(w.token, w.store.revision, w.store.loaded())
	w.advance(0)
}

func (w *world) create(r job.Record) {
	w.ticket++
	if _, ok := w.store.records[r.ID]; ok && !w.shard.IsRunning(r.ID) {
		return
	}
	w.add(w.shard.Create(w.now, w.ticket, r))
}

func (w *world) state() job.State {
	r, ok := w.store.records[jobName]
	if !ok {
		return ""
	}
	return r.State
}

// finish takes steps until the job is final; the caller resends it as clients do.
func (w *world) finish(r job.Record) {
	for range 20_000 {
		if w.state().Final() {
			return
		}
		if w.state() == "" {
			w.create(r)
		}
		w.step()
	}
	w.t.Fatalf("job does not end: state %q, runs %v", w.state(), w.runs)
}

// lines returns the results in a file by custom_id.
func (w *world) lines(file []byte) map[string]item.Result {
	found := make(map[string]item.Result)
	for text := range strings.Lines(string(file)) {
		var one item.Result
		if err := json.Unmarshal([]byte(text), &one); err != nil {
			w.t.Fatalf("line %q: %v", text, err)
		}
		if _, twice := found[one.CustomID]; twice {
			w.t.Fatalf("item %s stands twice", one.CustomID)
		}
		found[one.CustomID] = one
	}
	return found
}
