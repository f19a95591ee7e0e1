package ownership

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// An answer that denies something, a result at a position or a job, is true when it is
// decided and need not be when it is told: the host may stand still in between, or
// the answer may come from another host, over a slow connection. Meanwhile another
// host may list a result, or accept a job, and show it. So a denial carries the time
// as of which it is known, and its age is judged by the last step before the first
// byte of the answer. What remains is the time from that step to the kernel.
//
// Times are readings of Timer.Uptime of one host. Another host tells how long after
// the question its knowledge began, so that the way back counts in full and no clocks
// are compared.

var tooOldTotal = metrics.NewCounter("kingcupquay_jobs_answers_too_old_total")

// maxDecisions is how often an answer is decided, at most, until one is recent.
const maxDecisions = 3

// tellPeriod returns for how long a denial may be told after it was known to be true. For
// as long, a reader elsewhere may have seen what it denies.
func (m *Manager) tellPeriod() time.Duration { return m.proofPeriod() / 3 }

// denial is what an answer denies, if it denies anything: as of when that is known, by
// Timer.Uptime, and where from.
type denial struct {
	denies  bool
	knownAt time.Duration
	source  source
}

// denies reports whether a page says that a position holds no result. That of an ended
// job does so for good, but after its removal another job may be accepted under its ID.
func (p ResultPage) denies(position int) bool {
	return len(p.Results) == 0 && position < p.Total
}

// TellResults reads results, as Results does, and passes one page to tell, encoded, or
// the failure. To other hosts, mayForward is not set.
func (m *Manager) TellResults(ctx context.Context, id string, after int, wait time.Duration, mayForward bool,
	encode func(ResultPage) ([]byte, error), tell func([]byte, *result.Error)) {
	received := m.Timer.Uptime()
	read := func() (ResultPage, *result.Error) { return m.Results(ctx, id, after, wait, mayForward) }
	m.tell(ctx, id, func() ([]byte, denial, *result.Error) {
		page, failure := read()
		wait = 0
		if page.source == fromHost {
			// The way from the owner is slow, and may be so again.
			read = func() (ResultPage, *result.Error) { return m.storedResults(ctx, id, after, m.Timer.Now()) }
		}
		if failure != nil {
			return nil, denial{}, failure
		}
		page.KnownAfterMS = max(0, page.knownAt-received).Milliseconds()
		text, err := encode(page)
		if err != nil {
			return nil, denial{}, result.New(result.Internal, "%v", err)
		}
		return text, denial{denies: page.denies(after), knownAt: page.knownAt, source: page.source}, nil
	}, tell)
}

// TellBody passes the body of an item that is not listed yet to tell, or the failure.
func (m *Manager) TellBody(ctx context.Context, id, item string, tell func([]byte, *result.Error)) {
	m.tell(ctx, id, func() ([]byte, denial, *result.Error) {
		body, failure := m.Body(ctx, id, item, true)
		return body, denial{}, failure
	}, tell)
}

// TellEnd ends a job and passes the outcome to tell.
func (m *Manager) TellEnd(ctx context.Context, id string, tell func(*result.Error)) {
	m.tell(ctx, id, func() ([]byte, denial, *result.Error) {
		return nil, denial{}, m.End(ctx, id, true)
	}, func(_ []byte, failure *result.Error) { tell(failure) })
}

// tell passes the answer about a job that decide returns to tell. What the answer
// denies is decided again if it is too old.
func (m *Manager) tell(ctx context.Context, id string, decide func() ([]byte, denial, *result.Error), tell func([]byte, *result.Error)) {
	for n := 1; ; n++ {
		began := m.Timer.Uptime()
		text, d, failure := decide()
		if failure != nil && failure.Code() == result.NotFound {
			d = denial{denies: true, knownAt: began, source: fromStore}
		}
		age := m.Timer.Uptime() - d.knownAt
		if !d.denies || age < m.tellPeriod() {
			tell(text, failure)
			return
		}
		tooOldTotal.Inc()
		m.Log.Info("answer too old", "job", id, "age_ms", age.Milliseconds(), "source", string(d.source))
		if n == maxDecisions || ctx.Err() != nil {
			tell(nil, result.New(result.StoreUnavailable, "what is known of job %.64q is %d ms old", id, age.Milliseconds()).WithRetry(storeRetryAfter))
			return
		}
	}
}
