// Package request defines a call on its way from a caller to a backend server
// and back: the request, the events of its answer and the properties (urgency,
// weight, deadline) that scheduling and admission use.
//
// A Request is immutable. A variant, such as a resumed batch item or a hedge on
// another server, is a new Request.
package request

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Urgency is the priority class of a request: online requests go before batch
// items.
type Urgency uint8

// The two urgencies.
const (
	Online Urgency = iota
	Batch
)

// String returns "online" or "batch".
func (u Urgency) String() string {
	if u == Batch {
		return "batch"
	}
	return "online"
}

// Options are the fields of a new request.
type Options struct {
	ID           string
	Organisation string
	Service      string
	Model        string
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	Urgency      Urgency
	Weight       int
	Idempotent   bool
	Engine       bool
	Stream       bool
	Deadline     time.Time
	Due          time.Time
	Key          string
	Resume       string
	ResumeTokens int
}

// Request is one call to a model engine or a plain service.
type Request struct {
	// options.ID is never empty and is unique across the deployment.
	options Options
	// fingerprint is a hash of service, model, method, path and body.
	fingerprint [16]byte
	prefix      uint64
}

// maxPrefixBytes is the length of the part of a body that is hashed as its
// prompt prefix.
const maxPrefixBytes = 1024

// New returns a request with the options o. o.Body is retained, not copied.
func New(o Options) *Request {
	r := &Request{options: o}
	sum := sha256.New()
	for _, part := range []string{o.Service, o.Model, o.Method, o.Path} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(o.Body)
	copy(r.fingerprint[:], sum.Sum(nil))
	head := o.Body
	if len(head) > maxPrefixBytes {
		head = head[:maxPrefixBytes]
	}
	r.prefix = xxhash.Sum64(head)
	return r
}

// ID returns the request id returned in every answer.
func (r *Request) ID() string { return r.options.ID }

// Organisation returns the caller's organisation.
func (r *Request) Organisation() string { return r.options.Organisation }

// Service returns the name of the service in the services text.
func (r *Request) Service() string { return r.options.Service }

// Model returns the engine's model, empty for a plain service.
func (r *Request) Model() string { return r.options.Model }

// Method returns the HTTP method of the call to the backend server.
func (r *Request) Method() string { return r.options.Method }

// Path returns the path and query of the call to the backend server.
func (r *Request) Path() string { return r.options.Path }

// ContentType returns the media type of the body.
func (r *Request) ContentType() string { return r.options.ContentType }

// Body returns the body; it must not be changed.
func (r *Request) Body() []byte { return r.options.Body }

// Urgency returns online or batch.
func (r *Request) Urgency() Urgency { return r.options.Urgency }

// Weight returns the service's weight. Under overload, requests with lower
// weight are refused first.
func (r *Request) Weight() int { return r.options.Weight }

// Idempotent reports whether the call may be sent more than once.
func (r *Request) Idempotent() bool { return r.options.Idempotent }

// Engine reports whether a model engine, not a plain service, answers.
func (r *Request) Engine() bool { return r.options.Engine }

// Stream reports whether the caller reads the answer as it is produced.
func (r *Request) Stream() bool { return r.options.Stream }

// Deadline returns when the caller stops waiting; zero for batch items.
func (r *Request) Deadline() time.Time { return r.options.Deadline }

// Due returns when the batch job must be finished; zero for online requests.
func (r *Request) Due() time.Time { return r.options.Due }

// Key returns the caller's idempotency key, empty if none.
func (r *Request) Key() string { return r.options.Key }

// Resume returns the text already produced for this request.
func (r *Request) Resume() (text string, tokens int) { return r.options.Resume, r.options.ResumeTokens }

// Options returns a copy of the options r was created with.
func (r *Request) Options() Options { return r.options }

// Fingerprint returns a hash of the call's content, independent of the caller.
func (r *Request) Fingerprint() [16]byte { return r.fingerprint }

// FingerprintHex returns the fingerprint as 32 hexadecimal digits.
func (r *Request) FingerprintHex() string { return hex.EncodeToString(r.fingerprint[:]) }

// Prefix returns the hash of the start of the body, by which requests are routed
// for cache affinity.
func (r *Request) Prefix() uint64 { return r.prefix }
