package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

const (
	// busyRetryAfter is the retry delay for a suspect that got no permit.
	busyRetryAfter = 500 * time.Millisecond
	// heartbeatRecords is the number of records in a heartbeat.
	heartbeatRecords = 16
)

var (
	suspectsTotal  = metrics.NewCounter("kingcupquay_quarantine_suspects_total")
	condemnedTotal = metrics.NewCounter("kingcupquay_quarantine_condemned_total")
	refusedTotal   = metrics.NewCounter("kingcupquay_quarantine_refused_total")
)

// Peers sends quarantine messages to other hosts.
type Peers interface {
	// Permit asks the zone's home host of suspects for a permit. The record is
	// sent along in case the home host has missed it.
	Permit(ctx context.Context, r Record, server, runID string) (Verdict, error)
	// Release tells the home host that a permitted run has ended.
	Release(ctx context.Context, f Fingerprint, runID string)
	// Broadcast sends the record to all live hosts. It returns when each of them has
	// received it or can't be reached.
	Broadcast(ctx context.Context, r Record)
}

// Guard decides for a dispatcher which requests may run on which backend
// servers. It is safe for concurrent use.
type Guard struct {
	timer       timer.Service
	peers       Peers
	recordEvent func(kind, cause string, subjects ...string)

	mu sync.Mutex
	// records is protected by mu, which is not held during calls to peers.
	records *Registry
}

// NewGuard returns a guard without records.
func NewGuard(t timer.Service, peers Peers, recordEvent func(kind, cause string, subjects ...string)) *Guard {
	return &Guard{timer: t, peers: peers, recordEvent: recordEvent, records: NewRegistry()}
}

// Check refuses a condemned body.
func (g *Guard) Check(r *request.Request) *result.Error {
	record, held := g.lookup(r)
	if held && record.State == Condemned {
		return g.refusal(record)
	}
	return nil
}

func (g *Guard) lookup(r *request.Request) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records.Lookup(g.timer.Now(), r.Fingerprint())
}

func (g *Guard) refusal(r Record) *result.Error {
	refusedTotal.Inc()
	return result.New(result.Quarantined, "the body crashed the servers %v that ran it", r.Servers)
}

// Admit decides whether a request may run on a server. If permitted is true,
// the run has a permit, and the caller must pass that to Ended, which releases
// the permit.
func (g *Guard) Admit(ctx context.Context, r *request.Request, server string) (permitted bool, failure *result.Error) {
	record, held := g.lookup(r)
	switch {
	case !held:
		return false, nil
	case record.State == Condemned:
		return false, g.refusal(record)
	}
	verdict, err := g.peers.Permit(ctx, record, server, r.ID())
	switch {
	case err != nil:
		return false, result.New(result.Overloaded, "no permit for a suspect body: %v", err).WithRetry(busyRetryAfter)
	case verdict == Refused:
		return false, g.refusal(record)
	case verdict == Busy:
		return false, result.New(result.Overloaded, "a server crashed under this body; its next run has to wait").WithRetry(busyRetryAfter)
	}
	return verdict == Permitted, nil
}

// RecordEnd records the outcome of an admitted run. After a crash that changes the
// record it returns only once Spread has sent the new record.
func (g *Guard) RecordEnd(ctx context.Context, r *request.Request, server string, permitted bool, failure *result.Error) {
	ctx = context.WithoutCancel(ctx)
	switch {
	case failure == nil:
		g.mu.Lock()
		record, changed := g.records.RecordSuccess(g.timer.Now(), r.Fingerprint(), server)
		g.mu.Unlock()
		if changed {
			g.recordEvent("body cleared", "it ran to its end at "+server, r.FingerprintHex(), r.ID())
			g.peers.Broadcast(ctx, record)
		}
	case failure.Code() == result.BackendCrashed:
		g.recordCrash(ctx, r, server, permitted)
	}
	if permitted {
		g.peers.Release(ctx, r.Fingerprint(), r.ID())
	}
}

// recordCrash records a crash and broadcasts the record if it changed.
func (g *Guard) recordCrash(ctx context.Context, r *request.Request, server string, permitted bool) {
	g.mu.Lock()
	record, changed := g.records.RecordCrash(g.timer.Now(), r.Fingerprint(), r.Service(), server, permitted)
	g.mu.Unlock()
	if !changed {
		return
	}
	if record.State == Condemned {
		condemnedTotal.Inc()
	} else {
		suspectsTotal.Inc()
	}
	g.recordEvent("body "+record.State.String(), server+" crashed while it ran the body", r.FingerprintHex(), r.ID(), server, r.Service())
	g.peers.Broadcast(ctx, record)
}

// Merge stores a record from another host unless the known one is as new or
// newer.
func (g *Guard) Merge(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records.Merge(g.timer.Now(), r)
}

// Permit decides on a request for a permit. It is called only on the zone's home
// host of suspects. r is stored first, in case this host has missed it.
func (g *Guard) Permit(r Record, server, runID string) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	g.records.Merge(now, r)
	return g.records.Permit(now, r.Fingerprint, server, runID)
}

// Release ends the permit of a run on the home host.
func (g *Guard) Release(f Fingerprint, runID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records.Release(f, runID)
}

// Lift clears a body on all hosts. It returns false if the body is neither a
// suspect nor condemned.
func (g *Guard) Lift(ctx context.Context, f Fingerprint) bool {
	g.mu.Lock()
	record, held := g.records.Lift(g.timer.Now(), f)
	g.mu.Unlock()
	if held {
		g.peers.Broadcast(ctx, record)
	}
	return held
}

// List returns the records of suspects and condemned bodies, newest first.
func (g *Guard) List() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records.List(g.timer.Now())
}

// Newest returns the records to put into a heartbeat.
func (g *Guard) Newest() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records.Newest(g.timer.Now(), heartbeatRecords)
}
