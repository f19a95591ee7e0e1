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
	// poolSize bounds the items in progress on one host.
	poolSize  = 4096
	rangePage = 100
	tickEvery = 50 * time.Millisecond
	shareTick = 250 * time.Millisecond
)

// ItemRunner runs one item to its end.
type ItemRunner interface {
	// Run runs an item; it returns soon after ctx ends.
	Run(ctx context.Context, id string, j *Record, i *item.Item) RunResult
	// MaxItems returns how many items this host may have in progress.
	MaxItems() int
}

// TokenSource tells whether this host may still act on a shard.
type TokenSource interface {
	// Token returns the fencing token of a shard held here.
	Token(shard int) (int64, bool)
}

// Gates keeps items that wait for something absent.
type Gates interface {
	// Park keeps an item; release is called once, later, from elsewhere.
	Park(p ParkedItem, release func())
}

// Options are what a manager is built on.
type Options struct {
	Store  store.Store
	Timer  timer.Service
	Runner ItemRunner
	Tokens TokenSource
	// Gates is needed only if Caller's answers say that an item is parked.
	Gates  Gates
	Shards int
	// Note records a change of state and its cause.
	Note func(kind, cause string, subjects ...string)
}

// Manager runs the jobs of the shards that this host holds.
type Manager struct {
	p    Options
	pool *ants.Pool
	done chan struct{}
	subs []*timer.Subscription

	mu sync.Mutex
	// open holds the shards whose jobs are loaded.
	open  map[int]*worker
	width AdaptiveLimit
}

// NewManager returns a manager without jobs.
func NewManager(p Options) (*Manager, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	m := &Manager{p: p, pool: pool, open: make(map[int]*worker), done: make(chan struct{})}
	m.subs = []*timer.Subscription{
		p.Timer.Every(tickEvery, func(now time.Time) { m.tick(now) }),
		p.Timer.Every(shareTick, func(now time.Time) { m.share(now) }),
	}
	return m, nil
}

// Stop ends the manager at once, as a crash would: nothing is written.
func (m *Manager) Stop() {
	for _, sub := range m.subs {
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
	list := make([]*worker, 0, len(m.open))
	for _, w := range m.open {
		list = append(list, w)
	}
	return list
}

func (m *Manager) tick(now time.Time) {
	for _, w := range m.workers() {
		w.tick(now)
	}
}

// share divides this host's items in progress among its jobs.
func (m *Manager) share(now time.Time) {
	workers := m.workers()
	var demands []Demand
	for _, w := range workers {
		demands = append(demands, w.demands()...)
	}
	m.mu.Lock()
	total := m.width.Limit(min(m.p.Runner.MaxItems(), poolSize))
	m.mu.Unlock()
	shares := Shares(now, total, demands)
	for _, w := range workers {
		w.setWindows(shares)
	}
}

func (m *Manager) returned(now time.Time, failure *result.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.width.Observe(now, failure)
}

// Open loads the jobs of a shard that this host has taken and goes on with
// those that are not final.
func (m *Manager) Open(ctx context.Context, shard int, token int64) error {
	jobs, revision, err := load(ctx, m.p.Store, shard)
	if err != nil {
		return err
	}
	w := &worker{
		m: m, number: shard, token: token, shard: OpenShard(token, revision, jobs),
		waiting: make(map[Ticket]chan reply), running: make(map[string]map[int]context.CancelFunc),
		closed: make(chan struct{}),
	}
	m.mu.Lock()
	m.open[shard] = w
	m.mu.Unlock()
	for _, one := range jobs {
		if !one.Record.State.Final() {
			m.p.Note("job taken over", "this host took its shard", one.Record.ID)
		}
	}
	w.tick(m.p.Timer.Now())
	return nil
}

// Close stops the jobs of a shard without ending them and returns when their
// last checkpoint is written, or the shard is not held any more.
func (m *Manager) Close(shard int) {
	m.mu.Lock()
	w, ok := m.open[shard]
	m.mu.Unlock()
	if !ok {
		return
	}
	w.close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open[shard] == w {
		delete(m.open, shard)
	}
}

func (m *Manager) worker(shard int) (*worker, *result.Error) {
	token, ok := m.p.Tokens.Token(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.open[shard]
	if !ok || w == nil || w.token != token {
		return nil, result.New(result.LeaseLost, "shard %d is not held here", shard).WithRetry(time.Second)
	}
	return w, nil
}

// Create records a new job and starts it. A job with the same id is returned
// as it stands, so that a caller that resends gets the same job.
func (m *Manager) Create(ctx context.Context, shard int, record *Record) (*Record, *result.Error) {
	w, failure := m.worker(shard)
	if failure != nil {
		return nil, failure
	}
	return w.ask(ctx, func(now time.Time, ticket Ticket) []Action { return w.shard.Create(now, ticket, *record) })
}

// Cancel stops a job for good. It returns once the wish is durable.
func (m *Manager) Cancel(ctx context.Context, shard int, id string) (*Record, *result.Error) {
	w, failure := m.worker(shard)
	if failure != nil {
		return nil, failure
	}
	return w.ask(ctx, func(now time.Time, ticket Ticket) []Action { return w.shard.Cancel(now, ticket, id) })
}

// Get returns a job as it stands.
func (m *Manager) Get(ctx context.Context, shard int, id string) (*Record, *result.Error) {
	if w, failure := m.worker(shard); failure == nil {
		if record, ok := w.get(id); ok {
			return &record, nil
		}
	}
	return Load(ctx, m.p.Store, shard, id)
}

// Serve carries out one action that another host forwarded to the holder.
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

// The actions that a shard's holder carries out.
const (
	ActionCreate = "create"
	ActionCancel = "cancel"
	ActionGet    = "get"
)

// IsRunning reports whether the job is in progress on this host.
func (m *Manager) IsRunning(id string) bool {
	for _, w := range m.workers() {
		if w.runs(id) {
			return true
		}
	}
	return false
}
