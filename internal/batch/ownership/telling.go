package ownership

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

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

const (
	// maxDecisions is how often an answer is decided, at most, until one is recent.
	maxDecisions = 3
	// maxToldLines is how many answers a second are logged, so that readers leave room
	// for other lines.
	maxToldLines = 200
)

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

// answer is what is told about a job.
type answer struct {
	text []byte
	// page is the page that text holds; it is nil for other answers.
	page *ResultPage
	denial
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
	m.tell(ctx, question{id, "results", after, mayForward}, func() (answer, *result.Error) {
		page, failure := read()
		wait = 0
		if page.source == fromHost {
			// The way from the owner is slow, and may be so again.
			read = func() (ResultPage, *result.Error) { return m.storedResults(ctx, id, after, m.Timer.Now()) }
		}
		if failure != nil {
			return answer{}, failure
		}
		page.KnownAfterMS = max(0, page.knownAt-received).Milliseconds()
		text, err := encode(page)
		if err != nil {
			return answer{}, result.New(result.Internal, "%v", err)
		}
		return answer{text, &page, denial{denies: page.denies(after), knownAt: page.knownAt, source: page.source}}, nil
	}, tell)
}

// TellBody passes the body of an item that is not listed yet to tell, or the failure.
func (m *Manager) TellBody(ctx context.Context, id, item string, tell func([]byte, *result.Error)) {
	m.tell(ctx, question{id, "body", 0, true}, func() (answer, *result.Error) {
		body, failure := m.Body(ctx, id, item, true)
		return answer{text: body}, failure
	}, tell)
}

// TellEnd ends a job and passes the outcome to tell.
func (m *Manager) TellEnd(ctx context.Context, id string, tell func(*result.Error)) {
	m.tell(ctx, question{id, "end", 0, true}, func() (answer, *result.Error) {
		return answer{}, m.End(ctx, id, true)
	}, func(_ []byte, failure *result.Error) { tell(failure) })
}

// question is what was asked about a job.
type question struct {
	job string
	// kind is what was asked for: results, body or end.
	kind string
	// after is the first position asked for.
	after int
	// byCaller is set unless another host asked.
	byCaller bool
}

// tell passes the answer that decide returns to tell. What the answer denies is decided
// again if it is too old.
func (m *Manager) tell(ctx context.Context, q question, decide func() (answer, *result.Error), tell func([]byte, *result.Error)) {
	for n := 1; ; n++ {
		began := m.Timer.Uptime()
		a, failure := decide()
		if failure != nil && failure.Code() == result.NotFound {
			a.denial = denial{denies: true, knownAt: began, source: fromStore}
		}
		age := m.Timer.Uptime() - a.knownAt
		if !a.denies || age < m.tellPeriod() {
			m.logTold(q, a, age, failure)
			// The host may have stood still while it wrote the line.
			age = m.Timer.Uptime() - a.knownAt
		}
		if !a.denies || age < m.tellPeriod() {
			tell(a.text, failure)
			return
		}
		tooOldTotal.Inc()
		m.Log.Info("answer too old", "job", q.job, "age_ms", age.Milliseconds(), "source", string(a.source))
		if n == maxDecisions || ctx.Err() != nil {
			failure := result.New(result.StoreUnavailable, "what is known of job %.64q is %d ms old", q.job, age.Milliseconds()).WithRetry(storeRetryAfter)
			m.logTold(q, answer{}, 0, failure)
			tell(nil, failure)
			return
		}
	}
}

// logTold writes the line of an answer that is about to be told. By these lines of all
// hosts each denial can be compared with what had been told before.
func (m *Manager) logTold(q question, a answer, age time.Duration, failure *result.Error) {
	skipped, ok := m.toldLines.Take(m.Timer.Now())
	if !ok {
		return
	}
	if !a.denies {
		age = 0
	}
	status, results, total, list := "ok", 0, 0, uint64(0)
	if failure != nil {
		status = failure.Code().String()
	}
	if a.page != nil {
		results, total, list = len(a.page.Results), a.page.Total, a.page.digest()
	}
	m.Log.V(1).Info("answer told", "job", q.job, "asked", q.kind, "after", q.after, "caller", q.byCaller, "status", status,
		"results", results, "total", total, "list", strconv.FormatUint(list, 16), "age_ms", age.Milliseconds(), "source", string(a.source), "skipped", skipped)
}

// digest returns a checksum of the items of a page and how they ended. Pages of the same
// positions have the same.
func (p ResultPage) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, listed := range p.Results {
		state := "\x00errored\x00"
		if listed.Done {
			state = "\x00done\x00"
		}
		// A digest's writes never fail.
		_, _ = d.WriteString(listed.ID)
		_, _ = d.WriteString(state)
	}
	return d.Sum64()
}
