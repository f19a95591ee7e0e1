package host

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// openTimeout bounds one try to read the jobs of a shard.
const (
	openTimeout = 10 * time.Second
	// openRetry is the time between two tries to open a shard's jobs.
	openRetry = 100 * time.Millisecond
)

// shardWon opens the jobs of a shard that this host has taken; it tries as
// long as the shard is held.
func (h *Host) shardWon(shard int, token int64) {
	for {
		err := h.openJobs(shard, token)
		if err == nil {
			return
		}
		if current, held := h.recorder.Token(shard); !held || current != token {
			h.note("jobs not opened", err.Error(), zone.ShardName(shard))
			return
		}
		time.Sleep(openRetry)
	}
}

func (h *Host) openJobs(shard int, token int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	return h.jobs.Open(ctx, shard, token)
}

// shardLost stops the jobs of a shard.
func (h *Host) shardLost(shard int) { h.jobs.Close(shard) }

// runAgain completes an idempotent request whose owner was lost; the claim is
// this host's, under an attempt of its own.
func (h *Host) runAgain(entry ledger.Entry, claim *wire.Record) {
	h.note("request run again", "owner did not report its end", entry.Key, entry.Attempt)
	r := claim.GetRequest().Request(h.timer.Now())
	o := r.Options()
	o.Deadline = h.timer.Now().Add(ledger.RerunTimeout)
	r = request.New(o)
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	defer cancel()
	h.front.RunClaimed(ctx, entry.Key, entry.Attempt, r)
}

// RunsJob reports whether the job is in progress on this host.
func (h *Host) RunsJob(id string) bool { return h.jobs.Runs(id) }
