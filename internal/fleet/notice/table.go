package notice

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/rendezvous"
)

const (
	// PeerTimeout is how long after its last notice a host still counts as live.
	// A host sends several notices in this time.
	PeerTimeout = 1500 * time.Millisecond
	// rosterTimeout is how long after the last summary of a relay the hosts in its
	// roster still count as live. In this time the hosts of the relay find that it
	// is silent, and report to another one.
	rosterTimeout = 3 * time.Second
	// forwardedTimeout is the same if the summaries of the relay are passed on,
	// which happens less often. A host that is no relay needs to know the hosts of
	// other zones only to read jobs from them and to hand its own over.
	forwardedTimeout = 3 * forwardInterval
	// listedTimeout is how long addresses count as those of hosts that have a sign of
	// life in the store. They are read more often than that.
	listedTimeout = 20 * time.Second
	// removeAfter is how long hosts and addresses are kept without a message.
	removeAfter = 60 * time.Second
	// maxDirect is the largest number of hosts, this one included, that send
	// their status to each other directly.
	maxDirect = 16
	// relaysPerZone is how many hosts of a zone are its relays. One may be lost
	// without a gap.
	relaysPerZone = 2
	// relayTimeout is the silence after which a relay is passed over. A relay
	// sends several summaries in this time.
	relayTimeout = 900 * time.Millisecond
	// suspicionPeriod is how long a relay that did not answer is passed over. A
	// relay that is lost counts as dead by then.
	suspicionPeriod = rosterTimeout + 500*time.Millisecond
	// settlingPeriod is how long a host must have been live to become a relay, if
	// there is another one. By then all hosts of its zone know it.
	settlingPeriod = time.Second
	// maxLostTargets bounds the hosts that a relay reports to without hearing them. It
	// is above the number of relays of a zone that falls into a few parts.
	maxLostTargets = 16
	// maxBootstrapTargets bounds the hosts that a host without a relay reports to.
	maxBootstrapTargets = 8
)

// Peer is the last notice of another host.
type Peer struct {
	Notice
	ReceivedAt time.Time
}

// roster is the last list of hosts that a relay sent, with its last summary.
type roster struct {
	relay      Member
	sequence   int64
	receivedAt time.Time
	// direct is when a summary last came from the relay itself.
	direct time.Time
	// members are the hosts listed at listedAt.
	members  map[string]Member
	listedAt time.Time
}

// PeerTable holds what is known of the other hosts: the last notices, the
// rosters of the relays, and addresses. It is safe for concurrent use.
type PeerTable struct {
	self Member

	mu      sync.Mutex
	peers   map[string]*Peer
	rosters map[string]*roster
	// addresses are addresses of hosts, with the time at which each was added or a
	// message last came from it.
	addresses map[string]time.Time
	// listed are the addresses of AddAddresses, with the last time of each.
	listed map[string]time.Time
	// seeds are addresses that are never forgotten.
	seeds []string
	// liveSince holds the live hosts, firstLive is when the first one was heard.
	liveSince map[string]time.Time
	firstLive time.Time
	// suspects are relays that did not answer, with the end of the suspicion.
	suspects map[string]time.Time
	// ranked caches the relays of each zone as of rankedAt, since all hosts have
	// to be compared to find them; far and lost cache what farRelays and
	// lostAddresses returned since, nil if they were not called.
	ranked    map[string][]Member
	far, lost []string
	rankedAt  time.Time
	// relaySince is when this host began to report to each of its relays.
	relaySince       map[string]time.Time
	onLivenessChange func(host string, live bool)
}

// SetSeeds sets addresses that are used whenever no relay is heard.
func (t *PeerTable) SetSeeds(now time.Time, seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = slices.Clone(seeds)
	t.addAddresses(now, seeds)
}

