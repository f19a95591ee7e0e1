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
//
// In a large fleet only some followers poll: the others are inactive and get the
// changes from an active one, through Apply or, if they missed some, as a whole
// list through Replace. Changes and List return what an active one passes on.
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
	// poll that returned changes, between minBatchDelay and maxBatchDelay. It lets
	// further changes accumulate, since every change that ends a poll costs each
	// follower a call.
	batchDelayPerFollower = 16 * time.Millisecond
	minBatchDelay         = 200 * time.Millisecond
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
	// activityInterval is how often an inactive follower checks whether it has
	// become active.
	activityInterval = 500 * time.Millisecond
	// logPeriod is how long a change is kept to be passed on, maxLogged how many
	// changes are kept at most, and maxLoggedBytes how many bytes their values may
	// have together. These are about half of what a message can carry.
	logPeriod      = 2 * time.Second
	maxLogged      = 100
	maxLoggedBytes = 32 << 10
)

// MaxPassedBytes is the size of the largest value that is passed on to inactive
// followers. A larger one would fill a message, or a list, for all other entries.
const MaxPassedBytes = 16 << 10

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
	timer    timer.Service
	log      logr.Logger
	source   Source
	prefix   string
	handler  Handler
	failures int // failed calls in a row
	// active reports whether this follower polls the store.
	active func() bool
	// followerCount returns the number of active followers that report revisions
	// to each other, this one included.
	followerCount func() int

	// applyMu is held while the Handler is called, so that it gets the changes of
	// Run, Apply and Replace in order. It guards the fields below.
	applyMu sync.Mutex
	// revision is the one up to which all changes were applied, and from which
	// to poll. synced reports that the history since then is available in the
	// store; everListed that the list was read at least once.
	revision   int64
	synced     bool
	everListed bool
	// unavailableSince is when calls began to fail; zero while they succeed.
	unavailableSince time.Time
	// graceUntil is when the grace after the last outage ends.
	graceUntil time.Time
	// entries are the current entries by key, as they are passed on.
	entries map[string]store.Entry
	// logged holds the latest changes, all those after the revision logFrom.
	logged  []loggedEvent
	logFrom int64

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

// loggedEvent is a change that was applied at a time.
type loggedEvent struct {
	store.Event
	at time.Time
}

// Always is the activity of a follower that polls the store itself at all times.
func Always() bool { return true }

// New returns a follower; Run starts it. active reports whether it is to poll the
// store. followerCount returns the number of active followers of the prefix that
// report revisions to each other, this one included.
func New(t timer.Service, log logr.Logger, source Source, prefix string, handler Handler, active func() bool, followerCount func() int) *Follower {
	return &Follower{
		timer: t, log: log, source: source, prefix: prefix, handler: handler, active: active, followerCount: followerCount,
		entries: make(map[string]store.Entry),
	}
}

// Applied returns the revision of the newest change that the Handler received.
func (f *Follower) Applied() int64 { return f.applied.Load() }

// Behind reports whether another follower has read a change that this one has not.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reportedRevision > max(f.applied.Load(), f.seen.Load())
}

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
		if f.hasList() && !f.active() {
			timer.Pause(f.timer, ctx.Done(), activityInterval)
			continue
		}
		err := f.step(ctx)
		switch {
		case err == nil:
			f.recordSuccess()
		case errors.Is(err, store.ErrCompacted):
			f.log.Info("history gone, listing again", "prefix", f.prefix, "revision", f.position())
			f.applyMu.Lock()
			f.synced = false
			f.applyMu.Unlock()
		case ctx.Err() == nil:
			f.recordFailure(err)
			f.backOff(ctx)
		}
	}
}

func (f *Follower) hasList() bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return f.everListed
}

var (
	errNoList = errors.New("the list was not read yet")
	errAway   = errors.New("the store is away")
)

