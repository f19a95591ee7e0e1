package deployment_test

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// chatError returns a function that sends a chat request to a host and returns
// its error.
func chatError(ctx context.Context, d *deployment.Deployment, host int) func() error {
	return func() error {
		client := clientOf(d, host)
		_, err := client.Chat.Completions.New(ctx, chat("during the outage"))
		return err
	}
}

var _ = Describe("an outage of the platform", func() {
	It("keeps online requests working, refuses durable calls and delays a job", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step *= 4
		d := start(o)
		client := clientOf(d, 2)
		prompt := func(i int) string { return fmt.Sprintf("outage %d", i) }
		const n = 600
		batch := submit(ctx, &client, items(n, prompt))
		Eventually(statusOf(ctx, &client, batch.ID), waitTimeout).Should(Equal("in_progress"))
		d.KV().SetFaults(func(string) platform.Fault { return platform.Refuse })
		for host := range 3 {
			Expect(chatError(ctx, d, host)()).To(Succeed())
			r := tankRequest(ctx, d, host, "during", "during")
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable), r.Body)
			Expect(r.Ran).To(Equal("no"), r.Body)
			Expect(r.Body).To(ContainSubstring("retry_after"))
		}
		d.Hosts()[1].Kill()
		settings := d.Settings()[1]
		settings.Peers = []string{d.Settings()[0].PeerAddress, d.Settings()[2].PeerAddress}
		_, err := d.StartHost(settings)
		Expect(err).NotTo(HaveOccurred())
		Eventually(chatError(ctx, d, 1), waitTimeout).Should(Succeed())
		Expect(runCount(d, "during")).To(BeZero())
		d.KV().SetFaults(nil)
		Eventually(func() int { return tankRequest(ctx, d, 0, "during", "during").Status }, waitTimeout).Should(Equal(http.StatusOK))
		Expect(runCount(d, "during")).To(Equal(1))
		Eventually(func() (int, error) {
			shardEntries, _, err := d.KV().Range(ctx, "shard/", store.PrefixEnd("shard/"), 0)
			return len(shardEntries), err
		}, waitTimeout).Should(Equal(12))
		Eventually(statusOf(ctx, &client, batch.ID), waitTimeout).Should(Equal("completed"))
		finished, err := client.Batches.Get(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		answers := outputTexts(ctx, &client, finished.OutputFileID)
		Expect(answers).To(HaveLen(n))
		for i := range n {
			Expect(answers[fmt.Sprintf("item-%d", i)]).To(Equal(engine.Answer(prompt(i), 0)))
		}
	})
})