// NewPeerTable returns an empty table for the host self. onLivenessChange is
// called with the table locked when a host becomes live or dead.
func NewPeerTable(self Member, onLivenessChange func(host string, live bool)) *PeerTable {
	return &PeerTable{
		self: self, peers: make(map[string]*Peer), rosters: make(map[string]*roster), addresses: make(map[string]time.Time), listed: make(map[string]time.Time),
		liveSince: make(map[string]time.Time), suspects: make(map[string]time.Time), relaySince: make(map[string]time.Time), onLivenessChange: onLivenessChange,
	}
}

// AddAddresses adds addresses of hosts.
func (t *PeerTable) AddAddresses(now time.Time, addresses ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addAddresses(now, addresses)
	for _, a := range addresses {
		t.listed[a] = now
	}
}

func (t *PeerTable) addAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		if _, known := t.addresses[a]; !known && a != t.self.Address && a != "" {
			t.addresses[a] = now
		}
	}
}

// newer reports whether a message of a host is newer than the last one.
//
// An earlier Start is usually a late datagram of the previous run, which arrives
// while messages of the new run do. After a silence it is accepted: the host may
// have restarted after its time of day was set back.
func newer(now time.Time, m Member, sequence int64, last Member, lastSequence int64, lastAt time.Time) bool {
	if m.Start == last.Start {
		return sequence > lastSequence
	}
	return m.Start > last.Start || now.Sub(lastAt) > PeerTimeout
}

// Apply stores a notice and reports whether it is newer than all earlier ones of
// its host.
func (t *PeerTable) Apply(now time.Time, n Notice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Host == t.self.Host {
		return false
	}
	if old, known := t.peers[n.Host]; known {
		if !newer(now, n.Member, n.Sequence, old.Member, old.Sequence, old.ReceivedAt) {
			return false
		}
		if old.Address != n.Address {
			delete(t.addresses, old.Address)
		}
	}
	if old := t.peers[n.Host]; old == nil || old.Stopping != n.Stopping {
		t.ranked = nil
	}
	t.peers[n.Host] = &Peer{Notice: n, ReceivedAt: now}
	t.addresses[n.Address] = now
	t.addAddresses(now, n.KnownAddresses)
	t.setLive(now, n.Host)
	return true
}

// ApplySummary stores a summary and reports whether it is newer than all earlier
// ones of its relay.
func (t *PeerTable) ApplySummary(now time.Time, s Summary) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Host == t.self.Host {
		return false
	}
	r := t.rosters[s.Host]
	if r == nil {
		r = &roster{}
		t.rosters[s.Host] = r
	} else if !newer(now, s.Member, s.Sequence, r.relay, r.sequence, r.receivedAt) {
		return false
	}
	r.relay, r.sequence, r.receivedAt = s.Member, s.Sequence, now
	if !s.Forwarded {
		r.direct = now
	}
	if s.Roster != nil {
		r.members, r.listedAt = make(map[string]Member, len(s.Roster)), now
		// Of this host's own zone its relays know more than those of other zones,
		// whose word counts only while none of them is heard.
		hearsOwn := t.hearsOwnZone(now)
		for _, m := range s.Roster {
			if s.Zone != t.self.Zone && m.Zone == t.self.Zone && hearsOwn {
				continue
			}
			if m.Host != "" && m.Host != t.self.Host && m.Address != "" {
				r.members[m.Host] = m
				t.setLive(now, m.Host)
			}
		}
	}
	if _, suspect := t.suspects[s.Host]; suspect {
		delete(t.suspects, s.Host)
		t.ranked = nil
	}
	t.addresses[s.Address] = now
	t.setLive(now, s.Host)
	return true
}

func (t *PeerTable) setLive(now time.Time, host string) {
	if _, live := t.liveSince[host]; !live {
		if t.firstLive.IsZero() {
			t.firstLive = now
		}
		t.liveSince[host] = now
		t.ranked = nil
		t.onLivenessChange(host, true)
	}
}

