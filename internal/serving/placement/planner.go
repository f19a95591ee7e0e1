// Package placement decides which engines of a zone hold which model, adapter
// and version. A Planner is a pure state machine of the one host of the zone
// that holds the placement lease. It compares what the services text wants
// with what engines say they hold, and orders the difference.
//
// Every order carries the lease's fencing number. Engines that ignore it get
// nothing until the former holder's time has run out. An order whose reply was
// lost is settled by reading the engine, never by sending it blindly again,
// and no other order follows until one in transit must have arrived.
//
// Loading is bounded, since it reads from a rate-limited store: in all, and
// for each artifact to a share of its engines and never all of them; the
// artifact with the fewest loads under way is next. A new version first goes
// to one engine. It takes the place of the old one there, unless that engine
// is the only one known to be ready: then it is loaded beside the old one. So
// an order never takes the last ready engine of a line. What is read of an
// engine may be old: one that died since counts as ready until its next read.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options bound what a planner does.
type Options struct {
	// ReadInterval is the time between two reads of an engine without orders, Poll of
	// one with an order under way.
	ReadInterval time.Duration
	PollInterval time.Duration
	// MaxTransit is after what time an order has arrived or never will.
	MaxTransit time.Duration
	// MaxLoads bounds the loads at one time; Share bounds those of one artifact,
	// as a share of its engines.
	MaxLoads     int
	MaxLoadShare float64
}

// DefaultOptions are the terms of a production host.
var DefaultOptions = Options{ReadInterval: 10 * time.Second, PollInterval: time.Second, MaxTransit: 5 * time.Second, MaxLoads: 8, MaxLoadShare: 0.25}

// Kind tells what the shell has to do.
type Kind uint8

// The actions of a planner.
const (
	// Read asks an engine what it holds and reports to Seen or Unseen.
	Read Kind = iota
	// Load and Unload order an engine and report to Ordered.
	Load
	Unload
)

// Action is one thing for the shell to do.
type Action struct {
	Kind     Kind
	Engine   string
	Artifact string
	Fencing  int64
	// KeepOld keeps the former version until the new one is ready.
	KeepOld bool
}

// Outcome is how the sending of an order ended.
type Outcome uint8

// The outcomes of an order.
const (
	// Accepted orders are under way or done.
	Accepted Outcome = iota
	// Refused orders took no effect.
	Refused
	// OutcomeUnknown orders may have taken effect.
	OutcomeUnknown
)

// engine is what the planner knows of one engine.
type engine struct {
	Engine
	// known says that held was read under the present lease.
	known bool
	// held maps an artifact to whether it is ready.
	held    map[string]bool
	reading bool
	next    time.Time
	// order is under way until a read that began after sent tells its end.
	order *Action
	sent  time.Time
	// quiet is until when no order is sent.
	quiet time.Time
}

// tally counts the engines of one artifact or line.
type tally struct{ wanted, ready, loading int }

// Planner decides for one zone.
type Planner struct {
	terms   Options
	engines map[string]*engine
	names   []string
	// fencing is 0 while the lease is not held.
	fencing int64
	// waited is when engines that ignore fencing may get orders.
	waited time.Time
}

// NewPlanner returns a planner that knows no engines and holds no lease.
func NewPlanner(terms Options) *Planner {
	return &Planner{terms: terms, engines: make(map[string]*engine)}
}

// SetEngines takes the wanted state; what is known of engines that stay is kept.
func (p *Planner) SetEngines(engines []Engine) {
	known := p.engines
	p.engines = make(map[string]*engine, len(engines))
	for _, one := range engines {
		e, ok := known[one.Name]
		if !ok {
			e = &engine{}
		}
		e.Engine = one
		p.engines[one.Name] = e
	}
	p.names = slices.Sorted(maps.Keys(p.engines))
}

