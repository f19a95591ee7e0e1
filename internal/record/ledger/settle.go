package ledger

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// claimDeadlineMargin is how long after its request's deadline a claim is
	// overdue.
	claimDeadlineMargin = 2 * time.Second
	// openGracePeriod is how long a new holder waits for owners to report the
	// outcomes of claims that are overdue.
	openGracePeriod = 5 * time.Second
	// RerunTimeout limits one rerun of a request whose owner was lost.
	RerunTimeout = time.Minute
	// maxReruns limits the reruns of a request.
	maxReruns = 3
	// rerunBackoff is doubled for every rerun so far to get the delay before the
	// next one.
	rerunBackoff = 5 * time.Second
	// loadRetryDelay is the delay after a failed read of a claim.
	loadRetryDelay = 2 * time.Second
)

// resolveDue handles every due key. Expired keys are dropped. The request of an
// overdue claim is rerun if it is idempotent, is stored with the claim and has
// had fewer than maxReruns reruns; otherwise it is recorded as MayHaveRun.
func (s *Shard) resolveDue(now time.Time) []Action {
	var actions []Action
	for e := s.popDueEntry(now); e != nil; e = s.popDueEntry(now) {
		switch {
		case e.unwritten > 0:
			// The store has not confirmed the latest record yet: check later.
			e.claimDeadline, e.expiresAt = now.Add(claimDeadlineMargin), now.Add(claimDeadlineMargin)
		case e.State != Claimed:
			s.log.release(e)
			delete(s.entries, e.Key)
			continue
		case e.Idempotent && e.runnable && e.Runs < maxReruns:
			e.claimDeadline = now.Add(RerunTimeout + claimDeadlineMargin)
			actions = append(actions, Action{Kind: LoadClaim, Found: *e})
		default:
			s.recordMayHaveRun(now, e)
			continue
		}
		s.scheduleCheck(e)
	}
	s.log.markDead()
	return actions
}

// recordMayHaveRun records that the request of an overdue claim may have run.
func (s *Shard) recordMayHaveRun(now time.Time, e *Entry) {
	s.applyRecord(now, 0, []*wire.Record{{
		Key: e.Key, Attempt: e.Attempt, State: int32(MayHaveRun), Fingerprint: []byte(e.Fingerprint),
		Idempotent: e.Idempotent, Owner: e.Owner, AtMs: now.UnixMilli(), KeepMs: e.retention.Milliseconds(),
		Runs: int32(e.Runs), Failure: ownerLostFailure(e.Owner),
	}})
}

// ClaimLoaded handles the result of LoadClaim: the record of claim, nil if it
// could not be read. It claims the rerun under a new attempt.
func (s *Shard) ClaimLoaded(now time.Time, claim Entry, record *wire.Record) []Action {
	e, ok := s.entries[claim.Key]
	if s.closed || !ok || e.State != Claimed || e.Attempt != claim.Attempt || e.unwritten > 0 {
		return nil
	}
	if record == nil {
		e.claimDeadline = now.Add(loadRetryDelay)
		s.scheduleCheck(e)
		return nil
	}
	newClaim := proto.CloneOf(record)
	newClaim.Runs = int32(e.Runs) + 1
	newClaim.Attempt = fmt.Sprintf("%s+%d", baseAttempt(e.Attempt), newClaim.GetRuns())
	newClaim.Owner = s.host
	newClaim.AtMs = now.UnixMilli()
	newClaim.OverdueMs = now.Add(RerunTimeout + claimDeadlineMargin).UnixMilli()
	s.applyRecord(now, 0, []*wire.Record{newClaim})
	s.pending[len(s.pending)-1].rerun = true
	return s.flush(now)
}

// deferRerun schedules another rerun if a rerun ended as NotRun or MayHaveRun
// and the limit is not reached. It reports whether it did; the reported outcome
// is then not recorded.
func (s *Shard) deferRerun(now time.Time, e *Entry, in *wire.FinishRequest) bool {
	state := State(in.GetState())
	final := state != NotRun && state != MayHaveRun
	if final || e.State != Claimed || e.Runs == 0 || e.Runs >= maxReruns {
		return false
	}
	e.claimDeadline = now.Add(rerunBackoff << e.Runs)
	s.scheduleCheck(e)
	return true
}
