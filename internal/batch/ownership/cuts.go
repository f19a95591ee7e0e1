package ownership

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/batch/itemrun"
)

// cutCause says why a run of an item ended before its answer was complete. Each run
// has at most one: that of its cancellation, or else that of its end.
type cutCause string

// The causes that are this host's. Those of itemrun.Reason stand beside them.
const (
	// cutOnlineRequest is a preemption at a server that has online requests.
	cutOnlineRequest cutCause = "online request"
	// cutSurplus is a preemption at a server that has items only, more than slots.
	cutSurplus cutCause = "surplus of items"
	// cutLate is a cut of an item that has become late, for one that can be on time.
	cutLate cutCause = "late"
	// cutHostCutOff is a cut before the hand-over by a host that reaches no server.
	cutHostCutOff cutCause = "host cut off"
	// cutJobLost means that this host does not own the job any more.
	cutJobLost cutCause = "job lost"
	// cutJobEnded means that the job was ended.
	cutJobEnded cutCause = "job ended"
	// cutHostStopping means that this host stops.
	cutHostStopping cutCause = "host stopping"
	// cutEndless means that the answer exceeded the largest size.
	cutEndless cutCause = "endless answer"
	// cutRecordUnread means that the item was not sent since the record of its job
	// could not be read.
	cutRecordUnread cutCause = "record not read"
	// cutRecordHolds means that the item was not sent since the record of its job, as
	// it was last read, does not allow it.
	cutRecordHolds cutCause = "record holds items"
)

// cutLogInterval is the shortest time between two log lines of one cause.
const cutLogInterval = time.Second

// cutCounter counts the cuts of one cause.
type cutCounter struct {
	total *metrics.Counter
	// unlogged is the number of cuts since the last log line, at loggedAt.
	unlogged int
	loggedAt time.Time
}

// newCutCounter returns the counter of one cause.
func newCutCounter(c cutCause) *cutCounter {
	return &cutCounter{total: metrics.GetOrCreateCounter(fmt.Sprintf(`kingcupquay_jobs_items_cut_total{cause=%q}`, string(c)))}
}

// cancelFor cancels the run. The cause of its first cancellation counts.
func (r *run) cancelFor(c cutCause) {
	if !r.cancelled {
		r.cancelled, r.cut = true, c
	}
	r.cancel()
}

// preemptionCause returns the cause of preemptions at a server that has a number of
// online requests.
func preemptionCause(online int) cutCause {
	if online > 0 {
		return cutOnlineRequest
	}
	return cutSurplus
}

// unsentCause returns why an item of a job may not be sent now. The caller holds m.mu.
func (m *Manager) unsentCause(j *ownedJob) cutCause {
	switch {
	case j.job.Record().Ended || j.ending > 0:
		return cutJobEnded
	case m.jobs[j.job.Record().ID] != j:
		return cutJobLost
	case m.unreadLately(m.Timer.Uptime()):
		return cutRecordUnread
	}
	return cutRecordHolds
}

// countCut counts a run that ended before its answer was complete; sent is set if
// its item was sent. The caller holds m.mu.
func (m *Manager) countCut(j *ownedJob, i int, r *run, end itemrun.End, sent, endless bool) {
	var c cutCause
	switch {
	case end.Kind.MayFinish():
		return
	case endless:
		c = cutEndless
	case sent && end.Reason != itemrun.Left:
		c = cutCause(end.Reason)
	case r.cancelled:
		c = r.cut
	case m.ctx.Err() != nil:
		c = cutHostStopping
	default:
		c = m.unsentCause(j)
	}
	counter, known := m.cuts[c]
	if !known {
		counter = newCutCounter(c)
		m.cuts[c] = counter
	}
	counter.total.Inc()
	counter.unlogged++
	now := m.Timer.Now()
	if now.Sub(counter.loggedAt) < cutLogInterval {
		return
	}
	m.Log.Info("runs of items cut", "cause", string(c), "runs", counter.unlogged, "total", counter.total.Get(),
		"job", j.job.Record().ID, "item", j.job.Item(i).ID, "server", r.server.ID, "after_event", j.job.ResumePoint(i).After)
	counter.unlogged, counter.loggedAt = 0, now
}
