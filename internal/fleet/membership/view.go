// Package membership holds a host's opinion of which other hosts are alive. It is
// a pure state machine over heartbeats, the platform's lagging host list and
// the outcomes of connections. The opinion is local and may be wrong; nothing
// that must hold depends on it, only on leases and compare-and-swap.
//
// A heartbeat goes to one host of the zone, now and then also to one of another
// zone, and is answered by one, so that a host's cost does not grow with its
// zone. Besides the sender's own state with the loads of its back ends it
// carries a digest, the latest sequence numbers of hosts of the zone with the
// freshest first, and the whole state of one other host. News of a live host
// reaches a zone of n hosts in about log(n) intervals while the digest holds
// them all; beyond that the time grows with n, and suspicion waits longer.
// News of far zones is relayed as summaries, one bound for a whole zone.
//
// Sequence numbers count intervals of the wall clock, so that they grow over
// restarts as well, and a late message never looks newer than it is. Silence
// alone, never a word from another host, makes a host count as lost.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	zones "github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// suspectAfter is how long a host of the own zone may be silent before it
	// counts as lost, for each maxDigest hosts of the zone.
	suspectAfter = 4 * time.Second
	// suspectFar is the same for a host of another zone, times those zones.
	suspectFar = 4 * time.Second
	// farShare is how many times slower news of a far zone comes than its own.
	farShare = 3
	// hintHold bounds how long one failed connection counts against a host.
	hintHold = 2 * time.Second
	// forgetAfter is how long a lost host is remembered that is not listed.
	forgetAfter = 10 * time.Minute
	// farEvery and lostEvery are the heartbeats from one to another zone and
	// from one to a lost host.
	farEvery  = 4
	lostEvery = 5
	// maxDigest bounds the hosts in a digest.
	maxDigest = 96
	// farRumourEvery is the messages from one rumour of another zone to the next.
	farRumourEvery = 4
)

// Host is what is known of one entry host.
type Host struct {
	Name        string
	Zone        string
	Address     string
	Incarnation int64
	Sequence    int64
	Leaving     bool
	Revision    int64
	// LastSeen is when news with a higher sequence last came, from whomever.
	LastSeen time.Time
	Loads    []*wire.Load

	// lag is the least difference seen between this host's count of intervals
	// and the host's sequence numbers; what is more than that is the news' age.
	lag int64
	// state is the sequence number of the whole state that is known; Sequence
	// may be ahead of it.
	state int64
	// hinted is when a connection to the host last failed.
	hinted time.Time
	// listed is when the platform last listed the host.
	listed time.Time
	// listLeaving is the incarnation that the platform called leaving.
	listLeaving int64
	listedGoing bool
}

// leaving reports whether the host or the platform says that it leaves. What
// the lagging list says of an earlier incarnation does not count.
func (h *Host) leaving() bool {
	return h.Leaving || (h.listedGoing && h.listLeaving == h.Incarnation)
}

// ListedHost is one line of the platform's host list.
type ListedHost struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// View is one host's opinion of the fleet.
type View struct {
	self   Host
	random *rand.Rand
	// begun is the origin of this host's count of intervals.
	begun time.Time
	// hosts never holds the host itself.
	hosts map[string]*Host
	// byHash finds hosts by the hash that digests carry.
	byHash map[uint32]*Host
	// near and far count the known hosts of the own zone and the other zones.
	near     int
	farZones map[string]int
	messages int
	// zones holds the hosts by the hash of their zone.
	zones map[uint32]map[string]*Host
	// summaries holds the newest summary of each far zone by the zone's hash.
	summaries map[uint32]*summary
}

// NewView returns the view of a host that knows nobody yet.
func NewView(self Host, now time.Time, seed uint64) *View {
	self.Sequence = self.Incarnation / int64(HeartbeatInterval)
	return &View{
		self: self, random: rand.New(rand.NewPCG(seed, seed)), begun: now, hosts: make(map[string]*Host),
		byHash: make(map[uint32]*Host), farZones: make(map[string]int),
		zones: make(map[uint32]map[string]*Host), summaries: make(map[uint32]*summary),
	}
}