// Expire marks hosts as dead that are neither heard nor in the roster of a relay
// any more, and removes hosts and addresses after removeAfter.
func (t *PeerTable) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(t.liveSince))
	for host, r := range t.rosters {
		timeout := rosterTimeout
		if !r.receivedAt.Equal(r.direct) {
			timeout = forwardedTimeout
		}
		switch age := now.Sub(r.receivedAt); {
		case age <= timeout:
			for member := range r.members {
				listed[member] = true
			}
			listed[host] = listed[host] || age <= PeerTimeout || timeout == forwardedTimeout
		case age > removeAfter:
			delete(t.rosters, host)
		}
	}
	for host, p := range t.peers {
		switch age := now.Sub(p.ReceivedAt); {
		case age <= PeerTimeout:
			listed[host] = true
		case age > removeAfter:
			delete(t.peers, host)
		}
	}
	for host := range t.liveSince {
		if !listed[host] {
			delete(t.liveSince, host)
			t.ranked = nil
			t.onLivenessChange(host, false)
		}
	}
	maps.DeleteFunc(t.addresses, func(_ string, lastSeen time.Time) bool { return now.Sub(lastSeen) > removeAfter })
	maps.DeleteFunc(t.listed, func(_ string, lastListed time.Time) bool { return now.Sub(lastListed) > listedTimeout })
	suspects := len(t.suspects)
	maps.DeleteFunc(t.suspects, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(t.suspects) < suspects {
		t.ranked = nil
	}
}

// Suspect passes a relay over for a while, since it did not answer.
func (t *PeerTable) Suspect(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects[host] = now.Add(suspicionPeriod)
	t.ranked = nil
}

// description is what is known of a host.
type description struct {
	Member
	// at is when it was received. What a host says of itself counts as newer by
	// PeerTimeout, since others learn it later.
	at time.Time
}

// replaces reports whether a description goes before another one of the host: that
// of the latest start, and then the newest.
func (d description) replaces(old description) bool {
	return d.Start > old.Start || d.Start == old.Start && !d.at.Before(old.at)
}

func (r *roster) describeRelay() description {
	return description{r.relay, r.receivedAt.Add(PeerTimeout)}
}

func (p *Peer) describe() description { return description{p.Member, p.ReceivedAt.Add(PeerTimeout)} }

// member returns the last known description of a host.
func (t *PeerTable) member(host string) (Member, bool) {
	var found description
	ok := false
	consider := func(d description) {
		if !ok || d.replaces(found) {
			found, ok = d, true
		}
	}
	for _, r := range t.rosters {
		if m, listed := r.members[host]; listed {
			consider(description{m, r.listedAt})
		}
	}
	if r := t.rosters[host]; r != nil {
		consider(r.describeRelay())
	}
	if p := t.peers[host]; p != nil {
		consider(p.describe())
	}
	return found.Member, ok
}

// Peer returns the last known description of a host.
func (t *PeerTable) Peer(host string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.member(host)
}

// known returns the other hosts that were heard or listed in the last
// removeAfter, without those of which only the address is known.
func (t *PeerTable) known() map[string]description {
	members := make(map[string]description, len(t.peers))
	consider := func(d description) {
		if old, ok := members[d.Host]; !ok || d.replaces(old) {
			members[d.Host] = d
		}
	}
	for _, r := range t.rosters {
		for _, m := range r.members {
			consider(description{m, r.listedAt})
		}
		consider(r.describeRelay())
	}
	for _, p := range t.peers {
		consider(p.describe())
	}
	return members
}

// large reports whether there are too many hosts for each to report to all: this
// host hears so many, or hears a relay.
func (t *PeerTable) large() bool { return len(t.rosters) > 0 || len(t.peers) >= maxDirect }

// LargeFleet reports whether hosts report to relays.
func (t *PeerTable) LargeFleet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.large()
}

// Alive reports whether a host counts as live.
func (t *PeerTable) Alive(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, live := t.liveSince[host]
	return host == t.self.Host || live
}

