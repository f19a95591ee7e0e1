package result

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Error is a refusal or a failure of a request, with its numbered code. It is
// immutable.
type Error struct {
	// code is never OK.
	code    Code
	message string
	// ran is RanNo only if no byte of the request was sent to a backend server.
	ran Ran
	// retryAfter is zero if a retry can't help.
	retryAfter time.Duration
	// firstSilence is set on a BackendSilent error if the request was not tried
	// again on a new connection.
	firstSilence bool
}

var _ error = (*Error)(nil)

// New returns an error for a request of which no byte was sent to a backend
// server.
func New(code Code, format string, args ...any) *Error {
	return &Error{code: code, message: fmt.Sprintf(format, args...), ran: RanNo}
}

// WithRan returns a copy of e with that value of Ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// WithRetry returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithFirstSilence returns a copy of e, a BackendSilent error of a request that
// was not tried again on a new connection. The fault may then lie with the
// pooled connection and not with the server.
func (e *Error) WithFirstSilence() *Error {
	c := *e
	c.firstSilence = true
	return &c
}

// FirstSilence reports whether the fault may lie with the pooled connection and
// not with the server, because the request was not tried again on a new
// connection.
func (e *Error) FirstSilence() bool { return e.firstSilence }

// Code returns the numbered code.
func (e *Error) Code() Code { return e.code }

// Message returns the message for the caller, without the code's name.
func (e *Error) Message() string { return e.message }

// Ran reports whether the request reached a backend server.
func (e *Error) Ran() Ran { return e.ran }

// RetryAfter returns the time after which the caller may retry, zero if a retry
// can't help.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error returns the code's name and the message.
func (e *Error) Error() string {
	if e.message == "" {
		return e.code.String()
	}
	return e.code.String() + ": " + e.message
}

// From returns the *Error that err wraps. Any other error becomes Internal with
// RanMaybe, because it does not tell whether the request reached a backend
// server. From returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(trace.Unwrap(err), &e) || errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err).WithRan(RanMaybe)
}
