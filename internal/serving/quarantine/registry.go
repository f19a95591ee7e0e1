// Package quarantine bounds the harm of a request body that crashes each
// server that runs it. A body that ran on a server when it crashed is a
// suspect; a suspect runs again only by permission, one run at a time in the
// zone and not beside another suspect on the same server. A success clears it,
// a second crash condemns it: it is refused until the record expires or an
// operator lifts it. So a body crashes two servers at most, and a body that
// only ran beside it needs one undisturbed run to be clear.
//
// A Book is one host's pure state machine over the records; a Guard feeds it
// and spreads its changes. A crash is told to all live hosts before the caller
// learns of the failure, so that a resend to another host finds the suspect
// known there; heartbeats repeat the newest records for hosts that missed it.
// Records of one body are ordered by version, then by state, so that hosts
// agree whatever the order of arrival.
//
// Traps: copies of a body that are in flight on several servers before the
// first crash can't be called back. While the zone's hosts disagree on who is
// live, two of them may each permit one run.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// suspectFor and condemnedFor are how long a record lasts.
	suspectFor   = 10 * time.Minute
	condemnedFor = time.Hour
	// clearFor is how long it is remembered that a body was cleared, so that
	// late news of older versions change nothing.
	clearFor = time.Minute
	// incident is how long failures on one server belong to the same crash.
	incident = 5 * time.Second
	// restart is how long a crashed server gets no suspect unless it succeeds.
	restart = 10 * time.Second
	// PermitTimeout bounds a permitted run.
	PermitTimeout = 10 * time.Minute
	// provenFor is how long a success speaks for a body.
	provenFor = 10 * time.Minute
	// maxRecords bounds the records of a host, provenSlots the successes that
	// it remembers; a power of two.
	maxRecords  = 4096
	provenSlots = 1 << 12
)

// Fingerprint identifies the content of a request.
type Fingerprint = [16]byte

// State is what is held against a body; a higher one wins a tie.
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

// Record is what is known of one body.
type Record struct {
	Fingerprint Fingerprint
	Service     string
	State       State
	// Version grows with each change of the state, over all hosts.
	Version int64
	// Servers are the back ends that crashed under the body, in order.
	Servers []string
	// ChangedAt is when this host took the state, Until when it expires.
	ChangedAt time.Time
	ExpiresAt time.Time
}

// Verdict is the answer to a request for a permit.
type Verdict int32

// The verdicts. Busy means that another run of the body, or another suspect on
// the server, has to end first.
const (
	NotSuspect Verdict = iota
	Permitted
	Busy
	Refused
)

// permit is a suspect's run in progress; its home host holds it.
type permit struct {
	run    string
	server string
	until  time.Time
}

// proof is a remembered success.
type proof struct {
	fingerprint Fingerprint
	at          time.Time
}

// Registry holds the records of one host.
type Registry struct {
	// records holds at most maxRecords.
	records map[Fingerprint]*Record
	// permits has at most one run per body and one per server.
	permits map[Fingerprint]permit
	// crashed holds the last crash of each server that has not succeeded since.
	crashed map[string]time.Time
	proofs  []proof
}

// NewRegistry returns a book without records.
func NewRegistry() *Registry {
	return &Registry{
		records: make(map[Fingerprint]*Record), permits: make(map[Fingerprint]permit),
		crashed: make(map[string]time.Time), proofs: make([]proof, provenSlots),
	}
}

// Lookup returns what is held against a body.
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

// RecordCrash notes that a server crashed while it ran the body. It returns the
// new record if the state changed. A body that succeeded not long ago is not
// suspected for a crash that it only shared.
func (b *Registry) RecordCrash(now time.Time, f Fingerprint, service, server string, permitted bool) (Record, bool) {
	known, held := b.Lookup(now, f)
	b.noteCrash(now, server)
	switch {
	case known.State == Condemned:
		return known, false
	case !held && !permitted && b.proven(now, f):
		return known, false
	case held && !permitted && slices.Contains(known.Servers, server) && now.Sub(known.ChangedAt) < incident:
		return known, false
	}
	next := Record{
		Fingerprint: f, Service: service, State: Suspect, Version: known.Version + 1,
		Servers: append(slices.Clone(known.Servers), server), ChangedAt: now, ExpiresAt: now.Add(suspectFor),
	}
	if held {
		next.State, next.ExpiresAt = Condemned, now.Add(condemnedFor)
	}
	b.put(now, next)
	return next, true
}

