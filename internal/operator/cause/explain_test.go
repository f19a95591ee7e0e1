package cause_test

import (
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// failure is one case of testdata/failures.txt.
type failure struct {
	name, why string
	events    []cause.Event
	links     map[string][]cause.Link
	// kind and text are what the root has to hold.
	kind, text string
}

func readFailures() []failure {
	content, err := os.ReadFile("testdata/failures.txt")
	Expect(err).NotTo(HaveOccurred())
	var list []failure
	for _, part := range strings.Split(string(content), "\n=== ")[1:] {
		lines := strings.Split(strings.TrimSpace(part), "\n")
		f := failure{name: lines[0], links: make(map[string][]cause.Link)}
		for _, line := range lines[1:] {
			f.read(line)
		}
		list = append(list, f)
	}
	return list
}

func (f *failure) read(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "":
	case "link":
		from, to, _ := strings.Cut(rest, " > ")
		f.links[from] = append(f.links[from], cause.Link{To: to, Reason: "needs"})
	case "why":
		f.why = rest
	case "root":
		f.kind, f.text, _ = strings.Cut(rest, " | ")
	default:
		seconds, err := strconv.Atoi(word)
		Expect(err).NotTo(HaveOccurred(), line)
		fields := strings.Split(rest, " | ")
		Expect(fields).To(HaveLen(4), line)
		f.events = append(f.events, cause.Event{
			At: start.Add(time.Duration(seconds) * time.Second), Host: fields[0], Kind: fields[1], Cause: fields[2],
			Subjects: strings.Split(fields[3], ","),
		})
	}
}

