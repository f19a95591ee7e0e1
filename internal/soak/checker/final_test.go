package checker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/soak/checker"
	"github.com/kingcupquay/kingcupquay/internal/soak/plan"
)

// finalAt is when all hosts end, and start again at once.
const finalAt = 20 * second

func allEnd(pages ...checker.Page) checker.History {
	j := job()
	j.AcceptedAt, j.Pages = 5*second, pages
	h := checker.History{Runs: []checker.Run{run()}, Jobs: []checker.Job{j}}
	for host := range 3 {
		h.Plan.Faults = append(h.Plan.Faults, plan.Fault{Kind: plan.Kill, Target: host, Start: finalAt})
	}
	return h
}

// Guards against a final fault that excuses an answer.
var _ = DescribeTable("pages of hosts that all ended", func(rule string, pages ...checker.Page) {
	violations := checker.Check(allEnd(pages...))
	if rule == "" {
		Expect(violations).To(BeEmpty())
		return
	}
	Expect(violations).To(ConsistOf(HaveField("Rule", rule)))
},
	Entry("nothing at a position that was shown before the end", "lost", page(0, 7*second, 0, 200, result("q")), page(1, finalAt+second/2, 0, 200)),
	Entry("nothing at a position that was shown after the end", "lost", page(0, finalAt+second, 0, 200, result("q")), page(0, finalAt+3*second, 0, 200)),
	Entry("nothing, asked for before the end, that came after it", "lost", page(0, 7*second, 0, 200, result("q")), latePage(1, 0, 8*second, finalAt+second, 200)),
	Entry("404 for a job accepted before the end", "lost", page(2, finalAt+second/2, 0, 404)),
	Entry("a refusal after the end", "", page(0, 7*second, 0, 200, result("q")), page(1, finalAt+second/2, 0, 503)),
)

// Guards against a final fault that suspends rules for longer than others do.
var _ = DescribeTable("requests to hosts that all ended", func(sent time.Duration, lost bool) {
	h := allEnd()
	r := request()
	r.ID, r.Sent, r.Ended, r.Status, r.Complete, r.Text, r.AtMostOnce = "p", sent, sent+second, 0, false, "", false
	h.Requests = []checker.Request{r}
	h.Runs = append(h.Runs, checker.Run{ID: "p", Server: "e", Service: "s", Body: "b", At: sent})
	violations := checker.Check(h)
	if !lost {
		Expect(violations).To(BeEmpty())
		return
	}
	Expect(violations).To(ConsistOf(HaveField("Rule", "lost")))
},
	Entry("cut by the end", finalAt-second/2, false),
	Entry("3.9 s after the end", finalAt+3900*time.Millisecond, false),
	Entry("4.1 s after the end", finalAt+4100*time.Millisecond, true),
)

var _ = It("counts the answers about jobs in a period, and the denials", func() {
	h := allEnd(page(0, 7*second, 0, 200, result("q")), page(0, finalAt, 0, 200, result("q")), page(1, finalAt, 1, 200), page(1, finalAt, 0, 404), page(1, finalAt, 0, 503),
		checker.Page{Sent: finalAt, Ended: finalAt + second})
	answers, denials := h.Told(finalAt, finalAt+second)
	Expect(answers).To(Equal(3))
	Expect(denials).To(Equal(2))
})
