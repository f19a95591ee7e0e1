// Package placement decides which engines of a zone hold which artifacts. An
// artifact is a model with an optional adapter and an optional version. A
// Planner is a pure state machine that runs on the one host of the zone that
// holds the placement lease. It compares the artifacts that the services
// configuration requires with those that the engines report, and orders engines
// to load or unload the difference.
//
// Every order carries the fencing token of the lease. Engines that ignore the
// token get no orders until the lease of the former holder has expired and its
// last orders have arrived. If the reply to an order is lost, the planner reads
// the state of the engine instead of sending the order again, and sends it no
// other order until the first has either arrived or been lost.
//
// Loads are limited because they read from a rate-limited store. There is one
// limit for the zone, and one for each artifact: a fraction of its engines, and
// never all of them if there are several. The artifact with the fewest loads in
// progress is next. A new version is first loaded on one engine. It replaces the
// old version there, unless that engine is the only one known to be ready; then
// the old version stays until the new one is ready. So an order never makes the
// last ready engine of a model and adapter unready. The state of an engine may be
// out of date: an engine that failed counts as ready until its next read.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options holds the intervals and limits of a planner.
type Options struct {
	// ReadInterval is the interval between reads of an engine without an order.
	// PollInterval is the interval while an order is in progress or after a
	// failed read.
	ReadInterval time.Duration
	PollInterval time.Duration
	// MaxTransit is the time after which an order has either arrived or been
	// lost.
	MaxTransit time.Duration
	// MaxLoads limits the concurrent loads. MaxLoadShare limits those of one
	// artifact to a fraction of its engines.
	MaxLoads     int
	MaxLoadShare float64
}

// DefaultOptions are the settings for production.
var DefaultOptions = Options{ReadInterval: 10 * time.Second, PollInterval: time.Second, MaxTransit: 5 * time.Second, MaxLoads: 8, MaxLoadShare: 0.25}

// Kind is the kind of an action.
type Kind uint8

// The actions of a planner.
const (
	// Read reads which artifacts an engine holds. The caller passes the result to
	// RecordRead or RecordReadFailure.
	Read Kind = iota
	// Load and Unload order an engine to load or unload an artifact. The caller
	// passes the result to RecordOrderOutcome.
	Load
	Unload
)

// Action is an operation that the caller of Tick must carry out.
type Action struct {
	Kind     Kind
	Engine   string
	Artifact string
	Fencing  int64
	// KeepOld keeps the old version loaded until the new one is ready.
	KeepOld bool
}

// Outcome is the result of sending an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Accepted means that the order is in progress or done.
	Accepted Outcome = iota
	// Refused means that the order had no effect.
	Refused
	// OutcomeUnknown means that the order may have had an effect.
	OutcomeUnknown
)

// engine is the planner's state of one engine.
type engine struct {
	Engine
	// stateKnown reports whether held was read under the current lease and the
	// last read did not fail.
	stateKnown bool
	// held maps each artifact on the engine to whether it is ready.
	held        map[string]bool
	readPending bool
	nextRead    time.Time
	// order is in progress until a read that started after sentAt shows that it
	// has ended.
	order  *Action
	sentAt time.Time
	// noOrdersUntil is the time before which no order is sent to the engine.
	noOrdersUntil time.Time
}

// engineCounts counts the engines of one artifact or unversioned id.
type engineCounts struct{ desired, ready, loading int }

// Planner plans the orders for the engines of one zone.
type Planner struct {
	options Options
	engines map[string]*engine
	names   []string
	// fencing is 0 while the lease is not held.
	fencing int64
	// unfencedOrdersAfter is the time before which engines that ignore fencing
	// tokens get no orders.
	unfencedOrdersAfter time.Time
}

// NewPlanner returns a planner without engines and without the lease.
func NewPlanner(options Options) *Planner {
	return &Planner{options: options, engines: make(map[string]*engine)}
}

// SetEngines sets the desired state. The state of engines that remain is kept.
func (p *Planner) SetEngines(engines []Engine) {
	previous := p.engines
	p.engines = make(map[string]*engine, len(engines))
	for _, desired := range engines {
		e, ok := previous[desired.Name]
		if !ok {
			e = &engine{}
		}
		e.Engine = desired
		p.engines[desired.Name] = e
	}
	p.names = slices.Sorted(maps.Keys(p.engines))
}

// LeaseAcquired starts planning under a lease with the given fencing token.
// After unfencedOrdersAfter, no order of a former holder can still arrive.
func (p *Planner) LeaseAcquired(now time.Time, fencing int64, unfencedOrdersAfter time.Time) {
	p.fencing, p.unfencedOrdersAfter = fencing, unfencedOrdersAfter
	for _, e := range p.engines {
		*e = engine{Engine: e.Engine}
	}
}