// HeardAll reports whether a notice was received since a time from each other host
// that was heard within removeAfter and was not stopping then. It is false in a large
// fleet, whose hosts don't hear each other directly, and if there is no other host.
func (t *PeerTable) HeardAll(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.large() || len(t.peers) == 0 {
		return false
	}
	for _, p := range t.peers {
		if !p.Stopping && p.ReceivedAt.Before(since) {
			return false
		}
	}
	return true
}

// Live returns the other live hosts that are not stopping, sorted by name.
func (t *PeerTable) Live() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live("")
}

// live returns the other live hosts of a zone, or of all zones, that are not
// stopping, sorted by name.
func (t *PeerTable) live(zone string) []Member {
	var list []Member
	for host, m := range t.known() {
		if _, live := t.liveSince[host]; live && !m.Stopping && (zone == "" || m.Zone == zone) {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Relays returns the relays of a zone, the first one being its coordinator. It is
// empty in a fleet that has none.
func (t *PeerTable) Relays(now time.Time, zone string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.large() {
		return nil
	}
	return t.relays(now, zone)
}

// AllRelays returns the names of the relays of all zones, sorted.
func (t *PeerTable) AllRelays(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := map[string]bool{t.self.Zone: true}
	for _, m := range t.known() {
		zones[m.Zone] = true
	}
	var names []string
	for zone := range zones {
		for _, m := range t.relays(now, zone) {
			names = append(names, m.Host)
		}
	}
	slices.Sort(names)
	return names
}

// rankingAge is how long the relays of a zone are cached while no host becomes
// live, dead or suspect.
const rankingAge = 500 * time.Millisecond

func (t *PeerTable) relays(now time.Time, zone string) []Member {
	if t.ranked == nil || now.Sub(t.rankedAt) >= rankingAge {
		t.ranked, t.far, t.lost, t.rankedAt = make(map[string][]Member), nil, nil, now
	}
	list, cached := t.ranked[zone]
	if !cached {
		list = t.rank(now, zone)
		list = list[:min(len(list), relaysPerZone)]
		t.ranked[zone] = list
	}
	return list
}

// rank ranks the hosts of a zone by weight and then by rendezvous hashing. Hosts
// that became live only now, and suspects, come last. Those that this host heard soon
// after the first one count as live for longer: they may have been up before this host
// was started, and if all were started together, each would otherwise take itself for
// the first.
func (t *PeerTable) rank(now time.Time, zone string) []Member {
	candidates := slices.DeleteFunc(t.live(zone), func(m Member) bool { return m.Legacy })
	if zone == t.self.Zone && !t.self.Stopping {
		candidates = append(candidates, t.self)
	}
	return t.order(now, candidates)
}

// order sorts hosts as rank does.
func (t *PeerTable) order(now time.Time, candidates []Member) []Member {
	class := func(m Member) int {
		since, live := t.liveSince[m.Host]
		_, suspect := t.suspects[m.Host]
		switch {
		case suspect:
			return 2
		case live && now.Sub(since) < settlingPeriod && since.Sub(t.firstLive) >= settlingPeriod:
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(rendezvous.Score(b.Host, "relay"), rendezvous.Score(a.Host, "relay")), cmp.Compare(a.Host, b.Host))
	})
	return candidates
}

// SetStopping marks this host as stopping, so that it is no relay any more.
func (t *PeerTable) SetStopping() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Stopping = true
	t.ranked = nil
}

// SetCutOff marks this host in its own roster.
func (t *PeerTable) SetCutOff(cutOff bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.CutOff = cutOff
}

// Targets are the addresses that this host sends messages to.
type Targets struct {
	// OnChange get a notice after each change, Regular ones only at each interval.
	OnChange, Regular []string
	// Legacy ones get notices in the JSON form at each interval.
	Legacy []string
	// Summary are the hosts that this one is a relay of. Far are the relays of other
	// zones.
	Summary, Far []string
	// Introduce are the hosts, by zone, that report to this one although it is not
	// their relay. They are told the relays of their zone.
	Introduce map[string][]string
	// Direct is set in a fleet whose hosts all report to each other.
	Direct bool
}

// Targets returns the addresses to send messages to.
func (t *PeerTable) Targets(now time.Time) Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets Targets
	legacy := make(map[string]bool)
	for _, p := range t.peers {
		if p.Legacy && now.Sub(p.ReceivedAt) <= PeerTimeout {
			legacy[p.Address] = true
		}
	}
	targets.Legacy = slices.Sorted(maps.Keys(legacy))
	if !t.large() {
		targets.Direct = true
		for a := range t.addresses {
			if !legacy[a] {
				targets.OnChange = append(targets.OnChange, a)
			}
		}
		slices.Sort(targets.OnChange)
		return targets
	}
	if !t.addRelays(now, &targets) {
		targets.Regular = append(targets.Regular, t.bootstrapTargets(targets.Regular)...)
	}
	if contains(t.relays(now, t.self.Zone), t.self.Host) {
		if t.lost == nil {
			t.lost = t.lostAddresses()
		}
		for _, a := range t.lost {
			if !slices.Contains(targets.OnChange, a) && !slices.Contains(targets.Regular, a) {
				targets.Regular = append(targets.Regular, a)
			}
		}
	}
	t.addSummaryTargets(now, &targets)
	return targets
}

