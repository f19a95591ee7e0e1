package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// maxFlushDelay is how long a finished item may wait to be written together
	// with others, because the platform charges for each write.
	maxFlushDelay = 700 * time.Millisecond
	// flushBeforeDue is how long before its due time a job's results are written
	// without waiting for others.
	flushBeforeDue = 1500 * time.Millisecond
	// maxGroupJobs bounds the jobs whose changes are collected at a time, most often for one
	// transaction. write sends more than one if they don't fit.
	maxGroupJobs = 10
	// maxTxnBytes bounds the values of one transaction.
	maxTxnBytes = 2 << 20
	// A job whose change the store never takes is not written for minRejectedPause, and for
	// twice as long after each further time, at most maxRejectedPause.
	minRejectedPause = 2 * time.Second
	maxRejectedPause = time.Minute
	// maxWriteAttempts bounds how often a write with an unknown outcome is sent,
	// and how often the end of a job is attempted.
	maxWriteAttempts = 4
	// After n consecutive failures flush pauses for writeBackoffBase<<n, at most
	// writeBackoffMax, as all hosts write to the same store.
	writeBackoffBase = 100 * time.Millisecond
	writeBackoffMax  = 800 * time.Millisecond
)

// rejectedTotal counts the changes of jobs that the store never takes.
var rejectedTotal = metrics.NewCounter("kingcupquay_jobs_rejected_writes_total")

// change is one job's part of a transaction.
type change struct {
	// j is the job that the change belongs to.
	j      *ownedJob
	before jobstate.Record
	after  jobstate.Record
	added  []jobstate.Result
	// partials, if any, are stored for the next owner.
	partials []jobstate.Partial
	// revision is the revision of before, which the write is conditional on.
	revision int64
}

// flush writes finished results to the store.
func (m *Manager) flush() {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	if now := m.Timer.Now(); now.Before(m.nextWrite) && !m.isStopping() {
		return
	}
	for {
		group := m.collectChanges()
		if len(group) == 0 {
			return
		}
		if !m.write(m.writeContext(), group) {
			m.delayNextWrite()
			return
		}
		m.writeFailures = 0
	}
}

// delayNextWrite records a failed write. The caller holds m.writeMu.
func (m *Manager) delayNextWrite() {
	m.writeFailures = min(m.writeFailures+1, 8)
	m.nextWrite = m.Timer.Now().Add(min(writeBackoffMax, writeBackoffBase<<m.writeFailures))
}

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// writeContext returns a context for writes that is not cancelled when the
// manager shuts down.
func (m *Manager) writeContext() context.Context { return context.WithoutCancel(m.ctx) }

// collectChanges returns the changes of the next transaction, or nil if no
// result has to be written yet.
func (m *Manager) collectChanges() []change {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timer.Now()
	var group []change
	due := false
	bytes := 0
	for _, j := range m.jobs {
		if n := j.job.Expire(now); n > 0 {
			j.unlistedSince = now
			m.Log.Info("items given up", "job", j.job.Record().ID, "items", n, "cause", "the job's give-up time has passed")
		}
		unlisted, mustRecord := j.job.Unlisted(), j.job.MustRecord()
		if len(unlisted) == 0 || j.job.Record().Ended {
			j.unlistedSince = time.Time{}
		}
		if j.job.Record().Ended || !j.claim.MayList(m.Timer.Uptime()) {
			unlisted = nil
		}
		if len(unlisted) == 0 && !mustRecord {
			continue
		}
		if now.Before(j.rejected.until) {
			continue
		}
		if len(group) == maxGroupJobs || bytes > maxTxnBytes {
			break
		}
		added, size := jobstate.FirstPart(unlisted)
		bytes += size
		r := j.job.Record()
		if mustRecord || m.stopping || now.Sub(j.unlistedSince) >= maxFlushDelay || r.Due.Sub(now) < flushBeforeDue || r.Listed+len(unlisted) == r.Total {
			due = true
		}
		group = append(group, m.newChange(j, added))
	}
	if !due {
		return nil
	}
	return group
}

// nextSerial returns a serial that no other change of this process has.
func (m *Manager) nextSerial() int64 { return m.serialAfter(0) }

// serialAfter returns a serial above known that no other change of this process has.
func (m *Manager) serialAfter(known int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSerial = max(m.lastSerial, known) + 1
	return m.lastSerial
}

