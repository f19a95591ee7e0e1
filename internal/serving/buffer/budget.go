// Package buffer bounds the memory that one host holds for its callers: the bodies of
// requests while they arrive and until their calls end, the answers of servers while they
// are read, and what callers have not taken of complete answers.
//
// All of it shares one budget. When it is used up, requests whose callers make no progress
// are ended, the one that holds most for longest first. If there is none, a new request
// that does not fit is refused before its body is read.
//
// Answers are bounded by what servers do: if a faulty one sends without end and many
// callers ask it, the answers of the server that holds most are broken off, the largest
// first, until the rest fits. The callers of other servers are not affected.
package buffer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// ErrBrokenOff means that an answer was broken off since its server held most of the
// budget.
var ErrBrokenOff = errors.New("the answers of its server take too much memory")

// totalHeld and heldBytes are sums over the budgets of the process, lastLimits the limits
// of the last one, which are those of each host of a process with several.
var (
	totalHeld, lastAnswers, lastLimit atomic.Int64
	heldBytes                         [kindCount]atomic.Int64
	endedTotal                        [kindCount]*metrics.Counter

	_              = metrics.NewGauge("kingcupquay_answers_held_bytes", func() float64 { return float64(totalHeld.Load()) })
	_              = metrics.NewGauge("kingcupquay_answers_held_limit_bytes", func() float64 { return float64(lastAnswers.Load()) })
	brokenOffTotal = metrics.NewCounter("kingcupquay_answers_broken_off_total")
	_              = metrics.NewGauge("kingcupquay_memory_held_limit_bytes", func() float64 { return float64(lastLimit.Load()) })
	refusedTotal   = metrics.NewCounter("kingcupquay_memory_refused_total")
)

func init() {
	for k := range kindCount {
		metrics.NewGauge(fmt.Sprintf("kingcupquay_memory_held_bytes{kind=%q}", k), func() float64 { return float64(heldBytes[k].Load()) })
		endedTotal[k] = metrics.NewCounter(fmt.Sprintf("kingcupquay_memory_ended_total{kind=%q}", k))
	}
}

// Limits are the bytes that a host may hold.
type Limits struct {
	// All bounds the sum. The part Small of it is for small requests only.
	All, Small int64
	// Large bounds large requests, unless there is only one, and Answers those of servers.
	Large, Answers int64
	// Jobs bounds the items of a host's jobs, which are not counted otherwise.
	Jobs int64
}

const (
	// A fifth of a process's memory may be held. What is held costs about twice its bytes
	// with the garbage of the heap, connections and the program take about 50 MB, and 20
	// KB a connection.
	allShare = 5
	// The shares of that for small requests only, for large ones and for answers. An answer
	// is copied once when it is complete, which is not counted.
	smallShare, largeShare, answersShare = 8, 2, 2
	// jobsShare is that of the process's memory for items of jobs, which live so long that
	// they make little garbage.
	jobsShare = 5
	// Reads wait while 1/leavingShare of the limit is about to be released.
	leavingShare = 4
	// defaultMemory is that of a host whose settings name none.
	defaultMemory = 512 << 20
)

// LimitsOf returns the limits of a host with so many bytes of memory, 0 if unknown.
func LimitsOf(memory int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	all := memory / allShare
	return Limits{All: all, Small: all / smallShare, Large: all / largeShare, Answers: all / answersShare, Jobs: memory / jobsShare}
}

// Decision is a refusal or an end that a budget has decided on.
type Decision struct {
	Kind Kind
	// Ended is set if a hold was ended, otherwise one was refused.
	Ended bool
	// Bytes is what the hold takes, or would take, Held what all take.
	Bytes, Held int64
	// Stalled is the time without progress of an ended one.
	Stalled time.Duration
}

