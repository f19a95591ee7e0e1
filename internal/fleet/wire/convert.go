// Package wire defines the messages and the gRPC service of the protocol between
// entry hosts, and converts them to and from the types of the packages that
// handle requests. The protocol carries deadlines as remaining milliseconds,
// since the clocks of hosts differ.
package wire

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// NewFailure returns the message for e, or nil if e is nil.
func NewFailure(e *result.Error) *Failure {
	if e == nil {
		return nil
	}
	return &Failure{
		Code:         int32(e.Code()),
		Message:      e.Message(),
		Ran:          string(e.Ran()),
		RetryAfterMs: e.RetryAfter().Milliseconds(),
		FirstSilence: e.FirstSilence(),
	}
}

// Err returns the result error in f, or nil if f is nil.
func (f *Failure) Err() *result.Error {
	if f == nil {
		return nil
	}
	e := result.New(result.Code(f.GetCode()), "%s", f.GetMessage())
	if f.GetFirstSilence() {
		e = e.WithFirstSilence()
	}
	return e.WithRan(result.Ran(f.GetRan())).WithRetry(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
}

// NewRunRequest returns the message that runs r at the host that manages backend.
func NewRunRequest(r *request.Request, backend string, now time.Time) *RunRequest {
	o := r.Options()
	return &RunRequest{
		Backend: backend, Id: o.ID, Organisation: o.Organisation, Service: o.Service, Model: o.Model,
		Method: o.Method, Path: o.Path, ContentType: o.ContentType, Body: o.Body,
		Batch: o.Urgency == request.Batch, Weight: int32(o.Weight), Idempotent: o.Idempotent,
		Engine: o.Engine, Stream: o.Stream, Key: o.Key, Resume: o.Resume, ResumeTokens: int32(o.ResumeTokens),
		DeadlineInMs: millisUntil(o.Deadline, now), DueInMs: millisUntil(o.Due, now),
	}
}

// millisUntil returns the milliseconds from now to t, at least 1, or 0 if t is
// zero.
func millisUntil(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(1, t.Sub(now).Milliseconds())
}

// Request returns the request in m; its deadlines are relative to now.
func (m *RunRequest) Request(now time.Time) *request.Request {
	urgency := request.Online
	if m.GetBatch() {
		urgency = request.Batch
	}
	return request.New(request.Options{
		ID: m.GetId(), Organisation: m.GetOrganisation(), Service: m.GetService(), Model: m.GetModel(),
		Method: m.GetMethod(), Path: m.GetPath(), ContentType: m.GetContentType(), Body: m.GetBody(),
		Urgency: urgency, Weight: int(m.GetWeight()), Idempotent: m.GetIdempotent(), Engine: m.GetEngine(),
		Stream: m.GetStream(), Key: m.GetKey(), Resume: m.GetResume(), ResumeTokens: int(m.GetResumeTokens()),
		Deadline: timeAfterMillis(m.GetDeadlineInMs(), now), Due: timeAfterMillis(m.GetDueInMs(), now),
	})
}

func timeAfterMillis(ms int64, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// NewRunEvent returns the message for one event of a response.
func NewRunEvent(e request.Event) *RunEvent {
	return &RunEvent{
		Kind: int32(e.Kind), Status: int32(e.Status), ContentType: e.ContentType,
		Backend: e.Backend, Data: e.Data, Failure: NewFailure(e.Err),
	}
}

// Event returns the event in m.
func (m *RunEvent) Event() request.Event {
	return request.Event{
		Kind: request.EventKind(m.GetKind()), Status: int(m.GetStatus()), ContentType: m.GetContentType(),
		Backend: m.GetBackend(), Data: m.GetData(), Err: m.GetFailure().Err(),
	}
}
