package idle_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/idle"
)

var _ = Describe("a watch over records", func() {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	It("asks the owner of a record that has not changed, and rarely once it has answered", func() {
		w := idle.New()
		Expect(w.Idle(start, "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After-1), "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After), "j", "A", 1)).To(BeTrue())
		Expect(w.Idle(at(idle.After+1), "j", "A", 1)).To(BeTrue(), "it has not answered")
		w.Has(at(idle.After+1), "j")
		Expect(w.Idle(at(idle.After+idle.Again), "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After+idle.Again+1), "j", "A", 1)).To(BeTrue())
	})

	It("starts anew with each change and each owner", func() {
		w := idle.New()
		w.Idle(start, "j", "A", 1)
		Expect(w.Idle(at(idle.After), "j", "A", 2)).To(BeFalse())
		Expect(w.Idle(at(idle.After+time.Second), "j", "B", 2)).To(BeFalse())
		Expect(w.Idle(at(2*idle.After+time.Second), "j", "B", 2)).To(BeTrue())
	})

	It("forgets the jobs that are not seen any more", func() {
		w := idle.New()
		w.Idle(start, "j", "A", 1)
		w.Idle(at(time.Second), "k", "A", 1)
		w.Forget(at(time.Second))
		w.Has(at(time.Second), "j")
		Expect(w.Idle(at(idle.After), "j", "A", 1)).To(BeFalse())
		Expect(w.Idle(at(idle.After+time.Second), "k", "A", 1)).To(BeTrue())
	})
})
