package ownership

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// maxPageBytes bounds the result bytes of one page, unless the first result
	// is larger.
	maxPageBytes = 700 << 10
	// storePollInterval is the time between two reads of a record for one reader
	// that waits.
	storePollInterval = 500 * time.Millisecond
)

// source is where a host knows from that there is no result.
type source string

const (
	fromMemory source = "memory"
	fromHost   source = "host"
	fromStore  source = "store"
)

// emptyPage counts the pages without results of jobs that are not complete, by the
// source of the knowledge that there are none.
func emptyPage(source source) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`kingcupquay_jobs_pages_without_results_total{source=%q}`, source))
}

var (
	emptyFromMemory = emptyPage(fromMemory)
	emptyFromPeer   = emptyPage(fromHost)
	emptyFromStore  = emptyPage(fromStore)
)

// Results returns the results from position after on, waiting at most wait for
// the first. Without mayForward, only a job that this host owns is served.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration, mayForward bool) (ResultPage, *result.Error) {
	deadline := m.Timer.Now().Add(wait)
	j, unread := m.current(ctx, id)
	if j != nil {
		page, failure := m.ownedResults(ctx, j, after, deadline)
		if failure == nil && unread != nil && page.denies(after) {
			// The job may have been removed. What is listed is shown all the same.
			return ResultPage{}, unread
		}
		if failure == nil || failure.Code() != result.LeaseLost {
			return page, failure
		}
	}
	if !mayForward {
		return ResultPage{}, result.New(result.LeaseLost, "job %.64q is not this host's", id)
	}
	if page, ok := m.cachedResults(id, after); ok {
		return page, nil
	}
	owner, failure := m.ownerOf(ctx, id)
	if failure != nil {
		return ResultPage{}, failure
	}
	if owner != "" && owner != m.Host {
		asked := m.Timer.Uptime()
		page, failure := m.Peers.Results(ctx, owner, id, after, deadline.Sub(m.Timer.Now()))
		page.knownAt, page.source = asked+time.Duration(page.KnownAfterMS)*time.Millisecond, fromHost
		if page.knownAt > m.Timer.Uptime() {
			// The owner's uptime has jumped.
			page.knownAt = asked
		}
		switch {
		case failure == nil && (len(page.Results) > 0 || page.Confirmed):
			if len(page.Results) == 0 && after < page.Total {
				emptyFromPeer.Inc()
				m.Log.V(1).Info("page without results", "job", id, "after", after, "total", page.Total, "source", owner)
			}
			return page, nil
		case failure == nil:
			// A host of a build that confirms no pages may be a former owner.
		case failure.Code() == result.StoreUnavailable:
			// The owner can't tell whether it still is. It still shows what is listed.
		case failure.Code() != result.LeaseLost && failure.Code() != result.NoBackend:
			return ResultPage{}, failure
		default:
			m.forgetOwner(id, owner)
		}
	}
	return m.storedResults(ctx, id, after, deadline)
}

// ownedResults waits for results of a job that this host owns. The code LeaseLost
// means that this host does not own the job any more, or may not know all results.
func (m *Manager) ownedResults(ctx context.Context, j *ownedJob, after int, deadline time.Time) (ResultPage, *result.Error) {
	confirmed := false
	var confirmedAt time.Duration
	for {
		m.mu.Lock()
		now := m.Timer.Uptime()
		record, results, changed := j.job.Record(), j.job.Results(), j.changed
		owned, complete := m.owns(j), j.job.Complete()
		age, revision := j.claim.ListAge(now), j.revision
		m.mu.Unlock()
		if !owned {
			return ResultPage{}, result.New(result.LeaseLost, "job %.64q is not this host's any more", record.ID)
		}
		remaining := deadline.Sub(m.Timer.Now())
		ends := remaining <= 0 || ctx.Err() != nil
		switch {
		case after < len(results) || complete || confirmed || after >= record.Total:
			page := pageOf(record.Total, results, after)
			page.Confirmed, page.knownAt, page.source = confirmed || complete, now, fromMemory
			if confirmed {
				page.knownAt = confirmedAt
			}
			if len(page.Results) == 0 && !complete {
				emptyFromMemory.Inc()
				m.Log.V(1).Info("page without results", "job", record.ID, "after", after, "listed", len(results), "total", record.Total,
					"source", "memory", "revision", revision, "age_ms", age.Milliseconds())
			}
			return page, nil
		case ends:
			knownAt, failure := m.confirmList(ctx, j)
			if failure != nil {
				return ResultPage{}, failure
			}
			confirmed, confirmedAt = true, knownAt
			continue
		}
		timedOut := make(chan struct{})
		sub := m.Timer.After(remaining, func(time.Time) { close(timedOut) })
		select {
		case <-changed:
		case <-timedOut:
		case <-ctx.Done():
		}
		sub.Cancel()
	}
}

// pageOf returns the results from position after on that fit into one page.
func pageOf(total int, results []jobstate.Result, after int) ResultPage {
	page := ResultPage{Total: total, Next: after}
	size := 0
	for i := after; i < len(results); i++ {
		if size += len(results[i].Text); size > maxPageBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, results[i])
	}
	page.Next = after + len(page.Results)
	return page
}

