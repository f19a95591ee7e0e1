package answers_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/answers"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// at returns a line as it is merged: time in seconds, host, message and fields.
func at(seconds float64, host, message, fields string) string {
	return fmt.Sprintf(`%9.4f %s {"level":"info","ts":"2026-07-15T19:12:28Z","msg":%q,"job":"j"%s}`, seconds, host, message, fields)
}

// page returns the line of a page of a job of 9 items.
func page(seconds float64, host string, after, results, ageMS int, list string) string {
	return at(seconds, host, "answer told", fmt.Sprintf(
		`,"asked":"results","after":%d,"caller":true,"status":"ok","results":%d,"total":9,"list":%q,"age_ms":%d,"source":"memory","skipped":0`, after, results, list, ageMS))
}

func notFound(seconds float64, host, asked string, ageMS int) string {
	return at(seconds, host, "answer told", fmt.Sprintf(
		`,"asked":%q,"after":0,"caller":true,"status":%q,"results":0,"total":0,"list":"0","age_ms":%d,"source":"store","skipped":0`, asked, result.NotFound.String(), ageMS))
}

func listed(seconds float64, host string, n int) string {
	return at(seconds, host, "results listed", fmt.Sprintf(`,"added":1,"listed":%d,"total":9,"ended":false,"revision":7`, n))
}

func listedAt(seconds float64, host string, revision int, ended bool) string {
	return at(seconds, host, "results listed", fmt.Sprintf(`,"added":0,"listed":0,"total":9,"ended":%t,"revision":%d`, ended, revision))
}

func ended(seconds float64, host string, revision int) string {
	return at(seconds, host, "job ended for its owner", fmt.Sprintf(`,"owner":"a","revision":%d`, revision))
}

func accepted(seconds float64, host string) string {
	return at(seconds, host, "job accepted", `,"route":"r","items":9,"tokens":90,"revision":5`)
}

func takenOver(seconds float64, host string, n int) string {
	return at(seconds, host, "job taken over", fmt.Sprintf(`,"from":"a","released":true,"listed":%d,"total":9,"revision":8`, n))
}

func removed(seconds float64, host string) string {
	return at(seconds, host, "job removed", `,"accepted":"2026-07-15T19:12:28Z"`)
}

// judge returns the report of lines.
func judge(tolerance time.Duration, lines ...string) answers.Report {
	j := answers.Judge{Tolerance: tolerance}
	Expect(j.Read(strings.NewReader(strings.Join(lines, "\n")+"\n"), "file")).To(Succeed())
	return j.Report()
}

func kinds(r answers.Report) []answers.Kind {
	var list []answers.Kind
	for _, c := range r.Contradictions {
		list = append(list, c.Kind)
	}
	return list
}

