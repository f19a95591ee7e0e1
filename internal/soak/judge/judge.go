// Package judge checks what callers and servers saw in a soak run against what
// the product promises. It knows nothing of the inside of the product.
//
// All times are counted from the start of the load. What may only fail while
// something is harmed is judged by the plan's calm spans alone; what must always
// hold is judged always.
package judge

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/soak/plan"
)

// Request is one request of a caller, with what came of it.
type Request struct {
	ID string
	// Host is the index of the host that it was sent to, Start which start of that
	// host it reached.
	Host, Start int
	// Once says that it must not run more than once.
	Once    bool
	Service string
	Body    string
	// Want is the whole right answer.
	Want string
	// Version is the configuration that the request needs.
	Version     int
	Sent, Ended time.Duration
	// Status is 0 if no answer began.
	Status int
	// Complete says that the answer looked whole.
	Complete bool
	Text     string
	// Unsent says that no connection came about.
	Unsent bool
	// Left says that the caller gave up first.
	Left bool
}

// Run is one run of a request or an item at a server.
type Run struct {
	ID, Server, Service, Body string
	At                        time.Duration
}

// Item is one item of a job.
type Item struct {
	ID, Body, Want string
}

// Listed is one result of a job as it was read.
type Listed struct {
	ID   string
	Done bool
	Text string
}

// Job is one job of a caller.
type Job struct {
	ID      string
	Service string
	Items   []Item
	// Statuses are the answers to its hand-ins, 0 for none.
	Statuses []int
	// EndedAt is when its end was acknowledged, 0 for never.
	EndedAt time.Duration
	// Ending says that its end was asked for.
	Ending bool
	// Reads are the lists as read from the first position, in order of time; the
	// last one was made at the end of the run.
	Reads [][]Listed
}

// Drain is one server that left; From is when the store acknowledged it, To when
// it came back.
type Drain struct {
	Server   string
	From, To time.Duration
}

// History is all that was seen in a run.
type History struct {
	Plan     plan.Plan
	Requests []Request
	Runs     []Run
	Jobs     []Job
	Drains   []Drain
}

// Violation is one broken promise.
type Violation struct {
	Rule, Text string
}

// String returns the violation in a line.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

const (
	// stable is how long before a moment all must have been calm for the promises
	// of calm times; it is the platform's stableWindowMs.
	stable = 4 * time.Second
	// drainTime is how long after the store's word a server may still be sent
	// something (the platform's drainMs), cancelTime a job's items after its end
	// (cancelMs).
	drainTime  = 3 * time.Second
	cancelTime = 3 * time.Second
	// crossing is how soon a request that was not passed on must have met the end
	// of its connection, which it crossed (lostMs).
	crossing = 200 * time.Millisecond
	// regressSlack is how long after a configuration was seen at a host an older
	// one may still be (rollbackSlackMs).
	regressSlack = 250 * time.Millisecond
)

// promisesNotRun are the statuses that say that a request has not run and never
// will.
var promisesNotRun = map[int]bool{408: true, 421: true, 429: true, 503: true}

// court is a history with its indexes.
type court struct {
	History
	runs  map[string][]Run
	found []Violation
}

