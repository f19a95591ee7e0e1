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

// PolicyFactory makes the queue of a back end.
type PolicyFactory func(b *services.Backend, limit int) queue.Policy

// PriorityPolicy makes the queues of production.
func PriorityPolicy(b *services.Backend, limit int) queue.Policy {
	return queue.NewPriorityPolicy(b.Slots, limit)
}

// FIFOPolicy makes queues that others are measured against.
func FIFOPolicy(b *services.Backend, limit int) queue.Policy {
	return queue.NewFIFO(b.Slots, limit)
}

// idleFor is how long a keeper without requests is kept.
const idleFor = 10 * time.Second

// kept is a keeper with what the set knows about it.
type kept struct {
	*Keeper
	// users counts the requests at the keeper; it is dropped only at zero, for
	// a back end must not have two queues here.
	users int
	// idle is when users fell to zero.
	idle time.Time
}

// Set holds the keepers of the back ends that this host keeps. A keeper is
// made when the first request for its back end comes in and dropped after some
// time without any, so that a host stops reporting the load of a back end
// that another host keeps now.
type Set struct {
	timer    timer.Service
	executor Executor
	policy   PolicyFactory
	// online and batch run the attempts of all keepers.
	online *ants.Pool
	batch  *ants.Pool

	// cached takes the engines' cache events; it is nil or set before the start.
	cached CacheSink

	mu      sync.Mutex
	text    *services.Text
	keepers map[string]*kept
}

// maxAttempts bounds the attempts of one urgency side by side on a host.
const maxAttempts = 1 << 16

// NewSet returns a set without keepers.
func NewSet(t timer.Service, executor Executor, policy PolicyFactory) *Set {
	return &Set{
		timer: t, executor: executor, policy: policy, keepers: make(map[string]*kept),
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

// Close ends the pools' idle workers; attempts in progress go on.
func (s *Set) Close() {
	s.online.Release()
	s.batch.Release()
}

// SetServices takes a new services text: keepers get their new number of slots,
// and a back end with a new address gets a new keeper.
func (s *Set) SetServices(text *services.Text) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = text
	for name, k := range s.keepers {
		b, ok := text.Backend(name)
		if !ok || b.Address != k.backend.Address {
			delete(s.keepers, name)
			continue
		}
		k.Resize(b.Slots)
		k.SetLeaving(b.Leaving)
	}
}

// Run runs r at the keeper of the back end.
func (s *Set) Run(ctx context.Context, backend string, r *request.Request, sink request.Sink) *result.Error {
	s.mu.Lock()
	if s.text == nil {
		s.mu.Unlock()
		return result.New(result.StoreUnavailable, "no services text yet")
	}
	b, ok := s.text.Backend(backend)
	service, known := s.text.Service(r.Service())
	if !ok || !known {
		s.mu.Unlock()
		return result.New(result.NoBackend, "back end %s is not in the services text", backend)
	}
	k := s.join(b)
	share := 1
	if o, ok := s.text.Organisation(r.Organisation()); ok {
		share = o.Share
	}
	s.mu.Unlock()
	defer s.leave(k)
	return k.Run(ctx, r, service, share, sink)
}

// join returns the keeper of b with one more user; the caller holds s.mu.
func (s *Set) join(b *services.Backend) *kept {
	k, ok := s.keepers[b.Name]
	if !ok {
		pools := Pools{Online: s.online, Batch: s.batch}
		k = &kept{Keeper: New(s.timer, s.executor, pools, *b, s.policy(b, queueLimit(s.text, b)))}
		k.SetCacheSink(s.cached)
		s.keepers[b.Name] = k
	}
	k.users++
	return k
}

func (s *Set) leave(k *kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k.users--
	k.idle = s.timer.Now()
}

// dropIdle forgets the keepers that nobody has used for a while.
func (s *Set) dropIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, k := range s.keepers {
		if k.users == 0 && now.Sub(k.idle) >= idleFor {
			delete(s.keepers, name)
		}
	}
}

// queueLimit returns the largest limit of the services that b answers, so that
// the queue of a back end does not depend on whose request came first.
func queueLimit(text *services.Text, b *services.Backend) int {
	limit := 1
	for i := range text.Services() {
		s := &text.Services()[i]
		if slices.Contains(b.Services, s.Name) || (s.Kind == services.EngineKind && slices.Contains(b.Models, s.Model)) {
			limit = max(limit, s.QueueLimit)
		}
	}
	return limit
}

// Tick lets every queue refuse what waited too long and asks engines for
// their load when it is time.
func (s *Set) Tick() {
	s.dropIdle(s.timer.Now())
	for _, k := range s.list() {
		k.Tick()
		k.Poll()
	}
}

func (s *Set) list() []*Keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Keeper, 0, len(s.keepers))
	for _, k := range s.keepers {
		list = append(list, k.Keeper)
	}
	return list
}

// Loads returns the load of every back end kept here, by name.
func (s *Set) Loads() []*wire.Load {
	var loads []*wire.Load
	for _, k := range s.list() {
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
