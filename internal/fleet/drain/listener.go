// Package drain drains the keep-alive connections of an HTTP server without
// losing a request.
//
// http.Server.Shutdown closes connections that it considers idle, and drops a
// request that it has read after the shutdown began. It considers a connection
// idle until the head of its request has been read completely, so a request
// that arrives at that moment is read and never answered. Here a connection is
// closed only if nothing has been read from it since its last response, and
// nothing is read from it afterwards; bytes still in the network at that moment
// were never read. On every other connection the request is served first.
package drain

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts connections that it can drain. It is safe for concurrent
// use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	// accepting is the number of calls of Accept that have not returned. Each may have
	// taken a connection that is not in conns yet.
	accepting int
	// draining is set by Drain. drained is closed, and isDrained set, once draining is
	// set, no connection is left and none can come.
	draining  bool
	isDrained bool
	drained   chan struct{}
}

// Serve serves a listener's connections. It returns nil after Drain was called,
// and otherwise the error of s.Serve. It sets s.ConnState and s.ConnContext.
func Serve(s *http.Server, l *Listener) error {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if accepted, ok := c.(*conn); ok && state == http.StateIdle {
			accepted.markIdle()
		}
	}
	s.ConnContext = withConn
	err := s.Serve(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil
	}
	return err
}

// NewListener returns a listener that wraps l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{}), drained: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.accepting++
	l.mu.Unlock()
	inner, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting--
	if err != nil {
		l.checkDrained()
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.conns[c] = struct{}{}
	if l.draining {
		c.drain()
	}
	return c, nil
}

// Drain stops accepting connections, ends the idle ones, and waits until all
// others have served their request and ended. It returns ctx.Err() if ctx is
// done first. Later calls only wait.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	if !l.draining {
		l.draining = true
		// Close fails only if the listener is closed already.
		_ = l.Close()
		for c := range l.conns {
			c.drain()
		}
		l.checkDrained()
	}
	l.mu.Unlock()
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.checkDrained()
}

// checkDrained closes drained if the drain is over. The caller holds l.mu.
func (l *Listener) checkDrained() {
	if l.draining && !l.isDrained && l.accepting == 0 && len(l.conns) == 0 {
		l.isDrained = true
		close(l.drained)
	}
}

// conn is one connection of a server.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// busy is set if something has been read since the last response. Once
	// draining is set, nothing more is read while busy is not set.
	busy     bool
	draining bool
	// readDeadline is the read deadline that the server set last.
	readDeadline time.Time
}

// expiredDeadline is a read deadline that ends a blocked read at once.
var expiredDeadline = time.Unix(1, 0)

// Read reads from the connection and marks it busy. Once the connection is
// draining and idle, it returns io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	if c.done() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		if c.done() {
			return 0, io.EOF
		}
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if c.draining {
		// These bytes were read while drain was called. Their request is served, so
		// the server's deadline replaces the expired one that drain may have set.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	return n, err
}

// done reports whether the connection is draining and idle.
func (c *conn) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining && !c.busy
}

// SetReadDeadline sets the read deadline, except that it stays expired while
// the connection is draining and idle.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.draining && !c.busy {
		t = expiredDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// drain ends reading as soon as the connection is idle.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.busy {
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// markIdle records that the response to the last request has been sent.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.draining {
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side if the connection supports it.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}
