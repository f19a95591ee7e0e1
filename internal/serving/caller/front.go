// Package caller is the HTTP face of an entry host towards callers. It speaks
// the conventions that their tools already know: chat and text completions
// whole and streamed, files and batches, and plain services under
// /services/NAME/PATH.
//
// A request with an idempotency key, or of a durable service, is recorded
// before it runs; its answer is the recorded one, also for a resend that comes
// in at another host. Everything a caller can get wrong is answered with a
// numbered result code and changes nothing that was accepted before.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/google/uuid"

	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// Runner runs a request to its end.
type Runner interface {
	// Run gives every event but Finished to sink and returns how it ended.
	Run(ctx context.Context, r *request.Request, sink request.Sink) *result.Error
}

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

// Jobs acts on batch jobs, wherever their shard is held.
type Jobs interface {
	// Act carries out one of the job package's actions.
	Act(ctx context.Context, action, id string, body []byte) (*job.Record, *result.Error)
}

// Parts are what a front is built on.
type Parts struct {
	Host    string
	Timer   timer.Service
	Text    func() *services.Text
	Runner  Runner
	Records Records
	Jobs    Jobs
	Store   store.Store
	// Shards is the number of shards of the deployment.
	Shards int
	Hosts  func() []string
	Note   func(kind, cause string, subjects ...string)
}

// Front answers callers.
type Front struct {
	p Parts

	mu   sync.Mutex
	gate *limit.Gate

	// late holds the outcomes that could not be recorded yet.
	late *late

	stopping atomic.Bool
	active   sync.WaitGroup
}

// New returns a front without routes; Register adds them to a server.
func New(p Parts) *Front {
	f := &Front{p: p, gate: limit.NewGate(p.Host)}
	f.late = newLate(p.Timer, p.Records, p.Note)
	return f
}

// Register adds the callers' routes to h.
func (f *Front) Register(h *server.Hertz) {
	h.POST("/v1/chat/completions", f.handle(f.completions))
	h.POST("/v1/completions", f.handle(f.completions))
	h.GET("/v1/models", f.handle(f.models))
	h.GET("/v1/models/:id", f.handle(f.model))
	h.POST("/v1/files", f.handle(f.uploadFile))
	h.GET("/v1/files/:id", f.handle(f.getFile))
	h.GET("/v1/files/:id/content", f.handle(f.fileContent))
	h.POST("/v1/batches", f.handle(f.createBatch))
	h.GET("/v1/batches", f.handle(f.listBatches))
	h.GET("/v1/batches/:id", f.handle(f.getBatch))
	h.POST("/v1/batches/:id/cancel", f.handle(f.cancelBatch))
	h.GET("/v1/requests/:key", f.handle(f.getRequest))
	h.Any("/services/:name/*path", f.handle(f.plainService))
	h.NoRoute(f.handle(func(_ context.Context, c *call) *result.Error {
		return result.New(result.UnknownEndpoint, "%s %s", c.http.Method(), c.http.Path())
	}))
}

// Stop refuses new requests and waits for those in progress until ctx ends.
func (f *Front) Stop(ctx context.Context) {
	f.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		f.active.Wait()
		f.late.wait(ctx)
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// call is one HTTP call of an authenticated caller.
type call struct {
	http *app.RequestContext
	// id is the request id that the answer carries.
	id           string
	organisation *services.Organisation
	text         *services.Text
	now          time.Time
}

type handler func(ctx context.Context, c *call) *result.Error

// handle authenticates the caller and answers its errors.
func (f *Front) handle(h handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f.active.Add(1)
		defer f.active.Done()
		one := &call{http: c, id: "req-" + uuid.NewString(), text: f.p.Text(), now: f.p.Timer.Now()}
		c.Response.Header.Set(requestIDHeader, one.id)
		failure := f.admit(one)
		if failure == nil {
			failure = h(ctx, one)
		}
		if failure != nil {
			one.fail(failure)
		}
	}
}

func (f *Front) admit(c *call) *result.Error {
	if f.stopping.Load() {
		return result.New(result.Stopping, "host %s is stopping", f.p.Host).WithRetry(time.Second)
	}
	if c.text == nil {
		return result.New(result.StoreUnavailable, "no services text yet").WithRetry(time.Second)
	}
	token, ok := strings.CutPrefix(string(c.http.GetHeader("Authorization")), "Bearer ")
	if !ok {
		return result.New(result.Unauthorized, "no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	if c.organisation, ok = c.text.Authenticate(hex.EncodeToString(sum[:])); !ok {
		return result.New(result.Unauthorized, "unknown token")
	}
	return nil
}

// The headers of our own.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	deadlineHeader  = "X-Deadline-Ms"
)

const maxKeyBytes = 128

// key returns the caller's idempotency key.
func (c *call) key() (string, *result.Error) {
	key := string(c.http.GetHeader(keyHeader))
	if len(key) > maxKeyBytes || strings.ContainsAny(key, "/ \t") {
		return "", result.New(result.InvalidHeader, "%s needs at most %d characters, no spaces or slashes", keyHeader, maxKeyBytes)
	}
	return key, nil
}

// deadline returns until when the caller waits.
func (c *call) deadline(s *services.Service) (time.Time, *result.Error) {
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

// allow checks that the caller's organisation may use the service.
func (c *call) allow(s *services.Service) *result.Error {
	if !c.organisation.Allows(s.Name) {
		return result.New(result.ServiceForbidden, "organisation %s may not call %s", c.organisation.Name, s.Name)
	}
	return nil
}

// enter passes the limits; the returned function must be called at the end.
func (f *Front) enter(c *call, s *services.Service) (func(), *result.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.SetHosts(f.p.Hosts())
	if failure := f.gate.Admit(c.now, c.organisation, s); failure != nil {
		return nil, failure
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.gate.Leave(c.organisation, s)
	}, nil
}
