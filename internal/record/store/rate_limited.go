package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

// Rates are limits in calls per second.
type Rates struct {
	Reads, Writes float64
}

// burstDuration times the rate, but at least 1, is the capacity of a bucket.
const burstDuration = 2 * time.Second

// shareInterval is the time between two updates of the number of hosts.
const shareInterval = time.Second

// Bucket is a token bucket with two priorities: background calls may draw the
// level down to half of the capacity, all others down to zero. The caller passes
// the time to each method.
type Bucket struct {
	// level is between 0 and burst.
	level, burst float64
	rate         float64
	filledAt     time.Time
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, rate float64) *Bucket {
	b := &Bucket{filledAt: now}
	b.SetRate(now, rate)
	b.level = b.burst
	return b
}

// SetRate changes the rate and the capacity as of now.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	b.rate, b.burst = rate, max(1, rate*burstDuration.Seconds())
	b.level = min(b.level, b.burst)
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		b.filledAt = now
	}
}

// Take takes one token and returns 0, or takes none and returns the time until
// one can be available.
func (b *Bucket) Take(now time.Time, background bool) time.Duration {
	b.refill(now)
	required := 1.0
	if background {
		required += b.burst / 2
		required = min(required, b.burst)
	}
	if b.level >= required {
		b.level--
		return 0
	}
	if b.rate <= 0 {
		return time.Hour
	}
	return time.Duration((required-b.level)/b.rate*float64(time.Second)) + time.Microsecond
}

type backgroundKey struct{}

// WithBackground marks the calls under ctx as background calls, which leave half
// of each bucket to claims and other urgent calls.
func WithBackground(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// maxRateLimitWait bounds the time that a call waits for the rate limit.
const maxRateLimitWait = 2 * time.Second

// RateLimited counts a host's calls by kind and limits their rate to an equal
// share of the deployment's rates. A call over the limit waits; if the wait
// would exceed maxRateLimitWait, the call is not sent and fails with
// ErrUnavailable. Lease calls are counted but not limited: a host has at most
// one renewal in flight.
type RateLimited struct {
	store           Store
	timer           timer.Service
	deploymentRates Rates
	hosts           func() int

	mu sync.Mutex
	// hostCount is the number of hosts that the rates are divided by, read at
	// hostCountAt.
	hostCount   int
	hostCountAt time.Time
	reads       *Bucket
	writes      *Bucket
}

var _ Store = (*RateLimited)(nil)

// NewRateLimited returns a store that forwards to s and limits the rate of calls
// to deploymentRates divided by hosts(), the current number of hosts that share
// these rates.
func NewRateLimited(s Store, t timer.Service, deploymentRates Rates, hosts func() int) *RateLimited {
	now := t.Now()
	return &RateLimited{
		store: s, timer: t, deploymentRates: deploymentRates, hosts: hosts, hostCount: 1,
		reads: NewBucket(now, deploymentRates.Reads), writes: NewBucket(now, deploymentRates.Writes),
	}
}

func count(kind, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kingcupquay_store_calls_total{kind=%q,end=%q}`, kind, outcome)).Inc()
}

func countOutcome(kind string, err error) {
	if err != nil {
		count(kind, "failed")
		return
	}
	count(kind, "ok")
}

// take takes one token and returns 0, or returns the time until one can be
// available.
func (m *RateLimited) take(ctx context.Context, write bool) time.Duration {
	background, _ := ctx.Value(backgroundKey{}).(bool)
	now := m.timer.Now()
	m.updateShare(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if write {
		return m.writes.Take(now, background)
	}
	return m.reads.Take(now, background)
}

// updateShare recomputes the host's share of the rates, at most once per
// shareInterval.
func (m *RateLimited) updateShare(now time.Time) {
	m.mu.Lock()
	due := m.hostCountAt.IsZero() || now.Sub(m.hostCountAt) >= shareInterval
	m.mu.Unlock()
	if !due {
		return
	}
	hostCount := max(1, m.hosts())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hostCountAt = now
	if hostCount != m.hostCount {
		m.hostCount = hostCount
		m.reads.SetRate(now, m.deploymentRates.Reads/float64(hostCount))
		m.writes.SetRate(now, m.deploymentRates.Writes/float64(hostCount))
	}
}

// admit blocks until the rate limit allows a call, or returns ErrUnavailable.
func (m *RateLimited) admit(ctx context.Context, kind string, write bool) error {
	var waited time.Duration
	for {
		wait := m.take(ctx, write)
		if wait == 0 {
			return nil
		}
		waited += wait
		if waited > maxRateLimitWait {
			count(kind, "over_budget")
			return fmt.Errorf("%w: over the host's budget of calls", ErrUnavailable)
		}
		done := make(chan struct{})
		sub := m.timer.After(wait, func(time.Time) { close(done) })
		select {
		case <-done:
		case <-ctx.Done():
			sub.Cancel()
			count(kind, "over_budget")
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

// Get returns the entry of key.
func (m *RateLimited) Get(ctx context.Context, key string) (Entry, bool, error) {
	if err := m.admit(ctx, "get", false); err != nil {
		return Entry{}, false, err
	}
	entry, ok, err := m.store.Get(ctx, key)
	countOutcome("get", err)
	return entry, ok, err
}

// Range returns up to limit entries with from <= key < to.
func (m *RateLimited) Range(ctx context.Context, from, to string, limit int) ([]Entry, int64, error) {
	if err := m.admit(ctx, "range", false); err != nil {
		return nil, 0, err
	}
	entries, revision, err := m.store.Range(ctx, from, to, limit)
	countOutcome("range", err)
	return entries, revision, err
}

// Commit runs one transaction.
func (m *RateLimited) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	if err := m.admit(ctx, "txn", true); err != nil {
		return TxnResult{}, err
	}
	outcome, err := m.store.Commit(ctx, txn)
	countOutcome("txn", err)
	return outcome, err
}

// Grant creates a lease.
func (m *RateLimited) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	id, err := m.store.Grant(ctx, ttl)
	countOutcome("grant", err)
	return id, err
}

// KeepAlive renews a lease.
func (m *RateLimited) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	ttl, err := m.store.KeepAlive(ctx, id)
	countOutcome("keepalive", err)
	return ttl, err
}

// Revoke ends a lease.
func (m *RateLimited) Revoke(ctx context.Context, id LeaseID) error {
	err := m.store.Revoke(ctx, id)
	countOutcome("revoke", err)
	return err
}

// Watch calls fn for each change; the whole watch takes one token.
func (m *RateLimited) Watch(ctx context.Context, prefix string, revision int64, fn func(Event)) error {
	if err := m.admit(ctx, "watch", false); err != nil {
		return err
	}
	err := m.store.Watch(ctx, prefix, revision, fn)
	countOutcome("watch", err)
	return err
}
