// Package holder finds the host that holds a shard and speaks to it, in this
// process or over the network, until one answers or the caller's time is over.
// A message whose fate is unclear makes the answer say "may have run", never
// "not run".
package holder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/bundle"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/fleet/peer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/recorder"
	"github.com/kingcupquay/kingcupquay/internal/serving/caller"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	retryInterval   = 100 * time.Millisecond
	exchangeTimeout = 5 * time.Second
	// outageTimeout is when a store that takes no records is no longer waited
	// for, if that is certain.
	outageTimeout = 2 * time.Second
)

// Client speaks to the holders of shards.
type Client struct {
	recorder *recorder.Recorder
	jobs     *job.Manager
	pool     *peer.Pool
	// address returns the peer address of a host.
	address func(host string) (string, bool)
	self    string
}

var (
	_ caller.Records = (*Client)(nil)
	_ bundle.Jobs    = (*Client)(nil)
)

// New returns a client; address returns the peer address of a host, self is
// the name of this one.
func New(r *recorder.Recorder, jobs *job.Manager, pool *peer.Pool, address func(host string) (string, bool), self string) *Client {
	return &Client{recorder: r, jobs: jobs, pool: pool, address: address, self: self}
}

// exchange gives a message to a shard's holder until one answers. local or
// remote is called; a failure LeaseLost means that the holder has changed.
func (c *Client) exchange(ctx context.Context, shard int, local func(context.Context) *result.Error,
	remote func(context.Context, wire.PeerClient) (*result.Error, error)) *result.Error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ran, begin := result.RanNo, time.Now()
	for {
		failure, reached := c.once(ctx, shard, local, remote)
		if failure == nil || (failure.Code() != result.LeaseLost && failure.Code() != result.StoreUnavailable) {
			return failure
		}
		if failure.Code() == result.LeaseLost {
			c.recorder.Missed(ctx, shard)
		}
		if reached && failure.Ran() != result.RanNo {
			ran = result.RanMaybe
		}
		last := result.New(result.StoreUnavailable, "%s", failure.Message()).WithRetry(time.Second)
		if failure.Code() == result.StoreUnavailable && ran == result.RanNo && time.Since(begin) > outageTimeout {
			return last
		}
		select {
		case <-ctx.Done():
			return last.WithRan(ran)
		case <-time.After(retryInterval):
		}
	}
}

// once tries the holder as it is known now; reached says that the message may
// have come to a holder.
func (c *Client) once(ctx context.Context, shard int, local func(context.Context) *result.Error,
	remote func(context.Context, wire.PeerClient) (*result.Error, error)) (*result.Error, bool) {
	owner, ok := c.recorder.Owner(shard)
	if !ok {
		return result.New(result.LeaseLost, "no host holds shard %d", shard), false
	}
	if owner == c.self {
		return local(ctx), true
	}
	address, ok := c.address(owner)
	if !ok || !c.pool.Ready(ctx, address, request.Online) {
		return result.New(result.LeaseLost, "host %s of shard %d can't be reached", owner, shard), false
	}
	client, err := c.pool.Peer(address, request.Online)
	if err != nil {
		return result.New(result.LeaseLost, "%v", err), false
	}
	failure, err := remote(ctx, client)
	if err != nil {
		return result.New(result.LeaseLost, "host %s: %v", owner, err).WithRan(result.RanMaybe), true
	}
	return failure, true
}

// Claim records a request before it runs.
func (c *Client) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.Entry, *result.Error) {
	in.Shard = int32(zone.Shard(in.GetKey(), c.recorder.Shards()))
	var reply *wire.ClaimReply
	failure := c.exchange(ctx, int(in.Shard), func(ctx context.Context) *result.Error {
		reply = c.recorder.Claim(ctx, in)
		return reply.GetFailure().Err()
	}, func(ctx context.Context, peer wire.PeerClient) (*result.Error, error) {
		var err error
		reply, err = peer.Claim(ctx, in)
		return reply.GetFailure().Err(), err
	})
	if failure != nil {
		return nil, failure
	}
	return reply.GetExisting(), nil
}

// Finish records how an attempt ended.
func (c *Client) Finish(ctx context.Context, in *wire.FinishRequest) *result.Error {
	in.Shard = int32(zone.Shard(in.GetKey(), c.recorder.Shards()))
	return c.exchange(ctx, int(in.Shard), func(ctx context.Context) *result.Error {
		return c.recorder.Finish(ctx, in).GetFailure().Err()
	}, func(ctx context.Context, peer wire.PeerClient) (*result.Error, error) {
		reply, err := peer.Finish(ctx, in)
		return reply.GetFailure().Err(), err
	})
}

// Lookup reads the entry of a key.
func (c *Client) Lookup(ctx context.Context, key string) (*wire.Entry, *result.Error) {
	in := &wire.LookupRequest{Key: key, Shard: int32(zone.Shard(key, c.recorder.Shards()))}
	var reply *wire.LookupReply
	failure := c.exchange(ctx, int(in.Shard), func(ctx context.Context) *result.Error {
		reply = c.recorder.Lookup(ctx, in)
		return reply.GetFailure().Err()
	}, func(ctx context.Context, peer wire.PeerClient) (*result.Error, error) {
		var err error
		reply, err = peer.Lookup(ctx, in)
		return reply.GetFailure().Err(), err
	})
	return reply.GetEntry(), failure
}

// Act carries out an action on a job at its holder.
func (c *Client) Act(ctx context.Context, action, id string, body []byte) (*job.Record, *result.Error) {
	shard := zone.Shard(id, c.recorder.Shards())
	var record *job.Record
	failure := c.exchange(ctx, shard, func(ctx context.Context) *result.Error {
		var failure *result.Error
		record, failure = c.jobs.Serve(ctx, shard, action, id, body)
		return failure
	}, func(ctx context.Context, peer wire.PeerClient) (*result.Error, error) {
		reply, err := peer.Job(ctx, &wire.JobRequest{Shard: int32(shard), Action: action, Id: id, Body: body})
		if err != nil || reply.GetFailure() != nil {
			return reply.GetFailure().Err(), err
		}
		record = new(job.Record)
		return nil, json.Unmarshal(reply.GetBody(), record)
	})
	return record, failure
}
