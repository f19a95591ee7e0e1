package keeper_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/keeper"
	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// agencyConfig returns the example configuration with the given number of slots
// for every backend server.
func agencyConfig(slots int) *services.Text {
	var document map[string]any
	Expect(json.Unmarshal(examples.Agency, &document)).To(Succeed())
	for _, backend := range document["backends"].([]any) {
		backend.(map[string]any)["slots"] = slots
	}
	source, err := json.Marshal(document)
	Expect(err).NotTo(HaveOccurred())
	config, err := services.Parse(source, 1)
	Expect(err).NotTo(HaveOccurred())
	return config
}

var _ = Describe("Set", func() {
	It("applies configuration changes, keeps queues in use and drops idle ones", func() {
		clock := timer.NewManual(epoch)
		reached, release := make(chan struct{}), make(chan struct{})
		f := &fakeEngine{step: func(_ context.Context, _ engine.Attempt, n int) *result.Error {
			if n == 0 {
				close(reached)
				<-release
			}
			return nil
		}}
		var limits []int
		set := keeper.NewSet(clock, f, func(b *services.Backend, limit int) queue.Policy {
			limits = append(limits, limit)
			return queue.NewPriorityPolicy(b.Slots, limit)
		})
		DeferCleanup(set.Close)
		config := agencyConfig(4)
		set.SetServices(config)
		service, ok := config.ServiceForModel("dispatch-llm")
		Expect(ok).To(BeTrue())
		r := request.New(request.Options{ID: "r", Organisation: "agency", Service: service.Name, Model: "dispatch-llm", Engine: true})
		done := make(chan *result.Error, 1)
		go func() {
			done <- set.Run(context.Background(), "dispatch-engine-1", r, func(request.Event) error { return nil })
		}()
		Eventually(reached, waitTimeout).Should(BeClosed())
		clock.Advance(time.Minute)
		set.Tick()
		Expect(set.Loads()).To(HaveExactElements(And(HaveField("Slots", int32(4)), HaveField("Running", int32(1)))))
		set.SetServices(agencyConfig(6))
		Expect(set.Loads()).To(HaveExactElements(HaveField("Slots", int32(6))))
		close(release)
		Eventually(done, waitTimeout).Should(Receive(BeNil()))
		set.Tick()
		Expect(set.Loads()).To(HaveLen(1))
		clock.Advance(11 * time.Second)
		set.Tick()
		Expect(set.Loads()).To(BeEmpty())
		maxLimit := 0
		for _, s := range config.Services() {
			if s.Model == "dispatch-llm" {
				maxLimit = max(maxLimit, s.QueueLimit)
			}
		}
		Expect(limits).To(HaveExactElements(maxLimit))
	})
})
