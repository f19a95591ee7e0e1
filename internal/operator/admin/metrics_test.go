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

// namesIn returns the metric names in the files below root.
func namesIn(root string, keep func(path string) bool) []string {
	var names []string
	Expect(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !keep(path) {
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
		listed := namesIn("../../../docs/METRICS.md", func(string) bool { return true })
		Expect(listed).To(Equal(namesIn("../..", func(path string) bool {
			return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		})))
	})
})
