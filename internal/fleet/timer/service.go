// Package timer provides the time and timers. Components use a Service instead
// of package time, so that they run with the wall clock in production and with a
// manual clock in tests.
//
// A callback runs on a goroutine of the service (Real) or on the goroutine that
// calls Advance (Manual). It must not block. Callbacks of other subscriptions may
// run at the same time.
package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Service tells the time and calls functions at later times.
type Service interface {
	// Now returns the current time. Differences of two times leave out how long the
	// machine was suspended in between.
	Now() time.Time
	// Uptime returns the time since the machine was started, with the time for which
	// it was suspended. It is above zero.
	Uptime() time.Duration
	// Every calls fn once per period until the subscription is cancelled.
	Every(period time.Duration, fn func(now time.Time)) *Subscription
	// After calls fn once after d, unless the subscription is cancelled first.
	After(d time.Duration, fn func(now time.Time)) *Subscription
}

// Pause waits for d or until done is closed, and reports whether it waited for
// all of d.
func Pause(t Service, done <-chan struct{}, d time.Duration) bool {
	elapsed := make(chan struct{})
	sub := t.After(d, func(time.Time) { close(elapsed) })
	defer sub.Cancel()
	select {
	case <-elapsed:
		return true
	case <-done:
		return false
	}
}

// Ticks returns a channel that receives a tick once per period. It holds one
// tick at most; further ones are dropped until it is received.
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

// Cancel ends the subscription. It does not wait for a callback that is running.
func (s *Subscription) Cancel() {
	if s == nil {
		return
	}
	s.once.Do(s.cancel)
}

// Real is the Service with the wall clock. The zero value is ready to use.
type Real struct{}

var _ Service = Real{}

// Now returns the wall clock's time with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// Uptime reads CLOCK_BOOTTIME.
func (Real) Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Every calls fn once per period. Ticks that fn is too slow for are dropped.
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