var _ = Describe("an explanation", func() {
	It("names the cause of each failure first", func() {
		list := readFailures()
		Expect(list).To(HaveLen(15))
		for _, f := range list {
			answer := cause.Explain(f.why, f.events, func(subject string) []cause.Link { return f.links[subject] })
			Expect(answer.Root).NotTo(BeNil(), f.name)
			Expect(answer.Root.Kind).To(HavePrefix(f.kind), f.name)
			Expect(answer.Root.Cause).To(ContainSubstring(f.text), f.name)
			Expect(answer.Sentences()[0]).To(HavePrefix("most likely cause: 2026-01-01 00:0"), f.name)
		}
	})

	It("says so when nothing is known", func() {
		answer := cause.Explain("req-0", nil, func(string) []cause.Link { return nil })
		Expect(answer.Sentences()).To(Equal([]string{"nothing is known about req-0"}))
	})

	// The day had, in order: servers that fell silent together with a store that
	// was reset (0.5 s on), and a zone with host h-c-1 cut off (33.5 s on).
	DescribeTable("names what was injected from the lines of a played day alone", func(subject, kind, text string) {
		var events []cause.Event
		for _, host := range []string{"h-a-1", "h-b-1", "h-b-2", "h-c-1"} {
			file, err := os.Open("testdata/lines/" + host + ".log")
			Expect(err).NotTo(HaveOccurred())
			found, others, err := cause.ReadLines(file, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(file.Close()).To(Succeed())
			Expect(others).To(BeZero())
			Expect(found[0].Host).To(Equal(host), "the line of the start names it")
			events = append(events, found...)
		}
		answer := cause.ExplainLines(subject, events)
		Expect(answer.Root).NotTo(BeNil())
		Expect(answer.Root.Kind + ": " + answer.Root.Cause + " " + strings.Join(answer.Root.Subjects, " ")).To(And(HavePrefix(kind), ContainSubstring(text)))
	},
		Entry("of a job that was refused", "055bec94ce9f31c8", "store lost", "connection reset by peer"),
		Entry("of a stream that went on elsewhere", "313520dbc06a3a7c", "moved", "i-9ee1aa15e1 fell silent"),
		Entry("of a job that changed its owner", "81ce9b3075b6b21c", "host silent", "h-c-1"),
		Entry("of a host that was cut off", "h-c-1", "host silent", "h-c-1"),
	)

	It("leaves out lines that are not the product's, and counts them", func() {
		events, others, err := cause.ReadLines(strings.NewReader("panic: x\n{}\n"+
			`{"ts":"2026-01-01T00:00:00Z","msg":"refused","request":"r1","cause":"overloaded"}`+"\n"), "h1")
		Expect(err).NotTo(HaveOccurred())
		Expect(others).To(Equal(2))
		Expect(events).To(ConsistOf(cause.Event{At: start, Host: "h1", Kind: "refused", Cause: "overloaded", Subjects: []string{"request/r1"}}))
	})

	It("leaves out what happened to other callers", func() {
		list := readFailures()
		first := list[0]
		answer := cause.Explain(first.why, first.events, func(subject string) []cause.Link { return first.links[subject] })
		for _, step := range answer.Chain {
			Expect(step.Subjects).NotTo(ContainElement("req-5"))
		}
	})
})

var _ = Describe("transitions", func() {
	kinds := func(notes []cause.Note) []string {
		var list []string
		for _, n := range notes {
			list = append(list, n.Kind+" "+n.Subjects[0])
		}
		return list
	}

	It("note lost hosts of the own zone and other zones that are cut off, once", func() {
		t := cause.NewHostTransitions("a")
		update := func(second int, a2, b, c bool) []string {
			now := start.Add(time.Duration(second) * time.Second)
			heard := func(is bool) time.Time {
				if is {
					return now
				}
				return start
			}
			return kinds(t.Update(now, []cause.HostState{
				{Name: "a2", Zone: "a", Alive: a2}, {Name: "b1", Zone: "b", Heard: heard(b)}, {Name: "b2", Zone: "b", Heard: start},
				{Name: "c1", Zone: "c", Heard: heard(c)},
			}))
		}
		Expect(update(0, true, true, true)).To(BeEmpty())
		Expect(update(1, false, true, true)).To(Equal([]string{"host lost a2"}))
		Expect(update(6, false, false, false)).To(BeEmpty(), "three seconds for each other zone")
		Expect(update(7, false, false, false)).To(Equal([]string{"zone cut off b", "host lost c1"}))
		Expect(update(8, false, false, false)).To(BeEmpty())
		Expect(update(9, true, true, true)).To(Equal([]string{"host back a2", "zone reachable b", "zone reachable c"}))
	})

	It("note a store that goes, comes back, is slow and loses replies", func() {
		var t cause.StoreTransitions
		end := func(outcome cause.Outcome, took time.Duration) []string {
			return kinds(t.Ended(start, outcome, took, "fault"))
		}
		Expect(end(cause.Unreachable, 0)).To(BeEmpty())
		Expect(end(cause.Answered, 0)).To(BeEmpty())
		Expect(end(cause.ReplyLost, 0)).To(Equal([]string{"platform reply lost platform"}))
		Expect(end(cause.Unreachable, 0)).To(BeEmpty())
		Expect(end(cause.Unreachable, 0)).To(Equal([]string{"platform store unreachable platform"}))
		Expect(end(cause.Unreachable, 0)).To(BeEmpty())
		Expect(end(cause.Answered, 0)).To(Equal([]string{"platform store reachable platform"}))
		Expect(end(cause.Answered, 2*time.Second)).To(BeEmpty())
		Expect(end(cause.Answered, 2*time.Second)).To(BeEmpty())
		Expect(end(cause.Answered, 2*time.Second)).To(Equal([]string{"platform store slow platform"}))
		Expect(end(cause.Answered, time.Millisecond)).To(Equal([]string{"platform store fast again platform"}))
	})
})

var _ = Describe("a ring", func() {
	It("bounds a flood of one kind and counts what it left out", func() {
		now := start
		r := cause.NewRing("h1", func() time.Time { return now })
		for range 500 {
			r.Note("attempt failed", "x", "req-1")
		}
		r.Note("host lost", "y", "h2")
		Expect(r.AboutAny([]string{"req-1", "h2"}, 1000)).To(HaveLen(51))
		now = now.Add(time.Second)
		r.Note("attempt failed", "x", "req-2")
		Expect(r.About("", 2)[0].Cause).To(Equal("450 more of this kind were not kept"))
	})
})
