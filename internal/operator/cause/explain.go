package cause

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// maxDistance bounds the links between a subject and what explains it.
	maxDistance = 3
	// before and after bound the time around a subject's own events in which the
	// events of others can explain them.
	before = 10 * time.Minute
	after  = 5 * time.Second
	// perLink is what one link costs a candidate, perMinute what a minute between
	// it and the first sign of trouble costs.
	perLink   = 6
	perMinute = 1
	// perWitness is what each further host that noted the same is worth: a host
	// that is cut off notes the silence of all others, they that of one.
	perWitness = 1
	// minOthers is the weight below which the events of others are left out.
	minOthers = 40
	// minStrangers is the same for events of other requests and jobs: the crash
	// of a server counts, one that it answered badly does not.
	minStrangers = 70
	maxChain     = 100
)

// Platform is the subject of events on the platform's store.
const Platform = "platform"

// class weighs events as candidates for the root of a chain: a symptom of
// something else weighs little.
type class struct {
	// kind is the event's kind; text, if set, has to stand in its cause.
	kind, text string
	weight     int
	// neutral events are no sign of trouble.
	neutral bool
}

// classes is searched from the top.
var classes = []class{
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

	// Lines of the platform's programs; see docs/OPERATIONS.md.
	{kind: "store lost", weight: 90},
	{kind: "host ended", weight: 92},
	{kind: "host silent", weight: 88},
	{kind: "write unclear", weight: 84},
	{kind: "write refused", weight: 84},
	{kind: "acceptance unclear", weight: 84},
	{kind: "server gone", weight: 78},
	{kind: "server draining", weight: 75},
	{kind: "stopping", weight: 74},
	{kind: "moved", weight: 72},
	{kind: "item interrupted", weight: 72},
	{kind: "items given up", text: "removed the route", weight: 85},
	{kind: "item left its slot", weight: 60},
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

func classOf(e *Event) class {
	for _, c := range classes {
		if strings.HasPrefix(e.Kind, c.kind) && strings.Contains(e.Cause, c.text) {
			return c
		}
	}
	return class{weight: 30}
}

// Link says that one subject can explain another.
type Link struct {
	To string
	// Reason says how the two belong together, as in "is served by".
	Reason string
}

// Linker knows which subjects belong together by the services text.
type Linker func(subject string) []Link

// Step is one event of a chain.
type Step struct {
	Event
	// Via is the way from the subject that was asked about to the event's.
	Via string `json:"via,omitempty"`
}

// Answer explains what happened to a subject.
type Answer struct {
	Subject string `json:"subject"`
	// Root is the most likely cause, nil if nothing is known.
	Root *Step `json:"root"`
	// Chain holds the root and what followed, in the order of time.
	Chain []Step `json:"chain"`
}

// way is how a subject was reached.
type way struct {
	distance int
	via      string
}

// Reach returns the subjects that can explain one, given the events known so
// far; its caller gathers their events and calls Explain.
func Reach(subject string, events []Event, links Linker) []string {
	var subjects []string
	for name := range reach(subject, events, links) {
		subjects = append(subjects, name)
	}
	sort.Strings(subjects)
	return subjects
}

// reach is a breadth-first search over links and over events that have two
// subjects. Work, as requests and jobs, is never reached from what served it:
// the troubles of other callers explain nothing.
func reach(subject string, events []Event, links Linker) map[string]way {
	reached := map[string]way{subject: {}}
	for frontier := []string{subject}; len(frontier) > 0; {
		current := frontier[0]
		frontier = frontier[1:]
		from := reached[current]
		if from.distance == maxDistance {
			continue
		}
		for _, link := range append(links(current), linksOf(current, events, links)...) {
			if _, known := reached[link.To]; known || (isWork(link.To) && !isWork(current)) {
				continue
			}
			via := current + " " + link.Reason + " " + link.To
			if from.via != "" {
				via = from.via + ", " + via
			}
			reached[link.To] = way{distance: from.distance + 1, via: via}
			frontier = append(frontier, link.To)
		}
	}
	return reached
}

// storeWords in an event say that the platform's store had a part in it.
var storeWords = []string{"store", "lease", "shard", "records unavailable"}

func linksOf(subject string, events []Event, known Linker) []Link {
	var links []Link
	for i := range events {
		e := &events[i]
		if !slices.Contains(e.Subjects, subject) || classOf(e).neutral {
			continue
		}
		for _, other := range e.Subjects {
			if other != subject {
				links = append(links, Link{To: other, Reason: "met " + e.Kind + " with"})
			}
		}
		for _, name := range strings.FieldsFunc(e.Cause, notInName) {
			if name != subject && !isWork(name) && len(known(name)) > 0 {
				links = append(links, Link{To: name, Reason: "met " + e.Kind + " that names"})
			}
		}
		if slices.ContainsFunc(storeWords, func(word string) bool { return strings.Contains(e.Kind+e.Cause, word) }) {
			links = append(links, Link{To: Platform, Reason: "depends on the"})
		}
	}
	return links
}

func notInName(r rune) bool { return strings.ContainsRune(" ,;:()[]\"", r) }

// isWork reports whether a subject is a request, an item or a job.
func isWork(subject string) bool {
	for _, prefix := range []string{"req-", "batch_", "batch-", "job-", "att-"} {
		if strings.HasPrefix(subject, prefix) {
			return true
		}
	}
	return strings.Contains(subject, "/") && !strings.HasPrefix(subject, "shard/")
}

// Explain orders the events around a subject and names the most likely root.
func Explain(subject string, events []Event, links Linker) Answer {
	answer := Answer{Subject: subject}
	reached := reach(subject, events, links)
	begin, trouble, end := window(subject, events)
	seen := witnesses(events)
	best := 0.0
	for i := range events {
		e := &events[i]
		from, ok := nearestWay(e, reached)
		if !ok || e.At.Before(begin) || e.At.After(end) {
			continue
		}
		c := classOf(e)
		if from.distance > 0 && (c.weight < minOthers || c.neutral || (c.weight < minStrangers && isStrangers(e, subject, reached))) {
			continue
		}
		step := Step{Event: *e, Via: from.via}
		answer.Chain = append(answer.Chain, step)
		score := float64(c.weight-perLink*from.distance+perWitness*(len(seen[what(e)])-1)) - perMinute*trouble.Sub(e.At).Abs().Minutes()
		if answer.Root == nil || score > best || (score == best && e.At.Before(answer.Root.At)) {
			best, answer.Root = score, &step
		}
	}
	sort.SliceStable(answer.Chain, func(i, j int) bool { return answer.Chain[i].At.Before(answer.Chain[j].At) })
	answer.Chain = answer.Chain[max(0, len(answer.Chain)-maxChain):]
	return answer
}

// what tells events apart by what they say, whoever noted them.
func what(e *Event) string { return e.Kind + " " + strings.Join(e.Subjects, " ") }

// witnesses returns the hosts that noted each kind of event of the same
// subjects.
func witnesses(events []Event) map[string]map[string]bool {
	seen := make(map[string]map[string]bool)
	for i := range events {
		key := what(&events[i])
		if seen[key] == nil {
			seen[key] = make(map[string]bool)
		}
		seen[key][events[i].Host] = true
	}
	return seen
}

// window returns the time that counts and the first sign of trouble of the
// subject itself; for a subject without events of its own, all of the time.
func window(subject string, events []Event) (begin, trouble, end time.Time) {
	var last time.Time
	for i := range events {
		e := &events[i]
		last = maxTime(last, e.At)
		if !slices.Contains(e.Subjects, subject) {
			continue
		}
		if begin.IsZero() || e.At.Before(begin) {
			begin = e.At
		}
		if !classOf(e).neutral && (trouble.IsZero() || e.At.Before(trouble)) {
			trouble = e.At
		}
		end = maxTime(end, e.At)
	}
	if begin.IsZero() {
		return begin, last, last
	}
	if trouble.IsZero() {
		trouble = end
	}
	return begin.Add(-before), trouble, end.Add(after)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func nearestWay(e *Event, reached map[string]way) (way, bool) {
	var best way
	found := false
	for _, subject := range e.Subjects {
		if w, ok := reached[subject]; ok && (!found || w.distance < best.distance) {
			best, found = w, true
		}
	}
	return best, found
}

// isStrangers reports whether an event concerns work other than what was asked
// about.
func isStrangers(e *Event, subject string, reached map[string]way) bool {
	if !isWork(subject) {
		return false
	}
	strangers := false
	for _, one := range e.Subjects {
		if !isWork(one) {
			continue
		}
		if _, ok := reached[one]; ok {
			return false
		}
		strangers = true
	}
	return strangers
}

const clock = "2006-01-02 15:04:05.000"

// Sentence tells one step in plain words.
func (s *Step) Sentence() string {
	text := fmt.Sprintf("%s, host %s: %s (%s), because %s", s.At.UTC().Format(clock), s.Host, s.Kind, strings.Join(s.Subjects, ", "), s.Cause)
	if s.Via != "" {
		text += " [" + s.Via + "]"
	}
	return text
}

// Sentences tells the whole answer, the most likely cause first.
func (a *Answer) Sentences() []string {
	if a.Root == nil {
		return []string{"nothing is known about " + a.Subject}
	}
	lines := []string{"most likely cause: " + a.Root.Sentence(), "what is known, in the order of time:"}
	for i := range a.Chain {
		lines = append(lines, "  "+a.Chain[i].Sentence())
	}
	return lines
}
