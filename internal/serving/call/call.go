// Package call provides what all HTTP handlers for callers share:
// authentication, access to a call's headers and body within their size limits,
// and the JSON format of errors and lists. The handlers themselves are in other
// packages.
package call

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
)

// JSON is the media type of most bodies.
const JSON = "application/json"

// Request and response headers defined by this API.
const (
	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	deadlineHeader       = "X-Deadline-Ms"
)

const maxIdempotencyKeyBytes = 128

// Call is one HTTP call. It must not be used after its handler has returned.
type Call struct {
	http *app.RequestContext
	// id is the request id returned in the answer.
	id string
	// organisation is the caller's, as authenticated with text.
	organisation *services.Organisation
	text         *services.Text
	// held is the memory of the body.
	held *buffer.Hold
	now  time.Time
}

// HTTP returns the HTTP library's request context.
func (c *Call) HTTP() *app.RequestContext { return c.http }

// ID returns the request id returned in the answer.
func (c *Call) ID() string { return c.id }

// Organisation returns the caller's organisation.
func (c *Call) Organisation() *services.Organisation { return c.organisation }

// Text returns the services text in effect when the call was received.
func (c *Call) Text() *services.Text { return c.text }

// Now returns when the call was received.
func (c *Call) Now() time.Time { return c.now }

// IdempotencyKey returns the caller's idempotency key, empty if there is none.
func (c *Call) IdempotencyKey() (string, *result.Error) {
	key := string(c.http.GetHeader(idempotencyKeyHeader))
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsAny(key, "/ \t") {
		return "", result.New(result.InvalidHeader, "%s needs at most %d characters, no spaces or slashes", idempotencyKeyHeader, maxIdempotencyKeyBytes)
	}
	return key, nil
}

// Deadline returns the call's deadline: the service's default, or an earlier one
// that the caller set in the deadline header.
func (c *Call) Deadline(s *services.Service) (time.Time, *result.Error) {
	timeout := s.Deadline()
	if text := string(c.http.GetHeader(deadlineHeader)); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return time.Time{}, result.New(result.InvalidHeader, "%s must be milliseconds above 0", deadlineHeader)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return c.now.Add(timeout), nil
}

// CheckAccess checks that the caller's organisation may use the service.
func (c *Call) CheckAccess(s *services.Service) *result.Error {
	if !c.organisation.Allows(s.Name) {
		return result.New(result.ServiceForbidden, "organisation %s may not call %s", c.organisation.Name, s.Name)
	}
	return nil
}