// Refresh reads the changes that the store has at the time of the call, also for an
// inactive follower. While it returns an error, changes may be missing, whatever the
// waiting poll returned last.
func (f *Follower) Refresh(ctx context.Context) error {
	f.applyMu.Lock()
	synced, away, revision := f.synced, !f.unavailableSince.IsZero(), f.revision
	f.applyMu.Unlock()
	switch {
	case away:
		// Run finds the end of the outage, and the grace that follows it.
		return errAway
	case !synced:
		return errNoList
	}
	events, next, err := f.source.Poll(ctx, f.prefix, revision, time.Millisecond)
	if err != nil {
		return err
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.apply(events, next, f.grace())
	f.markSeen(next)
	return nil
}

// position returns the revision up to which all changes were applied.
func (f *Follower) position() int64 {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return f.revision
}

// step reads the list if it is not synced, else polls for changes once.
func (f *Follower) step(ctx context.Context) error {
	f.applyMu.Lock()
	synced, revision := f.synced, f.revision
	f.applyMu.Unlock()
	if !synced {
		entries, revision, err := store.RangeAll(ctx, f.source, f.prefix, 0)
		if err != nil {
			return err
		}
		f.recordSuccess()
		f.applyMu.Lock()
		defer f.applyMu.Unlock()
		f.synced = true
		if !f.everListed || revision >= f.revision {
			f.replace(entries, revision, f.grace())
		}
		return nil
	}
	events, next, err := f.poll(ctx, revision)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.applyMu.Lock()
	f.apply(events, next, f.grace())
	f.applyMu.Unlock()
	if len(events) > 0 {
		timer.Pause(f.timer, ctx.Done(), min(maxBatchDelay, max(minBatchDelay, batchDelayPerFollower*time.Duration(f.followerCount()))))
	}
	return nil
}

// replace passes a whole list to the Handler. The caller holds f.applyMu.
func (f *Follower) replace(entries []store.Entry, revision int64, grace time.Duration) {
	f.handler.Listed(entries, grace)
	clear(f.entries)
	for _, e := range entries {
		f.entries[e.Key] = passedOn(e)
		f.markApplied(e.ModRevision)
	}
	if f.everListed {
		// Keys may have been deleted since the last list, which no entry's
		// ModRevision shows; the list is as new as revision.
		f.markApplied(revision)
	}
	f.everListed, f.revision = true, revision
	f.logged, f.logFrom = nil, revision
}

// apply passes the changes after f.revision, up to the revision next, to the
// Handler. The caller holds f.applyMu.
func (f *Follower) apply(events []store.Event, next int64, grace time.Duration) {
	now := f.timer.Now()
	for _, e := range events {
		if e.ModRevision <= f.revision {
			continue
		}
		f.handler.Changed(e, grace)
		if e.Deleted {
			delete(f.entries, e.Key)
		} else {
			f.entries[e.Key] = passedOn(e.Entry)
		}
		f.logged = append(f.logged, loggedEvent{store.Event{Entry: passedOn(e.Entry), Deleted: e.Deleted}, now})
		f.markApplied(e.ModRevision)
	}
	f.revision = max(f.revision, next)
	f.trimLog(now)
}

// passedOn returns the entry as it is passed on: without its value if that is
// larger than MaxPassedBytes.
func passedOn(e store.Entry) store.Entry {
	if len(e.Value) > MaxPassedBytes {
		e.Value = nil
	}
	return e
}

// trimLog drops the changes that are older than logPeriod or beyond maxLogged or
// maxLoggedBytes.
func (f *Follower) trimLog(now time.Time) {
	n, size := len(f.logged), 0
	for n > 0 && len(f.logged)-n < maxLogged && size+len(f.logged[n-1].Value) <= maxLoggedBytes {
		n--
		size += len(f.logged[n].Value)
	}
	for n < len(f.logged) && now.Sub(f.logged[n].at) > logPeriod {
		n++
	}
	if n > 0 {
		f.logFrom = f.logged[n-1].ModRevision
		f.logged = f.logged[n:]
	}
}

// Changes are changes of a prefix to be passed on to an inactive follower.
type Changes struct {
	// Events are all changes after the revision From up to the revision To.
	From, To int64
	Events   []store.Event
	// Grace is that of the deletions; see Handler.
	Grace time.Duration
	// Away is for how long the store has been unavailable, 0 if it is available.
	Away time.Duration
}

// Changes returns the latest changes, those after the revision after as far as
// they are still known. From is that of the last change before them, and no later
// one: who has read up to there has missed nothing, however far the store's
// revision has grown by changes of other keys.
func (f *Follower) Changes(after int64) Changes {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	now := f.timer.Now()
	f.trimLog(now)
	c := Changes{From: f.logFrom, To: f.revision, Grace: f.grace()}
	for _, e := range f.logged {
		if e.ModRevision <= after {
			c.From = e.ModRevision
		} else {
			c.Events = append(c.Events, e.Event)
		}
	}
	if !f.unavailableSince.IsZero() {
		c.Away = now.Sub(f.unavailableSince)
	}
	return c
}

// Apply applies changes that another follower passed on. It returns false if
// changes before them are missing: then the list has to be fetched.
func (f *Follower) Apply(c Changes) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.everListed && c.To <= f.revision {
		return true
	}
	if !f.everListed || c.From > f.revision {
		return false
	}
	f.apply(c.Events, c.To, max(c.Grace, f.grace()))
	f.markSeen(c.To)
	return true
}

