package services_test

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// rows returns the cells of each table row of a page by its first cell.
func rows(file string) map[string][]string {
	content, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	found := make(map[string][]string)
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		if strings.HasPrefix(line, "| `") {
			found[cells[0]] = cells
		}
	}
	return found
}

var _ = Describe("docs/SERVICES.md", func() {
	It("lists every field of the code with its default and limits, and no other", func() {
		page := rows("../../../docs/SERVICES.md")
		var listed []string
		for field := range page {
			listed = append(listed, field)
		}
		Expect(listed).To(ConsistOf(services.Fields()))
		for _, field := range services.Fields() {
			r, ok := services.RangeOf(field)
			if !ok {
				continue
			}
			Expect(page[field][3]).To(Equal(fmt.Sprintf("%d to %d", r.Low, r.High)), field)
			if r.Default != 0 {
				Expect(page[field][2]).To(HavePrefix(fmt.Sprint(r.Default)), field)
			}
		}
	})
})
