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
	// busyRetry is when a suspect may ask for a permit again.
	busyRetry = 500 * time.Millisecond
	// beatRecords is how many records a heartbeat repeats.
	beatRecords = 16
)

var (
	suspectsTotal  = metrics.NewCounter("kingcupquay_quarantine_suspects_total")
	condemnedTotal = metrics.NewCounter("kingcupquay_quarantine_condemned_total")
	refusedTotal   = metrics.NewCounter("kingcupquay_quarantine_refused_total")
)

// Peers reaches the other hosts.
type Peers interface {
	// Permit asks the zone's home host of suspects for a permit. The record
	// tells a home that missed it what the body is suspected of.
	Permit(ctx context.Context, r Record, server, run string) (Verdict, error)
	// Release tells the home host that a permitted run has ended.
	Release(ctx context.Context, f Fingerprint, run string)
	// Broadcast tells all live hosts and returns when they know or can't be reached.
	Broadcast(ctx context.Context, r Record)
}

// Guard stands between a dispatcher and the back ends.
type Guard struct {
	timer timer.Service
	peers Peers
	note  func(kind, cause string, subjects ...string)

	mu sync.Mutex
	// book is guarded by mu, which is never held during a call to peers.
	book *Registry
}

// NewGuard returns a guard without records.
func NewGuard(t timer.Service, peers Peers, note func(kind, cause string, subjects ...string)) *Guard {
	return &Guard{timer: t, peers: peers, note: note, book: NewRegistry()}
}

// Check refuses a condemned body.
func (g *Guard) Check(r *request.Request) *result.Error {
	record, held := g.look(r)
	if held && record.State == Condemned {
		return g.refusal(record)
	}
	return nil
}

func (g *Guard) look(r *request.Request) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Lookup(g.timer.Now(), r.Fingerprint())
}

func (g *Guard) refusal(r Record) *result.Error {
	refusedTotal.Inc()
	return result.New(result.Quarantined, "the body crashed the servers %v that ran it", r.Servers)
}

// Admit lets a request run at a server or refuses it; permitted says that the
// run is a suspect's, which Ended has to give back.
func (g *Guard) Admit(ctx context.Context, r *request.Request, server string) (permitted bool, failure *result.Error) {
	record, held := g.look(r)
	switch {
	case !held:
		return false, nil
	case record.State == Condemned:
		return false, g.refusal(record)
	}
	verdict, err := g.peers.Permit(ctx, record, server, r.ID())
	switch {
	case err != nil:
		return false, result.New(result.Overloaded, "no permit for a suspect body: %v", err).WithRetry(busyRetry)
	case verdict == Refused:
		return false, g.refusal(record)
	case verdict == Busy:
		return false, result.New(result.Overloaded, "a server crashed under this body; its next run has to wait").WithRetry(busyRetry)
	}
	return verdict == Permitted, nil
}

// RecordEnd takes the end of an admitted run. After a crash it returns only when
// the other hosts know of it.
func (g *Guard) RecordEnd(ctx context.Context, r *request.Request, server string, permitted bool, failure *result.Error) {
	ctx = context.WithoutCancel(ctx)
	switch {
	case failure == nil:
		g.mu.Lock()
		record, news := g.book.RecordSuccess(g.timer.Now(), r.Fingerprint(), server)
		g.mu.Unlock()
		if news {
			g.note("body cleared", "it ran to its end at "+server, r.FingerprintHex(), r.ID())
			g.peers.Broadcast(ctx, record)
		}
	case failure.Code() == result.BackendCrashed:
		g.crashed(ctx, r, server, permitted)
	}
	if permitted {
		g.peers.Release(ctx, r.Fingerprint(), r.ID())
	}
}

func (g *Guard) crashed(ctx context.Context, r *request.Request, server string, permitted bool) {
	g.mu.Lock()
	record, news := g.book.RecordCrash(g.timer.Now(), r.Fingerprint(), r.Service(), server, permitted)
	g.mu.Unlock()
	if !news {
		return
	}
	if record.State == Condemned {
		condemnedTotal.Inc()
	} else {
		suspectsTotal.Inc()
	}
	g.note("body "+record.State.String(), server+" crashed while it ran the body", r.FingerprintHex(), r.ID(), server, r.Service())
	g.peers.Broadcast(ctx, record)
}

// Merge takes a record of another host.
func (g *Guard) Merge(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Merge(g.timer.Now(), r)
}

// Permit decides for the zone, on the home host.
func (g *Guard) Permit(r Record, server, run string) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	g.book.Merge(now, r)
	return g.book.Permit(now, r.Fingerprint, server, run)
}

// Release ends a permit on the home host.
func (g *Guard) Release(f Fingerprint, run string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Release(f, run)
}

// Lift clears a body on all hosts; false if nothing is held against it.
func (g *Guard) Lift(ctx context.Context, f Fingerprint) bool {
	g.mu.Lock()
	record, held := g.book.Lift(g.timer.Now(), f)
	g.mu.Unlock()
	if held {
		g.peers.Broadcast(ctx, record)
	}
	return held
}

// List returns the suspects and the condemned, newest first.
func (g *Guard) List() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.List(g.timer.Now())
}

// Newest returns the records that a heartbeat repeats.
func (g *Guard) Newest() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Newest(g.timer.Now(), beatRecords)
}
