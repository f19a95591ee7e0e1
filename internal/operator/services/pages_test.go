package services_test

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// tableRows returns the cells of each table row in file, keyed by the first
// cell.
func tableRows(file string) map[string][]string {
	content, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	cellsByField := make(map[string][]string)
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		if strings.HasPrefix(line, "| `") {
			cellsByField[cells[0]] = cells
		}
	}
	return cellsByField
}

var _ = Describe("docs/SERVICES.md", func() {
	It("lists exactly the fields in the code, with their defaults and limits", func() {
		page := tableRows("../../../docs/SERVICES.md")
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
