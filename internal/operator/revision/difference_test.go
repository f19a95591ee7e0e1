package revision_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
)

// longestCommonSubsequence returns the length of the longest common subsequence
// by dynamic programming.
func longestCommonSubsequence(a, b []string) int {
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

// isSubsequence reports whether part is a subsequence of whole.
func isSubsequence(part, whole []string) bool {
	for _, line := range whole {
		if len(part) > 0 && part[0] == line {
			part = part[1:]
		}
	}
	return len(part) == 0
}

var _ = Describe("a difference", func() {
	It("is as short as dynamic programming allows", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			line := rapid.StringMatching("[abc]")
			a := rapid.SliceOfN(line, 1, 12).Draw(t, "a")
			b := rapid.SliceOfN(line, 1, 12).Draw(t, "b")
			var removed, added []string
			for edit := range strings.SplitSeq(revision.Diff(strings.Join(a, "\n"), strings.Join(b, "\n")), "\n") {
				if text, ok := strings.CutPrefix(edit, "- "); ok {
					removed = append(removed, text)
				} else if text, ok := strings.CutPrefix(edit, "+ "); ok {
					added = append(added, text)
				}
			}
			common := longestCommonSubsequence(a, b)
			if len(removed) != len(a)-common || len(added) != len(b)-common {
				t.Fatalf("%d lines removed, %d added, %d in common", len(removed), len(added), common)
			}
			if !isSubsequence(removed, a) || !isSubsequence(added, b) {
				t.Fatalf("removed %v from %v, added %v to reach %v", removed, a, added, b)
			}
		})
		Expect(revision.Diff("x", "x")).To(BeEmpty())
	})
})
