// Package follow reports the contents of all keys below a prefix of the
// platform's store to a Handler: first the whole list, then each change.
//
// It uses long polling, so it has a current revision even while nothing changes
// and resumes from that revision after a failure. Two kinds of failure differ
// for the Handler. After an outage of the store, keys may be missing although
// their writers are alive; the writers soon create them again. When the store
// has compacted the history, the whole list is read again, and keys missing from
// it have been deleted.
//
// A waiting poll may fail to return although a key changed, and the change is
// then found only by the next poll. Polls therefore wait only so long that one
// of several followers of the prefix soon finds the change. The others are then
// told its revision through ReportRevision and poll again.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// pollWaitPerFollower times the number of followers that report revisions to
	// each other is the longest wait of a poll. minPollWait and maxPollWait bound
	// the product; maxPollWait is well below the time for which the store keeps
	// its history.
	pollWaitPerFollower = 350 * time.Millisecond
	minPollWait         = 1200 * time.Millisecond
	maxPollWait         = 10 * time.Second
	// pollJitter is the fraction of the wait that is random, so that followers
	// that started together do not poll together.
	pollJitter = 0.4
	// batchDelayPerFollower times the number of followers is the pause after a
	// poll that returned changes, at most maxBatchDelay. It lets further changes
	// accumulate, since every change that ends a poll costs each follower a
	// call.
	batchDelayPerFollower = 16 * time.Millisecond
	maxBatchDelay         = time.Second
	// reportDelay is the time after a reported revision in which the waiting poll
	// may still return the change by itself.
	reportDelay = 300 * time.Millisecond
	// baseRetryDelay is doubled for each failed call in a row, up to
	// maxRetryDelay, to give the pause after a failed call.
	baseRetryDelay = 100 * time.Millisecond
	maxRetryDelay  = 800 * time.Millisecond
	// minOutage is the shortest outage of the store in which keys can have
	// expired; writers renew their keys several times in that time.
	minOutage = time.Second
	// recoveryTime is the time after an outage in which writers may create
	// missing keys again.
	recoveryTime = 2 * time.Second
)

// Source is the store that a Follower reads.
type Source interface {
	store.Store
	store.Poller
}

// Handler receives the contents of the prefix. A grace is the time in which a
// missing key may still be created again by its writer; 0 means that the key
// has been deleted.
type Handler interface {
	// Listed receives the whole list; grace applies to keys missing from it.
	Listed(entries []store.Entry, grace time.Duration)
	// Changed receives one change; grace applies if it deletes a key.
	Changed(e store.Event, grace time.Duration)
}

// Follower follows one prefix.
type Follower struct {
	timer   timer.Service
	log     logr.Logger
	source  Source
	prefix  string
	handler Handler
	// revision is the one to poll from. synced reports that the list was read
	// and that the history since then is available; everListed that the list
	// was read at least once.
	revision   int64
	synced     bool
	everListed bool
	// unavailableSince is when calls began to fail; zero while they succeed.
	unavailableSince time.Time
	// graceUntil is when the grace after the last outage ends.
	graceUntil time.Time
	failures   int // failed calls in a row
	// followerCount returns the number of followers that report revisions to each
	// other, this one included.
	followerCount func() int

	// applied is the revision of the newest change that the Handler received.
	applied atomic.Int64
	// seen is the revision up to which a call that did not wait has returned all
	// changes; it is at least applied. A reported revision may be that of a
	// change outside the prefix, which applied does not reach. Comparing it with
	// applied would cause a poll each time that the revision is reported again.
	seen atomic.Int64

	mu sync.Mutex
	// reportedRevision is the highest revision passed to ReportRevision.
	reportedRevision int64
	// reportTimerSet reports that the timer of reportDelay is running.
	reportTimerSet bool
	// cancelPoll cancels the waiting poll; nil if there is none.
	cancelPoll context.CancelFunc
}

// New returns a follower; Run starts it. followerCount returns the number of
// followers of the prefix that report revisions to each other, this one
// included.
func New(t timer.Service, log logr.Logger, source Source, prefix string, handler Handler, followerCount func() int) *Follower {
	return &Follower{timer: t, log: log, source: source, prefix: prefix, handler: handler, followerCount: followerCount}
}

// Applied returns the revision of the newest change that the Handler received.
func (f *Follower) Applied() int64 { return f.applied.Load() }

