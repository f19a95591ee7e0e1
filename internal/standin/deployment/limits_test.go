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

var _ = Describe("a limit smaller than the number of hosts", func() {
	It("lets its one request in at every host, and two at none", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		var body admin.TextBody
		Expect(operate(d, 0, http.MethodGet, "/operator/text", nil, &body)).To(Succeed())
		text := strings.Replace(body.Source, `"name": "water-agency",`, `"name": "water-agency", "concurrency": 1,`, 1)
		Expect(text).NotTo(Equal(body.Source))
		var change admin.ChangeBody
		Expect(operate(d, 0, http.MethodPut, "/operator/text?revision=1&by=sara", []byte(text), &change)).To(Succeed())
		for host := range 3 {
			Eventually(inForce(d, host), patience).Should(Equal(int64(2)))
		}
		ask := func(host int) int {
			status, _ := post(ctx, d.URL(host)+"/v1/chat/completions", "", `{"model":"village-requests-chat","messages":[{"role":"user","content":"short"}],"max_tokens":1}`)
			return status
		}
		for host := range 3 {
			client := clientOf(d, host)
			params := chat("a long story")
			params.MaxTokens = openai.Int(10_000)
			reading, leave := context.WithCancel(ctx)
			// What was let in before is given back in the background.
			Eventually(func() bool { return client.Chat.Completions.NewStreaming(reading, params).Next() }, patience).Should(BeTrue())
			for other := range 3 {
				Expect(ask(other)).To(Equal(http.StatusTooManyRequests))
			}
			leave()
			Eventually(func() int { return ask((host + 1) % 3) }, patience).Should(Equal(http.StatusOK))
			Eventually(func() int { return ask(host) }, patience).Should(Equal(http.StatusOK))
		}
	})
})