var _ = Describe("the judge of answers", func() {
	DescribeTable("finds answers that other lines contradict, and no others",
		func(want []answers.Kind, lines ...string) {
			Expect(kinds(judge(0, lines...))).To(Equal(want))
		},

		Entry("a denial of what another host told", []answers.Kind{answers.Denied},
			page(1, "a", 0, 3, 0, "x"), takenOver(5, "c", 3), page(1.5, "b", 2, 0, 0, "e")),
		Entry("a denial of what another host told and had listed", []answers.Kind{answers.Denied, answers.Listed},
			listed(0, "a", 3), page(1, "a", 0, 3, 0, "x"), page(1.5, "b", 2, 0, 0, "e")),
		Entry("a denial of what the same host told", []answers.Kind{answers.Denied},
			takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x"), page(1.5, "a", 0, 0, 0, "e")),
		Entry("a denial that is known just after the page", []answers.Kind{answers.Denied},
			takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x"), page(1.3, "b", 2, 0, 298, "e")),
		Entry("a denial that is known at the time of the page", nil,
			takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x"), page(1.3, "b", 2, 0, 300, "e")),
		Entry("a denial that is known less than the resolution later", nil,
			takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x"), page(1.0009, "b", 2, 0, 0, "e")),
		Entry("a denial that is known before the page and told long after it", nil,
			takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x"), page(3, "b", 2, 0, 2001, "e")),
		Entry("a denial of the position after the page", nil,
			takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x"), page(1.5, "b", 3, 0, 0, "e")),
		Entry("a denial of the position before the page", nil,
			takenOver(5, "c", 3), page(1, "a", 2, 1, 0, "x"), page(1.5, "b", 1, 0, 0, "e")),
		Entry("the end of all results", nil,
			listed(0, "a", 9), page(1, "a", 0, 9, 0, "x"), page(1.5, "b", 9, 0, 0, "e")),
		Entry("a denial before the page, whose line comes first", nil,
			page(0.5, "b", 2, 0, 0, "e"), takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x")),
		Entry("a denial after the page, whose line comes first", []answers.Kind{answers.Denied},
			page(1.5, "b", 2, 0, 0, "e"), takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x")),

		Entry("a denial of what another host listed", []answers.Kind{answers.Listed},
			listed(1, "a", 3), page(1.5, "b", 2, 0, 0, "e")),
		Entry("a denial of what the record held at a take-over", []answers.Kind{answers.Listed},
			takenOver(1, "a", 3), page(1.5, "b", 2, 0, 0, "e")),
		Entry("a denial that is known before the listing", nil,
			listed(1, "a", 3), page(1.5, "b", 2, 0, 501, "e")),
		Entry("a denial of the position after the listing", nil,
			listed(1, "a", 3), page(1.5, "b", 3, 0, 0, "e")),
		Entry("a denial of what an earlier listing held, after a later one", []answers.Kind{answers.Listed},
			listed(1, "a", 3), listed(2, "a", 5), page(1.5, "b", 2, 0, 0, "e")),
		Entry("a denial between two listings", nil,
			listed(1, "a", 3), listed(2, "a", 5), page(1.5, "b", 3, 0, 0, "e")),

		Entry("a job that is unknown after it was accepted", []answers.Kind{answers.Unknown}, accepted(1, "a"), notFound(1.5, "b", "results", 0)),
		Entry("an end of a job that is unknown after it was accepted", []answers.Kind{answers.Unknown}, accepted(1, "a"), notFound(1.5, "b", "end", 20)),
		Entry("a job that is unknown after it was told of", []answers.Kind{answers.Unknown}, page(1, "a", 0, 0, 0, "e"), notFound(1.5, "b", "results", 0)),
		Entry("a job that is unknown as of a time before it was accepted", nil, accepted(1, "a"), notFound(1.5, "b", "results", 501)),
		Entry("a body that is not found", nil, accepted(1, "a"), notFound(1.5, "b", "body", 0)),
		Entry("a job that is unknown and never was known", nil, notFound(1.5, "b", "results", 0)),
		Entry("a job that is unknown after its removal", nil, accepted(1, "a"), removed(200, "a"), notFound(200.5, "b", "results", 0)),
		Entry("a job that is unknown just before the line of its removal", nil, accepted(1, "a"), notFound(199.5, "b", "results", 0), removed(200, "a")),
		Entry("a job that is unknown long before its removal", []answers.Kind{answers.Unknown}, accepted(1, "a"), notFound(180, "b", "results", 0), removed(200, "a")),
		Entry("a job that is unknown after a removal that may have failed", nil,
			accepted(1, "a"), at(200, "a", "job not removed", `,"cause":"c"`), notFound(200.5, "b", "results", 0)),
		Entry("a job that is unknown after it was accepted again", []answers.Kind{answers.Unknown},
			accepted(1, "a"), removed(200, "a"), accepted(201, "b"), notFound(202, "c", "results", 0)),
		Entry("a job that is unknown after it was accepted again, just before the line of its removal", []answers.Kind{answers.Unknown},
			accepted(1, "a"), accepted(199.5, "b"), removed(200, "a"), notFound(202, "c", "results", 0)),

		Entry("a new life that shows less than the one before", nil,
			accepted(1, "a"), listed(2, "a", 9), page(3, "a", 0, 9, 0, "x"), removed(200, "a"), accepted(201, "b"), page(202, "b", 0, 0, 0, "e"), listed(203, "b", 9), page(204, "b", 0, 9, 0, "y")),
		Entry("a denial of what a new life told", []answers.Kind{answers.Denied},
			accepted(1, "a"), removed(200, "a"), accepted(201, "b"), takenOver(210, "c", 3), page(202, "b", 0, 3, 0, "x"), page(203, "b", 0, 0, 0, "e")),

		Entry("two pages of the same positions that differ", []answers.Kind{answers.Changed},
			listed(0, "a", 3), page(1, "a", 0, 3, 0, "x"), page(2, "b", 0, 3, 0, "y")),
		Entry("two pages of the same positions that are equal", nil,
			listed(0, "a", 3), page(1, "a", 0, 3, 0, "x"), page(2, "b", 0, 3, 0, "x")),
		Entry("two pages of different positions", nil,
			listed(0, "a", 3), page(1, "a", 0, 3, 0, "x"), page(2, "b", 0, 2, 0, "y"), page(3, "b", 1, 2, 0, "z")),

		Entry("a page with more than any record held", []answers.Kind{answers.Unlisted}, listed(0, "a", 3), page(1, "a", 2, 2, 0, "x")),
		Entry("a page of a job that no record held results of", []answers.Kind{answers.Unlisted}, accepted(0, "a"), page(1, "a", 0, 1, 0, "x")),
		Entry("a page with as much as the record held", nil, listed(0, "a", 3), page(1, "a", 2, 1, 0, "x")),
		Entry("a page whose listing has a later line", nil, listed(0, "a", 3), page(1, "b", 2, 2, 0, "x"), listed(2, "a", 4)),
		Entry("a page whose listing had no reply, which its owner finds later", nil,
			listed(0, "a", 3), page(1, "b", 2, 2, 0, "x"), at(2, "a", "job lost", `,"cause":"its record lists further results","listed":4`)),
		Entry("a page whose listing is found at a take-over", nil, listed(0, "a", 3), page(1, "b", 2, 2, 0, "x"), takenOver(20, "c", 4)),
	)

	DescribeTable("finds an end that is undone",
		func(want []answers.Kind, lines ...string) {
			Expect(kinds(judge(0, append(lines, accepted(0, "a"))...))).To(Equal(want))
		},
		Entry("by a listing that took its record for its own", []answers.Kind{answers.Undone}, ended(1, "a", 9), listedAt(2, "a", 9, false)),
		Entry("by a later listing", []answers.Kind{answers.Undone}, ended(1, "b", 9), listedAt(2, "a", 12, false)),
		Entry("by its owner", []answers.Kind{answers.Undone}, listedAt(1, "a", 9, true), listedAt(2, "a", 12, false)),
		Entry("not by a listing before it whose line comes later", nil, ended(1, "b", 9), listedAt(2, "a", 8, false)),
		Entry("not by a listing that keeps it", nil, ended(1, "b", 9), listedAt(2, "a", 12, true)),
		Entry("not by the next job of its ID", nil, ended(1, "b", 9), removed(200, "a"), accepted(201, "b"), listedAt(202, "b", 40, false)),
	)

	DescribeTable("does not judge unlisted pages if a listing's line may be missing",
		func(judged bool, line ...string) {
			r := judge(0, append(line, accepted(0, "a"), listed(1, "a", 3), page(2, "b", 0, 4, 0, "x"))...)
			if judged {
				Expect(kinds(r)).To(Equal([]answers.Kind{answers.Unlisted}))
				Expect(r.NotJudged).To(BeZero())
				return
			}
			Expect(r.Contradictions).To(BeEmpty())
			Expect(r.NotJudged).To(Equal(1))
		},
		Entry("with all lines", true),
		Entry("with lines that a host left out", false, at(3, "b", "log lines dropped", `,"lines":2`)),
		Entry("with answers without a line", false, strings.Replace(page(3, "b", 5, 0, 0, "e"), `"skipped":0`, `"skipped":4`, 1)),
		Entry("with an owner that was silent", false, at(3, "b", "host seen", `,"host":"a","live":false`)),
		Entry("with an owner that was silent and went on", true, at(3, "b", "host seen", `,"host":"a","live":false`), at(3.1, "a", "host seen", `,"host":"b","live":true`)),
		Entry("with an owner that was silent after its stop", true, at(3, "a", "stopped", ""), at(4, "b", "host seen", `,"host":"a","live":false`)),
		Entry("with an owner that was heard", true, at(3, "b", "host seen", `,"host":"a","live":true`)),
		Entry("with another host that was silent", true, at(3, "b", "host seen", `,"host":"c","live":false`)),
		Entry("with an owner that started again without a stop", false, at(-1, "a", "started", `,"host":"a"`), at(3, "a", "started", `,"host":"a"`)),
		Entry("with an owner that started again after a stop", true, at(-1, "a", "started", `,"host":"a"`), at(3, "a", "stopped", ""), at(4, "a", "started", `,"host":"a"`)),
	)

	It("allows for clocks that differ", func() {
		lines := []string{takenOver(5, "c", 3), page(1, "a", 0, 3, 0, "x"), page(1.5, "b", 2, 0, 0, "e")}
		Expect(judge(490*time.Millisecond, lines...).Contradictions).To(HaveLen(1))
		Expect(judge(500*time.Millisecond, lines...).Contradictions).To(BeEmpty())
	})

	It("says how late a denial is, and which host showed what it denies", func() {
		r := judge(0, takenOver(5, "c", 3), page(0.5, "a", 0, 1, 0, "w"), page(1, "a", 0, 3, 0, "x"), page(1.2, "c", 2, 1, 0, "y"), page(2.3, "b", 2, 0, 100, "e"))
		Expect(r.Contradictions).To(HaveLen(1))
		Expect(r.Contradictions[0].Late).To(Equal(1200 * time.Millisecond))
		Expect(r.Contradictions[0].ToldLate()).To(Equal(1300 * time.Millisecond))
		Expect(r.Contradictions[0].String()).To(Equal("denied: job j: 2.3000 b told no result at position 2 of 9, from memory, known 100 ms before; " +
			"but 1.0000 a told 3 results from position 0 on of 9, from memory, checksum x, 1.2000 s before that was known"))
		Expect(r.PastSettle).To(Equal(1))
	})

	It("counts what it judged, and what is missing", func() {
		r := judge(0, accepted(0, "a"), listed(0, "a", 2), listed(1, "a", 3), page(1, "a", 0, 3, 0, "x"), page(2, "a", 2, 1, 0, "y"),
			page(0.9, "b", 2, 0, 0, "e"), page(0.1, "b", 1, 0, 200, "e"), notFound(3, "b", "body", 0), notFound(0.1, "b", "end", 200),
			at(3, "b", "log lines dropped", `,"lines":2`), `    3.0000 b {"level":"info","ts":"2026-07-15T19:12:28Z","msg":"answer to`+`{"level":"info","ts":"2026-07-15T19:12:28Z","msg":"results listed","jo`)
		Expect(r.Contradictions).To(BeEmpty())
		Expect(r).To(Equal(answers.Report{Pages: 4, Denials: 2, Unknown: 1, ShownPairs: 3, ListedPairs: 3, Dropped: 2, Unreadable: 2}))
	})

	It("reads the output of processes, one file a host", func() {
		line := func(clock, message, fields string) string {
			return fmt.Sprintf(`{"level":"info","ts":"2026-12-06T19:00:%sZ","msg":%q%s}`, clock, message, fields) + "\n"
		}
		var j answers.Judge
		Expect(j.Read(strings.NewReader("no line of the program\n"+line("01.0001", "started", `,"host":"host-a"`)+
			line("02.5", "answer told", `,"job":"j","asked":"results","after":0,"status":"ok","results":1,"total":9,"list":"x","age_ms":0,"source":"memory"`)), "file")).To(Succeed())
		Expect(j.Read(strings.NewReader(line("04.5004", "answer told", `,"job":"j","asked":"results","after":0,"status":"ok","results":0,"total":9,"list":"x","age_ms":1500,"source":"store"`)+
			line("05", "job taken over", `,"job":"j","listed":1,"total":9`)), "host-b")).To(Succeed())
		r := j.Report()
		Expect(r.Contradictions).To(HaveLen(1))
		Expect(r.Contradictions[0].String()).To(Equal("denied: job j: 2026-12-06T19:00:04.500400Z host-b told no result at position 0 of 9, from store, known 1500 ms before; " +
			"but 2026-12-06T19:00:02.500000Z host-a told 1 results from position 0 on of 9, from memory, checksum x, 0.5004 s before that was known"))
	})
})
