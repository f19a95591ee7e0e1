package ownership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/fleet/zone"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// dutyHosts is how many hosts look after jobs without an owner.
	dutyHosts = 8
	// dutyName is what the hosts on duty are assigned to.
	dutyName = "jobs"
	// keepOver is how long a job that is over stays readable.
	keepOver = 150 * time.Second
	// adoptRetry is the pause after the first try to take this host's own jobs at
	// its start; it doubles up to adoptRetryMost, since a job may stay unreadable.
	adoptRetry     = 500 * time.Millisecond
	adoptRetryMost = 8 * time.Second
	// hurryAfter is the time to the next scan while an owner's sign of life runs
	// out, hurries how many such scans follow each other.
	hurryAfter = 400 * time.Millisecond
	hurries    = 5
	// partialBytes bounds what is left to the next owner of a job of unfinished
	// items.
	partialBytes = jobstate.PartBytes / 4
	// ownersKept bounds the other hosts' jobs whose owner is remembered.
	ownersKept = 20_000
	// releaseFor bounds the time to give jobs away at a stop.
	releaseFor = 1500 * time.Millisecond
)

// records reads the records of all jobs.
func (m *Manager) records(ctx context.Context) ([]jobstate.Record, error) {
	entries, _, err := store.RangeAll(ctx, m.Store, jobstate.RecordPrefix, 0)
	if err != nil {
		return nil, err
	}
	return m.decode(entries), nil
}

func (m *Manager) decode(entries []store.Entry) []jobstate.Record {
	records := make([]jobstate.Record, 0, len(entries))
	for _, e := range entries {
		r, err := jobstate.DecodeRecord(e.Value)
		if err != nil {
			m.Log.Error(err, "record can't be read", "key", e.Key)
			continue
		}
		records = append(records, r)
	}
	return records
}

// adoptOwn takes back the jobs that this host owned before it was started. It
// goes on until all are taken, since in a large fleet only hosts on duty scan.
func (m *Manager) adoptOwn() {
	for pause := adoptRetry; m.ctx.Err() == nil; pause = min(2*pause, adoptRetryMost) {
		records, err := m.records(m.ctx)
		if err != nil {
			m.Log.Info("own jobs not read", "cause", err.Error())
		}
		left := err != nil
		for _, r := range records {
			if r.Open() && r.Owner == m.Host && !m.take(m.ctx, r.ID, m.Host) {
				left = true
			}
		}
		if !left {
			return
		}
		m.pause(m.ctx, pause)
	}
}

// onDuty returns the live hosts that look after jobs without an owner: all of a
// small fleet, some of a large one, so that their looks stay few.
func (m *Manager) onDuty() []string {
	live := m.Peers.Live()
	slices.SortFunc(live, func(a, b string) int { return cmp.Compare(zone.Score(b, dutyName), zone.Score(a, dutyName)) })
	return live[:min(len(live), dutyHosts)]
}

// scan looks for jobs whose owner is gone, and removes what is long over.
func (m *Manager) scan() {
	m.forget(m.Timer.Now())
	if !slices.Contains(m.onDuty(), m.Host) {
		return
	}
	entries, err := m.Store.RangeStale(m.ctx, jobstate.RecordPrefix)
	if err != nil {
		m.Log.V(1).Info("records not read", "cause", err.Error())
		return
	}
	now := m.Timer.Now()
	gone, deaf := make(map[string]bool), make(map[string]bool)
	defer m.idle.Prune(now)
	defer m.hurry(gone)
	for _, r := range m.decode(entries) {
		m.mu.Lock()
		_, own := m.jobs[r.ID]
		if !own {
			m.owners[r.ID] = r.Owner
		}
		m.mu.Unlock()
		switch {
		case own && (r.Ended || r.Owner != m.Host):
			// What was read may be old; the record itself tells.
			m.refresh(r.ID)
			m.clean(r, now)
		case own || !r.Open():
			m.clean(r, now)
		case r.Owner == m.Host:
			m.take(m.ctx, r.ID, m.Host)
		case r.Owner == "" || m.gone(r.Owner, gone):
			if m.chosen(r.ID) {
				m.take(m.ctx, r.ID, r.Owner)
			}
		case m.idle.Observe(now, r.ID, r.Owner, r.Serial) && m.chosen(r.ID) && !deaf[r.Owner]:
			deaf[r.Owner] = !m.ask(now, r)
		}
	}
}

