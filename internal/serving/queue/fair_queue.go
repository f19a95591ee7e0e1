package queue

import "time"

// lane holds the waiting entries of one urgency. Higher weights leave first;
// among equal weights organisations share by start-time fair queueing (Goyal,
// Vin and Cheng, SIGCOMM 1996) in its form for several servers, SFQ(D) (Jin,
// Chase and Kaur, SIGMETRICS 2004), with one request as the unit of cost. A
// tag is given when an entry becomes the head of its flow, so entries that are
// refused or withdrawn cost their organisation nothing.
type lane struct {
	classes map[int]*class
	// next orders the flows that have entries by who starts first, evict by
	// who is refused first.
	next  *heap[*flow]
	evict *heap[*flow]
	// limits orders the entries with a deadline or due time by it.
	limits  *heap[*entry]
	weights *counter
	size    int
}

// class is the entries of one weight; it exists while one of them waits.
type class struct {
	weight int
	// virtual is the start tag of the entry started last; it never decreases.
	virtual float64
	flows   map[string]*flow
	// size counts the entries, shares sums the shares of flows that have any.
	size   int
	shares int
	// sweepAt is the number of flows at which idle ones are forgotten.
	sweepAt int
}

// flow is one organisation's entries in a class.
type flow struct {
	class        *class
	organisation string
	share        int
	// tag is the start tag of the head; finish is the tag of the next entry if
	// the flow does not fall idle.
	tag    float64
	finish float64
	// order is resumed entries first, then by due time, then by arrival;
	// latest is the latest arrival first.
	order  *heap[*entry]
	latest *heap[*entry]
	// nextAt and evictAt are places in the lane's heaps, -1 outside.
	nextAt, evictAt int
}

// entry is an Entry with its places.
type entry struct {
	Entry
	// flow is nil unless the entry waits.
	flow     *flow
	started  time.Time
	yielding bool
	// places, -1 outside the heap.
	orderAt, latestAt, limitAt, victimAt int
}

const minSweep = 16

func newLane() *lane {
	return &lane{
		classes: make(map[int]*class),
		next:    newHeap(startsBefore, func(f *flow, i int) { f.nextAt = i }),
		evict:   newHeap(refusedBefore, func(f *flow, i int) { f.evictAt = i }),
		limits:  newHeap(endsBefore, func(e *entry, i int) { e.limitAt = i }),
		weights: new(counter),
	}
}

