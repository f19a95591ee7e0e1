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

// chunk is one case of a testdata file: a text whose lines may end in
// "### field: fault; remedy" for each problem expected at that line.
type chunk struct {
	name   string
	source string
	want   []string
}

func readChunks(file string) []chunk {
	content, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	var chunks []chunk
	for _, part := range strings.Split(string(content), "\n=== ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		one := chunk{name: name}
		var lines []string
		for i, line := range strings.Split(body, "\n") {
			marks := strings.Split(line, " ### ")
			lines = append(lines, marks[0])
			for _, mark := range marks[1:] {
				one.want = append(one.want, fmt.Sprintf("line %d: %s", i+1, mark))
			}
		}
		one.source = strings.Join(lines, "\n")
		chunks = append(chunks, one)
	}
	return chunks
}

func linesOf(problems services.Problems) []string {
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return lines
}

var _ = Describe("a text that breaks a rule", func() {
	It("is refused with line, field and remedy of each problem", func() {
		chunks := readChunks("testdata/refused.txt")
		Expect(chunks).To(HaveLen(16))
		for _, one := range chunks {
			Expect(one.want).NotTo(BeEmpty(), one.name)
			_, err := services.ParseStrict([]byte(one.source), 1)
			var problems services.Problems
			Expect(errors.As(err, &problems)).To(BeTrue(), one.name)
			Expect(linesOf(problems)).To(ConsistOf(one.want), one.name)
		}
	})

	It("is accepted with warnings where it may be meant", func() {
		chunks := readChunks("testdata/warned.txt")
		Expect(chunks).To(HaveLen(3))
		for _, one := range chunks {
			text, err := services.ParseStrict([]byte(one.source), 1)
			Expect(err).NotTo(HaveOccurred(), one.name)
			Expect(linesOf(text.Warnings())).To(ConsistOf(one.want), one.name)
		}
	})
})

// wanted is what the users' page says of a service.
type wanted struct {
	kind       services.Kind
	urgency    string
	weight     int
	dueHours   int
	idempotent bool
}

var _ = DescribeTable("the text of a user", func(source []byte, engines, plain int, want map[string]wanted) {
	text, err := services.ParseStrict(source, 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(text.Warnings()).To(BeEmpty())
	zones, count := map[string]int{}, map[services.Kind]int{}
	for _, b := range text.Backends() {
		zones[b.Zone]++
		count[b.Kind]++
	}
	Expect(zones).To(HaveLen(3))
	Expect(count).To(Equal(map[services.Kind]int{services.EngineKind: engines, services.PlainKind: plain}))
	Expect(text.Services()).To(HaveLen(len(want)))
	for name, w := range want {
		s, ok := text.Service(name)
		Expect(ok).To(BeTrue(), name)
		got := wanted{s.Kind, s.Urgency, s.Weight, s.DueHours, s.Idempotent}
		Expect(got).To(Equal(w), name)
	}
},
	Entry("Agency", examples.Agency, 12, 3, map[string]wanted{
		"village-requests-chat":  {services.EngineKind, "online", 50, 24, true},
		"route-summaries":        {services.EngineKind, "batch", 100, 10, true},
		"delivery-confirmations": {services.PlainKind, "online", 50, 24, false},
		"tank-requests":          {services.PlainKind, "online", 50, 24, false},
		"status-lookups":         {services.PlainKind, "online", 5, 24, true},
	}),
	Entry("Wielwerk", examples.Wielwerk, 12, 3, map[string]wanted{
		"fitter-advice":   {services.EngineKind, "online", 100, 24, true},
		"squeal-advice":   {services.EngineKind, "online", 50, 24, true},
		"fault-bundles":   {services.EngineKind, "batch", 50, 8, true},
		"fault-reports":   {services.PlainKind, "online", 80, 24, false},
		"parts-catalogue": {services.PlainKind, "online", 40, 24, true},
	}),
)
