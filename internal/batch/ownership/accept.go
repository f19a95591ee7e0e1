package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// acceptTries bounds the transactions for one hand-in; another host's
	// acceptance on the same route costs one.
	acceptTries = 12
	// acceptFor bounds the time for one hand-in if its caller names none.
	acceptFor = 3 * time.Second
	// unclearPause is the pause before a write without an answer is repeated.
	unclearPause = 50 * time.Millisecond
	// storeRetry is when a caller may come back while the store is away.
	storeRetry = 500 * time.Millisecond
	// fullRetry is when a caller may come back while the route's bound is reached.
	fullRetry = time.Second
	// maxParts bounds the parts of a job's items, which are written in one
	// transaction with its record and the route's sum.
	maxParts = 28
	// giveUpMargin is added to the time after which an item may be given up,
	// since the clocks of hosts differ.
	giveUpMargin = 3 * time.Second
)

// quota is a route's sum of accepted tokens as last seen in the store. The sum
// is never less than what waits; it is worked out anew only when it stands in
// the way of a job.
type quota struct {
	Sum      int64 `json:"sum"`
	revision int64
}

// Submission is a job as it is handed in.
type Submission struct {
	ID    string
	Route *routes.Route
	Host  string
	Items []jobstate.Item
	// Deadline is when the caller no longer waits; zero for unknown.
	Deadline time.Time
}

// Submit accepts a job. It returns nil once the job is durable, also if it was
// accepted before. RanNo promises that no item of it will run.
func (m *Manager) Submit(ctx context.Context, sub Submission) *result.Error {
	m.mu.Lock()
	_, own := m.jobs[sub.ID]
	_, known := m.owners[sub.ID]
	stopping := m.stopping
	m.mu.Unlock()
	if own || known {
		// Owners are learned of durable jobs only.
		return nil
	}
	if stopping {
		return result.New(result.Stopping, "this host stops").WithRetry(storeRetry)
	}
	failure := m.accept(ctx, sub)
	if failure != nil {
		refusedTotal.Inc()
		m.Log.Info("job refused", "job", sub.ID, "route", sub.Route.Name, "items", len(sub.Items), "ran", string(failure.Ran()), "cause", failure.Error())
	}
	return failure
}

func (m *Manager) accept(ctx context.Context, sub Submission) *result.Error {
	record, parts, failure := m.prepare(sub)
	if failure != nil {
		return failure
	}
	now := m.Timer.Now()
	until := now.Add(acceptFor)
	if !sub.Deadline.IsZero() && sub.Deadline.Before(until) {
		until = sub.Deadline
	}
	unclear := false
	for range acceptTries {
		if !m.Timer.Now().Before(until) || ctx.Err() != nil {
			break
		}
		q, failure := m.room(ctx, sub.Route, record.Tokens)
		if failure != nil {
			if _, missing := m.record(ctx, sub.ID); missing == nil {
				// It was accepted before, and is what takes the room.
				return nil
			}
			if unclear {
				return failure.WithRan(result.RanMaybe)
			}
			return failure
		}
		outcome, err := m.Store.Commit(ctx, m.acceptance(sub, record, parts, q))
		switch {
		case errors.Is(err, store.ErrUnclear):
			unclear = true
			m.Log.Info("acceptance unclear", "job", sub.ID, "cause", err.Error())
			m.pause(ctx, unclearPause)
			continue
		case err != nil && !unclear:
			return result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
		case err != nil:
			m.pause(ctx, unclearPause)
			continue
		case outcome.Succeeded:
			m.accepted(sub, record, outcome.Revision, q)
			return nil
		}
		if done, failure := m.conflict(ctx, sub, record, outcome.Current, q); done {
			return failure
		}
	}
	if unclear {
		return result.New(result.MayHaveRun, "the store did not say whether the job is kept").WithRan(result.RanMaybe)
	}
	return result.New(result.StoreUnavailable, "the job could not be kept in time").WithRetry(storeRetry)
}

func (m *Manager) prepare(sub Submission) (jobstate.Record, [][]byte, *result.Error) {
	parts, err := jobstate.SplitItems(sub.Items)
	if err != nil {
		return jobstate.Record{}, nil, result.New(result.Internal, "%v", err)
	}
	for _, part := range parts {
		if len(part) > store.MaxValueBytes {
			return jobstate.Record{}, nil, result.New(result.BodyTooLarge, "an item of the job takes %d bytes, more than %d", len(part), store.MaxValueBytes)
		}
	}
	if len(parts) > maxParts {
		return jobstate.Record{}, nil, result.New(result.BodyTooLarge, "the job takes %d parts, more than %d", len(parts), maxParts)
	}
	now := m.Timer.Now()
	record := jobstate.Record{
		ID: sub.ID, Route: sub.Route.Name, Host: sub.Host, Owner: m.Host, Serial: 1, Writer: m.Writer,
		BodyParts: len(parts), Total: len(sub.Items), Accepted: now, Due: now.Add(sub.Route.Due),
	}
	if sub.Route.KeepFor > 0 {
		record.GiveUpAt = now.Add(sub.Route.KeepFor + giveUpMargin)
	}
	for _, item := range sub.Items {
		record.Tokens += item.Tokens
	}
	record.UnlistedTokens = record.Tokens
	return record, parts, nil
}

