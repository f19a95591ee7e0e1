// Package membership implements the gossip membership of entry hosts: each
// host's view of which other hosts are alive. It is a pure state machine over
// heartbeats, the platform's host list, which lags, and failed connections. The
// view is local and may be wrong; correctness depends on leases and
// compare-and-swap only, never on the view.
//
// Each interval a host sends a heartbeat to one host of its zone and every few
// intervals also to one of another zone; the receiver replies with its own. The
// cost for a host therefore does not grow with its zone. A heartbeat carries
// the sender's state with the loads of the backend servers whose queues it
// runs; a digest, which is the latest sequence numbers of hosts of the zone,
// the most recently updated first; and the full state of one other host. An
// update about a live host reaches a zone of n hosts in about log(n) intervals
// while the digest holds them all; beyond that the time grows with n, and so do
// the timeouts. Updates about other zones are relayed as summaries, each of
// which is one lower bound for all hosts of a zone.
//
// Near hosts are those of this host's own zone, far hosts those of the others.
//
// Sequence numbers count intervals of the wall clock, so they also grow across
// restarts, and a late message never looks newer than it is. A host counts as
// lost only because no update about it arrived in time or because a connection
// from this host to it failed; no message can declare another host lost.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// nearTimeout is how long a host of this host's zone may be silent before it
	// counts as lost; it is multiplied by 1 plus the number of times that
	// maxDigestHosts fits into the other known hosts of the zone.
	nearTimeout = 4 * time.Second
	// farTimeout is the same for a host of another zone without a matching
	// summary; it is multiplied by the number of other zones and by 1 plus the
	// number of times that maxDigestHosts fits into farSlowdown times the known
	// hosts of that zone.
	farTimeout = 4 * time.Second
	// farSlowdown is how many times slower updates spread from another zone than
	// within a zone.
	farSlowdown = 3
	// connectFailureTTL is how long a failed connection counts against a host at
	// most.
	connectFailureTTL = 2 * time.Second
	// forgetAfter is how long a host that is lost and not listed is kept.
	forgetAfter = 10 * time.Minute
	// Every farHeartbeatEvery intervals a heartbeat goes to another zone, every
	// lostHeartbeatEvery intervals one to a lost host.
	farHeartbeatEvery  = 4
	lostHeartbeatEvery = 5
	// maxDigestHosts bounds the hosts in a digest.
	maxDigestHosts = 96
	// Every farRelayEvery-th heartbeat relays the state of a far host, the others
	// that of a near one.
	farRelayEvery = 4
)

// Host is the last known state of one entry host.
type Host struct {
	Name        string
	Zone        string
	Address     string
	Incarnation int64
	Sequence    int64
	Leaving     bool
	Revision    int64
	// LastSeen is the latest time at which the host is known to have been alive,
	// by its own messages or those of others.
	LastSeen time.Time
	Loads    []*wire.Load

	// minLag is the least difference seen between the local count of intervals
	// and the host's sequence numbers. A sequence number that arrives with a
	// larger difference is older by the excess.
	minLag int64
	// stateSequence is the sequence number of the last full state received;
	// Sequence, which digests and summaries raise too, may be higher.
	stateSequence int64
	// connectFailedAt is when a connection to the host last failed.
	connectFailedAt time.Time
	// listedAt is when the platform last listed the host.
	listedAt time.Time
	// leavingIncarnation is the incarnation known when the platform first listed
	// the host as leaving.
	leavingIncarnation int64
	listedLeaving      bool
}