// newChange returns the change that lists results of a job. Every change gets a
// serial of its own: a write whose reply was lost may still take effect after a
// later one was attempted, and must not be mistaken for that one. The caller
// holds m.mu.
func (m *Manager) newChange(j *ownedJob, added []jobstate.Result) change {
	c := change{j: j, before: j.job.Record(), after: j.job.NextRecord(added), added: added, revision: j.revision}
	m.lastSerial = max(m.lastSerial, c.before.Serial) + 1
	c.after.Serial, c.after.Writer = m.lastSerial, m.Writer
	return c
}

// write commits a group of changes, in more than one transaction if they don't fit into
// one, and reports whether the caller can continue. It also returns true after conflicts
// that resolveConflicts has handled, and after changes that the store never takes: their
// jobs are set aside.
func (m *Manager) write(ctx context.Context, group []change) bool {
	for len(group) > 0 {
		txn, n, err := buildTxn(group)
		if err != nil {
			m.setAside(group[0], err)
			group = group[1:]
			continue
		}
		if !m.writeTxn(ctx, txn, group[:n]) {
			return false
		}
		group = group[n:]
	}
	return true
}

// writeTxn commits the transaction of a group of changes; see write.
func (m *Manager) writeTxn(ctx context.Context, txn store.Txn, group []change) bool {
	m.mu.Lock()
	for _, c := range group {
		c.j.claim.BeginWrite()
	}
	m.mu.Unlock()
	unclear := false
	for range maxWriteAttempts {
		began := m.Timer.Uptime()
		outcome, err := m.Store.Commit(ctx, txn)
		switch {
		case errors.Is(err, store.ErrOutcomeUnknown):
			unclear = true
			m.Log.Info("write unclear", "jobs", len(group), "cause", err.Error())
			continue
		case errors.Is(err, store.ErrRejected):
			m.cancelWrite(group, unclear)
			return m.writeRejected(ctx, group, err)
		case err != nil:
			m.Log.Info("write refused", "jobs", len(group), "cause", err.Error())
			m.cancelWrite(group, unclear)
			return false
		case outcome.Succeeded:
			m.applyWrite(group, outcome.Revision, began)
			return true
		}
		m.cancelWrite(group, unclear)
		return m.resolveConflicts(ctx, group)
	}
	return false
}

// writeRejected writes the changes of a transaction that the store never takes one by one,
// and sets the job of a single one aside.
func (m *Manager) writeRejected(ctx context.Context, group []change, cause error) bool {
	if len(group) == 1 {
		m.setAside(group[0], cause)
		return true
	}
	m.Log.Info("write split", "jobs", len(group), "cause", cause.Error())
	for _, c := range group {
		if !m.write(ctx, []change{c}) {
			return false
		}
	}
	return true
}

// rejection counts the changes of a job that the store never takes; none is written before
// until.
type rejection struct {
	count int
	until time.Time
}

// setAside keeps a job whose change can't be written from being written for a while, so that
// the others go on.
func (m *Manager) setAside(c change, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &c.j.rejected
	pause := min(maxRejectedPause, minRejectedPause<<min(r.count, 8))
	r.count, r.until = r.count+1, m.Timer.Now().Add(pause)
	rejectedTotal.Inc()
	m.Log.Error(cause, "job can't be written", "job", c.after.ID, "results", len(c.added), "with_output", len(c.partials), "times", r.count, "again_in_ms", pause.Milliseconds())
}

// cancelWrite records that the last attempt to write a group of changes failed. An
// attempt with an unclear outcome before may still take effect.
func (m *Manager) cancelWrite(group []change, unclear bool) {
	if unclear {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range group {
		c.j.claim.CancelWrite()
	}
}

// buildTxn returns the transaction that writes the first changes of a group, as many as the
// store takes at once, and their number, at least 1. The error is that of the first change.
func buildTxn(group []change) (store.Txn, int, error) {
	var batch store.Batch
	for n, c := range group {
		part, err := c.txn()
		switch {
		case err != nil && n == 0:
			return store.Txn{}, 0, err
		case err == nil && batch.Add(part, maxTxnBytes):
		case n == 0:
			return store.Txn{}, 0, part.Check()
		default:
			return batch.Txn(), n, nil
		}
	}
	return batch.Txn(), len(group), nil
}

// txn returns the part of a transaction that writes the change.
func (c change) txn() (store.Txn, error) {
	text, err := c.after.Encode()
	if err != nil {
		return store.Txn{}, err
	}
	key := jobstate.RecordKey(c.after.ID)
	txn := store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.ModRevision, Revision: c.revision}},
		Puts:     []store.Put{{Key: key, Value: text}},
	}
	if len(c.partials) > 0 {
		text, err := jobstate.EncodePartials(c.partials)
		if err != nil {
			return store.Txn{}, err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: jobstate.PartialKey(c.after.ID), Value: text})
	}
	if len(c.added) > 0 {
		parts, err := jobstate.SplitResults(c.added)
		if err != nil {
			return store.Txn{}, err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: jobstate.ResultKey(c.after.ID, c.before.ResultParts), Value: parts[0]})
	}
	return txn, nil
}

