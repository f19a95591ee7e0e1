package ownership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/claim"
	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// maxScanners is how many hosts scan for jobs whose owner is gone.
	maxScanners = 8
	// scannerKey is the name by which rendezvous hashing selects the scanners.
	scannerKey = "jobs"
	// jobRetention is how long after its acceptance a complete job stays readable.
	jobRetention = 150 * time.Second
	// minReadable is how long a complete job stays readable at least, however long ago
	// it was accepted.
	minReadable = 30 * time.Second
	// reclaimRetryDelay is the pause after the first failed attempt to reclaim this
	// host's jobs at its start. It doubles up to maxReclaimRetryDelay, since a
	// job may stay unreadable.
	reclaimRetryDelay    = 500 * time.Millisecond
	maxReclaimRetryDelay = 8 * time.Second
	// earlyScanDelay is the time to the next scan while an owner is silent but
	// its leased key has not expired; maxEarlyScans bounds how many such scans
	// follow each other.
	earlyScanDelay = 400 * time.Millisecond
	maxEarlyScans  = 5
	// maxPartialBytes bounds the output of unfinished items that is stored for a
	// job's next owner.
	maxPartialBytes = jobstate.PartBytes / 4
	// maxKnownOwners bounds the other hosts' jobs whose owner is cached.
	maxKnownOwners = 20_000
	// handOverTimeout bounds the time to hand jobs over at a stop.
	handOverTimeout = 1500 * time.Millisecond
)

// records reads the records of all jobs.
func (m *Manager) records(ctx context.Context) ([]jobstate.Record, error) {
	entries, _, err := store.RangeAll(ctx, m.Store, jobstate.RecordPrefix, 0)
	if err != nil {
		return nil, err
	}
	return m.decodeRecords(entries), nil
}

func (m *Manager) decodeRecords(entries []store.Entry) []jobstate.Record {
	records := make([]jobstate.Record, 0, len(entries))
	for _, e := range entries {
		if r, ok := m.decodeRecord(e); ok {
			records = append(records, r)
		}
	}
	return records
}

func (m *Manager) decodeRecord(e store.Entry) (r jobstate.Record, ok bool) {
	r, err := jobstate.DecodeRecord(e.Value)
	if err != nil {
		m.Log.Error(err, "record can't be read", "key", e.Key)
	}
	return r, err == nil
}

// reclaimOwned takes back the jobs that this host owned before it was started.
// It retries until it has all of them, since in a large fleet this host may not
// be one of the scanners.
func (m *Manager) reclaimOwned() {
	for pause := reclaimRetryDelay; m.ctx.Err() == nil; pause = min(2*pause, maxReclaimRetryDelay) {
		// An old list may lack the latest job; the scans of other hosts find it.
		entries, err := m.Store.RangeStale(m.ctx, jobstate.RecordPrefix)
		if err != nil {
			m.Log.Info("own jobs not read", "cause", err.Error())
		}
		records := m.decodeRecords(entries)
		remaining := err != nil
		for _, r := range records {
			if r.Open() && r.Owner == m.Host && !m.takeOver(m.ctx, r.ID, m.Host) {
				remaining = true
			}
		}
		if !remaining {
			return
		}
		m.pause(m.ctx, pause)
	}
}

// scanners returns the live hosts that scan for jobs whose owner is gone, at most
// maxScanners to limit the reads, and none that is cut off from all servers while
// others are not.
func (m *Manager) scanners() []string {
	live := m.reaching(m.Peers.Scanners())
	slices.SortFunc(live, func(a, b string) int {
		return cmp.Compare(rendezvous.Score(b, scannerKey), rendezvous.Score(a, scannerKey))
	})
	return live[:min(len(live), maxScanners)]
}

// scan takes over jobs whose owner is gone, asks the owners of stalled jobs to
// run them and removes complete jobs after jobRetention.
func (m *Manager) scan() {
	m.evict(m.Timer.Now())
	if !slices.Contains(m.scanners(), m.Host) {
		return
	}
	entries, err := m.Store.RangeStale(m.ctx, jobstate.RecordPrefix)
	if err != nil {
		m.Log.V(1).Info("records not read", "cause", err.Error())
		return
	}
	now := m.Timer.Now()
	var records []scannedRecord
	for _, e := range entries {
		if r, ok := m.decodeRecord(e); ok {
			records = append(records, scannedRecord{r, e.ModRevision})
		}
	}
	gone, unreachable := m.goneOwners(records), make(map[string]bool)
	defer m.stalledJobs.Prune(now)
	defer m.forgetClosed(now)
	defer m.scheduleEarlyScan(gone)
	for _, r := range records {
		m.mu.Lock()
		j, owned := m.jobs[r.ID]
		replaced := owned && r.revision > j.revision && !sameJob(r.Record, j.job.Record())
		if !owned {
			m.owners[r.ID] = r.Owner
		}
		m.mu.Unlock()
		if replaced {
			m.forgetRemoved(j)
			owned = false
		}
		switch {
		case owned && (r.Ended || r.Owner != m.Host):
			// RangeStale may return an old record, so the current one is read.
			m.refresh(r.ID)
			m.removeOld(r.Record, r.revision, now)
		case owned || !r.Open():
			m.removeOld(r.Record, r.revision, now)
		case r.Owner == m.Host:
			m.takeOver(m.ctx, r.ID, m.Host)
		case r.Owner == "" || gone[r.Owner]:
			if m.assignedHere(r.ID) {
				m.takeOver(m.ctx, r.ID, r.Owner)
			}
		case m.stalledJobs.Observe(now, r.ID, r.Owner, r.Serial) && m.assignedHere(r.ID) && !unreachable[r.Owner]:
			unreachable[r.Owner] = !m.ensureAdopted(now, r.Record)
		}
	}
}

