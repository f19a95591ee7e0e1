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
	It("comes to every engine while some engine can always answer, and no order is sent before", func(ctx SpecContext) {
		o := oneZone()
		o.Weights = weights.New(200 * time.Millisecond)
		d := start(o)
		engines := d.Engines()
		const before, after = "dispatch-llm", "dispatch-llm@2"
		// holding counts the engines that are ready with one of the artifacts.
		holding := func(artifacts ...string) func() int {
			return func() int {
				n := 0
				for _, e := range engines {
					for _, one := range artifacts {
						if e.ArtifactReady(one) {
							n++
							break
						}
					}
				}
				return n
			}
		}
		holder := func() bool {
			_, ok, err := d.KV().Get(ctx, "placement/addis-a")
			return ok && err == nil
		}
		Eventually(holder, patience).Should(BeTrue())
		Consistently(func() []engine.Order {
			var all []engine.Order
			for _, e := range engines {
				all = append(all, e.Orders()...)
			}
			return all
		}, 2*time.Second).Should(BeEmpty())

		var body admin.TextBody
		Expect(operate(d, 0, http.MethodGet, "/operator/text", nil, &body)).To(Succeed())
		changed := strings.ReplaceAll(body.Source, `"model": "dispatch-llm",`, `"model": "dispatch-llm", "version": "2",`)
		var change admin.ChangeBody
		Expect(operate(d, 0, http.MethodPut, "/operator/text?revision=1&by=sara", []byte(changed), &change)).To(Succeed())
		client := clientOf(d, 1)
		done := time.Now().Add(patience)
		for holding(after)() < len(engines) && time.Now().Before(done) {
			Expect(holding(before, after)()).To(BeNumerically(">=", len(engines)-2))
			_, err := client.Chat.Completions.New(ctx, chat("which tank meanwhile?"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(holding(after)()).To(Equal(len(engines)))
		Expect(o.Weights.MaxConcurrentLoads(after)).To(BeNumerically("<=", 2))
		Expect(o.Weights.LoadCount()).To(Equal(len(engines)))
		for _, e := range engines {
			for _, one := range e.Orders() {
				Expect(one.Fencing).To(BeNumerically(">", 0))
			}
		}
		answer, err := client.Chat.Completions.New(ctx, chat("which tank?"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices[0].Message.Content).To(Equal(engine.Answer("which tank?", 0)))

		engines[0].UnloadAll()
		Eventually(func() bool { return engines[0].ArtifactReady(after) }, patience).Should(BeTrue())
	})
})