func (b *Registry) noteCrash(now time.Time, server string) {
	for name, at := range b.crashed {
		if now.Sub(at) > restart {
			delete(b.crashed, name)
		}
	}
	b.crashed[server] = now
}

// RecordSuccess notes a whole answer, which clears a suspect.
func (b *Registry) RecordSuccess(now time.Time, f Fingerprint, server string) (Record, bool) {
	delete(b.crashed, server)
	*b.proof(f) = proof{fingerprint: f, at: now}
	known, held := b.Lookup(now, f)
	if !held || known.State != Suspect {
		return known, false
	}
	return b.clear(now, known), true
}

// Lift clears a body by an operator's order.
func (b *Registry) Lift(now time.Time, f Fingerprint) (Record, bool) {
	known, held := b.Lookup(now, f)
	if !held {
		return known, false
	}
	return b.clear(now, known), true
}

func (b *Registry) clear(now time.Time, known Record) Record {
	known.State, known.Servers = Clear, nil
	known.Version++
	known.ChangedAt, known.ExpiresAt = now, now.Add(clearFor)
	delete(b.permits, known.Fingerprint)
	b.put(now, known)
	return known
}

// Merge takes a record of another host; Until is on this host's clock.
func (b *Registry) Merge(now time.Time, r Record) bool {
	if known, ok := b.records[r.Fingerprint]; ok && !now.After(known.ExpiresAt) {
		if r.Version < known.Version || (r.Version == known.Version && r.State <= known.State) {
			return false
		}
	}
	r.ChangedAt = now
	if len(r.Servers) > 0 {
		b.noteCrash(now, r.Servers[len(r.Servers)-1])
	}
	if r.State == Clear {
		delete(b.permits, r.Fingerprint)
	}
	b.put(now, r)
	return true
}

// Permit decides on a run of a body at a server; only the home host of the
// zone's suspects is asked. A permit ends by Release or after PermitFor.
func (b *Registry) Permit(now time.Time, f Fingerprint, server, run string) Verdict {
	known, held := b.Lookup(now, f)
	switch {
	case !held:
		return NotSuspect
	case known.State == Condemned:
		return Refused
	case now.Sub(b.crashed[server]) < restart:
		return Busy
	}
	for other, p := range b.permits {
		if now.After(p.until) {
			delete(b.permits, other)
			continue
		}
		if other == f || p.server == server {
			return Busy
		}
	}
	b.permits[f] = permit{run: run, server: server, until: now.Add(PermitTimeout)}
	return Permitted
}

// Release ends a permitted run.
func (b *Registry) Release(f Fingerprint, run string) {
	if p, ok := b.permits[f]; ok && p.run == run {
		delete(b.permits, f)
	}
}

// List returns the suspects and the condemned, newest first.
func (b *Registry) List(now time.Time) []Record {
	return b.sorted(now, func(r *Record) bool { return r.State != Clear })
}

// Newest returns the records that changed last, cleared ones among them.
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

// put stores a record. A full book drops what expired, then the weakest and
// oldest record.
func (b *Registry) put(now time.Time, r Record) {
	if _, ok := b.records[r.Fingerprint]; !ok && len(b.records) >= maxRecords {
		b.makeRoom(now)
	}
	b.records[r.Fingerprint] = &r
}

func (b *Registry) makeRoom(now time.Time) {
	var weakest *Record
	for f, r := range b.records {
		if now.After(r.ExpiresAt) {
			delete(b.records, f)
			continue
		}
		if weakest == nil || r.State < weakest.State || (r.State == weakest.State && r.ChangedAt.Before(weakest.ChangedAt)) {
			weakest = r
		}
	}
	if len(b.records) >= maxRecords {
		delete(b.records, weakest.Fingerprint)
	}
}

func (b *Registry) proof(f Fingerprint) *proof {
	return &b.proofs[binary.LittleEndian.Uint64(f[:])&(provenSlots-1)]
}

func (b *Registry) proven(now time.Time, f Fingerprint) bool {
	p := b.proof(f)
	return p.fingerprint == f && !p.at.IsZero() && now.Sub(p.at) < provenFor
}