// Budget is the memory that one host may hold for its callers. It is safe for concurrent
// use.
type Budget struct {
	limits Limits
	now    func() time.Time
	// report is told of each decision.
	report func(Decision)

	mu sync.Mutex
	// held is the sum over holds and answers, at most limits.All but for what Take adds
	// and a large request that is alone.
	held   int64
	byKind [kindCount]int64
	// large is the sum over large requests.
	large int64
	holds map[*Hold]struct{}
	// byServer holds the open answers of each server with any.
	byServer map[string]*usage
	// leaving is the memory of holds and answers that were ended or broken off and are not
	// closed yet. changed is closed, and replaced, when it changes.
	leaving int64
	changed chan struct{}
	// decided are the decisions to report once mu is unlocked.
	decided []Decision
}

// usage is what the answers of one server take.
type usage struct {
	held    int64
	answers map[*Answer]bool
}

// NewBudget returns a budget of that many bytes, all of which answers may take.
func NewBudget(limit int64) *Budget {
	return New(Limits{All: limit, Large: limit, Answers: limit}, time.Now, func(Decision) {})
}

// New returns a budget. now returns the time, report is told of each decision.
func New(limits Limits, now func() time.Time, report func(Decision)) *Budget {
	lastLimit.Store(limits.All)
	lastAnswers.Store(limits.Answers)
	return &Budget{limits: limits, now: now, report: report, holds: make(map[*Hold]struct{}), changed: make(chan struct{}), byServer: make(map[string]*usage)}
}

// SetLimits changes the limits. What is held beyond them stays until it is released or
// others need room.
func (b *Budget) SetLimits(limits Limits) {
	lastLimit.Store(limits.All)
	lastAnswers.Store(limits.Answers)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// decide records a decision. The caller holds b.mu.
func (b *Budget) decide(d Decision) { b.decided = append(b.decided, d) }

// maxLeavingWait bounds how long a read waits for memory that others are about to release.
const maxLeavingWait = time.Second

// awaitLeaving waits while much memory is held by those that were ended and have not
// noticed it yet, as on a busy machine. Otherwise what is taken in their place would come
// on top. It does not wait once the answer itself is broken off.
func (a *Answer) awaitLeaving() {
	b := a.budget
	var expired <-chan time.Time
	for {
		b.mu.Lock()
		wait, changed := !a.broken && b.leaving > b.limits.All/leavingShare, b.changed
		b.mu.Unlock()
		if !wait {
			return
		}
		if expired == nil {
			expired = time.After(maxLeavingWait)
		}
		select {
		case <-changed:
		case <-expired:
			return
		}
	}
}

// left adds to the memory that is about to be released, or takes from it what was. The
// caller holds b.mu.
func (b *Budget) left(n int64) {
	b.leaving += n
	close(b.changed)
	b.changed = make(chan struct{})
}

// unlock unlocks the budget and reports what was decided.
func (b *Budget) unlock() {
	decided := b.decided
	b.decided = nil
	b.mu.Unlock()
	for _, d := range decided {
		b.report(d)
	}
}

// Answer is the memory of one answer.
type Answer struct {
	budget *Budget
	server string
	// breakOff makes the read of the answer return.
	breakOff func()
	// held is 0 once broken is set; read is what was read in all.
	held   int64
	read   int64
	broken bool
	// leaving is what was held when it was broken off.
	leaving int64
	// complete is set once the answer was read. It is not broken off any more, and held
	// until it has been passed on.
	complete bool
}

// Open adds an answer of a server. breakOff is called at most once, with the budget
// locked. The caller must call Close.
func (b *Budget) Open(server string, breakOff func()) *Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Answer{budget: b, server: server, breakOff: breakOff}
	u := b.byServer[server]
	if u == nil {
		u = &usage{answers: make(map[*Answer]bool)}
		b.byServer[server] = u
	}
	u.answers[a] = true
	return a
}

// Grow adds bytes to an answer. Callers that don't take their answers are ended before
// an answer is broken off. It returns ErrBrokenOff if this one was, or had to be.
func (a *Answer) Grow(n int) error {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	for !a.broken && b.overAnswers(int64(n)) {
		if victim := b.stalled(nil, false, false); victim != nil {
			b.endLocked(victim)
			continue
		}
		b.largest(a, int64(n)).breakOffLocked()
	}
	if a.broken {
		return ErrBrokenOff
	}
	a.add(int64(n))
	return nil
}