// hurry makes the next scan come soon while an owner is silent but not yet known
// to be gone, a few times.
func (m *Manager) hurry(gone map[string]bool) {
	silent := false
	for host, is := range gone {
		silent = silent || !is && !m.Peers.Alive(host)
	}
	if !silent {
		m.hurried = 0
		return
	}
	if m.hurried++; m.hurried <= hurries {
		m.Timer.After(hurryAfter, func(time.Time) { m.TriggerScan() })
	}
}

// ask makes sure that the owner of a job whose record does not change knows of
// it; one that stops gives it away. It returns false if the owner can't be
// reached.
func (m *Manager) ask(now time.Time, r jobstate.Record) bool {
	failure := m.Peers.Adopt(m.ctx, r.Owner, r.ID)
	switch {
	case failure == nil:
		m.idle.Confirm(now, r.ID)
	case failure.Code() == result.Stopping:
		m.take(m.ctx, r.ID, r.Owner)
	default:
		m.Log.Info("owner of an idle job not asked", "job", r.ID, "owner", r.Owner, "serial", r.Serial, "cause", failure.Error())
	}
	return failure == nil || failure.Code() != result.NoBackend
}

// gone reports whether an owner looks gone: no host hears of it, and the store
// has no sign of life. seen holds this scan's answers.
func (m *Manager) gone(host string, seen map[string]bool) bool {
	if is, known := seen[host]; known {
		return is
	}
	seen[host] = !m.Peers.Alive(host) && m.Peers.Dead(m.ctx, host)
	return seen[host]
}

// chosen reports whether this host is the one of those on duty to look after a
// job.
func (m *Manager) chosen(id string) bool { return zone.First(m.onDuty(), id) == m.Host }

// take makes this host the owner of a job that from owns. It returns false if
// that is still to be done.
func (m *Manager) take(ctx context.Context, id, from string) bool {
	err := m.tryTake(ctx, id, from)
	if err != nil {
		m.Log.Info("job not taken over", "job", id, "from", from, "cause", err.Error())
	}
	return err == nil || errors.Is(err, errMoved)
}

var errMoved = errors.New("its record changed meanwhile")

func (m *Manager) tryTake(ctx context.Context, id, from string) error {
	m.writes.Lock()
	defer m.writes.Unlock()
	e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(id))
	if err != nil || !ok {
		return err
	}
	r, err := jobstate.DecodeRecord(e.Value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	_, own := m.jobs[id]
	m.mu.Unlock()
	if own || !r.Open() {
		return nil
	}
	if r.Owner != from {
		return errMoved
	}
	revision := e.ModRevision
	if r.Owner != m.Host || r.Writer != m.Writer {
		r.Owner = m.Host
		var outcome store.Outcome
		if r, outcome, err = m.rewrite(ctx, r, e.ModRevision); err != nil {
			return err
		}
		if !outcome.Succeeded {
			return errMoved
		}
		revision = outcome.Revision
	}
	items, results, err := m.load(ctx, r)
	if err != nil {
		return err
	}
	partials := m.partials(ctx, id)
	attempts := 1
	if config := m.Config.Current(); config != nil {
		if route, ok := config.Named(r.Route); ok {
			attempts = route.Attempts
		}
	}
	job := jobstate.NewJob(r, items, results, attempts)
	job.RestorePartials(partials)
	m.mu.Lock()
	held := m.hold(job, revision)
	m.mu.Unlock()
	if !held {
		return nil
	}
	takenTotal.Inc()
	m.Log.Info("job taken over", "job", id, "from", from, "listed", r.Listed, "total", r.Total, "revision", revision)
	m.Accepted(id)
	m.TriggerSchedule()
	return nil
}

