package keeper

import (
	"context"
	"errors"
	"sync"

	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// maxBufferedBytes is the buffer size from which on put blocks.
const maxBufferedBytes = 1 << 20

var errReaderLeft = errors.New("reader left")

// eventBuffer holds the events that the server has produced and the reader has
// not yet taken, so that a slow reader does not occupy a slot for longer than
// the server needs.
type eventBuffer struct {
	mu     sync.Mutex
	events []request.Event
	bytes  int
	// closed says that no more events are put, abandoned that none are taken.
	closed    bool
	abandoned bool
	// ready wakes drain and space wakes put. Each holds at most one wake-up.
	ready chan struct{}
	space chan struct{}
}

func newEventBuffer() *eventBuffer {
	return &eventBuffer{ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// wake signals c unless a signal is already pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put adds an event. It blocks while the buffer holds maxBufferedBytes or more.
func (l *eventBuffer) put(ctx context.Context, e request.Event) error {
	for {
		l.mu.Lock()
		if l.abandoned {
			l.mu.Unlock()
			return errReaderLeft
		}
		if l.bytes < maxBufferedBytes {
			l.events = append(l.events, e)
			l.bytes += len(e.Data)
			l.mu.Unlock()
			wake(l.ready)
			return nil
		}
		l.mu.Unlock()
		select {
		case <-l.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// close tells the reader that no more events follow.
func (l *eventBuffer) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	wake(l.ready)
}

// drain passes the events to sink until the buffer is closed and empty, or sink
// fails.
func (l *eventBuffer) drain(sink request.Sink) error {
	for {
		events, closed := l.takeAll()
		for _, e := range events {
			if err := sink(e); err != nil {
				l.abandon()
				return err
			}
		}
		if closed {
			return nil
		}
		if len(events) == 0 {
			<-l.ready
		}
	}
}

// takeAll removes and returns the buffered events, and reports whether the
// buffer is closed.
func (l *eventBuffer) takeAll() ([]request.Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events
	l.events, l.bytes = nil, 0
	wake(l.space)
	return events, l.closed
}

// abandon makes put fail from now on.
func (l *eventBuffer) abandon() {
	l.mu.Lock()
	l.abandoned = true
	l.mu.Unlock()
	wake(l.space)
}
