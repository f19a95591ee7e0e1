package cause_test

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// failureCase is one case of testdata/failures.txt.
type failureCase struct {
	name, why string
	events    []cause.Event
	links     map[string][]cause.Link
	// kind is the expected prefix of the root's kind, text a part of its cause.
	kind, text string
}

func readFailureCases() []failureCase {
	content, err := os.ReadFile("testdata/failures.txt")
	Expect(err).NotTo(HaveOccurred())
	var list []failureCase
	for _, part := range strings.Split(string(content), "\n=== ")[1:] {
		lines := strings.Split(strings.TrimSpace(part), "\n")
		f := failureCase{name: lines[0], links: make(map[string][]cause.Link)}
		for _, line := range lines[1:] {
			f.parseLine(line)
		}
		list = append(list, f)
	}
	return list
}

func (f *failureCase) parseLine(line string) {
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
	It("starts with the cause of each failure", func() {
		list := readFailureCases()
		Expect(list).To(HaveLen(15))
		for _, f := range list {
			answer := cause.Explain(f.why, f.events, func(subject string) []cause.Link { return f.links[subject] })
			Expect(answer.Root).NotTo(BeNil(), f.name)
			Expect(answer.Root.Kind).To(HavePrefix(f.kind), f.name)
			Expect(answer.Root.Cause).To(ContainSubstring(f.text), f.name)
			Expect(answer.Sentences()[0]).To(HavePrefix("most likely cause: 2026-01-01 00:0"), f.name)
		}
	})

	It("states that nothing is known if there are no events", func() {
		answer := cause.Explain("req-0", nil, func(string) []cause.Link { return nil })
		Expect(answer.Sentences()).To(Equal([]string{"nothing is known about req-0"}))
	})

	// The log lines come from a simulated day with these faults: servers that
	// stopped answering while the store's connections were reset (at 0.5 s), and a
	// partition of the zone with host h-c-1 (at 33.5 s).
	DescribeTable("finds the injected fault from the log lines of a simulated day", func(subject, kind, text string) {
		var events []cause.Event
		for _, host := range []string{"h-a-1", "h-b-1", "h-b-2", "h-c-1"} {
			file, err := os.Open("testdata/lines/" + host + ".log")
			Expect(err).NotTo(HaveOccurred())
			found, skipped, err := cause.ReadLines(file, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(file.Close()).To(Succeed())
			Expect(skipped).To(BeZero())
			Expect(found[0].Host).To(Equal(host), "the started line holds the host name")
			events = append(events, found...)
		}
		answer := cause.ExplainLines(subject, events)
		Expect(answer.Root).NotTo(BeNil())
		Expect(answer.Root.Kind + ": " + answer.Root.Cause + " " + strings.Join(answer.Root.Subjects, " ")).To(And(HavePrefix(kind), ContainSubstring(text)))
	},
		Entry("for a refused job", "055bec94ce9f31c8", "store lost", "connection reset by peer"),
		Entry("for a stream that moved to another server", "313520dbc06a3a7c", "moved", "i-9ee1aa15e1 fell silent"),
		Entry("for a job that changed its owner", "81ce9b3075b6b21c", "host silent", "h-c-1"),
		Entry("for a host that was cut off", "h-c-1", "host silent", "h-c-1"),
	)

	It("explains a request that another host carried out by what the first one lacked", func() {
		var events []cause.Event
		for _, text := range []string{
			`{"ts":"2026-01-01T00:00:00Z","msg":"started","host":"A"}
			 {"ts":"2026-01-01T00:00:09Z","msg":"cut off from all servers","not_reached":7,"last":"i-3","connected_before_ms":400}
			 {"ts":"2026-01-01T00:00:10Z","msg":"passed on","request":"r1","host":"B","server":"i-1","cause":"this host is cut off from all servers"}
			 {"ts":"2026-01-01T00:00:10.2Z","msg":"answered","request":"r1","took_ms":300}`,
			`{"ts":"2026-01-01T00:00:00Z","msg":"started","host":"B"}
			 {"ts":"2026-01-01T00:00:09.9Z","msg":"placed for another host","request":"r1","host":"A","server":"i-1"}
			 {"ts":"2026-01-01T00:00:09.9Z","msg":"placed","request":"r2","server":"i-1"}`,
		} {
			found, skipped, err := cause.ReadLines(strings.NewReader(text), "")
			Expect(err).NotTo(HaveOccurred())
			Expect(skipped).To(BeZero())
			events = append(events, found...)
		}
		answer := cause.ExplainLines("r1", events)
		Expect(answer.Root.Kind).To(Equal("cut off from all servers"))
		Expect(answer.Root.Host).To(Equal("A"))
		var own []string
		for _, step := range answer.Chain {
			if slices.Contains(step.Subjects, "request/r1") {
				own = append(own, step.Host+" "+step.Kind)
			}
			Expect(step.Subjects).NotTo(ContainElement("request/r2"))
		}
		Expect(own).To(Equal([]string{"B placed for another host", "A passed on", "A answered"}))
	})

	It("skips and counts lines in other formats", func() {
		events, skipped, err := cause.ReadLines(strings.NewReader("panic: x\n{}\n"+
			`{"ts":"2026-01-01T00:00:00Z","msg":"refused","request":"r1","cause":"overloaded"}`+"\n"), "h1")
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(2))
		Expect(events).To(ConsistOf(cause.Event{At: start, Host: "h1", Kind: "refused", Cause: "overloaded", Subjects: []string{"request/r1"}}))
	})

	It("leaves out events of other callers", func() {
		list := readFailureCases()
		first := list[0]
		answer := cause.Explain(first.why, first.events, func(subject string) []cause.Link { return first.links[subject] })
		for _, step := range answer.Chain {
			Expect(step.Subjects).NotTo(ContainElement("req-5"))
		}
	})
})

