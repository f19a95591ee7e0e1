// Package follow keeps a reader in step with all keys below a prefix of the
// platform's store: first the whole list, then each change.
//
// It polls, so it knows how far it has got even while nothing changes, and goes
// on from there after a failure. Two failures differ for the reader. After an
// outage of the store, keys may be missing whose writers live; they come back
// soon. When the history is gone, the whole list is read again, and what it
// lacks is gone.
//
// A poll that waits may hear nothing although something changed, and learns so
// only from its next call. Polls therefore wait for a time that is short enough
// for one of several readers to find out soon, and that reader's word (Nudge)
// makes the others look.
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
	// pollShare is how long the store may hold a poll for each reader that would
	// tell this one of a change; pollLeast and pollMost bound the product, the
	// latter well below the history that the store keeps.
	pollShare = 350 * time.Millisecond
	pollLeast = 1200 * time.Millisecond
	pollMost  = 10 * time.Second
	// pollSpread is the part of the wait that is drawn, so that readers that
	// started together do not poll together.
	pollSpread = 0.4
	// paceShare is how long a follower lets changes gather after one, for each
	// reader, and paceMost bounds it: every change that ends a poll costs each
	// reader a call.
	paceShare = 16 * time.Millisecond
	paceMost  = time.Second
	// nudgePatience is how long after another reader's word the store's own
	// answer is waited for.
	nudgePatience = 300 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// outageLeast is the shortest loss of the store in which keys can have
	// expired; writers renew theirs several times in it.
	outageLeast = time.Second
	// settleTime is how long after an outage missing keys may come back.
	settleTime = 2 * time.Second
)

// Source is what is followed.
type Source interface {
	store.Store
	store.Poller
}

// Reader takes what stands below the prefix.
type Reader interface {
	// Listed takes the whole list. What it lacks may come back within grace, 0
	// for not at all.
	Listed(entries []store.Entry, grace time.Duration)
	// Changed takes one change; a removed key may come back within grace.
	Changed(e store.Event, grace time.Duration)
}

// Follower follows one prefix.
type Follower struct {
	timer  timer.Service
	log    logr.Logger
	source Source
	prefix string
	reader Reader
	// revision is how far the reader has got; current says that a list was taken
	// and the history since then is there, listed that there was one ever.
	revision int64
	current  bool
	listed   bool
	// lostAt is when the store was lost, zero while it answers.
	lostAt time.Time
	// settled is when keys that an outage took have come back.
	settled time.Time
	failed  int
	// readers tells how many readers would nudge this one, itself included.
	readers func() int

	// applied is the revision of the newest change that the reader took.
	applied atomic.Int64
	// seen is up to when the store has told of all changes in an answer that did
	// not wait. It is at least applied; another reader's word may stem from a
	// change elsewhere in the store, and must not be followed up for ever.
	seen atomic.Int64

	mu sync.Mutex
	// wanted is the newest change that another reader told of.
	wanted int64
	// waiting says that a look is due after the patience for a nudge.
	waiting bool
	// interrupt ends the poll that waits, nil if none does.
	interrupt context.CancelFunc
}

// New returns a follower; Run starts it. readers tells how many readers of the
// prefix nudge each other, this one included.
func New(t timer.Service, log logr.Logger, source Source, prefix string, reader Reader, readers func() int) *Follower {
	return &Follower{timer: t, log: log, source: source, prefix: prefix, reader: reader, readers: readers}
}

// Applied returns the revision of the newest change that the reader took.
func (f *Follower) Applied() int64 { return f.applied.Load() }

// Nudge takes another reader's word that there was a change at a revision. If
// the store does not tell of it soon, the follower asks.
func (f *Follower) Nudge(revision int64) {
	if revision <= f.seen.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = max(f.wanted, revision)
	if f.waiting {
		return
	}
	f.waiting = true
	f.timer.After(nudgePatience, func(time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.waiting = false
		if f.wanted > f.seen.Load() && f.interrupt != nil {
			f.log.Info("poll behind another reader", "prefix", f.prefix, "applied", f.applied.Load(), "wanted", f.wanted)
			f.interrupt()
		}
	})
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.regained()
		case errors.Is(err, store.ErrCompacted):
			f.log.Info("history gone, listing again", "prefix", f.prefix, "revision", f.revision)
			f.current = false
		case ctx.Err() == nil:
			f.lost(err)
			f.pause(ctx)
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.current {
		entries, revision, err := store.RangeAll(ctx, f.source, f.prefix, 0)
		if err != nil {
			return err
		}
		f.regained()
		f.reader.Listed(entries, f.grace())
		f.revision, f.current = revision, true
		for _, e := range entries {
			f.apply(e.ModRevision)
		}
		if f.listed {
			// Something may have been removed; the list is at least this new.
			f.apply(revision)
		}
		f.listed = true
		return nil
	}
	events, revision, err := f.poll(ctx)
	if err != nil {
		return err
	}
	f.regained()
	for _, e := range events {
		f.reader.Changed(e, f.grace())
		f.apply(e.ModRevision)
	}
	f.revision = revision
	if len(events) > 0 {
		timer.Pause(f.timer, ctx.Done(), min(paceMost, paceShare*time.Duration(f.readers())))
	}
	return nil
}

func (f *Follower) apply(revision int64) {
	f.applied.Store(max(f.applied.Load(), revision))
	f.see(revision)
}

func (f *Follower) see(revision int64) { f.seen.Store(max(f.seen.Load(), revision)) }

// poll waits for changes until the store answers or a nudge ends the wait. A
// call that was ended is followed by a short one.
func (f *Follower) poll(ctx context.Context) ([]store.Event, int64, error) {
	if f.failed > 0 {
		// A short call shows soon whether the store is back.
		return f.source.Poll(ctx, f.prefix, f.revision, time.Millisecond)
	}
	polling, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	f.mu.Unlock()
	events, revision, err := f.source.Poll(polling, f.prefix, f.revision, f.wait())
	f.mu.Lock()
	f.interrupt = nil
	f.mu.Unlock()
	if err != nil && polling.Err() != nil && ctx.Err() == nil {
		if events, revision, err = f.source.Poll(ctx, f.prefix, f.revision, time.Millisecond); err == nil {
			f.see(revision)
		}
	}
	return events, revision, err
}

func (f *Follower) wait() time.Duration {
	wait := min(pollMost, max(pollLeast, pollShare*time.Duration(f.readers())))
	return wait - time.Duration(pollSpread*rand.Float64()*float64(wait))
}

func (f *Follower) grace() time.Duration { return max(0, f.settled.Sub(f.timer.Now())) }

func (f *Follower) lost(err error) {
	if f.lostAt.IsZero() {
		f.lostAt = f.timer.Now()
		f.log.Info("store lost", "prefix", f.prefix, "revision", f.revision, "cause", err.Error())
	}
	f.failed++
}

func (f *Follower) regained() {
	f.failed = 0
	if f.lostAt.IsZero() {
		return
	}
	now := f.timer.Now()
	f.log.Info("store regained", "prefix", f.prefix, "revision", f.revision, "away_ms", now.Sub(f.lostAt).Milliseconds())
	if now.Sub(f.lostAt) >= outageLeast {
		f.settled = now.Add(settleTime)
	}
	f.lostAt = time.Time{}
}

func (f *Follower) pause(ctx context.Context) {
	d := min(retryMost, retryFirst<<min(f.failed, 6))
	timer.Pause(f.timer, ctx.Done(), d)
}
