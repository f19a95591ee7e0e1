package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// All hosts end between Length/finalFrom and Length/finalTo, so that there are jobs
	// before, and some seconds left.
	finalFrom, finalTo = 5, 3
	// minOutage and maxOutage bound how long the store can't be reached after the end of
	// all hosts.
	minOutage, maxOutage = 500 * time.Millisecond, 4 * time.Second
	// A host dies again minAgain to maxAgain after all ended.
	minAgain, maxAgain = 300 * time.Millisecond, 3 * time.Second
	// What else happens begins minAfterGap to maxAfterGap apart and lasts for minAfter to
	// maxAfter.
	minAfterGap, maxAfterGap = 200 * time.Millisecond, 1800 * time.Millisecond
	minAfter, maxAfter       = 300 * time.Millisecond, 5 * time.Second
	// twoProbability is the probability that such a fault has two hosts as its targets.
	twoProbability = 0.3
)

// outages are the ways in which no host reaches the store.
var outages = []Kind{StoreUnavailable, StoreSilent, StoreRefuses, StoreReset}

// afterFinal is what happens once the hosts have started again.
var afterFinal = []Kind{Pause, Pause, StoreRefuses, StoreDropsReplies, StoreDropsReplies, StoreHoldsReplies, StoreSilent, StoreLosesReplies, Configure}

// NewFinal returns a plan in which all hosts end at one moment and start again at once, in
// half of the cases without a store for some time, and in half of the cases one or two of
// them die again before they can have all their jobs back. Meanwhile hosts stand still or
// lose the store, its replies are held back, and the configuration changes.
func NewFinal(seed uint64, s Sizes) Plan {
	r := rand.New(rand.NewPCG(seed, 7))
	p := Plan{Seed: seed, Final: randomDuration(r, s.Length/finalFrom, s.Length/finalTo)}
	add := func(f Fault) { p.Faults = append(p.Faults, f) }
	cell := "all hosts"
	for host := range s.Hosts {
		add(Fault{Kind: Kill, Target: host, Start: p.Final})
	}
	if r.IntN(2) == 0 {
		outage, duration := outages[r.IntN(len(outages))], randomDuration(r, minOutage, maxOutage)
		hosts := 1
		if outage.TargetsHost() {
			hosts = s.Hosts
		}
		for host := range hosts {
			add(Fault{Kind: outage, Target: host, Start: p.Final, Duration: duration})
		}
		cell += fmt.Sprintf(" and the store (%s for %.1f s)", outage, duration.Seconds())
	}
	if r.IntN(2) == 0 {
		for _, host := range randomHosts(r, s, 1+r.IntN(2)) {
			again := randomDuration(r, minAgain, maxAgain)
			add(Fault{Kind: Kill, Target: host, Start: p.Final + again})
			cell += fmt.Sprintf(" + host %d again after %.1f s", host, again.Seconds())
		}
	}
	var after []string
	for at := p.Final + randomDuration(r, minAfterGap, maxAfterGap); at < s.Length; at += randomDuration(r, minAfterGap, maxAfterGap) {
		f := Fault{Kind: afterFinal[r.IntN(len(afterFinal))], Start: at, Duration: randomDuration(r, minAfter, maxAfter)}
		hosts := 1
		if r.Float64() < twoProbability {
			hosts++
		}
		name := f.Kind.String()
		switch f.Kind {
		case Configure:
			f.Duration, f.Change = 0, Change(r.IntN(int(ChangeCount)))
			name = f.Change.String()
			add(f)
		case StoreLosesReplies:
			add(f)
		default:
			if f.Kind == Pause {
				f.Aim = Aim(r.IntN(int(aimCount)))
			}
			if f.Aim != AimNone {
				name += " at a " + f.Aim.String()
			}
			targets := randomHosts(r, s, hosts)
			for _, host := range targets {
				f.Target = host
				add(f)
			}
			name += fmt.Sprintf(" %v", targets)
		}
		after = append(after, name)
	}
	p.Cells = []string{cell + "; then " + strings.Join(after, ", ")}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	for _, f := range p.Faults {
		p.FaultsEnd = max(p.FaultsEnd, f.Start+f.Duration)
	}
	return p
}

// randomHosts returns so many different hosts, or all.
func randomHosts(r *rand.Rand, s Sizes, count int) []int {
	return r.Perm(s.Hosts)[:min(count, s.Hosts)]
}
