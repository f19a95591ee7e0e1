package judge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/soak/judge"
	"github.com/kingcupquay/kingcupquay/internal/soak/plan"
)

const second = time.Second

func request() judge.Request {
	return judge.Request{
		ID: "q", Once: true, Service: "s", Body: "b", Want: "abc", Sent: 10 * second, Ended: 11 * second, Status: 200, Complete: true, Text: "abc",
	}
}

func run() judge.Run {
	return judge.Run{ID: "q", Server: "e", Service: "s", Body: "b", At: 10 * second}
}

func job() judge.Job {
	return judge.Job{
		ID: "j", Service: "s", Items: []judge.Item{{"q", "b", "abc"}}, Statuses: []int{0, 202},
		Reads: [][]judge.Listed{nil, {{"q", true, "abc"}}, {{"q", true, "abc"}}},
	}
}

// Each entry changes a history without violations; rule is the rule that the
// changed history violates, empty for none.
var _ = DescribeTable("violations of requests", func(rule string, change func(h *judge.History, r *judge.Request)) {
	r := request()
	h := judge.History{Runs: []judge.Run{run()}}
	change(&h, &r)
	h.Requests = append(h.Requests, r)
	violations := judge.Judge(h)
	if rule == "" {
		Expect(violations).To(BeEmpty())
		return
	}
	Expect(violations).To(ContainElement(HaveField("Rule", rule)))
},
	Entry("the expected response", "", func(*judge.History, *judge.Request) {}),
	Entry("a wrong response", "mixed", func(_ *judge.History, r *judge.Request) { r.Text = "abx" }),
	Entry("a truncated response marked complete", "mixed", func(_ *judge.History, r *judge.Request) { r.Text = "ab" }),
	Entry("a response to a request that never ran", "mixed", func(h *judge.History, _ *judge.Request) { h.Runs = nil }),
	Entry("a partial response that is not a prefix", "order", func(_ *judge.History, r *judge.Request) { r.Complete, r.Text = false, "ac" }),
	Entry("a second run", "twice", func(h *judge.History, _ *judge.Request) { h.Runs = append(h.Runs, run()) }),
	Entry("a second run of a request that may be repeated", "", func(h *judge.History, r *judge.Request) {
		h.Runs = append(h.Runs, run())
		r.Once = false
	}),
	Entry("a refused request that ran", "refused", func(_ *judge.History, r *judge.Request) { r.Status = 503 }),
	Entry("a refused request that did not run", "", func(h *judge.History, r *judge.Request) { h.Runs, r.Status = nil, 503 }),
	Entry("a run with another body", "unasked", func(h *judge.History, _ *judge.Request) { h.Runs[0].Body = "x" }),
	Entry("a run of a request that no caller sent", "unasked", func(h *judge.History, _ *judge.Request) { h.Runs[0].ID = "x" }),
	Entry("a run at another service", "route", func(h *judge.History, _ *judge.Request) { h.Runs[0].Service = "t" }),
	Entry("an interrupted request without a fault", "lost", func(_ *judge.History, r *judge.Request) { r.Status, r.Complete, r.Text = 0, false, "" }),
	Entry("an error status without a fault", "lost", func(_ *judge.History, r *judge.Request) { r.Status = 502 }),
	Entry("an interrupted request during an orderly stop", "lost", func(h *judge.History, r *judge.Request) {
		r.Status, r.Complete, r.Text = 0, false, ""
		h.Plan.Faults = []plan.Fault{{Kind: plan.Stop, At: 10 * second, For: second}}
	}),
	Entry("a request that failed within 200 ms without having run", "", func(h *judge.History, r *judge.Request) {
		r.Status, r.Complete, r.Text, r.Ended, h.Runs = 0, false, "", r.Sent+200*time.Millisecond, nil
	}),
	Entry("a request that failed after 201 ms without having run", "lost", func(h *judge.History, r *judge.Request) {
		r.Status, r.Complete, r.Text, r.Ended, h.Runs = 0, false, "", r.Sent+201*time.Millisecond, nil
	}),
	Entry("an interrupted request soon after a kill", "", func(h *judge.History, r *judge.Request) {
		r.Status, r.Complete, r.Text = 0, false, ""
		h.Plan.Faults = []plan.Fault{{Kind: plan.Kill, At: 5 * second, For: 2 * second}}
	}),
	Entry("a request abandoned by its caller", "", func(_ *judge.History, r *judge.Request) {
		r.Status, r.Complete, r.Text, r.Left = 0, false, "", true
	}),
	Entry("a run at a draining server", "drain", func(h *judge.History, _ *judge.Request) {
		h.Drains = []judge.Drain{{Server: "e", From: 6 * second, To: 20 * second}}
	}),
	Entry("a run at a draining server while a host was cut off from the store", "", func(h *judge.History, _ *judge.Request) {
		h.Drains = []judge.Drain{{Server: "e", From: 6 * second, To: 20 * second}}
		h.Plan.Faults = []plan.Fault{{Kind: plan.StoreSilent, At: 7 * second, For: second}}
	}),
	Entry("a run soon after the drain began", "", func(h *judge.History, _ *judge.Request) {
		h.Drains = []judge.Drain{{Server: "e", From: 8 * second, To: 20 * second}}
	}),
	Entry("an older configuration in the same host process", "config", func(h *judge.History, r *judge.Request) {
		newer := *r
		newer.ID, newer.Version, newer.Sent, newer.Ended = "p", 5, second, 2*second
		h.Requests = append(h.Requests, newer)
		h.Runs = append(h.Runs, judge.Run{ID: "p", Server: "e", Service: "s", Body: "b"})
		r.Version, r.Status = 4, 404
	}),
	Entry("an older configuration after a restart", "", func(h *judge.History, r *judge.Request) {
		newer := *r
		newer.ID, newer.Version, newer.Sent, newer.Ended = "p", 5, second, 2*second
		h.Requests = append(h.Requests, newer)
		h.Runs = append(h.Runs, judge.Run{ID: "p", Server: "e", Service: "s", Body: "b"})
		h.Plan.Faults = []plan.Fault{{Kind: plan.Kill, At: 9 * second, For: second}}
		r.Version, r.Status, r.Start = 4, 404, 1
	}),
)

