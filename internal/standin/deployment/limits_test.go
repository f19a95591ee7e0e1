package deployment_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
)

var _ = Describe("a concurrency limit below the number of hosts", func() {
	It("admits one request through any host and refuses a second through all", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		var body admin.TextBody
		Expect(callOperator(d, 0, http.MethodGet, "/operator/text", nil, &body)).To(Succeed())
		text := strings.Replace(body.Source, `"name": "water-agency",`, `"name": "water-agency", "concurrency": 1,`, 1)
		Expect(text).NotTo(Equal(body.Source))
		var change admin.ChangeBody
		Expect(callOperator(d, 0, http.MethodPut, "/operator/text?revision=1&by=sara", []byte(text), &change)).To(Succeed())
		for host := range 3 {
			Eventually(activeRevision(d, host), waitTimeout).Should(Equal(int64(2)))
		}
		chatStatus := func(host int) int {
			status, _ := post(ctx, d.URL(host)+"/v1/chat/completions", "", `{"model":"village-requests-chat","messages":[{"role":"user","content":"short"}],"max_tokens":1}`)
			return status
		}
		for host := range 3 {
			client := clientOf(d, host)
			params := chat("a long story")
			params.MaxTokens = openai.Int(10_000)
			streamCtx, cancel := context.WithCancel(ctx)
			// The concurrency used by the previous request is released
			// asynchronously.
			Eventually(func() bool { return client.Chat.Completions.NewStreaming(streamCtx, params).Next() }, waitTimeout).Should(BeTrue())
			for other := range 3 {
				Expect(chatStatus(other)).To(Equal(http.StatusTooManyRequests))
			}
			cancel()
			Eventually(func() int { return chatStatus((host + 1) % 3) }, waitTimeout).Should(Equal(http.StatusOK))
			Eventually(func() int { return chatStatus(host) }, waitTimeout).Should(Equal(http.StatusOK))
		}
	})
})
