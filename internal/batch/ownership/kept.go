package ownership

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// A job that is handed in again is kept already, unless it was completed and removed.
// A scanner removes a job minReadable after it first saw it complete, at the earliest.
// So a job that was open when a call to the store began is kept for as long after it,
// whatever other hosts do and this one does not hear.

// keptPeriod is for how long a record that was open proves that its job is kept. The
// rest of minReadable is for the way of the answer, and for reads after it.
const keptPeriod = minReadable * 2 / 3

// keptTellPeriod is for how long after it was begun a decision that a job is kept may be
// told; the rest of minReadable is then for reads.
const keptTellPeriod = (minReadable - keptPeriod) / 2

// noteOpen records that a job was open in the store when a call to it began, or later.
// The caller holds m.mu.
func (m *Manager) noteOpen(id string, began time.Duration) {
	m.keptUntil[id] = max(m.keptUntil[id], began+keptPeriod)
}

// isKept reports whether a job is certain to be kept. The caller holds m.mu.
func (m *Manager) isKept(id string) bool { return m.Timer.Uptime() < m.keptUntil[id] }

// Kept returns nil if a job is certain to be kept by what this host knows. The code
// LeaseLost means that it does not know.
func (m *Manager) Kept(id string) *result.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isKept(id) {
		return result.New(result.LeaseLost, "whether job %.64q is kept is not known here", id)
	}
	return nil
}

// checkKept decides whether a job is kept that this host owned, as j, or of whose owner
// it has heard; j is nil, or owner empty, otherwise. If the job was removed, this host
// forgets it, and removed is true.
func (m *Manager) checkKept(ctx context.Context, id string, j *ownedJob, owner string) (removed bool, failure *result.Error) {
	if j == nil && owner != "" && owner != m.Host && m.Peers.Kept(ctx, owner, id) == nil {
		return false, nil
	}
	r, failure := m.record(ctx, id)
	switch {
	case failure == nil:
		return false, m.keeps(r)
	case failure.Code() != result.NotFound:
		return false, failure.WithRan(result.RanMaybe)
	}
	if j != nil {
		m.forgetRemoved(j)
	}
	m.forgetOwner(id, owner)
	return true, nil
}

// keeps returns nil if the job of a record that was just read stays kept. A complete one
// may be removed at any moment once jobRetention has passed; the scanners' clocks may
// be ahead of this host's by almost minReadable.
func (m *Manager) keeps(r jobstate.Record) *result.Error {
	if r.Open() || m.Timer.Now().Sub(r.Accepted) < jobRetention {
		return nil
	}
	return result.New(result.StoreUnavailable, "job %.64q is complete and about to be removed", r.ID).WithRan(result.RanYes)
}

// current returns the job of an ID that this host has in memory, nil if it has none. If
// it may have been removed since its record was last seen, and another one accepted
// under its ID, the record is read. If that fails, the job is returned with the failure.
func (m *Manager) current(ctx context.Context, id string) (*ownedJob, *result.Error) {
	m.mu.Lock()
	j, owned := m.jobs[id]
	if !owned || m.isKept(id) || m.Timer.Now().Sub(j.job.Record().Accepted) < jobRetention {
		m.mu.Unlock()
		return j, nil
	}
	m.mu.Unlock()
	r, failure := m.record(ctx, id)
	switch {
	case failure == nil && m.isOf(j, r):
		return j, nil
	case failure != nil && failure.Code() != result.NotFound:
		return j, failure
	}
	m.forgetRemoved(j)
	return nil, nil
}

// isOf reports whether a record is that of a job, and not of one that was accepted under
// the same ID after or before it.
func (m *Manager) isOf(j *ownedJob, r jobstate.Record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sameJob(j.job.Record(), r)
}

// sameJob reports whether two records are of one job, and not of two that were accepted
// under the same ID one after the other.
func sameJob(a, b jobstate.Record) bool { return a.Accepted.Equal(b.Accepted) }

// forgetRemoved removes a job from memory whose record no longer exists, or is that of
// another job.
func (m *Manager) forgetRemoved(j *ownedJob) {
	m.mu.Lock()
	id, complete := j.job.Record().ID, j.job.Complete()
	if complete && m.jobs[id] == j {
		delete(m.jobs, id)
		j.notify()
	}
	m.mu.Unlock()
	if !complete {
		m.drop(j, "its record no longer exists", 0)
	}
}
