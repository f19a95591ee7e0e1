package admin_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var metricName = regexp.MustCompile(`kingcupquay_[a-z0-9_]+`)

// metricNamesIn returns the sorted metric names in the files below root, limited
// to paths for which include returns true.
func metricNamesIn(root string, include func(path string) bool) []string {
	var names []string
	Expect(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !include(path) {
			return err
		}
		content, err := os.ReadFile(path)
		names = append(names, metricName.FindAllString(string(content), -1)...)
		return err
	})).To(Succeed())
	slices.Sort(names)
	return slices.Compact(names)
}

var _ = Describe("docs/METRICS.md", func() {
	It("lists every metric of the code, and no other", func() {
		listed := metricNamesIn("../../../docs/METRICS.md", func(string) bool { return true })
		Expect(listed).To(Equal(metricNamesIn("../..", func(path string) bool {
			return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		})))
	})
})
