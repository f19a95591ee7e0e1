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

// tellPeriod returns for how long a denial may be told. A reader of another host may
// have seen for almost as long what is denied.
func (m *Manager) tellPeriod() time.Duration { return m.proofPeriod() / 3 }

// denial is what an answer denies, if it denies anything: as of when that is known, by
// Timer.Uptime, and where from.
type denial struct {
	denies bool
	asOf   time.Duration
	source string
}

// TellResults reads results, as Results does, and passes one page to tell, encoded, or
// the failure. To other hosts, mayForward is not set.
func (m *Manager) TellResults(ctx context.Context, id string, after int, wait time.Duration, mayForward bool,
	encode func(ResultPage) ([]byte, error), tell func([]byte, *result.Error)) {
	received := m.Timer.Uptime()
	m.tell(id, func() ([]byte, denial, *result.Error) {
		page, failure := m.Results(ctx, id, after, wait, mayForward)
		if failure != nil {
			return nil, denial{}, failure
		}
		page.KnownAfterMS = max(0, page.asOf-received).Milliseconds()
		text, err := encode(page)
		if err != nil {
			return nil, denial{}, result.New(result.Internal, "%v", err)
		}
		return text, denial{len(page.Results) == 0 && after < page.Total, page.asOf, page.source}, nil
	}, tell)
}

// tell passes the answer about a job that decide returns to tell.
func (m *Manager) tell(id string, decide func() ([]byte, denial, *result.Error), tell func([]byte, *result.Error)) {
	text, d, failure := decide()
	if age := m.Timer.Uptime() - d.asOf; d.denies && age >= m.tellPeriod() {
		tooOldTotal.Inc()
		m.Log.Info("answer too old", "job", id, "age_ms", age.Milliseconds(), "source", d.source)
	}
	tell(text, failure)
}
