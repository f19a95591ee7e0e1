package route_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/request"
	"github.com/kingcupquay/kingcupquay/internal/serving/route"
)

var _ = Describe("the health of a model", func() {
	It("changes from up to down, to probing, and back to up", func() {
		r := routerOf(route.Balanced, 1, map[string]int{"a": 1})
		Expect(r.Health(start, "llm", "")).To(Equal(route.Up))
		Expect(r.Health(start, "other", "")).To(Equal(route.NotServed))
		Expect(r.Health(start, "", "chat")).To(Equal(route.NotServed))
		r.RecordSent(start, "a-0", request.Batch)
		r.RecordEnd(start, "a-0", route.Outcome{Urgency: request.Batch, Failed: true})
		Expect(r.Health(start, "llm", "")).To(Equal(route.Down))
		later := start.Add(time.Minute)
		Expect(r.Health(later, "llm", "")).To(Equal(route.Probing))
		r.RecordSent(later, "a-0", request.Batch)
		r.RecordEnd(later, "a-0", route.Outcome{Urgency: request.Batch, Completed: true})
		Expect(r.Health(later, "llm", "")).To(Equal(route.Up))
	})
})

var _ = Describe("an engine that is reported as not ready with a model", func() {
	It("gets no requests for the model while another engine is left", func() {
		r := routerOf(route.Balanced, 1, map[string]int{"a": 2})
		pickedNames := func() map[string]bool {
			names := make(map[string]bool)
			for range 50 {
				b, failure := r.Pick(start, newRequest("p", request.Online, time.Time{}), nil)
				Expect(failure).To(BeNil())
				names[b.Name] = true
				r.RecordSent(start, b.Name, request.Online)
			}
			return names
		}
		r.SetUnready(map[string][]string{"llm": {"a-0"}})
		Expect(pickedNames()).To(Equal(map[string]bool{"a-1": true}))
		r.SetUnready(map[string][]string{"llm": {"a-0", "a-1"}})
		Expect(pickedNames()).To(HaveLen(2), "a hint never leaves a model without an engine")
		r.SetUnready(nil)
		Expect(pickedNames()).To(HaveLen(2))
	})
})
