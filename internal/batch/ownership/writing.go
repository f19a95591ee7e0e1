package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// flushAfter is how long a finished item may wait for others to be written
	// with; a write is a priced call.
	flushAfter = 700 * time.Millisecond
	// flushSoon is how long before its due time a job's results are written at
	// once.
	flushSoon = 1500 * time.Millisecond
	// groupJobs and groupBytes bound the jobs and result bytes of one
	// transaction; each job takes two of the 32 entries a transaction may have.
	groupJobs  = 14
	groupBytes = 2 << 20
	// writeTries bounds the repeats of a write whose answer was lost.
	writeTries = 4
	// writePause is the pause after a write that failed; it doubles with each
	// further one up to writePauseMost, as all hosts write to the same store.
	writePause     = 100 * time.Millisecond
	writePauseMost = 800 * time.Millisecond
)

// change is one job's part of a transaction.
type change struct {
	h      *held
	before jobstate.Record
	after  jobstate.Record
	added  []jobstate.Result
	// partials, if any, are left for the next owner.
	partials []jobstate.Partial
	// revision is the condition; the record is as it was at it.
	revision int64
}

// flush makes finished results durable.
func (m *Manager) flush() {
	m.writes.Lock()
	defer m.writes.Unlock()
	if now := m.Timer.Now(); now.Before(m.writeAt) && !m.stops() {
		return
	}
	for {
		group := m.gather()
		if len(group) == 0 {
			return
		}
		if !m.write(m.writing(), group) {
			m.writeFailed = min(m.writeFailed+1, 8)
			m.writeAt = m.Timer.Now().Add(min(writePauseMost, writePause<<m.writeFailed))
			return
		}
		m.writeFailed = 0
	}
}

func (m *Manager) stops() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// writing is the context of writes that go on while the manager stops.
func (m *Manager) writing() context.Context { return context.WithoutCancel(m.ctx) }

// gather picks the jobs whose results should be written now.
func (m *Manager) gather() []change {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timer.Now()
	var group []change
	due := false
	bytes := 0
	for _, h := range m.jobs {
		if n := h.job.Expire(now); n > 0 {
			h.since = now
			m.Log.Info("items given up", "job", h.job.Record().ID, "items", n, "cause", "their time is over")
		}
		list := h.job.Unlisted()
		if len(list) == 0 || h.job.Record().Ended {
			h.since = time.Time{}
			continue
		}
		if len(group) == groupJobs || bytes > groupBytes {
			break
		}
		added, size := firstPart(list)
		bytes += size
		r := h.job.Record()
		if m.stopping || now.Sub(h.since) >= flushAfter || r.Due.Sub(now) < flushSoon || r.Listed+len(list) == r.Total {
			due = true
		}
		group = append(group, m.changeOf(h, added))
	}
	if !due {
		return nil
	}
	return group
}

// changeOf returns the change that lists results of a job. Its serial is used for
// no other content: a write whose answer was lost may still land after a later
// one was tried, and must not be taken for it. The caller holds m.mu.
func (m *Manager) changeOf(h *held, added []jobstate.Result) change {
	c := change{h: h, before: h.job.Record(), after: h.job.NextRecord(added), added: added, revision: h.revision}
	m.serial = max(m.serial, c.before.Serial) + 1
	c.after.Serial, c.after.Writer = m.serial, m.Writer
	return c
}

// firstPart returns as many results as fit into one value, and their size.
func firstPart(list []jobstate.Result) ([]jobstate.Result, int) {
	size := 0
	for i, one := range list {
		if size > 0 && size+len(one.Text) > jobstate.PartBytes {
			return list[:i], size
		}
		size += len(one.Text)
	}
	return list, size
}

// write commits a group of changes and reports whether it is worth going on.
func (m *Manager) write(ctx context.Context, group []change) bool {
	txn, err := transactionOf(group)
	if err != nil {
		m.Log.Error(err, "results can't be written")
		return false
	}
	for range writeTries {
		outcome, err := m.Store.Commit(ctx, txn)
		switch {
		case errors.Is(err, store.ErrUnclear):
			m.Log.Info("write unclear", "jobs", len(group), "cause", err.Error())
			continue
		case err != nil:
			m.Log.Info("write refused", "jobs", len(group), "cause", err.Error())
			return false
		case outcome.Succeeded:
			m.wrote(group, outcome.Revision)
			return true
		}
		return m.settle(ctx, group)
	}
	return false
}

func transactionOf(group []change) (store.Txn, error) {
	var txn store.Txn
	for _, c := range group {
		text, err := c.after.Encode()
		if err != nil {
			return txn, err
		}
		key := jobstate.RecordKey(c.after.ID)
		txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.ModRevision, Revision: c.revision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: text})
		if len(c.partials) > 0 {
			text, err := jobstate.EncodePartials(c.partials)
			if err != nil {
				return txn, err
			}
			txn.Puts = append(txn.Puts, store.Put{Key: jobstate.PartialKey(c.after.ID), Value: text})
		}
		if len(c.added) == 0 {
			continue
		}
		parts, err := jobstate.SplitResults(c.added)
		if err != nil {
			return txn, err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: jobstate.ResultKey(c.after.ID, c.before.ResultParts), Value: parts[0]})
	}
	return txn, nil
}

