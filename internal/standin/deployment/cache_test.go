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

var cacheEvents = regexp.MustCompile(`(?m)^kingcupquay_cache_events_total (\d+)$`)

// cacheEventsRead returns the process's counter of cache events, as text.
func cacheEventsRead(d *deployment.Deployment) string {
	resp, err := http.Get(d.URL(0) + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	found := cacheEvents.FindSubmatch(body)
	Expect(found).To(HaveLen(2))
	return string(found[1])
}

var _ = Describe("the keeper of an engine", func() {
	It("reads the engine's cache events while it has work for it", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Engines = 1
		d := start(o)
		before := cacheEventsRead(d)
		params := chat("a story that holds a slot")
		params.MaxTokens = openai.Int(10_000)
		reading, leave := context.WithCancel(ctx)
		defer leave()
		client := clientOf(d, 0)
		Expect(client.Chat.Completions.NewStreaming(reading, params).Next()).To(BeTrue())
		Eventually(func() string { return cacheEventsRead(d) }, patience).ShouldNot(Equal(before))
	})
})
