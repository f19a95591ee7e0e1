// Package quarantine limits how many servers a request body can crash. A body
// that was running on a server when the server crashed becomes a suspect, unless
// it has succeeded recently. A suspect runs again only with a permit: one run at
// a time in the availability zone, and never on a server that is running another
// suspect or has just crashed. One host of the zone, the home host of suspects,
// grants all permits. A successful run clears a suspect; a second crash condemns
// it, and a condemned body is refused until its record expires or an operator
// lifts the quarantine. A body therefore crashes at most two servers, and a body
// that only happened to run on a server that another body crashed is cleared by
// one successful run.
//
// A Registry is the state machine over one host's records and does no I/O. A
// Guard passes it the outcomes of runs and broadcasts the records that change.
// After a crash the record is sent to all live hosts before the failure is
// returned to the caller, so that a resend to another host finds the suspect
// there. Heartbeats repeat the newest records for hosts that missed them.
// Records of one body are ordered by version, then by state, so that all hosts
// end up with the same record whatever the order of arrival.
//
// Limits: copies of a body that are already running on several servers at the
// first crash can't be recalled. While the hosts of a zone disagree on which
// hosts are live, two of them may each permit one run. A body that crashes
// servers only sometimes may crash more than two, since a host does not make it
// a suspect within successTTL after a success there.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// suspectTTL and condemnedTTL are how long a record is valid.
	suspectTTL   = 10 * time.Minute
	condemnedTTL = time.Hour
	// clearedTTL is how long the record of a cleared body is kept, so that older
	// versions that arrive late are ignored.
	clearedTTL = time.Minute
	// crashWindow is the time within which failures on one server count as the
	// same crash.
	crashWindow = 5 * time.Second
	// crashCooldown is how long a server gets no suspect after a crash, unless
	// it completes a request before.
	crashCooldown = 10 * time.Second
	// PermitTimeout bounds the duration of a permitted run.
	PermitTimeout = 10 * time.Minute
	// successTTL is how long after a success a crash does not make a body a
	// suspect.
	successTTL = 10 * time.Minute
	// maxRecords bounds the records of a host. successSlots is the size of the
	// table of recent successes and must be a power of two.
	maxRecords   = 4096
	successSlots = 1 << 12
)

// Fingerprint identifies the content of a request.
type Fingerprint = [16]byte

// State is the state of a body. Of two records with the same version, the one
// with the higher state wins.
type State int32

// The states of a body.
const (
	Clear State = iota
	Suspect
	Condemned
)

// String returns the state's English name.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Condemned:
		return "condemned"
	}
	return "clear"
}

// Record is the state of one body and the crashes that led to it.
type Record struct {
	Fingerprint Fingerprint
	Service     string
	State       State
	// Version is incremented with each change of the state, on whichever host.
	Version int64
	// Servers are the backend servers that crashed while they ran the body, in
	// order.
	Servers []string
	// ChangedAt is when this host stored the record, ExpiresAt when it expires.
	ChangedAt time.Time
	ExpiresAt time.Time
}

// Verdict is the answer to a request for a permit.
type Verdict int32

// The verdicts. NotSuspect means that the body needs no permit. Busy means that
// a run of the body or of another suspect on the server has to end first, or
// that the server crashed less than crashCooldown ago. Refused means that the
// body is condemned.
const (
	NotSuspect Verdict = iota
	Permitted
	Busy
	Refused
)

// permit is a permitted run in progress. Only the zone's home host of suspects
// stores permits.
type permit struct {
	runID     string
	server    string
	expiresAt time.Time
}

// success is the time of the last successful run of a body.
type success struct {
	fingerprint Fingerprint
	at          time.Time
}

// Registry holds the records of one host. It is not safe for concurrent use.
type Registry struct {
	// records has at most maxRecords entries.
	records map[Fingerprint]*Record
	// permits has at most one run per body and one per server.
	permits map[Fingerprint]permit
	// crashes holds the time of the last crash of each server that has completed
	// no request since.
	crashes map[string]time.Time
	// successes is a hash table without chaining: a new success replaces that of
	// another body in the same slot.
	successes []success
}

// NewRegistry returns a Registry without records.
func NewRegistry() *Registry {
	return &Registry{
		records: make(map[Fingerprint]*Record), permits: make(map[Fingerprint]permit),
		crashes: make(map[string]time.Time), successes: make([]success, successSlots),
	}
}

// Lookup returns the record of a body and reports whether it is a suspect or
// condemned. Of an expired record only the version is returned.
func (b *Registry) Lookup(now time.Time, f Fingerprint) (Record, bool) {
	r, ok := b.records[f]
	if !ok {
		return Record{Fingerprint: f}, false
	}
	if now.After(r.ExpiresAt) {
		return Record{Fingerprint: f, Version: r.Version}, false
	}
	return *r, r.State != Clear
}

// RecordCrash records that a server crashed while it ran the body. It returns
// the new record if the state changed. A body that has succeeded within
// successTTL and needed no permit does not become a suspect, since another body
// on the server is the likelier cause.
func (b *Registry) RecordCrash(now time.Time, f Fingerprint, service, server string, permitted bool) (Record, bool) {
	known, quarantined := b.Lookup(now, f)
	b.addCrash(now, server)
	switch {
	case known.State == Condemned:
		return known, false
	case !quarantined && !permitted && b.recentlySucceeded(now, f):
		return known, false
	case quarantined && !permitted && slices.Contains(known.Servers, server) && now.Sub(known.ChangedAt) < crashWindow:
		return known, false
	}
	next := Record{
		Fingerprint: f, Service: service, State: Suspect, Version: known.Version + 1,
		Servers: append(slices.Clone(known.Servers), server), ChangedAt: now, ExpiresAt: now.Add(suspectTTL),
	}
	if quarantined {
		next.State, next.ExpiresAt = Condemned, now.Add(condemnedTTL)
	}
	b.put(now, next)
	return next, true
}