// Self returns the host's own entry.
func (v *View) Self() Host { return v.self }

// SetSelf updates what the next heartbeat says of the host itself.
func (v *View) SetSelf(revision int64, loads []*wire.Load) {
	v.self.Revision, v.self.Loads = revision, loads
}

// SetLeaving makes the host say that it leaves.
func (v *View) SetLeaving() { v.self.Leaving = true }

// ApplyHostList takes the platform's host list. A new host counts as heard now; the
// list's lag makes it no proof that a known host lives.
func (v *View) ApplyHostList(now time.Time, list []ListedHost) {
	for _, one := range list {
		if one.Name == v.self.Name {
			continue
		}
		h, ok := v.hosts[one.Name]
		if !ok {
			h = v.insert(&Host{Name: one.Name, Zone: one.Zone, Address: one.Address, LastSeen: now})
		}
		h.listed = now
		if one.Leaving && !h.listedGoing {
			h.listLeaving = h.Incarnation
		}
		h.listedGoing = one.Leaving
	}
}

func (v *View) insert(h *Host) *Host {
	v.hosts[h.Name] = h
	v.byHash[hashOf(h.Name)] = h
	v.count(h.Zone, 1)
	v.enter(h)
	return h
}

// count keeps the number of hosts by zone.
func (v *View) count(zone string, n int) {
	if zone == v.self.Zone {
		v.near += n
		return
	}
	if v.farZones[zone] += n; v.farZones[zone] == 0 {
		delete(v.farZones, zone)
	}
}

func hashOf(name string) uint32 { return uint32(zones.Hash(name)) }

// RecordConnectFailure takes a failed connection to a host. It counts against the host
// until there is news of it, from whomever, and for hintHold at most: the fault
// may lie in this host's own link.
func (v *View) RecordConnectFailure(now time.Time, name string) {
	if h, ok := v.hosts[name]; ok {
		h.hinted = now
	}
}

// ApplyHeartbeat takes a heartbeat with its digest and the rumours in it.
func (v *View) ApplyHeartbeat(now time.Time, beat *wire.Heartbeat) {
	v.hear(now, beat)
	for _, other := range beat.GetOthers() {
		v.hear(now, other)
	}
	ages := beat.GetDigestAges()
	for i, hash := range beat.GetDigestHosts() {
		if h, ok := v.byHash[hash]; ok && i < len(ages) {
			v.noted(now, h, beat.GetSequence()-int64(ages[i]>>1), ages[i]&1 != 0)
		}
	}
	for _, s := range beat.GetSummaries() {
		v.summarized(now, s)
	}
}

// noted takes a sequence number of a known host that another host has seen.
func (v *View) noted(now time.Time, h *Host, sequence int64, leaving bool) {
	if sequence > h.Sequence {
		v.advance(now, h, sequence)
		h.Leaving = leaving
	}
}

// advance takes a higher sequence number: the host was alive when it gave it.
func (v *View) advance(now time.Time, h *Host, sequence int64) {
	lag := int64(now.Sub(v.begun)/HeartbeatInterval) - sequence
	if h.Sequence == 0 || lag < h.lag {
		h.lag = lag
	}
	h.Sequence = sequence
	if at := now.Add(-time.Duration(lag-h.lag) * HeartbeatInterval); at.After(h.LastSeen) {
		h.LastSeen = at
	}
}

