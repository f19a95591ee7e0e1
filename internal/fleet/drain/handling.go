package drain

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// leftInterval is the interval at which it is checked whether a caller has left.
const leftInterval = 100 * time.Millisecond

// Handling is for servers other than those of net/http, whose handlers Serve wraps. It
// marks a connection of a Listener as one on which a request is handled until finished is
// called. The context that it returns ends when the caller leaves.
func Handling(ctx context.Context, connection net.Conn) (_ context.Context, finished func()) {
	c, ok := connection.(*conn)
	if !ok {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, connKey{}, c))
	c.beginHandling("", false)
	go c.watch(ctx, cancel)
	return ctx, func() {
		cancel()
		c.endHandling(true)
		c.markIdle()
	}
}

// watch calls left when the caller has left, until ctx ends.
func (c *conn) watch(ctx context.Context, left context.CancelFunc) {
	ticker := time.NewTicker(leftInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if hasLeft(c.Conn) {
				left()
				return
			}
		}
	}
}

// hasLeft reports whether nothing more can be read from a connection, without reading.
func hasLeft(c net.Conn) bool {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var next [1]byte
	failure := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case failure != nil:
		return true
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false
	}
	return err != nil || n == 0
}
