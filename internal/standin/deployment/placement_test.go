package deployment_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
	"github.com/kingcupquay/kingcupquay/internal/standin/weights"
)

var _ = Describe("a new version of a model", func() {
	It("is loaded by every engine without an outage, and no order is sent before the change", func(ctx SpecContext) {
		o := oneZone()
		o.Weights = weights.New(200 * time.Millisecond)
		d := start(o)
		engines := d.Engines()
		const oldArtifact, newArtifact = "dispatch-llm", "dispatch-llm@2"
		// enginesReady counts the engines that have one of the artifacts ready.
		enginesReady := func(artifacts ...string) func() int {
			return func() int {
				n := 0
				for _, e := range engines {
					for _, artifact := range artifacts {
						if e.ArtifactReady(artifact) {
							n++
							break
						}
					}
				}
				return n
			}
		}
		leaderElected := func() bool {
			_, ok, err := d.KV().Get(ctx, "placement/addis-a")
			return ok && err == nil
		}
		Eventually(leaderElected, waitTimeout).Should(BeTrue())
		Consistently(func() []engine.Order {
			var orders []engine.Order
			for _, e := range engines {
				orders = append(orders, e.Orders()...)
			}
			return orders
		}, 2*time.Second).Should(BeEmpty())

		var body admin.TextBody
		Expect(callOperator(d, 0, http.MethodGet, "/operator/text", nil, &body)).To(Succeed())
		changed := strings.ReplaceAll(body.Source, `"model": "dispatch-llm",`, `"model": "dispatch-llm", "version": "2",`)
		var change admin.ChangeBody
		Expect(callOperator(d, 0, http.MethodPut, "/operator/text?revision=1&by=sara", []byte(changed), &change)).To(Succeed())
		client := clientOf(d, 1)
		deadline := time.Now().Add(waitTimeout)
		for enginesReady(newArtifact)() < len(engines) && time.Now().Before(deadline) {
			Expect(enginesReady(oldArtifact, newArtifact)()).To(BeNumerically(">=", len(engines)-2))
			_, err := client.Chat.Completions.New(ctx, chat("which tank meanwhile?"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(enginesReady(newArtifact)()).To(Equal(len(engines)))
		Expect(o.Weights.MaxConcurrentLoads(newArtifact)).To(BeNumerically("<=", 2))
		Expect(o.Weights.LoadCount()).To(Equal(len(engines)))
		for _, e := range engines {
			for _, order := range e.Orders() {
				Expect(order.Fencing).To(BeNumerically(">", 0))
			}
		}
		answer, err := client.Chat.Completions.New(ctx, chat("which tank?"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices[0].Message.Content).To(Equal(engine.Answer("which tank?", 0)))

		engines[0].UnloadAll()
		Eventually(func() bool { return engines[0].ArtifactReady(newArtifact) }, waitTimeout).Should(BeTrue())
	})
})
