package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

// Rates are calls a second.
type Rates struct {
	Reads, Writes float64
}

// burstTime is how much of its rate an idle bucket saves up.
const burstTime = 2 * time.Second

// shareEvery is the time between two looks at the number of hosts.
const shareEvery = time.Second

// Bucket is a token bucket that keeps a share for urgent calls: background
// calls may take the level down to half, urgent ones down to nothing. It reads
// no clock.
type Bucket struct {
	// level is between 0 and burst.
	level, burst float64
	rate         float64
	at           time.Time
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, rate float64) *Bucket {
	b := &Bucket{at: now}
	b.SetRate(now, rate)
	b.level = b.burst
	return b
}

// SetRate changes the rate from now on.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.fill(now)
	b.rate, b.burst = rate, max(1, rate*burstTime.Seconds())
	b.level = min(b.level, b.burst)
}

func (b *Bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.burst, b.level+b.rate*passed.Seconds())
		b.at = now
	}
}

// Take takes one token and returns 0, or the wait until there can be one.
func (b *Bucket) Take(now time.Time, background bool) time.Duration {
	b.fill(now)
	need := 1.0
	if background {
		need += b.burst / 2
		need = min(need, b.burst)
	}
	if b.level >= need {
		b.level--
		return 0
	}
	if b.rate <= 0 {
		return time.Hour
	}
	return time.Duration((need-b.level)/b.rate*float64(time.Second)) + time.Microsecond
}

type backgroundKey struct{}

// InBackground marks the calls under ctx as able to wait for leases and claims.
func InBackground(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// maxBudgetWait bounds the wait of a call for the budget.
const maxBudgetWait = 2 * time.Second

// Metered counts a host's calls by kind and keeps them within its budget, an
// equal share of the deployment's. A call over budget waits, and is refused
// with ErrUnavailable, which is certain to have had no effect, if the wait
// would be too long. Lease calls are counted but never held back: a host has
// at most one renewal under way.
type Metered struct {
	store Store
	timer timer.Service
	total Rates
	hosts func() int

	mu sync.Mutex
	// share is the number of hosts that share the budget, as of sharedAt.
	share    int
	sharedAt time.Time
	reads    *Bucket
	writes   *Bucket
}

var _ Store = (*Metered)(nil)

// NewMetered returns s within the share of total that one of hosts() hosts has.
func NewMetered(s Store, t timer.Service, total Rates, hosts func() int) *Metered {
	now := t.Now()
	return &Metered{
		store: s, timer: t, total: total, hosts: hosts, share: 1,
		reads: NewBucket(now, total.Reads), writes: NewBucket(now, total.Writes),
	}
}

func count(kind, end string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kingcupquay_store_calls_total{kind=%q,end=%q}`, kind, end)).Inc()
}

func countEnd(kind string, err error) {
	if err != nil {
		count(kind, "failed")
		return
	}
	count(kind, "ok")
}

// take takes one token and returns the wait until there is one.
func (m *Metered) take(ctx context.Context, write bool) time.Duration {
	background, _ := ctx.Value(backgroundKey{}).(bool)
	now := m.timer.Now()
	m.divide(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if write {
		return m.writes.Take(now, background)
	}
	return m.reads.Take(now, background)
}

// divide works out the host's share of the budget, once in shareEvery.
func (m *Metered) divide(now time.Time) {
	m.mu.Lock()
	due := m.sharedAt.IsZero() || now.Sub(m.sharedAt) >= shareEvery
	m.mu.Unlock()
	if !due {
		return
	}
	share := max(1, m.hosts())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sharedAt = now
	if share != m.share {
		m.share = share
		m.reads.SetRate(now, m.total.Reads/float64(share))
		m.writes.SetRate(now, m.total.Writes/float64(share))
	}
}

// admit waits for the budget.
func (m *Metered) admit(ctx context.Context, kind string, write bool) error {
	var waited time.Duration
	for {
		wait := m.take(ctx, write)
		if wait == 0 {
			return nil
		}
		waited += wait
		if waited > maxBudgetWait {
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
func (m *Metered) Get(ctx context.Context, key string) (Entry, bool, error) {
	if err := m.admit(ctx, "get", false); err != nil {
		return Entry{}, false, err
	}
	entry, ok, err := m.store.Get(ctx, key)
	countEnd("get", err)
	return entry, ok, err
}

// Range returns the entries with from <= key < to.
func (m *Metered) Range(ctx context.Context, from, to string, limit int) ([]Entry, int64, error) {
	if err := m.admit(ctx, "range", false); err != nil {
		return nil, 0, err
	}
	entries, revision, err := m.store.Range(ctx, from, to, limit)
	countEnd("range", err)
	return entries, revision, err
}

// Commit runs one transaction.
func (m *Metered) Commit(ctx context.Context, txn Txn) (Outcome, error) {
	if err := m.admit(ctx, "txn", true); err != nil {
		return Outcome{}, err
	}
	outcome, err := m.store.Commit(ctx, txn)
	countEnd("txn", err)
	return outcome, err
}

// Grant creates a lease.
func (m *Metered) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	id, err := m.store.Grant(ctx, ttl)
	countEnd("grant", err)
	return id, err
}

// KeepAlive renews a lease.
func (m *Metered) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	ttl, err := m.store.KeepAlive(ctx, id)
	countEnd("keepalive", err)
	return ttl, err
}

// Revoke ends a lease.
func (m *Metered) Revoke(ctx context.Context, id LeaseID) error {
	err := m.store.Revoke(ctx, id)
	countEnd("revoke", err)
	return err
}

// Watch counts as one call for as long as it waits.
func (m *Metered) Watch(ctx context.Context, prefix string, revision int64, fn func(Event)) error {
	if err := m.admit(ctx, "watch", false); err != nil {
		return err
	}
	err := m.store.Watch(ctx, prefix, revision, fn)
	countEnd("watch", err)
	return err
}
