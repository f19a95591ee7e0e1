package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/claim"
	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// maxAcceptAttempts bounds the transactions for one submission; a concurrent
	// acceptance on the same route by another host makes one fail.
	maxAcceptAttempts = 12
	// defaultAcceptTimeout bounds the time for one submission unless its caller
	// stops waiting earlier.
	defaultAcceptTimeout = 3 * time.Second
	// unknownOutcomeRetryDelay is the pause before a write with an unknown outcome
	// is repeated.
	unknownOutcomeRetryDelay = 50 * time.Millisecond
	// storeRetryAfter is the time after which a caller may retry while the store
	// is unavailable.
	storeRetryAfter = 500 * time.Millisecond
	// quotaRetryAfter is the time after which a caller may retry while the route
	// is at its token cap.
	quotaRetryAfter = time.Second
	// maxBodyParts bounds the parts that a job's items are split into. They are
	// written in one transaction with the job's record and the route's token sum.
	maxBodyParts = 28
	// maxClockError is by how much the time of day of a host may be off.
	maxClockError = 2 * time.Second
	// giveUpMargin is added to the time after which an item may be given up, since the
	// clock of the host that accepts a job may be back and that of its owner ahead.
	giveUpMargin = 2*maxClockError + time.Second
)

// quotaName names a sum of accepted tokens: that of a route, by organisation.
type quotaName struct{ route, organisation string }

// quotaUsage is a sum of accepted tokens as last read from the store.
// The sum is an upper bound of the tokens that wait: it is recomputed from the
// job records only when it would cause a job to be refused.
type quotaUsage struct {
	Sum      int64 `json:"sum"`
	revision int64
}

// Submission is a job as submitted by a caller.
type Submission struct {
	// ID is unique over all organisations; see jobstate.QualifiedID.
	ID string
	// Organisation is the name of the one that hands the job in, "" if there are none.
	Organisation string
	Route        *routes.Route
	Host         string
	Items        []jobstate.Item
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
}

// quota names the sum of tokens that the submission's are added to.
func (s Submission) quota() quotaName { return quotaName{s.Route.Name, s.Organisation} }

// Submit accepts a job. It returns nil once the job is durable, also if it was
// accepted before and is still kept. An error with RanNo guarantees that no item of it
// will run.
func (m *Manager) Submit(ctx context.Context, sub Submission) *result.Error {
	for again := false; ; again = true {
		began := m.Timer.Uptime()
		failure := m.submit(ctx, sub)
		switch {
		case failure != nil && again && failure.Ran() == result.RanNo:
			// The job was accepted, and may have run until it was removed.
			return failure.WithRan(result.RanMaybe)
		case failure != nil || m.Timer.Uptime()-began < keptTellPeriod:
			return failure
		case ctx.Err() != nil:
			return result.New(result.MayHaveRun, "whether the job is still kept is not known").WithRan(result.RanMaybe)
		}
	}
}

// submit is Submit; its answer is to be told within keptTellPeriod.
func (m *Manager) submit(ctx context.Context, sub Submission) *result.Error {
	m.mu.Lock()
	j, owned := m.jobs[sub.ID]
	owner, heard := m.owners[sub.ID]
	kept, stopping := m.isKept(sub.ID), m.stopping
	m.mu.Unlock()
	if kept {
		return nil
	}
	var failure *result.Error
	accepted := owned || heard
	if accepted {
		var removed bool
		removed, failure = m.checkKept(ctx, sub.ID, j, owner)
		accepted = !removed
	}
	switch {
	case accepted:
	case stopping:
		return result.New(result.Stopping, "this host stops").WithRetry(storeRetryAfter)
	default:
		failure = m.accept(ctx, sub)
	}
	if failure != nil {
		refusedTotal.Inc()
		m.Log.Info("job refused", "job", sub.ID, "organisation", sub.Organisation, "route", sub.Route.Name, "items", len(sub.Items), "ran", string(failure.Ran()), "cause", failure.Error())
	}
	return failure
}

