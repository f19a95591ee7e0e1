package ownership

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// A job may be ended, or taken over, by any host at any moment, and the notice of
// it may be lost. Before an item is sent, or a position said to hold no result yet,
// the owner therefore must have read or written the job's record within proofPeriod.

const (
	// recordCheckTimeout bounds the read of a record that a run or a reader waits for.
	// A reachable store answers in a tenth of it.
	recordCheckTimeout = 300 * time.Millisecond
	// unreadAllowance is for how long items are sent, or held, after a read that
	// failed, before the next is tried, once the store counts as unavailable.
	unreadAllowance = time.Second
)

// proofPeriod returns for how long a record that was read or written proves that this
// host owns its job: half of the time in which items may still reach a server after
// the end of the job. The other half is for the way to the server.
func (m *Manager) proofPeriod() time.Duration { return m.EndWithin / 2 }

// mayRun reports whether an item of a job may be sent, and reads the job's record
// before if that is necessary. A read that fails is repeated. Items are sent without
// one if no record could be read for EndWithin, as the store is then away, unless
// another host has said that it ended the job.
func (m *Manager) mayRun(ctx context.Context, j *ownedJob) bool {
	for {
		m.mu.Lock()
		now := m.Timer.Uptime()
		switch {
		case m.jobs[j.job.Record().ID] != j || j.job.Record().Ended || j.ending > 0 || m.Timer.Now().Before(j.heldUntil):
			m.mu.Unlock()
			return false
		case j.claim.MaySend(now) || now < j.unprovedUntil:
			m.mu.Unlock()
			return true
		}
		m.mu.Unlock()
		checked, check := m.checkRecord(ctx, j)
		if checked {
			return check.maySend
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// confirmList reports whether a job's list of results in memory was the whole list at
// some time since the call, and reads the job's record if that is necessary. The code
// LeaseLost means that it was not, or may not have been.
func (m *Manager) confirmList(ctx context.Context, j *ownedJob) *result.Error {
	for {
		m.mu.Lock()
		id := j.job.Record().ID
		owned, proved := m.owns(j), j.job.Complete() || j.claim.MayDeny(m.Timer.Uptime())
		m.mu.Unlock()
		if !owned {
			return result.New(result.LeaseLost, "job %.64q is not this host's any more", id)
		}
		if proved {
			return nil
		}
		checked, check := m.checkRecord(ctx, j)
		switch {
		case checked && check.err != nil:
			return result.New(result.StoreUnavailable, "whether this host still owns job %.64q is not known: %v", id, check.err).WithRetry(storeRetryAfter)
		case checked && !check.listKnown:
			return result.New(result.LeaseLost, "job %.64q may have more results", id)
		case checked:
			return nil
		case ctx.Err() != nil:
			return result.New(result.Cancelled, "the caller has left")
		}
	}
}

// recordCheck is the outcome of a read of a job's record.
type recordCheck struct {
	// maySend is set if items may be sent; hold is for how long none is, otherwise.
	maySend bool
	hold    time.Duration
	// listKnown is set if no result is listed that this host does not know of.
	listKnown bool
	// err is why the record could not be read.
	err error
	// newOwner is the host that owns the job now, if this one does not; outdated is
	// set if the job came back from another owner, which listed further results.
	newOwner string
	outdated bool
}

// checkRecord reads the record of a job. If another read of it is in progress, it
// waits for the end of that one instead, and returns false.
func (m *Manager) checkRecord(ctx context.Context, j *ownedJob) (checked bool, check recordCheck) {
	m.mu.Lock()
	if checking := j.checking; checking != nil {
		m.mu.Unlock()
		select {
		case <-checking:
		case <-ctx.Done():
		}
		return false, recordCheck{}
	}
	j.checking = make(chan struct{})
	id, began := j.job.Record().ID, m.Timer.Uptime()
	m.mu.Unlock()

	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordCheckTimeout)
	defer cancel()
	checkedTotal.Inc()
	e, found, err := m.Store.Get(readCtx, jobstate.RecordKey(id))
	m.mu.Lock()
	if err != nil {
		check = m.recordUnread(j, began, err)
	} else {
		m.unreadSince, m.unreadAt = 0, 0
		check = m.compareRecord(j, e, found, began)
	}
	if !check.maySend {
		j.heldUntil = m.Timer.Now().Add(check.hold)
	}
	close(j.checking)
	j.checking = nil
	m.mu.Unlock()
	switch {
	case check.newOwner != "":
		// The list of this host may be outdated, and a second read may fail.
		m.drop(j, "owned by "+check.newOwner)
	case check.outdated:
		m.dropOutdated(j)
	case !check.maySend && check.err == nil:
		m.refresh(id)
	}
	return true, check
}

// recordUnread decides what follows from a read of a job's record that failed. The
// caller holds m.mu.
func (m *Manager) recordUnread(j *ownedJob, began time.Duration, err error) recordCheck {
	// After a pause, the store may have been readable between the failures.
	if m.unreadSince == 0 || began-m.unreadAt > m.EndWithin {
		m.unreadSince = began
	}
	m.unreadAt = began
	now := m.Timer.Uptime()
	check := recordCheck{hold: minRefreshInterval, err: err}
	if now-m.unreadSince >= m.EndWithin {
		check.maySend, check.hold = !j.claim.Disputed(), unreadAllowance
		if check.maySend {
			j.unprovedUntil = now + unreadAllowance
		}
	}
	m.Log.Info("record not read", "job", j.job.Record().ID, "items_sent", check.maySend, "unread_ms", (now - m.unreadSince).Milliseconds(), "cause", err.Error())
	return check
}

// compareRecord decides what follows from a job's entry in the store that a read
// returned, which began at a time. The caller holds m.mu.
func (m *Manager) compareRecord(j *ownedJob, e store.Entry, found bool, began time.Duration) recordCheck {
	known := j.job.Record()
	if !found {
		m.Log.Info("items held", "job", known.ID, "found", false)
		return recordCheck{hold: minRefreshInterval}
	}
	r, err := jobstate.DecodeRecord(e.Value)
	switch {
	case err != nil:
		m.Log.Error(err, "record can't be read", "job", known.ID)
		return recordCheck{hold: unreadAllowance, err: err}
	case r.Owner == m.Host && !r.Ended && r.Listed <= known.Listed:
		j.claim.Prove(began)
		return recordCheck{maySend: true, listKnown: true}
	case r.Owner == m.Host && !r.Ended && r.Writer == m.Writer:
		// A write of this host has taken effect, and its reply is still to come.
		return recordCheck{maySend: true}
	}
	check := recordCheck{hold: minRefreshInterval}
	if e.ModRevision > j.revision {
		check.outdated = r.Owner == m.Host && r.Listed > known.Listed
		if r.Owner != m.Host {
			check.newOwner = r.Owner
		}
	}
	m.Log.Info("items held", "job", known.ID, "ended", r.Ended, "owner", r.Owner, "listed", r.Listed, "known", known.Listed)
	return check
}