// ownerOf returns the owner of a job, cached or read from the store.
func (m *Manager) ownerOf(ctx context.Context, id string) (string, *result.Error) {
	m.mu.Lock()
	owner, known := m.owners[id]
	m.mu.Unlock()
	if known && owner != "" {
		return owner, nil
	}
	r, failure := m.record(ctx, id)
	return r.Owner, failure
}

func (m *Manager) forgetOwner(id, owner string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners[id] == owner {
		delete(m.owners, id)
	}
}

// record reads a job's record from the store and caches its owner.
func (m *Manager) record(ctx context.Context, id string) (jobstate.Record, *result.Error) {
	began := m.Timer.Uptime()
	e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(id))
	if err != nil {
		return jobstate.Record{}, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
	}
	if !ok {
		return jobstate.Record{}, result.New(result.NotFound, "no job %.64q", id)
	}
	r, err := jobstate.DecodeRecord(e.Value)
	if err != nil {
		return r, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
	}
	m.mu.Lock()
	if _, owned := m.jobs[id]; !owned {
		m.owners[id] = r.Owner
	}
	if r.Open() {
		m.noteOpen(id, began)
	}
	m.mu.Unlock()
	return r, nil
}

// cachedResults serves results from the cache: all of a complete job, and those
// of another job that have been read before. A job that may have been removed, and
// another one accepted under its ID, is not served.
func (m *Manager) cachedResults(id string, after int) (ResultPage, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cached, ok := m.resultCache.Get(m.Timer.Now(), id)
	if !ok || (cached.Record.Open() && after >= len(cached.Results)) || m.Timer.Now().Sub(cached.Record.Accepted) >= jobRetention {
		return ResultPage{}, false
	}
	page := pageOf(cached.Record.Total, cached.Results, after)
	page.knownAt, page.source = m.Timer.Uptime(), fromMemory
	return page, true
}

// storedResults serves a job from the store if its owner can't be reached or no
// longer has it.
func (m *Manager) storedResults(ctx context.Context, id string, after int, deadline time.Time) (ResultPage, *result.Error) {
	for {
		began := m.Timer.Uptime()
		r, failure := m.record(ctx, id)
		if failure != nil {
			return ResultPage{}, failure
		}
		results, failure := m.listedResults(ctx, r)
		if failure != nil {
			return ResultPage{}, failure
		}
		page := pageOf(r.Total, results, after)
		page.knownAt, page.source = began, fromStore
		if len(page.Results) > 0 || !r.Open() || deadline.Sub(m.Timer.Now()) < storePollInterval || ctx.Err() != nil {
			if len(page.Results) == 0 && r.Open() {
				emptyFromStore.Inc()
				m.Log.V(1).Info("page without results", "job", id, "after", after, "listed", r.Listed, "total", r.Total, "source", "store", "owner", r.Owner)
			}
			return page, nil
		}
		timer.Pause(m.Timer, ctx.Done(), storePollInterval)
	}
}

// listedResults returns the results of a job whose record was just read, from the cache
// if it has them.
func (m *Manager) listedResults(ctx context.Context, r jobstate.Record) ([]jobstate.Result, *result.Error) {
	m.mu.Lock()
	cached, ok := m.resultCache.Get(m.Timer.Now(), r.ID)
	if ok && cached.Record.ResultParts == r.ResultParts && sameJob(cached.Record, r) {
		defer m.mu.Unlock()
		cached.Record = r
		return cached.Results, nil
	}
	m.mu.Unlock()
	results, err := loadParts(ctx, m.Store, jobstate.ResultPrefix(r.ID), r.ResultParts, jobstate.DecodeResults)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resultCache.Put(m.Timer.Now(), r, results)
	return results, nil
}

// Body returns the body of an item that is not listed yet.
func (m *Manager) Body(ctx context.Context, id, item string, mayForward bool) ([]byte, *result.Error) {
	j, failure := m.current(ctx, id)
	if j != nil {
		m.mu.Lock()
		body, ok := j.job.Body(item)
		m.mu.Unlock()
		switch {
		case ok:
			return body, nil
		case failure != nil:
			return nil, failure
		}
		return nil, result.New(result.NotFound, "no item %.64q that is not listed", item)
	}
	if !mayForward {
		return nil, result.New(result.LeaseLost, "job %.64q is not this host's", id)
	}
	owner, failure := m.ownerOf(ctx, id)
	if failure != nil {
		return nil, failure
	}
	if owner != "" && owner != m.Host {
		body, failure := m.Peers.Body(ctx, owner, id, item)
		if failure == nil || failure.Code() != result.LeaseLost && failure.Code() != result.NoBackend {
			return body, failure
		}
		m.forgetOwner(id, owner)
	}
	r, failure := m.record(ctx, id)
	if failure != nil {
		return nil, failure
	}
	results, failure := m.listedResults(ctx, r)
	if failure != nil {
		return nil, failure
	}
	isListed := slices.ContainsFunc(results, func(listed jobstate.Result) bool { return listed.ID == item })
	if r.Ended || isListed {
		return nil, result.New(result.NotFound, "no item %.64q that is not listed", item)
	}
	items, err := loadParts(ctx, m.Store, jobstate.BodyPrefix(id), r.BodyParts, jobstate.DecodeItems)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
	}
	body, ok := jobstate.NewJob(r, items, results).Body(item)
	if !ok {
		return nil, result.New(result.NotFound, "no item %.64q that is not listed", item)
	}
	return body, nil
}