func (v *View) hear(now time.Time, beat *wire.Heartbeat) {
	if beat.GetHost() == "" || beat.GetHost() == v.self.Name {
		return
	}
	h, ok := v.hosts[beat.GetHost()]
	if !ok {
		h = v.insert(&Host{Name: beat.GetHost(), Zone: beat.GetZone()})
	}
	if !newer(beat, h) {
		return
	}
	if h.Zone != beat.GetZone() {
		v.count(h.Zone, -1)
		v.count(beat.GetZone(), 1)
		v.exit(h)
		defer v.enter(h)
	}
	if beat.GetSequence() > h.Sequence {
		v.advance(now, h, beat.GetSequence())
	}
	h.Zone, h.Address, h.Incarnation = beat.GetZone(), beat.GetAddress(), beat.GetIncarnation()
	h.state = beat.GetSequence()
	h.Revision, h.Loads = beat.GetRevision(), beat.GetLoads()
	if h.state == h.Sequence {
		h.Leaving = beat.GetLeaving()
	}
}

func newer(beat *wire.Heartbeat, h *Host) bool {
	if beat.GetIncarnation() != h.Incarnation {
		return beat.GetIncarnation() > h.Incarnation
	}
	return beat.GetSequence() > h.state
}

// Live returns the names of the hosts believed alive and staying, in order,
// the host itself included unless it leaves; zone "" is all zones.
func (v *View) Live(now time.Time, zone string) []string {
	var names []string
	if !v.self.Leaving && (zone == "" || v.self.Zone == zone) {
		names = append(names, v.self.Name)
	}
	for _, h := range v.hosts {
		if v.alive(now, h) && !h.leaving() && (zone == "" || h.Zone == zone) {
			names = append(names, h.Name)
		}
	}
	sort.Strings(names)
	return names
}

func (v *View) alive(now time.Time, h *Host) bool {
	if !h.hinted.Before(h.LastSeen) && now.Sub(h.hinted) < hintHold {
		return false
	}
	return now.Sub(h.LastSeen) <= v.patience(h.Zone)
}

// patience is how long a host of the zone may be silent: news takes longer to
// come around the larger the zone and the more zones there are.
func (v *View) patience(zone string) time.Duration {
	if zone == v.self.Zone {
		return suspectAfter * time.Duration(1+v.near/maxDigest)
	}
	slow := suspectFar * time.Duration(max(1, len(v.farZones))*(1+farShare*v.farZones[zone]/maxDigest))
	if s, ok := v.summaries[hashOf(zone)]; ok && s.fits {
		relay := suspectRelay * time.Duration(1+len(v.farZones)/relayZones)
		return min(slow, relay+suspectSummary*time.Duration(1+v.farZones[zone]/maxDigest))
	}
	return slow
}

// Alive reports whether the host is believed alive, leaving ones included.
func (v *View) Alive(now time.Time, name string) bool {
	if name == v.self.Name {
		return true
	}
	h, ok := v.hosts[name]
	return ok && v.alive(now, h)
}

// Host returns what is known of a host.
func (v *View) Host(name string) (Host, bool) {
	if name == v.self.Name {
		return v.self, true
	}
	h, ok := v.hosts[name]
	if !ok {
		return Host{}, false
	}
	return *h, true
}

