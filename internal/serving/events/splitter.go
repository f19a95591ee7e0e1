// Package events splits a stream of numbered server-sent events
// (text/event-stream) into complete events and checks their order: each number is
// one more than the previous one, also across several attempts of a request.
package events

import (
	"bytes"
	"strconv"

	"github.com/gravitational/trace"
)

// maxEventBytes bounds the size of an incomplete event.
const maxEventBytes = 4 << 20

// Event is one complete event.
type Event struct {
	// Raw is the event as received, including the blank line that ends it.
	Raw []byte
	// ID is the event's number, valid if HasID is set.
	ID    int64
	HasID bool
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
		name, value, _ := bytes.Cut(line, []byte(":"))
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
