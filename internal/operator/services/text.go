// Package services holds the services text: the one JSON document that an
// operator edits. It lists the organisations with the hashes of their tokens,
// the services with what they need and promise, and the back ends.
//
// A Text that Parse returned is complete and consistent: defaults are filled
// in, every name resolves and every limit is within its bounds, so that no
// reader of it has to check again. A Text is immutable.
package services

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Text is one checked revision of the services text.
type Text struct {
	// revision grows with each accepted change; zero before the first.
	revision      int64
	source        []byte
	organisations []Organisation
	services      []Service
	backends      []Backend
	// spans are the places of the organisations in source; nil until a change
	// inside one of them was amended.
	spans []span
	// warnings are what is allowed but rarely meant.
	warnings Problems

	// tokens maps the SHA-256 of a token, in hexadecimal, to an organisation's index.
	tokens     map[string]int
	byService  map[string]int
	byModel    map[string]int
	byBackend  map[string]int
	byOrg      map[string]int
	byEngines  map[string][]int
	byProvider map[string][]int
}

// Organisation is one customer of the deployment.
type Organisation struct {
	Name string `json:"name"`
	// TokenHashes are SHA-256 sums of bearer tokens in hexadecimal.
	TokenHashes []string `json:"token_sha256"`
	// Share is the organisation's part among equals.
	Share int `json:"share,omitempty"`
	// RequestsPerSecond and Concurrency bound what is accepted; 0 is unbounded.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
	// Services lists the services it may call; empty means all.
	Services []string `json:"services,omitempty"`
	// Operator lets its tokens change the services text and ask why.
	Operator bool `json:"operator,omitempty"`
}

// Kind tells what answers a service.
type Kind string

// The two kinds of service.
const (
	EngineKind Kind = "engine"
	PlainKind  Kind = "plain"
)

// Service is one kind of request and its promises.
type Service struct {
	Name    string `json:"name"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Urgency is "online" or "batch".
	Urgency string `json:"urgency"`
	// Weight orders refusal under overload, 1 to 1000; the lowest goes first.
	Weight int `json:"weight"`
	// Idempotent says that a call may be sent twice without harm.
	Idempotent bool `json:"idempotent"`
	// Durable says that every accepted call is recorded before it runs.
	Durable bool `json:"durable"`
	// Retries bounds how often an idempotent call is sent again.
	Retries int `json:"retries,omitempty"`
	// DeadlineMS is how long a caller waits if it does not say.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// FirstByteMS and ProgressMS bound the silence of a connection.
	FirstByteMS int `json:"first_byte_ms,omitempty"`
	ProgressMS  int `json:"progress_ms,omitempty"`
	// KeepHours is how long a recorded answer stays readable.
	KeepHours int `json:"keep_hours,omitempty"`
	// DueHours is how long a batch job may take if it does not say.
	DueHours int `json:"due_hours,omitempty"`
	// QueueLimit bounds the requests that wait at one engine.
	QueueLimit int `json:"queue_limit,omitempty"`
	// RequestsPerSecond and Concurrency bound the service; 0 is unbounded.
	RequestsPerSecond float64  `json:"requests_per_second,omitempty"`
	Concurrency       int      `json:"concurrency,omitempty"`
	MaxBodyKB         int      `json:"max_body_kb,omitempty"`
	DependsOn         []string `json:"depends_on,omitempty"`
}

// Deadline returns the default time a caller waits.
func (s *Service) Deadline() time.Duration { return time.Duration(s.DeadlineMS) * time.Millisecond }

// FirstByteTimeout returns the longest silence before the first byte.
func (s *Service) FirstByteTimeout() time.Duration {
	return time.Duration(s.FirstByteMS) * time.Millisecond
}

// ProgressTimeout returns the longest silence between two pieces of an answer.
func (s *Service) ProgressTimeout() time.Duration {
	return time.Duration(s.ProgressMS) * time.Millisecond
}

// Retention returns how long a recorded answer stays readable.
func (s *Service) Retention() time.Duration { return time.Duration(s.KeepHours) * time.Hour }

// CompletionWindow returns the default completion window of a batch job.
func (s *Service) CompletionWindow() time.Duration { return time.Duration(s.DueHours) * time.Hour }

// Backend is one backend server: a model engine or a plain service's server.
type Backend struct {
	Name    string `json:"name"`
	Kind    Kind   `json:"kind"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Models are the models an engine holds or may load.
	Models []string `json:"models,omitempty"`
	// Services are the plain services a server answers.
	Services []string `json:"services,omitempty"`
	// Slots is how many requests it runs side by side.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing says that it refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving takes it out of service without cutting what it runs.
	Leaving bool `json:"leaving,omitempty"`
}

