package deployment_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
)

var _ = Describe("hosts that are stopped one after another", func() {
	It("lose and double no item of a job and cut no online request", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step *= 4
		d := start(o)
		client := clientOf(d, 2)
		prompt := func(i int) string { return fmt.Sprintf("route %d", i) }
		const n = 1500
		batch := submit(ctx, &client, items(n, prompt))
		failures := make(chan error, 10_000)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := 0; i < 60; i++ {
				_, err := client.Chat.Completions.New(ctx, chat(fmt.Sprintf("online %d", i)))
				if err != nil {
					failures <- err
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		d.Hosts()[0].Stop(ctx)
		d.Hosts()[1].Stop(ctx)
		Eventually(done, patience).Should(BeClosed())
		close(failures)
		for err := range failures {
			Expect(err).NotTo(HaveOccurred())
		}
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
