package deployment_test

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
)

var _ = Describe("a batch whose engines are all down", func() {
	It("completes with the right answer for each item once the engines are back", func(ctx SpecContext) {
		d := start(oneZone())
		client := clientOf(d, 0)
		parked := metrics.GetOrCreateCounter("kingcupquay_items_parked_total")
		before := parked.Get()
		for _, e := range d.Engines() {
			e.Close()
		}
		prompt := func(i int) string { return fmt.Sprintf("parked route %d", i) }
		const n = 300
		batch := submit(ctx, &client, items(n, prompt))
		Eventually(parked.Get, waitTimeout).Should(BeNumerically(">", before))
		Consistently(statusOf(ctx, &client, batch.ID), time.Second).ShouldNot(Equal("completed"))
		for i, stopped := range d.Engines() {
			e, err := engine.Start(stopped.Address(), engine.Options{
				Name: fmt.Sprintf("dispatch-engine-%d", i+1), Models: []string{"dispatch-llm"}, Slots: 8,
				Step: 5 * time.Millisecond, Prefill: 10 * time.Millisecond,
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(e.Close)
		}
		Eventually(statusOf(ctx, &client, batch.ID), waitTimeout).Should(Equal("completed"))
		done, err := client.Batches.Get(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		answers := outputTexts(ctx, &client, done.OutputFileID)
		Expect(answers).To(HaveLen(n))
		for i := range n {
			Expect(answers[fmt.Sprintf("item-%d", i)]).To(Equal(engine.Answer(prompt(i), 0)))
		}
	})
})
