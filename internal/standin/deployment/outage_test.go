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

// answersChat returns the error of an online call at a host.
func answersChat(ctx context.Context, d *deployment.Deployment, host int) func() error {
	return func() error {
		client := clientOf(d, host)
		_, err := client.Chat.Completions.New(ctx, chat("during the outage"))
		return err
	}
}

var _ = Describe("an outage of the platform", func() {
	It("leaves online service up, refuses durable calls and delays a job", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step *= 4
		d := start(o)
		client := clientOf(d, 2)
		prompt := func(i int) string { return fmt.Sprintf("outage %d", i) }
		const n = 600
		batch := submit(ctx, &client, items(n, prompt))
		Eventually(statusOf(ctx, &client, batch.ID), patience).Should(Equal("in_progress"))
		d.KV().SetFaults(func(string) platform.Fault { return platform.Refuse })
		for host := range 3 {
			Expect(answersChat(ctx, d, host)()).To(Succeed())
			r := tankRequest(ctx, d, host, "during", "during")
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable), r.Body)
			Expect(r.Ran).To(Equal("no"))
			Expect(r.Body).To(ContainSubstring("retry_after"))
		}
		d.Hosts()[1].Kill()
		settings := d.Settings()[1]
		settings.Peers = []string{d.Settings()[0].PeerAddress, d.Settings()[2].PeerAddress}
		_, err := d.StartHost(settings)
		Expect(err).NotTo(HaveOccurred())
		Eventually(answersChat(ctx, d, 1), patience).Should(Succeed())
		Expect(ranTimes(d, "during")).To(BeZero())
		d.KV().SetFaults(nil)
		Eventually(func() int { return tankRequest(ctx, d, 0, "during", "during").Status }, patience).Should(Equal(http.StatusOK))
		Expect(ranTimes(d, "during")).To(Equal(1))
		Eventually(func() (int, error) {
			held, _, err := d.KV().Range(ctx, "shard/", store.PrefixEnd("shard/"), 0)
			return len(held), err
		}, patience).Should(Equal(12))
		Eventually(statusOf(ctx, &client, batch.ID), patience).Should(Equal("completed"))
		ended, err := client.Batches.Get(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		found := answers(ctx, &client, ended.OutputFileID)
		Expect(found).To(HaveLen(n))
		for i := range n {
			Expect(found[fmt.Sprintf("item-%d", i)]).To(Equal(engine.Answer(prompt(i), 0)))
		}
	})
})
