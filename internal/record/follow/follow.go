// Package follow keeps a reader in step with all keys below a prefix of the
// platform's store: first the whole list, then each change.
//
// It polls, so it knows how far it has got even while nothing changes, and goes
// on from there after a failure. Two failures differ for the reader. After an
// outage of the store, keys may be missing whose writers live; they come back
// soon. When the history is gone, the whole list is read again, and what it
// lacks is gone.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// pollWait is how long the store may hold a poll; it is well below the
	// history that the store keeps.
	pollWait = 8 * time.Second
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
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
	// Listed takes the whole list. settling says that what is missing may come
	// back soon.
	Listed(entries []store.Entry, settling bool)
	// Changed takes one change.
	Changed(e store.Event, settling bool)
}

// Follower follows one prefix.
type Follower struct {
	timer  timer.Service
	log    logr.Logger
	source Source
	prefix string
	reader Reader
	// revision is how far the reader has got, 0 before the first list.
	revision int64
	// lostAt is when the store was lost, zero while it answers.
	lostAt time.Time
	// settled is when keys that an outage took have come back.
	settled time.Time
	failed  int
}

// New returns a follower; Run starts it.
func New(t timer.Service, log logr.Logger, source Source, prefix string, reader Reader) *Follower {
	return &Follower{timer: t, log: log, source: source, prefix: prefix, reader: reader}
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
			f.revision = 0
		case ctx.Err() == nil:
			f.lost(err)
			f.pause(ctx)
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if f.revision == 0 {
		entries, revision, err := store.RangeAll(ctx, f.source, f.prefix, 0)
		if err != nil {
			return err
		}
		f.regained()
		f.reader.Listed(entries, f.settling())
		f.revision = max(1, revision)
		return nil
	}
	wait := pollWait
	if f.failed > 0 {
		// A short call shows soon whether the store is back.
		wait = time.Millisecond
	}
	events, revision, err := f.source.Poll(ctx, f.prefix, f.revision, wait)
	if err != nil {
		return err
	}
	f.regained()
	for _, e := range events {
		f.reader.Changed(e, f.settling())
	}
	f.revision = revision
	return nil
}

func (f *Follower) settling() bool { return f.timer.Now().Before(f.settled) }

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
	f.lostAt, f.settled = time.Time{}, now.Add(settleTime)
}

func (f *Follower) pause(ctx context.Context) {
	d := min(retryMost, retryFirst<<min(f.failed, 6))
	woken := make(chan struct{})
	sub := f.timer.After(d, func(time.Time) { close(woken) })
	defer sub.Cancel()
	select {
	case <-woken:
	case <-ctx.Done():
	}
}
