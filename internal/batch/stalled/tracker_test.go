package stalled_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/stalled"
)

var _ = Describe("Tracker", func() {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	It("asks the owner of an unchanged record, and less often once it has answered", func() {
		w := stalled.New()
		Expect(w.Observe(start, "j", "A", 1)).To(BeFalse())
		Expect(w.Observe(at(stalled.AskAfter-1), "j", "A", 1)).To(BeFalse())
		Expect(w.Observe(at(stalled.AskAfter), "j", "A", 1)).To(BeTrue())
		Expect(w.Observe(at(stalled.AskAfter+1), "j", "A", 1)).To(BeTrue(), "the owner has not answered yet")
		w.Confirm(at(stalled.AskAfter+1), "j")
		Expect(w.Observe(at(stalled.AskAfter+stalled.AskAgainAfter), "j", "A", 1)).To(BeFalse())
		Expect(w.Observe(at(stalled.AskAfter+stalled.AskAgainAfter+1), "j", "A", 1)).To(BeTrue())
	})

	It("restarts the wait when the serial or the owner changes", func() {
		w := stalled.New()
		w.Observe(start, "j", "A", 1)
		Expect(w.Observe(at(stalled.AskAfter), "j", "A", 2)).To(BeFalse())
		Expect(w.Observe(at(stalled.AskAfter+time.Second), "j", "B", 2)).To(BeFalse())
		Expect(w.Observe(at(2*stalled.AskAfter+time.Second), "j", "B", 2)).To(BeTrue())
	})

	It("removes jobs that the latest scan did not read", func() {
		w := stalled.New()
		w.Observe(start, "j", "A", 1)
		w.Observe(at(time.Second), "k", "A", 1)
		w.Prune(at(time.Second))
		w.Confirm(at(time.Second), "j")
		Expect(w.Observe(at(stalled.AskAfter), "j", "A", 1)).To(BeFalse())
		Expect(w.Observe(at(stalled.AskAfter+time.Second), "k", "A", 1)).To(BeTrue())
	})
})
