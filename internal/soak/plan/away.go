package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// A host is away for longer than a take-over of its jobs takes: the lease of a small
	// fleet is 2.5 s.
	minAway, maxAway = 4 * time.Second, 9 * time.Second
	// Absences begin between minAwayGap and maxAwayGap apart in a fleet of awayFleet hosts
	// or fewer, more often in a larger one, but at most maxOften times as often.
	minAwayGap, maxAwayGap = 2500 * time.Millisecond, 7 * time.Second
	awayFleet, maxOften    = 3, 4
	// maxBehind is how long a host that goes on still has no store, or is back before it
	// stands still again.
	maxBehind = 3 * time.Second
	// A configuration beside the return of a host comes up to maxBeside before or after it.
	maxBeside = 700 * time.Millisecond
	// outageProbability is the probability that an outage of the store for all hosts, or
	// a fault of a server, comes beside an absence.
	outageProbability = 0.2
	// A host that stands still for minLate to maxLate is back before its calls to other
	// hosts time out: a reader's wait, of up to 1 s, and 1.5 s more. Replies are held back
	// for minHeld to maxHeld.
	minLate, maxLate = 1400 * time.Millisecond, 2200 * time.Millisecond
	minHeld, maxHeld = 300 * time.Millisecond, 3 * time.Second
	// maxShortPauses is how often other hosts stand still for a short time in an absence.
	maxShortPauses = 2
)

// Aim is what a host has asked the store, without a reply yet, when a Pause begins.
type Aim uint8

// The aims.
const (
	AimNone Aim = iota
	// AimRead is a read of a job's record.
	AimRead
	// AimWrite is a transaction.
	AimWrite
	// AimRenewal keeps a lease.
	AimRenewal
	aimCount
)

// String names the aim.
func (a Aim) String() string { return [...]string{"random moment", "read", "write", "renewal"}[a] }

// absence is one way in which a host is away and comes back.
type absence uint8

const (
	pausedOnce absence = iota
	// pausedTwice stands still again soon after it went on.
	pausedTwice
	// pausedAndCut goes on without the store.
	pausedAndCut
	// cutAndPaused stands still while it has no store, and goes on with it.
	cutAndPaused
	// cutOnly goes on without the store.
	cutOnly
	// cutTwice loses the store again soon after it had it back.
	cutTwice
	absenceCount
)

// String names the absence.
func (a absence) String() string {
	return [...]string{"paused", "paused twice", "paused, back without store", "paused in a cut", "cut", "cut twice"}[a]
}

// cuts are the faults that keep a host from the store.
var cuts = []Kind{StoreSilent, StoreRefuses, StoreDropsReplies}

// NewAway returns a plan in which hosts are away for longer than a take-over of their jobs
// takes and then come back, in half of the cases beside a change of the configuration.
func NewAway(seed uint64, s Sizes) Plan {
	r := rand.New(rand.NewPCG(seed, 4))
	p := Plan{Seed: seed}
	add := func(k Kind, target int, at, duration time.Duration) {
		p.Faults = append(p.Faults, Fault{Kind: k, Target: target, Start: at, Duration: duration})
	}
	// What holds answers up is drawn by itself, so that the absences of a seed stay what
	// they were.
	late := rand.New(rand.NewPCG(seed, 6))
	// order is the order in which hosts are away, so that two that overlap differ.
	order := r.Perm(s.Hosts)
	n := 0
	often := time.Duration(min(max(1, s.Hosts/awayFleet), maxOften))
	for at := maxAwayGap / 2; at < s.Length; at += randomDuration(r, minAwayGap, maxAwayGap) / often {
		host := order[n%len(order)]
		n++
		form, cut := absence(r.IntN(int(absenceCount))), cuts[r.IntN(len(cuts))]
		away, behind := randomDuration(r, minAway, maxAway), randomDuration(r, minGap, maxBehind)
		back := at + away
		begins := len(p.Faults)
		if form == cutAndPaused {
			begins++
		}
		aim, beside := Aim(late.IntN(int(aimCount))), randomLate(late, s, at, away, host)
		switch form {
		case pausedOnce:
			add(Pause, host, at, away)
		case pausedTwice:
			add(Pause, host, at, away)
			add(Pause, host, back+behind, away/2)
		case pausedAndCut:
			add(Pause, host, at, away)
			add(cut, host, back-minDuration, minDuration+behind)
		case cutAndPaused:
			add(cut, host, at, away-minGap)
			add(Pause, host, at+minDuration, away-minDuration)
		case cutOnly:
			add(cut, host, at, away)
		case cutTwice:
			add(cut, host, at, away)
			add(cut, host, back+behind, away/2)
		}
		if form != cutOnly && form != cutTwice {
			p.Faults[begins].Aim = aim
		}
		cell := form.String()
		if form != pausedOnce && form != pausedTwice {
			cell += fmt.Sprintf(" (%s)", cut)
		}
		if r.IntN(2) == 0 {
			change := Change(r.IntN(int(ChangeCount)))
			p.Faults = append(p.Faults, Fault{Kind: Configure, Start: back + randomDuration(r, -maxBeside, maxBeside), Change: change})
			cell += " + " + change.String()
		}
		if r.Float64() < outageProbability {
			f := randomFault(r, s, at+randomDuration(r, 0, away))
			if !f.Kind.TargetsHost() {
				p.Faults = append(p.Faults, f)
				cell += " + " + f.Kind.String()
			}
		}
		if p.Faults[begins].Aim != AimNone {
			cell += " + at a " + aim.String()
		}
		for _, f := range beside {
			cell += fmt.Sprintf(" + %s", f.Kind)
			if f.Aim != AimNone {
				cell += " at a " + f.Aim.String()
			}
		}
		p.Faults = append(p.Faults, beside...)
		p.Cells = append(p.Cells, cell)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	for _, f := range p.Faults {
		p.FaultsEnd = max(p.FaultsEnd, f.Start+f.Duration)
	}
	return p
}

// randomLate returns what holds answers up while a host is away: short pauses of another
// host, of which each reader has a page or a read of the store on its way, and replies
// that are held back.
func randomLate(r *rand.Rand, s Sizes, at, away time.Duration, host int) []Fault {
	var faults []Fault
	for range 1 + r.IntN(maxShortPauses) {
		other := (host + 1 + r.IntN(max(1, s.Hosts-1))) % s.Hosts
		faults = append(faults, Fault{Kind: Pause, Target: other, Start: at + randomDuration(r, 0, away), Duration: randomDuration(r, minLate, maxLate), Aim: Aim(r.IntN(int(aimCount)))})
	}
	switch r.IntN(4) {
	case 0:
		faults = append(faults, Fault{Kind: StoreHoldsReplies, Target: r.IntN(s.Hosts), Start: at + randomDuration(r, 0, away), Duration: randomDuration(r, minHeld, maxHeld)})
	case 1:
		faults = append(faults, Fault{Kind: ServerHoldsReplies, Target: r.IntN(s.Servers), Start: at + randomDuration(r, 0, away), Duration: randomDuration(r, minHeld, maxHeld)})
	}
	return faults
}