// scheduleEarlyScan schedules a scan after earlyScanDelay while an owner is
// silent but not yet confirmed to be gone, at most maxEarlyScans times in a row.
func (m *Manager) scheduleEarlyScan(goneByHost map[string]bool) {
	silent := false
	for host, isGone := range goneByHost {
		silent = silent || !isGone && !m.Peers.Alive(host)
	}
	if !silent {
		m.earlyScans = 0
		return
	}
	if m.earlyScans++; m.earlyScans <= maxEarlyScans {
		m.Timer.After(earlyScanDelay, func(time.Time) { m.TriggerScan() })
	}
}

// ensureAdopted asks the owner of a job whose record has not changed for a while
// to run the job. If the owner is stopping, this host takes the job over. It
// returns false if the owner can't be reached.
func (m *Manager) ensureAdopted(now time.Time, r jobstate.Record) bool {
	failure := m.Peers.Adopt(m.ctx, r.Owner, r.ID)
	switch {
	case failure == nil:
		m.stalledJobs.Confirm(now, r.ID)
	case failure.Code() == result.Stopping:
		m.takeOver(m.ctx, r.ID, r.Owner)
	default:
		m.Log.Info("owner of an idle job not asked", "job", r.ID, "owner", r.Owner, "serial", r.Serial, "cause", failure.Error())
	}
	return failure == nil || failure.Code() != result.NoBackend
}

// scannedRecord is a job's record as a scan read it, at a revision.
type scannedRecord struct {
	jobstate.Record
	revision int64
}

// goneOwners returns for each silent owner of an open job, of which this host receives
// no notices, whether Peers confirms that it is gone.
func (m *Manager) goneOwners(records []scannedRecord) map[string]bool {
	gone := make(map[string]bool)
	var silent []string
	for _, r := range records {
		if _, known := gone[r.Owner]; known || !r.Open() || r.Owner == "" || m.Peers.Alive(r.Owner) {
			continue
		}
		gone[r.Owner] = false
		silent = append(silent, r.Owner)
	}
	if len(silent) == 0 {
		return gone
	}
	for _, host := range m.Peers.Dead(m.ctx, silent) {
		gone[host] = true
	}
	return gone
}

// assignedHere reports whether this host is the scanner that is responsible for
// a job.
func (m *Manager) assignedHere(id string) bool { return rendezvous.First(m.scanners(), id) == m.Host }

// takeOver makes this host the owner of a job of formerOwner. It returns false
// if it has to be tried again; a record that names another owner needs no retry.
func (m *Manager) takeOver(ctx context.Context, id, formerOwner string) bool {
	err := m.tryTakeOver(ctx, id, formerOwner)
	if err != nil {
		m.Log.Info("job not taken over", "job", id, "from", formerOwner, "cause", err.Error())
	}
	return err == nil || errors.Is(err, errRecordChanged)
}

var (
	errRecordChanged = errors.New("its record changed meanwhile")
	errWriteConflict = errors.New("its record changed before it was written")
	errStopping      = errors.New("this host stops")
)

