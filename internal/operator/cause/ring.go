// Package cause keeps the changes of state that explain what happened: each is
// an event with its time, its cause and the subjects it concerns. A host keeps
// the latest events in a ring of fixed size and flushes them to the platform's
// store in groups, so that the story outlives the host up to its last flush.
package cause

import (
	"slices"
	"sync"
	"time"
)

// ringSize bounds the events that a host keeps.
const ringSize = 8192

// Event is one change of state.
type Event struct {
	At   time.Time `json:"at"`
	Host string    `json:"host"`
	// Kind says what changed, Cause why.
	Kind  string `json:"kind"`
	Cause string `json:"cause"`
	// Subjects are the ids of requests, jobs, services, back ends and hosts
	// that the event concerns.
	Subjects []string `json:"subjects"`
}

// Ring holds a host's latest events. It is safe for concurrent use.
type Ring struct {
	host string
	now  func() time.Time

	mu     sync.Mutex
	events []Event
	// next is the number of events noted; event i stands at i % ringSize.
	next int
	// flushed is the number of events taken by Unflushed and confirmed.
	flushed int
}

// NewRing returns an empty ring of a host.
func NewRing(host string, now func() time.Time) *Ring {
	return &Ring{host: host, now: now}
}

// Note adds an event.
func (r *Ring) Note(kind, cause string, subjects ...string) {
	e := Event{At: r.now(), Host: r.host, Kind: kind, Cause: cause, Subjects: subjects}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < ringSize {
		r.events = append(r.events, e)
	} else {
		r.events[r.next%ringSize] = e
	}
	r.next++
}

// About returns the latest events about a subject, oldest first.
func (r *Ring) About(subject string, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := r.next - 1; i >= max(0, r.next-ringSize) && len(found) < limit; i-- {
		if e := r.events[i%ringSize]; subject == "" || slices.Contains(e.Subjects, subject) {
			found = append(found, e)
		}
	}
	slices.Reverse(found)
	return found
}

// Unflushed returns the events not yet confirmed as flushed, and the mark to
// confirm them with.
func (r *Ring) Unflushed() ([]Event, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := max(r.flushed, r.next-ringSize); i < r.next; i++ {
		events = append(events, r.events[i%ringSize])
	}
	return events, r.next
}

// Flushed confirms the events up to mark.
func (r *Ring) Flushed(mark int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushed = max(r.flushed, mark)
}
