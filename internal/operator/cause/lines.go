package cause

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// work are the fields of a line that name requests, jobs and items; a subject is
// the field's name and the id, so that work is told from what serves it.
var work = []string{"request", "job", "item"}

// places are the fields that name servers and hosts.
var places = []string{"server", "host", "owner", "heir", "from", "to", "after"}

// own are the lines that concern the host that wrote them.
var own = []string{"started", "stopping", "stopped"}

// maxLine bounds one line.
const maxLine = 1 << 20

// ReadLines returns the events in the lines that a host wrote to its standard
// output; host is used until a line names the host. What is no line of the
// product's is left out and counted.
func ReadLines(r io.Reader, host string) (events []Event, others int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil {
			others++
			continue
		}
		message, named := fields["msg"].(string)
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["ts"]))
		if !named || err != nil {
			others++
			continue
		}
		if name, is := fields["host"].(string); is && message == "started" {
			host = name
		}
		events = append(events, eventOf(at, host, message, fields))
	}
	return events, others, trace.Wrap(scanner.Err())
}

// eventOf returns the event of one line.
func eventOf(at time.Time, host, message string, fields map[string]any) Event {
	e := Event{At: at, Host: host, Kind: message}
	switch message {
	case "server":
		e.Kind = fmt.Sprintf("server %v", fields["state"])
	case "host seen":
		e.Kind = "host silent"
		if fields["live"] == true {
			e.Kind = "host heard"
		}
	case "silent host probed":
		if fields["ended"] == true {
			e.Kind = "host ended"
		}
	}
	var rest []string
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch {
		case name == "msg" || name == "ts" || name == "level" || name == "cause" || name == "error":
		case slices.Contains(work, name):
			// One message has both ids in one field.
			if job, item, both := strings.Cut(text, "/"); both && name == "item" {
				e.Subjects = append(e.Subjects, "job/"+job)
				text = item
			}
			e.Subjects = append(e.Subjects, name+"/"+text)
		case slices.Contains(places, name) && text != "" && text != "store":
			e.Subjects = append(e.Subjects, text)
		default:
			rest = append(rest, fmt.Sprintf("%s %v", name, value))
		}
	}
	if slices.Contains(own, message) {
		e.Subjects = append(e.Subjects, host)
	}
	if strings.HasPrefix(message, "store ") || strings.Contains(message, "lease") {
		e.Subjects = append(e.Subjects, Platform)
	}
	sort.Strings(e.Subjects)
	e.Subjects = slices.Compact(e.Subjects)
	sort.Strings(rest)
	e.Cause = strings.Join(rest, ", ")
	for _, name := range []string{"error", "cause"} {
		if text, is := fields[name].(string); is {
			e.Cause = strings.TrimSuffix(text+" ("+e.Cause+")", " ()")
		}
	}
	return e
}

// ExplainLines explains what happened to a subject by the lines of some hosts.
// The subject is an id of a request, job or item, or the name of a host or
// server.
func ExplainLines(subject string, events []Event) Answer {
	// A request does not need the store, so a host's way to it explains only what
	// says so, and what is asked about the host itself.
	handled := map[string][]Link{subject: {{To: Platform, Reason: "follows the"}}}
	for _, e := range events {
		for _, one := range e.Subjects {
			if _, id, _ := strings.Cut(one, "/"); isWork(one) && id == subject {
				subject = one
			}
			link := Link{To: e.Host, Reason: "was handled by"}
			if isWork(one) && !slices.Contains(handled[one], link) {
				handled[one] = append(handled[one], link)
			}
		}
	}
	return Explain(subject, events, func(subject string) []Link { return handled[subject] })
}
