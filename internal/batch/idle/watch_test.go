package idle_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/idle"
)

var _ = Describe("Watch", func() {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	It("asks the owner of an unchanged record, and less often once it has answered", func() {
		w := idle.New()
		Expect(w.Idle(start, "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After-1), "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After), "j", "A", 1)).To(BeTrue())
		Expect(w.Idle(at(idle.After+1), "j", "A", 1)).To(BeTrue(), "the owner has not answered yet")
		w.Has(at(idle.After+1), "j")
		Expect(w.Idle(at(idle.After+idle.Again), "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After+idle.Again+1), "j", "A", 1)).To(BeTrue())
	})

	It("restarts the wait when the serial or the owner changes", func() {
		w := idle.New()
		w.Idle(start, "j", "A", 1)
		Expect(w.Idle(at(idle.After), "j", "A", 2)).To(BeFalse())
		Expect(w.Idle(at(idle.After+time.Second), "j", "B", 2)).To(BeFalse())
		Expect(w.Idle(at(2*idle.After+time.Second), "j", "B", 2)).To(BeTrue())
	})

	It("removes jobs that the latest scan did not read", func() {
		w := idle.New()
		w.Idle(start, "j", "A", 1)
		w.Idle(at(time.Second), "k", "A", 1)
		w.Forget(at(time.Second))
		w.Has(at(time.Second), "j")
		Expect(w.Idle(at(idle.After), "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After+time.Second), "k", "A", 1)).To(BeTrue())
	})
})
