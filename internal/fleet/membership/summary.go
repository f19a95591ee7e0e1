package membership

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// summaryTimeout is how long a host of another zone may be missing from the
	// zone's summaries; it is multiplied by 1 plus the number of times that
	// maxDigestHosts fits into the known hosts of that zone.
	summaryTimeout = 6 * time.Second
	// relayTimeout allows for the relaying of summaries between zones; it is
	// multiplied by 1 plus the number of times that zonesPerRelayTimeout fits
	// into the number of other zones.
	relayTimeout         = 6 * time.Second
	zonesPerRelayTimeout = 8
	// Every message may carry baseRelayedSummaries summaries of other zones and
	// one more for each freePlacesPerSummary unused places of its digest.
	baseRelayedSummaries = 2
	freePlacesPerSummary = 8
)

// summary is the newest summary received of another zone.
type summary struct {
	message *wire.ZoneSummary
	// hostsMatch is set if the set of hosts that the summary covers is known
	// here. Otherwise a host's absence from summaries does not mean that it is
	// lost.
	hostsMatch bool
}

func (v *View) addToZone(h *Host) {
	hash := nameHash(h.Zone)
	if v.hostsByZone[hash] == nil {
		v.hostsByZone[hash] = make(map[string]*Host)
	}
	v.hostsByZone[hash][h.Name] = h
}

// removeFromZone removes a host from its zone, and the summary of a zone that
// has no hosts left.
func (v *View) removeFromZone(h *Host) {
	hash := nameHash(h.Zone)
	if delete(v.hostsByZone[hash], h.Name); len(v.hostsByZone[hash]) == 0 {
		delete(v.hostsByZone, hash)
		delete(v.summaries, hash)
	}
}

// applySummary applies the summary of another zone. Like a digest it can only
// raise sequence numbers, so a late or repeated summary never makes a host
// count as lost.
func (v *View) applySummary(now time.Time, s *wire.ZoneSummary) {
	hosts, ok := v.hostsByZone[s.GetZone()]
	if old := v.summaries[s.GetZone()]; !ok || s.GetZone() == nameHash(v.self.Zone) ||
		(old != nil && s.GetStamp() <= old.message.GetStamp()) {
		return
	}
	for i, hash := range s.GetOtherHosts() {
		if h, ok := v.hostsByHash[hash]; ok && i < len(s.GetOtherAges()) {
			age := s.GetOtherAges()[i]
			v.applySequence(now, h, s.GetStamp()-int64(age>>1), age&1 != 0)
		}
	}
	coveredHosts := v.coveredHosts(now, hosts, s)
	v.summaries[s.GetZone()] = &summary{message: s, hostsMatch: coveredHosts != nil}
	for _, h := range coveredHosts {
		v.applySequence(now, h, s.GetStamp()-int64(s.GetSpan()), false)
	}
}

// coveredHosts returns the hosts that the summary's bound holds for. It tries
// all known hosts of the zone and then, since the summary's author may have
// forgotten lost hosts, only the live ones. It returns nil if neither set
// matches the summary's count and check.
func (v *View) coveredHosts(now time.Time, hosts map[string]*Host, s *wire.ZoneSummary) []*Host {
	others := make(map[uint32]bool, len(s.GetOtherHosts()))
	for _, hash := range s.GetOtherHosts() {
		others[hash] = true
	}
	var all, live []*Host
	for _, h := range hosts {
		if others[nameHash(h.Name)] {
			continue
		}
		all = append(all, h)
		if v.alive(now, h) {
			live = append(live, h)
		}
	}
	for _, list := range [][]*Host{all, live} {
		if len(list) == int(s.GetHosts()) && xorOfHashes(list) == s.GetCheck() {
			return list
		}
	}
	return nil
}

func xorOfHashes(hosts []*Host) uint32 {
	var check uint32
	for _, h := range hosts {
		check ^= nameHash(h.Name)
	}
	return check
}

// summariesToSend returns the summary of this host's zone and a random choice
// of other zones' summaries, or nothing if there is no other zone.
func (v *View) summariesToSend(near []*Host) []*wire.ZoneSummary {
	if len(v.farCounts) == 0 {
		return nil
	}
	var far []*wire.ZoneSummary
	for _, hash := range v.sortedSummaryZones() {
		far = append(far, v.summaries[hash].message)
	}
	v.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	limit := baseRelayedSummaries + max(0, maxDigestHosts-len(near))/freePlacesPerSummary
	return append([]*wire.ZoneSummary{v.summarize(near)}, far[:min(limit, len(far))]...)
}

func (v *View) sortedSummaryZones() []uint32 {
	keys := make([]uint32, 0, len(v.summaries))
	for hash := range v.summaries {
		keys = append(keys, hash)
	}
	slices.Sort(keys)
	return keys
}

// summarize returns the summary of this host's zone; near are its other live
// hosts. The stamp is the median sequence number, so that one host whose clock
// is ahead can't raise it.
func (v *View) summarize(near []*Host) *wire.ZoneSummary {
	stamp := v.medianSequence(near)
	// Hosts below lowest are listed one by one, since they would widen the span.
	lowest := stamp - int64(nearTimeout/HeartbeatInterval)*int64(1+v.nearCount/maxDigestHosts)
	s := &wire.ZoneSummary{Zone: nameHash(v.self.Zone), Stamp: stamp}
	live := make(map[string]bool, len(near))
	floor := stamp
	add := func(h *Host) {
		live[h.Name] = true
		if h.Sequence < lowest || h.isLeaving() {
			s.OtherHosts = append(s.OtherHosts, nameHash(h.Name))
			s.OtherAges = append(s.OtherAges, digestAge(stamp-h.Sequence, h.Leaving))
			return
		}
		floor = min(floor, h.Sequence)
		s.Hosts++
		s.Check ^= nameHash(h.Name)
	}
	add(&v.self)
	for _, h := range near {
		add(h)
	}
	// Lost hosts come last and have no age.
	s.OtherHosts = append(s.OtherHosts, v.absentHashes(live)...)
	s.Span = int32(stamp - floor)
	return s
}

// absentHashes returns the hashes of the names of the known hosts of this
// host's zone that are not in live.
func (v *View) absentHashes(live map[string]bool) []uint32 {
	var list []uint32
	for name := range v.hostsByZone[nameHash(v.self.Zone)] {
		if !live[name] {
			list = append(list, nameHash(name))
		}
	}
	slices.Sort(list)
	return list
}

func (v *View) medianSequence(near []*Host) int64 {
	sequences := []int64{v.self.Sequence}
	for _, h := range near {
		sequences = append(sequences, h.Sequence)
	}
	slices.Sort(sequences)
	return sequences[len(sequences)/2]
}