// LeaseAcquired begins to act under a lease; waited is when a former holder's orders
// are surely over.
func (p *Planner) LeaseAcquired(now time.Time, fencing int64, waited time.Time) {
	p.fencing, p.waited = fencing, waited
	for _, e := range p.engines {
		*e = engine{Engine: e.Engine}
	}
}

// LeaseLost ends acting: nothing is ordered until the next Hold.
func (p *Planner) LeaseLost() { p.fencing = 0 }

// RecordRead takes what an engine holds and whether each of it is ready.
func (p *Planner) RecordRead(now, began time.Time, name string, held map[string]bool) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	e.reading = false
	if e.order != nil && !began.After(e.sent) {
		e.next = now
		return
	}
	e.known, e.held, e.next = true, held, now.Add(p.terms.ReadInterval)
	if e.order == nil {
		return
	}
	ready, present := held[e.order.Artifact]
	// An order that may still be in transit is not over before it has arrived.
	under := present && !ready && e.order.Kind == Load
	settled := ready == (e.order.Kind == Load) && present == ready
	if under || (!settled && now.Before(e.quiet)) {
		e.next = now.Add(p.terms.PollInterval)
		return
	}
	e.order = nil
}

// RecordReadFailure takes a read that failed.
func (p *Planner) RecordReadFailure(now time.Time, name string) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	e.reading, e.known, e.held, e.next = false, false, nil, now.Add(p.terms.PollInterval)
	if !now.Before(e.quiet) {
		e.order = nil
	}
}

// RecordOrderOutcome takes the end of the sending of an engine's order.
func (p *Planner) RecordOrderOutcome(now time.Time, name string, o Outcome) {
	e, ok := p.engines[name]
	if !ok || e.order == nil {
		return
	}
	switch o {
	case Refused:
		e.order = nil
		e.quiet, e.next = now.Add(p.terms.MaxTransit), now
	case OutcomeUnknown:
		e.quiet, e.next = now.Add(p.terms.MaxTransit), now
	case Accepted:
		e.sent, e.quiet, e.next = now, now, now.Add(p.terms.PollInterval)
	}
}

// Tick returns the reads and orders that are due.
func (p *Planner) Tick(now time.Time) []Action {
	if p.fencing == 0 {
		return nil
	}
	var actions []Action
	for _, name := range p.names {
		if e := p.engines[name]; !e.reading && !now.Before(e.next) {
			e.reading = true
			actions = append(actions, Action{Kind: Read, Engine: name})
		}
	}
	return append(actions, p.orders(now)...)
}

// may reports whether the engine can get an order now.
func (p *Planner) may(now time.Time, e *engine) bool {
	return e.known && e.order == nil && !now.Before(e.quiet) && (e.ChecksFencing || !now.Before(p.waited))
}

// orders sends orders until none is allowed.
func (p *Planner) orders(now time.Time) []Action {
	c := p.count()
	var actions []Action
	var open []Action
	for _, name := range p.names {
		e := p.engines[name]
		if !p.may(now, e) {
			continue
		}
		if a, ok := e.surplus(); ok {
			actions = append(actions, p.send(now, e, a))
			continue
		}
		for _, id := range e.Desired {
			if _, has := e.held[id]; !has {
				open = append(open, Action{Kind: Load, Engine: name, Artifact: id})
			}
		}
	}
	for c.loads < p.terms.MaxLoads {
		a, ok := p.fairest(&c, open)
		if !ok {
			return actions
		}
		e := p.engines[a.Engine]
		if old := e.replaces(a.Artifact); old {
			l := c.of(line(a.Artifact))
			if a.KeepOld = l.ready <= 1; !a.KeepOld {
				l.ready--
			}
		}
		c.of("="+a.Artifact).loading++
		c.loads++
		actions = append(actions, p.send(now, e, a))
		open = slices.DeleteFunc(open, func(other Action) bool { return other.Engine == a.Engine })
	}
	return actions
}

func (p *Planner) send(now time.Time, e *engine, a Action) Action {
	a.Fencing = p.fencing
	e.order, e.sent, e.quiet = &a, now, now.Add(p.terms.MaxTransit)
	return a
}

