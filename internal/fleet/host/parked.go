package host

import (
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/dispatch"
	"github.com/kingcupquay/kingcupquay/internal/serving/gate"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

const (
	parkedTickInterval = 50 * time.Millisecond
	// minProbeInterval is the minimum time between two probes of one gate.
	minProbeInterval = 250 * time.Millisecond

	modelGatePrefix   = "model/"
	serviceGatePrefix = "service/"
)

var (
	itemsParked   = metrics.GetOrCreateCounter("kingcupquay_items_parked_total")
	itemsReleased = metrics.GetOrCreateCounter("kingcupquay_items_released_total")
)

// parkedItems holds the items of this host's jobs that wait because their
// service, or one that it depends on, has no usable backend server. The state of
// the backend servers in the dispatcher opens the gates; see package gate.
type parkedItems struct {
	host *Host

	mu sync.Mutex
	// waiters has an entry for each item in set, by its ID there.
	set     *gate.Set
	waiters map[uint64]waiter
	lastID  uint64
	// released holds the request IDs of items that were released and have not run
	// yet. They run although other items wait at the gate.
	released map[string]struct{}
	// lastProbe is the time of the last probe of each gate.
	lastProbe map[string]time.Time
}

// waiter is one parked item: the ID of its request and the function that
// releases it.
type waiter struct {
	id      string
	release func()
}

var _ job.Gates = (*parkedItems)(nil)

func newParkedItems(h *Host) *parkedItems {
	return &parkedItems{
		host: h, set: gate.NewSet(gate.DefaultLimits), waiters: make(map[uint64]waiter), released: make(map[string]struct{}),
		lastProbe: make(map[string]time.Time),
	}
}

// Park holds an item until its gate releases it.
func (p *parkedItems) Park(item job.ParkedItem, release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.waiters[p.lastID] = waiter{id: item.ID, release: release}
	itemsParked.Inc()
	p.set.Park(p.host.timer.Now(), item.Started, item.Gate, gate.Item{ID: p.lastID, Weight: item.Weight, Due: item.Due})
}

// tick opens gates and releases items.
func (p *parkedItems) tick(now time.Time) {
	for _, release := range p.takeReleases(now) {
		itemsReleased.Inc()
		release()
	}
}

// takeReleases opens the gates whose backend servers are up or not configured any
// more, removes the items that may run now and returns their release functions.
func (p *parkedItems) takeReleases(now time.Time) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var items []gate.Item
	names := p.set.Names()
	if len(names) == 0 {
		clear(p.released)
	}
	for _, name := range names {
		switch p.health(name) {
		case route.Up, route.NotServed:
			p.set.Open(now, name)
		case route.Probing:
			items = append(items, p.probe(now, name)...)
		case route.Down:
		}
	}
	items = append(items, p.set.Tick(now)...)
	releases := make([]func(), len(items))
	for i, item := range items {
		w := p.waiters[item.ID]
		releases[i], p.released[w.id] = w.release, struct{}{}
		delete(p.waiters, item.ID)
	}
	return releases
}

// probe releases one item of a gate whose backend servers may get a single
// request as a test.
func (p *parkedItems) probe(now time.Time, name string) []gate.Item {
	if now.Sub(p.lastProbe[name]) < minProbeInterval {
		return nil
	}
	p.lastProbe[name] = now
	item, ok := p.set.Probe(now, name)
	if !ok {
		return nil
	}
	return []gate.Item{item}
}

func (p *parkedItems) health(name string) route.Health {
	if model, ok := strings.CutPrefix(name, modelGatePrefix); ok {
		return p.host.dispatcher.Health(model, "")
	}
	return p.host.dispatcher.Health("", strings.TrimPrefix(name, serviceGatePrefix))
}

// gateOf returns the name of a service's gate. Engine services of one model share
// a gate.
func gateOf(s *services.Service) string {
	if s.Kind == services.EngineKind {
		return modelGatePrefix + s.Model
	}
	return serviceGatePrefix + s.Name
}

// gateBefore returns the gate at which an item has to wait before it is tried,
// empty if it may run. That is the gate of its service while other items wait
// there, or the gate of a service it depends on whose backend servers are all
// down. An item that was just released may run.
func (p *parkedItems) gateBefore(text *services.Text, s *services.Service, id string) string {
	if !p.host.parksItems() {
		return ""
	}
	ownGate := gateOf(s)
	p.mu.Lock()
	waiting := p.set.Parked(ownGate)
	_, wasReleased := p.released[id]
	delete(p.released, id)
	p.mu.Unlock()
	if wasReleased {
		return ""
	}
	if waiting > 0 {
		return ownGate
	}
	for _, name := range s.DependsOn {
		d, ok := text.Service(name)
		if ok && p.health(gateOf(d)) == route.Down {
			return gateOf(d)
		}
	}
	return ""
}

// gateAfter returns the gate at which an item has to wait because it found no
// backend server and did not run, empty if it does not have to wait.
func (p *parkedItems) gateAfter(s *services.Service, failure *result.Error) string {
	if !p.host.parksItems() || failure == nil || failure.Code() != result.NoBackend || failure.Ran() != result.RanNo {
		return ""
	}
	name := gateOf(s)
	if p.health(name) == route.Up {
		return ""
	}
	return name
}

// parksItems reports whether items wait at gates. With the retry policy that
// exists for comparison, they are retried by time instead.
func (h *Host) parksItems() bool { return h.settings.Retries != string(dispatch.ImmediateRetries) }
