package buffer

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrFull means that a request does not fit into the memory that is left. ErrEnded means
// that it was ended since it held memory without progress.
var (
	ErrFull  = errors.New("the host has no memory left for a request of this size")
	ErrEnded = errors.New("ended as the one that held most memory for longest without progress")
)

// ErrTooLarge means that a body is over its limit.
var ErrTooLarge = errors.New("body over its limit")

// Kind is what memory is held for.
type Kind int

// What memory is held for. Holds of Body and Unread wait for a caller, and may be ended.
const (
	// Body is a request whose body arrives, Call one that has arrived.
	Body Kind = iota
	Call
	// Answers is what servers' answers take while they are read.
	Answers
	// Unread is a complete answer that its caller has not taken.
	Unread
	kindCount
)

// String returns the name of a kind in metrics and log lines.
func (k Kind) String() string { return [kindCount]string{"body", "call", "answer", "unread"}[k] }

const (
	// smallBytes is the size up to which a request is a small one.
	smallBytes = 64 << 10
	// minStall is the time without progress after which a hold may be ended. A body of an
	// ordinary caller never pauses for so long, except after the loss of several packets
	// in a row.
	minStall = 500 * time.Millisecond
	// progressBytes is how much must be read or written to count as progress, so that
	// single bytes don't.
	progressBytes = 16 << 10
)

// Hold is the memory that one caller's request, or its answer, takes.
type Hold struct {
	budget *Budget
	kind   Kind
	// end makes the read or write that waits for the caller return.
	end    func()
	held   int64
	ended  bool
	closed bool
	// leaving is what was held when it was ended.
	leaving int64
	// last is the time of the last progress, moved what was moved since.
	last  time.Time
	moved int64
}

// Hold adds a request, or a complete answer, of which nothing is held yet. end is called at most once, with the
// budget locked. The caller must call Close.
func (b *Budget) Hold(kind Kind, end func()) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Hold{budget: b, kind: kind, end: end, last: b.now()}
	b.holds[h] = struct{}{}
	return h
}

// Grow adds bytes. If they don't fit, holds that make no progress are ended first; if
// that does not suffice it returns ErrFull, and nothing is added.
func (h *Hold) Grow(n int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.unlock()
	if h.ended {
		return ErrEnded
	}
	for !b.fits(h, n) {
		victim := b.stalled(h, h.held+n > smallBytes && b.overLarge(h, n), h.held+n <= smallBytes)
		if victim == nil {
			refusedTotal.Inc()
			b.decide(Decision{Kind: h.kind, Bytes: h.held + n, Held: b.held})
			return ErrFull
		}
		b.endLocked(victim)
	}
	h.add(n)
	return nil
}

// Take adds bytes that are in memory already, whether or not they fit.
func (h *Hold) Take(n int64) {
	h.budget.mu.Lock()
	defer h.budget.unlock()
	if !h.ended {
		h.add(n)
	}
}

// Shrink removes bytes.
func (h *Hold) Shrink(n int64) {
	h.budget.mu.Lock()
	defer h.budget.unlock()
	if !h.ended {
		h.add(-min(n, h.held))
	}
}

// Moved records that the caller sent or took bytes.
func (h *Hold) Moved(n int) {
	h.budget.mu.Lock()
	defer h.budget.unlock()
	if h.moved += int64(n); h.moved >= progressBytes {
		h.moved, h.last = 0, h.budget.now()
	}
}

// Arrived makes a Body a Call, which is not ended any more. It returns ErrEnded if that
// came first.
func (h *Hold) Arrived() error {
	b := h.budget
	b.mu.Lock()
	defer b.unlock()
	if h.ended {
		return ErrEnded
	}
	n := h.held
	h.add(-n)
	h.kind = Call
	h.add(n)
	return nil
}

// Ended reports whether the hold was ended.
func (h *Hold) Ended() bool {
	h.budget.mu.Lock()
	defer h.budget.unlock()
	return h.ended
}

// Close releases the memory. Only the first call has an effect.
func (h *Hold) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.unlock()
	if !h.closed {
		h.closed = true
		if h.leaving > 0 {
			b.left(-h.leaving)
		}
		h.add(-h.held)
		delete(b.holds, h)
	}
}

func (h *Hold) add(n int64) {
	b := h.budget
	if h.isRequest() {
		b.large -= h.largeBytes()
	}
	h.held += n
	if h.isRequest() {
		b.large += h.largeBytes()
	}
	b.held += n
	b.byKind[h.kind] += n
	heldBytes[h.kind].Add(n)
}

func (h *Hold) isRequest() bool { return h.kind == Body || h.kind == Call }

