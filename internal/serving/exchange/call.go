// Package exchange defines the calls and replies that pass between callers and
// backend servers. The bodies are opaque: both are forwarded byte for byte.
package exchange

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Call is one call of an online caller or one item of a batch job.
type Call struct {
	ID     string
	Method string
	// Target is the path and query as sent by the caller, Host the host name.
	Target string
	Host   string
	// Fields are the end-to-end header fields.
	Fields []Field
	Body   []byte
	// SharedParts names the parts of the prompt that other calls may have in
	// common with this one.
	SharedParts []string
	// LastPart names the last part of the prompt, which few calls share, "" if the prompt
	// is not listed.
	LastPart string
	// Expectation is what the caller expects of the server, such as a version of the
	// weights; "" if nothing.
	Expectation string
	// Organisation is the name of the caller's organisation, "" if the configuration has
	// none or the route is public.
	Organisation string
	Route        *routes.Route
	// Service is the service picked among those of the route.
	Service string
	// Received is when the call was read. Deadline is when the caller stops
	// waiting or the route's timeout ends, whichever is earlier; zero means that
	// there is no deadline.
	Received time.Time
	Deadline time.Time
	// TakeUp is set if the caller asks for the rest of a stream.
	TakeUp *TakeUp
}

// TakeUp names the stream that a call takes up again.
type TakeUp struct {
	// After is the number of the last event that the caller has, at least 1.
	After int64
	// Attempts are the IDs of the calls that, as the caller says, brought the first
	// event: one, unless the caller left it out or named several.
	Attempts []string
}

// EndsBy returns when the call ends at the latest, by Deadline or the route's
// timeout; zero if there is neither.
func (c *Call) EndsBy() time.Time {
	if c.Route.Timeout <= 0 {
		return c.Deadline
	}
	if routeDeadline := c.Received.Add(c.Route.Timeout); c.Deadline.IsZero() || routeDeadline.Before(c.Deadline) {
		return routeDeadline
	}
	return c.Deadline
}

// ContentHash identifies what the call asks for, whoever sends it.
func (c *Call) ContentHash() uint64 {
	hash := xxhash.New()
	for _, text := range []string{c.Host, "\n", c.Method, "\n", c.Target, "\n"} {
		_, _ = hash.WriteString(text)
	}
	_, _ = hash.Write(c.Body)
	return hash.Sum64()
}

// Resume asks a server to continue a stream after an event.
type Resume struct {
	// After is the number of the last event that was received.
	After int64
	// Set is false for a call that starts from the beginning.
	Set bool
}

// Reply is the head of a server's answer with a reader for the rest. Body must
// be closed.
type Reply struct {
	Status int
	Fields []Field
	// NotRun is set if the server did not and will not run the call.
	NotRun bool
	// Misdirected is set if another server answered at the address. NotRun is
	// then set too.
	Misdirected bool
	// Unmet is set if the server may have refused the call only since it doesn't meet what
	// the caller expects of it, which says nothing about the server. NotRun is then set too.
	Unmet bool
	// Unframed is set if the answer has neither a length nor chunks, so that its
	// end can't be told from the end of its connection.
	Unframed bool
	// EventStream is set if the body is declared to be a stream of events.
	EventStream bool
	// RateLimit is the number of requests a second that the server takes from all
	// hosts together, 0 if it named none.
	RateLimit float64
	// Body returns an error other than io.EOF if the answer was cut off.
	Body io.ReadCloser
}

// ErrInvalidReply means that the answer is invalid or belongs to another call.
var ErrInvalidReply = errors.New("not an answer to this call")

// SendError is the error of a call without a reply.
type SendError struct {
	Err error
	// Sent is set if bytes of the call may have reached the server.
	Sent bool
	// Reused is set if the connection had carried earlier calls. The server may
	// then have closed it before the call arrived.
	Reused bool
}

// Error returns the text of the cause.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Servers sends calls to backend servers. Both methods report a connection that
// they open by Opened.
type Servers interface {
	// Send sends a call to a server and returns the head of its answer. timeout
	// is the time that the server may take, 0 for no bound. The error is a
	// *SendError. Cancelling ctx ends the call and closes its connection.
	Send(ctx context.Context, s backend.Server, c *Call, resume Resume, timeout time.Duration) (*Reply, error)
	// Down reports whether nothing listens at a server's address, as after a
	// crash. It returns false for a server that can't be reached. It also returns
	// true while new connections of this host to any server are refused.
	Down(ctx context.Context, s backend.Server) bool
}

// MonitoredServers are servers whose crashes are told from a loss of this host's
// own connections.
type MonitoredServers interface {
	Servers
	// Crashed reports whether a server is down while this host reaches others.
	Crashed(ctx context.Context, s backend.Server) bool
}
