// Package dial opens TCP connections that detect a silent peer.
//
// A device between two hosts may drop a connection without a reset while new
// ones work. Two kernel settings detect this: a limit on how long sent bytes may
// stay unacknowledged (TCP_USER_TIMEOUT), and keep-alive probes on idle
// connections.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before
	// the connection fails. It leaves time for several retransmissions.
	unacknowledgedTimeout = 2500 * time.Millisecond
	// An idle connection is probed first after probeIdle, then every
	// probeInterval. It fails after probeCount unanswered probes.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// Error is a failure to open a connection, so nothing was sent.
type Error struct{ Err error }

// Error returns the cause after a fixed prefix.
func (e *Error) Error() string { return "no connection: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Dialer opens connections and gives up after Timeout.
type Dialer struct{ Timeout time.Duration }

// DialContext opens a connection; its error is always an *Error.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAliveConfig: KeepAlive(), Control: SetUserTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	return conn, nil
}

// KeepAlive returns the probe settings for a dialer or a listener.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// SetUserTimeout sets unacknowledgedTimeout on a socket; it is a
// net.Dialer.Control function.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
