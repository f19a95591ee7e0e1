package suspect

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

// minRetryAfter is the least retry delay of a refusal. The delay is otherwise the
// time until the next trial of the part.
const minRetryAfter = time.Second

// slowInterval is the interval at which runs are compared with those at servers that ended.
const slowInterval = 100 * time.Millisecond

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
	// ClaimTrial claims a trial in the store, with Claim. It returns an error if the
	// trial must not be sent.
	ClaimTrial(ctx context.Context, trial Record) error
	// ShareSoon requests that the records be sent to other hosts soon.
	ShareSoon()
	// KeepSoon requests that the store keep the records soon, with Kept and MergeKept.
	KeepSoon()
	// LearnSoon requests that the records that the store keeps be merged soon, with
	// MergeKept. They may be some seconds old.
	LearnSoon()
}

// Alone is the Fleet of a host without others.
type Alone struct{}

var _ Fleet = Alone{}

// IsTrialHost returns true.
func (Alone) IsTrialHost(string) bool { return true }

// ClaimTrial returns nil.
func (Alone) ClaimTrial(context.Context, Record) error { return nil }

// ShareSoon does nothing.
func (Alone) ShareSoon() {}

// KeepSoon does nothing.
func (Alone) KeepSoon() {}

// LearnSoon does nothing.
func (Alone) LearnSoon() {}

// Guard decides which requests may be sent to servers. It is safe for concurrent
// use.
type Guard struct {
	timer timer.Service
	log   logr.Logger
	fleet Fleet

	mu sync.Mutex
	// registry is protected by mu, which is not held during calls of the Fleet's
	// ShareSoon and KeepSoon.
	registry *Registry
	// watching is set while runs are compared at each slowInterval;
	// protected by mu.
	watching bool
	// reaches reports whether a start of a server can be reached.
	reaches func(start string) bool
}

// NewGuard returns a guard without records.
func NewGuard(t timer.Service, log logr.Logger, fleet Fleet) *Guard {
	return &Guard{timer: t, log: log, fleet: fleet, registry: NewRegistry(), reaches: func(string) bool { return true }}
}

// SetReaches sets how the guard asks whether a start of a server can be reached, before
// the first call.
func (g *Guard) SetReaches(reaches func(start string) bool) { g.reaches = reaches }

// subjects returns what a call can be refused for: the parts of its prompt and its body.
func subjects(c *exchange.Call) []string { return append(partsOf(c), bodyName(c)) }

// partsOf returns the parts of a call's prompt.
func partsOf(c *exchange.Call) []string {
	parts := slices.Clone(c.SharedParts)
	if c.LastPart != "" {
		parts = append(parts, c.LastPart)
	}
	return parts
}

// bodyName returns the name of the record of a call's body.
func bodyName(c *exchange.Call) string { return "body/" + strconv.FormatUint(c.ContentHash(), 16) }

// Check refuses a call with a condemned part or body, unless it may be sent as a
// trial.
func (g *Guard) Check(c *exchange.Call) *result.Error {
	now := g.timer.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Empty() {
		return nil
	}
	if r, refused := g.registry.Refusing(now, subjects(c), g.fleet.IsTrialHost); refused {
		return refusal(now, r)
	}
	return nil
}

func refusal(now time.Time, r Record) *result.Error {
	refusedTotal.Inc()
	return result.New(result.CrashesBackends, "the servers %v ended under %s", r.Servers, r.Part).
		WithRetry(max(minRetryAfter, r.NextTrial().Sub(now)))
}

// Begin is Check for a call that is sent right after it. It claims the trial if the
// call is one.
func (g *Guard) Begin(ctx context.Context, c *exchange.Call) *result.Error {
	trial, onTrial, failure := g.begin(g.timer.Now(), c)
	if !onTrial {
		return failure
	}
	err := g.fleet.ClaimTrial(ctx, trial)
	now := g.timer.Now()
	g.mu.Lock()
	g.registry.EndTrial(now, trial, c.ID, err == nil)
	g.mu.Unlock()
	if err != nil {
		g.log.Info("trial not sent", "part", trial.Part, "request", c.ID, "trial", trial.Trials, "cause", err.Error())
		return refusal(now, trial)
	}
	trialsTotal.Inc()
	g.log.Info("trial of a part", "part", trial.Part, "request", c.ID, "trial", trial.Trials, "servers", trial.Servers)
	g.spread()
	return nil
}