// applyWrite updates the jobs in memory after a group of changes was written;
// began is when the call began that showed it.
func (m *Manager) applyWrite(group []change, revision int64, began time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timer.Now()
	for _, c := range group {
		c.j.revision = revision
		if c.after.Open() {
			m.noteOpen(c.after.ID, began)
		}
		c.j.job.ApplyWrite(c.after, c.added)
		if c.after.Owner != m.Host {
			m.letGo(c)
			continue
		}
		c.j.claim.Settle(began)
		if c.after.Ended {
			c.j.cancelRuns(cutJobEnded)
		}
		c.j.unlistedSince, c.j.rejected = time.Time{}, rejection{}
		if len(c.j.job.Unlisted()) > 0 {
			c.j.unlistedSince = now
		}
		listedTotal.Add(len(c.added))
		c.j.notify()
		m.Log.Info("results listed", "job", c.after.ID, "added", len(c.added), "listed", c.after.Listed, "total", c.after.Total, "ended", c.after.Ended, "revision", revision)
	}
}

// resolveConflicts determines for each job of a group why its condition may not
// have held, and updates the job: an earlier attempt took effect and its reply
// was lost, the job has another owner, or another host changed its record. It
// returns false if a record can't be read.
func (m *Manager) resolveConflicts(ctx context.Context, group []change) bool {
	for _, c := range group {
		began := m.Timer.Uptime()
		e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(c.after.ID))
		if err != nil {
			m.Log.Info("record not read", "job", c.after.ID, "cause", err.Error())
			return false
		}
		if !ok {
			m.drop(c.j, "its record no longer exists", 0)
			continue
		}
		if e.ModRevision == c.revision {
			m.mu.Lock()
			c.j.claim.Prove(began)
			m.mu.Unlock()
			continue
		}
		current, err := jobstate.DecodeRecord(e.Value)
		switch {
		case err != nil:
			m.Log.Error(err, "record can't be read", "job", c.after.ID)
			return false
		case !sameJob(current, c.before):
			cause := "another job was accepted under its ID"
			if current.Owner == m.Host {
				m.dropOutdated(c.j, cause, 0)
			} else {
				m.drop(c.j, cause, 0)
			}
		case current.Writer == c.after.Writer && current.Serial == c.after.Serial:
			// The write took effect or, when called by refresh, the record has the
			// content that this host last saw.
			m.applyWrite([]change{c}, e.ModRevision, began)
		case current.Owner != m.Host:
			m.drop(c.j, "owned by "+current.Owner, current.Listed)
		case current.Listed != c.before.Listed:
			m.dropOutdated(c.j, listedFurther, current.Listed)
		default:
			m.mu.Lock()
			c.j.revision = e.ModRevision
			c.j.claim.Settle(began)
			if current.Writer != m.Writer && !current.Released {
				// Other hosts owned the job in between.
				current.FailuresKnown = false
				c.j.claim.AwaitFormerOwner(m.Timer.Uptime())
			}
			c.j.job.ApplyWrite(current, nil)
			if current.Ended {
				m.Log.Info("job ended elsewhere", "job", current.ID, "writer", current.Writer, "running", len(c.j.runs), "revision", e.ModRevision)
				c.j.cancelRuns(cutJobEnded)
			}
			c.j.notify()
			m.mu.Unlock()
		}
	}
	return true
}

// minRefreshInterval is the shortest time between two checks of one job's
// record. Hosts repeat their notices for longer than that, so a notice that is
// ignored within the interval is followed by another one after it.
const minRefreshInterval = 300 * time.Millisecond

// refresh checks in the background whether another host changed the record of a
// job that this host owns. Only one check of a job runs at a time, and none is
// needed once the job is complete.
func (m *Manager) refresh(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j, owned := m.jobs[id]
	now := m.Timer.Now()
	if !owned || j.job.Complete() || j.refreshing || m.stopping || now.Sub(j.refreshedAt) < minRefreshInterval {
		return
	}
	j.refreshing, j.refreshedAt = true, now
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.writeMu.Lock()
		m.mu.Lock()
		r := j.job.Record()
		c := change{j: j, before: r, after: r, revision: j.revision}
		m.mu.Unlock()
		m.resolveConflicts(m.writeContext(), []change{c})
		m.writeMu.Unlock()
		m.mu.Lock()
		j.refreshing = false
		m.mu.Unlock()
	}()
}