// addRelays adds the relays of this host's zone, and reports whether the host is in
// touch with its zone: it hears a relay, or is one that others report to. A silent
// relay becomes suspect.
func (t *PeerTable) addRelays(now time.Time, targets *Targets) (inTouch bool) {
	relays := t.relays(now, t.self.Zone)
	since := make(map[string]time.Time, len(relays))
	for rank, m := range relays {
		if m.Host == t.self.Host {
			inTouch = inTouch || t.hasReports(now)
			continue
		}
		since[m.Host] = now
		if began, known := t.relaySince[m.Host]; known {
			since[m.Host] = began
		}
		lastHeard := since[m.Host]
		if r := t.rosters[m.Host]; r != nil && now.Sub(r.receivedAt) <= relayTimeout {
			inTouch, lastHeard = true, now
		}
		if now.Sub(lastHeard) > relayTimeout {
			t.suspects[m.Host] = now.Add(suspicionPeriod)
			t.ranked = nil
		}
		if rank == 0 {
			targets.OnChange = append(targets.OnChange, m.Address)
		} else {
			targets.Regular = append(targets.Regular, m.Address)
		}
	}
	t.relaySince = since
	return inTouch
}

// hasReports reports whether another host of the zone reports to this one.
func (t *PeerTable) hasReports(now time.Time) bool {
	for _, p := range t.peers {
		if p.Zone == t.self.Zone && now.Sub(p.ReceivedAt) <= PeerTimeout {
			return true
		}
	}
	return false
}

// bootstrapTargets returns addresses to report to besides others until a relay of
// the zone answers: the seeds and the addresses that were heard or added last.
func (t *PeerTable) bootstrapTargets(besides []string) []string {
	recent := slices.SortedFunc(maps.Keys(t.addresses), func(a, b string) int {
		return cmp.Or(t.addresses[b].Compare(t.addresses[a]), cmp.Compare(a, b))
	})
	var list []string
	for _, a := range slices.Concat(t.seeds, recent) {
		if a != t.self.Address && !slices.Contains(besides, a) && !slices.Contains(list, a) && len(list) < maxBootstrapTargets {
			list = append(list, a)
		}
	}
	return list
}

// lostAddresses returns the addresses to which a relay reports without hearing them:
// those of the silent relays of its zone, and then the listed ones of no live host. By
// this, parts of the zone that were cut off from each other, each of which has relays,
// find each other again.
func (t *PeerTable) lostAddresses() []string {
	live := make(map[string]bool, len(t.liveSince))
	for host, m := range t.known() {
		if _, isLive := t.liveSince[host]; isLive {
			live[m.Address] = true
		}
	}
	var silent []string
	for host, r := range t.rosters {
		if _, isLive := t.liveSince[host]; !isLive && r.relay.Zone == t.self.Zone {
			silent = append(silent, r.relay.Address)
		}
	}
	slices.Sort(silent)
	list := []string{}
	for _, a := range slices.Concat(silent, slices.Sorted(maps.Keys(t.listed))) {
		if a != "" && a != t.self.Address && !live[a] && !slices.Contains(list, a) && len(list) < maxLostTargets {
			list = append(list, a)
		}
	}
	return list
}

