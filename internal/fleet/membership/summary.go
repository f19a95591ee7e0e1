package membership

import (
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// suspectSummary is how long a host of a far zone may be missing from the
	// zone's summaries, for each maxDigest hosts of the zone.
	suspectSummary = 6 * time.Second
	// suspectRelay is the time that summaries may take to come around, for each
	// relayZones far zones.
	suspectRelay = 6 * time.Second
	relayZones   = 8
	// relayed is the number of far zones' summaries in every message; each
	// summaryShare free places of the digest make room for one more.
	relayed      = 2
	summaryShare = 8
)

// summary is the newest summary of a far zone.
type summary struct {
	message *wire.ZoneSummary
	// fits is whether the hosts it speaks for are the ones known here. While it
	// does not, silence in summaries is no sign of a loss.
	fits bool
}

func (v *View) enter(h *Host) {
	hash := hashOf(h.Zone)
	if v.zones[hash] == nil {
		v.zones[hash] = make(map[string]*Host)
	}
	v.zones[hash][h.Name] = h
}

// exit takes a host out of its zone; an empty zone has no summary.
func (v *View) exit(h *Host) {
	hash := hashOf(h.Zone)
	if delete(v.zones[hash], h.Name); len(v.zones[hash]) == 0 {
		delete(v.zones, hash)
		delete(v.summaries, hash)
	}
}

// summarized takes a far zone's summary. Like a digest it only raises sequence
// numbers, so that its word can be late or repeated and never kills a host.
func (v *View) summarized(now time.Time, s *wire.ZoneSummary) {
	hosts, ok := v.zones[s.GetZone()]
	if old := v.summaries[s.GetZone()]; !ok || s.GetZone() == hashOf(v.self.Zone) ||
		(old != nil && s.GetStamp() <= old.message.GetStamp()) {
		return
	}
	for i, hash := range s.GetOtherHosts() {
		if h, ok := v.byHash[hash]; ok && i < len(s.GetOtherAges()) {
			age := s.GetOtherAges()[i]
			v.noted(now, h, s.GetStamp()-int64(age>>1), age&1 != 0)
		}
	}
	meant := v.meant(now, hosts, s)
	v.summaries[s.GetZone()] = &summary{message: s, fits: meant != nil}
	for _, h := range meant {
		v.noted(now, h, s.GetStamp()-int64(s.GetSpan()), false)
	}
}

// meant returns the hosts that the summary's bound holds for, nil if they are
// not the known ones: all of the zone, or those alive where the giver has
// forgotten lost ones.
func (v *View) meant(now time.Time, hosts map[string]*Host, s *wire.ZoneSummary) []*Host {
	others := make(map[uint32]bool, len(s.GetOtherHosts()))
	for _, hash := range s.GetOtherHosts() {
		others[hash] = true
	}
	var all, living []*Host
	for _, h := range hosts {
		if others[hashOf(h.Name)] {
			continue
		}
		all = append(all, h)
		if v.alive(now, h) {
			living = append(living, h)
		}
	}
	for _, list := range [][]*Host{all, living} {
		if len(list) == int(s.GetHosts()) && checkOf(list) == s.GetCheck() {
			return list
		}
	}
	return nil
}

func checkOf(hosts []*Host) uint32 {
	var check uint32
	for _, h := range hosts {
		check ^= hashOf(h.Name)
	}
	return check
}

// summariesToSend returns the own zone's summary and some of far zones; none
// when there is no other zone.
func (v *View) summariesToSend(near []*Host) []*wire.ZoneSummary {
	if len(v.farZones) == 0 {
		return nil
	}
	var far []*wire.ZoneSummary
	for _, hash := range v.summaryKeys() {
		far = append(far, v.summaries[hash].message)
	}
	v.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	room := relayed + max(0, maxDigest-len(near))/summaryShare
	return append([]*wire.ZoneSummary{v.summarize(near)}, far[:min(room, len(far))]...)
}

func (v *View) summaryKeys() []uint32 {
	keys := make([]uint32, 0, len(v.summaries))
	for hash := range v.summaries {
		keys = append(keys, hash)
	}
	slices.Sort(keys)
	return keys
}

// summarize returns the own zone's summary from the live hosts near. Its stamp
// is their median, which no single host's clock can push ahead of the others.
func (v *View) summarize(near []*Host) *wire.ZoneSummary {
	stamp := v.median(near)
	// The lost hosts come last and have no age.
	lowest := stamp - int64(suspectAfter/HeartbeatInterval)*int64(1+v.near/maxDigest)
	s := &wire.ZoneSummary{Zone: hashOf(v.self.Zone), Stamp: stamp}
	living := make(map[string]bool, len(near))
	floor := stamp
	add := func(h *Host) {
		living[h.Name] = true
		if h.Sequence < lowest || h.leaving() {
			s.OtherHosts = append(s.OtherHosts, hashOf(h.Name))
			s.OtherAges = append(s.OtherAges, digestAge(stamp-h.Sequence, h.Leaving))
			return
		}
		floor = min(floor, h.Sequence)
		s.Hosts++
		s.Check ^= hashOf(h.Name)
	}
	add(&v.self)
	for _, h := range near {
		add(h)
	}
	s.OtherHosts = append(s.OtherHosts, v.absent(living)...)
	s.Span = int32(stamp - floor)
	return s
}

// absent returns the hashes of the known hosts of the own zone not in living.
func (v *View) absent(living map[string]bool) []uint32 {
	var list []uint32
	for name := range v.zones[hashOf(v.self.Zone)] {
		if !living[name] {
			list = append(list, hashOf(name))
		}
	}
	slices.Sort(list)
	return list
}

func (v *View) median(near []*Host) int64 {
	sequences := []int64{v.self.Sequence}
	for _, h := range near {
		sequences = append(sequences, h.Sequence)
	}
	slices.Sort(sequences)
	return sequences[len(sequences)/2]
}
