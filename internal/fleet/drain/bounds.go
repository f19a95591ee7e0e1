package drain

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Bounds are those of the heads of requests and of idle connections.
type Bounds struct {
	// Bytes is the size of a head, Time how long it may take from its first byte; 0 for no
	// bound.
	Bytes int64
	Time  time.Duration
	// Idle is how long a connection may at least stay without a request.
	Idle time.Duration
	// Refusal is the body of the answer to a head that is too large.
	Refusal string
}

const (
	// readAheadBytes is how much net/http reads at once: that much of a body may have been
	// read with its head.
	readAheadBytes = 4 << 10
	// headMargin is added to the time of a head, for what the network takes.
	headMargin = time.Second
	// After a refused head, up to maxRefusedBytes are read for at most refusedTime, so that
	// the close does not reset the connection, which would lose the refusal.
	maxRefusedBytes = 1 << 20
	refusedTime     = 500 * time.Millisecond
	// youngAge is the age up to which the request of an ordinary caller may be incomplete.
	// Idle connections are closed before such a one.
	youngAge = time.Second
)

var closedForRoomTotal = metrics.NewCounter("kingcupquay_connections_closed_for_room_total")

// ReadingBody marks the connection of a request as one whose request is incomplete until
// finished is called. ctx is that of the request.
func ReadingBody(ctx context.Context) (finished func()) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	c.setReading(true)
	return func() { c.setReading(false) }
}

// MaxHeadBytes returns the bound of the head of a request that was in force when the head
// began; ok is false if that is not known. ctx is that of the request.
func MaxHeadBytes(ctx context.Context) (bytes int64, ok bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bounds.Bytes, c.listener.Bounds != nil
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.readingBody = reading
}

// inHead reports whether a head is being read. The caller holds c.mu.
func (p *progress) inHead() bool { return p.read > 0 && !p.handling && !p.handled && !p.broken }

// beginHead sets the deadline of a head whose first bytes were read. The caller holds c.mu.
func (c *conn) beginHead() {
	if c.listener.Bounds == nil {
		return
	}
	c.bounds = c.listener.Bounds()
	if c.bounds.Time > 0 && !c.draining {
		c.headDeadline = c.progress.began.Add(c.bounds.Time + headMargin)
		_ = c.Conn.SetReadDeadline(c.deadline())
	}
}

// idleDeadline returns the read deadline of an idle connection, which the server has set to
// t. The caller holds c.mu.
func (c *conn) idleDeadline(t time.Time) time.Time {
	if c.busy || t.IsZero() || c.listener.Bounds == nil {
		return t
	}
	now := time.Now()
	if idle := c.listener.Bounds().Idle; t.After(now) && t.Sub(now) < idle {
		return now.Add(idle)
	}
	return t
}

// endHead ends the deadline of a head. The caller holds c.mu.
func (c *conn) endHead() {
	if !c.headDeadline.IsZero() {
		c.headDeadline = time.Time{}
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// deadline returns the read deadline while a head may be read. The caller holds c.mu.
func (c *conn) deadline() time.Time {
	if !c.headDeadline.IsZero() && (c.readDeadline.IsZero() || c.headDeadline.Before(c.readDeadline)) {
		return c.headDeadline
	}
	return c.readDeadline
}

// headTooLarge reports whether what was read of a head is over its bound. The caller holds
// c.mu.
func (c *conn) headTooLarge() bool {
	return c.bounds.Bytes > 0 && c.progress.inHead() && c.progress.read > c.bounds.Bytes+readAheadBytes
}

// refuseHead answers a head that is too large, and reads on for a bounded time and size.
func (c *conn) refuseHead(p []byte) {
	status := http.StatusRequestHeaderFieldsTooLarge
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(c.bounds.Refusal), c.bounds.Refusal)
	// A failure of any of these means that the connection has ended.
	_ = c.SetWriteDeadline(time.Now().Add(refusedTime))
	if _, err := c.Write([]byte(text)); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusedTime))
	for dropped := 0; dropped < maxRefusedBytes; {
		n, err := c.Conn.Read(p)
		if dropped += n; err != nil {
			return
		}
	}
}

// waiting is how a connection waits for its caller.
type waiting int

// The ways to wait, those of which connections are closed first first.
const (
	// stuck is an incomplete request older than youngAge, idle a connection without a
	// request, young an incomplete request that is younger.
	stuck waiting = iota
	idle
	young
	// serving is a connection that does not wait for its caller.
	serving
)

// waits returns how a connection waits for its caller, and since when.
func (c *conn) waits(now time.Time) (waiting, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch p := &c.progress; {
	case c.closed:
		return serving, now
	case !c.busy:
		return idle, c.idleSince
	case !p.inHead() && !p.readingBody:
		return serving, now
	case now.Sub(p.began) < youngAge:
		return young, p.began
	default:
		return stuck, p.began
	}
}

// surplus returns the connection to close for a new one, which it is itself if no other
// waits for its caller, or nil if there is room. The caller holds l.mu.
func (l *Listener) surplus(accepted *conn) *conn {
	if l.MaxConns <= 0 || len(l.conns) <= l.MaxConns {
		return nil
	}
	now := time.Now()
	found, how, since := accepted, serving, now
	for c := range l.conns {
		if c == accepted {
			continue
		}
		if w, at := c.waits(now); w < how || w == how && w != serving && at.Before(since) {
			found, how, since = c, w, at
		}
	}
	closedForRoomTotal.Inc()
	return found
}

// CloseIdle closes the connections on which no request is read or handled.
func (l *Listener) CloseIdle() { l.closeThose(func(w waiting) bool { return w == idle }) }

// CloseAll closes all connections.
func (l *Listener) CloseAll() { l.closeThose(func(waiting) bool { return true }) }

func (l *Listener) closeThose(chosen func(waiting) bool) {
	now := time.Now()
	l.mu.Lock()
	var list []*conn
	for c := range l.conns {
		if w, _ := c.waits(now); chosen(w) {
			list = append(list, c)
		}
	}
	l.mu.Unlock()
	for _, c := range list {
		// A failure means that the connection has ended already.
		_ = c.Close()
	}
}