// List is the whole content of a prefix as of a revision.
type List struct {
	Entries  []store.Entry
	Revision int64
	// Grace is that of the keys that are missing; see Handler.
	Grace time.Duration
}

// List returns the current entries. It returns false if none were read yet.
func (f *Follower) List() (List, bool) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	l := List{Revision: f.revision, Grace: f.grace()}
	for _, e := range f.entries {
		l.Entries = append(l.Entries, e)
	}
	return l, f.everListed
}

// Replace applies a list that another follower passed on, unless it is older than
// what is known.
func (f *Follower) Replace(l List) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.everListed && l.Revision <= f.revision {
		return
	}
	f.replace(l.Entries, l.Revision, max(l.Grace, f.grace()))
	f.markSeen(l.Revision)
	f.synced = true
}

func (f *Follower) markApplied(revision int64) {
	f.applied.Store(max(f.applied.Load(), revision))
	f.markSeen(revision)
}

func (f *Follower) markSeen(revision int64) { f.seen.Store(max(f.seen.Load(), revision)) }

// poll waits for changes until the store responds or ReportRevision cancels the
// call. A cancelled call is followed by one with almost no wait.
func (f *Follower) poll(ctx context.Context, revision int64) ([]store.Event, int64, error) {
	if f.failures > 0 {
		// A short call soon shows whether the store is available again.
		return f.source.Poll(ctx, f.prefix, revision, time.Millisecond)
	}
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancelPoll = cancel
	f.mu.Unlock()
	events, next, err := f.source.Poll(pollCtx, f.prefix, revision, f.pollWait())
	f.mu.Lock()
	f.cancelPoll = nil
	f.mu.Unlock()
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		if events, next, err = f.source.Poll(ctx, f.prefix, revision, time.Millisecond); err == nil {
			f.markSeen(next)
		}
	}
	return events, next, err
}

// pollWait returns the wait of the next poll, with jitter.
func (f *Follower) pollWait() time.Duration {
	pollWait := min(maxPollWait, max(minPollWait, pollWaitPerFollower*time.Duration(f.followerCount())))
	return pollWait - time.Duration(pollJitter*rand.Float64()*float64(pollWait))
}

// grace returns the rest of the grace after the last outage. The caller holds
// f.applyMu.
func (f *Follower) grace() time.Duration { return max(0, f.graceUntil.Sub(f.timer.Now())) }

func (f *Follower) recordFailure(err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.unavailableSince.IsZero() {
		f.unavailableSince = f.timer.Now()
		f.log.Info("store lost", "prefix", f.prefix, "revision", f.revision, "cause", err.Error())
	}
	f.failures++
}

func (f *Follower) recordSuccess() {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
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
