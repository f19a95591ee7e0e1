// Package buffer bounds the memory of the answers that one host reads from backend
// servers before it passes them on.
//
// An answer may be bounded by itself and a host still run out of memory, if a faulty
// server sends without end and many callers ask it. All answers of a host therefore
// share one budget. When it is used up, the answers of the server that holds most of
// it are broken off, the largest first, until the rest fits. The callers of other
// servers are not affected.
package buffer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// ErrBrokenOff means that an answer was broken off since its server held most of the
// budget.
var ErrBrokenOff = errors.New("the answers of its server take too much memory")

// totalHeld is the sum over the budgets of the process, lastLimit the limit of the last
// one, which is that of each host of a process with several.
var (
	totalHeld, lastLimit atomic.Int64

	_              = metrics.NewGauge("kingcupquay_answers_held_bytes", func() float64 { return float64(totalHeld.Load()) })
	_              = metrics.NewGauge("kingcupquay_answers_held_limit_bytes", func() float64 { return float64(lastLimit.Load()) })
	brokenOffTotal = metrics.NewCounter("kingcupquay_answers_broken_off_total")
)

// Budget is the memory that the answers of one host may take. It is safe for
// concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// held is the sum over answers, at most limit.
	held int64
	// byServer holds the open answers of each server with any.
	byServer map[string]*usage
}

// usage is what the answers of one server take.
type usage struct {
	held    int64
	answers map[*Answer]bool
}

// NewBudget returns a budget of that many bytes.
func NewBudget(limit int64) *Budget {
	lastLimit.Store(limit)
	return &Budget{limit: limit, byServer: make(map[string]*usage)}
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

// Grow adds bytes to an answer. It returns ErrBrokenOff if the answer was, or had to
// be, broken off.
func (a *Answer) Grow(n int) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !a.broken && b.held+int64(n) > b.limit {
		b.largest(a, int64(n)).breakOffLocked()
	}
	if a.broken {
		return ErrBrokenOff
	}
	a.add(int64(n))
	return nil
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
	a.add(-a.held)
	a.broken = true
	brokenOffTotal.Inc()
	a.breakOff()
}

func (a *Answer) add(n int64) {
	a.held += n
	a.budget.held += n
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