func (m *Manager) acceptance(sub Submission, record jobstate.Record, parts [][]byte, q quota) store.Txn {
	text, err := record.Encode()
	if err != nil {
		panic(fmt.Sprintf("a job record can always be encoded: %v", err))
	}
	txn := store.Txn{
		Compares: []store.Compare{{Key: jobstate.RecordKey(sub.ID), Target: store.ModRevision}},
		Puts:     []store.Put{{Key: jobstate.RecordKey(sub.ID), Value: text}},
	}
	for i, part := range parts {
		txn.Puts = append(txn.Puts, store.Put{Key: jobstate.BodyKey(sub.ID, i), Value: part})
	}
	if sub.Route.TokenCap > 0 {
		key := jobstate.QuotaKey(sub.Route.Name)
		txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.ModRevision, Revision: q.revision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: q.plus(record.Tokens)})
	}
	return txn
}

func (q quota) plus(tokens int64) []byte {
	q.Sum += tokens
	text, err := json.Marshal(q)
	if err != nil {
		panic(fmt.Sprintf("a sum can always be encoded: %v", err))
	}
	return text
}

func (m *Manager) accepted(sub Submission, record jobstate.Record, revision int64, q quota) {
	acceptedTotal.Inc()
	m.mu.Lock()
	m.hold(jobstate.NewJob(record, sub.Items, nil, sub.Route.Attempts), revision)
	if sub.Route.TokenCap > 0 {
		m.quotas[sub.Route.Name] = quota{Sum: q.Sum + record.Tokens, revision: revision}
	}
	m.mu.Unlock()
	m.Log.Info("job accepted", "job", sub.ID, "route", sub.Route.Name, "items", record.Total, "tokens", record.Tokens, "revision", revision)
	m.Accepted(sub.ID)
	m.TriggerSchedule()
}

// conflict handles an acceptance whose conditions did not hold. done says that
// the hand-in is answered.
func (m *Manager) conflict(ctx context.Context, sub Submission, record jobstate.Record, current []store.Entry, q quota) (done bool, failure *result.Error) {
	for _, e := range current {
		switch e.Key {
		case jobstate.RecordKey(sub.ID):
			existing, err := jobstate.DecodeRecord(e.Value)
			if err != nil {
				return true, result.New(result.Internal, "%v", err).WithRan(result.RanMaybe)
			}
			if existing.Writer == record.Writer && existing.Serial == record.Serial {
				m.accepted(sub, existing, e.ModRevision, quota{Sum: q.Sum, revision: 0})
				return true, nil
			}
			m.LearnOwner(existing.Owner, []string{sub.ID})
			if failure := m.Peers.Adopt(ctx, existing.Owner, sub.ID); failure != nil {
				m.Log.Info("owner not told of a job handed in again", "job", sub.ID, "owner", existing.Owner, "cause", failure.Error())
			}
			return true, nil
		case jobstate.QuotaKey(sub.Route.Name):
			m.learnQuota(sub.Route.Name, e)
			return false, nil
		}
	}
	// The key of the sum does not exist any more, or the service told nothing.
	m.mu.Lock()
	delete(m.quotas, sub.Route.Name)
	m.mu.Unlock()
	return false, nil
}

func (m *Manager) learnQuota(route string, e store.Entry) quota {
	var q quota
	if err := json.Unmarshal(e.Value, &q); err != nil {
		m.Log.Error(err, "sum of tokens can't be read; it is worked out anew", "route", route)
		q.Sum = 1 << 62
	}
	q.revision = e.ModRevision
	m.mu.Lock()
	m.quotas[route] = q
	m.mu.Unlock()
	return q
}

// room returns the sum to accept a job on, or refuses the job if the route's
// bound is reached.
func (m *Manager) room(ctx context.Context, route *routes.Route, tokens int64) (quota, *result.Error) {
	if route.TokenCap <= 0 {
		return quota{}, nil
	}
	m.mu.Lock()
	q, known := m.quotas[route.Name]
	m.mu.Unlock()
	if known && q.Sum+tokens <= route.TokenCap {
		return q, nil
	}
	e, ok, err := m.Store.Get(ctx, jobstate.QuotaKey(route.Name))
	if err != nil {
		return q, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
	}
	q = quota{}
	if ok {
		q = m.learnQuota(route.Name, e)
	}
	if q.Sum+tokens <= route.TokenCap {
		return q, nil
	}
	records, err := m.records(ctx)
	if err != nil {
		return q, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetry)
	}
	q.Sum = 0
	for _, r := range records {
		if r.Route == route.Name {
			q.Sum += r.OutstandingTokens()
		}
	}
	if q.Sum+tokens > route.TokenCap {
		return q, result.New(result.QueueFull, "%d tokens wait on the route and %d more do not fit its bound of %d", q.Sum, tokens, route.TokenCap).WithRetry(fullRetry)
	}
	return q, nil
}

// pause waits for d, or until ctx or the manager ends.
func (m *Manager) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel)
	defer stop()
	timer.Pause(m.Timer, ctx.Done(), d)
}
