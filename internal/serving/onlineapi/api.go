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

// Options are the dependencies of an API.
type Options struct {
	Host    string
	Timer   timer.Service
	Runner  answer.Runner
	Records Records
	Hosts   func() []string
	// LimitHomes calls the hosts that enforce the limits too small to be split.
	LimitHomes LimitHomes
	// RecordEvent records an event for operators.
	RecordEvent func(kind, cause string, subjects ...string)
}

// API handles the calls of online callers.
type API struct {
	options Options

	mu      sync.Mutex
	limiter *limit.Limiter

	// lastLoan is the number of the last loan requested from another host. It
	// starts from the clock, so that numbers are not reused after a restart.
	lastLoan atomic.Int64

	// outcomeRetrier retries the recording of outcomes that failed.
	outcomeRetrier *outcomeRetrier
}

// New returns an API. Register adds its routes to a server.
func New(options Options) *API {
	a := &API{options: options, limiter: limit.NewLimiter(options.Host)}
	a.lastLoan.Store(options.Timer.Now().UnixNano())
	a.outcomeRetrier = newOutcomeRetrier(options.Timer, options.Records, options.RecordEvent)
	return a
}

// Register adds the routes of the API to h.
func (a *API) Register(h *server.Hertz, m *call.Middleware) {
	h.POST("/v1/chat/completions", m.Wrap(a.completions))
	h.POST("/v1/completions", m.Wrap(a.completions))
	h.GET("/v1/models", m.Wrap(a.models))
	h.GET("/v1/models/:id", m.Wrap(a.model))
	h.GET("/v1/requests/:key", m.Wrap(a.getRequest))
	h.Any("/services/:name/*path", m.Wrap(a.plainService))
	h.NoRoute(m.Wrap(func(_ context.Context, c *call.Call) *result.Error {
		return result.New(result.UnknownEndpoint, "%s %s", c.HTTP().Method(), c.HTTP().Path())
	}))
}

// Wait blocks until no outcome waits to be recorded or ctx is done.
func (a *API) Wait(ctx context.Context) { a.outcomeRetrier.wait(ctx) }

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
func (a *API) admit(c *call.Call, s *services.Service) (admission, *result.Error) {
	var admitted admission
	failure := c.CheckAccess(s)
	if failure != nil {
		return admitted, failure
	}
	if admitted.key, failure = c.IdempotencyKey(); failure != nil {
		return admitted, failure
	}
	if admitted.deadline, failure = c.Deadline(s); failure != nil {
		return admitted, failure
	}
	if s.Durable && admitted.key == "" {
		admitted.key = c.ID()
	}
	admitted.release, failure = a.acquireLimits(c, s, admitted.deadline.Sub(c.Now()))
	return admitted, failure
}

// acquireLimits counts a call against its limits, local and remote, or refuses
// it. The returned function must be called when the call ends.
func (a *API) acquireLimits(c *call.Call, s *services.Service, duration time.Duration) (func(), *result.Error) {
	remote, failure := a.acquireLocalLimits(c, s)
	if failure != nil {
		return nil, failure
	}
	releaseLocal := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.limiter.Release(c.Organisation(), s)
	}
	if len(remote) == 0 {
		return releaseLocal, nil
	}
	releaseRemote, failure := a.borrowRemote(remote, duration)
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
func (a *API) acquireLocalLimits(c *call.Call, s *services.Service) ([]limit.Limit, *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.SetHosts(a.options.Hosts())
	if failure := a.limiter.Admit(c.Now(), c.Organisation(), s); failure != nil {
		return nil, failure
	}
	return a.limiter.RemoteLimits(c.Organisation(), s), nil
}