// ReportRevision reports that another follower has read a change at a revision.
// If the waiting poll does not return the change within reportDelay, it is
// cancelled and repeated with almost no wait.
func (f *Follower) ReportRevision(revision int64) {
	if revision <= f.seen.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportedRevision = max(f.reportedRevision, revision)
	if f.reportTimerSet {
		return
	}
	f.reportTimerSet = true
	f.timer.After(reportDelay, func(time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reportTimerSet = false
		if f.reportedRevision > f.seen.Load() && f.cancelPoll != nil {
			f.log.Info("poll behind another reader", "prefix", f.prefix, "applied", f.applied.Load(), "wanted", f.reportedRevision)
			f.cancelPoll()
		}
	})
}

// Run reads the prefix and calls the Handler until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.recordSuccess()
		case errors.Is(err, store.ErrCompacted):
			f.log.Info("history gone, listing again", "prefix", f.prefix, "revision", f.revision)
			f.synced = false
		case ctx.Err() == nil:
			f.recordFailure(err)
			f.backOff(ctx)
		}
	}
}

// step reads the list if it is not synced, else polls for changes once.
func (f *Follower) step(ctx context.Context) error {
	if !f.synced {
		entries, revision, err := store.RangeAll(ctx, f.source, f.prefix, 0)
		if err != nil {
			return err
		}
		f.recordSuccess()
		f.handler.Listed(entries, f.grace())
		f.revision, f.synced = revision, true
		for _, e := range entries {
			f.markApplied(e.ModRevision)
		}
		if f.everListed {
			// Keys may have been deleted since the last list, which no entry's
			// ModRevision shows; the list is as new as revision.
			f.markApplied(revision)
		}
		f.everListed = true
		return nil
	}
	events, revision, err := f.poll(ctx)
	if err != nil {
		return err
	}
	f.recordSuccess()
	for _, e := range events {
		f.handler.Changed(e, f.grace())
		f.markApplied(e.ModRevision)
	}
	f.revision = revision
	if len(events) > 0 {
		timer.Pause(f.timer, ctx.Done(), min(maxBatchDelay, batchDelayPerFollower*time.Duration(f.followerCount())))
	}
	return nil
}

func (f *Follower) markApplied(revision int64) {
	f.applied.Store(max(f.applied.Load(), revision))
	f.markSeen(revision)
}

func (f *Follower) markSeen(revision int64) { f.seen.Store(max(f.seen.Load(), revision)) }

// poll waits for changes until the store responds or ReportRevision cancels the
// call. A cancelled call is followed by one with almost no wait.
func (f *Follower) poll(ctx context.Context) ([]store.Event, int64, error) {
	if f.failures > 0 {
		// A short call soon shows whether the store is available again.
		return f.source.Poll(ctx, f.prefix, f.revision, time.Millisecond)
	}
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancelPoll = cancel
	f.mu.Unlock()
	events, revision, err := f.source.Poll(pollCtx, f.prefix, f.revision, f.pollWait())
	f.mu.Lock()
	f.cancelPoll = nil
	f.mu.Unlock()
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		if events, revision, err = f.source.Poll(ctx, f.prefix, f.revision, time.Millisecond); err == nil {
			f.markSeen(revision)
		}
	}
	return events, revision, err
}

// pollWait returns the wait of the next poll, with jitter.
func (f *Follower) pollWait() time.Duration {
	pollWait := min(maxPollWait, max(minPollWait, pollWaitPerFollower*time.Duration(f.followerCount())))
	return pollWait - time.Duration(pollJitter*rand.Float64()*float64(pollWait))
}

// grace returns the rest of the grace after the last outage.
func (f *Follower) grace() time.Duration { return max(0, f.graceUntil.Sub(f.timer.Now())) }

func (f *Follower) recordFailure(err error) {
	if f.unavailableSince.IsZero() {
		f.unavailableSince = f.timer.Now()
		f.log.Info("store lost", "prefix", f.prefix, "revision", f.revision, "cause", err.Error())
	}
	f.failures++
}

func (f *Follower) recordSuccess() {
	f.failures = 0
	if f.unavailableSince.IsZero() {
		return
	}
	now := f.timer.Now()
	f.log.Info("store regained", "prefix", f.prefix, "revision", f.revision, "away_ms", now.Sub(f.unavailableSince).Milliseconds())
	if now.Sub(f.unavailableSince) >= minOutage {
		f.graceUntil = now.Add(recoveryTime)
	}
	f.unavailableSince = time.Time{}
}

func (f *Follower) backOff(ctx context.Context) {
	d := min(maxRetryDelay, baseRetryDelay<<min(f.failures, 6))
	timer.Pause(f.timer, ctx.Done(), d)
}