// LeaseLost stops planning: Tick returns no actions until the next call of
// LeaseAcquired.
func (p *Planner) LeaseLost() { p.fencing = 0 }

// RecordRead records the artifacts that an engine holds, each with whether it is
// ready, as of a read that started at startedAt.
func (p *Planner) RecordRead(now, startedAt time.Time, name string, held map[string]bool) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	e.readPending = false
	if e.order != nil && !startedAt.After(e.sentAt) {
		e.nextRead = now
		return
	}
	e.stateKnown, e.held, e.nextRead = true, held, now.Add(p.options.ReadInterval)
	if e.order == nil {
		return
	}
	ready, present := held[e.order.Artifact]
	// An order without the desired effect may still be in transit.
	stillLoading := present && !ready && e.order.Kind == Load
	settled := ready == (e.order.Kind == Load) && present == ready
	if stillLoading || (!settled && now.Before(e.noOrdersUntil)) {
		e.nextRead = now.Add(p.options.PollInterval)
		return
	}
	e.order = nil
}

// RecordReadFailure records a failed read of an engine.
func (p *Planner) RecordReadFailure(now time.Time, name string) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	e.readPending, e.stateKnown, e.held, e.nextRead = false, false, nil, now.Add(p.options.PollInterval)
	if !now.Before(e.noOrdersUntil) {
		e.order = nil
	}
}

// RecordOrderOutcome records the result of sending an order to an engine.
func (p *Planner) RecordOrderOutcome(now time.Time, name string, o Outcome) {
	e, ok := p.engines[name]
	if !ok || e.order == nil {
		return
	}
	switch o {
	case Refused:
		e.order = nil
		e.noOrdersUntil, e.nextRead = now.Add(p.options.MaxTransit), now
	case OutcomeUnknown:
		e.noOrdersUntil, e.nextRead = now.Add(p.options.MaxTransit), now
	case Accepted:
		e.sentAt, e.noOrdersUntil, e.nextRead = now, now, now.Add(p.options.PollInterval)
	}
}

// Tick returns the reads and orders that are due.
func (p *Planner) Tick(now time.Time) []Action {
	if p.fencing == 0 {
		return nil
	}
	var actions []Action
	for _, name := range p.names {
		if e := p.engines[name]; !e.readPending && !now.Before(e.nextRead) {
			e.readPending = true
			actions = append(actions, Action{Kind: Read, Engine: name})
		}
	}
	return append(actions, p.planOrders(now)...)
}

// canOrder reports whether the engine may get an order now.
func (p *Planner) canOrder(now time.Time, e *engine) bool {
	return e.stateKnown && e.order == nil && !now.Before(e.noOrdersUntil) && (e.ChecksFencing || !now.Before(p.unfencedOrdersAfter))
}

// planOrders returns as many orders as the limits allow.
func (p *Planner) planOrders(now time.Time) []Action {
	c := p.countEngines()
	var actions []Action
	var pendingLoads []Action
	for _, name := range p.names {
		e := p.engines[name]
		if !p.canOrder(now, e) {
			continue
		}
		if a, ok := e.nextUnload(); ok {
			actions = append(actions, p.startOrder(now, e, a))
			continue
		}
		for _, id := range e.Desired {
			if _, present := e.held[id]; !present {
				pendingLoads = append(pendingLoads, Action{Kind: Load, Engine: name, Artifact: id})
			}
		}
	}
	for c.loads < p.options.MaxLoads {
		a, ok := p.nextLoad(&c, pendingLoads)
		if !ok {
			return actions
		}
		e := p.engines[a.Engine]
		if replacing := e.replacesReady(a.Artifact); replacing {
			unversioned := c.get(unversionedID(a.Artifact))
			if a.KeepOld = unversioned.ready <= 1; !a.KeepOld {
				unversioned.ready--
			}
		}
		c.get("="+a.Artifact).loading++
		c.loads++
		actions = append(actions, p.startOrder(now, e, a))
		pendingLoads = slices.DeleteFunc(pendingLoads, func(other Action) bool { return other.Engine == a.Engine })
	}
	return actions
}

// startOrder adds the fencing token to the order and marks it as in progress.
func (p *Planner) startOrder(now time.Time, e *engine, a Action) Action {
	a.Fencing = p.fencing
	e.order, e.sentAt, e.noOrdersUntil = &a, now, now.Add(p.options.MaxTransit)
	return a
}

