package jobstate_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

// The record of a job counts all results of a write as stored, and a write stores
// one part.
var _ = DescribeTable("the results of one write fit into one part", func(size, all int) {
	results := make([]jobstate.Result, all)
	for i := range results {
		results[i] = jobstate.Result{ID: fmt.Sprintf("item-%d", i), Done: true, Text: make([]byte, size)}
	}
	stored := 0
	for rest := results; len(rest) > 0; {
		picked, _ := jobstate.FirstPart(rest)
		Expect(picked).NotTo(BeEmpty())
		parts, err := jobstate.SplitResults(picked)
		Expect(err).NotTo(HaveOccurred())
		Expect(parts).To(HaveLen(1))
		list, err := jobstate.DecodeResults(parts[0])
		Expect(err).NotTo(HaveOccurred())
		stored += len(list)
		rest = rest[len(picked):]
	}
	Expect(stored).To(Equal(all))
},
	Entry("of 1,000 bytes", 1000, 3000),
	Entry("of 4,000 bytes", 4000, 500),
	Entry("of 20,000 bytes", 20_000, 100),
	Entry("each larger than a part", jobstate.PartBytes+1, 3),
)