// isLeaving reports whether the host announced that it is leaving or the
// platform listed this incarnation of it as leaving. The list lags, so an entry
// about an earlier incarnation does not count.
func (h *Host) isLeaving() bool {
	return h.Leaving || (h.listedLeaving && h.leavingIncarnation == h.Incarnation)
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// View is one host's view of the fleet.
type View struct {
	self   Host
	random *rand.Rand
	// startedAt is the origin of the local count of intervals.
	startedAt time.Time
	// hosts holds all other known hosts by name.
	hosts map[string]*Host
	// hostsByHash finds hosts by the hash of the name, which digests carry.
	hostsByHash map[uint32]*Host
	// nearCount is the number of other known hosts of this host's zone, farCounts
	// the number of known hosts of each other zone.
	nearCount    int
	farCounts    map[string]int
	messageCount int
	// hostsByZone holds the hosts by the hash of their zone, then by name.
	hostsByZone map[uint32]map[string]*Host
	// summaries holds the newest summary of each other zone by the zone's hash.
	summaries map[uint32]*summary
}

// NewView returns a view without other hosts.
func NewView(self Host, now time.Time, seed uint64) *View {
	self.Sequence = self.Incarnation / int64(HeartbeatInterval)
	return &View{
		self: self, random: rand.New(rand.NewPCG(seed, seed)), startedAt: now, hosts: make(map[string]*Host),
		hostsByHash: make(map[uint32]*Host), farCounts: make(map[string]int),
		hostsByZone: make(map[uint32]map[string]*Host), summaries: make(map[uint32]*summary),
	}
}

// Self returns the host's own entry.
func (v *View) Self() Host { return v.self }

// SetSelf sets the revision and loads that the next heartbeats carry.
func (v *View) SetSelf(revision int64, loads []*wire.Load) {
	v.self.Revision, v.self.Loads = revision, loads
}

// SetLeaving marks this host as leaving in its heartbeats.
func (v *View) SetLeaving() { v.self.Leaving = true }

// ApplyHostList applies the platform's host list. A new host counts as alive
// from now. Since the list lags, an entry is no proof that a known host is still
// alive.
func (v *View) ApplyHostList(now time.Time, list []ListedHost) {
	for _, entry := range list {
		if entry.Name == v.self.Name {
			continue
		}
		h, ok := v.hosts[entry.Name]
		if !ok {
			h = v.insert(&Host{Name: entry.Name, Zone: entry.Zone, Address: entry.Address, LastSeen: now})
		}
		h.listedAt = now
		if entry.Leaving && !h.listedLeaving {
			h.leavingIncarnation = h.Incarnation
		}
		h.listedLeaving = entry.Leaving
	}
}

func (v *View) insert(h *Host) *Host {
	v.hosts[h.Name] = h
	v.hostsByHash[nameHash(h.Name)] = h
	v.adjustZoneCount(h.Zone, 1)
	v.addToZone(h)
	return h
}

// adjustZoneCount adds n to the number of known hosts of a zone.
func (v *View) adjustZoneCount(zone string, n int) {
	if zone == v.self.Zone {
		v.nearCount += n
		return
	}
	if v.farCounts[zone] += n; v.farCounts[zone] == 0 {
		delete(v.farCounts, zone)
	}
}

func nameHash(name string) uint32 { return uint32(rendezvous.Hash(name)) }

// RecordConnectFailure records a failed connection to a host. The host counts as
// lost until an update shows that it was alive later, and for connectFailureTTL
// at most, since the fault may be in this host's own link.
func (v *View) RecordConnectFailure(now time.Time, name string) {
	if h, ok := v.hosts[name]; ok {
		h.connectFailedAt = now
	}
}

// ApplyHeartbeat applies a received heartbeat with its digest, its summaries and
// the state of other hosts that it relays.
func (v *View) ApplyHeartbeat(now time.Time, beat *wire.Heartbeat) {
	v.applyState(now, beat)
	for _, other := range beat.GetOthers() {
		v.applyState(now, other)
	}
	ages := beat.GetDigestAges()
	for i, hash := range beat.GetDigestHosts() {
		if h, ok := v.hostsByHash[hash]; ok && i < len(ages) {
			v.applySequence(now, h, beat.GetSequence()-int64(ages[i]>>1), ages[i]&1 != 0)
		}
	}
	for _, s := range beat.GetSummaries() {
		v.applySummary(now, s)
	}
}

// applySequence applies a sequence number of a known host that another host has
// received.
func (v *View) applySequence(now time.Time, h *Host, sequence int64, leaving bool) {
	if sequence > h.Sequence {
		v.advance(now, h, sequence)
		h.Leaving = leaving
	}
}

// advance stores a higher sequence number of a host and the time at which the
// host was alive, estimated from how late the number arrived.
func (v *View) advance(now time.Time, h *Host, sequence int64) {
	lag := int64(now.Sub(v.startedAt)/HeartbeatInterval) - sequence
	if h.Sequence == 0 || lag < h.minLag {
		h.minLag = lag
	}
	h.Sequence = sequence
	if at := now.Add(-time.Duration(lag-h.minLag) * HeartbeatInterval); at.After(h.LastSeen) {
		h.LastSeen = at
	}
}

func (v *View) applyState(now time.Time, beat *wire.Heartbeat) {
	if beat.GetHost() == "" || beat.GetHost() == v.self.Name {
		return
	}
	h, ok := v.hosts[beat.GetHost()]
	if !ok {
		h = v.insert(&Host{Name: beat.GetHost(), Zone: beat.GetZone()})
	}
	if !isNewerState(beat, h) {
		return
	}
	if h.Zone != beat.GetZone() {
		v.adjustZoneCount(h.Zone, -1)
		v.adjustZoneCount(beat.GetZone(), 1)
		v.removeFromZone(h)
		defer v.addToZone(h)
	}
	if beat.GetSequence() > h.Sequence {
		v.advance(now, h, beat.GetSequence())
	}
	h.Zone, h.Address, h.Incarnation = beat.GetZone(), beat.GetAddress(), beat.GetIncarnation()
	h.stateSequence = beat.GetSequence()
	h.Revision, h.Loads = beat.GetRevision(), beat.GetLoads()
	if h.stateSequence == h.Sequence {
		h.Leaving = beat.GetLeaving()
	}
}

func isNewerState(beat *wire.Heartbeat, h *Host) bool {
	if beat.GetIncarnation() != h.Incarnation {
		return beat.GetIncarnation() > h.Incarnation
	}
	return beat.GetSequence() > h.stateSequence
}

// Live returns the sorted names of the hosts of a zone that count as alive and
// are not leaving, this host included; zone "" means all zones.
func (v *View) Live(now time.Time, zone string) []string {
	var names []string
	if !v.self.Leaving && (zone == "" || v.self.Zone == zone) {
		names = append(names, v.self.Name)
	}
	for _, h := range v.hosts {
		if v.alive(now, h) && !h.isLeaving() && (zone == "" || h.Zone == zone) {
			names = append(names, h.Name)
		}
	}
	sort.Strings(names)
	return names
}

func (v *View) alive(now time.Time, h *Host) bool {
	if !h.connectFailedAt.Before(h.LastSeen) && now.Sub(h.connectFailedAt) < connectFailureTTL {
		return false
	}
	return now.Sub(h.LastSeen) <= v.silenceTimeout(h.Zone)
}

// silenceTimeout returns how long a host of the zone may be silent before it
// counts as lost. Updates take longer to spread the larger the zone and the
// more zones there are.
func (v *View) silenceTimeout(zone string) time.Duration {
	if zone == v.self.Zone {
		return nearTimeout * time.Duration(1+v.nearCount/maxDigestHosts)
	}
	withoutSummary := farTimeout * time.Duration(max(1, len(v.farCounts))*(1+farSlowdown*v.farCounts[zone]/maxDigestHosts))
	if s, ok := v.summaries[nameHash(zone)]; ok && s.hostsMatch {
		relay := relayTimeout * time.Duration(1+len(v.farCounts)/zonesPerRelayTimeout)
		return min(withoutSummary, relay+summaryTimeout*time.Duration(1+v.farCounts[zone]/maxDigestHosts))
	}
	return withoutSummary
}

// Alive reports whether the host counts as alive, even if it is leaving.
func (v *View) Alive(now time.Time, name string) bool {
	if name == v.self.Name {
		return true
	}
	h, ok := v.hosts[name]
	return ok && v.alive(now, h)
}

// Host returns the last known state of a host and whether there is any.
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

// Hosts returns all other known hosts, sorted by name.
func (v *View) Hosts() []Host {
	list := make([]Host, 0, len(v.hosts))
	for _, h := range v.hosts {
		list = append(list, *h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// OutgoingHeartbeat is one heartbeat to send and the address to send it to.
type OutgoingHeartbeat struct {
	Address string
	Message *wire.Heartbeat
}

// Tick starts the next interval: it removes hosts that were lost long ago and
// returns the heartbeats to send.
func (v *View) Tick(now time.Time) []OutgoingHeartbeat {
	v.self.Sequence = max(v.self.Sequence+1, now.UnixNano()/int64(HeartbeatInterval))
	v.self.LastSeen = now
	for _, h := range v.hosts {
		if now.Sub(h.LastSeen) > forgetAfter && now.Sub(h.listedAt) > forgetAfter {
			v.forget(h)
		}
	}
	message := v.Heartbeat(now)
	var heartbeats []OutgoingHeartbeat
	for _, h := range v.targets(now) {
		heartbeats = append(heartbeats, OutgoingHeartbeat{Address: h.Address, Message: message})
	}
	return heartbeats
}

// LeavingHeartbeats returns a heartbeat for every live host of this host's zone
// and one live host of each other zone. A leaving host sends them once.
func (v *View) LeavingHeartbeats(now time.Time) []OutgoingHeartbeat {
	message := heartbeatOf(v.self)
	contacted := make(map[string]bool)
	var heartbeats []OutgoingHeartbeat
	for _, h := range v.shuffled(func(h *Host) bool { return h.Address != "" && v.alive(now, h) }) {
		if h.Zone == v.self.Zone || !contacted[h.Zone] {
			contacted[h.Zone] = true
			heartbeats = append(heartbeats, OutgoingHeartbeat{Address: h.Address, Message: message})
		}
	}
	return heartbeats
}

func (v *View) forget(h *Host) {
	delete(v.hosts, h.Name)
	if v.hostsByHash[nameHash(h.Name)] == h {
		delete(v.hostsByHash, nameHash(h.Name))
	}
	v.adjustZoneCount(h.Zone, -1)
	v.removeFromZone(h)
}

// Heartbeat returns this host's heartbeat with its digest, its summaries and the
// state of one other host.
func (v *View) Heartbeat(now time.Time) *wire.Heartbeat {
	v.messageCount++
	message := heartbeatOf(v.self)
	near := v.shuffled(func(h *Host) bool { return h.Zone == v.self.Zone && h.Sequence > 0 && v.alive(now, h) })
	slices.SortStableFunc(near, func(a, b *Host) int { return b.LastSeen.Compare(a.LastSeen) })
	for _, h := range near[:min(len(near), maxDigestHosts)] {
		message.DigestHosts = append(message.DigestHosts, nameHash(h.Name))
		message.DigestAges = append(message.DigestAges, digestAge(v.self.Sequence-h.Sequence, h.Leaving))
	}
	message.Summaries = v.summariesToSend(near)
	candidates := near
	if v.messageCount%farRelayEvery == 0 {
		candidates = v.shuffled(func(h *Host) bool { return h.Zone != v.self.Zone && v.alive(now, h) })
	}
	candidates = slices.DeleteFunc(candidates, func(h *Host) bool { return h.stateSequence == 0 })
	if len(candidates) > 0 {
		other := candidates[v.random.IntN(len(candidates))]
		relayed := heartbeatOf(*other)
		relayed.Sequence = other.stateSequence
		message.Others = append(message.Others, relayed)
	}
	return message
}

// digestAge encodes the age in intervals and, in the lowest bit, whether the
// host is leaving.
func digestAge(age int64, leaving bool) int32 {
	if leaving {
		return int32(age)<<1 | 1
	}
	return int32(age) << 1
}

func heartbeatOf(h Host) *wire.Heartbeat {
	return &wire.Heartbeat{
		Host: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation,
		Sequence: h.Sequence, Leaving: h.Leaving, Revision: h.Revision, Loads: h.Loads,
	}
}

// targets chooses a live host of this host's zone. Every few intervals it adds
// one of another zone, each zone in turn, and one lost host, which it also
// chooses if there is no other. The end of a network partition is thus detected
// at a cost that does not grow with the fleet.
func (v *View) targets(now time.Time) []*Host {
	n := v.self.Sequence
	picked := v.pickRandom(func(h *Host) bool { return h.Zone == v.self.Zone && v.alive(now, h) })
	if zone, ok := v.farZone(n / farHeartbeatEvery); ok && n%farHeartbeatEvery == 0 {
		picked = append(picked, v.pickRandom(func(h *Host) bool { return h.Zone == zone && v.alive(now, h) })...)
	}
	if len(picked) == 0 || n%lostHeartbeatEvery == 0 {
		picked = append(picked, v.pickRandom(func(h *Host) bool { return !v.alive(now, h) })...)
	}
	return picked
}

func (v *View) farZone(n int64) (string, bool) {
	if len(v.farCounts) == 0 {
		return "", false
	}
	names := slices.Sorted(maps.Keys(v.farCounts))
	return names[n%int64(len(names))], true
}

// pickRandom returns one host with an address that keep accepts, or none.
func (v *View) pickRandom(keep func(*Host) bool) []*Host {
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