// counts holds the engine counts by unversioned id and, with the prefix "=", by
// artifact, and the total number of loads in progress.
type counts struct {
	byKey map[string]*engineCounts
	loads int
}

func (c *counts) get(name string) *engineCounts {
	t, ok := c.byKey[name]
	if !ok {
		t = new(engineCounts)
		c.byKey[name] = t
	}
	return t
}

// countEngines counts the engines. One that an order may make unready counts as
// unready.
func (p *Planner) countEngines() counts {
	c := counts{byKey: make(map[string]*engineCounts)}
	for _, name := range p.names {
		e := p.engines[name]
		for _, id := range e.Desired {
			c.get("="+id).desired++
		}
		readyIDs := make(map[string]bool, len(e.held))
		for id, ready := range e.held {
			switch {
			case ready && !e.removedByOrder(id):
				c.get("="+id).ready++
				readyIDs[unversionedID(id)] = true
			case !ready && (e.order == nil || e.order.Artifact != id):
				c.get("="+id).loading++
				c.loads++
			}
		}
		for unversioned := range readyIDs {
			c.get(unversioned).ready++
		}
		if e.order != nil && e.order.Kind == Load {
			c.get("="+e.order.Artifact).loading++
			c.loads++
		}
	}
	return c
}

// removedByOrder reports whether the order in progress may remove the artifact.
// It returns false for every order with KeepOld set, which includes all unloads.
func (e *engine) removedByOrder(id string) bool {
	if e.order == nil || e.order.KeepOld || (e.order.Kind == Load && e.order.Artifact == id) {
		return false
	}
	return e.order.Artifact == id || unversionedID(e.order.Artifact) == unversionedID(id)
}

// nextUnload returns an order to unload an artifact that no service needs. An
// artifact is not unloaded before the version that replaces it is ready.
func (e *engine) nextUnload() (Action, bool) {
	for _, id := range slices.Sorted(maps.Keys(e.held)) {
		if slices.Contains(e.Desired, id) || !slices.Contains(e.Models, modelOf(id)) {
			continue
		}
		replacementPending := slices.ContainsFunc(e.Desired, func(want string) bool { return unversionedID(want) == unversionedID(id) && !e.held[want] })
		if !replacementPending && e.held[id] {
			return Action{Kind: Unload, Engine: e.Name, Artifact: id, KeepOld: true}, true
		}
	}
	return Action{}, false
}

// replacesReady reports whether a load of the artifact would replace a ready
// version that is no longer desired.
func (e *engine) replacesReady(id string) bool {
	for held, ready := range e.held {
		if ready && unversionedID(held) == unversionedID(id) && !slices.Contains(e.Desired, held) {
			return true
		}
	}
	return false
}

// nextLoad returns the pending load of the artifact with the fewest loads in
// progress.
func (p *Planner) nextLoad(c *counts, pendingLoads []Action) (Action, bool) {
	var best Action
	found := false
	for _, a := range pendingLoads {
		t := c.get("=" + a.Artifact)
		if t.loading >= p.loadLimit(t, p.engines[a.Engine], a.Artifact) {
			continue
		}
		if !found || cmp.Less(t.loading, c.get("="+best.Artifact).loading) {
			best, found = a, true
		}
	}
	return best, found
}

// loadLimit returns how many engines may load an artifact at the same time. It is
// one until the first of them is ready, if the artifact replaces a ready version.
func (p *Planner) loadLimit(t *engineCounts, e *engine, id string) int {
	if t.ready == 0 && e.replacesReady(id) {
		return 1
	}
	return max(1, min(int(float64(t.desired)*p.options.MaxLoadShare), t.desired-1))
}

// Unready returns the engines with known state that are not ready with a model
// that they should hold, or will not be once their order arrives. The entries
// have the form ENGINE/MODEL and are sorted.
func (p *Planner) Unready() []string {
	if p.fencing == 0 {
		return nil
	}
	var unready []string
	for _, name := range p.names {
		e := p.engines[name]
		for _, want := range e.Desired {
			pair := name + "/" + modelOf(want)
			if e.stateKnown && !e.ready(unversionedID(want)) && (len(unready) == 0 || unready[len(unready)-1] != pair) {
				unready = append(unready, pair)
			}
		}
	}
	slices.Sort(unready)
	return unready
}

// ready reports whether the engine has a ready version of the unversioned id
// that the order in progress does not remove.
func (e *engine) ready(unversioned string) bool {
	for id, ready := range e.held {
		if ready && unversionedID(id) == unversioned && !e.removedByOrder(id) {
			return true
		}
	}
	return false
}
