package drain

import (
	"context"
	"net"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// The values of SO_LINGER: a connection is reset when it is closed, also by the end of
// the process, or closed in the usual way.
const (
	lingerReset  = 0
	lingerNormal = -1
)

// ResetOnClose has the connection of a request end with a reset, rather than the usual
// close, until finished is called. What of an answer was written by then can't be taken
// for a whole answer that ends with its connection. ctx is that of the request.
func ResetOnClose(ctx context.Context) (finished func()) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return func() {}
	}
	// An error means that the connection is closed, so that writes to it fail.
	_ = tcp.SetLinger(lingerReset)
	return func() { _ = tcp.SetLinger(lingerNormal) }
}
