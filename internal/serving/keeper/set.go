package keeper

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// PolicyFactory returns the queue policy for a backend server; limit is the largest
// queue limit of the services that it serves.
type PolicyFactory func(b *services.Backend, limit int) queue.Policy

// PriorityPolicy returns the policy used in production.
func PriorityPolicy(b *services.Backend, limit int) queue.Policy {
	return queue.NewPriorityPolicy(b.Slots, limit)
}

// FIFOPolicy returns a simple baseline policy, for comparison.
func FIFOPolicy(b *services.Backend, limit int) queue.Policy {
	return queue.NewFIFO(b.Slots, limit)
}

// idleTimeout is how long a queue without requests stays in a Set.
const idleTimeout = 10 * time.Second

// setEntry is a queue with its reference count.
type setEntry struct {
	*Keeper
	// refs counts the requests in the queue. An idle queue is dropped only at
	// zero, since a server must not have two queues on this host.
	refs int
	// idleSince is when refs last decreased.
	idleSince time.Time
}

// Set holds the queues of the backend servers that this host is responsible for.
// A queue is created by the first request for its server and dropped after
// idleTimeout without requests, so that the host stops reporting the load of a
// server whose queue has moved to another host.
type Set struct {
	timer     timer.Service
	executor  Executor
	newPolicy PolicyFactory
	// online and batch run the attempts of all queues.
	online *ants.Pool
	batch  *ants.Pool

	// cacheSink receives the engines' cache events. It may be nil, and is not
	// changed after the first request.
	cacheSink CacheSink

	mu     sync.Mutex
	config *services.Text
	queues map[string]*setEntry
}

// maxAttempts bounds the concurrent attempts of one urgency on a host.
const maxAttempts = 1 << 16

// NewSet returns an empty set.
func NewSet(t timer.Service, executor Executor, newPolicy PolicyFactory) *Set {
	return &Set{
		timer: t, executor: executor, newPolicy: newPolicy, queues: make(map[string]*setEntry),
		online: newPool(), batch: newPool(),
	}
}

func newPool() *ants.Pool {
	pool, err := ants.NewPool(maxAttempts, ants.WithNonblocking(true))
	if err != nil {
		panic(err) // the options are constant
	}
	return pool
}

// Close stops the idle workers of the pools; attempts in progress continue.
func (s *Set) Close() {
	s.online.Release()
	s.batch.Release()
}

// SetServices applies a new services configuration. Queues get the new number of
// slots. The queue of a server that is gone or has a new address is dropped.
func (s *Set) SetServices(config *services.Text) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
	for name, k := range s.queues {
		b, ok := config.Backend(name)
		if !ok || b.Address != k.backend.Address {
			delete(s.queues, name)
			continue
		}
		k.Resize(b.Slots)
		k.SetLeaving(b.Leaving)
	}
}

// Run runs r through the queue of the backend server.
func (s *Set) Run(ctx context.Context, backend string, r *request.Request, sink request.Sink) *result.Error {
	s.mu.Lock()
	if s.config == nil {
		s.mu.Unlock()
		return result.New(result.StoreUnavailable, "no services text yet")
	}
	b, ok := s.config.Backend(backend)
	service, known := s.config.Service(r.Service())
	if !ok || !known {
		s.mu.Unlock()
		return result.New(result.NoBackend, "back end %s is not in the services text", backend)
	}
	k := s.acquire(b)
	share := 1
	if o, ok := s.config.Organisation(r.Organisation()); ok {
		share = o.Share
	}
	s.mu.Unlock()
	defer s.release(k)
	return k.Run(ctx, r, service, share, sink)
}

// acquire returns the queue of b with one more reference, creating it if needed;
// the caller holds s.mu.
func (s *Set) acquire(b *services.Backend) *setEntry {
	k, ok := s.queues[b.Name]
	if !ok {
		pools := Pools{Online: s.online, Batch: s.batch}
		k = &setEntry{Keeper: New(s.timer, s.executor, pools, *b, s.newPolicy(b, queueLimit(s.config, b)))}
		k.SetCacheSink(s.cacheSink)
		s.queues[b.Name] = k
	}
	k.refs++
	return k
}

func (s *Set) release(k *setEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k.refs--
	k.idleSince = s.timer.Now()
}

// dropIdle removes the queues that have had no requests for idleTimeout.
func (s *Set) dropIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, k := range s.queues {
		if k.refs == 0 && now.Sub(k.idleSince) >= idleTimeout {
			delete(s.queues, name)
		}
	}
}

// queueLimit returns the largest queue limit of the services that b serves, so
// that the limit does not depend on which service's request came first.
func queueLimit(config *services.Text, b *services.Backend) int {
	limit := 1
	for i := range config.Services() {
		s := &config.Services()[i]
		if slices.Contains(b.Services, s.Name) || (s.Kind == services.EngineKind && slices.Contains(b.Models, s.Model)) {
			limit = max(limit, s.QueueLimit)
		}
	}
	return limit
}

// Tick drops idle queues, calls Tick on all others and starts the load polls
// that are due.
func (s *Set) Tick() {
	s.dropIdle(s.timer.Now())
	for _, k := range s.snapshot() {
		k.Tick()
		k.Poll()
	}
}

func (s *Set) snapshot() []*Keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := make([]*Keeper, 0, len(s.queues))
	for _, k := range s.queues {
		snapshot = append(snapshot, k.Keeper)
	}
	return snapshot
}

// Loads returns the load of every queue in the set, sorted by server name.
func (s *Set) Loads() []*wire.Load {
	var loads []*wire.Load
	for _, k := range s.snapshot() {
		c := k.Counts()
		loads = append(loads, &wire.Load{
			Backend: k.backend.Name, Running: int32(c.Running), Waiting: int32(c.Waiting),
			Slots: int32(c.Slots), Batch: int32(c.BatchRunning + c.BatchWaiting),
			CacheEpoch: k.RecentCacheEpoch(),
		})
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].GetBackend() < loads[j].GetBackend() })
	return loads
}
