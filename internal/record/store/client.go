package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/gravitational/trace"
)

const (
	dialTimeout     = 2 * time.Second
	callTimeout     = 5 * time.Second
	maxConnections  = 16
	jsonContentType = "application/json"
)

// Client speaks the v3 key-value API's JSON form to one of several endpoints
// and moves to the next endpoint after a failed call.
type Client struct {
	// endpoints holds base addresses, as in http://127.0.0.1:2379; never empty.
	endpoints []string
	current   atomic.Uint32
	unary     *client.Client
	// stream serves watches: the unary client can't abandon an open answer.
	stream *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the service behind endpoints.
func NewClient(endpoints []string) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, trace.BadParameter("no platform endpoint")
	}
	unary, err := client.NewClient(
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithMaxIdleConnDuration(time.Minute),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	stream := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	return &Client{endpoints: endpoints, unary: unary, stream: stream}, nil
}

func (c *Client) endpoint() string {
	return c.endpoints[int(c.current.Load())%len(c.endpoints)]
}

// call posts in to path and decodes the answer into out. An error before the
// request can have left is ErrUnavailable, any later one ErrUnclear.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodPost)
	req.SetRequestURI(c.endpoint() + path)
	req.Header.SetContentTypeBytes([]byte(jsonContentType))
	req.SetBody(body)
	timeout := callTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return ErrUnavailable
	}
	if err := c.unary.DoTimeout(ctx, req, resp, timeout); err != nil {
		c.current.Add(1)
		return classify(err)
	}
	if resp.StatusCode() != http.StatusOK {
		c.current.Add(1)
		return statusError(resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnclear, err)
	}
	return nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnclear, err)
}

// certainRefusals are texts of a 503 that say that the call was not begun. Any
// other 503, as for a request that timed out inside the service or met a
// change of its leader, may come after the write took effect.
var certainRefusals = [][]byte{
	[]byte(ErrUnavailable.Error()),
	[]byte("no leader"),
	[]byte("too many requests"),
}

func statusError(status int, body []byte) error {
	switch status {
	case http.StatusNotFound:
		return ErrLeaseNotFound
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, bytes.TrimSpace(body))
	case http.StatusServiceUnavailable:
		for _, text := range certainRefusals {
			if bytes.Contains(body, text) {
				return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, bytes.TrimSpace(body))
			}
		}
	}
	return fmt.Errorf("%w: status %d: %s", ErrUnclear, status, bytes.TrimSpace(body))
}

// Get returns the entry of key.
func (c *Client) Get(ctx context.Context, key string) (Entry, bool, error) {
	var out RangeResponse
	if err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &out); err != nil {
		return Entry{}, false, err
	}
	if len(out.KVs) == 0 {
		return Entry{}, false, nil
	}
	return entryOf(out.KVs[0]), true, nil
}

// Range returns the entries with from <= key < to.
func (c *Client) Range(ctx context.Context, from, to string, limit int) ([]Entry, int64, error) {
	in := RangeRequest{Key: []byte(from), RangeEnd: []byte(to), Limit: int64(limit)}
	var out RangeResponse
	if err := c.call(ctx, "/v3/kv/range", in, &out); err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, len(out.KVs))
	for i, kv := range out.KVs {
		entries[i] = entryOf(kv)
	}
	return entries, out.Header.Revision, nil
}

// Commit runs one transaction.
func (c *Client) Commit(ctx context.Context, txn Txn) (Outcome, error) {
	var out TxnResponse
	if err := c.call(ctx, "/v3/kv/txn", txnMessage(txn), &out); err != nil {
		return Outcome{}, err
	}
	return Outcome{Succeeded: out.Succeeded, Revision: out.Header.Revision}, nil
}

func txnMessage(txn Txn) TxnRequest {
	var m TxnRequest
	for _, compare := range txn.Compares {
		one := CompareMessage{Result: ResultEqual, Key: []byte(compare.Key)}
		if compare.Target == CreateRevision {
			one.Target, one.CreateRevision = TargetCreate, compare.Revision
		} else {
			one.Target, one.ModRevision = TargetMod, compare.Revision
		}
		m.Compare = append(m.Compare, one)
	}
	for _, put := range txn.Puts {
		m.Success = append(m.Success, Operation{
			Put: &PutRequest{Key: []byte(put.Key), Value: put.Value, Lease: int64(put.Lease)},
		})
	}
	for _, key := range txn.Deletes {
		m.Success = append(m.Success, Operation{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	return m
}

// Grant creates a lease; the platform counts its time in whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out LeaseMessage
	err := c.call(ctx, "/v3/lease/grant", LeaseMessage{TTL: int64(ttl.Seconds())}, &out)
	return LeaseID(out.ID), err
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var out KeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", LeaseMessage{ID: int64(id)}, &out); err != nil {
		return 0, err
	}
	if out.Result.TTL <= 0 {
		return 0, ErrLeaseNotFound
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	var out struct{}
	return c.call(ctx, "/v3/lease/revoke", LeaseMessage{ID: int64(id)}, &out)
}

// Watch streams the changes below prefix.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, fn func(Event)) error {
	body, err := json.Marshal(WatchRequest{Create: WatchCreate{
		Key: []byte(prefix), RangeEnd: []byte(PrefixEnd(prefix)), StartRevision: revision,
	}})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint()+"/v3/watch", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", jsonContentType)
	resp, err := c.stream.Do(req)
	if err != nil {
		c.current.Add(1)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, nil)
	}
	return readWatch(json.NewDecoder(resp.Body), fn)
}

func readWatch(decoder *json.Decoder, fn func(Event)) error {
	for {
		var message WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if message.Result.CompactRevision > 0 {
			return ErrCompacted
		}
		if message.Result.Canceled {
			return ErrUnavailable
		}
		for _, event := range message.Result.Events {
			fn(Event{Entry: entryOf(event.KV), Deleted: event.Type == EventDelete})
		}
	}
}

func entryOf(kv KeyValue) Entry {
	return Entry{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Lease:          LeaseID(kv.Lease),
	}
}
