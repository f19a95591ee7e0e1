package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
	standin "github.com/kingcupquay/kingcupquay/internal/standin/engine"
)

var _ = Describe("Client", func() {
	const prompt, limit = "which wheel fits", 8
	var e *standin.Engine
	var backend services.Backend

	BeforeEach(func() {
		var err error
		e, err = standin.Start("127.0.0.1:0", standin.Options{Name: "engine-1", Models: []string{"m"}, Slots: 2, Step: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		backend = services.Backend{Name: "engine-1", Address: e.Address()}
	})

	// resume requests an answer whose first tokens were already produced, and
	// returns the remaining text and the usage.
	resume := func(field string, tokens int) (string, gjson.Result) {
		r := request.New(request.Options{
			ID: "r", Model: "m", Method: "POST", Path: "/v1/chat/completions", ContentType: "application/json", Engine: true,
			Body:   fmt.Appendf(nil, `{"model":"m","%s":%d,"messages":[{"role":"user","content":%q}]}`, field, limit, prompt),
			Resume: standin.Answer(prompt, tokens), ResumeTokens: tokens,
		})
		transcript := engine.NewTranscript(r)
		text, usage := "", gjson.Result{}
		failure := engine.NewClient(timer.Real{}).Run(context.Background(), engine.Attempt{
			Request: r, Backend: &backend, Service: new(services.Service), Transcript: transcript,
			Accept: func(chunk []byte) bool {
				transcript.Add(chunk)
				return true
			},
		}, func(event request.Event) error {
			text += gjson.GetBytes(event.Data, "choices.0.delta.content").String()
			if reported := gjson.GetBytes(event.Data, "usage"); reported.Exists() {
				usage = reported
			}
			return nil
		})
		Expect(failure).To(BeNil())
		Expect(transcript.Finished()).To(BeTrue())
		return text, usage
	}

	DescribeTable("reports the usage of a resumed answer as if it had not been interrupted", func(tokens int) {
		text, usage := resume("max_tokens", tokens)
		Expect(standin.Answer(prompt, max(1, tokens)) + text).To(Equal(standin.Answer(prompt, limit)))
		Expect(usage.Get("completion_tokens").Int()).To(Equal(int64(limit)))
		Expect(usage.Get("prompt_tokens").Int()).To(Equal(int64(3)))
		Expect(usage.Get("total_tokens").Int()).To(Equal(int64(3 + limit)))
	},
		Entry("after the first token", 1), Entry("in the middle", 5), Entry("before the last token", limit-1),
		Entry("after the last token", limit))

	DescribeTable("never passes a byte of an error, or an end that only looks complete, into a stream that has begun",
		func(status int, contentType, body, passed string) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentType)
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			}))
			DeferCleanup(server.Close)
			backend.Address = server.Listener.Addr().String()
			r := request.New(request.Options{
				ID: "r", Model: "m", Method: "POST", Path: "/v1/completions", Engine: true, Body: []byte(`{"prompt":"a"}`), Resume: "half", ResumeTokens: 1,
			})
			transcript, text := engine.NewTranscript(r), ""
			failure := engine.NewClient(timer.Real{}).Run(context.Background(), engine.Attempt{
				Request: r, Backend: &backend, Service: new(services.Service), Transcript: transcript,
				Accept: func(chunk []byte) bool { transcript.Add(chunk); return true },
			}, func(event request.Event) error {
				text += string(event.Data)
				return nil
			})
			Expect(failure).NotTo(BeNil())
			Expect(text).To(Equal(passed))
		},
		Entry("a 404", 404, "application/json", `{"error":"no"}`, ""),
		Entry("a 500", 500, "text/event-stream", "data: {\"error\":\"no\"}\n\ndata: [DONE]\n\n", ""),
		Entry("a 200 of another type", 200, "application/json", "data: {}\n\ndata: [DONE]\n\n", ""),
		Entry("a 200 without events", 200, "text/event-stream", "", ""),
		Entry("an end before the last event", 200, "text/event-stream", "data: {\"a\":1}\n\n", `{"a":1}`),
		Entry("an error event, then the end", 200, "text/event-stream", "data: {\"error\":{\"message\":\"no\"}}\n\ndata: [DONE]\n\n", ""),
		Entry("a second head", 200, "text/event-stream", "data: {\"a\":1}\n\nHTTP/1.1 500 No\r\n\r\nno", `{"a":1}`),
		Entry("text that is no event", 200, "text/event-stream", "data: out of memory\n\ndata: [DONE]\n\n", ""),
	)

	It("ends the stream at the first chunk that is not accepted", func() {
		r := request.New(request.Options{ID: "r", Model: "m", Method: "POST", Path: "/v1/completions", Engine: true, Body: []byte(`{"prompt":"a"}`)})
		seen := 0
		failure := engine.NewClient(timer.Real{}).Run(context.Background(), engine.Attempt{
			Request: r, Backend: &backend, Service: new(services.Service), Transcript: engine.NewTranscript(r),
			Accept: func([]byte) bool { return false },
		}, func(event request.Event) error {
			seen += len(event.Data)
			return nil
		})
		Expect(failure.Code()).To(Equal(result.Cancelled))
		Expect(seen).To(BeZero())
	})

	It("reads the engine's load", func() {
		load, err := engine.NewClient(timer.Real{}).Load(context.Background(), e.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Slots).To(Equal(2))
	})
})
