// Package plan draws the faults of a soak run from a seed.
//
// A plan is a list of faults with times, so a run can be played again and its
// judge knows when all was calm. Faults come alone, in series on one target, and
// overlapping on several; the last part of a run is calm, so that everything can
// be finished.
package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what a fault does.
type Kind uint8

// The kinds of faults. Those of hosts come first, then those of links and those
// of servers, of the store and of the operator.
const (
	// Stop asks a host to stop and starts it again once it has ended.
	Stop Kind = iota
	// Kill ends a host at once and starts it again.
	Kill
	// Pause freezes a host.
	Pause
	// Reload tells a host that its settings have changed.
	Reload
	// StoreSlow, StoreReset, StoreOneWay and StoreSilent harm a host's link to the
	// store: answers late, connections reset, calls delivered but their answers
	// lost, nothing carried.
	StoreSlow
	StoreReset
	StoreOneWay
	StoreSilent
	// ServerSlow, ServerReset and ServerSilent harm the link to a server.
	ServerSlow
	ServerReset
	ServerSilent
	// ServerBreaks makes a server break its answers off, ServerFails makes it
	// answer with failures.
	ServerBreaks
	ServerFails
	// ServerDrains makes a server leave and come back.
	ServerDrains
	// ServerReplaced ends a server; another one with the same address registers.
	ServerReplaced
	// StoreLosesAnswers makes the store do writes and lose the answers.
	StoreLosesAnswers
	// StoreAway makes the store refuse everything.
	StoreAway
	// Configure writes a new configuration.
	Configure
	// Stall, the last kind, is never drawn: the machine of the run itself stood still, which the
	// platform counts as slowed hosts.
	Stall
)

var names = [...]string{
	"stop", "kill", "pause", "reload", "store slow", "store reset", "store one way", "store silent", "server slow", "server reset",
	"server silent", "server breaks", "server fails", "server drains", "server replaced", "store loses answers", "store away", "configure", "machine stalled",
}

// String returns the kind in words.
func (k Kind) String() string { return names[k] }

// OfHost reports whether the fault's target is a host.
func (k Kind) OfHost() bool { return k <= StoreSilent }

// OfServer reports whether the fault's target is a server.
func (k Kind) OfServer() bool { return k >= ServerSlow && k <= ServerReplaced }

// Planned reports whether a request must not be cut for it.
func (k Kind) Planned() bool { return k == Stop || k == Reload || k == Configure || k == ServerDrains }

// Fault is one fault.
type Fault struct {
	Kind   Kind
	Target int
	// At is counted from the start of the load, For from At.
	At  time.Duration
	For time.Duration
}

// Plan is the faults of one run in the order of their start.
type Plan struct {
	Seed   uint64
	Faults []Fault
	// Calm is when the last fault has ended and everything may recover.
	Calm time.Duration
}

// Sizes are what a plan is drawn for.
type Sizes struct {
	Hosts, Servers int
	// Length is the time in which faults begin.
	Length time.Duration
}

const (
	// The pause to the next fault, and how long a fault lasts.
	leastPause, mostPause = 100 * time.Millisecond, 1200 * time.Millisecond
	leastFor, mostFor     = 200 * time.Millisecond, 2500 * time.Millisecond
	// seriesShare is the share of faults that come again at once on their target.
	seriesShare = 0.25
	// overlapShare is the share of faults that another kind joins on the target.
	overlapShare = 0.3
)

// New draws a plan.
func New(seed uint64, s Sizes) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed}
	for at := between(r, leastPause, mostPause); at < s.Length; at += between(r, leastPause, mostPause) {
		f := draw(r, s, at)
		p.Faults = append(p.Faults, f)
		if r.Float64() < seriesShare {
			again := f
			again.At = f.At + f.For + between(r, 0, leastPause)
			p.Faults = append(p.Faults, again)
		}
		if r.Float64() < overlapShare && f.Kind.OfHost() {
			joined := draw(r, s, f.At+f.For/2)
			if joined.Kind.OfHost() {
				joined.Target = f.Target
			}
			p.Faults = append(p.Faults, joined)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	for _, f := range p.Faults {
		p.Calm = max(p.Calm, f.At+f.For)
	}
	return p
}

func draw(r *rand.Rand, s Sizes, at time.Duration) Fault {
	f := Fault{Kind: Kind(r.IntN(int(Stall))), At: at, For: between(r, leastFor, mostFor)}
	switch {
	case f.Kind.OfHost():
		f.Target = r.IntN(s.Hosts)
	case f.Kind.OfServer():
		f.Target = r.IntN(s.Servers)
	}
	return f
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)+1))
}

// Only reports whether all faults that touch a span of time pass a test.
func (p Plan) Only(from, to time.Duration, pass func(Fault) bool) bool {
	for _, f := range p.Faults {
		if f.At <= to && f.At+f.For >= from && !pass(f) {
			return false
		}
	}
	return true
}

// String lists the faults.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", p.Seed)
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "%7.3f s  %s %d for %.3f s\n", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
	}
	return b.String()
}