// Revision returns the number of accepted changes up to this text.
func (t *Text) Revision() int64 { return t.revision }

// Source returns the JSON document as the operator wrote it.
func (t *Text) Source() []byte { return t.source }

// Warnings returns what is allowed but rarely meant, as a service without a
// back end.
func (t *Text) Warnings() Problems { return t.warnings }

// Organisations returns all organisations; the slice must not be changed.
func (t *Text) Organisations() []Organisation { return t.organisations }

// Services returns all services; the slice must not be changed.
func (t *Text) Services() []Service { return t.services }

// Backends returns all back ends; the slice must not be changed.
func (t *Text) Backends() []Backend { return t.backends }

// Organisation returns the organisation with that name.
func (t *Text) Organisation(name string) (*Organisation, bool) {
	return find(t.organisations, t.byOrg, name)
}

// Service returns the service with that name.
func (t *Text) Service(name string) (*Service, bool) {
	return find(t.services, t.byService, name)
}

// ServiceForModel resolves the model field of a caller's request: the name of
// an engine service, or a model, which stands for the first service on it.
func (t *Text) ServiceForModel(name string) (*Service, bool) {
	if s, ok := t.Service(name); ok && s.Kind == EngineKind {
		return s, true
	}
	return find(t.services, t.byModel, name)
}

// Backend returns the back end with that name.
func (t *Text) Backend(name string) (*Backend, bool) {
	return find(t.backends, t.byBackend, name)
}

// EnginesFor returns the indices in Backends of the engines for a model.
func (t *Text) EnginesFor(model string) []int { return t.byEngines[model] }

// ServersFor returns the indices in Backends of the servers of a plain service.
func (t *Text) ServersFor(service string) []int { return t.byProvider[service] }

// ServingBackends returns the indices in Backends of the back ends that take
// new work of the service.
func (t *Text) ServingBackends(s *Service) []int {
	all := t.byProvider[s.Name]
	if s.Kind == EngineKind {
		all = t.byEngines[s.Model]
	}
	var serving []int
	for _, i := range all {
		if b := &t.backends[i]; b.Kind == s.Kind && !b.Leaving {
			serving = append(serving, i)
		}
	}
	return serving
}

// Authenticate returns the organisation that owns the token with that SHA-256
// sum in hexadecimal.
func (t *Text) Authenticate(tokenHash string) (*Organisation, bool) {
	return find(t.organisations, t.tokens, tokenHash)
}

// AuthenticateToken returns the organisation that owns a bearer token.
func (t *Text) AuthenticateToken(token string) (*Organisation, bool) {
	sum := sha256.Sum256([]byte(token))
	return t.Authenticate(hex.EncodeToString(sum[:]))
}

// Allows reports whether organisation o may call the service.
func (o *Organisation) Allows(service string) bool {
	if len(o.Services) == 0 {
		return true
	}
	for _, name := range o.Services {
		if name == service {
			return true
		}
	}
	return false
}

func find[T any](list []T, index map[string]int, name string) (*T, bool) {
	i, ok := index[name]
	if !ok {
		return nil, false
	}
	return &list[i], true
}
