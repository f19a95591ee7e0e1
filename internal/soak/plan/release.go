package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of faults of a release, which New does not schedule.
const (
	// ServerUpgraded starts a server of the next software version beside one that
	// drains and ends.
	ServerUpgraded = Stall + 1 + iota
	// ServerRemoved deletes the entry of a server that goes on serving for a while,
	// and starts another one of the next software version.
	ServerRemoved
	// ServerRestarts ends a server and starts it again under its ID.
	ServerRestarts
	// ServerHeld holds all bytes to and from a server back, as if it stood still.
	ServerHeld
	// StoreRefuses makes the store turn one host away.
	StoreRefuses
	// ServerCrashes records that a request crashed a server. No plan schedules it.
	ServerCrashes
	// StoreHoldsReplies holds the store's replies to one host back, ServerHoldsReplies
	// those of a server. Only NewAway schedules them.
	StoreHoldsReplies
	ServerHoldsReplies
)

// isolations are the faults that keep a host from learning of changes, or stop it.
var isolations = []Kind{Pause, StoreSilent, StoreRefuses, StoreReset, StoreDropsReplies}

const (
	// Waves of a release begin between minWaveGap and maxWaveGap apart. The faults of
	// one wave begin within waveSpan.
	minWaveGap, maxWaveGap = 3 * time.Second, 6 * time.Second
	waveSpan               = 2 * time.Second
	// maxIsolation is the longest fault of a host in a wave, maxHold of a server.
	maxIsolation = 6 * time.Second
	maxHold      = 3 * time.Second
	// maxReplaced is the largest share of the servers that one wave replaces.
	maxReplaced = 3
)

// NewRelease returns a plan of waves in which several servers are replaced by ones
// of the next software version while hosts are out of touch or stand still.
func NewRelease(seed uint64, s Sizes) Plan {
	r := rand.New(rand.NewPCG(seed, 2))
	p := Plan{Seed: seed}
	add := func(k Kind, target int, at, duration time.Duration) {
		p.Faults = append(p.Faults, Fault{Kind: k, Target: target, Start: at, Duration: duration})
	}
	for at := minGap; at < s.Length; at += randomDuration(r, minWaveGap, maxWaveGap) {
		hosts, servers := r.Perm(s.Hosts), r.Perm(s.Servers)
		for _, host := range hosts[:r.IntN(s.Hosts/3+1)] {
			add(isolations[r.IntN(len(isolations))], host, at+randomDuration(r, 0, waveSpan), randomDuration(r, minDuration, maxIsolation))
		}
		kind := ServerUpgraded
		if r.IntN(3) == 0 {
			kind = ServerRemoved
		}
		replaced := 1 + r.IntN(max(1, s.Servers/maxReplaced))
		for _, server := range servers[:replaced] {
			add(kind, server, at+randomDuration(r, 0, waveSpan), minDuration)
		}
		for _, server := range servers[replaced:min(len(servers), replaced+r.IntN(3))] {
			k := ServerHeld
			if r.IntN(3) == 0 {
				k = ServerRestarts
			}
			add(k, server, at+randomDuration(r, 0, waveSpan), randomDuration(r, minDuration, maxHold))
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	for _, f := range p.Faults {
		p.FaultsEnd = max(p.FaultsEnd, f.Start+f.Duration)
	}
	return p
}