// largeBytes returns what a hold counts towards the share of large requests.
func (h *Hold) largeBytes() int64 {
	if h.held > smallBytes {
		return h.held
	}
	return 0
}

// fits reports whether a hold may grow. The last part of the limit is for small requests.
// A large request that is alone always fits, since no other limit than that of its own
// size could let it in later.
func (b *Budget) fits(h *Hold, n int64) bool {
	if h.held+n <= smallBytes {
		return b.counted()+n <= b.limits.All
	}
	if h.isRequest() && b.large == h.largeBytes() {
		return true
	}
	return b.counted()+n <= b.limits.All-b.limits.Small && !b.overLarge(h, n)
}

// counted returns what all holds take, where large requests count with their share at
// most: only one that is alone exceeds it, and it must not keep others out.
func (b *Budget) counted() int64 { return b.held - b.large + min(b.large, b.limits.Large) }

// overLarge reports whether large requests would exceed their share.
func (b *Budget) overLarge(h *Hold, n int64) bool {
	others := b.large - h.largeBytes()
	return h.isRequest() && others > 0 && others+h.held+n > b.limits.Large
}

// stalled returns the hold to end: of those that make no progress the one that holds most
// for longest. It returns nil if there is none. requests is set if only large requests
// count, small if small ones do too, which make room for others that are small only.
func (b *Budget) stalled(except *Hold, requests, small bool) *Hold {
	now := b.now()
	var found *Hold
	var most float64
	for h := range b.holds {
		stall := now.Sub(h.last)
		if h == except || h.ended || h.kind == Call || h.held == 0 || stall < minStall || requests && !h.isRequest() || !small && h.held <= smallBytes {
			continue
		}
		if weight := float64(h.held) * stall.Seconds(); found == nil || weight > most {
			found, most = h, weight
		}
	}
	return found
}

func (b *Budget) endLocked(h *Hold) {
	endedTotal[h.kind].Inc()
	b.decide(Decision{Kind: h.kind, Ended: true, Bytes: h.held, Held: b.held, Stalled: b.now().Sub(h.last)})
	h.leaving = h.held
	b.left(h.leaving)
	h.add(-h.held)
	h.ended = true
	h.end()
}

// ReadAll reads a body of a known length, or one of an unknown length below 0, up to
// limit. The memory of a known length is taken before anything is read.
func (h *Hold) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length < 0 {
		return h.readPieces(r, limit)
	}
	if err := h.Grow(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	n, err := h.fill(r, body)
	if errors.Is(err, io.EOF) && n < len(body) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, h.cause(err)
	}
	return body, nil
}

const (
	// A body of unknown length is kept in pieces; the first has minBodyPiece bytes, and
	// each further one twice as much, up to maxBodyPiece.
	minBodyPiece = 2 << 10
	maxBodyPiece = 64 << 10
)

// readPieces reads a body of an unknown length.
func (h *Hold) readPieces(r io.Reader, limit int64) ([]byte, error) {
	var pieces [][]byte
	var total int64
	for size := minBodyPiece; ; size = min(2*size, maxBodyPiece) {
		if err := h.Grow(int64(size)); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, err := h.fill(r, piece)
		pieces = append(pieces, piece[:n])
		if total += int64(n); total > limit {
			return nil, ErrTooLarge
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return nil, h.cause(err)
		}
		return h.join(pieces, total)
	}
}

// join joins the pieces of a body. Both are in memory for a moment.
func (h *Hold) join(pieces [][]byte, total int64) ([]byte, error) {
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	if err := h.Grow(total); err != nil {
		return nil, err
	}
	body := make([]byte, 0, total)
	var taken int64
	for _, piece := range pieces {
		body = append(body, piece...)
		taken += int64(cap(piece))
	}
	h.Shrink(taken)
	return body, nil
}

// fill reads until p is full or an error occurs.
func (h *Hold) fill(r io.Reader, p []byte) (int, error) {
	read := 0
	for read < len(p) {
		n, err := r.Read(p[read:])
		read += n
		if n > 0 {
			h.Moved(n)
		}
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// Reader returns a reader of r that records progress.
func (h *Hold) Reader(r io.Reader) io.Reader { return movedReader{r, h} }

type movedReader struct {
	io.Reader
	hold *Hold
}

func (r movedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.hold.Moved(n)
	}
	return n, err
}

// cause returns ErrEnded if that is why a read or write failed.
func (h *Hold) cause(err error) error {
	if h.Ended() {
		return fmt.Errorf("%w: %w", ErrEnded, err)
	}
	return err
}
