// Package call holds one HTTP call of an authenticated caller: its headers and
// body with their bounds, the one JSON shape of an error, and the entrance that
// tells who calls. What a call asks for is up to the packages that handle it.
package call

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// JSON is the media type of most bodies.
const JSON = "application/json"

// The headers of our own.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	deadlineHeader  = "X-Deadline-Ms"
)

const maxKeyBytes = 128

// Call is one HTTP call. It lives as long as its handler runs.
type Call struct {
	http *app.RequestContext
	// id is the request id that the answer carries.
	id string
	// organisation is the caller's; text is the one that authenticated it.
	organisation *services.Organisation
	text         *services.Text
	now          time.Time
}

// HTTP returns the library's side of the call.
func (c *Call) HTTP() *app.RequestContext { return c.http }

// ID returns the request id that the answer carries.
func (c *Call) ID() string { return c.id }

// Organisation returns the caller's organisation.
func (c *Call) Organisation() *services.Organisation { return c.organisation }

// Text returns the services text in force when the call came in.
func (c *Call) Text() *services.Text { return c.text }

// Now returns when the call came in.
func (c *Call) Now() time.Time { return c.now }

// IdempotencyKey returns the caller's idempotency key, empty if there is none.
func (c *Call) IdempotencyKey() (string, *result.Error) {
	key := string(c.http.GetHeader(keyHeader))
	if len(key) > maxKeyBytes || strings.ContainsAny(key, "/ \t") {
		return "", result.New(result.InvalidHeader, "%s needs at most %d characters, no spaces or slashes", keyHeader, maxKeyBytes)
	}
	return key, nil
}

// Deadline returns until when the caller waits for the service.
func (c *Call) Deadline(s *services.Service) (time.Time, *result.Error) {
	wait := s.Deadline()
	if text := string(c.http.GetHeader(deadlineHeader)); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return time.Time{}, result.New(result.InvalidHeader, "%s must be milliseconds above 0", deadlineHeader)
		}
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	return c.now.Add(wait), nil
}

// CheckAccess checks that the caller's organisation may use the service.
func (c *Call) CheckAccess(s *services.Service) *result.Error {
	if !c.organisation.Allows(s.Name) {
		return result.New(result.ServiceForbidden, "organisation %s may not call %s", c.organisation.Name, s.Name)
	}
	return nil
}
