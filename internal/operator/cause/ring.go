// Package cause records state changes as events and derives the most likely
// cause of a failure from them.
//
// An event has a time, a kind, a cause and the subjects that it concerns. A host
// keeps its latest events in a ring buffer and flushes them to the platform's
// store in groups, so that the events up to the last flush survive the loss of
// the host. HostTransitions and StoreTransitions turn observed states into
// events; Explain selects the events related to a subject and weighs them as
// candidates for the root cause.
//
// The kinds and causes in the table of event classes match stored events and
// log lines, also those of older builds, so they must not be reworded.
package cause

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// ringCapacity is the maximum number of events that a host keeps.
const ringCapacity = 8192

// Event is one change of state.
type Event struct {
	At   time.Time `json:"at"`
	Host string    `json:"host"`
	// Kind is what changed, Cause the reason.
	Kind  string `json:"kind"`
	Cause string `json:"cause"`
	// Subjects are the ids of the requests, jobs, services, backend servers and
	// hosts that the event concerns.
	Subjects []string `json:"subjects"`
}

// Ring holds a host's latest events. It is safe for concurrent use.
type Ring struct {
	host string
	now  func() time.Time

	mu     sync.Mutex
	events []Event
	// added is the number of events ever added; event i is at index
	// i % ringCapacity.
	added int
	// flushed is the number of events confirmed by ConfirmFlushed.
	flushed int
	// counts holds the number of events of each kind in the current second.
	counts map[string]*kindCount
}

// maxPerSecond is the maximum number of events of one kind kept per second.
const maxPerSecond = 50

// kindCount is the number of events of one kind within one second.
type kindCount struct {
	second int64
	count  int
}

// NewRing returns an empty ring of a host.
func NewRing(host string, now func() time.Time) *Ring {
	return &Ring{host: host, now: now, counts: make(map[string]*kindCount)}
}

// Record increments the metric of the event's kind and adds the event, unless
// maxPerSecond events of that kind were added in the same second. The first event
// of that kind in a later second is preceded by one with the number of dropped
// events.
func (r *Ring) Record(kind, cause string, subjects ...string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("kingcupquay_events_total{kind=%q}", kind)).Inc()
	e := Event{At: r.now(), Host: r.host, Kind: kind, Cause: cause, Subjects: subjects}
	r.mu.Lock()
	defer r.mu.Unlock()
	counter, ok := r.counts[kind]
	if !ok {
		counter = new(kindCount)
		r.counts[kind] = counter
	}
	if second := e.At.Unix(); counter.second != second {
		if dropped := counter.count - maxPerSecond; dropped > 0 {
			r.add(Event{At: e.At, Host: r.host, Kind: kind, Cause: fmt.Sprintf("%d more of this kind were not kept", dropped)})
		}
		counter.second, counter.count = second, 0
	}
	if counter.count++; counter.count <= maxPerSecond {
		r.add(e)
	}
}

func (r *Ring) add(e Event) {
	if len(r.events) < ringCapacity {
		r.events = append(r.events, e)
	} else {
		r.events[r.added%ringCapacity] = e
	}
	r.added++
}

// About returns the latest events about a subject, oldest first. The subject ""
// selects all events.
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
	for i := r.added - 1; i >= max(0, r.added-ringCapacity) && len(found) < limit; i-- {
		if e := &r.events[i%ringCapacity]; keep(e) {
			found = append(found, *e)
		}
	}
	slices.Reverse(found)
	return found
}

// Unflushed returns the events not yet confirmed as flushed, and the position
// to pass to ConfirmFlushed once they are stored.
func (r *Ring) Unflushed() ([]Event, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := max(r.flushed, r.added-ringCapacity); i < r.added; i++ {
		events = append(events, r.events[i%ringCapacity])
	}
	return events, r.added
}

// ConfirmFlushed confirms that the events up to a position returned by
// Unflushed are stored.
func (r *Ring) ConfirmFlushed(position int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushed = max(r.flushed, position)
}