func (m *Manager) tryTakeOver(ctx context.Context, id, formerOwner string) error {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	began := m.Timer.Uptime()
	e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(id))
	if err != nil || !ok {
		return err
	}
	r, err := jobstate.DecodeRecord(e.Value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	_, owned := m.jobs[id]
	handedOver := m.handedOver
	m.mu.Unlock()
	switch {
	case owned || !r.Open():
		return nil
	case handedOver:
		return errStopping
	}
	if r.Owner != formerOwner {
		return errRecordChanged
	}
	// A named owner that still had the job goes on with it without a write.
	revision, released := e.ModRevision, r.Released && (r.Owner == m.Host || r.Owner == "")
	r.FailuresKnown = r.FailuresKnown && released
	if r.Owner != m.Host || r.Writer != m.Writer {
		r.Owner = m.Host
		var outcome store.TxnResult
		if r, outcome, err = m.rewriteRecord(ctx, r, e.ModRevision); err != nil {
			return err
		}
		if !outcome.Succeeded {
			return errWriteConflict
		}
		revision = outcome.Revision
	}
	c := claim.New(m.proofPeriod(), began)
	if !released {
		c.AwaitFormerOwner(m.Timer.Uptime())
	}
	items, results, err := m.load(ctx, r)
	if err != nil {
		return err
	}
	partials := m.partials(ctx, id)
	job := jobstate.NewJob(r, items, results)
	job.RestorePartials(partials)
	m.mu.Lock()
	m.noteOpen(id, began)
	added := m.addOwned(job, revision, c)
	m.mu.Unlock()
	if !added {
		return nil
	}
	takenOverTotal.Inc()
	m.Log.Info("job taken over", "job", id, "from", formerOwner, "released", released, "listed", r.Listed, "total", r.Total, "revision", revision)
	m.Accepted(id)
	m.TriggerSchedule()
	return nil
}

// rewriteRecord writes the record of a job that is not in m.jobs on the condition
// that its revision is unchanged, and returns the record as written.
func (m *Manager) rewriteRecord(ctx context.Context, r jobstate.Record, revision int64) (jobstate.Record, store.TxnResult, error) {
	r.Writer, r.Released = m.Writer, false
	r.Serial = m.serialAfter(r.Serial)
	text, err := r.Encode()
	if err != nil {
		return r, store.TxnResult{}, err
	}
	key := jobstate.RecordKey(r.ID)
	outcome, err := m.Store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.ModRevision, Revision: revision}},
		Puts:     []store.Put{{Key: key, Value: text}},
	})
	return r, outcome, err
}

// partials reads the output of unfinished items that a former owner stored.
// Without it the items run from the start.
func (m *Manager) partials(ctx context.Context, id string) []jobstate.Partial {
	e, ok, err := m.Store.Get(ctx, jobstate.PartialKey(id))
	if err != nil || !ok {
		if err != nil {
			m.Log.Info("unfinished items not read", "job", id, "cause", err.Error())
		}
		return nil
	}
	list, err := jobstate.DecodePartials(e.Value)
	if err != nil {
		m.Log.Error(err, "unfinished items can't be read", "job", id)
	}
	return list
}

// load reads the items and results of a job.
func (m *Manager) load(ctx context.Context, r jobstate.Record) ([]jobstate.Item, []jobstate.Result, error) {
	items, err := loadParts(ctx, m.Store, jobstate.BodyPrefix(r.ID), r.BodyParts, jobstate.DecodeItems)
	if err != nil {
		return nil, nil, err
	}
	results, err := loadParts(ctx, m.Store, jobstate.ResultPrefix(r.ID), r.ResultParts, jobstate.DecodeResults)
	return items, results, err
}

var errMissingParts = errors.New("parts of the job are missing")

