package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

// Service is the complete interface of the platform's key-value service.
type Service interface {
	Store
	Poller
	StaleReader
}

// Instrumented exports metrics for every store call: a counter by kind and
// outcome and a histogram of durations. Unlike RateLimited it limits no call.
type Instrumented struct {
	service Service
	timer   timer.Service
}

var _ Service = (*Instrumented)(nil)

// NewInstrumented returns a store that forwards to s and exports metrics.
func NewInstrumented(s Service, t timer.Service) *Instrumented {
	return &Instrumented{service: s, timer: t}
}

// observe exports the outcome and duration of a call that began at start.
func (c *Instrumented) observe(kind string, start time.Time, err error) {
	outcome := "answered"
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		outcome = "unclear"
	case errors.Is(err, ErrRejected):
		outcome = "rejected"
	case errors.Is(err, ErrUnavailable):
		outcome = "unavailable"
	case err != nil:
		outcome = "refused"
	}
	count(kind, outcome)
	metrics.GetOrCreateHistogram(fmt.Sprintf(`kingcupquay_store_call_seconds{kind=%q}`, kind)).Update(c.timer.Now().Sub(start).Seconds())
}

// Get returns the entry of key and whether it exists.
func (c *Instrumented) Get(ctx context.Context, key string) (Entry, bool, error) {
	start := c.timer.Now()
	entry, ok, err := c.service.Get(ctx, key)
	c.observe("get", start, err)
	return entry, ok, err
}

// Range returns up to limit entries with from <= key < to.
func (c *Instrumented) Range(ctx context.Context, from, to string, limit int) ([]Entry, int64, error) {
	start := c.timer.Now()
	entries, revision, err := c.service.Range(ctx, from, to, limit)
	c.observe("range", start, err)
	return entries, revision, err
}

// RangeStale returns the entries with the prefix, possibly some seconds old.
func (c *Instrumented) RangeStale(ctx context.Context, prefix string) ([]Entry, error) {
	start := c.timer.Now()
	entries, err := c.service.RangeStale(ctx, prefix)
	c.observe("stale range", start, err)
	return entries, err
}

// Commit runs a transaction.
func (c *Instrumented) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	start := c.timer.Now()
	outcome, err := c.service.Commit(ctx, txn)
	c.observe("txn", start, err)
	return outcome, err
}

// Grant creates a lease.
func (c *Instrumented) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	start := c.timer.Now()
	id, err := c.service.Grant(ctx, ttl)
	c.observe("grant", start, err)
	return id, err
}

// KeepAlive renews a lease.
func (c *Instrumented) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	start := c.timer.Now()
	ttl, err := c.service.KeepAlive(ctx, id)
	c.observe("keepalive", start, err)
	return ttl, err
}

// Revoke ends a lease.
func (c *Instrumented) Revoke(ctx context.Context, id LeaseID) error {
	start := c.timer.Now()
	err := c.service.Revoke(ctx, id)
	c.observe("revoke", start, err)
	return err
}

// Poll waits for changes below prefix.
func (c *Instrumented) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	start := c.timer.Now()
	events, revision, err := c.service.Poll(ctx, prefix, after, wait)
	c.observe("poll", start, err)
	return events, revision, err
}

// Watch calls fn for each change; the call is counted when the watch ends.
func (c *Instrumented) Watch(ctx context.Context, prefix string, revision int64, fn func(Event)) error {
	start := c.timer.Now()
	err := c.service.Watch(ctx, prefix, revision, fn)
	c.observe("watch", start, err)
	return err
}
