package host

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// openTimeout limits one attempt to open the jobs of a shard.
	openTimeout = 10 * time.Second
	// openRetryInterval is the time between two attempts.
	openRetryInterval = 100 * time.Millisecond
)

// shardAcquired opens the jobs of a shard that this host has acquired. It retries
// as long as the shard is held under the same token.
func (h *Host) shardAcquired(shard int, token int64) {
	for {
		err := h.openJobs(shard, token)
		if err == nil {
			return
		}
		if current, held := h.recorder.Token(shard); !held || current != token {
			h.note("jobs not opened", err.Error(), rendezvous.ShardName(shard))
			return
		}
		time.Sleep(openRetryInterval)
	}
}

func (h *Host) openJobs(shard int, token int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	return h.jobs.Open(ctx, shard, token)
}

// shardLost stops the jobs of a shard that this host holds no longer.
func (h *Host) shardLost(shard int) { h.jobs.Close(shard) }

// rerunRequest runs an idempotent request whose owner was lost and records its
// outcome. This host has claimed the request under a new attempt.
func (h *Host) rerunRequest(entry ledger.Entry, claim *wire.Record) {
	h.note("request run again", "owner did not report its end", entry.Key, entry.Attempt)
	r := claim.GetRequest().Request(h.timer.Now())
	o := r.Options()
	o.Deadline = h.timer.Now().Add(ledger.RerunTimeout)
	r = request.New(o)
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	defer cancel()
	h.callerAPI.RunClaimed(ctx, entry.Key, entry.Attempt, r)
}

// RunsJob reports whether the job is in progress on this host.
func (h *Host) RunsJob(id string) bool { return h.jobs.IsRunning(id) }
