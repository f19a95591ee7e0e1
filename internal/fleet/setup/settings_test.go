package setup_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
)

func TestParse(t *testing.T) {
	runScript(t, "testdata/refused.txt", func(source []byte) error {
		_, err := setup.Parse(source)
		return err
	})
}

func TestParseEntry(t *testing.T) {
	runScript(t, "testdata/entry.txt", func(source []byte) error {
		_, err := setup.ParseEntry(source, false)
		return err
	})
	g := NewWithT(t)
	_, err := setup.ParseEntry([]byte(`{"name": "disk-1", "zone": "a", "store_address": "10.9.0.1:4"}`), true)
	g.Expect(err).NotTo(HaveOccurred(), "a disk host has no address for callers")
}

// runScript parses each case of a script file and compares the error with the
// expected one.
func runScript(t *testing.T, file string, parse func([]byte) error) {
	g := NewWithT(t)
	script, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	_, cases, _ := strings.Cut(string(script), "\n")
	for _, testCase := range strings.Split(cases, "\n---\n") {
		source, want, found := strings.Cut(testCase, "\n=> ")
		g.Expect(found).To(BeTrue(), testCase)
		err := parse([]byte(source))
		got := "ok"
		if err != nil {
			got = err.Error()
		}
		g.Expect(got).To(Equal(strings.TrimSpace(want)), source)
	}
}
