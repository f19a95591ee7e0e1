package ownership

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

// A job may be ended, or taken over, by any host at any moment, and the notice of
// it may be lost. Before an item is sent, the owner therefore must have read or
// written the job's record within recordAge.

const (
	// recordCheckTimeout bounds the read of a record that a run waits for. A
	// reachable store answers in a tenth of it.
	recordCheckTimeout = 300 * time.Millisecond
	// unreadAllowance is for how long items are sent, or held, after a read that
	// failed, before the next is tried, once the store counts as unavailable.
	unreadAllowance = time.Second
)

// recordAge returns for how long a record that was read or written allows items to
// start: half of the time in which they may still reach a server after the end of
// the job. The other half is for the way to the server.
func (m *Manager) recordAge() time.Duration { return m.EndWithin / 2 }

// allow records that a call to the store, which began at a time, showed that this
// host may run the job. The caller holds m.mu.
func (j *ownedJob) allow(began time.Time) {
	if began.Before(j.endReportedAt) {
		return
	}
	j.endReportedAt = time.Time{}
	if began.After(j.allowedAt) {
		j.allowedAt = began
	}
}

// mayRun reports whether an item of a job may be sent, and reads the job's record
// before if that is necessary. A read that fails is repeated. Items are sent without
// one if no record could be read for EndWithin, as the store is then away, unless
// another host has said that it ended the job.
func (m *Manager) mayRun(ctx context.Context, j *ownedJob) bool {
	for {
		m.mu.Lock()
		now := m.Timer.Now()
		id := j.job.Record().ID
		switch {
		case m.jobs[id] != j || j.job.Record().Ended || j.ending > 0 || now.Before(j.heldUntil):
			m.mu.Unlock()
			return false
		case now.Sub(j.allowedAt) <= m.recordAge():
			m.mu.Unlock()
			return true
		}
		checking := j.checking
		if checking == nil {
			j.checking = make(chan struct{})
			m.mu.Unlock()
			return m.checkRecord(ctx, j, id, now)
		}
		m.mu.Unlock()
		select {
		case <-checking:
		case <-ctx.Done():
			return false
		}
	}
}

// checkRecord reads the record of a job and reports whether its items may be sent.
// The runs that wait for j.checking go on with the result.
func (m *Manager) checkRecord(ctx context.Context, j *ownedJob, id string, began time.Time) bool {
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordCheckTimeout)
	defer cancel()
	checkedTotal.Inc()
	e, found, err := m.Store.Get(readCtx, jobstate.RecordKey(id))
	var r jobstate.Record
	var invalid error
	if err == nil && found {
		r, invalid = jobstate.DecodeRecord(e.Value)
	}
	m.mu.Lock()
	allowed, hold, newOwner := false, minRefreshInterval, ""
	switch {
	case err != nil:
		// After a pause, the store may have been readable between the failures.
		if m.unreadSince.IsZero() || began.Sub(m.unreadAt) > m.EndWithin {
			m.unreadSince = began
		}
		m.unreadAt = began
		if now := m.Timer.Now(); now.Sub(m.unreadSince) >= m.EndWithin {
			allowed, hold = j.endReportedAt.IsZero(), unreadAllowance
			if allowed {
				j.allowedAt = now.Add(unreadAllowance - m.recordAge())
			}
		}
		m.Log.Info("record not read before a run", "job", id, "sent", allowed, "unread_ms", m.Timer.Now().Sub(m.unreadSince).Milliseconds(), "cause", err.Error())
	case invalid != nil:
		// The store is there, so this does not count as an unread record.
		hold = unreadAllowance
		m.Log.Error(invalid, "record can't be read", "job", id)
	case found && !r.Ended && r.Owner == m.Host:
		allowed = true
		j.allow(began)
	default:
		m.Log.Info("items held", "job", id, "ended", r.Ended, "owner", r.Owner, "found", found)
		if found && e.ModRevision > j.revision && r.Owner != m.Host {
			newOwner = r.Owner
		}
	}
	if err == nil {
		m.unreadSince, m.unreadAt = time.Time{}, time.Time{}
	}
	if !allowed {
		j.heldUntil = m.Timer.Now().Add(hold)
	}
	close(j.checking)
	j.checking = nil
	m.mu.Unlock()
	switch {
	case newOwner != "":
		// The list of this host may be outdated, and a second read may fail.
		m.drop(j, "owned by "+newOwner)
	case !allowed && err == nil:
		m.refresh(id)
	}
	return allowed
}
