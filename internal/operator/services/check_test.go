package services_test

import (
	"errors"
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// testCase is one case of a testdata file: a text in which "### field: fault;
// remedy" at the end of a line marks a problem expected there.
type testCase struct {
	name   string
	source string
	want   []string
}

func readTestCases(file string) []testCase {
	content, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	var cases []testCase
	for _, part := range strings.Split(string(content), "\n=== ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		c := testCase{name: name}
		var lines []string
		for i, line := range strings.Split(body, "\n") {
			marks := strings.Split(line, " ### ")
			lines = append(lines, marks[0])
			for _, mark := range marks[1:] {
				c.want = append(c.want, fmt.Sprintf("line %d: %s", i+1, mark))
			}
		}
		c.source = strings.Join(lines, "\n")
		cases = append(cases, c)
	}
	return cases
}

func problemLines(problems services.Problems) []string {
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return lines
}

var _ = Describe("text validation", func() {
	It("rejects an invalid text with line, field and remedy of each problem", func() {
		cases := readTestCases("testdata/refused.txt")
		Expect(cases).To(HaveLen(16))
		for _, c := range cases {
			Expect(c.want).NotTo(BeEmpty(), c.name)
			_, err := services.ParseStrict([]byte(c.source), 1)
			var problems services.Problems
			Expect(errors.As(err, &problems)).To(BeTrue(), c.name)
			Expect(problemLines(problems)).To(ConsistOf(c.want), c.name)
		}
	})

	It("accepts an unusual text with warnings", func() {
		cases := readTestCases("testdata/warned.txt")
		Expect(cases).To(HaveLen(3))
		for _, c := range cases {
			text, err := services.ParseStrict([]byte(c.source), 1)
			Expect(err).NotTo(HaveOccurred(), c.name)
			Expect(problemLines(text.Warnings())).To(ConsistOf(c.want), c.name)
		}
	})
})

// serviceSettings holds the settings expected of one service.
type serviceSettings struct {
	kind       services.Kind
	urgency    string
	weight     int
	dueHours   int
	idempotent bool
}

var _ = DescribeTable("an example text", func(source []byte, engines, plain int, want map[string]serviceSettings) {
	text, err := services.ParseStrict(source, 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(text.Warnings()).To(BeEmpty())
	zones, kinds := map[string]int{}, map[services.Kind]int{}
	for _, b := range text.Backends() {
		zones[b.Zone]++
		kinds[b.Kind]++
	}
	Expect(zones).To(HaveLen(3))
	Expect(kinds).To(Equal(map[services.Kind]int{services.EngineKind: engines, services.PlainKind: plain}))
	Expect(text.Services()).To(HaveLen(len(want)))
	for name, w := range want {
		s, ok := text.Service(name)
		Expect(ok).To(BeTrue(), name)
		got := serviceSettings{s.Kind, s.Urgency, s.Weight, s.DueHours, s.Idempotent}
		Expect(got).To(Equal(w), name)
	}
},
	Entry("Agency", examples.Agency, 12, 3, map[string]serviceSettings{
		"village-requests-chat":  {services.EngineKind, "online", 50, 24, true},
		"route-summaries":        {services.EngineKind, "batch", 100, 10, true},
		"delivery-confirmations": {services.PlainKind, "online", 50, 24, false},
		"tank-requests":          {services.PlainKind, "online", 50, 24, false},
		"status-lookups":         {services.PlainKind, "online", 5, 24, true},
	}),
	Entry("Wielwerk", examples.Wielwerk, 12, 3, map[string]serviceSettings{
		"fitter-advice":   {services.EngineKind, "online", 100, 24, true},
		"squeal-advice":   {services.EngineKind, "online", 50, 24, true},
		"fault-bundles":   {services.EngineKind, "batch", 50, 8, true},
		"fault-reports":   {services.PlainKind, "online", 80, 24, false},
		"parts-catalogue": {services.PlainKind, "online", 40, 24, true},
	}),
)