// Unreached reports that a call for which Begin returned nil has reached no server. If it
// was a trial, another one may be sent in its place.
func (g *Guard) Unreached(c *exchange.Call) {
	now := g.timer.Now()
	g.mu.Lock()
	r, returned := g.registry.ReturnTrial(now, subjects(c), c.ID)
	g.mu.Unlock()
	if !returned {
		return
	}
	g.log.Info("trial reached no server", "part", r.Part, "request", c.ID, "trials", r.Trials, "version", r.Version)
	g.spread()
}

// Claim is Registry.Claim, for ClaimTrial.
func (g *Guard) Claim(stored []Report, trial Record) ([]Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Claim(g.timer.Now(), stored, trial)
}

// begin decides and begins a trial in one step, so that only one of several calls
// is the next trial.
func (g *Guard) begin(now time.Time, c *exchange.Call) (trial Record, onTrial bool, failure *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Empty() {
		return Record{}, false, nil
	}
	list := subjects(c)
	if r, refused := g.registry.Refusing(now, list, g.fleet.IsTrialHost); refused {
		return Record{}, false, refusal(now, r)
	}
	trial, onTrial = g.registry.BeginTrial(now, list)
	return trial, onTrial, nil
}

// Sent reports that a call is being sent to a start of a server. It returns nil for a call
// without parts.
func (g *Guard) Sent(c *exchange.Call, server string) *Run {
	parts := partsOf(c)
	if len(parts) == 0 {
		return nil
	}
	now := g.timer.Now()
	r := &Run{server: server, parts: parts, sentAt: now}
	g.mu.Lock()
	g.registry.BeginRun(r)
	watch := slices.ContainsFunc(parts, func(part string) bool { return g.registry.compares(now, part) })
	g.mu.Unlock()
	if watch {
		g.watchRuns()
	}
	return r
}

// Gone reports that a run ended, in whichever way. Only the first call has an effect.
func (g *Guard) Gone(r *Run) {
	if r == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.EndRun(r)
}

// Answering reports that the run of a call has brought so many events in all.
func (g *Guard) Answering(c *exchange.Call, r *Run, events int) {
	if r == nil {
		return
	}
	now := g.timer.Now()
	g.mu.Lock()
	refuted := g.registry.RecordEvents(now, r, events)
	g.mu.Unlock()
	g.reportRefuted(refuted, c.ID)
}

// Answered reports that a server has answered a call to its end, which withdraws the
// accusation of its parts and its body. provesSound is not set if the server only went on
// from another one, and not as far as that one got; it then withdraws nothing.
func (g *Guard) Answered(c *exchange.Call, provesSound bool) {
	if !provesSound {
		return
	}
	now := g.timer.Now()
	g.mu.Lock()
	var withdrawn []Record
	if g.registry.ClearedByAnswers(now) {
		withdrawn = g.registry.RecordBodyAnswer(now, bodyName(c))
	}
	withdrawn = append(withdrawn, g.registry.RecordAnswer(now, partsOf(c))...)
	g.mu.Unlock()
	g.reportWithdrawn(withdrawn, c.ID)
}

// watchRuns compares runs with those at servers that ended, for as long as one has an
// accused part.
func (g *Guard) watchRuns() {
	now := g.timer.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watching {
		return
	}
	if _, again := g.registry.Slow(now); again {
		g.watching = true
		g.timer.After(slowInterval, func(time.Time) { go g.compareRuns() })
	}
}

// compareRuns is one comparison.
func (g *Guard) compareRuns() {
	g.mu.Lock()
	servers, _ := g.registry.Slow(g.timer.Now())
	g.mu.Unlock()
	reached := servers
	if len(servers) >= minSlowServers {
		reached = slices.DeleteFunc(servers, func(s string) bool { return !g.reaches(s) })
	}
	now := g.timer.Now()
	g.mu.Lock()
	refuted := g.registry.RecordReached(now, reached)
	g.watching = false
	g.mu.Unlock()
	g.reportRefuted(refuted, "")
	g.watchRuns()
}