// addSummaryTargets adds the hosts that report to this host and, if it is a relay,
// the relays of the other zones.
func (t *PeerTable) addSummaryTargets(now time.Time, targets *Targets) {
	targets.Introduce = make(map[string][]string)
	isRelay := make(map[string]bool)
	for _, p := range t.peers {
		if p.Legacy || now.Sub(p.ReceivedAt) > PeerTimeout {
			continue
		}
		zone := p.Zone
		relay, known := isRelay[zone]
		if !known {
			relay = zone == t.self.Zone && contains(t.relays(now, zone), t.self.Host)
			isRelay[zone] = relay
		}
		if relay {
			targets.Summary = append(targets.Summary, p.Address)
		} else {
			targets.Introduce[zone] = append(targets.Introduce[zone], p.Address)
		}
	}
	if contains(t.relays(now, t.self.Zone), t.self.Host) {
		if t.far == nil {
			t.far = t.farRelays(now)
		}
		targets.Far = t.far
	}
	slices.Sort(targets.Summary)
}

// farRelays returns the addresses of the relays of all other zones. Of a zone
// without a live host it returns those that were its relays, so that the zones
// find each other after a cut.
func (t *PeerTable) farRelays(now time.Time) []string {
	byZone := make(map[string][]Member)
	for _, m := range t.known() {
		if m.Zone != t.self.Zone {
			byZone[m.Zone] = append(byZone[m.Zone], m.Member)
		}
	}
	var list []string
	for zone, members := range byZone {
		relays := t.relays(now, zone)
		if len(relays) == 0 {
			relays = t.order(now, members)
			relays = relays[:min(len(relays), relaysPerZone)]
		}
		for _, m := range relays {
			list = append(list, m.Address)
		}
	}
	slices.Sort(list)
	return list
}

func contains(list []Member, host string) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.Host == host })
}

// Roster returns the hosts of this host's zone that report to it, itself included,
// sorted by name.
func (t *PeerTable) Roster(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Member{t.self}
	for _, p := range t.peers {
		if p.Zone == t.self.Zone && now.Sub(p.ReceivedAt) <= PeerTimeout {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// FarRelays returns the relays of zones other than the given one that are heard
// directly. Telling others of them lets all zones find each other, and does not
// keep a dead one alive, as telling hearsay would.
func (t *PeerTable) FarRelays(now time.Time, besides string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, r := range t.rosters {
		if r.relay.Zone != besides && now.Sub(r.direct) <= PeerTimeout {
			list = append(list, r.relay)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Candidates returns the hosts of a zone that a host of the zone should report to:
// the relays and the next ones by rank.
func (t *PeerTable) Candidates(now time.Time, zone string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	ranked := t.rank(now, zone)
	return ranked[:min(len(ranked), 2*relaysPerZone)]
}

// HeardRelay reports whether a summary of a relay of this host's zone was
// received recently.
func (t *PeerTable) HeardRelay(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hearsRelay(now)
}

// hearsOwnZone reports whether this host hears a relay of its zone or is one that
// others report to.
func (t *PeerTable) hearsOwnZone(now time.Time) bool { return t.hearsRelay(now) || t.hasReports(now) }

func (t *PeerTable) hearsRelay(now time.Time) bool {
	for _, r := range t.rosters {
		if r.relay.Zone == t.self.Zone && now.Sub(r.receivedAt) <= relayTimeout {
			return true
		}
	}
	return false
}

// IsRelay reports whether this host is a relay of its zone.
func (t *PeerTable) IsRelay(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.large() {
		return false
	}
	return contains(t.relays(now, t.self.Zone), t.self.Host)
}