var _ = Describe("transitions", func() {
	kinds := func(notes []cause.EventNote) []string {
		var list []string
		for _, n := range notes {
			list = append(list, n.Kind+" "+n.Subjects[0])
		}
		return list
	}

	It("report lost hosts of the local zone and other zones that are cut off, once", func() {
		t := cause.NewHostTransitions("a")
		update := func(second int, a2, b, c bool) []string {
			now := start.Add(time.Duration(second) * time.Second)
			lastSeen := func(reachable bool) time.Time {
				if reachable {
					return now
				}
				return start
			}
			return kinds(t.Update(now, []cause.HostState{
				{Name: "a2", Zone: "a", Alive: a2}, {Name: "b1", Zone: "b", LastSeen: lastSeen(b)}, {Name: "b2", Zone: "b", LastSeen: start},
				{Name: "c1", Zone: "c", LastSeen: lastSeen(c)},
			}))
		}
		Expect(update(0, true, true, true)).To(BeEmpty())
		Expect(update(1, false, true, true)).To(Equal([]string{"host lost a2"}))
		Expect(update(6, false, false, false)).To(BeEmpty(), "three seconds of silence for each other zone")
		Expect(update(7, false, false, false)).To(Equal([]string{"zone cut off b", "host lost c1"}))
		Expect(update(8, false, false, false)).To(BeEmpty())
		Expect(update(9, true, true, true)).To(Equal([]string{"host back a2", "zone reachable b", "zone reachable c"}))
	})

	It("report a store that fails, recovers, is slow and loses replies", func() {
		var t cause.StoreTransitions
		ended := func(outcome cause.Outcome, took time.Duration) []string {
			return kinds(t.RecordCall(start, outcome, took, "fault"))
		}
		Expect(ended(cause.Unreachable, 0)).To(BeEmpty())
		Expect(ended(cause.Answered, 0)).To(BeEmpty())
		Expect(ended(cause.ReplyLost, 0)).To(Equal([]string{"platform reply lost platform"}))
		Expect(ended(cause.Unreachable, 0)).To(BeEmpty())
		Expect(ended(cause.Unreachable, 0)).To(Equal([]string{"platform store unreachable platform"}))
		Expect(ended(cause.Unreachable, 0)).To(BeEmpty())
		Expect(ended(cause.Answered, 0)).To(Equal([]string{"platform store reachable platform"}))
		Expect(ended(cause.Answered, 2*time.Second)).To(BeEmpty())
		Expect(ended(cause.Answered, 2*time.Second)).To(BeEmpty())
		Expect(ended(cause.Answered, 2*time.Second)).To(Equal([]string{"platform store slow platform"}))
		Expect(ended(cause.Answered, time.Millisecond)).To(Equal([]string{"platform store fast again platform"}))
	})
})

var _ = Describe("a ring", func() {
	It("limits the events of one kind per second and counts the dropped ones", func() {
		now := start
		r := cause.NewRing("h1", func() time.Time { return now })
		for range 500 {
			r.Record("attempt failed", "x", "req-1")
		}
		r.Record("host lost", "y", "h2")
		Expect(r.AboutAny([]string{"req-1", "h2"}, 1000)).To(HaveLen(51))
		now = now.Add(time.Second)
		r.Record("attempt failed", "x", "req-2")
		Expect(r.About("", 2)[0].Cause).To(Equal("450 more of this kind were not kept"))
	})
})
