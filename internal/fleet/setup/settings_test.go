package setup_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
)

func TestParse(t *testing.T) {
	g := NewWithT(t)
	script, err := os.ReadFile("testdata/refused.txt")
	g.Expect(err).NotTo(HaveOccurred())
	_, cases, _ := strings.Cut(string(script), "\n")
	for _, one := range strings.Split(cases, "\n---\n") {
		source, want, found := strings.Cut(one, "\n=> ")
		g.Expect(found).To(BeTrue(), one)
		_, err := setup.Parse([]byte(source))
		got := "ok"
		if err != nil {
			got = err.Error()
		}
		g.Expect(got).To(Equal(strings.TrimSpace(want)), source)
	}
}
