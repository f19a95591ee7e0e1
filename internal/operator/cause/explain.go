package cause

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// maxLinks is the maximum number of links between a subject and an event that
	// explains it.
	maxLinks = 3
	// windowBefore and windowAfter extend the time span of a subject's own events;
	// events of other subjects are considered only within the extended span.
	windowBefore = 10 * time.Minute
	windowAfter  = 5 * time.Second
	// linkPenalty is subtracted from the score of a candidate event for each link,
	// minutePenalty for each minute between the event and the subject's first
	// event that indicates a failure.
	linkPenalty   = 6
	minutePenalty = 1
	// observerBonus is added to the score for each further host that recorded the
	// same event. It identifies the isolated host in a partition: that host alone
	// records the silence of all others, but all others record its silence.
	observerBonus = 1
	// minRelatedWeight is the weight below which events of other subjects are left
	// out.
	minRelatedWeight = 40
	// minOtherWorkWeight is the minimum weight for events of other requests and
	// jobs: a server crash is included, a single error response is not.
	minOtherWorkWeight = 70
	maxChainEvents     = 100
)

// Platform is the subject of events that concern the platform's store.
const Platform = "platform"

// eventClass assigns a weight to events as candidates for the root cause. Events
// that are usually symptoms of another failure have a low weight.
type eventClass struct {
	// kind is a prefix of the event's kind; text is a substring of its cause, ""
	// to match any cause.
	kind, text string
	weight     int
	// neutral marks events that do not indicate a failure.
	neutral bool
}

// eventClasses is searched in order; the first match applies.
var eventClasses = []eventClass{
	{kind: "zone cut off", weight: 100},
	{kind: "host lost", weight: 90},
	{kind: "body", text: "crashed while it ran", weight: 95},
	{kind: "platform store unreachable", weight: 90},
	{kind: "platform reply lost", weight: 84},
	{kind: "platform store slow", weight: 80},
	{kind: "shard lost", text: "lease lapsed", weight: 83},
	{kind: "shard lost", text: "fencing", weight: 83},
	{kind: "shard lost", weight: 70},
	{kind: "job cancelled", weight: 92},
	{kind: "job sent again", weight: 60},
	{kind: "change refused", weight: 88},
	{kind: "services text unusable", weight: 88},
	{kind: "back end leaving", weight: 75},
	{kind: "back end removed", weight: 78},
	{kind: "back end down", weight: 74},
	{kind: "connection silent", weight: 82},
	{kind: "host stopping", weight: 72},
	{kind: "attempt failed", text: "back end crashed", weight: 72},
	{kind: "attempt failed", text: "back end silent", weight: 71},
	{kind: "attempt failed", text: "keeper host", weight: 45},
	{kind: "attempt failed", weight: 55},
	{kind: "peer unreachable", weight: 50},
	{kind: "request refused", weight: 42},
	{kind: "request run again", weight: 40},
	{kind: "job taken over", weight: 42},
	{kind: "record", weight: 40},
	{kind: "shard taken", weight: 20},
	{kind: "shard handed over", weight: 20, neutral: true},
	{kind: "services text in force", weight: 5, neutral: true},
	{kind: "services text changed", weight: 30, neutral: true},
	{kind: "host started", weight: 41},
	{kind: "host back", weight: 10, neutral: true},
	{kind: "zone reachable", weight: 10, neutral: true},
	{kind: "platform store reachable", weight: 10, neutral: true},
	{kind: "job ended", text: "completed", weight: 5, neutral: true},

	// Log lines of the programs that run on the platform; see docs/OPERATIONS.md.
	{kind: "store lost", weight: 90},
	{kind: "host ended", weight: 92},
	{kind: "host silent", weight: 88},
	{kind: "write unclear", weight: 84},
	{kind: "write refused", weight: 84},
	{kind: "acceptance unclear", weight: 84},
	{kind: "cut off from all servers", weight: 92},
	{kind: "server gone", weight: 78},
	{kind: "server draining", weight: 75},
	{kind: "stopping", weight: 74},
	{kind: "moved", weight: 72},
	{kind: "item interrupted", weight: 72},
	{kind: "items given up", text: "removed the route", weight: 85},
	{kind: "item left its slot", weight: 60},
	{kind: "not passed on", weight: 57},
	{kind: "passed on", weight: 56},
	{kind: "sent again", weight: 55},
	{kind: "server missing", weight: 55},
	{kind: "broken off", weight: 45},
	{kind: "job lost", weight: 45},
	{kind: "refused", weight: 42},
	{kind: "job refused", weight: 42},
	{kind: "item given up", weight: 42},
	{kind: "items given up", weight: 42},
	{kind: "started", weight: 41},
	{kind: "store regained", weight: 10, neutral: true},
	{kind: "servers reached again", weight: 10, neutral: true},
	{kind: "host heard", weight: 10, neutral: true},
	{kind: "server known", weight: 10, neutral: true},
	{kind: "configuration in force", weight: 5, neutral: true},
	{kind: "placed", weight: 5, neutral: true},
	{kind: "answered", weight: 5, neutral: true},
	{kind: "item placed", weight: 5, neutral: true},
	{kind: "results listed", weight: 5, neutral: true},
	{kind: "job accepted", weight: 5, neutral: true},
	{kind: "lease won", weight: 5, neutral: true},
}