// counts are those of all lines and, behind "=", of all artifacts.
type counts struct {
	by    map[string]*tally
	loads int
}

func (c *counts) of(name string) *tally {
	t, ok := c.by[name]
	if !ok {
		t = new(tally)
		c.by[name] = t
	}
	return t
}

// count counts an engine that an order may make unready as unready.
func (p *Planner) count() counts {
	c := counts{by: make(map[string]*tally)}
	for _, name := range p.names {
		e := p.engines[name]
		for _, id := range e.Desired {
			c.of("="+id).wanted++
		}
		lines := make(map[string]bool, len(e.held))
		for id, ready := range e.held {
			switch {
			case ready && !e.taken(id):
				c.of("="+id).ready++
				lines[line(id)] = true
			case !ready && (e.order == nil || e.order.Artifact != id):
				c.of("="+id).loading++
				c.loads++
			}
		}
		for l := range lines {
			c.of(l).ready++
		}
		if e.order != nil && e.order.Kind == Load {
			c.of("="+e.order.Artifact).loading++
			c.loads++
		}
	}
	return c
}

// taken reports whether the order under way takes the artifact.
func (e *engine) taken(id string) bool {
	if e.order == nil || e.order.KeepOld || (e.order.Kind == Load && e.order.Artifact == id) {
		return false
	}
	return e.order.Artifact == id || line(e.order.Artifact) == line(id)
}

// surplus returns the order to unload what no service needs, once what
// replaces it is ready.
func (e *engine) surplus() (Action, bool) {
	for _, id := range slices.Sorted(maps.Keys(e.held)) {
		if slices.Contains(e.Desired, id) || !slices.Contains(e.Models, model(id)) {
			continue
		}
		waits := slices.ContainsFunc(e.Desired, func(want string) bool { return line(want) == line(id) && !e.held[want] })
		if !waits && e.held[id] {
			return Action{Kind: Unload, Engine: e.Name, Artifact: id, KeepOld: true}, true
		}
	}
	return Action{}, false
}

// replaces reports whether the engine is ready with a version that goes.
func (e *engine) replaces(id string) bool {
	for held, ready := range e.held {
		if ready && line(held) == line(id) && !slices.Contains(e.Desired, held) {
			return true
		}
	}
	return false
}

// fairest returns the load of the artifact with the fewest loads under way.
func (p *Planner) fairest(c *counts, open []Action) (Action, bool) {
	var best Action
	found := false
	for _, a := range open {
		t := c.of("=" + a.Artifact)
		if t.loading >= p.limit(t, p.engines[a.Engine], a.Artifact) {
			continue
		}
		if !found || cmp.Less(t.loading, c.of("="+best.Artifact).loading) {
			best, found = a, true
		}
	}
	return best, found
}

// limit returns how many engines may load an artifact at a time: one until the
// first is ready, if it replaces something.
func (p *Planner) limit(t *tally, e *engine, id string) int {
	if t.ready == 0 && e.replaces(id) {
		return 1
	}
	return max(1, min(int(float64(t.wanted)*p.terms.MaxLoadShare), t.wanted-1))
}

// Unready returns the engines that were read and are not ready with a model
// that they should hold, or will not be once their order arrives: ENGINE/MODEL,
// sorted.
func (p *Planner) Unready() []string {
	if p.fencing == 0 {
		return nil
	}
	var list []string
	for _, name := range p.names {
		e := p.engines[name]
		for _, want := range e.Desired {
			pair := name + "/" + model(want)
			if e.known && !e.ready(line(want)) && (len(list) == 0 || list[len(list)-1] != pair) {
				list = append(list, pair)
			}
		}
	}
	slices.Sort(list)
	return list
}

// ready reports whether the engine stays ready with a version of a line.
func (e *engine) ready(l string) bool {
	for id, ready := range e.held {
		if ready && line(id) == l && !e.taken(id) {
			return true
		}
	}
	return false
}
