package deployment_test

import (
	"context"
	"io"
	"net/http"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"

	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
)

var cacheEventsPattern = regexp.MustCompile(`(?m)^kingcupquay_cache_events_total (\d+)$`)

// cacheEventsTotal returns the cache event counter of the process as text.
func cacheEventsTotal(d *deployment.Deployment) string {
	resp, err := http.Get(d.URL(0) + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	match := cacheEventsPattern.FindSubmatch(body)
	Expect(match).To(HaveLen(2))
	return string(match[1])
}

var _ = Describe("the request queue of an engine", func() {
	It("polls the engine's cache events while a request is running", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Engines = 1
		d := start(o)
		before := cacheEventsTotal(d)
		params := chat("a story that holds a slot")
		params.MaxTokens = openai.Int(10_000)
		streamCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		client := clientOf(d, 0)
		Expect(client.Chat.Completions.NewStreaming(streamCtx, params).Next()).To(BeTrue())
		Eventually(func() string { return cacheEventsTotal(d) }, waitTimeout).ShouldNot(Equal(before))
	})
})
