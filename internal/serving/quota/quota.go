// Package quota counts the requests of organisations towards their limits, which hold
// over all hosts together.
//
// The home of a limit keeps its token buckets: one host for each availability zone of a
// large fleet, each for an equal part of the limit, and one host in a small fleet. A host
// asks its home for a token before it runs a request; see Holder and Home. Homes of
// different zones pass tokens to each other. Support decides from the reports of other
// hosts whether a host is a home at all.
//
// In each window at most the rate times the window plus the burst plus the slack may run.
// Of the slack, the full buckets of all homes hold sizeShare, the buckets of a new home
// start with startShare, and fallbackShare is for hosts that reach no home.
//
// The types read neither clock nor network and are not safe for concurrent use.
package quota

import "time"

const (
	// sizeShare, startShare and fallbackShare add up to less than one. The rest covers
	// tokens that are granted in one window and used in the next, and homes that move more
	// than once in a window.
	sizeShare     = 0.5
	startShare    = 0.35
	fallbackShare = 0.1
)

// Limit is the limit of an organisation over all hosts.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Tolerance is by how much limits may be exceeded.
type Tolerance struct {
	// Window is the span in which limits hold.
	Window time.Duration
	// A limit may be exceeded in a window by the part Over of it and by Slack requests.
	Over, Slack float64
}

// slack returns by how many requests a limit may be exceeded in a window.
func (t Tolerance) slack(l Limit) float64 {
	return t.Over*(t.Window.Seconds()*l.Rate+l.Burst) + t.Slack
}

// Ask is an ask of a host for tokens.
type Ask struct {
	// Host and Start name the start of the process that asks, which numbers its asks.
	Host   string
	Start  int64
	Number uint64

	Organisation string
	Tokens       int
	// FromHome is set if the asker is the home of another zone.
	FromHome bool
}

// Answer answers an ask.
type Answer struct {
	Number uint64
	// Tokens is the number of tokens given, 0 if the limit is reached.
	Tokens int
	// RetryAfter is the time after which there will be a token again.
	RetryAfter time.Duration
	// NotHome is set if the answering host is no home.
	NotHome bool
}
