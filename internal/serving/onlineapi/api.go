// Package onlineapi implements the HTTP API of an entry host for online callers:
// OpenAI-style chat and text completions, streamed or not, and plain services
// under /services/NAME/PATH.
//
// A request with an idempotency key, or to a durable service, is recorded before
// it runs. A repeated request gets the recorded answer, also if it arrives at
// another host. An invalid request is answered with a numbered result code and
// does not affect requests accepted earlier.
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

// Records stores requests and their outcomes durably, on whichever host holds
// the shard of the key.
type Records interface {
	// Claim returns a nil entry if the request may run, else the entry of an
	// earlier claim.
	Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.Entry, *result.Error)
	// Finish records how the attempt ended.
	Finish(ctx context.Context, in *wire.FinishRequest) *result.Error
	// Lookup returns the entry of a key.
	Lookup(ctx context.Context, key string) (*wire.Entry, *result.Error)
}

// Options are the dependencies of a Front.
type Options struct {
	Host    string
	Timer   timer.Service
	Runner  answer.Runner
	Records Records
	Hosts   func() []string
	// LimitHomes calls the hosts that enforce small limits.
	LimitHomes LimitHomes
	// RecordEvent records an event for operators.
	RecordEvent func(kind, cause string, subjects ...string)
}

// API handles the calls of online callers.
type API struct {
	parts Options

	mu      sync.Mutex
	limiter *limit.Limiter

	// lastLoan is the number of the last loan requested from another host. It
	// starts from the clock, so that numbers are not reused after a restart.
	lastLoan atomic.Int64

	// outcomeRetrier retries the recording of outcomes that failed.
	outcomeRetrier *outcomeRetrier
}

// New returns a Front. Register adds its routes to a server.
func New(parts Options) *API {
	f := &API{parts: parts, limiter: limit.NewLimiter(parts.Host)}
	f.lastLoan.Store(parts.Timer.Now().UnixNano())
	f.outcomeRetrier = newOutcomeRetrier(parts.Timer, parts.Records, parts.RecordEvent)
	return f
}

// Register adds the routes of the API to h.
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

// Wait blocks until no outcome waits to be recorded or ctx is done.
func (f *API) Wait(ctx context.Context) { f.outcomeRetrier.wait(ctx) }

// admission holds the parameters of an admitted call.
type admission struct {
	// key is the idempotency key, empty for a call without a record.
	key      string
	deadline time.Time
	// release frees the call's share of the limits. It must be called when the
	// call ends.
	release func()
}

// admit checks a call's headers, the caller's permissions and the limits.
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
	a.release, failure = f.acquireLimits(c, s, a.deadline.Sub(c.Now()))
	return a, failure
}

// acquireLimits counts a call against its limits, local and remote, or refuses
// it. The returned function must be called when the call ends.
func (f *API) acquireLimits(c *call.Call, s *services.Service, duration time.Duration) (func(), *result.Error) {
	remote, failure := f.acquireLocalLimits(c, s)
	if failure != nil {
		return nil, failure
	}
	releaseLocal := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.limiter.Release(c.Organisation(), s)
	}
	if len(remote) == 0 {
		return releaseLocal, nil
	}
	releaseRemote, failure := f.borrowRemote(remote, duration)
	if failure != nil {
		releaseLocal()
		return nil, failure
	}
	return func() {
		releaseLocal()
		releaseRemote()
	}, nil
}

// acquireLocalLimits counts a call against the limits that this host enforces
// and returns the limits that other hosts enforce.
func (f *API) acquireLocalLimits(c *call.Call, s *services.Service) ([]limit.Limit, *result.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limiter.SetHosts(f.parts.Hosts())
	if failure := f.limiter.Admit(c.Now(), c.Organisation(), s); failure != nil {
		return nil, failure
	}
	return f.limiter.RemoteLimits(c.Organisation(), s), nil
}
