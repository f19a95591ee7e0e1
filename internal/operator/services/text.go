// Package services parses and validates the services text, the single JSON
// document with which operators configure the deployment. It lists the
// organisations with the hashes of their tokens, the services with their
// settings and limits, and the backend servers.
//
// A Text returned by Parse, ParseStrict or ParseIncremental is complete and
// consistent: defaults are filled in, every name resolves and every limit is
// within its bounds, so callers need not validate it again. A Text is immutable.
package services

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Text is one validated revision of the services text.
type Text struct {
	// revision increases with each accepted change; 0 before the first.
	revision      int64
	source        []byte
	organisations []Organisation
	services      []Service
	backends      []Backend
	// spans holds the byte ranges of the organisations in source. It is set
	// only on a text that ParseIncremental derived from another one.
	spans []span
	// warnings holds settings that are valid but rarely intended.
	warnings Problems

	// organisationByToken is keyed by the SHA-256 of a token in hexadecimal, the
	// other maps by name. All values are indices in the lists above.
	organisationByToken map[string]int
	serviceByName       map[string]int
	serviceByModel      map[string]int
	backendByName       map[string]int
	organisationByName  map[string]int
	enginesByModel      map[string][]int
	serversByService    map[string][]int
}

// Organisation is one customer of the deployment.
type Organisation struct {
	Name string `json:"name"`
	// TokenHashes are SHA-256 sums of bearer tokens in hexadecimal.
	TokenHashes []string `json:"token_sha256"`
	// Share is the organisation's weight in fair queueing.
	Share int `json:"share,omitempty"`
	// RequestsPerSecond and Concurrency limit the accepted requests; 0 means
	// unlimited.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
	// Services lists the services that the organisation may call; empty means all.
	Services []string `json:"services,omitempty"`
	// Operator permits the organisation's tokens to use the operator API.
	Operator bool `json:"operator,omitempty"`
}

// Kind is the kind of a service and of the backend servers that serve it.
type Kind string

// The kinds of services and backend servers.
const (
	EngineKind Kind = "engine"
	PlainKind  Kind = "plain"
)

// Service holds the settings of one service that callers send requests to.
type Service struct {
	Name    string `json:"name"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Urgency is "online" or "batch".
	Urgency string `json:"urgency"`
	// Weight is the priority of the service, 1 to 1000. Under overload, requests
	// of the lowest weight are refused first.
	Weight int `json:"weight"`
	// Idempotent reports whether a call may be executed more than once.
	Idempotent bool `json:"idempotent"`
	// Durable reports whether every accepted call is recorded before it runs.
	Durable bool `json:"durable"`
	// Retries limits how often an idempotent call is retried.
	Retries int `json:"retries,omitempty"`
	// DeadlineMS is the deadline of a call that does not set one.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// FirstByteMS and ProgressMS are the timeouts for the first byte of a
	// response and between two parts of it.
	FirstByteMS int `json:"first_byte_ms,omitempty"`
	ProgressMS  int `json:"progress_ms,omitempty"`
	// KeepHours is the retention period of a recorded response.
	KeepHours int `json:"keep_hours,omitempty"`
	// DueHours is the completion window of a batch job that does not set one.
	DueHours int `json:"due_hours,omitempty"`
	// QueueLimit limits the requests queued for one engine.
	QueueLimit int `json:"queue_limit,omitempty"`
	// RequestsPerSecond and Concurrency limit the requests to the service; 0
	// means unlimited.
	RequestsPerSecond float64  `json:"requests_per_second,omitempty"`
	Concurrency       int      `json:"concurrency,omitempty"`
	MaxBodyKB         int      `json:"max_body_kb,omitempty"`
	DependsOn         []string `json:"depends_on,omitempty"`
}

// Deadline returns the default deadline of a call.
func (s *Service) Deadline() time.Duration { return time.Duration(s.DeadlineMS) * time.Millisecond }

// FirstByteTimeout returns the timeout for the first byte of a response.
func (s *Service) FirstByteTimeout() time.Duration {
	return time.Duration(s.FirstByteMS) * time.Millisecond
}

// ProgressTimeout returns the timeout between two parts of a response.
func (s *Service) ProgressTimeout() time.Duration {
	return time.Duration(s.ProgressMS) * time.Millisecond
}

// Retention returns the retention period of a recorded response.
func (s *Service) Retention() time.Duration { return time.Duration(s.KeepHours) * time.Hour }

// CompletionWindow returns the default completion window of a batch job.
func (s *Service) CompletionWindow() time.Duration { return time.Duration(s.DueHours) * time.Hour }

// Backend is one backend server: a model engine or a server of plain services.
type Backend struct {
	Name    string `json:"name"`
	Kind    Kind   `json:"kind"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Models lists the models that an engine has loaded or may load.
	Models []string `json:"models,omitempty"`
	// Services lists the plain services that a server provides.
	Services []string `json:"services,omitempty"`
	// Slots is the number of requests that the server can run concurrently.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing reports whether an engine rejects orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving drains the server: it gets no new requests and finishes those that
	// run.
	Leaving bool `json:"leaving,omitempty"`
}

