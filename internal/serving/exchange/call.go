// Package exchange holds what passes between a caller and a backend server when
// the body is nobody's business but theirs: one attempt of a caller and the
// answer to it, both forwarded byte for byte.
package exchange

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Call is one attempt of a caller, or one item of a job.
type Call struct {
	ID     string
	Method string
	// Target is the path and query as they were sent, Host the host name.
	Target string
	Host   string
	// Fields are the end-to-end header fields.
	Fields []Field
	Body   []byte
	Route  *routes.Route
	// Service is the one of the route's services that answers.
	Service string
	// Received is when the call was read, Deadline when its caller leaves; a
	// zero Deadline is none.
	Received time.Time
	Deadline time.Time
}

// Resume asks a server to go on after an event.
type Resume struct {
	After int64
	// Set says that After counts.
	Set bool
}

// Reply is the beginning of a server's answer to a call. Body must be closed.
type Reply struct {
	Status int
	Fields []Field
	// NotRun says that the server did not and will not run the call.
	NotRun bool
	// Misdirected says that another server answered at the address; NotRun holds.
	Misdirected bool
	// Body ends in an error if the answer broke off.
	Body io.ReadCloser
}

// ErrInvalidReply says that the answer was not one to the call, or no proper answer.
var ErrInvalidReply = errors.New("not an answer to this call")

// SendError says that no reply came.
type SendError struct {
	Err error
	// Sent says that bytes of the call may have reached the server.
	Sent bool
	// Reused says that the connection had served before, so that it may have
	// been closed before the call reached the server.
	Reused bool
}

// Error returns the cause in words.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Servers sends calls to backend servers.
type Servers interface {
	// Send begins a call at a server. left is the time that the server may take,
	// 0 for no bound. Its error is a *SendError. Cancelling ctx ends the call
	// and closes its connection.
	Send(ctx context.Context, s backend.Server, c *Call, resume Resume, left time.Duration) (*Reply, error)
	// Down reports whether nothing listens at a server's address, as after a
	// crash. A server that can't be reached is not known to be down.
	Down(ctx context.Context, s backend.Server) bool
}
