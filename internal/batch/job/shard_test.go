package job_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// TestAgainstNaive compares a shard under lost hosts, failed and unclear writes
// and events in any order with running each item alone.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		r := w.record()
		w.create(r)
		for range rapid.IntRange(0, 4).Draw(t, "losses") {
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				w.step()
			}
			w.lose()
			w.create(r)
		}
		w.finish(r)
		if w.state() != job.Completed {
			t.Fatalf("state %q", w.state())
		}
		output, errors := w.lines(w.store.output[jobName]), w.lines(w.store.errors[jobName])
		for n, b := range w.behave {
			id := customID(n)
			_, answered := output[id]
			_, failed := errors[id]
			if answered != naive(b) || failed == answered {
				t.Fatalf("item %d: answered %t, failed %t, naive %t", n, answered, failed, naive(b))
			}
		}
		final := w.store.records[jobName]
		if final.Completed != len(output) || final.Failed != len(errors) {
			t.Fatalf("counts %d and %d, files %d and %d", final.Completed, final.Failed, len(output), len(errors))
		}
	})
}

// TestCancelIsForGood cancels at any moment: a job whose cancel was confirmed
// as such never completes and starts no item any more.
func TestCancelIsForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		r := w.record()
		w.create(r)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			w.step()
		}
		if w.state() == "" {
			w.create(r)
			for w.state() == "" {
				w.step()
			}
		}
		w.ticket++
		cancel := w.ticket
		w.add(w.shard.Cancel(w.now, cancel, jobName))
		for range 2000 {
			if _, ok := w.replies[cancel]; ok {
				break
			}
			w.step()
		}
		reply := w.replies[cancel]
		if reply.Record == nil {
			t.Fatalf("cancel was not confirmed: %+v", reply)
		}
		if rapid.Bool().Draw(t, "host lost") {
			w.lose()
		}
		confirmed := reply.Record.State
		before := sum(w.runs)
		w.create(r)
		w.finish(r)
		if confirmed != job.Completed && w.state() != job.Cancelled {
			t.Fatalf("confirmed as %q, ended as %q", confirmed, w.state())
		}
		if sum(w.runs) != before {
			t.Fatalf("%d items started after the cancel", sum(w.runs)-before)
		}
	})
}

// TestExpiredJobListsEveryItem lets the due time pass at any moment: each item
// stands once in one of the files, and "not run" is said only of an item that
// no holder ever started.
func TestExpiredJobListsEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		r := w.record()
		w.create(r)
		for range rapid.IntRange(0, 2).Draw(t, "losses") {
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				w.step()
			}
			w.lose()
			w.create(r)
		}
		for w.state() == "" {
			w.create(r)
			w.step()
		}
		w.advance(time.Hour)
		w.finish(r)
		output, errors := w.lines(w.store.output[jobName]), w.lines(w.store.errors[jobName])
		if len(output)+len(errors) != len(w.behave) {
			t.Fatalf("%d answers and %d failures of %d items", len(output), len(errors), len(w.behave))
		}
		for n := range w.behave {
			one, failed := errors[customID(n)]
			if failed && one.Error.Ran == string(result.RanNo) && w.runs[n] > 0 && w.reaches(n) {
				t.Fatalf("item %d ran %d times and is called not run", n, w.runs[n])
			}
		}
	})
}

// TestWritesAreGrouped has many jobs with results all the time: a shard's
// checkpoints stay at least a tenth of a second apart, and the closing shard
// leaves nothing unwritten.
func TestWritesAreGrouped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for i := range w.behave {
			w.behave[i] = behaviour{}
		}
		r := w.record()
		jobs := rapid.IntRange(1, 30).Draw(t, "jobs")
		for i := range jobs {
			r.ID = customID(i)
			w.create(r)
		}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			w.step()
		}
		started := sum(w.runs)
		w.add(w.shard.Close(w.now))
		for range 3000 {
			w.step()
		}
		for i := 1; i < len(w.writes); i++ {
			if gap := w.writes[i].Sub(w.writes[i-1]); gap < 100*time.Millisecond {
				t.Fatalf("two checkpoints %v apart", gap)
			}
		}
		durable := 0
		for _, record := range w.store.records {
			durable += record.Completed
		}
		if durable != started {
			t.Fatalf("%d items started, %d results durable after the close", started, durable)
		}
	})
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
