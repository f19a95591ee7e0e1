package ownership

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
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
		allowed, known := m.maySend(j, now)
		if known || m.unread(now) {
			if !known {
				j.heldUntil = m.Timer.Now().Add(max(minRefreshInterval, m.unreadUntil-now))
			}
			m.mu.Unlock()
			return allowed
		}
		check, joined := m.beginCheck(j)
		m.mu.Unlock()
		m.finishCheck(ctx, j, check, joined)
		if ctx.Err() != nil {
			return false
		}
		// The outcome counts if it is still recent.
	}
}

// maySend reports whether an item of a job may be sent now. If that is not known, a read
// of the record decides, unless none is to be made now. The caller holds m.mu.
func (m *Manager) maySend(j *ownedJob, now time.Duration) (allowed, known bool) {
	switch {
	case m.jobs[j.job.Record().ID] != j || j.job.Record().Ended || j.ending > 0 || m.Timer.Now().Before(j.heldUntil):
		return false, true
	case j.claim.MaySend(now) || now < j.unprovedUntil:
		return true, true
	case m.unread(now) && m.storeAway() && !j.claim.Disputed():
		return true, true
	}
	return false, false
}

// stillMaySend is mayRun without a read of the record, right before the first byte of an
// item. The item's server and its route may have changed as well.
func (m *Manager) stillMaySend(j *ownedJob, i int, s backend.Server) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	allowed, _ := m.maySend(j, m.Timer.Uptime())
	if !allowed || !m.ServerDirectory.Offers(s) {
		return false
	}
	route := j.routeOf(i, m.Config.Current())
	return route != nil && route.Pick(splitPoint(j.job.Item(i).ID)) == s.Service
}

// confirmList reports whether a job's list of results in memory was the whole list at
// some time since the call, and as of when, by the uptime. It reads the job's record if
// that is necessary. The code LeaseLost means that it was not, or may not have been.
func (m *Manager) confirmList(ctx context.Context, j *ownedJob) (knownAt time.Duration, failure *result.Error) {
	for {
		m.mu.Lock()
		id := j.job.Record().ID
		now := m.Timer.Uptime()
		owned, proved, unread := m.owns(j), j.job.Complete() || j.claim.MayDeny(now), m.unread(now)
		switch {
		case !owned:
			m.mu.Unlock()
			return 0, result.New(result.LeaseLost, "job %.64q is not this host's any more", id)
		case proved:
			m.mu.Unlock()
			return now, nil
		case unread:
			m.mu.Unlock()
			return 0, result.New(result.StoreUnavailable, "whether this host still owns job %.64q is not known", id).WithRetry(storeRetryAfter)
		}
		check, joined := m.beginCheck(j)
		m.mu.Unlock()
		m.finishCheck(ctx, j, check, joined)
		switch {
		case ctx.Err() != nil:
			return 0, result.New(result.Cancelled, "the caller has left")
		case check.err != nil:
			return 0, result.New(result.StoreUnavailable, "whether this host still owns job %.64q is not known: %v", id, check.err).WithRetry(storeRetryAfter)
		case joined:
			// The read may have begun before the call.
		case !check.listKnown:
			return 0, result.New(result.LeaseLost, "job %.64q may have more results", id)
		default:
			return check.began, nil
		}
	}
}

// recordCheck is a read of a job's record and its outcome, which is valid once done is
// closed.
type recordCheck struct {
	done chan struct{}
	// id is the job's, began when the check began, by Timer.Uptime.
	id    string
	began time.Duration
	// maySend is set if items may be sent; hold is for how long none is, otherwise.
	maySend bool
	hold    time.Duration
	// listKnown is set if no result is listed that this host does not know of.
	listKnown bool
	// err is why the record could not be read.
	err error
	// newOwner is the host that owns the job now, if this one does not; outdated is
	// set if the job came back from another owner, which listed further results, or
	// another job was accepted under its ID.
	newOwner string
	outdated bool
	// listed is the number of results in the record that was read, if it is the job's.
	listed int
}

// beginCheck begins a read of a job's record or, with joined set, returns the one that is
// in progress. The caller passes either to finishCheck. It holds m.mu, and has held it
// since it called unread, so that only one check is made while the store can't be read.
func (m *Manager) beginCheck(j *ownedJob) (check *recordCheck, joined bool) {
	if j.checking != nil {
		return j.checking, true
	}
	j.checking = &recordCheck{done: make(chan struct{}), id: j.job.Record().ID, began: m.Timer.Uptime()}
	m.checks++
	return j.checking, false
}

