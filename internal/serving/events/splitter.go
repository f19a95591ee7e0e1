// Package events splits a stream of numbered events (text/event-stream) into
// whole events and keeps their order: each event's number is one more than the
// one before, also across several runs of the same request.
package events

import (
	"bytes"
	"strconv"

	"github.com/gravitational/trace"
)

// maxEvent bounds the bytes of one event.
const maxEvent = 4 << 20

// Event is one whole event.
type Event struct {
	// Raw is the event as it came, with the blank line that ends it.
	Raw []byte
	// ID is its number; HasID says that it had one.
	ID    int64
	HasID bool
	// Data is the text of its data lines, joined by line feeds.
	Data []byte
}

// Splitter cuts bytes into events. The zero value is ready.
type Splitter struct {
	// rest holds what came after the last whole event.
	rest []byte
}

// Add takes bytes and returns the events that they complete. The events share
// memory with p only until the next call.
func (s *Splitter) Add(p []byte) ([]Event, error) {
	s.rest = append(s.rest, p...)
	var found []Event
	at := 0
	for {
		end := endOfEvent(s.rest[at:])
		if end < 0 {
			break
		}
		found = append(found, parse(s.rest[at:at+end]))
		at += end
	}
	if at > 0 {
		s.rest = append([]byte(nil), s.rest[at:]...)
	}
	if len(s.rest) > maxEvent {
		return found, trace.LimitExceeded("event of over %d bytes", maxEvent)
	}
	return found, nil
}

// Remainder returns the bytes after the last whole event.
func (s *Splitter) Remainder() []byte { return s.rest }

// endOfEvent returns the length of the first event with its blank line, or -1.
func endOfEvent(p []byte) int {
	lf, crlf := bytes.Index(p, []byte("\n\n")), bytes.Index(p, []byte("\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 3
	}
	return -1
}

func parse(raw []byte) Event {
	e := Event{Raw: raw}
	first := true
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if n, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID, e.HasID = n, true
			}
		case "data":
			if !first {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			first = false
		}
	}
	return e
}
