package engine

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// eventStream is the media type of a streamed answer.
const eventStream = "text/event-stream"

// Attempt is one attempt of a request at one backend server.
type Attempt struct {
	Request *request.Request
	Backend *services.Backend
	Service *services.Service
	// Transcript holds what the engine has produced so far; it grows with the
	// answer.
	Transcript *Transcript
	// NewConnection requests a new connection.
	NewConnection bool
	// Accept adds a chunk to the transcript and reports whether the stream may
	// continue; a chunk that is not accepted is discarded. Accept must not be
	// nil for an engine's answer.
	Accept func(chunk []byte) bool
}

// Run sends the attempt and passes the answer's events, except Finished, to
// sink. It returns nil if the answer is complete.
func (c *Client) Run(ctx context.Context, a Attempt, sink request.Sink) *result.Error {
	call := Call{
		Method: a.Request.Method(), URL: "http://" + a.Backend.Address + a.Request.Path(),
		ContentType: a.Request.ContentType(), Body: a.Request.Body(),
		FirstByteTimeout: a.Service.FirstByteTimeout(), ProgressTimeout: a.Service.ProgressTimeout(), NewConnection: a.NewConnection,
	}
	if !a.Request.Engine() {
		return c.Do(ctx, call, func(head ResponseHead, body io.Reader) error { return copyPlain(a, head, body, sink) })
	}
	body, failure := streamBody(a.Request, a.Transcript)
	if failure != nil {
		return failure
	}
	call.Body, call.PrefixKey = body, prefixKey(a.Request.Prefix())
	return c.Do(ctx, call, func(head ResponseHead, body io.Reader) error { return copyEngineStream(a, head, body, sink) })
}

// copyPlain passes a plain service's answer to sink as it arrives.
func copyPlain(a Attempt, head ResponseHead, body io.Reader, sink request.Sink) error {
	event := request.Event{Kind: request.Started, Status: head.Status, ContentType: head.ContentType, Backend: a.Backend.Name}
	if err := sink(event); err != nil {
		return err
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			chunk := request.Event{Kind: request.Data, Data: append([]byte(nil), buffer[:n]...)}
			if sinkErr := sink(chunk); sinkErr != nil {
				return sinkErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyEngineStream passes an engine's chunks to sink as they arrive.
func copyEngineStream(a Attempt, head ResponseHead, body io.Reader, sink request.Sink) error {
	if head.Status != http.StatusOK || !strings.HasPrefix(head.ContentType, eventStream) {
		return errorFromResponse(head, body)
	}
	_, resumed := a.Transcript.Text()
	limitReached := a.Transcript.LimitReached(a.Request.Body())
	if err := sink(request.Event{Kind: request.Started, Status: head.Status, ContentType: head.ContentType, Backend: a.Backend.Name}); err != nil {
		return err
	}
	return readEvents(body, func(data []byte) error {
		if failure := errorInStream(data); failure != nil {
			return failure
		}
		if limitReached {
			data = clearText(data)
		}
		if !a.Accept(data) {
			return result.New(result.Cancelled, "cancelled for an online request").WithRan(result.RanYes)
		}
		return sink(request.Event{Kind: request.Data, Data: correctUsage(data, resumed, limitReached)})
	})
}

// errorInStream returns an error if an event of an engine's stream is no chunk of
// the answer but an error of the engine, or no JSON object.
func errorInStream(data []byte) *result.Error {
	chunk := gjson.ParseBytes(data)
	if !gjson.ValidBytes(data) || !chunk.IsObject() {
		return result.New(result.BackendFailed, "engine sent an event that is no JSON object").WithRan(result.RanYes)
	}
	if e := chunk.Get("error"); e.Exists() && e.Type != gjson.Null {
		return result.New(result.BackendFailed, "engine sent an error in its stream: %.200s", e.Raw).WithRan(result.RanYes)
	}
	return nil
}

// errorFromResponse converts an engine's error answer to a result error. Status
// 429 and 5xx can be retried on another server; any other 4xx is a refusal of
// the request itself.
func errorFromResponse(head ResponseHead, body io.Reader) *result.Error {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	message := strings.TrimSpace(string(text))
	switch {
	case head.Status == http.StatusTooManyRequests || head.Status == http.StatusServiceUnavailable:
		return result.New(result.NoBackend, "engine refused: %s", message).WithRan(result.RanMaybe)
	case head.Status >= 400 && head.Status < 500:
		return result.New(result.BackendRefused, "status %d: %s", head.Status, message).WithRan(result.RanYes)
	}
	return result.New(result.BackendFailed, "status %d: %s", head.Status, message).WithRan(result.RanMaybe)
}
