package job

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// poolSize bounds the items in progress on one host.
	poolSize  = 4096
	rangePage = 100
)

// Manager runs the jobs of the shards that this host holds.
type Manager struct {
	store  store.Store
	timer  timer.Service
	caller Caller
	holder Holder
	shards int
	pool   *ants.Pool

	mu sync.Mutex
	// open holds the shards whose jobs are loaded, runs the jobs in progress.
	open map[int]bool
	runs map[string]*Run
}

// NewManager returns a manager without jobs.
func NewManager(s store.Store, t timer.Service, caller Caller, holder Holder, shards int) (*Manager, error) {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Manager{
		store: s, timer: t, caller: caller, holder: holder, shards: shards, pool: pool,
		open: make(map[int]bool), runs: make(map[string]*Run),
	}, nil
}

// Open loads the jobs of a shard that this host has taken and goes on with
// those that are not final.
func (m *Manager) Open(ctx context.Context, shard int, token int64) error {
	entries, _, err := store.RangeAll(ctx, m.store, Prefix(shard), rangePage)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		record, err := DecodeRecord(entry.Value)
		if err != nil || record.State.Final() {
			continue
		}
		if err := m.resume(ctx, shard, token, record); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[shard] = true
	return nil
}

func (m *Manager) resume(ctx context.Context, shard int, token int64, record *Record) error {
	done := newBitmap(record.Total)
	entry, ok, err := m.store.Get(ctx, progressKey(record.ID))
	if err != nil {
		return err
	}
	if ok {
		stored, err := chunk.Unpack(entry.Value)
		if err != nil {
			return err
		}
		copy(done, stored)
	}
	m.start(shard, token, record, done)
	return nil
}

// Close stops the jobs of a shard without ending them; its next holder goes on.
func (m *Manager) Close(shard int) {
	m.mu.Lock()
	var runs []*Run
	for _, r := range m.runs {
		if r.shard == shard {
			runs = append(runs, r)
		}
	}
	delete(m.open, shard)
	m.mu.Unlock()
	for _, r := range runs {
		r.cancel(errMoved)
		<-r.ended
		r.checkpointAsync()
		r.writing.Lock()
		r.writing.Unlock() //nolint:staticcheck // waits for the last checkpoint
	}
}

func (m *Manager) start(shard int, token int64, record *Record, done bitmap) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &Run{
		store: m.store, timer: m.timer, caller: m.caller, holder: m.holder, pool: m.pool,
		shard: shard, token: token, job: *record, record: record, durable: done, seen: append(bitmap(nil), done...),
		cancel: cancel, ended: make(chan struct{}),
	}
	m.mu.Lock()
	m.runs[record.ID] = r
	m.mu.Unlock()
	go func() {
		r.work(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.runs[r.job.ID] == r {
			delete(m.runs, r.job.ID)
		}
	}()
	if r.job.State == Cancelling {
		cancel(errCancelled)
	}
}

// Create records a new job and starts it. A job with the same id is returned
// as it stands, so that a caller that resends gets the same job.
func (m *Manager) Create(ctx context.Context, shard int, record *Record) (*Record, *result.Error) {
	token, failure := m.token(shard)
	if failure != nil {
		return nil, failure
	}
	if existing, failure := m.Get(ctx, shard, record.ID); failure == nil {
		return existing, nil
	} else if failure.Code() != result.NotFound {
		return nil, failure
	}
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: zone.ShardName(shard), Target: store.CreateRevision, Revision: token},
			{Key: Key(shard, record.ID), Target: store.CreateRevision},
		},
		Puts: []store.Put{{Key: Key(shard, record.ID), Value: encodeRecord(record)}},
	}
	outcome, err := m.store.Commit(ctx, txn)
	if err != nil || !outcome.Succeeded {
		return m.createdAnyway(ctx, shard, token, record)
	}
	m.start(shard, token, record, newBitmap(record.Total))
	return record, nil
}

// createdAnyway settles a creation of unclear outcome by reading it back.
func (m *Manager) createdAnyway(ctx context.Context, shard int, token int64, record *Record) (*Record, *result.Error) {
	stored, failure := m.Get(ctx, shard, record.ID)
	if failure != nil {
		return nil, result.New(result.StoreUnavailable, "job not accepted; send it again").WithRetry(time.Second)
	}
	m.mu.Lock()
	_, running := m.runs[record.ID]
	m.mu.Unlock()
	if !running && !stored.State.Final() {
		m.start(shard, token, stored, newBitmap(stored.Total))
	}
	return stored, nil
}

func (m *Manager) token(shard int) (int64, *result.Error) {
	token, ok := m.holder.Token(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok || !m.open[shard] {
		return 0, result.New(result.LeaseLost, "shard %d is not held here", shard).WithRetry(time.Second)
	}
	return token, nil
}

// Get returns a job as it stands.
func (m *Manager) Get(ctx context.Context, shard int, id string) (*Record, *result.Error) {
	m.mu.Lock()
	r, ok := m.runs[id]
	m.mu.Unlock()
	if ok {
		record := r.Record()
		return &record, nil
	}
	return Load(ctx, m.store, shard, id)
}

// Load reads a job's record from the store.
func Load(ctx context.Context, s store.Store, shard int, id string) (*Record, *result.Error) {
	entry, ok, err := s.Get(ctx, Key(shard, id))
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	if !ok {
		return nil, result.New(result.NotFound, "no job %s", id)
	}
	record, err := DecodeRecord(entry.Value)
	if err != nil {
		return nil, result.New(result.Internal, "job %s: %v", id, err)
	}
	return record, nil
}

// Cancel stops a job for good. It returns once the wish is durable.
func (m *Manager) Cancel(ctx context.Context, shard int, id string) (*Record, *result.Error) {
	if _, failure := m.token(shard); failure != nil {
		return nil, failure
	}
	m.mu.Lock()
	r, ok := m.runs[id]
	m.mu.Unlock()
	if !ok {
		return Load(ctx, m.store, shard, id)
	}
	r.markCancelling()
	r.cancel(errCancelled)
	record := r.Record()
	return &record, nil
}

// markCancelling makes the wish durable unless the job has ended already.
func (r *Run) markCancelling() {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.mu.Lock()
	final := r.record.State.Final()
	if !final {
		r.record.State = Cancelling
	}
	r.mu.Unlock()
	if !final {
		r.writeAll("", "")
	}
}

// List returns an organisation's jobs, newest first.
func List(ctx context.Context, s store.Store, organisation string) ([]*Record, *result.Error) {
	entries, _, err := store.RangeAll(ctx, s, "job/", rangePage)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	var list []*Record
	for _, entry := range entries {
		record, err := DecodeRecord(entry.Value)
		if err == nil && record.Organisation == organisation {
			list = append(list, record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Created.After(list[j].Created) })
	return list, nil
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

// Runs reports whether the job is in progress on this host.
func (m *Manager) Runs(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.runs[id]
	return ok
}
