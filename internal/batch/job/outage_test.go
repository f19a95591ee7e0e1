package job_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// fewer is the size of a large job where the largest would take long.
const fewer = 10_000

// perChunk is the number of items in each chunk of the big job.
const perChunk = 1000

// bigJob is the largest job, with its chunks made when they are read.
func bigJob(now time.Time, total int) job.Record {
	r := job.Record{
		ID: "big", State: job.InProgress, Created: now, Due: now.Add(48 * time.Hour), InputFile: "f",
		Chunks: total / perChunk, Total: total,
	}
	for i := range r.Chunks {
		r.FirstItems = append(r.FirstItems, i*perChunk)
	}
	return r
}

func bigChunk(number int) []byte {
	var lines bytes.Buffer
	for n := range perChunk {
		lines.WriteString(line(number*perChunk + n))
	}
	return lines.Bytes()
}

// driver runs a shard's actions at once; items end as answer says.
type driver struct {
	now     time.Time
	shard   *job.Shard
	store   *durable
	down    bool
	answer  func(n int) job.RunResult
	started int
	chunks  int
	writes  int
	// allowed bounds the items that the store allows to start.
	tooFar int
}

func (d *driver) run(actions []job.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case job.ReadChunk:
			d.chunks++
			actions = append(actions, d.shard.ChunkRead(d.now, a.Job, a.Chunk, bigChunk(a.Chunk), nil)...)
		case job.RunItem:
			d.started++
			if r := d.store.records[a.Job]; a.Number >= r.Reserved {
				d.tooFar++
			}
			actions = append(actions, d.shard.ItemEnded(d.now, a.Job, a.Number, d.answer(a.Number))...)
		case job.WriteCheckpoint:
			if d.down {
				// The shell tries again after a pause; here at the next tick.
				continue
			}
			d.writes++
			Expect(d.store.commit(1, a.Checkpoint)).To(BeTrue())
			actions = append(actions, d.shard.Written(d.now, job.Committed, d.store.revision)...)
		}
	}
}

func (d *driver) tick(step time.Duration) {
	d.now = d.now.Add(step)
	d.run(d.shard.Tick(d.now))
}

func answered(int) job.RunResult {
	return job.RunResult{Response: item.Response{StatusCode: 200, Body: bytes.Repeat([]byte("1"), 100)}}
}

func newDriver(total int) *driver {
	d := &driver{now: time.Unix(1_000_000, 0), shard: job.OpenShard(1, 0, nil), store: newDurable(), answer: answered}
	d.run(d.shard.Create(d.now, 1, bigJob(d.now, total)))
	d.shard.SetWindow("big", 64)
	return d
}

var _ = Describe("a job of the largest size", func() {
	It("reads each chunk once and writes few, large checkpoints", func() {
		d := newDriver(chunk.MaxLines)
		for range 100_000 {
			if d.store.records["big"].State.Final() {
				break
			}
			d.tick(50 * time.Millisecond)
		}
		final := d.store.records["big"]
		Expect(final.State).To(Equal(job.Completed))
		Expect(final.Completed).To(Equal(chunk.MaxLines))
		Expect(d.started).To(Equal(chunk.MaxLines))
		Expect(d.chunks).To(Equal(chunk.MaxLines / perChunk))
		Expect(d.tooFar).To(BeZero())
		Expect(d.writes).To(BeNumerically("<", 400))
	})

	It("stops with a bounded number of results while the store is down", func() {
		d := newDriver(fewer)
		d.tick(time.Second)
		d.down = true
		before := d.started
		for range 3600 {
			d.tick(time.Second)
		}
		Expect(d.started-before).To(BeNumerically("<", 6_000), "4 MiB of results of about 1 KB each")
		Expect(d.tooFar).To(BeZero())
	})

	It("reads on a take-over only the chunks with items to run", func() {
		d := newDriver(fewer)
		for d.store.records["big"].Completed < 6_000 {
			d.tick(50 * time.Millisecond)
		}
		done := d.store.records["big"].Completed
		d.shard = job.OpenShard(1, d.store.revision, d.store.loaded())
		d.shard.SetWindow("big", 64)
		d.chunks, d.started = 0, 0
		for !d.store.records["big"].State.Final() {
			d.tick(50 * time.Millisecond)
		}
		Expect(d.started).To(Equal(fewer - done))
		Expect(d.chunks).To(BeNumerically("<=", (fewer-done)/perChunk+2))
	})
})

var _ = Describe("an item that can never be done", func() {
	It("crashes two back ends at most and fails with the cause, while the rest completes", func() {
		d := newDriver(fewer)
		crashes := 0
		d.answer = func(n int) job.RunResult {
			if n != fewer-1 {
				return answered(n)
			}
			crashes++
			return job.RunResult{Failure: result.New(result.BackendCrashed, "engine died").WithRan(result.RanMaybe)}
		}
		for !d.store.records["big"].State.Final() {
			d.tick(50 * time.Millisecond)
		}
		Expect(crashes).To(Equal(2))
		final := d.store.records["big"]
		Expect(final.State).To(Equal(job.Completed))
		Expect([]int{final.Completed, final.Failed}).To(Equal([]int{fewer - 1, 1}))
		Expect(string(d.store.errors["big"])).To(ContainSubstring("given up after 2 tries: back end crashed: engine died"))
	})
})

var _ = Describe("ended jobs", func() {
	It("are removed after the keep time, one at a time", func() {
		d := newDriver(fewer)
		d.run(d.shard.Cancel(d.now, 2, "big"))
		for !d.store.records["big"].State.Final() {
			d.tick(50 * time.Millisecond)
		}
		d.now = d.now.Add(job.RetentionPeriod - time.Minute)
		Expect(d.shard.Tick(d.now)).To(BeEmpty())
		d.now = d.now.Add(2 * time.Minute)
		actions := d.shard.Tick(d.now)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(job.Remove))
		d.shard.Removed("big", true)
		_, known := d.shard.Get("big")
		Expect(known).To(BeFalse())
	})
})

var _ = DescribeTable("shares of a host's items in progress",
	func(total int, demands []job.Demand, want map[string]int) {
		Expect(job.Shares(time.Unix(1_000_000, 0), total, demands)).To(Equal(want))
	},
	Entry("a huge job leaves a small urgent one all it needs", 100, []job.Demand{
		{Job: "huge", Weight: 1, Due: time.Unix(1_086_400, 0), Remaining: 150_000},
		{Job: "small", Weight: 1, Due: time.Unix(1_000_060, 0), Remaining: 40},
	}, map[string]int{"huge": 60, "small": 40}),
	Entry("weight cuts the shares", 100, []job.Demand{
		{Job: "a", Weight: 3, Due: time.Unix(1_086_400, 0), Remaining: 1000},
		{Job: "b", Weight: 1, Due: time.Unix(1_086_400, 0), Remaining: 1000},
	}, map[string]int{"a": 75, "b": 25}),
	Entry("nobody starves", 20, []job.Demand{
		{Job: "a", Weight: 1000, Due: time.Unix(1_000_001, 0), Remaining: 1000},
		{Job: "b", Weight: 1, Due: time.Unix(1_086_400, 0), Remaining: 1000},
	}, map[string]int{"a": 19, "b": 4}),
	Entry("what is left is the bound", 1000, []job.Demand{
		{Job: "a", Weight: 5, Due: time.Unix(1_086_400, 0), Remaining: 3},
	}, map[string]int{"a": 3}),
)
