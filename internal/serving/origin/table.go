// Package origin keeps which software version of a service began a stream.
//
// What two versions write does not fit together, and servers do not check it. A
// caller whose stream broke off may take it up again at any host, which then has
// to find the version that began the stream. Each host keeps that of the streams
// that its callers began or took up, until the callers stop waiting for them.
// While several versions of a service are in service, and for as long after that
// as a stream may be taken up, it also records them for the other hosts and for
// its own next start; see Record.
//
// A stream that is in no record began at the only version of its service, provided
// that there has been no other one for that long, as this host has seen or as the
// records that it read after its start show. Otherwise its version is unknown, and
// unknown is not any version: no server may go on with the stream.
//
// The package reads neither the clock nor the network. A Table is safe for
// concurrent use.
package origin

import (
	"slices"
	"sync"
	"time"
)

const (
	// initialLife is the assumed time in which a stream may be taken up, before a
	// longer one was seen. maxLife bounds what callers ask for.
	initialLife = 10 * time.Second
	maxLife     = time.Minute
	// maxStreams bounds the calls that a host keeps, each take-up of a stream
	// counted, and maxRecorded those in its record; the oldest are dropped first.
	maxStreams  = 8192
	maxRecorded = 1024
)

// Stream says which servers may go on with a stream.
type Stream struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

// Knowledge is what a host knows about the origin of a stream.
type Knowledge uint8

// The values of Knowledge.
const (
	// Unknown means that no server may go on.
	Unknown Knowledge = iota
	// Inferred means that the stream can only have begun at the one version.
	Inferred
	// Known means that a host has kept it.
	Known
)

// entry is the origin of the stream of one call, kept until a time.
type entry struct {
	Stream
	until time.Time
}

// service is what this host has seen of the software versions of one service.
type service struct {
	// versions are those in service, sorted. They are kept while no server is.
	versions []string
	// mixedAt is when there was last more than one version, or a change from one
	// to another; zero if never.
	mixedAt time.Time
}

// Table holds the origins of streams that one host knows.
type Table struct {
	mu      sync.Mutex
	started time.Time
	// streams holds what this host has kept, by call ID, and order its keys from
	// the oldest to the newest.
	streams map[string]entry
	order   []expiry
	// recorded holds what all hosts have recorded, by call ID; the zero Stream if
	// their records differ.
	recorded map[string]Stream
	services map[string]*service
	// life is the longest time in which a stream may be taken up.
	life time.Duration
	// recordsRead is set once the records of all hosts have been read: none shows a
	// second version that this host did not see.
	recordsRead bool
	// changed is set if the record in the store is out of date, stored if there is
	// one.
	changed, stored bool
}

// expiry is when an entry is dropped.
type expiry struct {
	id    string
	until time.Time
}

// NewTable returns a table for a host that starts now.
func NewTable(now time.Time) *Table {
	return &Table{
		started: now, streams: make(map[string]entry), recorded: make(map[string]Stream), services: make(map[string]*service), life: initialLife,
	}
}

// Observe stores the software versions of a service's servers.
func (t *Table) Observe(now time.Time, name string, versions []string) {
	if len(versions) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	wasMixed := t.mixed(now, name)
	replaced := len(s.versions) > 0 && !slices.Equal(s.versions, versions)
	s.versions = slices.Clone(versions)
	if len(versions) > 1 || replaced {
		s.mixedAt = now
	}
	if t.mixed(now, name) && !wasMixed {
		t.changed = true
	}
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// mixed reports whether a stream that may still be taken up can have begun at
// another version than the present one. The caller holds t.mu.
func (t *Table) mixed(now time.Time, name string) bool {
	s := t.services[name]
	return s != nil && !s.mixedAt.IsZero() && now.Sub(s.mixedAt) <= t.life
}

// Begin keeps the origin of the stream that the given calls belong to, until the
// caller stops waiting for it.
func (t *Table) Begin(now time.Time, calls []string, s Stream, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if life := until.Sub(now); life > maxLife {
		until = now.Add(maxLife)
	}
	t.life = max(t.life, until.Sub(now))
	t.keep(now, calls, s, until)
}

func (t *Table) keep(now time.Time, calls []string, s Stream, until time.Time) {
	for _, id := range calls {
		t.streams[id] = entry{s, until}
		t.order = append(t.order, expiry{id, until})
	}
	if t.mixed(now, s.Service) {
		t.changed = true
	}
	t.expire(now)
}

// expire drops the entries that are over, and the oldest ones beyond maxStreams.
// The caller holds t.mu.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && (now.After(t.order[0].until) || len(t.order) > maxStreams) {
		if oldest := t.order[0]; t.streams[oldest.id].until.Equal(oldest.until) {
			delete(t.streams, oldest.id)
		}
		t.order = t.order[1:]
	}
}

// Find returns the origin of the stream that began with one of the given calls,
// as its caller says, and takes part in a service. Several calls of different or
// unknown origin have none. current is set if this host's list of servers is up to
// date.
func (t *Table) Find(now time.Time, calls []string, service string, current bool) (Stream, Knowledge) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found Stream
	known := 0
	for _, id := range calls {
		s, ok := t.find(id)
		if !ok {
			continue
		}
		if known > 0 && s != found {
			return Stream{}, Unknown
		}
		found = s
		known++
	}
	switch {
	case known > 0 && known == len(calls):
		return found, Known
	case known == 0 && current && t.infers(now, service):
		return Stream{Service: service, Software: t.services[service].versions[0]}, Inferred
	}
	return Stream{}, Unknown
}

// infers reports whether every stream of a service that may still be taken up and
// that is not kept began at its one version. The caller holds t.mu.
func (t *Table) infers(now time.Time, name string) bool {
	s := t.services[name]
	return s != nil && len(s.versions) == 1 && s.versions[0] != "" && !t.mixed(now, name) && (t.recordsRead || now.Sub(t.started) > t.life)
}

func (t *Table) find(id string) (Stream, bool) {
	if e, known := t.streams[id]; known {
		return e.Stream, true
	}
	s, known := t.recorded[id]
	return s, known && s != Stream{}
}