var _ = DescribeTable("violations of jobs", func(rule string, change func(h *judge.History, j *judge.Job)) {
	j := job()
	h := judge.History{Runs: []judge.Run{run()}}
	change(&h, &j)
	h.Jobs = append(h.Jobs, j)
	violations := judge.Judge(h)
	if rule == "" {
		Expect(violations).To(BeEmpty())
		return
	}
	Expect(violations).To(ContainElement(HaveField("Rule", rule)))
},
	Entry("a completed job, one item of which ran twice", "", func(h *judge.History, _ *judge.Job) { h.Runs = append(h.Runs, run()) }),
	Entry("a missing result", "lost", func(_ *judge.History, j *judge.Job) { j.Reads = j.Reads[:1] }),
	Entry("a result that disappears", "lost", func(_ *judge.History, j *judge.Job) { j.Reads = append(j.Reads, nil) }),
	Entry("a position that changes", "twice", func(_ *judge.History, j *judge.Job) {
		j.Reads = append(j.Reads, []judge.Listed{{"q", true, "abd"}})
	}),
	Entry("an item listed twice", "twice", func(_ *judge.History, j *judge.Job) {
		j.Reads = append(j.Reads, []judge.Listed{{"q", true, "abc"}, {"q", true, "abc"}})
	}),
	Entry("a result with a wrong text", "mixed", func(_ *judge.History, j *judge.Job) { j.Items[0].Want = "x" }),
	Entry("an item listed as given up", "mixed", func(_ *judge.History, j *judge.Job) { j.Reads = [][]judge.Listed{{{"q", false, ""}}} }),
	Entry("an item of another job", "mixed", func(_ *judge.History, j *judge.Job) { j.Reads = [][]judge.Listed{{{"z", true, "abc"}}} }),
	Entry("an item of a job that was always refused", "refused", func(_ *judge.History, j *judge.Job) { j.Statuses = []int{503, 429} }),
	Entry("an item of a job that may have been accepted", "", func(_ *judge.History, j *judge.Job) { j.Statuses = []int{504, 503} }),
	Entry("a job that was ended", "", func(_ *judge.History, j *judge.Job) { j.Ending, j.EndedAt, j.Reads = true, 12*second, nil }),
	Entry("an item that ran long after the job's end", "unasked", func(_ *judge.History, j *judge.Job) { j.Ending, j.EndedAt = true, 6*second }),
	Entry("an item at another service", "route", func(h *judge.History, _ *judge.Job) { h.Runs[0].Service = "t" }),
)
