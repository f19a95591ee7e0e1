package reach_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/reach"
)

var _ = Describe("the host to pass a call to", func() {
	near := reach.Host{Name: "near", Zone: "z"}
	far := reach.Host{Name: "far", Zone: "y"}
	cutOff := func(h reach.Host) reach.Host { h.CutOff = true; return h }
	avoid := func(h reach.Host) reach.Host { h.Avoid = true; return h }
	hosts := func(list ...reach.Host) []reach.Host { return list }

	DescribeTable("is", func(list []reach.Host, tried []string, want string) {
		for _, random := range []float64{0, 0.5, 0.999} {
			h, _ := reach.Pick(list, "z", tried, random)
			Expect(h.Name).To(Equal(want))
		}
	},
		Entry("none without others", nil, nil, ""),
		Entry("one of the own zone", hosts(far, near), nil, "near"),
		Entry("one of another zone if the own one is cut off", hosts(far, cutOff(near)), nil, "far"),
		Entry("one of another zone if those of the own couldn't help", hosts(far, avoid(near)), nil, "far"),
		Entry("one that couldn't help lately rather than one that is cut off", hosts(avoid(near), cutOff(far)), nil, "near"),
		Entry("one that is cut off if all are, as that may have ended", hosts(cutOff(near), cutOff(far)), nil, "near"),
		Entry("none if all were tried", hosts(near, far), []string{"near", "far"}, ""),
		Entry("one of another zone after one of the own", hosts(near, reach.Host{Name: "near2", Zone: "z"}, far), []string{"near"}, "far"),
		Entry("another of the own zone if there is no other zone", hosts(near, reach.Host{Name: "near2", Zone: "z"}), []string{"near"}, "near2"),
	)

	It("is spread by weight", func() {
		list := hosts(reach.Host{Name: "a", Weight: 1000}, reach.Host{Name: "b", Weight: 3000}, reach.Host{Name: "c"})
		counts := map[string]int{}
		for i := range 1000 {
			h, found := reach.Pick(list, "", nil, float64(i)/1000)
			Expect(found).To(BeTrue())
			counts[h.Name]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 200, "b": 600, "c": 200}))
	})
})
