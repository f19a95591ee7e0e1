// Package plan generates the schedule of faults of a soak run from a seed.
//
// The same seed and sizes always give the same plan, so that a failing run can be
// repeated. A plan lists the faults with their times, so that the checker can
// tell whether a fault was active in a period.
//
// A fault occurs alone, is repeated on the same target, or overlaps with another
// fault. Faults start only in the first part of a run (see Sizes.Length), so
// that the fleet can then recover and finish all accepted work.
package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the type of a fault.
type Kind uint8

// The kinds of faults. Their order matters: first come those that target a host,
// then those that target a server, then those without a target.
const (
	// Stop shuts a host down gracefully and starts it again once it has exited.
	Stop Kind = iota
	// Kill kills a host and starts it again.
	Kill
	// Pause suspends the process of a host.
	Pause
	// Reload makes a host reload its settings.
	Reload
	// StoreSlow delays all traffic between a host and the store.
	StoreSlow
	// StoreReset resets a host's connections to the store.
	StoreReset
	// StoreDropsReplies delivers a host's calls to the store but drops the replies.
	StoreDropsReplies
	// StoreSilent drops all traffic between a host and the store.
	StoreSilent
	// ServerSlow delays all traffic to and from a server.
	ServerSlow
	// ServerReset resets the connections to a server.
	ServerReset
	// ServerSilent drops all traffic to and from a server.
	ServerSilent
	// ServerAborts makes a server cut its responses short.
	ServerAborts
	// ServerFails makes a server respond with an error status.
	ServerFails
	// ServerDrains makes a server drain and then become ready again.
	ServerDrains
	// ServerReplaced ends a server; a new one registers at the same address.
	ServerReplaced
	// StoreLosesReplies makes the store apply writes but lose their replies.
	StoreLosesReplies
	// StoreUnavailable makes the store refuse every call.
	StoreUnavailable
	// Configure writes a new configuration.
	Configure
	// Stall records that the machine running the test stalled, which the platform's
	// guarantees treat like slow hosts. New schedules the kinds before it only.
	Stall
)

// kindNames holds the names of the kinds in reports. Some differ from the
// constants' names.
var kindNames = [...]string{
	"stop", "kill", "pause", "reload", "store slow", "store reset", "store one way", "store silent", "server slow", "server reset",
	"server silent", "server breaks", "server fails", "server drains", "server replaced", "store loses answers", "store away", "configure", "machine stalled",
	"server upgraded", "server removed", "server restarts", "server held", "store refuses", "server crashed", "store holds replies", "server holds replies",
}

// String returns the name of the kind as it appears in reports.
func (k Kind) String() string { return kindNames[k] }

// TargetsHost reports whether faults of this kind target a host.
func (k Kind) TargetsHost() bool {
	return k <= StoreSilent || k == StoreRefuses || k == StoreHoldsReplies
}

// TargetsServer reports whether faults of this kind target a server.
func (k Kind) TargetsServer() bool {
	return k >= ServerSlow && k <= ServerReplaced || k >= ServerUpgraded && k <= ServerHeld || k == ServerCrashes || k == ServerHoldsReplies
}

// Graceful reports whether this kind is an orderly operation, which must not make
// any request fail.
func (k Kind) Graceful() bool {
	return k == Stop || k == Reload || k == Configure || k == ServerDrains || k == ServerUpgraded
}

// Fault is one scheduled fault.
type Fault struct {
	Kind Kind
	// Target is the index of the host or server.
	Target int
	// Start is when the fault starts, measured from the start of the load.
	Start time.Duration
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Change is what a new configuration changes besides adding a route, if the Kind is
	// Configure.
	Change Change
	// Aim is what a host is doing when a Pause begins.
	Aim Aim
}

// Change is a change of the configuration.
type Change uint8

// The changes of the configuration.
const (
	ChangeNone Change = iota
	ChangeWeight
	ChangeTimeout
	ChangeAttempts
	ChangePriority
	ChangeCap
	ChangeIdle
	// ChangeCount is the number of changes.
	ChangeCount
)

