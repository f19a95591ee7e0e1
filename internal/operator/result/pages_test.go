package result_test

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

var _ = Describe("docs/ERRORS.md", func() {
	It("lists every code with its status and name, and no other", func() {
		page, err := os.ReadFile("../../../docs/ERRORS.md")
		Expect(err).NotTo(HaveOccurred())
		var listed, want []string
		for line := range strings.Lines(string(page)) {
			cells := strings.Split(line, "|")
			if len(cells) > 4 && strings.Trim(strings.TrimSpace(cells[1]), "0123456789") == "" {
				listed = append(listed, strings.TrimSpace(cells[1])+" "+strings.TrimSpace(cells[2])+" "+strings.TrimSpace(cells[3]))
				Expect(strings.TrimSpace(cells[4])).NotTo(BeEmpty(), "what to do about "+cells[1])
			}
		}
		for _, code := range result.Codes() {
			want = append(want, fmt.Sprintf("%d %d %s", int(code), code.Status(), code))
		}
		Expect(listed).To(Equal(want))
	})
})
