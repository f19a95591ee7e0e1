package keeper

import (
	"context"
	"errors"
	"sync"

	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// maxRelayBytes bounds what the back end may be ahead of the reader.
const maxRelayBytes = 1 << 20

var errReaderLeft = errors.New("reader left")

// relay holds the events that the back end has produced and the reader has not
// taken, so that a slow reader keeps no slot longer than the back end needs.
type relay struct {
	mu     sync.Mutex
	events []request.Event
	bytes  int
	// closed says that no event follows; left, that nobody reads on.
	closed bool
	left   bool
	// ready and space hold at most one wake-up each.
	ready chan struct{}
	space chan struct{}
}

func newRelay() *relay {
	return &relay{ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put adds an event; it blocks while the reader is far behind.
func (l *relay) put(ctx context.Context, e request.Event) error {
	for {
		l.mu.Lock()
		if l.left {
			l.mu.Unlock()
			return errReaderLeft
		}
		if l.bytes < maxRelayBytes {
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

// close says that no event follows.
func (l *relay) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	wake(l.ready)
}

// drain gives the events to sink until the relay is closed or sink fails.
func (l *relay) drain(sink request.Sink) error {
	for {
		events, closed := l.take()
		for _, e := range events {
			if err := sink(e); err != nil {
				l.leave()
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

// take returns what is there, and whether it is the rest.
func (l *relay) take() ([]request.Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events
	l.events, l.bytes = nil, 0
	wake(l.space)
	return events, l.closed
}

func (l *relay) leave() {
	l.mu.Lock()
	l.left = true
	l.mu.Unlock()
	wake(l.space)
}
