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

// workFields are the log fields that hold ids of requests, jobs and items. Their
// subjects have the form field/id, which distinguishes them from servers and
// hosts.
var workFields = []string{"request", "job", "item"}

// hostFields are the log fields that hold names of servers and hosts. A line about
// a configuration that was read from the store has "store" in the field from,
// which is no subject.
var hostFields = []string{"server", "host", "owner", "heir", "from", "to", "after"}

// hostMessages are the log messages that concern the host that wrote them.
var hostMessages = []string{"started", "stopping", "stopped", "cut off from all servers", "servers reached again"}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ReadLines parses the log lines that a host wrote to its standard output into
// events. host is used as the host's name until a "started" line gives it. Lines
// in any other format are skipped and counted.
func ReadLines(r io.Reader, host string) (events []Event, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil {
			skipped++
			continue
		}
		message, hasMessage := fields["msg"].(string)
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["ts"]))
		if !hasMessage || err != nil {
			skipped++
			continue
		}
		if name, ok := fields["host"].(string); ok && message == "started" {
			host = name
		}
		events = append(events, eventOf(at, host, message, fields))
	}
	return events, skipped, trace.Wrap(scanner.Err())
}

// eventOf converts the fields of a log line into an event.
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
	var details []string
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch {
		case name == "msg" || name == "ts" || name == "level" || name == "cause" || name == "error":
		case slices.Contains(workFields, name):
			// The field item may hold job and item as job/item.
			if job, item, found := strings.Cut(text, "/"); found && name == "item" {
				e.Subjects = append(e.Subjects, "job/"+job)
				text = item
			}
			e.Subjects = append(e.Subjects, name+"/"+text)
		case slices.Contains(hostFields, name) && text != "" && text != "store":
			e.Subjects = append(e.Subjects, text)
		default:
			details = append(details, fmt.Sprintf("%s %v", name, value))
		}
	}
	if slices.Contains(hostMessages, message) {
		e.Subjects = append(e.Subjects, host)
	}
	if strings.HasPrefix(message, "store ") || strings.Contains(message, "lease") {
		e.Subjects = append(e.Subjects, Platform)
	}
	sort.Strings(e.Subjects)
	e.Subjects = slices.Compact(e.Subjects)
	sort.Strings(details)
	e.Cause = strings.Join(details, ", ")
	for _, name := range []string{"error", "cause"} {
		if text, ok := fields[name].(string); ok {
			e.Cause = strings.TrimSuffix(text+" ("+e.Cause+")", " ()")
		}
	}
	return e
}

// ExplainLines explains what happened to a subject from events that ReadLines
// returned for one or more hosts. The subject is the id of a request, job or
// item, or the name of a host or server.
func ExplainLines(subject string, events []Event) Diagnosis {
	// This entry links a queried host or server to the store. It does not apply to
	// a request, job or item, whose subject is replaced below by the form with a
	// prefix. A request does not need the store, so it is linked to the store only
	// by events that mention the store.
	handled := map[string][]Link{subject: {{To: Platform, Reason: "follows the"}}}
	for _, e := range events {
		for _, s := range e.Subjects {
			if _, id, _ := strings.Cut(s, "/"); isWork(s) && id == subject {
				subject = s
			}
			link := Link{To: e.Host, Reason: "was handled by"}
			if isWork(s) && !slices.Contains(handled[s], link) {
				handled[s] = append(handled[s], link)
			}
		}
	}
	return Explain(subject, events, func(subject string) []Link { return handled[subject] })
}
