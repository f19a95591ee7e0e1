package revision_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
)

// longestCommon is the textbook table for the longest common subsequence.
func longestCommon(a, b []string) int {
	table := make([][]int, len(a)+1)
	for i := range table {
		table[i] = make([]int, len(b)+1)
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			table[i][j] = max(table[i-1][j], table[i][j-1])
			if a[i-1] == b[j-1] {
				table[i][j] = max(table[i][j], table[i-1][j-1]+1)
			}
		}
	}
	return table[len(a)][len(b)]
}

// subsequence reports whether part stands in whole in order.
func subsequence(part, whole []string) bool {
	for _, line := range whole {
		if len(part) > 0 && part[0] == line {
			part = part[1:]
		}
	}
	return len(part) == 0
}

var _ = Describe("a difference", func() {
	It("is as short as the naive table's", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			line := rapid.StringMatching("[abc]")
			a := rapid.SliceOfN(line, 1, 12).Draw(t, "a")
			b := rapid.SliceOfN(line, 1, 12).Draw(t, "b")
			var gone, came []string
			for edit := range strings.SplitSeq(revision.Diff(strings.Join(a, "\n"), strings.Join(b, "\n")), "\n") {
				if text, ok := strings.CutPrefix(edit, "- "); ok {
					gone = append(gone, text)
				} else if text, ok := strings.CutPrefix(edit, "+ "); ok {
					came = append(came, text)
				}
			}
			common := longestCommon(a, b)
			if len(gone) != len(a)-common || len(came) != len(b)-common {
				t.Fatalf("%d lines went and %d came, %d are common", len(gone), len(came), common)
			}
			if !subsequence(gone, a) || !subsequence(came, b) {
				t.Fatalf("%v of %v, %v of %v", gone, a, came, b)
			}
		})
		Expect(revision.Diff("x", "x")).To(BeEmpty())
	})
})