// rewrite writes a record that this host does not hold, if it is still as it
// was at a revision, and returns it as it was written.
func (m *Manager) rewrite(ctx context.Context, r jobstate.Record, revision int64) (jobstate.Record, store.Outcome, error) {
	r.Writer = m.Writer
	r.Serial++
	text, err := r.Encode()
	if err != nil {
		return r, store.Outcome{}, err
	}
	key := jobstate.RecordKey(r.ID)
	outcome, err := m.Store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Target: store.ModRevision, Revision: revision}},
		Puts:     []store.Put{{Key: key, Value: text}},
	})
	return r, outcome, err
}

// partials reads what a former owner left of unfinished items; without it they
// are produced from the start.
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

var errParts = errors.New("parts of the job are missing")

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
		return nil, errParts
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

// Adopt makes sure that a job that this host owns by its record is run.
func (m *Manager) Adopt(ctx context.Context, id string) *result.Error {
	m.mu.Lock()
	_, own := m.jobs[id]
	stopping := m.stopping
	m.mu.Unlock()
	if own {
		return nil
	}
	if stopping {
		return result.New(result.Stopping, "host %s stops", m.Host)
	}
	if err := m.tryTake(ctx, id, m.Host); err != nil {
		return result.New(result.LeaseLost, "%v", err)
	}
	return nil
}

// clean forgets and removes a job that has been over for long.
func (m *Manager) clean(r jobstate.Record, now time.Time) {
	if r.Open() || now.Sub(r.Accepted) < keepOver || !m.chosen(r.ID) {
		return
	}
	// The record goes last, so that a removal that is cut short is done again.
	keys := []string{jobstate.PartialKey(r.ID)}
	for i := range r.BodyParts {
		keys = append(keys, jobstate.BodyKey(r.ID, i))
	}
	for i := range r.ResultParts {
		keys = append(keys, jobstate.ResultKey(r.ID, i))
	}
	keys = append(keys, jobstate.RecordKey(r.ID))
	for group := range slices.Chunk(keys, maxDeletes) {
		if _, err := m.Store.Commit(m.ctx, store.Txn{Deletes: group}); err != nil {
			m.Log.Info("job not removed", "job", r.ID, "cause", err.Error())
			return
		}
	}
	m.Log.Info("job removed", "job", r.ID, "accepted", r.Accepted)
}

// maxDeletes bounds the keys that one transaction removes.
const maxDeletes = 30

// forget drops from memory what the store need not be asked for any more: own
// jobs long after their end, and the owners of too many others.
func (m *Manager) forget(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, h := range m.jobs {
		if h.job.Complete() && now.Sub(h.job.Record().Accepted) >= keepOver {
			delete(m.jobs, id)
		}
	}
	if len(m.owners) > ownersKept {
		clear(m.owners)
	}
}

// release gives this host's open jobs to other hosts, so that they need not
// find out that it is gone.
func (m *Manager) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseFor)
	defer cancel()
	m.writes.Lock()
	defer m.writes.Unlock()
	m.mu.Lock()
	var group []change
	for id, h := range m.jobs {
		if h.job.Complete() {
			continue
		}
		// From here on the heir may list results, so this host's list is not shown
		// any more; readers are sent to whom the store names.
		delete(m.jobs, id)
		h.notify()
		c := m.changeOf(h, nil)
		c.after.Owner, c.partials = m.heir(c.after.ID), h.job.Partials(partialBytes)
		group = append(group, c)
	}
	m.mu.Unlock()
	for len(group) > 0 {
		n := min(len(group), groupJobs)
		if !m.write(ctx, group[:n]) {
			return
		}
		for _, c := range group[:n] {
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

// heir is the live host that gets a job of this one, empty for none.
func (m *Manager) heir(id string) string {
	others := slices.DeleteFunc(m.Peers.Live(), func(host string) bool { return host == m.Host })
	return zone.First(others, id)
}