// loadParts reads the first n parts below a prefix.
func loadParts[T any](ctx context.Context, s store.Store, prefix string, n int, decode func([]byte) ([]T, error)) ([]T, error) {
	if n == 0 {
		return nil, nil
	}
	entries, _, err := store.RangeAll(ctx, s, prefix, 0)
	if err != nil {
		return nil, err
	}
	if len(entries) < n {
		return nil, errMissingParts
	}
	var all []T
	for _, e := range entries[:n] {
		list, err := decode(e.Value)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// Adopt makes this host run a job whose record names this host as the owner.
func (m *Manager) Adopt(ctx context.Context, id string) *result.Error {
	j, failure := m.current(ctx, id)
	if failure != nil {
		return failure
	}
	m.mu.Lock()
	stopping := m.stopping
	if j != nil {
		j.claim.Withdraw()
	}
	m.mu.Unlock()
	if j != nil {
		// The job may have come back from another owner that this host did not know of.
		m.refresh(id)
		return nil
	}
	if stopping {
		return result.New(result.Stopping, "host %s stops", m.Host)
	}
	err := m.tryTakeOver(ctx, id, m.Host)
	switch {
	case errors.Is(err, errStopping):
		return result.New(result.Stopping, "host %s stops", m.Host)
	case err != nil:
		return result.New(result.LeaseLost, "%v", err)
	}
	return nil
}

// removeOld deletes a complete job from the store once jobRetention has passed
// since its acceptance and minReadable since it was first seen complete, if this host
// is the scanner that is responsible for it. The record may be an old one, and a job of
// the same ID have been accepted since, so it must still be at revision.
func (m *Manager) removeOld(r jobstate.Record, revision int64, now time.Time) {
	if r.Open() || now.Sub(r.Accepted) < jobRetention || !m.assignedHere(r.ID) {
		return
	}
	// A change of a complete job's record, such as its end, only delays the removal.
	seen, known := m.closedAt[r.ID]
	if !known || seen.revision != revision {
		m.closedAt[r.ID] = closedJob{revision: revision, since: now}
		return
	}
	if now.Sub(seen.since) < minReadable {
		return
	}
	// The record is deleted last, so that an interrupted removal is repeated.
	keys := []string{jobstate.PartialKey(r.ID)}
	for i := range r.BodyParts {
		keys = append(keys, jobstate.BodyKey(r.ID, i))
	}
	for i := range r.ResultParts {
		keys = append(keys, jobstate.ResultKey(r.ID, i))
	}
	keys = append(keys, jobstate.RecordKey(r.ID))
	for batch := range slices.Chunk(keys, maxDeletes) {
		outcome, err := m.Store.Commit(m.ctx, store.Txn{
			Compares: []store.Compare{{Key: jobstate.RecordKey(r.ID), Target: store.ModRevision, Revision: revision}},
			Deletes:  batch,
		})
		if err == nil && !outcome.Succeeded {
			err = errRecordChanged
		}
		if err != nil {
			m.Log.Info("job not removed", "job", r.ID, "cause", err.Error())
			return
		}
	}
	m.Log.Info("job removed", "job", r.ID, "accepted", r.Accepted)
}

// closedJob is what a scanner has seen of a complete job.
type closedJob struct {
	// revision is that of its record.
	revision int64
	// since is when it was first seen complete.
	since time.Time
}

// forgetClosed forgets the complete jobs that were to be removed long ago.
func (m *Manager) forgetClosed(now time.Time) {
	for id, seen := range m.closedAt {
		if now.Sub(seen.since) > 2*minReadable {
			delete(m.closedAt, id)
		}
	}
}

// maxDeletes bounds the keys that one transaction removes.
const maxDeletes = 30

// evict removes complete jobs of this host from memory, at the times at which they
// are removed from the store, clears the cached owners once there are too many, and
// forgets until when jobs were certain to be kept.
func (m *Manager) evict(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, j := range m.jobs {
		if !j.job.Complete() {
			continue
		}
		if j.closedAt.IsZero() {
			j.closedAt = now
		}
		if now.Sub(j.job.Record().Accepted) >= jobRetention && now.Sub(j.closedAt) >= minReadable {
			delete(m.jobs, id)
		}
	}
	if len(m.owners) > maxKnownOwners {
		clear(m.owners)
	}
	for id := range m.keptUntil {
		if !m.isKept(id) {
			delete(m.keptUntil, id)
		}
	}
}

// handOver passes this host's open jobs on to other hosts, so that they need not
// first detect that it is gone.
func (m *Manager) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	m.mu.Lock()
	m.handedOver = true
	var group []change
	for id, j := range m.jobs {
		if j.job.Complete() {
			continue
		}
		// The successor may list results from here on, so this host's list must
		// not be served any more; readers are directed to the owner in the store.
		delete(m.jobs, id)
		j.notify()
		c := m.newChange(j, nil)
		c.after.Owner, c.after.Released, c.partials = m.successor(c.after.ID), j.claim.MayList(m.Timer.Uptime()), j.job.Partials(maxPartialBytes)
		group = append(group, c)
	}
	m.mu.Unlock()
	for len(group) > 0 {
		n := min(len(group), maxGroupJobs)
		if !m.write(ctx, group[:n]) {
			return
		}
		for _, c := range group[:n] {
			m.handOverAlone(ctx, c)
			if c.after.Owner == "" {
				continue
			}
			if failure := m.Peers.Adopt(ctx, c.after.Owner, c.after.ID); failure != nil {
				m.Log.Info("heir not told", "job", c.after.ID, "heir", c.after.Owner, "cause", failure.Error())
			}
		}
		group = group[n:]
	}
}

// handOverAlone writes the change of one job again if it was not written with those of
// others: the record of one that has changed keeps all of a transaction from being
// written.
func (m *Manager) handOverAlone(ctx context.Context, c change) {
	m.mu.Lock()
	written := c.j.job.Record().Owner == c.after.Owner
	again := m.newChange(c.j, nil)
	// The change of the record may show that the job was elsewhere in between.
	again.after.Owner, again.after.Released, again.partials = c.after.Owner, c.j.claim.MayList(m.Timer.Uptime()), c.partials
	m.mu.Unlock()
	if written {
		return
	}
	m.write(ctx, []change{again})
}

// successor returns the live host that a job of this host is handed over to,
// empty if there is none.
func (m *Manager) successor(id string) string {
	others := slices.DeleteFunc(m.Peers.Live(), func(host string) bool { return host == m.Host })
	return rendezvous.First(m.reaching(others), id)
}
