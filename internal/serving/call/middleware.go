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

// Middleware authenticates callers and counts the calls in progress.
type Middleware struct {
	host  string
	timer timer.Service
	text  func() *services.Text
	note  func(kind, cause string, subjects ...string)

	stopping atomic.Bool
	active   sync.WaitGroup
}

// NewMiddleware returns the entrance of a host; text returns the services text
// in force, nil before the first, and note records a change of state.
func NewMiddleware(host string, t timer.Service, text func() *services.Text, note func(kind, cause string, subjects ...string)) *Middleware {
	return &Middleware{host: host, timer: t, text: text, note: note}
}

// Wrap makes h a handler of the HTTP library.
func (e *Middleware) Wrap(h Handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		e.active.Add(1)
		defer e.active.Done()
		one := &Call{http: c, id: "req-" + uuid.NewString(), text: e.text(), now: e.timer.Now()}
		c.Response.Header.Set(requestIDHeader, one.id)
		failure := e.admit(one)
		if failure == nil {
			failure = h(ctx, one)
		}
		if failure != nil {
			e.noteRefusal(one, failure)
			one.WriteError(failure)
		}
	}
}

// noteRefusal notes a refusal that is not the caller's own fault.
func (e *Middleware) noteRefusal(c *Call, failure *result.Error) {
	if failure.Code() >= result.RateLimited && c.organisation != nil {
		e.note("request refused", failure.Error(), c.id)
	}
}

func (e *Middleware) admit(c *Call) *result.Error {
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

// Stop refuses new calls and waits for those in progress until ctx ends.
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
