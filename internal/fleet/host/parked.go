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
	parkedTick = 50 * time.Millisecond
	// probeGap is the least time between two probes of one gate.
	probeGap = 250 * time.Millisecond

	modelGate   = "model/"
	serviceGate = "service/"
)

var (
	itemsParked   = metrics.GetOrCreateCounter("kingcupquay_items_parked_total")
	itemsReleased = metrics.GetOrCreateCounter("kingcupquay_items_released_total")
)

// parked keeps the items of this host's jobs whose service, or one that it
// depends on, has no back end. The router's view of the back ends opens gates.
type parked struct {
	host *Host

	mu sync.Mutex
	// releases holds an entry for each item in set.
	set      *gate.Set
	releases map[uint64]waiter
	serial   uint64
	// passes holds the items that were let go and have not run since: they run
	// although others wait.
	passes map[string]struct{}
	probed map[string]time.Time
}

// waiter is one parked item.
type waiter struct {
	id      string
	release func()
}

var _ job.Gates = (*parked)(nil)

func newParked(h *Host) *parked {
	return &parked{
		host: h, set: gate.NewSet(gate.DefaultLimits), releases: make(map[uint64]waiter), passes: make(map[string]struct{}),
		probed: make(map[string]time.Time),
	}
}

// Park keeps an item until its gate lets it go.
func (p *parked) Park(one job.Parked, release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serial++
	p.releases[p.serial] = waiter{id: one.ID, release: release}
	itemsParked.Inc()
	p.set.Park(p.host.timer.Now(), one.Started, one.Gate, gate.Item{ID: p.serial, Weight: one.Weight, Due: one.Due})
}

// tick opens gates and lets items go.
func (p *parked) tick(now time.Time) {
	for _, release := range p.due(now) {
		itemsReleased.Inc()
		release()
	}
}

func (p *parked) due(now time.Time) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var items []gate.Item
	names := p.set.Names()
	if len(names) == 0 {
		clear(p.passes)
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
	for i, one := range items {
		w := p.releases[one.ID]
		releases[i], p.passes[w.id] = w.release, struct{}{}
		delete(p.releases, one.ID)
	}
	return releases
}

// probe lets one item go to a back end that may get one request.
func (p *parked) probe(now time.Time, name string) []gate.Item {
	if now.Sub(p.probed[name]) < probeGap {
		return nil
	}
	p.probed[name] = now
	one, ok := p.set.Probe(now, name)
	if !ok {
		return nil
	}
	return []gate.Item{one}
}

func (p *parked) health(name string) route.Health {
	if model, ok := strings.CutPrefix(name, modelGate); ok {
		return p.host.dispatcher.Health(model, "")
	}
	return p.host.dispatcher.Health("", strings.TrimPrefix(name, serviceGate))
}

// gateOf returns the gate of a service: the engines of one model share it.
func gateOf(s *services.Service) string {
	if s.Kind == services.EngineKind {
		return modelGate + s.Model
	}
	return serviceGate + s.Name
}

// before returns the gate at which an item waits without a try, empty if it
// may run: that of its service while others wait there, or that of a service
// it depends on whose back ends are all down. An item that was let go runs.
func (p *parked) before(text *services.Text, s *services.Service, id string) string {
	if !p.host.parks() {
		return ""
	}
	own := gateOf(s)
	p.mu.Lock()
	waiting := p.set.Parked(own)
	_, pass := p.passes[id]
	delete(p.passes, id)
	p.mu.Unlock()
	if pass {
		return ""
	}
	if waiting > 0 {
		return own
	}
	for _, name := range s.DependsOn {
		d, ok := text.Service(name)
		if ok && p.health(gateOf(d)) == route.Down {
			return gateOf(d)
		}
	}
	return ""
}

// after returns the gate at which an item waits after its run, empty for none.
func (p *parked) after(s *services.Service, failure *result.Error) string {
	if !p.host.parks() || failure == nil || failure.Code() != result.NoBackend || failure.Ran() != result.RanNo {
		return ""
	}
	name := gateOf(s)
	if p.health(name) == route.Up {
		return ""
	}
	return name
}

// parks reports whether items wait at gates; the policy for comparison tries
// them again by time.
func (h *Host) parks() bool { return h.settings.Retries != string(dispatch.ImmediateRetries) }
