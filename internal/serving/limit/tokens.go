package limit

import (
	"math"
	"time"
)

// Tokens is a token bucket, the one of RFC 2697 with a single rate. Its user knows the
// rate and the size, which may change.
type Tokens struct {
	// Level is the number of tokens at the time Updated. It may be below zero.
	Level   float64
	Updated time.Time
}

// Refill adds the tokens of a rate a second since the last update, up to size.
func (t *Tokens) Refill(now time.Time, rate, size float64) {
	t.Level, t.Updated = t.At(now, rate, size), now
}

// At returns the level that Refill would set.
func (t *Tokens) At(now time.Time, rate, size float64) float64 {
	return math.Min(size, t.Level+rate*max(0, now.Sub(t.Updated).Seconds()))
}

// Wait returns the time from the last update until there is a whole token.
func (t *Tokens) Wait(rate float64) time.Duration {
	return time.Duration((1 - t.Level) / rate * float64(time.Second))
}
