// Package drain ends a server's kept connections without losing a request.
//
// The library's own way to stop a server closes connections that look idle and
// drops a request that it has read once the stop has begun. A connection looks
// idle until its request has been read to the end of its head, so one that
// comes in at that moment is read and never answered. Here a connection ends
// only if nothing has been read from it since its last answer, and reads
// nothing more from then on; what is in the network at that moment was never
// read. All others are served first.
package drain

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener hands out connections that it can end. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	// ending says that End was called; none is closed once no connection is left.
	ending bool
	none   chan struct{}
}

// Serve makes a server serve a listener's connections until its end, which is no
// error.
func Serve(s *http.Server, l *Listener) error {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if one, is := c.(*conn); is && state == http.StateIdle {
			one.answered()
		}
	}
	err := s.Serve(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending {
		return nil
	}
	return err
}

// NewListener returns a listener on top of another.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{}), none: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if l.ending {
		c.end()
	}
	return c, nil
}

// Drain takes no more connections, ends those on which nothing waits for an
// answer, and returns when the others have ended, or with an error if ctx is
// done before. Only the first call does anything.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	if !l.ending {
		l.ending = true
		// Its error says that it is closed already.
		_ = l.Close()
		for c := range l.conns {
			c.end()
		}
		if len(l.conns) == 0 {
			close(l.none)
		}
	}
	l.mu.Unlock()
	select {
	case <-l.none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, held := l.conns[c]; !held {
		return
	}
	delete(l.conns, c)
	if l.ending && len(l.conns) == 0 {
		close(l.none)
	}
}

// conn is one connection of a server.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// waiting says that something has been read since the last answer, ended that
	// nothing more is read once nothing waits.
	waiting bool
	ended   bool
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Read reads unless the connection has ended.
func (c *conn) Read(p []byte) (int, error) {
	if c.over() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		if c.over() {
			return 0, io.EOF
		}
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	if c.ended {
		// It was read at the moment of the end, and is served like any other.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

func (c *conn) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && !c.waiting
}

// SetReadDeadline bounds the time of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && !c.waiting {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// end lets the connection end once nothing waits.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if !c.waiting {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// answered notes that nothing waits any more.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.ended {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.listener.forget(c)
	return c.Conn.Close()
}

// CloseWrite ends what the server sends.
func (c *conn) CloseWrite() error {
	if half, is := c.Conn.(interface{ CloseWrite() error }); is {
		return half.CloseWrite()
	}
	return nil
}
