package job

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// poolSize is the number of pooled goroutines that run items. It also caps the
	// limit of items in progress on one host.
	poolSize      = 4096
	rangePageSize = 100
	tickInterval  = 50 * time.Millisecond
	shareInterval = 250 * time.Millisecond
)

// ItemRunner runs items.
type ItemRunner interface {
	// Run runs an item of job j and returns its result. id is the request ID.
	// Run returns soon after ctx is cancelled.
	Run(ctx context.Context, id string, j *Record, i *item.Item) RunResult
	// MaxItems returns how many items this host may have in progress at most.
	MaxItems() int
}

// TokenSource provides the fencing tokens of the shards that this host holds.
type TokenSource interface {
	// Token returns the fencing token of a shard, and false if this host does
	// not hold the shard.
	Token(shard int) (int64, bool)
}

// Gates parks items whose model or service is unavailable.
type Gates interface {
	// Park adds a parked item and returns. release is called at most once, when
	// the item may run. The caller of Park holds a lock that release acquires, so
	// Park itself must not call release.
	Park(p ParkedItem, release func())
}

// Options holds the dependencies and settings of a Manager.
type Options struct {
	Store  store.Store
	Timer  timer.Service
	Runner ItemRunner
	Tokens TokenSource
	// Gates is required only if Runner returns results with Parked set.
	Gates  Gates
	Shards int
	// Note records a state change and its cause.
	Note func(kind, cause string, subjects ...string)
}

// Manager runs the jobs of the shards that this host holds. It drives one Shard
// for each of them: it passes events to the Shard and carries out the actions
// that the Shard returns.
type Manager struct {
	options       Options
	pool          *ants.Pool
	done          chan struct{}
	subscriptions []*timer.Subscription

	mu sync.Mutex
	// openShards holds the workers of the shards whose jobs are loaded.
	openShards map[int]*worker
	itemLimit  AdaptiveLimit
}

// NewManager returns a manager without open shards and starts its timers.
func NewManager(options Options) (*Manager, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	m := &Manager{options: options, pool: pool, openShards: make(map[int]*worker), done: make(chan struct{})}
	m.subscriptions = []*timer.Subscription{
		options.Timer.Every(tickInterval, func(now time.Time) { m.tick(now) }),
		options.Timer.Every(shareInterval, func(now time.Time) { m.divideItems(now) }),
	}
	return m, nil
}

// Stop ends the manager at once. Like a crash, it writes no checkpoint.
func (m *Manager) Stop() {
	for _, sub := range m.subscriptions {
		sub.Cancel()
	}
	for _, w := range m.workers() {
		w.abandon()
	}
	m.pool.Release()
}

func (m *Manager) workers() []*worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*worker, 0, len(m.openShards))
	for _, w := range m.openShards {
		list = append(list, w)
	}
	return list
}

func (m *Manager) tick(now time.Time) {
	for _, w := range m.workers() {
		w.tick(now)
	}
}

// divideItems divides the items that this host may have in progress among its
// jobs.
func (m *Manager) divideItems(now time.Time) {
	workers := m.workers()
	var demands []Demand
	for _, w := range workers {
		demands = append(demands, w.demands()...)
	}
	m.mu.Lock()
	total := m.itemLimit.Limit(min(m.options.Runner.MaxItems(), poolSize))
	m.mu.Unlock()
	shares := Shares(now, total, demands)
	for _, w := range workers {
		w.setWindows(shares)
	}
}

// adjustLimit updates the limit of items in progress after the run of an item.
func (m *Manager) adjustLimit(now time.Time, failure *result.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.itemLimit.Observe(now, failure)
}

// Open loads the jobs of a shard that this host has acquired and resumes those
// that are not final.
func (m *Manager) Open(ctx context.Context, shard int, token int64) error {
	jobs, revision, err := loadShard(ctx, m.options.Store, shard)
	if err != nil {
		return err
	}
	w := &worker{
		manager: m, shardNumber: shard, token: token, shard: OpenShard(token, revision, jobs),
		replyChans: make(map[Ticket]chan reply), cancels: make(map[string]map[int]context.CancelFunc),
		closed: make(chan struct{}),
	}
	m.mu.Lock()
	m.openShards[shard] = w
	m.mu.Unlock()
	for _, loaded := range jobs {
		if !loaded.Record.State.Final() {
			m.options.Note("job taken over", "this host took its shard", loaded.Record.ID)
		}
	}
	w.tick(m.options.Timer.Now())
	return nil
}

// Close stops running the jobs of a shard, so that another host can resume
// them. It returns when the last checkpoint is written or the shard is no longer
// held.
func (m *Manager) Close(shard int) {
	m.mu.Lock()
	w, ok := m.openShards[shard]
	m.mu.Unlock()
	if !ok {
		return
	}
	w.close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.openShards[shard] == w {
		delete(m.openShards, shard)
	}
}

// workerFor returns the worker of a shard if this host holds the shard under
// the token with which it was opened.
func (m *Manager) workerFor(shard int) (*worker, *result.Error) {
	token, ok := m.options.Tokens.Token(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.openShards[shard]
	if !ok || w == nil || w.token != token {
		return nil, result.New(result.LeaseLost, "shard %d is not held here", shard).WithRetry(time.Second)
	}
	return w, nil
}

// Create stores a new job and starts it. If a job with the same ID exists, Create
// returns its current record, so that it can safely be retried.
func (m *Manager) Create(ctx context.Context, shard int, record *Record) (*Record, *result.Error) {
	w, failure := m.workerFor(shard)
	if failure != nil {
		return nil, failure
	}
	return w.submit(ctx, func(now time.Time, ticket Ticket) []Action { return w.shard.Create(now, ticket, *record) })
}

// Cancel cancels a job. It returns once the cancellation is durable.
func (m *Manager) Cancel(ctx context.Context, shard int, id string) (*Record, *result.Error) {
	w, failure := m.workerFor(shard)
	if failure != nil {
		return nil, failure
	}
	return w.submit(ctx, func(now time.Time, ticket Ticket) []Action { return w.shard.Cancel(now, ticket, id) })
}

// Get returns the current record of a job. The record of a job that is not open
// on this host is read from the store.
func (m *Manager) Get(ctx context.Context, shard int, id string) (*Record, *result.Error) {
	if w, failure := m.workerFor(shard); failure == nil {
		if record, ok := w.get(id); ok {
			return &record, nil
		}
	}
	return Load(ctx, m.options.Store, shard, id)
}

// Serve carries out an action that another host forwarded to this host, the
// holder of the shard. An unknown action is served as ActionGet.
func (m *Manager) Serve(ctx context.Context, shard int, action, id string, body []byte) (*Record, *result.Error) {
	switch action {
	case ActionCreate:
		record := new(Record)
		if err := json.Unmarshal(body, record); err != nil {
			return nil, result.New(result.MalformedJSON, "%v", err)
		}
		return m.Create(ctx, shard, record)
	case ActionCancel:
		return m.Cancel(ctx, shard, id)
	}
	return m.Get(ctx, shard, id)
}

// The actions that other hosts forward to the holder of a shard.
const (
	ActionCreate = "create"
	ActionCancel = "cancel"
	ActionGet    = "get"
)

// IsRunning reports whether a job is in progress on this host.
func (m *Manager) IsRunning(id string) bool {
	for _, w := range m.workers() {
		if w.isRunning(id) {
			return true
		}
	}
	return false
}