func classify(e *Event) eventClass {
	for _, c := range eventClasses {
		if strings.HasPrefix(e.Kind, c.kind) && strings.Contains(e.Cause, c.text) {
			return c
		}
	}
	return eventClass{weight: 30}
}

// Link points to a subject whose events can explain those of another subject.
type Link struct {
	To string
	// Reason describes the relation, for example "is served by".
	Reason string
}

// Linker returns the links from a subject that follow from the services text.
type Linker func(subject string) []Link

// Step is one event of a chain.
type Step struct {
	Event
	// Via describes the links from the queried subject to the event's subject.
	Via string `json:"via,omitempty"`
}

// Diagnosis is the explanation of what happened to a subject.
type Diagnosis struct {
	Subject string `json:"subject"`
	// Root is the most likely cause, nil if no related event was found.
	Root *Step `json:"root"`
	// Chain holds the related events in order of time, at most the last
	// maxChainEvents.
	Chain []Step `json:"chain"`
}

// linkPath is the path of links from the queried subject to another subject.
type linkPath struct {
	distance int
	via      string
}

// RelatedSubjects returns the sorted names of the subjects whose events can
// explain those of the given subject. The caller collects their events and
// calls Explain.
func RelatedSubjects(subject string, events []Event, links Linker) []string {
	var subjects []string
	for name := range findPaths(subject, events, links) {
		subjects = append(subjects, name)
	}
	sort.Strings(subjects)
	return subjects
}

// findPaths finds the shortest path to each related subject by a breadth-first
// search over configured links and over events that name more than one subject.
// The search follows no link from a server or host to a request, item or job,
// because failures of other callers' work are no explanation.
func findPaths(subject string, events []Event, links Linker) map[string]linkPath {
	paths := map[string]linkPath{subject: {}}
	for frontier := []string{subject}; len(frontier) > 0; {
		current := frontier[0]
		frontier = frontier[1:]
		from := paths[current]
		if from.distance == maxLinks {
			continue
		}
		for _, link := range append(links(current), eventLinks(current, events, links)...) {
			if _, found := paths[link.To]; found || (isWork(link.To) && !isWork(current)) {
				continue
			}
			via := current + " " + link.Reason + " " + link.To
			if from.via != "" {
				via = from.via + ", " + via
			}
			paths[link.To] = linkPath{distance: from.distance + 1, via: via}
			frontier = append(frontier, link.To)
		}
	}
	return paths
}

// storeTerms are the words in an event that link it to the platform's store.
var storeTerms = []string{"store", "lease", "shard", "records unavailable"}

// eventLinks returns the links from a subject that follow from its events: to
// the other subjects of an event, to configured names in its cause, and to the
// platform's store.
func eventLinks(subject string, events []Event, configured Linker) []Link {
	var links []Link
	for i := range events {
		e := &events[i]
		if !slices.Contains(e.Subjects, subject) || classify(e).neutral {
			continue
		}
		for _, other := range e.Subjects {
			if other != subject {
				links = append(links, Link{To: other, Reason: "met " + e.Kind + " with"})
			}
		}
		for _, name := range strings.FieldsFunc(e.Cause, isNameSeparator) {
			if name != subject && !isWork(name) && len(configured(name)) > 0 {
				links = append(links, Link{To: name, Reason: "met " + e.Kind + " that names"})
			}
		}
		if slices.ContainsFunc(storeTerms, func(word string) bool { return strings.Contains(e.Kind+e.Cause, word) }) {
			links = append(links, Link{To: Platform, Reason: "depends on the"})
		}
	}
	return links
}

func isNameSeparator(r rune) bool { return strings.ContainsRune(" ,;:()[]\"", r) }

// isWork reports whether a subject is a request, an item or a job.
func isWork(subject string) bool {
	for _, prefix := range []string{"req-", "batch_", "batch-", "job-", "att-"} {
		if strings.HasPrefix(subject, prefix) {
			return true
		}
	}
	return strings.Contains(subject, "/") && !strings.HasPrefix(subject, "shard/")
}

