package host

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/serving/caller"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	openTimeout = 10 * time.Second
	// windowExtra is how many items a job has waiting per slot in use.
	windowExtra = 2
)

// shardWon opens the jobs of a shard that this host has taken.
func (h *Host) shardWon(shard int, token int64) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	for {
		err := h.jobs.Open(ctx, shard, token)
		if err == nil {
			return
		}
		if _, held := h.recorder.Token(shard); !held || ctx.Err() != nil {
			h.note("jobs not opened", err.Error(), zone.ShardName(shard))
			return
		}
		time.Sleep(holderRetry)
	}
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

// itemCaller runs the items of jobs as batch requests of this host.
type itemCaller struct {
	host *Host
}

var _ job.Caller = (*itemCaller)(nil)

// Call runs one item.
func (c *itemCaller) Call(ctx context.Context, id string, j *job.Record, i *item.Item) (item.Response, *result.Error) {
	text := c.host.text.Load()
	if text == nil {
		return item.Response{}, result.New(result.StoreUnavailable, "no services text yet")
	}
	if i.URL() != j.Endpoint {
		return item.Response{}, result.New(result.InvalidItem, "url %s is not the job's endpoint", i.URL())
	}
	service, failure := caller.ServiceOf(text, i.URL(), i.Body())
	if failure != nil {
		return item.Response{}, failure
	}
	if o, ok := text.Organisation(j.Organisation); !ok || !o.Allows(service.Name) {
		return item.Response{}, result.New(result.ServiceForbidden, "organisation %s may not call %s", j.Organisation, service.Name)
	}
	o := caller.EngineOptions(service, i.URL(), i.Body())
	o.ID, o.Organisation, o.Urgency, o.Due = id, j.Organisation, request.Batch, j.Due
	_, _, body, failure := caller.RunWhole(ctx, c.host.dispatcher, request.New(o))
	return item.Response{StatusCode: http.StatusOK, RequestID: id, Body: body}, failure
}

// Window returns how many items of the job may be in progress: what the
// engines have slots for, and a few that wait so that no slot stays idle.
func (c *itemCaller) Window(*job.Record) int {
	text := c.host.text.Load()
	if text == nil {
		return windowExtra
	}
	slots := 0
	for _, b := range text.Backends() {
		slots += b.Slots
	}
	return slots * windowExtra
}

// RunsJob reports whether the job is in progress on this host.
func (h *Host) RunsJob(id string) bool { return h.jobs.Runs(id) }