// finishCheck reads the record for a check that has begun, or waits for the end of one
// that was joined. The outcome counts only if ctx is not done.
func (m *Manager) finishCheck(ctx context.Context, j *ownedJob, check *recordCheck, joined bool) {
	if joined {
		select {
		case <-check.done:
		case <-ctx.Done():
		}
		return
	}
	id, began := check.id, check.began
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordCheckTimeout)
	defer cancel()
	checkedTotal.Inc()
	e, found, err := m.Store.Get(readCtx, jobstate.RecordKey(id))
	m.mu.Lock()
	if err != nil {
		m.recordUnread(j, check, began, err)
	} else {
		m.unreadSince, m.unreadAt, m.unreadUntil = 0, 0, 0
		m.compareRecord(j, check, e, found, began)
	}
	if !check.maySend && check.err == nil {
		j.claim.Withdraw()
		j.unprovedUntil = 0
	}
	// A read for a reader may fail while an earlier one still allows items to be sent.
	if !check.maySend && !j.claim.MaySend(m.Timer.Uptime()) {
		j.heldUntil = m.Timer.Now().Add(check.hold)
	}
	j.checking = nil
	m.checks--
	close(check.done)
	m.mu.Unlock()
	switch {
	case check.newOwner != "":
		// The list of this host may be outdated, and a second read may fail.
		m.drop(j, "owned by "+check.newOwner, check.listed)
	case check.outdated:
		m.dropOutdated(j, listedFurther, check.listed)
	case !check.maySend && check.err == nil:
		m.refresh(id)
	}
}

// recordUnread decides what follows from a check that failed. The caller holds m.mu.
func (m *Manager) recordUnread(j *ownedJob, check *recordCheck, began time.Duration, err error) {
	// After a pause, the store may have been readable between the failures.
	if !m.unreadLately(began) {
		m.unreadSince = began
	}
	m.unreadAt = began
	now := m.Timer.Uptime()
	check.hold, check.err = minRefreshInterval, err
	if m.storeAway() {
		check.maySend, check.hold = !j.claim.Disputed(), unreadAllowance
		if check.maySend {
			j.unprovedUntil = now + unreadAllowance
		}
	}
	m.unreadUntil = now + check.hold
	m.Log.Info("ownership not confirmed", "job", j.job.Record().ID, "items_sent", check.maySend, "unread_ms", (now - m.unreadSince).Milliseconds(), "cause", err.Error())
}

// unread reports whether no further check is to be made now: the last one failed a
// moment ago, or another one tries whether the store is back. The caller holds m.mu.
func (m *Manager) unread(now time.Duration) bool {
	return now < m.unreadUntil || m.checks > 0 && m.unreadLately(now)
}

// unreadLately reports whether the last check failed, so lately that the store was hardly
// readable since. The caller holds m.mu.
func (m *Manager) unreadLately(now time.Duration) bool {
	return m.unreadSince != 0 && now-m.unreadAt <= m.EndWithin
}

// storeAway reports whether the store counts as unavailable: no record could be read
// for EndWithin. The caller holds m.mu.
func (m *Manager) storeAway() bool {
	now := m.Timer.Uptime()
	return m.unreadLately(now) && now-m.unreadSince >= m.EndWithin
}

// compareRecord decides what follows from a check, which began at a time and returned
// the job's entry in the store. The caller holds m.mu.
func (m *Manager) compareRecord(j *ownedJob, check *recordCheck, e store.Entry, found bool, began time.Duration) {
	known := j.job.Record()
	check.hold = minRefreshInterval
	if !found {
		m.Log.Info("items held", "job", known.ID, "found", false)
		return
	}
	r, err := jobstate.DecodeRecord(e.Value)
	switch {
	case err != nil:
		m.Log.Error(err, "record can't be read", "job", known.ID)
		check.hold, check.err = unreadAllowance, err
		return
	case r.Open():
		m.noteOpen(known.ID, began)
	}
	same := sameJob(r, known)
	if same {
		check.listed = r.Listed
	}
	switch {
	case same && r.Owner == m.Host && !r.Ended && r.Listed <= known.Listed:
		j.claim.Prove(began)
		check.maySend, check.listKnown = true, true
		return
	case same && r.Owner == m.Host && !r.Ended && r.Writer == m.Writer:
		// A write of this host has taken effect, and its reply is still to come.
		j.claim.ProveOwner(began)
		check.maySend = true
		return
	}
	if e.ModRevision > j.revision {
		check.outdated = r.Owner == m.Host && (r.Listed > known.Listed || !same)
		if r.Owner != m.Host {
			check.newOwner = r.Owner
		}
	}
	m.Log.Info("items held", "job", known.ID, "ended", r.Ended, "owner", r.Owner, "listed", r.Listed, "known", known.Listed)
}
