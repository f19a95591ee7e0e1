// Package cause keeps the changes of state that explain what happened: each is
// an event with its time, its cause and the subjects it concerns. A host keeps
// the latest events in a ring of fixed size and flushes them to the platform's
// store in groups, so that the story outlives the host up to its last flush.
package cause

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	// floods counts the events of each kind in the present second.
	floods map[string]*flood
}

// maxPerSecond bounds the events of one kind that are kept in a second.
const maxPerSecond = 50

// flood is how many events of one kind came in a second.
type flood struct {
	second int64
	count  int
}

// NewRing returns an empty ring of a host.
func NewRing(host string, now func() time.Time) *Ring {
	return &Ring{host: host, now: now, floods: make(map[string]*flood)}
}

// Note counts an event and adds it, unless too many of its kind came in the
// same second.
func (r *Ring) Note(kind, cause string, subjects ...string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("kingcupquay_events_total{kind=%q}", kind)).Inc()
	e := Event{At: r.now(), Host: r.host, Kind: kind, Cause: cause, Subjects: subjects}
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.floods[kind]
	if !ok {
		f = new(flood)
		r.floods[kind] = f
	}
	if second := e.At.Unix(); f.second != second {
		if more := f.count - maxPerSecond; more > 0 {
			r.add(Event{At: e.At, Host: r.host, Kind: kind, Cause: fmt.Sprintf("%d more of this kind were not kept", more)})
		}
		f.second, f.count = second, 0
	}
	if f.count++; f.count <= maxPerSecond {
		r.add(e)
	}
}

func (r *Ring) add(e Event) {
	if len(r.events) < ringSize {
		r.events = append(r.events, e)
	} else {
		r.events[r.next%ringSize] = e
	}
	r.next++
}

// About returns the latest events about a subject, oldest first; "" is all.
func (r *Ring) About(subject string, limit int) []Event {
	if subject == "" {
		return r.latest(limit, func(*Event) bool { return true })
	}
	return r.AboutAny([]string{subject}, limit)
}

// AboutAny returns the latest events about any of the subjects, oldest first.
func (r *Ring) AboutAny(subjects []string, limit int) []Event {
	wanted := make(map[string]bool, len(subjects))
	for _, subject := range subjects {
		wanted[subject] = true
	}
	return r.latest(limit, func(e *Event) bool {
		return slices.ContainsFunc(e.Subjects, func(subject string) bool { return wanted[subject] })
	})
}

func (r *Ring) latest(limit int, keep func(*Event) bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := r.next - 1; i >= max(0, r.next-ringSize) && len(found) < limit; i-- {
		if e := &r.events[i%ringSize]; keep(e) {
			found = append(found, *e)
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
