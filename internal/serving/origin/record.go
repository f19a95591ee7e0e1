package origin

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// RecordPrefix is the prefix of the store keys of the hosts' records. Each host
// has one key, which it writes as a whole.
const RecordPrefix = "streams/"

// RecordKey returns the key of a host's record.
func RecordKey(host string) string { return RecordPrefix + host }

// Record is what a host keeps in the store about the origins of streams.
type Record struct {
	// WrittenMs is the time of day by the writer's clock, in Unix milliseconds.
	WrittenMs int64 `json:"written_ms"`
	// MixedMs holds the services with streams of several software versions, and how
	// long before the record was written several were last in service, in
	// milliseconds.
	MixedMs map[string]int64 `json:"mixed_ms"`
	// LifeMs is the longest time, in milliseconds, in which a stream may be taken up,
	// as far as the writer has seen.
	LifeMs  int64            `json:"life_ms"`
	Streams []RecordedStream `json:"streams,omitempty"`
}

// RecordedStream lists calls whose streams have one origin.
type RecordedStream struct {
	Stream
	Calls []string `json:"calls"`
}

// Encode returns the stored encoding of the record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

// DecodeRecord decodes a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, trace.BadParameter("record of streams: %v", err)
	}
	return r, nil
}

// Age returns how long ago the record was written, by the reader's time of day.
func (r Record) Age(wall time.Time) time.Duration {
	return max(0, wall.Sub(time.UnixMilli(r.WrittenMs)))
}

// Action is what a host has to do with its record.
type Action uint8

// The actions.
const (
	// Leave leaves the stored record, or its absence, as it is.
	Leave Action = iota
	Write
	Delete
)

// NextRecord returns this host's record if it has to be written. After a failure
// to write or delete it the caller must call Failed.
func (t *Table) NextRecord(now, wall time.Time) (Record, Action) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := Record{WrittenMs: wall.UnixMilli(), LifeMs: t.life.Milliseconds(), MixedMs: make(map[string]int64)}
	for name, s := range t.services {
		if t.mixed(now, name) {
			r.MixedMs[name] = now.Sub(s.mixedAt).Milliseconds()
		}
	}
	if len(r.MixedMs) == 0 {
		if !t.stored {
			return Record{}, Leave
		}
		t.stored = false
		return Record{}, Delete
	}
	if !t.changed {
		return Record{}, Leave
	}
	t.changed, t.stored = false, true
	calls := make(map[Stream][]string)
	// The newest entries come first: these are dropped last.
	for n, i := 0, len(t.order)-1; i >= 0 && n < maxRecorded; i-- {
		e, kept := t.streams[t.order[i].id]
		if _, mixed := r.MixedMs[e.Service]; kept && mixed && e.until.Equal(t.order[i].until) {
			calls[e.Stream] = append(calls[e.Stream], t.order[i].id)
			n++
		}
	}
	for s, ids := range calls {
		r.Streams = append(r.Streams, RecordedStream{s, ids})
	}
	return r, Write
}

// Failed reports that the last record may not have been written or deleted.
func (t *Table) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed, t.stored = true, true
}

// Merge stores the records of all hosts, as they were read from the store at a
// time of day. own is the one of this host; if it is that of an earlier run, its
// entries become this host's.
func (t *Table) Merge(now, wall time.Time, records []Record, own Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.recordsRead
	t.recordsRead = true
	t.recorded = make(map[string]Stream)
	for _, r := range records {
		t.life = max(t.life, min(maxLife, time.Duration(r.LifeMs)*time.Millisecond))
		for _, s := range r.Streams {
			for _, id := range s.Calls {
				if earlier, twice := t.recorded[id]; twice && earlier != s.Stream {
					t.recorded[id] = Stream{}
				} else {
					t.recorded[id] = s.Stream
				}
			}
		}
		for name, ms := range r.MixedMs {
			// Older times make no difference, and their sum doesn't overflow.
			ago := time.Duration(min(max(0, ms), 2*maxLife.Milliseconds())) * time.Millisecond
			at := now.Add(-min(r.Age(wall), 2*maxLife) - ago)
			wasMixed := t.mixed(now, name)
			if s := t.service(name); at.After(s.mixedAt) {
				s.mixedAt = at
			}
			if t.mixed(now, name) && !wasMixed {
				t.changed = true
			}
		}
	}
	if !first {
		return
	}
	for _, s := range own.Streams {
		t.keep(now, s.Calls, s.Stream, now.Add(t.life))
	}
	t.stored = t.stored || len(own.MixedMs) > 0
}

// Restored reports whether the record of this host's earlier run has been read.
func (t *Table) Restored() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordsRead
}
