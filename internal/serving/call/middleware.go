package call

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
)

// Handler answers one call, or returns the error to answer with.
type Handler func(ctx context.Context, c *Call) *result.Error

// Middleware authenticates callers and tracks the calls in progress, so that a
// stopping host can wait for them.
type Middleware struct {
	host        string
	timer       timer.Service
	currentText func() *services.Text
	recordEvent func(kind, cause string, subjects ...string)
	// memory is the budget of what is held for callers.
	memory *buffer.Budget

	stopping atomic.Bool
	active   sync.WaitGroup
}

// NewMiddleware returns a middleware for the named host. currentText returns the
// services text in effect, nil if none was loaded yet; recordEvent records an
// event for operators.
func NewMiddleware(host string, t timer.Service, currentText func() *services.Text, memory *buffer.Budget, recordEvent func(kind, cause string, subjects ...string)) *Middleware {
	return &Middleware{host: host, timer: t, currentText: currentText, memory: memory, recordEvent: recordEvent}
}

// Wrap wraps h as a handler of the HTTP library that authenticates the caller
// and answers with the error that h returns, if any.
func (m *Middleware) Wrap(h Handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		m.active.Add(1)
		defer m.active.Done()
		received := &Call{http: c, id: "req-" + uuid.NewString(), text: m.currentText(), now: m.timer.Now()}
		c.Response.Header.Set(requestIDHeader, received.id)
		// A failure to set the deadline leaves the read to the end of the connection.
		received.held = m.memory.Hold(buffer.Body, func() { _ = c.GetConn().SetReadDeadline(expiredDeadline) })
		defer received.held.Close()
		failure := m.authenticate(received)
		if failure == nil {
			failure = h(ctx, received)
		}
		if failure != nil {
			m.recordRefusal(received, failure)
			received.WriteError(failure)
		}
	}
}

// recordRefusal records an event for an error that the caller did not cause.
func (m *Middleware) recordRefusal(c *Call, failure *result.Error) {
	if failure.Code() >= result.RateLimited && c.organisation != nil {
		m.recordEvent("request refused", failure.Error(), c.id)
	}
}

// authenticate sets c's organisation. It fails if the host is stopping, no
// services text was loaded yet, or the token is missing or unknown.
func (m *Middleware) authenticate(c *Call) *result.Error {
	if m.stopping.Load() {
		return result.New(result.Stopping, "host %s is stopping", m.host).WithRetry(time.Second)
	}
	if c.text == nil {
		return result.New(result.StoreUnavailable, "no services text yet").WithRetry(time.Second)
	}
	token, ok := strings.CutPrefix(string(c.http.GetHeader("Authorization")), "Bearer ")
	if !ok {
		return result.New(result.Unauthorized, "no bearer token")
	}
	if c.organisation, ok = c.text.AuthenticateToken(token); !ok {
		return result.New(result.Unauthorized, "unknown token")
	}
	return nil
}

// Stop refuses new calls and waits until those in progress have ended or ctx is
// done.
func (m *Middleware) Stop(ctx context.Context) {
	m.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		m.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