// addCrash records the time of a server's crash and drops the times of crashes
// that are older than crashCooldown.
func (b *Registry) addCrash(now time.Time, server string) {
	for name, at := range b.crashes {
		if now.Sub(at) > crashCooldown {
			delete(b.crashes, name)
		}
	}
	b.crashes[server] = now
}

// RecordSuccess records a completed run, which clears a suspect.
func (b *Registry) RecordSuccess(now time.Time, f Fingerprint, server string) (Record, bool) {
	delete(b.crashes, server)
	*b.successSlot(f) = success{fingerprint: f, at: now}
	known, quarantined := b.Lookup(now, f)
	if !quarantined || known.State != Suspect {
		return known, false
	}
	return b.clear(now, known), true
}

// Lift clears a body at an operator's request.
func (b *Registry) Lift(now time.Time, f Fingerprint) (Record, bool) {
	known, quarantined := b.Lookup(now, f)
	if !quarantined {
		return known, false
	}
	return b.clear(now, known), true
}

func (b *Registry) clear(now time.Time, known Record) Record {
	known.State, known.Servers = Clear, nil
	known.Version++
	known.ChangedAt, known.ExpiresAt = now, now.Add(clearedTTL)
	delete(b.permits, known.Fingerprint)
	b.put(now, known)
	return known
}

// Merge stores a record from another host unless a record that has not expired
// is known and is as new or newer. It reports whether the record was stored.
// ExpiresAt of r must be a time of this host's clock.
func (b *Registry) Merge(now time.Time, r Record) bool {
	if known, ok := b.records[r.Fingerprint]; ok && !now.After(known.ExpiresAt) {
		if r.Version < known.Version || (r.Version == known.Version && r.State <= known.State) {
			return false
		}
	}
	r.ChangedAt = now
	if len(r.Servers) > 0 {
		b.addCrash(now, r.Servers[len(r.Servers)-1])
	}
	if r.State == Clear {
		delete(b.permits, r.Fingerprint)
	}
	b.put(now, r)
	return true
}

// Permit decides whether a body may run on a server. It is called only on the
// zone's home host of suspects. A permit ends with Release or after
// PermitTimeout.
func (b *Registry) Permit(now time.Time, f Fingerprint, server, runID string) Verdict {
	known, quarantined := b.Lookup(now, f)
	switch {
	case !quarantined:
		return NotSuspect
	case known.State == Condemned:
		return Refused
	case now.Sub(b.crashes[server]) < crashCooldown:
		return Busy
	}
	for other, p := range b.permits {
		if now.After(p.expiresAt) {
			delete(b.permits, other)
			continue
		}
		if other == f || p.server == server {
			return Busy
		}
	}
	b.permits[f] = permit{runID: runID, server: server, expiresAt: now.Add(PermitTimeout)}
	return Permitted
}

// Release ends the permit of a run.
func (b *Registry) Release(f Fingerprint, runID string) {
	if p, ok := b.permits[f]; ok && p.runID == runID {
		delete(b.permits, f)
	}
}

// List returns the records of suspects and condemned bodies, newest first.
func (b *Registry) List(now time.Time) []Record {
	return b.sorted(now, func(r *Record) bool { return r.State != Clear })
}

// Newest returns up to n records that changed last, including cleared ones.
func (b *Registry) Newest(now time.Time, n int) []Record {
	if len(b.records) == 0 {
		return nil
	}
	list := b.sorted(now, func(*Record) bool { return true })
	return list[:min(n, len(list))]
}

func (b *Registry) sorted(now time.Time, keep func(*Record) bool) []Record {
	var list []Record
	for _, r := range b.records {
		if !now.After(r.ExpiresAt) && keep(r) {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(x, y Record) int {
		return cmp.Or(y.ChangedAt.Compare(x.ChangedAt), slices.Compare(x.Fingerprint[:], y.Fingerprint[:]))
	})
	return list
}

// put stores a record. If there are maxRecords already, it first evicts some.
func (b *Registry) put(now time.Time, r Record) {
	if _, ok := b.records[r.Fingerprint]; !ok && len(b.records) >= maxRecords {
		b.evict(now)
	}
	b.records[r.Fingerprint] = &r
}

// evict removes the expired records. If that frees no space, it also removes the
// oldest of the records with the lowest state.
func (b *Registry) evict(now time.Time) {
	var evicted *Record
	for f, r := range b.records {
		if now.After(r.ExpiresAt) {
			delete(b.records, f)
			continue
		}
		if evicted == nil || r.State < evicted.State || (r.State == evicted.State && r.ChangedAt.Before(evicted.ChangedAt)) {
			evicted = r
		}
	}
	if len(b.records) >= maxRecords {
		delete(b.records, evicted.Fingerprint)
	}
}

// successSlot returns the slot for the body in the table of successes.
func (b *Registry) successSlot(f Fingerprint) *success {
	return &b.successes[binary.LittleEndian.Uint64(f[:])&(successSlots-1)]
}

func (b *Registry) recentlySucceeded(now time.Time, f Fingerprint) bool {
	p := b.successSlot(f)
	return p.fingerprint == f && !p.at.IsZero() && now.Sub(p.at) < successTTL
}
