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

	stopping atomic.Bool
	active   sync.WaitGroup
}

// NewMiddleware returns the entrance of a host. currentText returns the services
// text in effect, nil if none was loaded yet; recordEvent records an event for
// operators.
func NewMiddleware(host string, t timer.Service, currentText func() *services.Text, recordEvent func(kind, cause string, subjects ...string)) *Middleware {
	return &Middleware{host: host, timer: t, currentText: currentText, recordEvent: recordEvent}
}

// Wrap wraps h as a handler of the HTTP library that authenticates the caller
// and answers with the error that h returns, if any.
func (e *Middleware) Wrap(h Handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		e.active.Add(1)
		defer e.active.Done()
		received := &Call{http: c, id: "req-" + uuid.NewString(), text: e.currentText(), now: e.timer.Now()}
		c.Response.Header.Set(requestIDHeader, received.id)
		failure := e.authenticate(received)
		if failure == nil {
			failure = h(ctx, received)
		}
		if failure != nil {
			e.recordRefusal(received, failure)
			received.WriteError(failure)
		}
	}
}

// recordRefusal records an event for an error that the caller did not cause.
func (e *Middleware) recordRefusal(c *Call, failure *result.Error) {
	if failure.Code() >= result.RateLimited && c.organisation != nil {
		e.recordEvent("request refused", failure.Error(), c.id)
	}
}

// authenticate sets c's organisation. It fails if the host is stopping, no
// services text was loaded yet, or the token is missing or unknown.
func (e *Middleware) authenticate(c *Call) *result.Error {
	if e.stopping.Load() {
		return result.New(result.Stopping, "host %s is stopping", e.host).WithRetry(time.Second)
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
func (e *Middleware) Stop(ctx context.Context) {
	e.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
