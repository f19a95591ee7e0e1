package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// maxReports bounds the samples of one message. A host sends four of them a second.
const maxReports = 8

// Report is a sample that a host measured at a server.
type Report struct {
	Server string
	Sample
}

type pendingKey struct {
	server string
	kind   Kind
}

// maxPending bounds the samples that wait for a message, as of a host that sends
// none.
const maxPending = 256

// queue adds a sample to those that Reports returns, one for each server and kind.
func (t *Table) queue(id string, s Sample) {
	key := pendingKey{id, s.Kind}
	p, known := t.pending[key]
	if !known {
		if len(t.pending) < maxPending {
			t.pending[key] = s
		}
		return
	}
	total := p.Count + s.Count
	part := float64(s.Count) / float64(total)
	log := math.Log(p.Took.Seconds())*(1-part) + math.Log(s.Took.Seconds())*part
	t.pending[key] = Sample{
		Kind: s.Kind, Took: time.Duration(math.Exp(log) * float64(time.Second)), Count: total,
		Load: int(math.Round(float64(p.Load)*(1-part) + float64(s.Load)*part)),
	}
}

// Reports returns the samples that this host measured since it last did, for other
// hosts. Those beyond maxReports are dropped; the next call begins with the servers after
// the last one that was returned.
func (t *Table) Reports() []Report {
	keys := slices.SortedFunc(maps.Keys(t.pending), comparePending)
	if first := slices.IndexFunc(keys, func(k pendingKey) bool { return comparePending(k, t.lastReported) > 0 }); first > 0 {
		keys = slices.Concat(keys[first:], keys[:first])
	}
	var list []Report
	for _, key := range keys[:min(maxReports, len(keys))] {
		list = append(list, Report{key.server, t.pending[key]})
		t.lastReported = key
	}
	clear(t.pending)
	return list
}

func comparePending(a, b pendingKey) int {
	return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.kind, b.kind))
}

const (
	// changeInterval is the least time between two changes of a server that Changes
	// returns.
	changeInterval = time.Second
	// notableFactor is by which factor the relative time of a server must change to
	// be notable, notableShare by which part of its slots its good concurrency.
	notableFactor = 1.5
	notableShare  = 0.25
)

// Change is a notable change of a server.
type Change struct {
	Server Server
	// Relative is its time at a low load relative to the typical server, Good its
	// good concurrency.
	Relative float64
	Good     int
	// Cells is the number of cells that the estimate rests on.
	Cells int
}

// Changes returns the servers that changed notably since it returned them last.
func (t *Table) Changes(now time.Time, objective func(service string) Objective) []Change {
	var list []Change
	for id := range t.touched {
		s := t.servers[id]
		if s == nil || now.Sub(s.reportedAt) < changeInterval {
			continue
		}
		delete(t.touched, id)
		key := Server{ID: id, Service: s.service, Slots: s.slots}
		if t.current(now, key) == nil {
			continue
		}
		c := Change{Server: key, Relative: t.Relative(now, key, 1), Good: t.Good(now, key, objective(s.service)), Cells: s.cells}
		factor := math.Abs(math.Log(c.Relative / s.reported.Relative))
		diff := math.Abs(float64(c.Good - s.reported.Good))
		if factor < math.Log(notableFactor) && (diff == 0 || diff < notableShare*float64(s.slots)) {
			continue
		}
		s.reported, s.reportedAt = c, now
		list = append(list, c)
	}
	return list
}
