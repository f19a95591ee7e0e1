// Package answers judges what hosts told about jobs, by the lines that they wrote.
//
// A reader samples few answers: a wrong one shows only if somebody asks for the same
// position twice, at the right moment. But each host writes a line right before the
// first byte of each answer, so the merged lines of all hosts hold every answer of a
// day, and each denial can be compared with all that was known before it.
//
// A denial, a page without results or a job that is not known, was true as of a time:
// that of its line less its age. It contradicts a line that shows the opposite if that
// line is earlier than this time. A denial that is older than what it denies was true
// when it was known, and how long it may be told is for the hosts to bound.
//
// The contradictions are:
//
//   - denied: a position without a result after a page, of any host, that held it;
//   - listed: the same after a line by which the position is in the job's record, which
//     needs no reader;
//   - unknown: no such job after it was accepted, listed or told of, unless it was
//     removed;
//   - changed: two pages of the same positions that differ;
//   - unlisted: a page with a position that no record of the job ever held;
//   - undone: an end of a job after which its record, at the same revision or a later
//     one, is not ended.
//
// A job's ID may be accepted anew after the job was removed; that begins a new life, and
// lines of two lives contradict nothing. The line of a removal comes after it, so an
// answer that denies the job just before that line is not judged.
//
// What is not judged: a body that is not found, as the line names no item, so the item
// may be listed, or of no job; an answer by a host whose lines are missing; and unlisted
// pages if lines may be missing: some were left out, or a host that owned the job ended
// without notice, which takes its last lines along. A host that stands still between the
// reading of a denial's age and its line makes the denial look younger than it is: look
// for a pause before the line.
//
// Ages are whole milliseconds, cut off, so times that differ by no more are equal.
package answers

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// resolution is that of an age.
	resolution = time.Millisecond
	// settlePeriod is how long after a result was shown somewhere all hosts must show it.
	settlePeriod = time.Second
	// removalPeriod is the longest time from a removal to its line.
	removalPeriod = 10 * time.Second
)

// Kind is what a contradiction is about.
type Kind string

// The kinds of contradictions.
const (
	Denied   Kind = "denied"
	Listed   Kind = "listed"
	Unknown  Kind = "unknown"
	Changed  Kind = "changed"
	Unlisted Kind = "unlisted"
	Undone   Kind = "undone"
)

// Contradiction is an answer that other lines show to be wrong.
type Contradiction struct {
	Kind Kind
	// Told is the line of the answer.
	Told Line
	// Shown is the line that it contradicts: the first that shows what is denied, the
	// other page, or the furthest listing, if there is one.
	Shown Line
	// Late is for how long the opposite was known when the denial was.
	Late time.Duration
}

// ToldLate returns how long after the other line the answer was told.
func (c Contradiction) ToldLate() time.Duration { return c.Told.At.Sub(c.Shown.At) }

// String returns a contradiction with both lines.
func (c Contradiction) String() string {
	text := fmt.Sprintf("%s: job %s: %s", c.Kind, c.Told.Job, c.Told)
	if c.Shown.Message == "" {
		return text + "; no host listed a result of the job"
	}
	text += "; but " + c.Shown.String()
	if c.Kind == Changed || c.Kind == Unlisted || c.Kind == Undone {
		return text
	}
	return fmt.Sprintf("%s, %.4f s before that was known", text, c.Late.Seconds())
}

// Report is the outcome of a judgement.
type Report struct {
	Contradictions []Contradiction
	// Pages are pages of results, with or without any, Denials those that deny a position,
	// and Unknown answers that a job is not known.
	Pages, Denials, Unknown int
	// ShownPairs are pairs of a denial and a page of the position, ListedPairs of a denial
	// and a listing of it.
	ShownPairs, ListedPairs int
	// PastSettle are the contradictions of denials that were told over settlePeriod after
	// what they deny.
	PastSettle int
	// Dropped are lines that a host left out, Skipped answers without a line, Unreadable
	// lines that were cut short.
	Dropped, Skipped, Unreadable int
	// NotJudged are pages with a position that no record held by any line, where the line
	// may be missing.
	NotJudged int
}

// Summary returns what was judged.
func (r *Report) Summary() string {
	return fmt.Sprintf("%d contradictions (%d told over %v late); judged: %d pages, %d denials of a position, %d of a job, %d pairs of a denial and a page, %d of a denial and a listing; "+
		"missing: %d lines dropped, %d answers skipped, %d lines unreadable; %d pages with unlisted results not judged for that",
		len(r.Contradictions), r.PastSettle, settlePeriod, r.Pages, r.Denials, r.Unknown, r.ShownPairs, r.ListedPairs, r.Dropped, r.Skipped, r.Unreadable, r.NotJudged)
}

// Judge collects lines. Its zero value is ready for use with hosts of one clock.
type Judge struct {
	// Tolerance is by how much the clocks of two hosts may differ.
	Tolerance time.Duration

	jobs                         map[string][]Line
	dropped, skipped, unreadable int
	hosts                        map[string]*hostLines
}

