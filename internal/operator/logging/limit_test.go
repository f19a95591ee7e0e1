package logging_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/logging"
)

var _ = It("lets through so many lines of a kind a second, and tells how many were left out", func() {
	l := logging.NewLineLimit(2)
	second := time.Unix(1000, 0)
	for range 2 {
		skipped, ok := l.Take(second)
		Expect(ok).To(BeTrue())
		Expect(skipped).To(BeZero())
	}
	for range 3 {
		_, ok := l.Take(second.Add(999 * time.Millisecond))
		Expect(ok).To(BeFalse())
	}
	skipped, ok := l.Take(second.Add(time.Second))
	Expect(ok).To(BeTrue())
	Expect(skipped).To(Equal(3))
	skipped, ok = l.Take(second.Add(time.Second))
	Expect(ok).To(BeTrue())
	Expect(skipped).To(BeZero())
})
