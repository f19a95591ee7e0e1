// Package onlineapi is the HTTP face of an entry host towards online callers. It
// speaks the conventions that their tools already know: chat and text
// completions whole and streamed, and plain services under
// /services/NAME/PATH.
//
// A request with an idempotency key, or of a durable service, is recorded
// before it runs; its answer is the recorded one, also for a resend that comes
// in at another host. Everything a caller can get wrong is answered with a
// numbered result code and changes nothing that was accepted before.
package onlineapi

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/answer"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

// Records is the durable record of requests, wherever its shard is held.
type Records interface {
	// Claim returns nil if the request may run, the entry of an earlier claim
	// otherwise.
	Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.Entry, *result.Error)
	// Finish records how the attempt ended.
	Finish(ctx context.Context, in *wire.FinishRequest) *result.Error
	// Lookup reads the entry of a key.
	Lookup(ctx context.Context, key string) (*wire.Entry, *result.Error)
}

// Options are what a front is built on.
type Options struct {
	Host    string
	Timer   timer.Service
	Runner  answer.Runner
	Records Records
	Hosts   func() []string
	// LimitHomes asks the hosts that count small limits.
	LimitHomes  LimitHomes
	RecordEvent func(kind, cause string, subjects ...string)
}

// API answers callers.
type API struct {
	p Options

	mu   sync.Mutex
	gate *limit.Limiter

	// loans numbers what is borrowed from other hosts, also across restarts.
	loans atomic.Int64

	// late holds the outcomes that could not be recorded yet.
	late *late
}

// New returns a front without routes; Register adds them to a server.
func New(p Options) *API {
	f := &API{p: p, gate: limit.NewLimiter(p.Host)}
	f.loans.Store(p.Timer.Now().UnixNano())
	f.late = newLate(p.Timer, p.Records, p.RecordEvent)
	return f
}

// Register adds the callers' routes to h.
func (f *API) Register(h *server.Hertz, e *call.Middleware) {
	h.POST("/v1/chat/completions", e.Wrap(f.completions))
	h.POST("/v1/completions", e.Wrap(f.completions))
	h.GET("/v1/models", e.Wrap(f.models))
	h.GET("/v1/models/:id", e.Wrap(f.model))
	h.GET("/v1/requests/:key", e.Wrap(f.getRequest))
	h.Any("/services/:name/*path", e.Wrap(f.plainService))
	h.NoRoute(e.Wrap(func(_ context.Context, c *call.Call) *result.Error {
		return result.New(result.UnknownEndpoint, "%s %s", c.HTTP().Method(), c.HTTP().Path())
	}))
}

// Wait returns when every outcome is recorded or ctx ends.
func (f *API) Wait(ctx context.Context) { f.late.wait(ctx) }

// admission is what a call is let in with.
type admission struct {
	// key is the idempotency key, empty for a call without a record.
	key      string
	deadline time.Time
	// leave must be called when the call ends.
	leave func()
}

// admit checks a call's headers, its caller's rights and the limits.
func (f *API) admit(c *call.Call, s *services.Service) (admission, *result.Error) {
	var a admission
	failure := c.CheckAccess(s)
	if failure != nil {
		return a, failure
	}
	if a.key, failure = c.IdempotencyKey(); failure != nil {
		return a, failure
	}
	if a.deadline, failure = c.Deadline(s); failure != nil {
		return a, failure
	}
	if s.Durable && a.key == "" {
		a.key = c.ID()
	}
	a.leave, failure = f.enter(c, s, a.deadline.Sub(c.Now()))
	return a, failure
}

// enter passes the limits; the returned function must be called at the end.
func (f *API) enter(c *call.Call, s *services.Service, lasts time.Duration) (func(), *result.Error) {
	away, failure := f.enterHere(c, s)
	if failure != nil {
		return nil, failure
	}
	leave := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.gate.Release(c.Organisation(), s)
	}
	if len(away) == 0 {
		return leave, nil
	}
	giveBack, failure := f.borrow(away, lasts)
	if failure != nil {
		leave()
		return nil, failure
	}
	return func() {
		leave()
		giveBack()
	}, nil
}

// enterHere passes the limits that this host counts and returns the others.
func (f *API) enterHere(c *call.Call, s *services.Service) ([]limit.Limit, *result.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.SetHosts(f.p.Hosts())
	if failure := f.gate.Admit(c.Now(), c.Organisation(), s); failure != nil {
		return nil, failure
	}
	return f.gate.RemoteLimits(c.Organisation(), s), nil
}
