package job_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// TestAgainstNaive compares a shard, under lost hosts, failed writes, writes with
// an unknown outcome and events in any order, with running each item alone.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		r := s.record()
		s.create(r)
		for range rapid.IntRange(0, 4).Draw(t, "losses") {
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				s.step()
			}
			s.failOver()
			s.create(r)
		}
		s.finish(r)
		if s.state() != job.Completed {
			t.Fatalf("state %q", s.state())
		}
		output, errors := s.resultsByCustomID(s.store.output[jobName]), s.resultsByCustomID(s.store.errors[jobName])
		for n, b := range s.itemBehaviours {
			id := customID(n)
			_, answered := output[id]
			_, failed := errors[id]
			if answered != eventuallyAnswered(b) || failed == answered {
				t.Fatalf("item %d: answered %t, failed %t, expected answered %t", n, answered, failed, eventuallyAnswered(b))
			}
		}
		final := s.store.records[jobName]
		if final.Completed != len(output) || final.Failed != len(errors) {
			t.Fatalf("record counts %d completed and %d failed, files have %d and %d", final.Completed, final.Failed, len(output), len(errors))
		}
	})
}

// TestCancelIsForGood cancels a job at a random time. Once the cancellation is
// confirmed, no more items may start and the job must end as cancelled, even if
// the host is lost, unless the job had already completed.
func TestCancelIsForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		r := s.record()
		s.create(r)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			s.step()
		}
		if s.state() == "" {
			s.create(r)
			for s.state() == "" {
				s.step()
			}
		}
		s.ticket++
		cancel := s.ticket
		s.add(s.shard.Cancel(s.now, cancel, jobName))
		for range 2000 {
			if _, ok := s.replies[cancel]; ok {
				break
			}
			s.step()
		}
		reply := s.replies[cancel]
		if reply.Record == nil {
			t.Fatalf("cancel was not confirmed: %+v", reply)
		}
		if rapid.Bool().Draw(t, "host lost") {
			s.failOver()
		}
		confirmed := reply.Record.State
		before := sum(s.runs)
		s.create(r)
		s.finish(r)
		if confirmed != job.Completed && s.state() != job.Cancelled {
			t.Fatalf("confirmed as %q, ended as %q", confirmed, s.state())
		}
		if sum(s.runs) != before {
			t.Fatalf("%d items started after the cancel", sum(s.runs)-before)
		}
	})
}

// TestExpiredJobListsEveryItem lets a job expire at a random time. Each item must
// be exactly once in one of the two files and may be reported as not run only if
// no holder has started a run of it that reaches a backend server.
func TestExpiredJobListsEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		r := s.record()
		s.create(r)
		for range rapid.IntRange(0, 2).Draw(t, "losses") {
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				s.step()
			}
			s.failOver()
			s.create(r)
		}
		for s.state() == "" {
			s.create(r)
			s.step()
		}
		s.advance(time.Hour)
		s.finish(r)
		output, errors := s.resultsByCustomID(s.store.output[jobName]), s.resultsByCustomID(s.store.errors[jobName])
		if len(output)+len(errors) != len(s.itemBehaviours) {
			t.Fatalf("%d answers and %d failures for %d items", len(output), len(errors), len(s.itemBehaviours))
		}
		for n := range s.itemBehaviours {
			entry, failed := errors[customID(n)]
			if failed && entry.Error.Ran == string(result.RanNo) && s.runs[n] > 0 && s.reachesBackend(n) {
				t.Fatalf("item %d ran %d times but is reported as not run", n, s.runs[n])
			}
		}
	})
}

// TestWritesAreGrouped runs many jobs that produce results at the same time. The
// checkpoints must be at least a tenth of a second apart, and closing the shard
// must write all results.
func TestWritesAreGrouped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for i := range s.itemBehaviours {
			s.itemBehaviours[i] = behaviour{}
		}
		r := s.record()
		jobs := rapid.IntRange(1, 30).Draw(t, "jobs")
		for i := range jobs {
			r.ID = customID(i)
			s.create(r)
		}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			s.step()
		}
		started := sum(s.runs)
		s.add(s.shard.Close(s.now))
		for range 3000 {
			s.step()
		}
		for i := 1; i < len(s.writes); i++ {
			if gap := s.writes[i].Sub(s.writes[i-1]); gap < 100*time.Millisecond {
				t.Fatalf("two checkpoints %v apart", gap)
			}
		}
		durable := 0
		for _, record := range s.store.records {
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
