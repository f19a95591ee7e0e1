// Package segment gives listeners of stand-ins the segments of an ordinary network.
//
// Those of the loopback are 64 KB, and the buffers of its connections grow with them: a
// long upload is in the kernel at once, and no write waits when a server resets its
// connection. With small segments the stand-ins meet such a reset as servers do.
package segment

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxBytes is the maximum segment size of an ordinary network, in bytes.
const maxBytes = 1400

// Control sets the segment size of a listener, for net.ListenConfig.
func Control(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, maxBytes)
	})
	return errors.Join(err, optionErr)
}

// Listen listens at a TCP address.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: Control}
	return config.Listen(context.Background(), "tcp", address)
}