// Revision returns the revision number of the text.
func (t *Text) Revision() int64 { return t.revision }

// Source returns the JSON document as the operator submitted it.
func (t *Text) Source() []byte { return t.source }

// Warnings returns settings that are valid but rarely intended, such as a
// service without a backend server.
func (t *Text) Warnings() Problems { return t.warnings }

// Organisations returns all organisations; the slice must not be modified.
func (t *Text) Organisations() []Organisation { return t.organisations }

// Services returns all services; the slice must not be modified.
func (t *Text) Services() []Service { return t.services }

// Backends returns all backend servers; the slice must not be modified.
func (t *Text) Backends() []Backend { return t.backends }

// Organisation returns the organisation with that name.
func (t *Text) Organisation(name string) (*Organisation, bool) {
	return lookup(t.organisations, t.organisationByName, name)
}

// Service returns the service with that name.
func (t *Text) Service(name string) (*Service, bool) {
	return lookup(t.services, t.serviceByName, name)
}

// ServiceForModel resolves the model field of a caller's request. It is the
// name of an engine service or of a model; a model resolves to the first service
// that uses it.
func (t *Text) ServiceForModel(name string) (*Service, bool) {
	if s, ok := t.Service(name); ok && s.Kind == EngineKind {
		return s, true
	}
	return lookup(t.services, t.serviceByModel, name)
}

// Backend returns the backend server with that name.
func (t *Text) Backend(name string) (*Backend, bool) {
	return lookup(t.backends, t.backendByName, name)
}

// EnginesFor returns the indices in Backends of the engines that list a model.
func (t *Text) EnginesFor(model string) []int { return t.enginesByModel[model] }

// ServersFor returns the indices in Backends of the servers of a plain service.
func (t *Text) ServersFor(service string) []int { return t.serversByService[service] }

// ServingBackends returns the indices in Backends of the backend servers that
// accept new requests to the service.
func (t *Text) ServingBackends(s *Service) []int {
	candidates := t.serversByService[s.Name]
	if s.Kind == EngineKind {
		candidates = t.enginesByModel[s.Model]
	}
	var serving []int
	for _, i := range candidates {
		if b := &t.backends[i]; b.Kind == s.Kind && !b.Leaving {
			serving = append(serving, i)
		}
	}
	return serving
}

// Authenticate returns the organisation that owns the token with the given
// SHA-256 sum in hexadecimal.
func (t *Text) Authenticate(tokenHash string) (*Organisation, bool) {
	return lookup(t.organisations, t.organisationByToken, tokenHash)
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

func lookup[T any](list []T, index map[string]int, name string) (*T, bool) {
	i, ok := index[name]
	if !ok {
		return nil, false
	}
	return &list[i], true
}