// overAnswers reports whether n more bytes of answers don't fit. Answers that callers have
// not taken count as answers.
func (b *Budget) overAnswers(n int64) bool {
	return b.byKind[Answers]+b.byKind[Unread]+n > b.limits.Answers || b.counted()+n > b.limits.All-b.limits.Small
}

// Resize sets the bytes that an answer takes. It returns ErrBrokenOff as Grow does.
func (a *Answer) Resize(n int) error {
	b := a.budget
	b.mu.Lock()
	more := int64(n) - a.held
	if more <= 0 && !a.broken {
		a.add(more)
	}
	b.mu.Unlock()
	if more <= 0 {
		return nil
	}
	return a.Grow(int(more))
}

// largest returns the answer to break off when growing needs n more bytes: the largest
// one of the server whose answers take most, with n counted, of those that are still
// being read. The caller holds b.mu.
func (b *Budget) largest(growing *Answer, n int64) *Answer {
	var found *Answer
	var most, size int64
	for server, u := range b.byServer {
		held := u.held
		if server == growing.server {
			held += n
		}
		for a := range u.answers {
			own := a.held
			if a == growing {
				own += n
			}
			if !a.broken && !a.complete && (found == nil || held > most || server == found.server && own > size) {
				found, most, size = a, held, own
			}
		}
	}
	return found
}

// breakOffLocked breaks the answer off. The caller holds the budget's lock.
func (a *Answer) breakOffLocked() {
	a.leaving = a.held
	a.add(-a.held)
	a.broken = true
	a.budget.left(a.leaving)
	brokenOffTotal.Inc()
	a.breakOff()
}

func (a *Answer) add(n int64) {
	a.held += n
	a.budget.held += n
	a.budget.byKind[Answers] += n
	heldBytes[Answers].Add(n)
	a.budget.byServer[a.server].held += n
	totalHeld.Add(n)
}

// BrokenOff reports whether the answer was broken off.
func (a *Answer) BrokenOff() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.broken
}

// Bytes returns how many bytes of the answer were read.
func (a *Answer) Bytes() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.read
}

// Close releases the memory of an answer. Only the first call has an effect.
func (a *Answer) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.byServer[a.server]
	if u == nil || !u.answers[a] {
		return
	}
	if a.leaving > 0 {
		b.left(-a.leaving)
	}
	a.add(-a.held)
	delete(u.answers, a)
	if len(u.answers) == 0 {
		delete(b.byServer, a.server)
	}
}

// An answer is kept in pieces; the first has minPieceBytes, and each further one twice
// as much, up to maxPieceBytes.
const (
	minPieceBytes = 2 << 10
	maxPieceBytes = 256 << 10
)

// ReadAll reads an answer to its end, up to maxBytes, in memory of the budget. It
// returns an error if the answer is longer, was broken off or could not be read.
func (a *Answer) ReadAll(r io.Reader, maxBytes int) ([]byte, error) {
	var pieces [][]byte
	total := 0
	for size := minPieceBytes; ; size = min(2*size, maxPieceBytes) {
		a.awaitLeaving()
		if err := a.Grow(size); err != nil {
			return nil, err
		}
		piece, err := fill(r, size)
		a.budget.mu.Lock()
		a.read += int64(len(piece))
		a.budget.mu.Unlock()
		if total += len(piece); total > maxBytes {
			return nil, fmt.Errorf("it is larger than %d bytes", maxBytes)
		}
		pieces = append(pieces, piece)
		switch {
		case errors.Is(err, io.EOF):
			a.budget.mu.Lock()
			a.complete = true
			a.budget.mu.Unlock()
			return bytes.Join(pieces, nil), nil
		case err != nil && a.BrokenOff():
			return nil, ErrBrokenOff
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until size bytes are read or an error occurs. Unlike io.ReadFull it
// returns the error of r as it is.
func fill(r io.Reader, size int) ([]byte, error) {
	piece := make([]byte, size)
	read := 0
	for read < size {
		n, err := r.Read(piece[read:])
		read += n
		if err != nil {
			return piece[:read], err
		}
	}
	return piece, nil
}