// String names the change.
func (c Change) String() string {
	return [...]string{"route", "weight", "timeout", "attempts", "priority", "cap", "idle"}[c]
}

// SparesHost reports whether a host stays in touch during the fault: it affects
// another host, or a server.
func (f Fault) SparesHost(host int) bool {
	return f.Kind.TargetsServer() || f.Kind.TargetsHost() && f.Target != host
}

// DisturbsStore reports whether the store is not stable during the fault.
func (f Fault) DisturbsStore() bool {
	return f.Kind == StoreLosesReplies || f.Kind == StoreUnavailable || f.Kind == Stall
}

// Plan holds the faults of one run in the order of their start.
type Plan struct {
	Seed   uint64
	Faults []Fault
	// FaultsEnd is when the last fault ends and recovery can begin.
	FaultsEnd time.Duration
	// Final is when all hosts end at one moment, 0 for never.
	Final time.Duration
	// Cells name the combinations of faults that the plan drew, if it draws any.
	Cells []string
}

// Sizes describes the run for which a plan is generated.
type Sizes struct {
	Hosts, Servers int
	// Length is the period in which faults start. A repeat or an overlapping fault
	// may start a little later.
	Length time.Duration
}

const (
	// minGap and maxGap bound the time between the starts of faults, minDuration
	// and maxDuration the duration of a fault.
	minGap, maxGap           = 100 * time.Millisecond, 1200 * time.Millisecond
	minDuration, maxDuration = 200 * time.Millisecond, 2500 * time.Millisecond
	// repeatProbability is the probability that a fault is repeated on its target
	// shortly after it has ended.
	repeatProbability = 0.25
	// overlapProbability is the probability that a second fault starts halfway
	// through a fault that targets a host, on the same host if it targets one too.
	overlapProbability = 0.3
)

// New returns the plan for a seed.
func New(seed uint64, s Sizes) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed}
	for at := randomDuration(r, minGap, maxGap); at < s.Length; at += randomDuration(r, minGap, maxGap) {
		f := randomFault(r, s, at)
		p.Faults = append(p.Faults, f)
		if r.Float64() < repeatProbability {
			repeat := f
			repeat.Start = f.Start + f.Duration + randomDuration(r, 0, minGap)
			p.Faults = append(p.Faults, repeat)
		}
		if r.Float64() < overlapProbability && f.Kind.TargetsHost() {
			overlapping := randomFault(r, s, f.Start+f.Duration/2)
			if overlapping.Kind.TargetsHost() {
				overlapping.Target = f.Target
			}
			p.Faults = append(p.Faults, overlapping)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	for _, f := range p.Faults {
		p.FaultsEnd = max(p.FaultsEnd, f.Start+f.Duration)
	}
	return p
}

// randomFault returns a fault of random kind, target and duration.
func randomFault(r *rand.Rand, s Sizes, at time.Duration) Fault {
	f := Fault{Kind: Kind(r.IntN(int(Stall))), Start: at, Duration: randomDuration(r, minDuration, maxDuration)}
	switch {
	case f.Kind.TargetsHost():
		f.Target = r.IntN(s.Hosts)
	case f.Kind.TargetsServer():
		f.Target = r.IntN(s.Servers)
	}
	return f
}

// randomDuration returns a duration between shortest and longest, inclusive.
func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)+1))
}

// AllDuring reports whether allowed returns true for every fault that overlaps the
// given period, both ends included.
func (p Plan) AllDuring(from, to time.Duration, allowed func(Fault) bool) bool {
	for _, f := range p.Faults {
		if f.Start <= to && f.Start+f.Duration >= from && !allowed(f) {
			return false
		}
	}
	return true
}

// String returns the seed and the faults, one per line.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", p.Seed)
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "%7.3f s  %s %d for %.3f s", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Seconds())
		if f.Change != ChangeNone {
			fmt.Fprintf(&b, ", %s", f.Change)
		}
		if f.Aim != AimNone {
			fmt.Fprintf(&b, ", at a %s", f.Aim)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
