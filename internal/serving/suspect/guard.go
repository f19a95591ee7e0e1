package suspect

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// soundEvents is the number of events that prove a server to be able to answer a
// prompt.
const soundEvents = 2

// minRetryAfter is the least retry delay of a refusal. The delay is otherwise the
// time until the next trial of the part.
const minRetryAfter = time.Second

var (
	accusedTotal   = metrics.NewCounter("kingcupquay_suspect_accused_total")
	condemnedTotal = metrics.NewCounter("kingcupquay_suspect_condemned_total")
	withdrawnTotal = metrics.NewCounter("kingcupquay_suspect_withdrawn_total")
	refusedTotal   = metrics.NewCounter("kingcupquay_suspect_refused_total")
	trialsTotal    = metrics.NewCounter("kingcupquay_suspect_trials_total")
)

// Fleet connects a Guard to the other hosts.
type Fleet interface {
	// IsTrialHost reports whether this host is the one that sends the trials of a
	// part.
	IsTrialHost(part string) bool
	// ShareSoon requests that the records be sent to other hosts soon.
	ShareSoon()
}

// Alone is the Fleet of a host without others.
type Alone struct{}

var _ Fleet = Alone{}

// IsTrialHost returns true.
func (Alone) IsTrialHost(string) bool { return true }

// ShareSoon does nothing.
func (Alone) ShareSoon() {}

// Guard decides which requests may be sent to servers. It is safe for concurrent
// use.
type Guard struct {
	timer timer.Service
	log   logr.Logger
	fleet Fleet

	mu sync.Mutex
	// registry is protected by mu, which is not held during calls to
	// Fleet.ShareSoon.
	registry *Registry
}

// NewGuard returns a guard without records.
func NewGuard(t timer.Service, log logr.Logger, fleet Fleet) *Guard {
	return &Guard{timer: t, log: log, fleet: fleet, registry: NewRegistry()}
}

// Check refuses a request with a condemned part, unless it may be sent as a
// trial.
func (g *Guard) Check(parts []string) *result.Error {
	if len(parts) == 0 {
		return nil
	}
	now := g.timer.Now()
	g.mu.Lock()
	r, refused := g.registry.Refusing(now, parts, g.fleet.IsTrialHost)
	g.mu.Unlock()
	if !refused {
		return nil
	}
	return refusal(now, r)
}

func refusal(now time.Time, r Record) *result.Error {
	refusedTotal.Inc()
	return result.New(result.CrashingPart, "the servers %v ended under part %s of the prompt", r.Servers, r.Part).
		WithRetry(max(minRetryAfter, r.NextTrial().Sub(now)))
}

// Begin is Check for a request that is sent right after it.
func (g *Guard) Begin(request string, parts []string) *result.Error {
	if len(parts) == 0 {
		return nil
	}
	now := g.timer.Now()
	g.mu.Lock()
	refusing, refused := g.registry.Refusing(now, parts, g.fleet.IsTrialHost)
	var trial Record
	var onTrial bool
	if !refused {
		trial, onTrial = g.registry.BeginTrial(now, parts)
	}
	g.mu.Unlock()
	switch {
	case refused:
		return refusal(now, refusing)
	case onTrial:
		trialsTotal.Inc()
		g.log.Info("trial of a part", "part", trial.Part, "request", request, "trial", trial.Trials, "servers", trial.Servers)
		g.fleet.ShareSoon()
	}
	return nil
}

// Answering reports that a server has sent n events to a request so far, or its
// complete answer if done.
func (g *Guard) Answering(request string, parts []string, n int, done bool) {
	if len(parts) == 0 || !done && n < soundEvents {
		return
	}
	g.mu.Lock()
	withdrawn := g.registry.RecordAnswer(g.timer.Now(), parts)
	g.mu.Unlock()
	for _, r := range withdrawn {
		withdrawnTotal.Inc()
		g.log.Info("accusation withdrawn", "part", r.Part, "request", request, "cause", "a server answered a prompt with the part")
	}
	if len(withdrawn) > 0 {
		g.fleet.ShareSoon()
	}
}

// Accuses reports whether a server that ended after n events of its answer to a
// prompt with the parts is evidence against them.
func (g *Guard) Accuses(parts []string, n int) bool { return len(parts) > 0 && n < soundEvents }

// Crashed records that a server ended when it had begun to answer a request.
func (g *Guard) Crashed(request string, parts []string, server string) {
	g.mu.Lock()
	changed := g.registry.RecordCrash(g.timer.Now(), parts, server)
	g.mu.Unlock()
	for _, r := range changed {
		g.logAccusation(r, request)
	}
	if len(changed) > 0 {
		g.fleet.ShareSoon()
	}
}

func (g *Guard) logAccusation(r Record, request string) {
	accusedTotal.Inc()
	if !r.condemned {
		g.log.Info("part accused", "part", r.Part, "request", request, "servers", r.Servers, "version", r.Version)
		return
	}
	condemnedTotal.Inc()
	g.log.Info("part condemned", "part", r.Part, "request", request, "servers", r.Servers, "version", r.Version, "trials", r.Trials)
}

// Merge applies the reports of another host.
func (g *Guard) Merge(reports []Report) {
	if len(reports) == 0 {
		return
	}
	g.mu.Lock()
	changed := g.registry.Merge(g.timer.Now(), reports)
	g.mu.Unlock()
	if changed {
		g.fleet.ShareSoon()
	}
}

// Shared returns what to tell other hosts.
func (g *Guard) Shared() []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Shared(g.timer.Now())
}

// Accused returns the records of accused parts, those that changed last first.
func (g *Guard) Accused() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Accused(g.timer.Now())
}

// Withdraw ends the accusation of a part at all hosts. It returns false if the
// part is not accused.
func (g *Guard) Withdraw(part string) bool {
	g.mu.Lock()
	accused := g.registry.Withdraw(g.timer.Now(), part)
	g.mu.Unlock()
	if accused {
		withdrawnTotal.Inc()
		g.log.Info("accusation withdrawn", "part", part, "cause", "an operator withdrew it")
		g.fleet.ShareSoon()
	}
	return accused
}