// hostLines is what is known of the lines of a host.
type hostLines struct {
	// running is set between its start and its stop, left after the latter.
	running, left bool
	// ended is set if it started again without a stop before.
	ended bool
	// last is the time of its last line, silent when another host last missed it.
	last, silent time.Time
}

// mayMiss reports whether the host's last lines may be missing.
func (h *hostLines) mayMiss(tolerance time.Duration) bool {
	return h.ended || !h.left && !h.silent.IsZero() && !h.last.After(h.silent.Add(tolerance))
}

// host returns what is known of the lines of a host.
func (j *Judge) host(name string) *hostLines {
	if j.hosts == nil {
		j.hosts = make(map[string]*hostLines)
	}
	if j.hosts[name] == nil {
		j.hosts[name] = new(hostLines)
	}
	return j.hosts[name]
}

// Add takes one line. Those of one host come in the order in which it wrote them.
func (j *Judge) Add(l Line) {
	h := j.host(l.Host)
	if l.At.After(h.last) {
		h.last = l.At
	}
	switch l.Message {
	case linesDropped:
		j.dropped += l.Lines
	case hostSeen:
		if other := j.host(l.Other); !l.Live && l.At.After(other.silent) {
			other.silent = l.At
		}
	case started:
		h.ended = h.ended || h.running
		h.running, h.left = true, false
	case stopped:
		h.running, h.left = false, true
	default:
		j.skipped += l.Skipped
		if j.jobs == nil {
			j.jobs = make(map[string][]Line)
		}
		j.jobs[l.Job] = append(j.jobs[l.Job], l)
	}
}

// Report judges the lines that were added.
func (j *Judge) Report() Report {
	r := Report{Dropped: j.dropped, Skipped: j.skipped, Unreadable: j.unreadable}
	for _, lines := range j.jobs {
		j.judgeJob(lines, &r)
	}
	slices.SortStableFunc(r.Contradictions, func(a, b Contradiction) int {
		return cmp.Or(a.Told.At.Compare(b.Told.At), cmp.Compare(a.Told.Job, b.Told.Job), cmp.Compare(a.Kind, b.Kind))
	})
	for _, c := range r.Contradictions {
		if c.Late > 0 && c.ToldLate() > settlePeriod {
			r.PastSettle++
		}
	}
	return r
}

// judgeJob judges the lines of all lives of a job.
func (j *Judge) judgeJob(lines []Line, r *Report) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	j.judgeUnlisted(lines, r)
	lives := livesOf(lines)
	for n := range lines {
		lives[lifeAt(lives, lines[n].knownAt())].take(&lines[n])
	}
	for i := range lives {
		j.judgeLife(&lives[i], r)
	}
}

// judgeLife compares the denials of a life with all that it showed.
func (j *Judge) judgeLife(f *life, r *Report) {
	r.Pages += f.pages
	r.Contradictions = append(r.Contradictions, f.changed...)
	find := func(kind Kind, denial, shown *Line) {
		if late := denial.knownAt().Sub(shown.At); late > resolution+j.Tolerance {
			r.Contradictions = append(r.Contradictions, Contradiction{kind, *denial, *shown, late})
		}
	}
	if f.ended != nil {
		for _, l := range f.listings {
			if l.Message != jobLost && !l.Ended && l.Revision >= f.ended.Revision {
				r.Contradictions = append(r.Contradictions, Contradiction{Kind: Undone, Told: *f.ended, Shown: *l})
				break
			}
		}
	}
	for _, d := range f.denials {
		if d.Status != statusOK {
			r.Unknown++
			if f.known != nil && (f.gone.IsZero() || d.knownAt().Before(f.gone)) {
				find(Unknown, d, f.known)
			}
			continue
		}
		r.Denials++
		if d.After < len(f.shown) && f.shown[d.After].first != nil {
			r.ShownPairs += f.shown[d.After].count
			find(Denied, d, f.shown[d.After].first)
		}
		if n := slices.IndexFunc(f.listings, func(l *Line) bool { return l.Listed > d.After }); n >= 0 {
			for _, l := range f.listings[n:] {
				if l.Listed > d.After {
					r.ListedPairs++
				}
			}
			find(Listed, d, f.listings[n])
		}
	}
}

// judgeUnlisted finds pages with positions that no record of the job held at any time.
func (j *Judge) judgeUnlisted(lines []Line, r *Report) {
	var furthest Line
	complete := j.dropped == 0 && j.skipped == 0 && j.unreadable == 0
	for _, l := range lines {
		if l.Message == answerTold {
			continue
		}
		complete = complete && !j.host(l.Host).mayMiss(j.Tolerance)
		if l.Listed > furthest.Listed {
			furthest = l
		}
	}
	for _, l := range lines {
		switch {
		case l.Results == 0 || l.After+l.Results <= furthest.Listed:
		case complete:
			r.Contradictions = append(r.Contradictions, Contradiction{Kind: Unlisted, Told: l, Shown: furthest})
		default:
			r.NotJudged++
		}
	}
}
