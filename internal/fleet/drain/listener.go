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
	"sync/atomic"
	"time"
)

// Listener accepts connections that it can drain. It is safe for concurrent
// use.
type Listener struct {
	net.Listener
	// Closed is told of each connection that ends with a request read, or being read,
	// that was not answered completely. It must not block. RequestID returns the ID of
	// a request for that. Either may be nil, and they must be set before Serve.
	Closed    func(Closing)
	RequestID func(*http.Request) string
	// Bounds returns the bounds of a head that begins, nil for none. MaxConns is the number
	// of connections beyond which those that wait longest for their callers are closed, 0
	// for no bound. Both must be set before Serve.
	Bounds   func() Bounds
	MaxConns int

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
	// idleClosed is the number of connections that were ended since they were idle and
	// draining.
	idleClosed atomic.Int64
}

// Serve serves a listener's connections. It returns nil after Drain was called,
// and otherwise the error of s.Serve. It sets s.ConnState and s.ConnContext, and wraps
// s.Handler.
func Serve(s *http.Server, l *Listener) error {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if accepted, ok := c.(*conn); ok && state == http.StateIdle {
			accepted.markIdle()
		}
	}
	s.ConnContext = withConn
	s.Handler = handlerOf(l, s.Handler)
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
	c, surplus, err := l.accepted(inner, err)
	if surplus != nil {
		// A failure means that the connection has ended already.
		_ = surplus.Close()
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// accepted adds an accepted connection, and returns the one to close for it, if any.
func (l *Listener) accepted(inner net.Conn, err error) (c, surplus *conn, _ error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting--
	if err != nil {
		l.checkDrained()
		return nil, nil, err
	}
	c = &conn{Conn: inner, listener: l, idleSince: time.Now()}
	l.conns[c] = struct{}{}
	if l.draining {
		c.drain()
	}
	return c, l.surplus(c), nil
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

// IdleClosed returns how many connections were ended by Drain while no request had
// come on them, as far as this host knows. Requests may have been on their way.
func (l *Listener) IdleClosed() int { return int(l.idleClosed.Load()) }

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
	// progress is that of the current request.
	progress progress
	closed   bool
	// idleSince is when the last response was sent, or the connection accepted.
	idleSince time.Time
	// bounds are those of the current head, headDeadline is when it must have been read.
	bounds       Bounds
	headDeadline time.Time
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
	eof, tooLarge := c.noteRead(n, err)
	if tooLarge {
		c.refuseHead(p)
	}
	if eof || tooLarge {
		return 0, io.EOF
	}
	return n, err
}

// noteRead records the outcome of a read. It returns whether the connection ends, being
// idle and draining, or since the head of a request is too large.
func (c *conn) noteRead(n int, err error) (eof, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && c.draining && !c.busy {
		return true, false
	}
	first := c.progress.read == 0
	c.progress.noteRead(n, err)
	if n == 0 {
		return false, false
	}
	c.busy = true
	if c.draining {
		// These bytes were read while drain was called. Their request is served, so
		// the server's deadline replaces the expired one that drain may have set.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	if first && c.progress.inHead() {
		c.beginHead()
	}
	return false, c.headTooLarge()
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.noteWrite(p, n, err)
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
	c.readDeadline = c.idleDeadline(t)
	t = c.deadline()
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
		c.listener.idleClosed.Add(1)
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// markIdle records that the response to the last request has been sent.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, time.Now()
	c.endHead()
	// What ended reads ends the connection, too.
	c.progress = progress{readFailure: c.progress.readFailure}
	if c.draining {
		c.listener.idleClosed.Add(1)
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.listener.remove(c)
	if report, ok := c.beginClose(); ok && c.listener.Closed != nil {
		c.listener.Closed(report)
	}
	return c.Conn.Close()
}

// beginClose returns what is reported of the first call of Close, and whether there is
// anything.
func (c *conn) beginClose() (Closing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return Closing{}, false
	}
	c.closed = true
	return c.closing()
}

// CloseWrite shuts down the writing side if the connection supports it.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}
