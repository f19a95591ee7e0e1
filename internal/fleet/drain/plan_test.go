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
		return []time.Duration{p.Drain.Sub(began), p.Late.Sub(began), p.LastAnswer.Sub(began), p.Close.Sub(began)}
	}

	DescribeTable("divides the grace period", func(grace, drained, late, lastAnswer, closed time.Duration) {
		Expect(offsets(grace)).To(Equal([]time.Duration{drained, late, lastAnswer, closed}))
	},
		Entry("the default", 8*time.Second, 2500*time.Millisecond, 2750*time.Millisecond, 7250*time.Millisecond, 7500*time.Millisecond),
		Entry("a long one", 60*time.Second, 2500*time.Millisecond, 2750*time.Millisecond, 59250*time.Millisecond, 59500*time.Millisecond),
		Entry("a short one", 3*time.Second, time.Second, 1093750*time.Microsecond, 2718750*time.Microsecond, 2812500*time.Microsecond),
	)

	It("keeps its order and leaves most of the grace period for answers, whatever its length", func() {
		for grace := 500 * time.Millisecond; grace <= 5*time.Minute; grace += 130 * time.Millisecond {
			p := drain.NewPlan(began, grace)
			Expect(p.Began).To(BeTemporally("<", p.Drain))
			Expect(p.Drain).To(BeTemporally("<", p.Late))
			Expect(p.Late).To(BeTemporally("<", p.LastAnswer))
			Expect(p.Late.Sub(began)).To(BeNumerically("<=", grace*3/8))
			Expect(p.LastAnswer).To(BeTemporally("<", p.Close))
			Expect(p.Close).To(BeTemporally("<", began.Add(grace)))
			Expect(p.LastAnswer.Sub(began)).To(BeNumerically(">=", grace*5/6))
		}
	})

	const objective = 300 * time.Millisecond
	// The last answers of this plan are due after 7.25 s; it drains after 2.5 s,
	// and calls are late from 2.75 s on.
	plan := drain.NewPlan(began, 8*time.Second)
	stream := func(timeout time.Duration) drain.Need {
		return drain.Need{Deadline: began.Add(timeout), Objective: objective}
	}
	repeatable := func(timeout time.Duration) drain.Need {
		return drain.Need{Deadline: began.Add(timeout), Objective: objective, Repeatable: true}
	}
	DescribeTable("accepts only what is expected to end in time", func(at time.Duration, n drain.Need, accepted bool) {
		Expect(plan.Accepts(began.Add(at), n)).To(Equal(accepted))
	},
		Entry("at once, a stream or a call that may run once only", time.Duration(0), stream(15*time.Second), true),
		Entry("at once, without a deadline", time.Duration(0), drain.Need{Objective: objective}, true),
		Entry("at once, a repeatable call", time.Duration(0), repeatable(15*time.Second), true),
		Entry("at once, but its first part is due too late", time.Duration(0), drain.Need{Objective: 8 * time.Second}, false),
		Entry("just before draining", 2499*time.Millisecond, stream(15*time.Second), true),
		Entry("when draining begins", 2500*time.Millisecond, stream(15*time.Second), true),
		Entry("just before it is late", 2749*time.Millisecond, stream(15*time.Second), true),
		Entry("late", 2750*time.Millisecond, stream(15*time.Second), false),
		Entry("late, without a deadline", 2750*time.Millisecond, drain.Need{Objective: objective}, false),
		Entry("late, but its time ends with the last answers", 2750*time.Millisecond, stream(7250*time.Millisecond), true),
		Entry("late, its time ends later", 2750*time.Millisecond, stream(7251*time.Millisecond), false),
		Entry("late, a repeatable call that is usually answered in time", 6650*time.Millisecond, repeatable(15*time.Second), true),
		Entry("late, a repeatable call that is not", 6651*time.Millisecond, repeatable(15*time.Second), false),
		Entry("late, its own time ends before", 7*time.Second, repeatable(7100*time.Millisecond), true),
		Entry("when the last answers are due", 7250*time.Millisecond, repeatable(7100*time.Millisecond), false),
		Entry("after that, without an objective", 7300*time.Millisecond, drain.Need{Repeatable: true}, false),
	)

	It("accepts nothing later that it refused before", func() {
		for _, need := range []drain.Need{{Objective: objective}, stream(7 * time.Second), stream(15 * time.Second), repeatable(15 * time.Second), {Repeatable: true}} {
			refused := false
			for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
				accepted := plan.Accepts(began.Add(at), need)
				Expect(accepted && refused).To(BeFalse())
				refused = !accepted
			}
		}
	})
})