// Hosts returns all known hosts but the host itself, by name.
func (v *View) Hosts() []Host {
	list := make([]Host, 0, len(v.hosts))
	for _, h := range v.hosts {
		list = append(list, *h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// OutgoingHeartbeat is one heartbeat to send.
type OutgoingHeartbeat struct {
	Address string
	Message *wire.Heartbeat
}

// Tick forgets hosts lost long ago and returns the heartbeats of this interval.
func (v *View) Tick(now time.Time) []OutgoingHeartbeat {
	v.self.Sequence = max(v.self.Sequence+1, now.UnixNano()/int64(HeartbeatInterval))
	v.self.LastSeen = now
	for _, h := range v.hosts {
		if now.Sub(h.LastSeen) > forgetAfter && now.Sub(h.listed) > forgetAfter {
			v.forget(h)
		}
	}
	message := v.Heartbeat(now)
	var beats []OutgoingHeartbeat
	for _, h := range v.targets(now) {
		beats = append(beats, OutgoingHeartbeat{Address: h.Address, Message: message})
	}
	return beats
}

// LeavingHeartbeats returns a heartbeat for every live host of the own zone and one host
// of each other zone; a host that leaves sends them once.
func (v *View) LeavingHeartbeats(now time.Time) []OutgoingHeartbeat {
	message := beatOf(v.self)
	told := make(map[string]bool)
	var beats []OutgoingHeartbeat
	for _, h := range v.shuffled(func(h *Host) bool { return h.Address != "" && v.alive(now, h) }) {
		if h.Zone == v.self.Zone || !told[h.Zone] {
			told[h.Zone] = true
			beats = append(beats, OutgoingHeartbeat{Address: h.Address, Message: message})
		}
	}
	return beats
}

func (v *View) forget(h *Host) {
	delete(v.hosts, h.Name)
	if v.byHash[hashOf(h.Name)] == h {
		delete(v.byHash, hashOf(h.Name))
	}
	v.count(h.Zone, -1)
	v.exit(h)
}

// Heartbeat returns the host's heartbeat with its digest and one rumour.
func (v *View) Heartbeat(now time.Time) *wire.Heartbeat {
	v.messages++
	message := beatOf(v.self)
	near := v.shuffled(func(h *Host) bool { return h.Zone == v.self.Zone && h.Sequence > 0 && v.alive(now, h) })
	slices.SortStableFunc(near, func(a, b *Host) int { return b.LastSeen.Compare(a.LastSeen) })
	for _, h := range near[:min(len(near), maxDigest)] {
		message.DigestHosts = append(message.DigestHosts, hashOf(h.Name))
		message.DigestAges = append(message.DigestAges, digestAge(v.self.Sequence-h.Sequence, h.Leaving))
	}
	message.Summaries = v.summariesToSend(near)
	rumours := near
	if v.messages%farRumourEvery == 0 {
		rumours = v.shuffled(func(h *Host) bool { return h.Zone != v.self.Zone && v.alive(now, h) })
	}
	rumours = slices.DeleteFunc(rumours, func(h *Host) bool { return h.state == 0 })
	if len(rumours) > 0 {
		other := rumours[v.random.IntN(len(rumours))]
		rumour := beatOf(*other)
		rumour.Sequence = other.state
		message.Others = append(message.Others, rumour)
	}
	return message
}

// digestAge puts the age and whether the host leaves into one number.
func digestAge(age int64, leaving bool) int32 {
	if leaving {
		return int32(age)<<1 | 1
	}
	return int32(age) << 1
}

func beatOf(h Host) *wire.Heartbeat {
	return &wire.Heartbeat{
		Host: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation,
		Sequence: h.Sequence, Leaving: h.Leaving, Revision: h.Revision, Loads: h.Loads,
	}
}

// targets picks one live host of the own zone; every few intervals also one of
// another zone, each zone in turn, and one lost host, so that a healed
// partition is found at the same flat cost.
func (v *View) targets(now time.Time) []*Host {
	n := v.self.Sequence
	picked := v.pick(func(h *Host) bool { return h.Zone == v.self.Zone && v.alive(now, h) })
	if zone, ok := v.farZone(n / farEvery); ok && n%farEvery == 0 {
		picked = append(picked, v.pick(func(h *Host) bool { return h.Zone == zone && v.alive(now, h) })...)
	}
	if len(picked) == 0 || n%lostEvery == 0 {
		picked = append(picked, v.pick(func(h *Host) bool { return !v.alive(now, h) })...)
	}
	return picked
}

func (v *View) farZone(n int64) (string, bool) {
	if len(v.farZones) == 0 {
		return "", false
	}
	names := slices.Sorted(maps.Keys(v.farZones))
	return names[n%int64(len(names))], true
}

// pick returns one host that keep accepts, if there is any.
func (v *View) pick(keep func(*Host) bool) []*Host {
	hosts := v.shuffled(func(h *Host) bool { return h.Address != "" && keep(h) })
	return hosts[:min(1, len(hosts))]
}

func (v *View) shuffled(keep func(*Host) bool) []*Host {
	var hosts []*Host
	for _, h := range v.hosts {
		if keep(h) {
			hosts = append(hosts, h)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	v.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}