func (m *Manager) accept(ctx context.Context, sub Submission) *result.Error {
	record, parts, failure := m.prepare(sub)
	if failure != nil {
		return failure
	}
	now := m.Timer.Now()
	deadline := now.Add(defaultAcceptTimeout)
	if !sub.Deadline.IsZero() && sub.Deadline.Before(deadline) {
		deadline = sub.Deadline
	}
	outcomeUnknown := false
	for range maxAcceptAttempts {
		if !m.Timer.Now().Before(deadline) || ctx.Err() != nil {
			break
		}
		q, failure := m.checkQuota(ctx, sub, record.Tokens)
		if failure == nil {
			failure = m.checkMemory(sub)
		}
		if failure != nil {
			if r, readFailure := m.record(ctx, sub.ID); readFailure == nil {
				// The job was accepted before and is itself counted in the sum.
				return m.keeps(r)
			}
			if outcomeUnknown {
				return failure.WithRan(result.RanMaybe)
			}
			return failure
		}
		began := m.Timer.Uptime()
		outcome, err := m.Store.Commit(ctx, m.acceptanceTxn(sub, record, parts, q))
		switch {
		case errors.Is(err, store.ErrOutcomeUnknown):
			outcomeUnknown = true
			m.Log.Info("acceptance unclear", "job", sub.ID, "cause", err.Error())
			m.pause(ctx, unknownOutcomeRetryDelay)
			continue
		case err != nil && !outcomeUnknown:
			return result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
		case err != nil:
			m.pause(ctx, unknownOutcomeRetryDelay)
			continue
		case outcome.Succeeded:
			m.finishAcceptance(sub, record, outcome.Revision, q, began, claim.New(m.proofPeriod(), began))
			return nil
		}
		if done, failure := m.resolveAcceptConflict(ctx, sub, record, outcome.Current, q, began); done {
			return failure
		}
	}
	if outcomeUnknown {
		return result.New(result.MayHaveRun, "the store did not say whether the job is kept").WithRan(result.RanMaybe)
	}
	return result.New(result.StoreUnavailable, "the job could not be kept in time").WithRetry(storeRetryAfter)
}

// itemOverheadBytes is what an item takes besides its texts.
const itemOverheadBytes = 512

// itemBytes returns the memory that items take.
func itemBytes(items []jobstate.Item) int64 {
	var sum int64
	for _, item := range items {
		sum += itemOverheadBytes + int64(len(item.ID)+len(item.Path)+len(item.Body))
		for _, field := range item.Fields {
			sum += int64(len(field.Name) + len(field.Value))
		}
	}
	return sum
}

// checkMemory returns the refusal of a job whose items don't fit beside those of the jobs
// that this host has. A job that is alone always fits.
func (m *Manager) checkMemory(sub Submission) *result.Error {
	if m.MaxItemBytes <= 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var held int64
	for _, j := range m.jobs {
		held += j.itemBytes
	}
	if held > 0 && held+itemBytes(sub.Items) > m.MaxItemBytes {
		return result.New(result.Overloaded, "the host has no memory left for a job of this size").WithRetry(quotaRetryAfter)
	}
	return nil
}

// prepare returns the initial record of a job and its items in encoded parts.
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
	if len(parts) > maxBodyParts {
		return jobstate.Record{}, nil, result.New(result.BodyTooLarge, "the job takes %d parts, more than %d", len(parts), maxBodyParts)
	}
	now := m.Timer.Now()
	record := jobstate.Record{
		ID: sub.ID, Route: sub.Route.Name, Host: sub.Host, Organisation: sub.Organisation, ConfigVersion: m.Config.Version(), Owner: m.Host, Serial: m.nextSerial(), Writer: m.Writer,
		BodyParts: len(parts), Total: len(sub.Items), Due: now.Add(sub.Route.DueAfter),
		// A reading of the steady clock would leave out suspensions of the machine.
		Accepted: now.Round(0), FailuresKnown: true,
	}
	if sub.Route.GiveUpAfter > 0 {
		record.GiveUpAt = now.Add(sub.Route.GiveUpAfter + giveUpMargin)
	}
	for _, item := range sub.Items {
		record.Tokens += item.Tokens
	}
	record.UnlistedTokens = record.Tokens
	return record, parts, nil
}

// acceptanceTxn returns the transaction that stores a new job. Its conditions are
// that the job does not exist and, if the route has a token cap, that the route's
// token sum is unchanged.
func (m *Manager) acceptanceTxn(sub Submission, record jobstate.Record, parts [][]byte, q quotaUsage) store.Txn {
	text, err := record.Encode()
	if err != nil {
		panic(fmt.Sprintf("encode job record: %v", err))
	}
	txn := store.Txn{
		Compares: []store.Compare{{Key: jobstate.RecordKey(sub.ID), Target: store.ModRevision}},
		Puts:     []store.Put{{Key: jobstate.RecordKey(sub.ID), Value: text}},
	}
	for i, part := range parts {
		txn.Puts = append(txn.Puts, store.Put{Key: jobstate.BodyKey(sub.ID, i), Value: part})
	}
	if sub.Route.TokenCap > 0 {
		key := jobstate.QuotaKey(sub.Route.Name, sub.Organisation)
		txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.ModRevision, Revision: q.revision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: q.encodeWith(record.Tokens)})
	}
	return txn
}

// encodeWith returns the stored form of the sum with tokens added.
func (q quotaUsage) encodeWith(tokens int64) []byte {
	q.Sum += tokens
	text, err := json.Marshal(q)
	if err != nil {
		panic(fmt.Sprintf("encode token sum: %v", err))
	}
	return text
}

