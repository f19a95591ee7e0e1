package queue

import "time"

// fairQueue holds the waiting entries of one urgency. Higher weights start
// first. Among entries of equal weight, organisations share by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996) in its form for several
// servers, SFQ(D) (Jin, Chase and Kaur, SIGMETRICS 2004), with one request as
// the unit of cost. A flow gets its start tag when an entry becomes its head,
// so refused and withdrawn entries are not charged to their organisation.
type fairQueue struct {
	classes map[int]*class
	// startOrder orders the flows that have entries by which starts next,
	// refuseOrder by which has an entry refused first.
	startOrder  *heap[*flow]
	refuseOrder *heap[*flow]
	// byExpiry orders the entries that have a deadline or due time by that
	// time.
	byExpiry     *heap[*entry]
	weightCounts *weightCounter
	size         int
}

// class holds the entries of one weight; it exists while one of them waits.
type class struct {
	weight int
	// virtualTime is the start tag of the entry that started last in its turn;
	// it never decreases.
	virtualTime float64
	flows       map[string]*flow
	// size counts the entries; activeShares is the sum of the shares of the
	// flows that have entries.
	size         int
	activeShares int
	// sweepThreshold is the number of flows from which sweep deletes idle ones.
	sweepThreshold int
}

// flow holds one organisation's entries in a class.
type flow struct {
	class        *class
	organisation string
	share        int
	// startTag is the start tag of the head. finishTag is the finish tag of the
	// entry that started last. The next head gets it as its start tag, or the
	// virtual time of the class if the flow was idle and that is later.
	startTag  float64
	finishTag float64
	// entries orders resumed entries first, then by due time, then by arrival;
	// newestFirst orders by latest arrival.
	entries     *heap[*entry]
	newestFirst *heap[*entry]
	// startIndex and refuseIndex are the indices in the heaps of the fairQueue,
	// -1 if the flow is not in them.
	startIndex, refuseIndex int
}

// entry is an Entry with its indices in the heaps.
type entry struct {
	Entry
	// flow is nil unless the entry is waiting.
	flow       *flow
	startedAt  time.Time
	preempting bool
	// Heap indices, -1 if the entry is not in the heap.
	orderIndex, newestIndex, expiryIndex, victimIndex int
}

const minSweepThreshold = 16

func newFairQueue() *fairQueue {
	return &fairQueue{
		classes:      make(map[int]*class),
		startOrder:   newHeap(startsBefore, func(f *flow, i int) { f.startIndex = i }),
		refuseOrder:  newHeap(refusedBefore, func(f *flow, i int) { f.refuseIndex = i }),
		byExpiry:     newHeap(expiresBefore, func(e *entry, i int) { e.expiryIndex = i }),
		weightCounts: new(weightCounter),
	}
}

func startsBefore(a, b *flow) bool {
	if a.class.weight != b.class.weight {
		return a.class.weight > b.class.weight
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.entries.first().ID < b.entries.first().ID
}

// refusedBefore orders by lowest weight, then by most waiting entries of an
// organisation relative to its share, then by latest arrival. With latest
// arrival alone, one organisation could fill the queue and have all others
// refused.
func refusedBefore(a, b *flow) bool {
	if a.class.weight != b.class.weight {
		return a.class.weight < b.class.weight
	}
	if x, y := a.entries.size()*b.share, b.entries.size()*a.share; x != y {
		return x > y
	}
	return a.newestFirst.first().ID > b.newestFirst.first().ID
}

func (e *entry) expiry() time.Time {
	if !e.Deadline.IsZero() {
		return e.Deadline
	}
	return e.Due
}

func expiresBefore(a, b *entry) bool {
	if x, y := a.expiry(), b.expiry(); !x.Equal(y) {
		return x.Before(y)
	}
	return a.ID < b.ID
}

func startsBeforeInFlow(a, b *entry) bool {
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
		class: c, organisation: organisation, startIndex: -1, refuseIndex: -1,
		entries:     newHeap(startsBeforeInFlow, func(e *entry, i int) { e.orderIndex = i }),
		newestFirst: newHeap(func(a, b *entry) bool { return a.ID > b.ID }, func(e *entry, i int) { e.newestIndex = i }),
	}
}