// reportRefuted logs and spreads records of which a run refuted ends.
func (g *Guard) reportRefuted(refuted []Record, request string) {
	for _, r := range refuted {
		g.log.Info("ends not caused by a part", "part", r.Part, "request", request, "servers_left", r.Servers, "version", r.Version, "cause", "a run with it got further elsewhere")
	}
	if len(refuted) > 0 {
		g.spread()
	}
}

// reportWithdrawn logs and spreads accusations that the answer to a request withdrew.
func (g *Guard) reportWithdrawn(withdrawn []Record, request string) {
	for _, r := range withdrawn {
		withdrawnTotal.Inc()
		g.log.Info("accusation withdrawn", "part", r.Part, "request", request, "cause", "a server answered a request with it")
	}
	if len(withdrawn) > 0 {
		g.spread()
	}
}

// Alive reports that a server has answered a call that was sent at a time.
func (g *Guard) Alive(server string, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.RecordAlive(server, sentAt)
}

// Lost remembers a call that was sent at a time and lost with its connection to a
// server, until Ended is called for the server. events is how many events of the answer
// were sent, by servers before as well.
func (g *Guard) Lost(c *exchange.Call, server string, sentAt time.Time, events int) {
	l := Loss{Server: server, Request: c.ID, Parts: c.SharedParts, LastPart: c.LastPart, Body: bodyName(c), Events: events, SentAt: sentAt, At: g.timer.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.RecordLoss(l)
}

// Ended records that a server has ended, which accuses the calls that were lost with
// it.
func (g *Guard) Ended(server string) {
	now := g.timer.Now()
	g.mu.Lock()
	lost := g.registry.RecordEnd(now, server)
	accusations := make([][]Record, len(lost))
	for i, l := range lost {
		accusations[i] = append(g.registry.RecordCrash(now, l.Parts, server, l.progress(now)), g.registry.RecordLastPartCrash(now, l.LastPart, server, l.progress(now))...)
		accusations[i] = append(accusations[i], g.registry.RecordBodyCrash(now, l.Body, server)...)
	}
	g.mu.Unlock()
	changed := false
	for i, records := range accusations {
		for _, r := range records {
			changed = true
			g.logAccusation(r, lost[i].Request)
		}
	}
	if changed {
		g.spread()
		// Hosts from which this one is cut off may have condemned the part.
		g.fleet.LearnSoon()
		g.watchRuns()
	}
}

// EndedServers returns the starts of the servers that this host or another one knows
// to have ended under a call, apart from those that have answered this host since.
func (g *Guard) EndedServers() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Ended(g.timer.Now())
}

// Answers reports whether a server that was found to have ended has answered a call
// that this host sent later.
func (g *Guard) Answers(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Answers(server)
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
		g.spread()
		g.watchRuns()
	}
}

// spread tells other hosts of a change, and has the store keep it if it has to.
func (g *Guard) spread() {
	g.fleet.ShareSoon()
	g.mu.Lock()
	unsaved := g.registry.TakeUnsaved()
	g.mu.Unlock()
	if unsaved {
		g.fleet.KeepSoon()
	}
}

// Kept returns the records that the store is to keep.
func (g *Guard) Kept() []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Kept(g.timer.Now())
}

// MergeKept applies the records that the store keeps.
func (g *Guard) MergeKept(reports []Report) {
	g.mu.Lock()
	changed := g.registry.MergeKept(g.timer.Now(), reports)
	g.mu.Unlock()
	if changed {
		g.fleet.ShareSoon()
	}
}

// Shared returns what to tell other hosts. It is called often, and logs what was condemned
// by time.
func (g *Guard) Shared() []Report {
	now := g.timer.Now()
	g.mu.Lock()
	overdue := g.registry.TakeOverdue(now)
	reports := g.registry.Shared(now)
	g.mu.Unlock()
	for _, r := range overdue {
		g.logAccusation(r, "")
	}
	return reports
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
		g.spread()
	}
	return accused
}