// Judge returns what is broken.
func Judge(h History) []Violation {
	c := &court{History: h, runs: make(map[string][]Run)}
	for _, r := range h.Runs {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	known := make(map[string]bool)
	for _, r := range h.Requests {
		known[r.ID] = true
		c.answer(r)
		c.ran(r)
		c.cut(r)
	}
	c.versions()
	for _, j := range h.Jobs {
		for _, item := range j.Items {
			known[item.ID] = true
		}
		c.job(j)
	}
	for id, runs := range c.runs {
		if !known[id] {
			c.say("unasked", "%s ran at %s but nobody sent it", id, runs[0].Server)
		}
	}
	c.drains()
	return c.found
}

func (c *court) say(rule, format string, args ...any) {
	c.found = append(c.found, Violation{rule, fmt.Sprintf(format, args...)})
}

// answer checks what the caller got.
func (c *court) answer(r Request) {
	switch {
	case r.Status != 200:
	case r.Complete && r.Text != r.Want:
		c.say("mixed", "%s was answered with %.60q in place of %.60q", r.ID, r.Text, r.Want)
	case !strings.HasPrefix(r.Want, r.Text):
		c.say("order", "%s broke off with %.60q, which does not begin %.60q", r.ID, r.Text, r.Want)
	case len(c.runs[r.ID]) == 0:
		c.say("mixed", "%s was answered but never ran", r.ID)
	}
}

// ran checks where and how often a request ran.
func (c *court) ran(r Request) {
	runs := c.runs[r.ID]
	for _, one := range runs {
		if one.Body != r.Body {
			c.say("unasked", "%s ran at %s with another body", r.ID, one.Server)
		}
		if one.Service != r.Service {
			c.say("route", "%s ran at service %s in place of %s", r.ID, one.Service, r.Service)
		}
	}
	if !r.Once {
		return
	}
	if len(runs) > 1 {
		c.say("twice", "%s may run once and ran %d times, at %s and %s", r.ID, len(runs), runs[0].Server, runs[1].Server)
	}
	if promisesNotRun[r.Status] && len(runs) > 0 {
		c.say("refused", "%s was answered %d and ran at %s", r.ID, r.Status, runs[0].Server)
	}
}

// cut checks that no request ends without a whole answer while all is calm but
// for planned work.
func (c *court) cut(r Request) {
	whole := r.Complete && (r.Status == 200 || promisesNotRun[r.Status])
	if whole || r.Unsent || r.Left || r.Version > 0 && r.Status == 404 {
		return
	}
	if r.Status == 0 && len(c.runs[r.ID]) == 0 && r.Ended-r.Sent <= crossing {
		return
	}
	if c.Plan.Only(r.Sent-stable, r.Ended, func(f plan.Fault) bool { return f.Kind.Planned() }) {
		c.say("lost", "%s, sent to host %d at %s, ended with status %d and complete %t at %s with nothing harmed", r.ID, r.Host, r.Sent, r.Status, r.Complete, r.Ended)
	}
}

// versions checks that no start of a host goes back to an older configuration.
func (c *court) versions() {
	type start struct{ host, start int }
	// seen is when each version was first known to be in force.
	seen := make(map[start]map[int]time.Duration)
	for _, r := range c.Requests {
		if r.Version > 0 && r.Status == 200 {
			s := start{r.Host, r.Start}
			if seen[s] == nil {
				seen[s] = make(map[int]time.Duration)
			}
			if at, known := seen[s][r.Version]; !known || r.Ended < at {
				seen[s][r.Version] = r.Ended
			}
		}
	}
	for _, r := range c.Requests {
		if r.Version == 0 || r.Status != 404 {
			continue
		}
		for version, at := range seen[start{r.Host, r.Start}] {
			if version >= r.Version && r.Sent > at+regressSlack {
				c.say("config", "%s found no route of version %d at host %d at %s, which had version %d at %s", r.ID, r.Version, r.Host, r.Sent, version, at)
				break
			}
		}
	}
}

// job checks one job's hand-in, items and lists.
func (c *court) job(j Job) {
	accepted, refused := false, len(j.Statuses) > 0
	for _, status := range j.Statuses {
		accepted = accepted || status == 202
		refused = refused && promisesNotRun[status]
	}
	items := make(map[string]Item, len(j.Items))
	for _, item := range j.Items {
		items[item.ID] = item
		for _, run := range c.runs[item.ID] {
			switch {
			case run.Body != item.Body:
				c.say("unasked", "item %s ran with another body", item.ID)
			case run.Service != j.Service:
				c.say("route", "item %s ran at service %s in place of %s", item.ID, run.Service, j.Service)
			case refused:
				c.say("refused", "item %s ran though job %s was refused each time", item.ID, j.ID)
			case j.EndedAt > 0 && run.At > j.EndedAt+cancelTime:
				c.say("unasked", "item %s ran at %s, job %s was ended at %s", item.ID, run.At, j.ID, j.EndedAt)
			}
		}
	}
	var before []Listed
	for _, list := range j.Reads {
		c.list(j, items, before, list)
		before = list
	}
	if accepted && !j.Ending && len(before) != len(j.Items) {
		c.say("lost", "job %s has %d of %d results at the end", j.ID, len(before), len(j.Items))
	}
}

// list checks one list of results against the one before.
func (c *court) list(j Job, items map[string]Item, before, list []Listed) {
	if len(list) < len(before) {
		c.say("lost", "job %s listed %d results and then %d", j.ID, len(before), len(list))
		return
	}
	seen := make(map[string]bool)
	for at, one := range list {
		item, known := items[one.ID]
		switch {
		case at < len(before):
			if before[at] != one {
				c.say("twice", "position %d of job %s held %s and then %s", at, j.ID, before[at].ID, one.ID)
			}
		case !known:
			c.say("mixed", "job %s lists %s, which is not its own", j.ID, one.ID)
		case !one.Done:
			c.say("mixed", "job %s lists %s as given up", j.ID, one.ID)
		case one.Text != item.Want:
			c.say("mixed", "job %s lists %s with %.60q in place of %.60q", j.ID, one.ID, one.Text, item.Want)
		case seen[one.ID]:
			c.say("twice", "job %s lists %s twice", j.ID, one.ID)
		}
		seen[one.ID] = true
	}
}

// drains checks that servers that left were sent nothing new, where all hosts
// could know.
func (c *court) drains() {
	for _, d := range c.Drains {
		for _, run := range c.Runs {
			if run.Server != d.Server || run.At <= d.From+drainTime || run.At >= d.To {
				continue
			}
			if c.Plan.Only(d.From-stable, run.At, func(f plan.Fault) bool { return f.Kind.Planned() }) {
				c.say("drain", "%s ran at %s at %s, which drains since %s", run.ID, d.Server, run.At, d.From)
			}
		}
	}
}
