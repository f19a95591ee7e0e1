// Package dial opens TCP connections that notice when they fall silent.
//
// Something between two hosts may lose a connection without a reset while new
// ones work. Two settings of the kernel show it: a bound on how long sent bytes
// may stay unacknowledged, and probes on connections that only wait.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledged is how long sent bytes may stay unacknowledged before the
	// connection counts as lost; several retransmissions fit in.
	unacknowledged = 2500 * time.Millisecond
	// Probes on a quiet connection: the first after probeIdle, then one each
	// probeEvery; probeCount lost ones end the connection.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 3
)

// Error says that no connection came about, so nothing was sent.
type Error struct{ Err error }

// Error returns the cause in words.
func (e *Error) Error() string { return "no connection: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Dialer opens connections within Timeout.
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

// KeepAlive returns the probes for a connection or a listener.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}
}

// SetUserTimeout bounds the time that sent bytes may stay unacknowledged.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
