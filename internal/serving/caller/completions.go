package caller

import (
	"context"
	"errors"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// completions answers chat and text completions, whole or streamed.
func (f *Front) completions(ctx context.Context, c *call) *result.Error {
	body, failure := c.readBody(defaultBodyBytes)
	if failure != nil {
		return failure
	}
	service, failure := ServiceOf(c.text, string(c.http.Path()), body)
	if failure != nil {
		return failure
	}
	if len(body) > service.MaxBodyKB<<10 {
		return result.New(result.BodyTooLarge, "body is over the %d KiB of service %s", service.MaxBodyKB, service.Name)
	}
	if failure := c.allow(service); failure != nil {
		return failure
	}
	key, failure := c.key()
	if failure != nil {
		return failure
	}
	deadline, failure := c.deadline(service)
	if failure != nil {
		return failure
	}
	if service.Durable && key == "" {
		key = c.id
	}
	leave, failure := f.enter(c, service)
	if failure != nil {
		return failure
	}
	defer leave()
	o := EngineOptions(service, string(c.http.Path()), body)
	o.ID, o.Organisation, o.Key, o.Deadline = c.id, c.organisation.Name, key, deadline
	o.Stream = gjson.GetBytes(body, "stream").Bool()
	r := request.New(o)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if key != "" {
		return f.answerRecorded(ctx, c, service, r)
	}
	if o.Stream {
		return f.stream(ctx, c, r)
	}
	w, failure := runWhole(ctx, f.p.Runner, r)
	if failure != nil {
		return overdue(ctx, failure)
	}
	c.http.Data(w.status, w.contentType, w.body)
	return nil
}

// overdue names the deadline as the cause of a cancel that it brought about.
func overdue(ctx context.Context, failure *result.Error) *result.Error {
	if failure.Code() == result.Cancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlinePassed, "no answer before the deadline").WithRan(failure.Ran())
	}
	return failure
}

// ServiceOf resolves the service of an OpenAI-style body.
func ServiceOf(text *services.Text, path string, body []byte) (*services.Service, *result.Error) {
	if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return nil, result.New(result.MalformedJSON, "body is not a JSON object")
	}
	model := gjson.GetBytes(body, "model")
	if model.Type != gjson.String {
		return nil, result.New(result.InvalidField, "model must be a string")
	}
	service, ok := text.ServiceForModel(model.String())
	if !ok {
		return nil, result.New(result.UnknownModel, "no model or service %q", model.String())
	}
	if failure := checkPrompt(path, body); failure != nil {
		return nil, failure
	}
	return service, nil
}

// checkPrompt checks the field that holds what the model shall answer.
func checkPrompt(path string, body []byte) *result.Error {
	if path == "/v1/completions" {
		if prompt := gjson.GetBytes(body, "prompt"); prompt.Type != gjson.String && !prompt.IsArray() {
			return result.New(result.InvalidField, "prompt must be a string or an array")
		}
		return nil
	}
	if !gjson.GetBytes(body, "messages").IsArray() {
		return result.New(result.InvalidField, "messages must be an array")
	}
	return nil
}

// EngineOptions returns the fields of a request for an engine service.
func EngineOptions(s *services.Service, path string, body []byte) request.Options {
	urgency := request.Online
	if s.Urgency == "batch" {
		urgency = request.Batch
	}
	return request.Options{
		Service: s.Name, Model: s.Model, Method: http.MethodPost, Path: path, ContentType: jsonType, Body: body,
		Urgency: urgency, Weight: s.Weight, Idempotent: true, Engine: true,
	}
}

// answerRecorded answers a recorded request whole; a caller that asked for a
// stream gets the whole answer as one.
func (f *Front) answerRecorded(ctx context.Context, c *call, s *services.Service, r *request.Request) *result.Error {
	w, failure := f.recorded(ctx, c, s, r)
	if failure != nil {
		return overdue(ctx, failure)
	}
	if !r.Stream() {
		c.http.Data(w.status, w.contentType, w.body)
		return nil
	}
	out := f.openStream(c)
	if err := out.send(chunkOf(w.body)); err != nil {
		return nil
	}
	out.end()
	return nil
}

// stream passes the engine's chunks on as they come.
func (f *Front) stream(ctx context.Context, c *call, r *request.Request) *result.Error {
	wantsUsage := gjson.GetBytes(r.Body(), "stream_options.include_usage").Bool()
	var out *eventStream
	failure := f.p.Runner.Run(ctx, r, func(e request.Event) error {
		if e.Kind != request.Data || (!wantsUsage && isUsage(e.Data)) {
			return nil
		}
		if out == nil {
			out = f.openStream(c)
		}
		return out.send(e.Data)
	})
	switch {
	case failure == nil && out != nil:
		out.end()
	case failure == nil:
		return result.New(result.BackendFailed, "engine sent no answer").WithRan(result.RanYes)
	case out == nil:
		return overdue(ctx, failure)
	default:
		out.fail(c.errorJSON(overdue(ctx, failure)))
	}
	return nil
}

// isUsage reports whether a chunk carries nothing but the usage.
func isUsage(chunk []byte) bool {
	return gjson.GetBytes(chunk, "usage").IsObject() && gjson.GetBytes(chunk, "choices.#").Int() == 0
}

// eventStream writes server-sent events.
type eventStream struct {
	call *call
}

// openStream sends the head of a streamed answer.
func (f *Front) openStream(c *call) *eventStream {
	c.http.SetStatusCode(http.StatusOK)
	c.http.Response.Header.SetContentType("text/event-stream")
	c.http.Response.Header.Set("Cache-Control", "no-cache")
	c.http.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.http.Response, c.http.GetWriter()))
	return &eventStream{call: c}
}

func (s *eventStream) send(data []byte) error {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.call.http.Write(event); err != nil {
		return err
	}
	return s.call.http.Flush()
}

func (s *eventStream) end() { _ = s.send([]byte("[DONE]")) }

// fail ends a stream that is not whole; without [DONE], so that no reader
// takes it for whole.
func (s *eventStream) fail(body []byte) { _ = s.send(body) }

// models lists the services and models that the caller may use.
func (f *Front) models(_ context.Context, c *call) *result.Error {
	list := []modelBody{}
	for i := range c.text.Services() {
		s := &c.text.Services()[i]
		if s.Kind == services.EngineKind && c.organisation.Allows(s.Name) {
			list = append(list, modelBody{ID: s.Name, Object: "model", OwnedBy: s.Model})
		}
	}
	return c.json(listBody[modelBody]{Object: "list", Data: list})
}

func (f *Front) model(_ context.Context, c *call) *result.Error {
	s, ok := c.text.ServiceForModel(c.http.Param("id"))
	if !ok {
		return result.New(result.UnknownModel, "no model or service %q", c.http.Param("id"))
	}
	return c.json(modelBody{ID: s.Name, Object: "model", OwnedBy: s.Model})
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listBody is the shape of every list.
type listBody[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}
