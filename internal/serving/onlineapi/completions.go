package onlineapi

import (
	"context"
	"errors"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/answer"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
	"github.com/kingcupquay/kingcupquay/internal/serving/endpoint"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// maxBodyBytes bounds a body whose service, and so its own limit, is not known
// yet.
const maxBodyBytes = 8 << 20

// completions answers chat and text completions, streamed or not.
func (f *API) completions(ctx context.Context, c *call.Call) *result.Error {
	body, failure := c.ReadBody(maxBodyBytes)
	if failure != nil {
		return failure
	}
	service, failure := endpoint.ResolveEngine(c.Text(), string(c.HTTP().Path()), body)
	if failure != nil {
		return failure
	}
	if len(body) > service.MaxBodyKB<<10 {
		return result.New(result.BodyTooLarge, "body is over the %d KiB of service %s", service.MaxBodyKB, service.Name)
	}
	admitted, failure := f.admit(c, service)
	if failure != nil {
		return failure
	}
	defer admitted.release()
	o := endpoint.EngineOptions(service, string(c.HTTP().Path()), body)
	o.ID, o.Organisation, o.Key, o.Deadline = c.ID(), c.Organisation().Name, admitted.key, admitted.deadline
	o.Stream = gjson.GetBytes(body, "stream").Bool()
	r := request.New(o)
	ctx, cancel := context.WithDeadline(ctx, admitted.deadline)
	defer cancel()
	if admitted.key != "" {
		return f.answerRecorded(ctx, c, service, r)
	}
	if o.Stream {
		return f.stream(ctx, c, r)
	}
	w, failure := answer.Collect(ctx, f.parts.Runner, r)
	if failure != nil {
		return asDeadlineError(ctx, failure)
	}
	c.HTTP().Data(w.Status, w.ContentType, w.Body)
	return nil
}

// asDeadlineError replaces a Cancelled error by DeadlinePassed if the deadline
// of ctx was the cause.
func asDeadlineError(ctx context.Context, failure *result.Error) *result.Error {
	if failure.Code() == result.Cancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlinePassed, "no answer before the deadline").WithRan(failure.Ran())
	}
	return failure
}

// answerRecorded answers a recorded request. A caller that asked for a stream
// gets the complete answer as one chunk.
func (f *API) answerRecorded(ctx context.Context, c *call.Call, s *services.Service, r *request.Request) *result.Error {
	w, failure := f.runRecorded(ctx, c, s, r)
	if failure != nil {
		return asDeadlineError(ctx, failure)
	}
	if !r.Stream() {
		c.HTTP().Data(w.Status, w.ContentType, w.Body)
		return nil
	}
	out := f.openStream(c)
	if err := out.send(answer.Chunk(w.Body)); err != nil {
		return nil
	}
	out.end()
	return nil
}

// stream sends the engine's chunks to the caller as they arrive.
func (f *API) stream(ctx context.Context, c *call.Call, r *request.Request) *result.Error {
	wantsUsage := gjson.GetBytes(r.Body(), "stream_options.include_usage").Bool()
	var out *eventStream
	failure := f.parts.Runner.Run(ctx, r, func(e request.Event) error {
		if e.Kind != request.Data || (!wantsUsage && answer.IsUsage(e.Data)) {
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
		return asDeadlineError(ctx, failure)
	default:
		out.fail(c.ErrorJSON(asDeadlineError(ctx, failure)))
	}
	return nil
}

// eventStream writes server-sent events.
type eventStream struct {
	call *call.Call
}

// openStream prepares c's response for a streamed answer.
func (f *API) openStream(c *call.Call) *eventStream {
	c.HTTP().SetStatusCode(http.StatusOK)
	c.HTTP().Response.Header.SetContentType("text/event-stream")
	c.HTTP().Response.Header.Set("Cache-Control", "no-cache")
	c.HTTP().Response.HijackWriter(resp.NewChunkedBodyWriter(&c.HTTP().Response, c.HTTP().GetWriter()))
	return &eventStream{call: c}
}

func (s *eventStream) send(data []byte) error {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.call.HTTP().Write(event); err != nil {
		return err
	}
	return s.call.HTTP().Flush()
}

// end marks the stream as complete.
func (s *eventStream) end() { _ = s.send([]byte("[DONE]")) }

// fail ends an incomplete stream with an error event. It sends no [DONE], so
// that no client takes the answer for complete.
func (s *eventStream) fail(body []byte) { _ = s.send(body) }

// models lists the services and models that the caller may use.
func (f *API) models(_ context.Context, c *call.Call) *result.Error {
	list := []modelBody{}
	for i := range c.Text().Services() {
		s := &c.Text().Services()[i]
		if s.Kind == services.EngineKind && c.Organisation().Allows(s.Name) {
			list = append(list, modelBody{ID: s.Name, Object: "model", OwnedBy: s.Model})
		}
	}
	return c.WriteJSON(call.List[modelBody]{Object: "list", Data: list})
}

// model returns the service that a model or service name addresses.
func (f *API) model(_ context.Context, c *call.Call) *result.Error {
	s, ok := c.Text().ServiceForModel(c.HTTP().Param("id"))
	if !ok {
		return result.New(result.UnknownModel, "no model or service %q", c.HTTP().Param("id"))
	}
	return c.WriteJSON(modelBody{ID: s.Name, Object: "model", OwnedBy: s.Model})
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
