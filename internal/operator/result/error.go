package result

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Error is a refusal or failure with its numbered code.
type Error struct {
	// code is never OK.
	code    Code
	message string
	// ran is RanNo only if no byte of the request went to a back end.
	ran Ran
	// retryAfter is zero where a retry can't help.
	retryAfter time.Duration
	// first says of a BackendSilent that no new connection was tried.
	first bool
}

var _ error = (*Error)(nil)

// New returns an error for a request of which no byte went to a back end.
func New(code Code, format string, args ...any) *Error {
	return &Error{code: code, message: fmt.Sprintf(format, args...), ran: RanNo}
}

// WithRan returns a copy of e that says ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// WithRetry returns a copy of e that asks the caller to come back after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithFirstSilence returns a copy of e that says that the connection alone may
// be at fault, since no new one was tried.
func (e *Error) WithFirstSilence() *Error {
	c := *e
	c.first = true
	return &c
}

// FirstSilence reports whether the connection alone may be at fault.
func (e *Error) FirstSilence() bool { return e.first }

// Code returns the numbered code.
func (e *Error) Code() Code { return e.code }

// Message returns the text for the caller, without the code's name.
func (e *Error) Message() string { return e.message }

// Ran says whether the request reached a back end.
func (e *Error) Ran() Ran { return e.ran }

// RetryAfter returns when a retry can help, zero for never.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error returns the code's name and the message, lower case.
func (e *Error) Error() string {
	if e.message == "" {
		return e.code.String()
	}
	return e.code.String() + ": " + e.message
}

// From returns the result error inside err; any other error becomes Internal
// with RanMaybe, since nothing is known about it. It returns nil for nil.
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
