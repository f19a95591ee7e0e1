// Package shardclient is the client to the hosts that hold shards. It finds the
// holder of a shard and calls it, in this process or over the network, and
// retries while the holder changes or the store is unavailable, until the call
// times out. If a call that failed in this way may have taken effect, the error
// that is returned when the retries end has RanMaybe, never RanNo.
package shardclient

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/batchapi"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/recorder"
	"github.com/kingcupquay/kingcupquay/internal/serving/onlineapi"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	retryInterval = 100 * time.Millisecond
	callTimeout   = 5 * time.Second
	// outageTimeout ends the retries earlier if the store is unavailable and no
	// attempt can have taken effect.
	outageTimeout = 2 * time.Second
)

// Client calls the holders of shards.
type Client struct {
	recorder *recorder.Recorder
	jobs     *job.Manager
	pool     *peer.Pool
	// address returns the peer address of a host.
	address func(host string) (string, bool)
	self    string
}

var (
	_ onlineapi.Records = (*Client)(nil)
	_ batchapi.Jobs     = (*Client)(nil)
)

// New returns a client; address returns the peer address of a host, and self is
// the name of this host.
func New(r *recorder.Recorder, jobs *job.Manager, pool *peer.Pool, address func(host string) (string, bool), self string) *Client {
	return &Client{recorder: r, jobs: jobs, pool: pool, address: address, self: self}
}

// callHolder calls local if this host holds the shard, else remote, and retries
// after LeaseLost, which means that the holder has changed or cannot be reached,
// and after StoreUnavailable.
func (c *Client) callHolder(ctx context.Context, shard int, local func(context.Context) *result.Error,
	remote func(context.Context, wire.PeerClient) (*result.Error, error)) *result.Error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ran, start := result.RanNo, time.Now()
	for {
		failure, reached := c.tryHolder(ctx, shard, local, remote)
		if failure == nil || (failure.Code() != result.LeaseLost && failure.Code() != result.StoreUnavailable) {
			return failure
		}
		if failure.Code() == result.LeaseLost {
			c.recorder.ReportFailure(ctx, shard)
		}
		if reached && failure.Ran() != result.RanNo {
			ran = result.RanMaybe
		}
		unavailable := result.New(result.StoreUnavailable, "%s", failure.Message()).WithRetry(time.Second)
		if failure.Code() == result.StoreUnavailable && ran == result.RanNo && time.Since(start) > outageTimeout {
			return unavailable
		}
		select {
		case <-ctx.Done():
			return unavailable.WithRan(ran)
		case <-time.After(retryInterval):
		}
	}
}

// tryHolder makes one attempt at the holder that the recorder returns; the
// second result reports whether the call may have reached a host.
func (c *Client) tryHolder(ctx context.Context, shard int, local func(context.Context) *result.Error,
	remote func(context.Context, wire.PeerClient) (*result.Error, error)) (*result.Error, bool) {
	holder, ok := c.recorder.Holder(shard)
	if !ok {
		return result.New(result.LeaseLost, "no host holds shard %d", shard), false
	}
	if holder == c.self {
		return local(ctx), true
	}
	address, ok := c.address(holder)
	if !ok || !c.pool.Ready(ctx, address, request.Online) {
		return result.New(result.LeaseLost, "host %s of shard %d can't be reached", holder, shard), false
	}
	client, err := c.pool.Client(address, request.Online)
	if err != nil {
		return result.New(result.LeaseLost, "%v", err), false
	}
	failure, err := remote(ctx, client)
	if err != nil {
		return result.New(result.LeaseLost, "host %s: %v", holder, err).WithRan(result.RanMaybe), true
	}
	return failure, true
}

// Claim records a request before it runs.
func (c *Client) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.Entry, *result.Error) {
	in.Shard = int32(rendezvous.Shard(in.GetKey(), c.recorder.Shards()))
	var reply *wire.ClaimReply
	failure := c.callHolder(ctx, int(in.Shard), func(ctx context.Context) *result.Error {
		reply = c.recorder.Claim(ctx, in)
		return reply.GetFailure().Err()
	}, func(ctx context.Context, client wire.PeerClient) (*result.Error, error) {
		var err error
		reply, err = client.Claim(ctx, in)
		return reply.GetFailure().Err(), err
	})
	if failure != nil {
		return nil, failure
	}
	return reply.GetExisting(), nil
}

// Finish records the outcome of an attempt.
func (c *Client) Finish(ctx context.Context, in *wire.FinishRequest) *result.Error {
	in.Shard = int32(rendezvous.Shard(in.GetKey(), c.recorder.Shards()))
	return c.callHolder(ctx, int(in.Shard), func(ctx context.Context) *result.Error {
		return c.recorder.Finish(ctx, in).GetFailure().Err()
	}, func(ctx context.Context, client wire.PeerClient) (*result.Error, error) {
		reply, err := client.Finish(ctx, in)
		return reply.GetFailure().Err(), err
	})
}

// Lookup returns the entry of a key.
func (c *Client) Lookup(ctx context.Context, key string) (*wire.Entry, *result.Error) {
	in := &wire.LookupRequest{Key: key, Shard: int32(rendezvous.Shard(key, c.recorder.Shards()))}
	var reply *wire.LookupReply
	failure := c.callHolder(ctx, int(in.Shard), func(ctx context.Context) *result.Error {
		reply = c.recorder.Lookup(ctx, in)
		return reply.GetFailure().Err()
	}, func(ctx context.Context, client wire.PeerClient) (*result.Error, error) {
		var err error
		reply, err = client.Lookup(ctx, in)
		return reply.GetFailure().Err(), err
	})
	return reply.GetEntry(), failure
}

// Act performs an action on a job at the holder of the job's shard.
func (c *Client) Act(ctx context.Context, action, id string, body []byte) (*job.Record, *result.Error) {
	shard := rendezvous.Shard(id, c.recorder.Shards())
	var record *job.Record
	failure := c.callHolder(ctx, shard, func(ctx context.Context) *result.Error {
		var failure *result.Error
		record, failure = c.jobs.Serve(ctx, shard, action, id, body)
		return failure
	}, func(ctx context.Context, client wire.PeerClient) (*result.Error, error) {
		reply, err := client.Job(ctx, &wire.JobRequest{Shard: int32(shard), Action: action, Id: id, Body: body})
		if err != nil || reply.GetFailure() != nil {
			return reply.GetFailure().Err(), err
		}
		record = new(job.Record)
		return nil, json.Unmarshal(reply.GetBody(), record)
	})
	return record, failure
}
