package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
)

var _ = Describe("the plan of a stop", func() {
	began := time.Unix(1000, 0)
	offsets := func(grace time.Duration) []time.Duration {
		p := drain.NewPlan(began, grace)
		return []time.Duration{p.Drain.Sub(began), p.LastAnswer.Sub(began), p.Close.Sub(began)}
	}

	DescribeTable("divides the grace period", func(grace, drained, lastAnswer, closed time.Duration) {
		Expect(offsets(grace)).To(Equal([]time.Duration{drained, lastAnswer, closed}))
	},
		Entry("the default", 8*time.Second, 2500*time.Millisecond, 7250*time.Millisecond, 7500*time.Millisecond),
		Entry("a long one", 60*time.Second, 2500*time.Millisecond, 59250*time.Millisecond, 59500*time.Millisecond),
		Entry("a short one", 3*time.Second, time.Second, 2718750*time.Microsecond, 2812500*time.Microsecond),
	)

	It("keeps its order and leaves most of the grace period for answers, whatever its length", func() {
		for grace := 500 * time.Millisecond; grace <= 5*time.Minute; grace += 130 * time.Millisecond {
			p := drain.NewPlan(began, grace)
			Expect(p.Began).To(BeTemporally("<", p.Drain))
			Expect(p.Drain).To(BeTemporally("<", p.LastAnswer))
			Expect(p.LastAnswer).To(BeTemporally("<", p.Close))
			Expect(p.Close).To(BeTemporally("<", began.Add(grace)))
			Expect(p.LastAnswer.Sub(began)).To(BeNumerically(">=", grace*5/6))
		}
	})
})
