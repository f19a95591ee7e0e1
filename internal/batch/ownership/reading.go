package ownership

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// viewBytes bounds the results of one view.
	viewBytes = 700 << 10
	// coldPause is the time between two reads of a record for one waiting reader.
	coldPause = 500 * time.Millisecond
)

// Results returns the results from position after on, waiting at most wait for
// the first. mayForward says that the owner may be asked.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration, mayForward bool) (ResultPage, *result.Error) {
	until := m.Timer.Now().Add(wait)
	m.mu.Lock()
	h, own := m.jobs[id]
	m.mu.Unlock()
	if own {
		if view, ok := m.ownResults(ctx, h, after, until); ok {
			return view, nil
		}
	}
	if !mayForward {
		return ResultPage{}, result.New(result.LeaseLost, "job %.64q is not this host's", id)
	}
	if view, ok := m.shelved(id, after); ok {
		return view, nil
	}
	owner, failure := m.ownerOf(ctx, id)
	if failure != nil {
		return ResultPage{}, failure
	}
	if owner != "" && owner != m.Host {
		view, failure := m.Peers.Results(ctx, owner, id, after, until.Sub(m.Timer.Now()))
		if failure == nil {
			return view, nil
		}
		if failure.Code() != result.LeaseLost && failure.Code() != result.NoBackend {
			return ResultPage{}, failure
		}
		m.forgetOwner(id, owner)
	}
	return m.coldResults(ctx, id, after, until)
}

// ownResults waits for results of a job that this host owns; ok is false if it
// does not own it any more.
func (m *Manager) ownResults(ctx context.Context, h *held, after int, until time.Time) (ResultPage, bool) {
	for {
		m.mu.Lock()
		record, results, changed := h.job.Record(), h.job.Results(), h.changed
		own, over := m.jobs[record.ID] == h, h.job.Complete()
		m.mu.Unlock()
		if !own {
			return ResultPage{}, false
		}
		left := until.Sub(m.Timer.Now())
		if after < len(results) || over || left <= 0 || ctx.Err() != nil {
			return viewOf(record.Total, results, after), true
		}
		woken := make(chan struct{})
		sub := m.Timer.After(left, func(time.Time) { close(woken) })
		select {
		case <-changed:
		case <-woken:
		case <-ctx.Done():
		}
		sub.Cancel()
	}
}

func viewOf(total int, results []jobstate.Result, after int) ResultPage {
	v := ResultPage{Total: total, Next: after}
	size := 0
	for at := after; at < len(results); at++ {
		if size += len(results[at].Text); size > viewBytes && len(v.Results) > 0 {
			break
		}
		v.Results = append(v.Results, results[at])
	}
	v.Next = after + len(v.Results)
	return v
}

// ownerOf returns the owner of a job, from memory or from the store.
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

// record reads a job's record from the store.
func (m *Manager) record(ctx context.Context, id string) (jobstate.Record, *result.Error) {
	e, ok, err := m.Store.Get(ctx, jobstate.RecordKey(id))
	if err != nil {
		return jobstate.Record{}, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
	}
	if !ok {
		return jobstate.Record{}, result.New(result.NotFound, "no job %.64q", id)
	}
	r, err := jobstate.DecodeRecord(e.Value)
	if err != nil {
		return r, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
	}
	m.mu.Lock()
	if _, own := m.jobs[id]; !own {
		m.owners[id] = r.Owner
	}
	m.mu.Unlock()
	return r, nil
}

// shelved serves a job that is over, or a position that has been read, without
// a call.
func (m *Manager) shelved(id string, after int) (ResultPage, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	one, ok := m.cold.Get(m.Timer.Now(), id)
	if !ok || (one.Record.Open() && after >= len(one.Results)) {
		return ResultPage{}, false
	}
	return viewOf(one.Record.Total, one.Results, after), true
}

// coldResults serves a job from the store, for readers of a job whose owner is
// gone or that is over and forgotten.
func (m *Manager) coldResults(ctx context.Context, id string, after int, until time.Time) (ResultPage, *result.Error) {
	for {
		r, failure := m.record(ctx, id)
		if failure != nil {
			return ResultPage{}, failure
		}
		m.mu.Lock()
		one, ok := m.cold.Get(m.Timer.Now(), id)
		m.mu.Unlock()
		if !ok || one.Record.ResultParts != r.ResultParts {
			results, err := loadParts(ctx, m.Store, jobstate.ResultPrefix(id), r.ResultParts, jobstate.DecodeResults)
			if err != nil {
				return ResultPage{}, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
			}
			m.mu.Lock()
			one = m.cold.Put(m.Timer.Now(), r, results)
			m.mu.Unlock()
		}
		m.mu.Lock()
		one.Record = r
		view := viewOf(r.Total, one.Results, after)
		m.mu.Unlock()
		if len(view.Results) > 0 || !r.Open() || until.Sub(m.Timer.Now()) < coldPause || ctx.Err() != nil {
			return view, nil
		}
		m.pause(ctx, coldPause)
	}
}

// Body returns the body of an item that is not listed yet.
func (m *Manager) Body(ctx context.Context, id, item string, mayForward bool) ([]byte, *result.Error) {
	m.mu.Lock()
	h, own := m.jobs[id]
	if own {
		body, ok := h.job.Body(item)
		m.mu.Unlock()
		if !ok {
			return nil, result.New(result.NotFound, "no item %.64q that is not listed", item)
		}
		return body, nil
	}
	m.mu.Unlock()
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
	items, results, err := m.load(ctx, r)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
	}
	body, ok := jobstate.NewJob(r, items, results, 1).Body(item)
	if !ok {
		return nil, result.New(result.NotFound, "no item %.64q that is not listed", item)
	}
	return body, nil
}
