package serverlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/serverlimit"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestSpecs(t *testing.T) { specs.Run(t, "serverlimit") }

var start = time.Unix(1000, 0)

var _ = Describe("the table of limits", func() {
	var table *serverlimit.Table
	BeforeEach(func() { table = serverlimit.NewTable() })

	DescribeTable("allows what fits into the window, which covers at least one request",
		func(perSecond float64, online, batch int, window time.Duration) {
			table.Set(start, "s", perSecond)
			n, used := table.Allowance(start, "s", 0)
			Expect(n).To(Equal(online))
			Expect(used).To(BeZero())
			Expect(table.BatchAllowance(start, "s", 0)).To(Equal(batch))
			for range online {
				table.RecordSend(start, "s")
			}
			n, used = table.Allowance(start.Add(window-1), "s", 0)
			Expect(n).To(BeZero())
			Expect(used).To(BeEquivalentTo(1))
			n, _ = table.Allowance(start.Add(window), "s", 0)
			Expect(n).To(Equal(online))
		},
		Entry("0.1", 0.1, 1, 1, 10*time.Second),
		Entry("1", 1.0, 4, 3, 4*time.Second),
		Entry("2.4", 2.4, 9, 6, 4*time.Second),
		Entry("100", 100.0, 400, 267, 4*time.Second),
	)

	It("counts the requests of other hosts", func() {
		table.Set(start, "s", 2)
		n, used := table.Allowance(start, "s", 6)
		Expect(n).To(Equal(2))
		Expect(used).To(Equal(0.75))
		n, _ = table.Allowance(start, "s", 60)
		Expect(n).To(BeZero())
	})

	It("knows no limit of a server that named none, was removed, or was silent for a minute", func() {
		unlimited := func(now time.Time) bool { n, _ := table.Allowance(now, "s", 1000); return n == serverlimit.Unlimited }
		Expect(table.Set(start, "s", 0)).To(BeFalse())
		Expect(unlimited(start)).To(BeTrue())
		table.Set(start, "s", 1)
		Expect(unlimited(start.Add(59 * time.Second))).To(BeFalse())
		Expect(unlimited(start.Add(time.Minute))).To(BeTrue())
		Expect(table.All(start.Add(time.Minute))).To(BeEmpty())
		table.Set(start, "s", 1)
		table.Remove("s")
		Expect(unlimited(start)).To(BeTrue())
	})

	It("lets the latest answer count, and reports an answer only at the host that got it", func() {
		other := serverlimit.NewTable()
		table.Set(start, "s", 3)
		later := start.Add(time.Second)
		other.Merge(later, table.Own(later))
		Expect(other.All(later)).To(HaveKeyWithValue("s", serverlimit.Limit{PerSecond: 3, Age: time.Second}))
		Expect(other.Own(later)).To(BeEmpty())
		other.Set(later, "s", 0)
		table.Merge(later, other.Own(later))
		Expect(table.Own(later)).To(BeEmpty())
		n, _ := table.Allowance(later, "s", 0)
		Expect(n).To(Equal(serverlimit.Unlimited))
		table.Merge(later, map[string]serverlimit.Limit{"s": {PerSecond: 3, Age: time.Second}})
		n, _ = table.Allowance(later, "s", 0)
		Expect(n).To(Equal(serverlimit.Unlimited))
	})
})
