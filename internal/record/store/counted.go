package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

// Whole is all that the platform's service offers.
type Whole interface {
	Store
	Poller
	Staler
}

// Counted counts a host's calls by kind and end and keeps their times. Unlike
// Metered it holds no call back.
type Counted struct {
	whole Whole
	timer timer.Service
}

var _ Whole = (*Counted)(nil)

// NewCounted returns s with its calls counted.
func NewCounted(s Whole, t timer.Service) *Counted { return &Counted{whole: s, timer: t} }

// done counts a call that began at a time.
func (c *Counted) done(kind string, began time.Time, err error) {
	end := "answered"
	switch {
	case errors.Is(err, ErrUnclear):
		end = "unclear"
	case errors.Is(err, ErrUnavailable):
		end = "unavailable"
	case err != nil:
		end = "refused"
	}
	count(kind, end)
	metrics.GetOrCreateHistogram(fmt.Sprintf(`kingcupquay_store_call_seconds{kind=%q}`, kind)).Update(c.timer.Now().Sub(began).Seconds())
}

// Get returns the entry of key and whether it exists.
func (c *Counted) Get(ctx context.Context, key string) (Entry, bool, error) {
	began := c.timer.Now()
	entry, ok, err := c.whole.Get(ctx, key)
	c.done("get", began, err)
	return entry, ok, err
}

// Range returns the entries with from <= key < to.
func (c *Counted) Range(ctx context.Context, from, to string, limit int) ([]Entry, int64, error) {
	began := c.timer.Now()
	entries, revision, err := c.whole.Range(ctx, from, to, limit)
	c.done("range", began, err)
	return entries, revision, err
}

// RangeStale returns the entries with the prefix.
func (c *Counted) RangeStale(ctx context.Context, prefix string) ([]Entry, error) {
	began := c.timer.Now()
	entries, err := c.whole.RangeStale(ctx, prefix)
	c.done("stale range", began, err)
	return entries, err
}

// Commit runs a transaction.
func (c *Counted) Commit(ctx context.Context, txn Txn) (Outcome, error) {
	began := c.timer.Now()
	outcome, err := c.whole.Commit(ctx, txn)
	c.done("txn", began, err)
	return outcome, err
}

// Grant creates a lease.
func (c *Counted) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	began := c.timer.Now()
	id, err := c.whole.Grant(ctx, ttl)
	c.done("grant", began, err)
	return id, err
}

// KeepAlive renews a lease.
func (c *Counted) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	began := c.timer.Now()
	ttl, err := c.whole.KeepAlive(ctx, id)
	c.done("keepalive", began, err)
	return ttl, err
}

// Revoke ends a lease.
func (c *Counted) Revoke(ctx context.Context, id LeaseID) error {
	began := c.timer.Now()
	err := c.whole.Revoke(ctx, id)
	c.done("revoke", began, err)
	return err
}

// Poll waits for changes.
func (c *Counted) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	began := c.timer.Now()
	events, revision, err := c.whole.Poll(ctx, prefix, after, wait)
	c.done("poll", began, err)
	return events, revision, err
}

// Watch calls fn for each change; it is counted when it ends.
func (c *Counted) Watch(ctx context.Context, prefix string, revision int64, fn func(Event)) error {
	began := c.timer.Now()
	err := c.whole.Watch(ctx, prefix, revision, fn)
	c.done("watch", began, err)
	return err
}
