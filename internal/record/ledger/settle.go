package ledger

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// overdueMargin is added to a request's deadline before it is settled.
	overdueMargin = 2 * time.Second
	// openGrace is how long a new holder waits for the owners' reports.
	openGrace = 5 * time.Second
	// RerunTimeout bounds one more run of a request whose owner was lost.
	RerunTimeout = time.Minute
	// maxRuns bounds how often a request is run again.
	maxRuns = 3
	// rerunPause is the wait before the next run; it doubles with each.
	rerunPause = 5 * time.Second
	// loadRetry is the wait after a claim could not be read.
	loadRetry = 2 * time.Second
)

// settle handles every key that is due: overdue claims are decided, expired
// keys forgotten.
func (s *Shard) settle(now time.Time) []Action {
	var actions []Action
	for e := s.dueEntry(now); e != nil; e = s.dueEntry(now) {
		switch {
		case e.unwritten > 0:
			// The store is slow: look again when the record can be durable.
			e.overdue, e.expire = now.Add(overdueMargin), now.Add(overdueMargin)
		case e.State != Claimed:
			s.log.release(e)
			delete(s.entries, e.Key)
			continue
		case e.Idempotent && e.runnable && e.Runs < maxRuns:
			e.overdue = now.Add(RerunTimeout + overdueMargin)
			actions = append(actions, Action{Kind: LoadClaim, Found: *e})
		default:
			s.settleUnclear(now, e)
			continue
		}
		s.enqueue(e)
	}
	s.log.sweep()
	return actions
}

// settleUnclear records that the request may have run.
func (s *Shard) settleUnclear(now time.Time, e *Entry) {
	s.add(now, 0, []*wire.Record{{
		Key: e.Key, Attempt: e.Attempt, State: int32(MayHaveRun), Fingerprint: []byte(e.Fingerprint),
		Idempotent: e.Idempotent, Owner: e.Owner, AtMs: now.UnixMilli(), KeepMs: e.keep.Milliseconds(),
		Runs: int32(e.Runs), Failure: lostOwner(e.Owner),
	}})
}

// ClaimLoaded takes the result of LoadClaim: the claim's record, nil if it could
// not be read. The next run is claimed under an attempt of its own.
func (s *Shard) ClaimLoaded(now time.Time, found Entry, record *wire.Record) []Action {
	e, ok := s.entries[found.Key]
	if s.closed || !ok || e.State != Claimed || e.Attempt != found.Attempt || e.unwritten > 0 {
		return nil
	}
	if record == nil {
		e.overdue = now.Add(loadRetry)
		s.enqueue(e)
		return nil
	}
	again := proto.CloneOf(record)
	again.Runs = int32(e.Runs) + 1
	again.Attempt = fmt.Sprintf("%s+%d", baseAttempt(e.Attempt), again.GetRuns())
	again.Owner = s.host
	again.AtMs = now.UnixMilli()
	again.OverdueMs = now.Add(RerunTimeout + overdueMargin).UnixMilli()
	s.add(now, 0, []*wire.Record{again})
	s.pending[len(s.pending)-1].rerun = true
	return s.flush(now)
}

// postpone reports whether the end of a second run is not final because the
// request will be run once more, and plans that.
func (s *Shard) postpone(now time.Time, e *Entry, in *wire.FinishRequest) bool {
	state := State(in.GetState())
	final := state != NotRun && state != MayHaveRun
	if final || e.State != Claimed || e.Runs == 0 || e.Runs >= maxRuns {
		return false
	}
	e.overdue = now.Add(rerunPause << e.Runs)
	s.enqueue(e)
	return true
}
