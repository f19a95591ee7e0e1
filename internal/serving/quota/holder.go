package quota

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

const (
	// initialRoundTrip is the assumed time from an ask to its answer, before any was
	// measured. roundTripWeight is the weight of the newest in the average.
	initialRoundTrip = 8 * time.Millisecond
	roundTripWeight  = 0.1
	// An ask is given up after timeoutRoundTrips times the average, between minAskTimeout
	// and maxAskTimeout.
	timeoutRoundTrips = 4
	minAskTimeout     = 15 * time.Millisecond
	maxAskTimeout     = 60 * time.Millisecond
	// maxMisses is how many asks in a row a home may leave unanswered before it is passed
	// over.
	maxMisses = 3
	// maxLocalRefusal bounds the time for which a host refuses requests without asking.
	maxLocalRefusal = 200 * time.Millisecond
	// fallbackIdle is how long the fallback bucket of an organisation is kept unused.
	fallbackIdle = time.Minute
)

// Holder takes tokens for the requests of one host.
type Holder struct {
	tolerance Tolerance
	// random returns a number from 0 up to 1.
	random func() float64

	lastAsk uint64
	asks    map[uint64]ask
	misses  map[string]int
	// roundTrip is the average time to an answer of roundTripHome.
	roundTrip     time.Duration
	roundTripHome string
	refusals      map[string]refusal
	fallbacks     map[string]*limit.Tokens
	swept         time.Time
}

// ask is an ask that waits for its answer.
type ask struct {
	organisation, home string
	at                 time.Time
}

// refusal is what a home said of an organisation at its limit.
type refusal struct {
	// until is when the home is asked again, retryAt when it will have a token again.
	until, retryAt time.Time
}

// NewHolder returns the holder of a host. random returns a number from 0 up to 1.
func NewHolder(t Tolerance, random func() float64) *Holder {
	return &Holder{
		tolerance: t, random: random, asks: make(map[uint64]ask), misses: make(map[string]int), roundTrip: initialRoundTrip,
		refusals: make(map[string]refusal), fallbacks: make(map[string]*limit.Tokens),
	}
}

// Refused reports whether requests of an organisation are refused without asking, and the
// time after which the caller may come back.
func (h *Holder) Refused(now time.Time, organisation string) (retryAfter time.Duration, refused bool) {
	r, known := h.refusals[organisation]
	if !known || !now.Before(r.until) {
		return 0, false
	}
	return h.RetryAfter(r.retryAt.Sub(now)), true
}

// Next returns the number of the next ask.
func (h *Holder) Next() uint64 {
	h.lastAsk++
	return h.lastAsk
}

// Ask records that a home is asked, again if the number was asked before, and returns how
// long the answer is awaited.
func (h *Holder) Ask(now time.Time, number uint64, organisation, home string) (timeout time.Duration) {
	h.asks[number] = ask{organisation: organisation, home: home, at: now}
	if home != h.roundTripHome {
		h.roundTrip, h.roundTripHome = initialRoundTrip, home
	}
	return min(maxAskTimeout, max(minAskTimeout, timeoutRoundTrips*h.roundTrip))
}

// Answered records an answer of a host, and reports whether it decides an ask.
func (h *Holder) Answered(now time.Time, from string, a Answer) bool {
	waiting, known := h.asks[a.Number]
	// The answer to the first ask of another home is good as well.
	if !known || a.NotHome && from != waiting.home {
		return false
	}
	delete(h.asks, a.Number)
	delete(h.misses, from)
	if from == h.roundTripHome && from == waiting.home {
		h.roundTrip += time.Duration(roundTripWeight * float64(now.Sub(waiting.at)-h.roundTrip))
	}
	if !a.NotHome {
		h.learn(now, waiting.organisation, a)
	}
	return true
}

func (h *Holder) learn(now time.Time, organisation string, a Answer) {
	if a.Tokens > 0 {
		delete(h.refusals, organisation)
		return
	}
	h.refusals[organisation] = refusal{until: now.Add(min(a.RetryAfter, maxLocalRefusal)), retryAt: now.Add(a.RetryAfter)}
}

// Miss records that an ask was not answered in time, and reports whether its home left so
// many unanswered that it should be passed over.
func (h *Holder) Miss(number uint64) (home string, inARow int, suspect bool) {
	waiting, known := h.asks[number]
	if !known {
		return "", 0, false
	}
	delete(h.asks, number)
	h.misses[waiting.home]++
	inARow = h.misses[waiting.home]
	if suspect = inARow >= maxMisses; suspect {
		delete(h.misses, waiting.home)
	}
	return waiting.home, inARow, suspect
}

// Drop forgets an ask whose caller is gone.
func (h *Holder) Drop(number uint64) { delete(h.asks, number) }

// Fallback takes a token from the bucket for requests that reach no home; hosts is the
// number of hosts that may have to do the same. The bucket starts empty, and at each host
// with another part of a token missing, so that the hosts don't run a request at the same
// time.
func (h *Holder) Fallback(now time.Time, organisation string, l Limit, hosts int) bool {
	share := fallbackShare * h.tolerance.slack(l) / float64(hosts)
	b := h.fallbacks[organisation]
	if b == nil {
		b = &limit.Tokens{Level: -h.random(), Updated: now}
		h.fallbacks[organisation] = b
	}
	b.Refill(now, share/h.tolerance.Window.Seconds(), max(1, share))
	if b.Level < 1 {
		return false
	}
	b.Level--
	return true
}

// RetryAfter returns the time after which a refused caller is told to come back: that of
// the next token or up to twice as much, so that refused callers don't come back together.
func (h *Holder) RetryAfter(untilToken time.Duration) time.Duration {
	wait := max(minRetryAfter, untilToken)
	return min(maxRetryAfter, time.Duration((1+h.random())*float64(wait)))
}

// Sweep removes what is out of date.
func (h *Holder) Sweep(now time.Time) {
	if now.Sub(h.swept) < sweepInterval {
		return
	}
	h.swept = now
	for name, r := range h.refusals {
		if !now.Before(r.until) {
			delete(h.refusals, name)
		}
	}
	for name, b := range h.fallbacks {
		if now.Sub(b.Updated) >= fallbackIdle {
			delete(h.fallbacks, name)
		}
	}
	if len(h.misses) > maxGrants {
		clear(h.misses)
	}
}