// finishAcceptance takes a job into memory that the store has; began is when the
// call began that showed it.
func (m *Manager) finishAcceptance(sub Submission, record jobstate.Record, revision int64, q quotaUsage, began time.Duration, c *claim.Claim) {
	acceptedTotal.Inc()
	m.mu.Lock()
	m.addOwned(jobstate.NewJob(record, sub.Items, nil), revision, c)
	m.noteOpen(sub.ID, began)
	if sub.Route.TokenCap > 0 {
		m.quotas[sub.quota()] = quotaUsage{Sum: q.Sum + record.Tokens, revision: revision}
	}
	m.mu.Unlock()
	m.Log.Info("job accepted", "job", sub.ID, "organisation", sub.Organisation, "route", sub.Route.Name, "items", record.Total, "tokens", record.Tokens, "revision", revision)
	m.Accepted(sub.ID)
	m.TriggerSchedule()
}

// resolveAcceptConflict handles an acceptance whose conditions did not hold. If
// done is false, the acceptance is to be tried again.
func (m *Manager) resolveAcceptConflict(ctx context.Context, sub Submission, record jobstate.Record, current []store.Entry, q quotaUsage, began time.Duration) (done bool, failure *result.Error) {
	for _, e := range current {
		switch e.Key {
		case jobstate.RecordKey(sub.ID):
			existing, err := jobstate.DecodeRecord(e.Value)
			if err != nil {
				return true, result.New(result.Internal, "%v", err).WithRan(result.RanMaybe)
			}
			if existing.Writer == record.Writer && existing.Serial == record.Serial {
				// The conflict proves the record only as of some time during the call. This host
				// may have handed the job over since, to an heir that lists at once.
				c := claim.New(m.proofPeriod(), began)
				c.Withdraw()
				m.finishAcceptance(sub, existing, e.ModRevision, quotaUsage{Sum: q.Sum, revision: 0}, began, c)
				return true, nil
			}
			m.LearnOwner(existing.Owner, []string{sub.ID})
			if failure := m.Peers.Adopt(ctx, existing.Owner, sub.ID); failure != nil {
				m.Log.Info("owner not told of a job handed in again", "job", sub.ID, "owner", existing.Owner, "cause", failure.Error())
			}
			if existing.Open() {
				m.mu.Lock()
				m.noteOpen(sub.ID, began)
				m.mu.Unlock()
			}
			return true, m.keeps(existing)
		case jobstate.QuotaKey(sub.Route.Name, sub.Organisation):
			m.cacheQuotaUsage(sub.quota(), e)
			return false, nil
		}
	}
	// The key of the sum was deleted, or the store did not return the entries.
	m.mu.Lock()
	delete(m.quotas, sub.quota())
	m.mu.Unlock()
	return false, nil
}

// cacheQuotaUsage decodes and caches a token sum. A sum that can't be
// decoded is set so high that checkQuota recomputes it.
func (m *Manager) cacheQuotaUsage(name quotaName, e store.Entry) quotaUsage {
	var q quotaUsage
	if err := json.Unmarshal(e.Value, &q); err != nil {
		m.Log.Error(err, "sum of tokens can't be read; it is worked out anew", "route", name.route, "organisation", name.organisation)
		q.Sum = 1 << 62
	}
	q.revision = e.ModRevision
	m.mu.Lock()
	m.quotas[name] = q
	m.mu.Unlock()
	return q
}

// checkQuota returns the token sum that an acceptance is conditional on, or
// refuses the job if it would exceed the route's token cap.
func (m *Manager) checkQuota(ctx context.Context, sub Submission, tokens int64) (quotaUsage, *result.Error) {
	route, name := sub.Route, sub.quota()
	if route.TokenCap <= 0 {
		return quotaUsage{}, nil
	}
	m.mu.Lock()
	q, known := m.quotas[name]
	m.mu.Unlock()
	if known && q.Sum+tokens <= route.TokenCap {
		return q, nil
	}
	e, ok, err := m.Store.Get(ctx, jobstate.QuotaKey(route.Name, sub.Organisation))
	if err != nil {
		return q, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
	}
	q = quotaUsage{}
	if ok {
		q = m.cacheQuotaUsage(name, e)
	}
	if q.Sum+tokens <= route.TokenCap {
		return q, nil
	}
	records, err := m.records(ctx)
	if err != nil {
		return q, result.New(result.StoreUnavailable, "%v", err).WithRetry(storeRetryAfter)
	}
	q.Sum = 0
	for _, r := range records {
		if r.Route == route.Name && r.Organisation == sub.Organisation {
			q.Sum += r.OutstandingTokens()
		}
	}
	if q.Sum+tokens > route.TokenCap {
		return q, result.New(result.QueueFull, "%d tokens wait on the route and %d more do not fit its bound of %d", q.Sum, tokens, route.TokenCap).WithRetry(quotaRetryAfter)
	}
	return q, nil
}

// pause waits for d, or until ctx is done or the manager shuts down.
func (m *Manager) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel)
	defer stop()
	timer.Pause(m.Timer, ctx.Done(), d)
}
