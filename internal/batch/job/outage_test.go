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
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

// reducedTotal is the number of items in tests where the largest job would take
// too long.
const reducedTotal = 10_000

// itemsPerChunk is the number of items in each chunk of the big job.
const itemsPerChunk = 1000

// bigJob returns the record of a job with total items. bigChunk returns its input
// chunks.
func bigJob(now time.Time, total int) job.Record {
	r := job.Record{
		ID: "big", State: job.InProgress, Created: now, Due: now.Add(48 * time.Hour), InputFile: "f",
		Chunks: total / itemsPerChunk, Total: total,
	}
	for i := range r.Chunks {
		r.FirstItems = append(r.FirstItems, i*itemsPerChunk)
	}
	return r
}

func bigChunk(number int) []byte {
	var lines bytes.Buffer
	for n := range itemsPerChunk {
		lines.WriteString(line(number*itemsPerChunk + n))
	}
	return lines.Bytes()
}

// driver carries out a shard's actions immediately. answer returns the result of
// a run of item n.
type driver struct {
	now       time.Time
	shard     *job.Shard
	store     *fakeStore
	storeDown bool
	answer    func(n int) job.RunResult
	started   int
	chunks    int
	writes    int
	// unreserved counts the items that started at or above the stored Reserved.
	unreserved int
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
				d.unreserved++
			}
			actions = append(actions, d.shard.ItemEnded(d.now, a.Job, a.Number, d.answer(a.Number))...)
		case job.WriteCheckpoint:
			if d.storeDown {
				// No outcome is reported, so the write stays in flight.
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

func successAnswer(int) job.RunResult {
	return job.RunResult{Response: item.Response{StatusCode: 200, Body: bytes.Repeat([]byte("1"), 100)}}
}

func newDriver(total int) *driver {
	d := &driver{now: time.Unix(1_000_000, 0), shard: job.OpenShard(1, 0, nil), store: newFakeStore(), answer: successAnswer}
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
		Expect(d.chunks).To(Equal(chunk.MaxLines / itemsPerChunk))
		Expect(d.unreserved).To(BeZero())
		Expect(d.writes).To(BeNumerically("<", 400))
	})

	It("stops starting items at a limit of unwritten results while the store is down", func() {
		d := newDriver(reducedTotal)
		d.tick(time.Second)
		d.storeDown = true
		before := d.started
		for range 3600 {
			d.tick(time.Second)
		}
		Expect(d.started-before).To(BeNumerically("<", 6_000), "4 MiB of results of about 1 KB each")
		Expect(d.unreserved).To(BeZero())
	})

	It("reads only the chunks with items to run after a take-over", func() {
		d := newDriver(reducedTotal)
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
		Expect(d.started).To(Equal(reducedTotal - done))
		Expect(d.chunks).To(BeNumerically("<=", (reducedTotal-done)/itemsPerChunk+2))
	})
})

var _ = Describe("an item that crashes every backend server", func() {
	It("fails with the cause after two crashes, and the other items complete", func() {
		d := newDriver(reducedTotal)
		crashes := 0
		d.answer = func(n int) job.RunResult {
			if n != reducedTotal-1 {
				return successAnswer(n)
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
		Expect([]int{final.Completed, final.Failed}).To(Equal([]int{reducedTotal - 1, 1}))
		Expect(string(d.store.errors["big"])).To(ContainSubstring("given up after 2 tries: back end crashed: engine died"))
	})
})

var _ = Describe("an item under which backend servers crashed", func() {
	It("completes once they are back, however many crashed", Label(specs.KnownRed), func() {
		const crashing = 5
		d := newDriver(reducedTotal)
		crashes := 0
		d.answer = func(n int) job.RunResult {
			if n != reducedTotal-1 || crashes == crashing {
				return successAnswer(n)
			}
			crashes++
			return job.RunResult{Failure: result.New(result.BackendCrashed, "engine died").WithRan(result.RanMaybe)}
		}
		for !d.store.records["big"].State.Final() {
			d.tick(50 * time.Millisecond)
		}
		Expect(crashes).To(Equal(crashing))
		Expect(d.store.records["big"].Failed).To(BeZero())
	})
})

var _ = Describe("ended jobs", func() {
	It("are removed after the retention period", func() {
		d := newDriver(reducedTotal)
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
		_, found := d.shard.Get("big")
		Expect(found).To(BeFalse())
	})
})

var _ = DescribeTable("shares of a host's items in progress",
	func(total int, demands []job.Demand, want map[string]int) {
		Expect(job.Shares(time.Unix(1_000_000, 0), total, demands)).To(Equal(want))
	},
	Entry("a small urgent job gets all it needs beside a huge one", 100, []job.Demand{
		{Job: "huge", Weight: 1, Due: time.Unix(1_086_400, 0), Remaining: 150_000},
		{Job: "small", Weight: 1, Due: time.Unix(1_000_060, 0), Remaining: 40},
	}, map[string]int{"huge": 60, "small": 40}),
	Entry("shares are proportional to the weights", 100, []job.Demand{
		{Job: "a", Weight: 3, Due: time.Unix(1_086_400, 0), Remaining: 1000},
		{Job: "b", Weight: 1, Due: time.Unix(1_086_400, 0), Remaining: 1000},
	}, map[string]int{"a": 75, "b": 25}),
	Entry("each job gets the minimum share", 20, []job.Demand{
		{Job: "a", Weight: 1000, Due: time.Unix(1_000_001, 0), Remaining: 1000},
		{Job: "b", Weight: 1, Due: time.Unix(1_086_400, 0), Remaining: 1000},
	}, map[string]int{"a": 19, "b": 4}),
	Entry("no job gets more than its items left", 1000, []job.Demand{
		{Job: "a", Weight: 5, Due: time.Unix(1_086_400, 0), Remaining: 3},
	}, map[string]int{"a": 3}),
)