func (m *Manager) wrote(group []change, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timer.Now()
	for _, c := range group {
		c.h.revision = revision
		c.h.job.ApplyWrite(c.after, c.added)
		c.h.since = time.Time{}
		if len(c.h.job.Unlisted()) > 0 {
			c.h.since = now
		}
		listedTotal.Add(len(c.added))
		c.h.notify()
		m.Log.Info("results listed", "job", c.after.ID, "added", len(c.added), "listed", c.after.Listed, "total", c.after.Total, "ended", c.after.Ended, "revision", revision)
	}
}

// settle finds out, job by job, why a group's conditions did not hold: the
// write was done before and its answer lost, the job has another owner, or
// another host changed its record.
func (m *Manager) settle(ctx context.Context, group []change) bool {
	for _, c := range group {
		e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(c.after.ID))
		if err != nil {
			m.Log.Info("record not read", "job", c.after.ID, "cause", err.Error())
			return false
		}
		if !ok {
			m.drop(c.h, "its record is gone")
			continue
		}
		if e.ModRevision == c.revision {
			continue
		}
		now, err := jobstate.DecodeRecord(e.Value)
		switch {
		case err != nil:
			m.Log.Error(err, "record can't be read", "job", c.after.ID)
			return false
		case now.Writer == c.after.Writer && now.Serial == c.after.Serial:
			// Either the write, or what was there before a look.
			m.wrote([]change{c}, e.ModRevision)
		case now.Owner != m.Host || now.Listed != c.before.Listed:
			m.drop(c.h, "owned by "+now.Owner)
		default:
			m.mu.Lock()
			c.h.revision = e.ModRevision
			c.h.job.ApplyWrite(now, nil)
			m.cancelRuns(c.h, now.Ended)
			c.h.notify()
			m.mu.Unlock()
		}
	}
	return true
}

// lookAgain is the least time between two looks at one job's record. Hosts
// repeat what they tell for longer than that.
const lookAgain = 300 * time.Millisecond

// refresh looks whether another host changed the record of a job of this one.
// Looks at one job are one at a time, and none is needed once it is over.
func (m *Manager) refresh(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, own := m.jobs[id]
	now := m.Timer.Now()
	if !own || h.job.Complete() || h.looking || m.stopping || now.Sub(h.looked) < lookAgain {
		return
	}
	h.looking, h.looked = true, now
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		m.writes.Lock()
		m.mu.Lock()
		r := h.job.Record()
		c := change{h: h, before: r, after: r, revision: h.revision}
		m.mu.Unlock()
		m.settle(m.writing(), []change{c})
		m.writes.Unlock()
		m.mu.Lock()
		h.looking = false
		m.mu.Unlock()
	}()
}

// cancelRuns ends the runs of a job that has ended; the caller holds m.mu.
func (m *Manager) cancelRuns(h *held, ended bool) {
	if !ended {
		return
	}
	for _, one := range h.runs {
		one.left = true
		one.cancel()
	}
}

// drop forgets a job that this host does not own any more.
func (m *Manager) drop(h *held, cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := h.job.Record().ID
	m.cancelRuns(h, true)
	h.notify()
	if m.jobs[id] == h {
		delete(m.jobs, id)
		lostTotal.Inc()
		m.Log.Info("job lost", "job", id, "cause", cause)
	}
}

// End ends a job on behalf of a caller: what is listed stays, nothing else runs.
func (m *Manager) End(ctx context.Context, id string, mayForward bool) *result.Error {
	m.mu.Lock()
	h, own := m.jobs[id]
	m.mu.Unlock()
	if own {
		return m.endOwn(ctx, h)
	}
	owner, failure := m.ownerOf(ctx, id)
	if failure != nil {
		return failure
	}
	if mayForward && owner != "" && owner != m.Host {
		failure := m.Peers.End(ctx, owner, id)
		if failure == nil || failure.Code() != result.LeaseLost && failure.Code() != result.NoBackend {
			return failure
		}
	}
	return m.endOther(ctx, id)
}

func (m *Manager) endOwn(ctx context.Context, h *held) *result.Error {
	m.mu.Lock()
	m.cancelRuns(h, true)
	m.mu.Unlock()
	m.writes.Lock()
	defer m.writes.Unlock()
	for range writeTries {
		m.mu.Lock()
		r := h.job.Record()
		if r.Ended || m.jobs[r.ID] != h {
			m.mu.Unlock()
			if r.Ended {
				return nil
			}
			return result.New(result.LeaseLost, "the job has another owner").WithRetry(storeRetry)
		}
		c := m.changeOf(h, nil)
		c.after.Ended = true
		m.mu.Unlock()
		if !m.write(ctx, []change{c}) {
			break
		}
	}
	return result.New(result.StoreUnavailable, "the end of the job could not be kept").WithRetry(storeRetry)
}

// endOther ends a job of an owner that can't be reached by rewriting its
// record; the owner's next write then fails, and it sees the end.
func (m *Manager) endOther(ctx context.Context, id string) *result.Error {
	for range writeTries {
		e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(id))
		if err != nil {
			return result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
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
		_, outcome, err := m.rewrite(ctx, r, e.ModRevision)
		if err == nil && outcome.Succeeded {
			m.Ended(id)
			m.Log.Info("job ended for its owner", "job", id, "owner", r.Owner, "revision", outcome.Revision)
			return nil
		}
	}
	return result.New(result.StoreUnavailable, "the end of the job could not be kept").WithRetry(storeRetry)
}