func startsBefore(a, b *flow) bool {
	if a.class.weight != b.class.weight {
		return a.class.weight > b.class.weight
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.order.first().ID < b.order.first().ID
}

// refusedBefore takes the lowest weight, then the organisation that waits with
// most entries for its share, then the latest arrival. Plain latest arrival
// would let one organisation fill the queue and have all others refused.
func refusedBefore(a, b *flow) bool {
	if a.class.weight != b.class.weight {
		return a.class.weight < b.class.weight
	}
	if x, y := a.order.size()*b.share, b.order.size()*a.share; x != y {
		return x > y
	}
	return a.latest.first().ID > b.latest.first().ID
}

func (e *entry) limit() time.Time {
	if !e.Deadline.IsZero() {
		return e.Deadline
	}
	return e.Due
}

func endsBefore(a, b *entry) bool {
	if x, y := a.limit(), b.limit(); !x.Equal(y) {
		return x.Before(y)
	}
	return a.ID < b.ID
}

func inOrder(a, b *entry) bool {
	if (a.Preemptions > 0) != (b.Preemptions > 0) {
		return a.Preemptions > 0
	}
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.ID < b.ID
}

func newFlow(c *class, organisation string) *flow {
	return &flow{
		class: c, organisation: organisation, nextAt: -1, evictAt: -1,
		order:  newHeap(inOrder, func(e *entry, i int) { e.orderAt = i }),
		latest: newHeap(func(a, b *entry) bool { return a.ID > b.ID }, func(e *entry, i int) { e.latestAt = i }),
	}
}

// flowOf returns the flow that e belongs to.
func (l *lane) flowOf(e *entry) *flow {
	c, ok := l.classes[e.Weight]
	if !ok {
		c = &class{weight: e.Weight, flows: make(map[string]*flow), sweepAt: minSweep}
		l.classes[e.Weight] = c
	}
	f, ok := c.flows[e.Organisation]
	if !ok {
		c.sweep()
		f = newFlow(c, e.Organisation)
		c.flows[e.Organisation] = f
	}
	return f
}

// sweep forgets idle flows whose service lies in the past.
func (c *class) sweep() {
	if len(c.flows) < c.sweepAt {
		return
	}
	for name, f := range c.flows {
		if f.order.size() == 0 && f.finish <= c.virtual {
			delete(c.flows, name)
		}
	}
	c.sweepAt = max(minSweep, 2*len(c.flows))
}

func (l *lane) push(e *entry) {
	f := l.flowOf(e)
	idle := f.order.size() == 0
	if idle {
		f.share = max(1, e.Share)
		f.tag = max(f.class.virtual, f.finish)
		f.class.shares += f.share
	}
	e.flow = f
	f.order.push(e)
	f.latest.push(e)
	if idle {
		l.next.push(f)
		l.evict.push(f)
	} else {
		l.next.fix(f.nextAt)
		l.evict.fix(f.evictAt)
	}
	if !e.limit().IsZero() {
		l.limits.push(e)
	}
	f.class.size++
	l.size++
	l.weights.add(e.Weight, 1)
}

// remove takes e out without charging its organisation.
func (l *lane) remove(e *entry) {
	f := e.flow
	e.flow = nil
	f.order.remove(e.orderAt)
	f.latest.remove(e.latestAt)
	if e.limitAt >= 0 {
		l.limits.remove(e.limitAt)
	}
	if f.order.size() > 0 {
		l.next.fix(f.nextAt)
		l.evict.fix(f.evictAt)
	} else {
		l.next.remove(f.nextAt)
		l.evict.remove(f.evictAt)
		f.class.shares -= f.share
	}
	f.class.size--
	l.size--
	l.weights.add(e.Weight, -1)
	if f.class.size == 0 {
		delete(l.classes, f.class.weight)
	}
}

// take removes e to start it and charges its organisation. A start out of turn
// leaves the virtual time, or flows that begin later would lose their turn.
func (l *lane) take(e *entry) {
	f := e.flow
	if l.next.first() == f {
		f.class.virtual = max(f.class.virtual, f.tag)
	}
	f.finish = f.tag + 1/float64(f.share)
	f.tag = f.finish
	l.remove(e)
}

// head returns the entry that starts next; the lane is not empty.
func (l *lane) head() *entry { return l.next.first().order.first() }

// last returns the entry that is refused first; the lane is not empty.
func (l *lane) last() *entry { return l.evict.first().latest.first() }

// ahead returns how many entries start before e, which waits: those of higher
// weight, and of its own weight as many as its organisation's share lets pass.
func (l *lane) ahead(e *entry) int {
	f := e.flow
	own := f.order.size()
	fair := (own*f.class.shares + f.share - 1) / f.share
	return l.weights.above(e.Weight) + min(f.class.size, fair) - 1
}

// counter counts entries by weight in a binary indexed tree (Fenwick 1994).
type counter struct {
	tree  [maxWeight + 2]int
	total int
}

const maxWeight = 1000

func (c *counter) add(weight, n int) {
	c.total += n
	for i := clampWeight(weight) + 1; i < len(c.tree); i += i & -i {
		c.tree[i] += n
	}
}

// above counts the entries with more than that weight.
func (c *counter) above(weight int) int {
	upTo := 0
	for i := clampWeight(weight) + 1; i > 0; i -= i & -i {
		upTo += c.tree[i]
	}
	return c.total - upTo
}

func clampWeight(weight int) int { return min(max(weight, 0), maxWeight) }
