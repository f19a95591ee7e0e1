package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/operator/logging"
	"github.com/kingcupquay/kingcupquay/internal/serving/quota"
)

var (
	quotaUnansweredTotal = metrics.NewCounter("kingcupquay_quota_unanswered_total")
	quotaHomeMovesTotal  = metrics.NewCounter("kingcupquay_quota_home_moves_total")
	quotaReceivedTotal   = metrics.NewCounter("kingcupquay_quota_tokens_received_total")
	quotaFallbackTotal   = map[bool]*metrics.Counter{
		true:  metrics.NewCounter(`kingcupquay_quota_fallback_total{admitted="yes"}`),
		false: metrics.NewCounter(`kingcupquay_quota_fallback_total{admitted="no"}`),
	}
)

const (
	// quotaAdmitted and quotaRefused are the names of the counters by organisation.
	quotaAdmitted = "kingcupquay_quota_admitted_total"
	quotaRefused  = "kingcupquay_quota_refused_total"
	// maxUnansweredLines is how many unanswered asks a second are logged.
	maxUnansweredLines = 5
	// refusalLinesIdle is how long what was refused of an organisation is kept.
	refusalLinesIdle = time.Minute
)

// quotaReports counts and logs what becomes of requests of limited organisations.
type quotaReports struct {
	mu      *sync.Mutex
	traffic *quota.Traffic
	// lines limits the lines about refusals, by organisation.
	lines      map[string]*refusalLines
	unanswered *logging.LineLimit
}

// refusalLines limits the lines about an organisation.
type refusalLines struct {
	limit *logging.LineLimit
	last  time.Time
}

func newQuotaReports() quotaReports {
	return quotaReports{mu: new(sync.Mutex), traffic: quota.NewTraffic(), lines: make(map[string]*refusalLines), unanswered: logging.NewLineLimit(maxUnansweredLines)}
}

// count adds to a counter of an organisation, or of all organisations without one of
// their own.
func (r *quotaReports) count(name, organisation string) {
	if !r.traffic.Count(organisation) {
		organisation = ""
	}
	metrics.GetOrCreateCounter(counterOf(name, organisation)).Inc()
}

func counterOf(name, organisation string) string {
	return fmt.Sprintf("%s{organisation=%q}", name, organisation)
}

func (r *quotaReports) admitted(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(quotaAdmitted, organisation)
}

// refused counts a refusal. It reports whether a line may be written about it, and how
// many were left out since the last one.
func (r *quotaReports) refused(now time.Time, organisation string) (skipped int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(quotaRefused, organisation)
	l := r.lines[organisation]
	if l == nil {
		l = &refusalLines{limit: logging.NewLineLimit(1)}
		r.lines[organisation] = l
	}
	l.last = now
	return l.limit.Take(now)
}

// rank forgets organisations without traffic and the counters of those that others have
// overtaken.
func (r *quotaReports) rank(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, organisation := range r.traffic.Rank(now) {
		metrics.UnregisterMetric(counterOf(quotaAdmitted, organisation))
		metrics.UnregisterMetric(counterOf(quotaRefused, organisation))
	}
	for organisation, l := range r.lines {
		if now.Sub(l.last) >= refusalLinesIdle {
			delete(r.lines, organisation)
		}
	}
}

func (r *quotaReports) homeMoved() { quotaHomeMovesTotal.Inc() }

func (r *quotaReports) received(tokens int) { quotaReceivedTotal.Add(tokens) }

func (r *quotaReports) fellBack(granted bool) { quotaFallbackTotal[granted].Inc() }

func (r *quotaReports) missed(log logr.Logger, now time.Time, home string, timeout time.Duration, inARow int) {
	quotaUnansweredTotal.Inc()
	if skipped, ok := r.unanswered.Take(now); ok {
		log.Info("no answer from the home of limits", "home", home, "after_ms", timeout.Milliseconds(), "in_a_row", inARow, "skipped", skipped)
	}
}