// flowFor returns the flow that e belongs to and creates it if necessary.
func (l *fairQueue) flowFor(e *entry) *flow {
	c, ok := l.classes[e.Weight]
	if !ok {
		c = &class{weight: e.Weight, flows: make(map[string]*flow), sweepThreshold: minSweepThreshold}
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

// sweep deletes the idle flows whose finish tag the virtual time has reached: a
// new flow would get the same start tag.
func (c *class) sweep() {
	if len(c.flows) < c.sweepThreshold {
		return
	}
	for name, f := range c.flows {
		if f.entries.size() == 0 && f.finishTag <= c.virtualTime {
			delete(c.flows, name)
		}
	}
	c.sweepThreshold = max(minSweepThreshold, 2*len(c.flows))
}

func (l *fairQueue) push(e *entry) {
	f := l.flowFor(e)
	idle := f.entries.size() == 0
	if idle {
		f.share = max(1, e.Share)
		f.startTag = max(f.class.virtualTime, f.finishTag)
		f.class.activeShares += f.share
	}
	e.flow = f
	f.entries.push(e)
	f.newestFirst.push(e)
	if idle {
		l.startOrder.push(f)
		l.refuseOrder.push(f)
	} else {
		l.startOrder.fix(f.startIndex)
		l.refuseOrder.fix(f.refuseIndex)
	}
	if !e.expiry().IsZero() {
		l.byExpiry.push(e)
	}
	f.class.size++
	l.size++
	l.weightCounts.add(e.Weight, 1)
}

// remove removes e without charging its organisation.
func (l *fairQueue) remove(e *entry) {
	f := e.flow
	e.flow = nil
	f.entries.remove(e.orderIndex)
	f.newestFirst.remove(e.newestIndex)
	if e.expiryIndex >= 0 {
		l.byExpiry.remove(e.expiryIndex)
	}
	if f.entries.size() > 0 {
		l.startOrder.fix(f.startIndex)
		l.refuseOrder.fix(f.refuseIndex)
	} else {
		l.startOrder.remove(f.startIndex)
		l.refuseOrder.remove(f.refuseIndex)
		f.class.activeShares -= f.share
	}
	f.class.size--
	l.size--
	l.weightCounts.add(e.Weight, -1)
	if f.class.size == 0 {
		delete(l.classes, f.class.weight)
	}
}

// dequeue removes e, which starts, and charges its organisation. A start out of
// turn does not advance the virtual time, since flows that become active later
// would then get later start tags and lose their turn.
func (l *fairQueue) dequeue(e *entry) {
	f := e.flow
	if l.startOrder.first() == f {
		f.class.virtualTime = max(f.class.virtualTime, f.startTag)
	}
	f.finishTag = f.startTag + 1/float64(f.share)
	f.startTag = f.finishTag
	l.remove(e)
}

// head returns the entry that starts next; the queue must not be empty.
func (l *fairQueue) head() *entry { return l.startOrder.first().entries.first() }

// firstRefused returns the entry that is refused first; the queue must not be
// empty.
func (l *fairQueue) firstRefused() *entry { return l.refuseOrder.first().newestFirst.first() }

// entriesAhead estimates how many entries start before the waiting entry e: all
// of higher weight, and as many of equal weight as fair queueing can start
// before the last entry of e's organisation.
func (l *fairQueue) entriesAhead(e *entry) int {
	f := e.flow
	own := f.entries.size()
	fair := (own*f.class.activeShares + f.share - 1) / f.share
	return l.weightCounts.above(e.Weight) + min(f.class.size, fair) - 1
}

// weightCounter counts entries by weight in a binary indexed tree (Fenwick
// 1994).
type weightCounter struct {
	tree  [maxWeight + 2]int
	total int
}

const maxWeight = 1000

func (c *weightCounter) add(weight, n int) {
	c.total += n
	for i := clampWeight(weight) + 1; i < len(c.tree); i += i & -i {
		c.tree[i] += n
	}
}

// above returns the number of entries of higher weight.
func (c *weightCounter) above(weight int) int {
	atMost := 0
	for i := clampWeight(weight) + 1; i > 0; i -= i & -i {
		atMost += c.tree[i]
	}
	return c.total - atMost
}

func clampWeight(weight int) int { return min(max(weight, 0), maxWeight) }