// cancelRuns cancels the runs of a job. The caller holds Manager.mu.
func (j *ownedJob) cancelRuns(c cutCause) {
	for _, r := range j.runs {
		r.cancelFor(c)
	}
}

// drop removes a job that this host does not own any more and cancels its runs; listed is
// the number of results in the record that shows it, if it is the job's.
func (m *Manager) drop(j *ownedJob, cause string, listed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := j.job.Record().ID
	j.cancelRuns(cutJobLost)
	j.notify()
	if m.jobs[id] == j {
		delete(m.jobs, id)
		lostTotal.Inc()
		m.Log.Info("job lost", "job", id, "cause", cause, "listed", listed)
	}
}

// listedFurther is why a job is dropped whose record has results that this host does
// not know of. Its own write of them may have taken effect without a reply.
const listedFurther = "its record lists further results"

// dropOutdated drops a job whose record names this host as the owner but is not what
// this host knows: another host owned the job in between, or another job was accepted
// under its ID. The job is then taken over anew.
func (m *Manager) dropOutdated(j *ownedJob, cause string, listed int) {
	m.drop(j, cause, listed)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return
	}
	id := j.job.Record().ID
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.takeOver(m.ctx, id, m.Host)
	}()
}

// endTimeout bounds the time in which an end is pursued whose caller has left.
const endTimeout = 5 * time.Second

// End ends a job on behalf of a caller: listed results stay, and no item runs any
// more. mayForward allows passing the request on to the owner. The end is pursued
// even if the caller leaves meanwhile, since the caller counts on it.
func (m *Manager) End(ctx context.Context, id string, mayForward bool) *result.Error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	j, failure := m.current(ctx, id)
	if failure != nil {
		return failure
	}
	if j != nil {
		return m.endOwned(ctx, j)
	}
	owner, failure := m.ownerOf(ctx, id)
	if failure != nil {
		return failure
	}
	if mayForward && owner != "" && owner != m.Host {
		failure := m.Peers.End(ctx, owner, id)
		if failure == nil || !endsElsewhere(failure.Code()) {
			return failure
		}
	}
	return m.endUnowned(ctx, id)
}

// endsElsewhere reports whether a job can be ended without its owner after the owner
// answered with a code: it does not have the job, or can't reach the store.
func endsElsewhere(code result.Code) bool {
	return code == result.LeaseLost || code == result.NoBackend || code == result.StoreUnavailable
}

func (m *Manager) endOwned(ctx context.Context, j *ownedJob) *result.Error {
	m.mu.Lock()
	j.ending++
	j.cancelRuns(cutJobEnded)
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		j.ending--
		m.mu.Unlock()
	}()
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	for range maxWriteAttempts {
		m.mu.Lock()
		r := j.job.Record()
		if r.Ended || m.jobs[r.ID] != j {
			m.mu.Unlock()
			if r.Ended {
				return nil
			}
			return result.New(result.LeaseLost, "the job has another owner").WithRetry(storeRetryAfter)
		}
		c := m.newChange(j, nil)
		c.after.Ended = true
		m.mu.Unlock()
		if !m.write(ctx, []change{c}) {
			break
		}
	}
	return result.New(result.StoreUnavailable, "the end of the job could not be kept").WithRetry(storeRetryAfter)
}

// endUnowned ends a job that this host does not own by rewriting its record. The
// owner detects the end at the latest when its next write fails.
func (m *Manager) endUnowned(ctx context.Context, id string) *result.Error {
	for range maxWriteAttempts {
		e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(id))
		if err != nil {
			return result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
		}
		if !ok {
			return result.New(result.NotFound, "no job %.64q", id)
		}
		r, err := jobstate.DecodeRecord(e.Value)
		if err != nil {
			return result.New(result.Internal, "%v", err)
		}
		if r.Ended {
			return nil
		}
		r.Ended = true
		_, outcome, err := m.rewriteRecord(ctx, r, e.ModRevision)
		if err == nil && outcome.Succeeded {
			m.Ended(id)
			m.Log.Info("job ended for its owner", "job", id, "owner", r.Owner, "revision", outcome.Revision)
			return nil
		}
	}
	return result.New(result.StoreUnavailable, "the end of the job could not be kept").WithRetry(storeRetryAfter)
}
