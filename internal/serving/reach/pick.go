package reach

import "slices"

// Host is another host through which calls may be passed on.
type Host struct {
	Name string
	Zone string
	// Weight is the host's share of a processor core in thousandths, 0 if unknown.
	Weight int
	// CutOff is set if the host says that it is cut off too, Avoid if it could not
	// help lately.
	CutOff bool
	Avoid  bool
}

// defaultWeight stands for an unknown weight.
const defaultWeight = 1000

// Pick returns the host to pass a call to, none of those tried; false if there is
// none. It prefers hosts that aren't cut off, then those that could help lately,
// then the own zone unless a host of it was tried already, and spreads the calls by
// weight. One that said that it is cut off may have been reached again since.
// random is a uniformly distributed number in [0, 1).
func Pick(hosts []Host, zone string, tried []string, random float64) (Host, bool) {
	triedOwnZone := slices.ContainsFunc(hosts, func(h Host) bool { return h.Zone == zone && slices.Contains(tried, h.Name) })
	best, bestRank := []Host(nil), 0
	for _, h := range hosts {
		if slices.Contains(tried, h.Name) {
			continue
		}
		rank := 1
		if (h.Zone == zone) != triedOwnZone {
			rank++
		}
		if !h.Avoid {
			rank += 2
		}
		if !h.CutOff {
			rank += 4
		}
		if rank > bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, h)
		}
	}
	total := 0
	for _, h := range best {
		total += h.weight()
	}
	remaining := random * float64(total)
	for _, h := range best {
		if remaining -= float64(h.weight()); remaining < 0 {
			return h, true
		}
	}
	return Host{}, false
}

func (h Host) weight() int {
	if h.Weight <= 0 {
		return defaultWeight
	}
	return h.Weight
}
