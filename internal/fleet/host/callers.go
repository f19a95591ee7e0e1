package host

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
)

const (
	// headTimeout limits the time to read a request's head. The HTTP library has no limit
	// for it.
	headTimeout = 20 * time.Second
	// writeTimeout limits the time in which a caller takes nothing of an answer, which is
	// written in pieces of writePieceBytes.
	writeTimeout    = 30 * time.Second
	writePieceBytes = 32 << 10
)

// callerListener accepts callers' connections, as many as the host has descriptors for.
type callerListener struct {
	*drain.Listener
}

func newCallerListener(l net.Listener, s *setup.Settings) callerListener {
	listener := drain.NewListener(l)
	listener.MaxConns = setup.MaxCallers(s.MaxDescriptors, s.MemoryMB)
	listener.Bounds = func() drain.Bounds { return drain.Bounds{Time: headTimeout} }
	return callerListener{listener}
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: inner}, nil
}

// callerConn makes timeouts hold for each read and write rather than for a whole request.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// readTimeout is the time that was left until the read deadline when it was set, 0 for
	// none. expired is set while that was in the past.
	readTimeout time.Duration
	expired     bool
	// handling is set while a handler runs. left is set once the caller has left while
	// none did: what the library answers then, to a request that is cut off, has no code
	// and is not sent.
	handling, left bool
}

// SetReadDeadline sets the time that each read may take to what is left until t. A time
// that has passed ends all reads until the next call.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readTimeout, c.expired = 0, false
	if !t.IsZero() {
		c.readTimeout = time.Until(t)
		c.expired = c.readTimeout <= 0
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	if err := c.extend(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.mu.Lock()
		c.left = c.left || !c.handling
		c.mu.Unlock()
	}
	return n, err
}

func (c *callerConn) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = handling
}

func (c *callerConn) hasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

func (c *callerConn) extend() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readTimeout <= 0 || c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(time.Now().Add(c.readTimeout))
}

// Write writes to the connection.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.hasLeft() {
		return 0, io.ErrClosedPipe
	}
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

func withConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

// handleCaller handles a request until its caller leaves.
func handleCaller(ctx context.Context, c *app.RequestContext) {
	connection, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		c.Next(ctx)
		return
	}
	connection.setHandling(true)
	defer connection.setHandling(false)
	ctx, finished := drain.Handling(ctx, connection.Conn)
	defer finished()
	c.Next(ctx)
}
