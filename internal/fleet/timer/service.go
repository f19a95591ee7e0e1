// Package timer is the one source of time: parts subscribe to it instead of
// reading the clock, so that the same part runs under the wall clock in
// production and under a manual clock in tests.
//
// A subscriber's callback runs on a goroutine of the service (Real) or of the
// caller of Advance (Manual); it must not block, and it must not assume that
// two callbacks of different subscriptions exclude each other.
package timer

import (
	"sync"
	"time"
)

// Service tells the time and calls subscribers when theirs has come.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fn once a period until the subscription is cancelled.
	Every(period time.Duration, fn func(now time.Time)) *Subscription
	// After calls fn once after d, unless the subscription is cancelled first.
	After(d time.Duration, fn func(now time.Time)) *Subscription
}

// Pause returns after d by t, or earlier when done is closed, and reports whether
// it waited for all of d.
func Pause(t Service, done <-chan struct{}, d time.Duration) bool {
	woken := make(chan struct{})
	sub := t.After(d, func(time.Time) { close(woken) })
	defer sub.Cancel()
	select {
	case <-woken:
		return true
	case <-done:
		return false
	}
}

// Ticks returns a channel that holds a tick once a period of t; ticks that nobody
// takes are one.
func Ticks(t Service, period time.Duration) (<-chan struct{}, *Subscription) {
	ticks := make(chan struct{}, 1)
	return ticks, t.Every(period, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
}

// Subscription is a pending or repeating callback.
type Subscription struct {
	once   sync.Once
	cancel func()
}

// Cancel ends the subscription; a callback that runs already goes on.
func (s *Subscription) Cancel() {
	if s == nil {
		return
	}
	s.once.Do(s.cancel)
}

// Real is the Service that follows the wall clock. The zero value is ready.
type Real struct{}

var _ Service = Real{}

// Now returns the wall clock's time with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// Every calls fn once a period; a late tick is dropped, never queued.
func (Real) Every(period time.Duration, fn func(now time.Time)) *Subscription {
	ticker := time.NewTicker(period)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				fn(now)
			}
		}
	}()
	return &Subscription{cancel: func() {
		ticker.Stop()
		close(done)
	}}
}

// After calls fn once after d.
func (Real) After(d time.Duration, fn func(now time.Time)) *Subscription {
	t := time.AfterFunc(d, func() { fn(time.Now()) })
	return &Subscription{cancel: func() { t.Stop() }}
}
