package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
)

// post sends a request with the example caller's token and returns the status
// and body, or 0 and the error text.
func post(ctx context.Context, url, key, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+examples.AgencyCallerToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(answer)
}

func runningRequests(d *deployment.Deployment) int {
	sum := 0
	for _, e := range d.Engines() {
		sum += e.Load().Running
	}
	return sum
}

// getRecordJSON returns the first host's record of an idempotency key as JSON.
func getRecordJSON(ctx context.Context, d *deployment.Deployment, key string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.URL(0)+"/v1/requests/"+key, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+examples.AgencyCallerToken)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("a caller", func() {
	It("that disconnects frees its slot", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step = 50 * time.Millisecond
		d := start(o)
		client := clientOf(d, 1)
		params := chat("a story nobody reads")
		params.MaxTokens = openai.Int(10_000)
		callCtx, cancel := context.WithCancel(ctx)
		stream := client.Chat.Completions.NewStreaming(callCtx, params)
		Expect(stream.Next()).To(BeTrue())
		Expect(runningRequests(d)).To(Equal(1))
		cancel()
		Eventually(func() int { return runningRequests(d) }, waitTimeout).Should(BeZero())
	})

	It("that disconnects while queued on another host is recorded as not run", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Engines, o.Slots, o.Step = 1, 1, 20*time.Millisecond
		d := start(o)
		params := chat("a story that holds the slot")
		params.MaxTokens = openai.Int(10_000)
		streamCtx, cancelStream := context.WithCancel(ctx)
		client := clientOf(d, 0)
		stream := client.Chat.Completions.NewStreaming(streamCtx, params)
		Expect(stream.Next()).To(BeTrue())
		for host := range 3 {
			key := fmt.Sprintf("left-%d", host)
			callCtx, cancel := context.WithCancel(ctx)
			callDone := make(chan struct{})
			go func() {
				defer close(callDone)
				post(callCtx, d.URL(host)+"/v1/chat/completions", key, `{"model":"village-requests-chat","messages":[{"role":"user","content":"waits"}]}`)
			}()
			Eventually(func() string { return getRecordJSON(ctx, d, key) }, waitTimeout).Should(ContainSubstring("claimed"))
			cancel()
			Eventually(callDone, waitTimeout).Should(BeClosed())
			Eventually(func() string { return getRecordJSON(ctx, d, key) }, waitTimeout).Should(ContainSubstring(`"ran":"no"`))
		}
		cancelStream()
		Expect(d.Engines()[0].RequestCount("waits")).To(BeZero())
	})

	It("gets a text completion", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		client := clientOf(d, 0)
		answer, err := client.Completions.New(ctx, openai.CompletionNewParams{
			Model: "village-requests-chat", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("the road to Robe")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices[0].Text).To(Equal(engine.Answer("the road to Robe", 0)))
	})

	It("that reuses an idempotency key on another host gets the recorded answer", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		prompt := "which village is next?"
		var first *openai.ChatCompletion
		for host := range 3 {
			client := clientOf(d, host)
			answer, err := client.Chat.Completions.New(ctx, chat(prompt), option.WithHeader("Idempotency-Key", "once"))
			Expect(err).NotTo(HaveOccurred())
			if first == nil {
				first = answer
			}
			Expect(answer.ID).To(Equal(first.ID))
			Expect(answer.Choices[0].Message.Content).To(Equal(engine.Answer(prompt, 0)))
		}
		runs := 0
		for _, e := range d.Engines() {
			runs += e.RequestCount(prompt)
		}
		Expect(runs).To(Equal(1))
	})

	It("that sends one key to every host at once makes a non-idempotent call run once", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		const keys, tries = 40, 3
		var wg sync.WaitGroup
		mismatches := make(chan string, keys*tries)
		for key := range keys {
			body := fmt.Sprintf(`{"household":%d}`, key)
			for try := range tries {
				wg.Add(1)
				go func() {
					defer wg.Done()
					status, answer := post(ctx, d.URL(try)+"/services/tank-requests/new", fmt.Sprintf("tank-%d", key), body)
					var echo struct {
						Echo string `json:"echo"`
					}
					if status != http.StatusOK || json.Unmarshal([]byte(answer), &echo) != nil || echo.Echo != body {
						mismatches <- fmt.Sprintf("status %d: %s", status, answer)
					}
				}()
			}
		}
		wg.Wait()
		close(mismatches)
		for mismatch := range mismatches {
			Fail(mismatch)
		}
		total := 0
		for _, s := range d.Services() {
			for body, n := range s.Counts() {
				Expect(n).To(Equal(1), body)
				total += n
			}
		}
		Expect(total).To(Equal(keys))
	})

	It("whose answer was lost is told that the call may have run, and the call is not repeated", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		for _, s := range d.Services() {
			s.SetDropReplies(true)
		}
		status, answer := post(ctx, d.URL(0)+"/services/tank-requests/new", "lost", "one tank")
		Expect(status).To(BeNumerically(">=", 400))
		Expect(answer).To(ContainSubstring(`"ran":"maybe"`))
		for _, s := range d.Services() {
			s.SetDropReplies(false)
		}
		_, answer = post(ctx, d.URL(2)+"/services/tank-requests/new", "lost", "one tank")
		Expect(answer).To(ContainSubstring(`"ran":"maybe"`))
		Expect(d.Services()[0].Count("one tank") + d.Services()[1].Count("one tank")).To(Equal(1))
	})
})