// Explain selects the events that are related to a subject, in order of time,
// and the most likely root cause among them.
func Explain(subject string, events []Event, links Linker) Diagnosis {
	answer := Diagnosis{Subject: subject}
	paths := findPaths(subject, events, links)
	begin, firstFailure, end := timeWindow(subject, events)
	observers := observersByEvent(events)
	best := 0.0
	for i := range events {
		e := &events[i]
		path, ok := shortestPath(e, paths)
		if !ok || e.At.Before(begin) || e.At.After(end) {
			continue
		}
		c := classify(e)
		if path.distance > 0 && (c.weight < minRelatedWeight || c.neutral || (c.weight < minOtherWorkWeight && concernsOtherWork(e, subject, paths))) {
			continue
		}
		step := Step{Event: *e, Via: path.via}
		answer.Chain = append(answer.Chain, step)
		score := float64(c.weight-linkPenalty*path.distance+observerBonus*(len(observers[eventKey(e)])-1)) - minutePenalty*firstFailure.Sub(e.At).Abs().Minutes()
		if answer.Root == nil || score > best || (score == best && e.At.Before(answer.Root.At)) {
			best, answer.Root = score, &step
		}
	}
	sort.SliceStable(answer.Chain, func(i, j int) bool { return answer.Chain[i].At.Before(answer.Chain[j].At) })
	answer.Chain = answer.Chain[max(0, len(answer.Chain)-maxChainEvents):]
	return answer
}

// eventKey identifies an event by its kind and subjects, regardless of the host
// that recorded it.
func eventKey(e *Event) string { return e.Kind + " " + strings.Join(e.Subjects, " ") }

// observersByEvent returns the hosts that recorded each event, by eventKey.
func observersByEvent(events []Event) map[string]map[string]bool {
	observers := make(map[string]map[string]bool)
	for i := range events {
		key := eventKey(&events[i])
		if observers[key] == nil {
			observers[key] = make(map[string]bool)
		}
		observers[key][events[i].Host] = true
	}
	return observers
}

// timeWindow returns the period in which events are considered and the time of
// the subject's first event that indicates a failure, or of its last event if
// none does. If the subject has no events of its own, the window covers all
// events.
func timeWindow(subject string, events []Event) (begin, firstFailure, end time.Time) {
	var last time.Time
	for i := range events {
		e := &events[i]
		last = latest(last, e.At)
		if !slices.Contains(e.Subjects, subject) {
			continue
		}
		if begin.IsZero() || e.At.Before(begin) {
			begin = e.At
		}
		if !classify(e).neutral && (firstFailure.IsZero() || e.At.Before(firstFailure)) {
			firstFailure = e.At
		}
		end = latest(end, e.At)
	}
	if begin.IsZero() {
		return begin, last, last
	}
	if firstFailure.IsZero() {
		firstFailure = end
	}
	return begin.Add(-windowBefore), firstFailure, end.Add(windowAfter)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shortestPath returns the shortest path to any subject of an event.
func shortestPath(e *Event, paths map[string]linkPath) (linkPath, bool) {
	var best linkPath
	found := false
	for _, subject := range e.Subjects {
		if p, ok := paths[subject]; ok && (!found || p.distance < best.distance) {
			best, found = p, true
		}
	}
	return best, found
}

// concernsOtherWork reports whether the subject is a request, item or job and
// the event concerns only unrelated requests, items or jobs.
func concernsOtherWork(e *Event, subject string, paths map[string]linkPath) bool {
	if !isWork(subject) {
		return false
	}
	other := false
	for _, s := range e.Subjects {
		if !isWork(s) {
			continue
		}
		if _, ok := paths[s]; ok {
			return false
		}
		other = true
	}
	return other
}

const timeLayout = "2006-01-02 15:04:05.000"

// Sentence returns a one-line description of the step.
func (s *Step) Sentence() string {
	text := fmt.Sprintf("%s, host %s: %s (%s), because %s", s.At.UTC().Format(timeLayout), s.Host, s.Kind, strings.Join(s.Subjects, ", "), s.Cause)
	if s.Via != "" {
		text += " [" + s.Via + "]"
	}
	return text
}

// Sentences returns the explanation as lines of text, the most likely cause
// first.
func (a *Diagnosis) Sentences() []string {
	if a.Root == nil {
		return []string{"nothing is known about " + a.Subject}
	}
	lines := []string{"most likely cause: " + a.Root.Sentence(), "what is known, in the order of time:"}
	for i := range a.Chain {
		lines = append(lines, "  "+a.Chain[i].Sentence())
	}
	return lines
}
