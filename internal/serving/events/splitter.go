// Package events splits a stream of numbered server-sent events
// (text/event-stream) into complete events and checks their order: each number is
// one more than the previous one, also across several attempts of a request.
package events

import (
	"bytes"
	"strconv"

	"github.com/gravitational/trace"
)

// maxEventBytes bounds the size of an incomplete event. Each open stream may hold that
// much.
const maxEventBytes = 1 << 20

// Event is one complete event.
type Event struct {
	// Raw is the event as received, including the blank line that ends it.
	Raw []byte
	// ID is the event's number, valid if HasID is set.
	ID    int64
	HasID bool
	// Malformed is set if a line of it is no field of an event, such as the head or
	// the text of an error.
	Malformed bool
	// Data is the content of the data lines, joined by line feeds.
	Data []byte
}

// Splitter splits a byte stream into events. The zero value is ready to use.
type Splitter struct {
	// buffered holds the bytes after the last complete event.
	buffered []byte
}

// Add appends p to the stream and returns the events that it completes. They do
// not share memory with p.
func (s *Splitter) Add(p []byte) ([]Event, error) {
	s.buffered = append(s.buffered, p...)
	var found []Event
	offset := 0
	for {
		end := endOfEvent(s.buffered[offset:])
		if end < 0 {
			break
		}
		found = append(found, parseEvent(s.buffered[offset:offset+end]))
		offset += end
	}
	if offset > 0 {
		s.buffered = append([]byte(nil), s.buffered[offset:]...)
	}
	if len(s.buffered) > maxEventBytes {
		return found, trace.LimitExceeded("event of over %d bytes", maxEventBytes)
	}
	return found, nil
}

// Remainder returns the bytes after the last complete event.
func (s *Splitter) Remainder() []byte { return s.buffered }

// endOfEvent returns the length of the first event including its blank line, or
// -1 if there is no complete event.
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

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	firstData := true
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		if len(line) > 0 && !isField(name, hasColon) {
			e.Malformed = true
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if n, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID, e.HasID = n, true
			}
		case "data":
			if !firstData {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			firstData = false
		}
	}
	return e
}

// isField reports whether a line begins like a field of an event: with a name in
// lower case and a colon. The standard fields need no colon, and a comment has no
// name.
func isField(name []byte, hasColon bool) bool {
	if !hasColon {
		switch string(name) {
		case "id", "data", "event", "retry":
			return true
		}
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
