// Package member holds a host's opinion of which other hosts are alive. It is
// a pure state machine over heartbeats, the platform's lagging host list and
// the outcomes of connections. The opinion is local and may be wrong; nothing
// that must hold depends on it, only on leases and compare-and-swap.
//
// A heartbeat goes to a fixed number of hosts, so that a host's cost does not
// grow with its zone; it carries rumours about a few others, so that news
// reaches a zone of n hosts in about log(n) intervals.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

const (
	// Interval is the time between two heartbeats.
	Interval = 500 * time.Millisecond
	// suspectAfter is how long a host may be silent before it counts as lost.
	suspectAfter = 3 * time.Second
	// forgetAfter is how long a lost host is remembered.
	forgetAfter = 10 * time.Minute
	// fanOutZone and fanOutFar are the targets of one heartbeat.
	fanOutZone = 3
	fanOutFar  = 1
	// maxRumours bounds what a heartbeat says about others.
	maxRumours = 12
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
	// Heard is when news with a higher sequence last came, from whomever.
	Heard time.Time
	Loads []*wire.Load
}

// Listed is one line of the platform's host list.
type Listed struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// View is one host's opinion of the fleet.
type View struct {
	self   Host
	random *rand.Rand
	// hosts never holds the host itself.
	hosts map[string]*Host
}

// NewView returns the view of a host that knows nobody yet.
func NewView(self Host, seed uint64) *View {
	return &View{self: self, random: rand.New(rand.NewPCG(seed, seed)), hosts: make(map[string]*Host)}
}

// Self returns the host's own entry.
func (v *View) Self() Host { return v.self }

// SetSelf updates what the next heartbeat says of the host itself.
func (v *View) SetSelf(revision int64, leaving bool, loads []*wire.Load) {
	v.self.Revision, v.self.Leaving, v.self.Loads = revision, leaving, loads
}

// Listed takes the platform's host list. A new host counts as heard now; the
// list's lag makes it no proof that a known host lives.
func (v *View) Listed(now time.Time, list []Listed) {
	for _, one := range list {
		if one.Name == v.self.Name {
			v.self.Leaving = v.self.Leaving || one.Leaving
			continue
		}
		h, ok := v.hosts[one.Name]
		if !ok {
			h = &Host{Name: one.Name, Zone: one.Zone, Address: one.Address, Heard: now}
			v.hosts[one.Name] = h
		}
		h.Leaving = h.Leaving || one.Leaving
	}
}

// Heard takes a heartbeat and the rumours in it.
func (v *View) Heard(now time.Time, beat *wire.Heartbeat) {
	v.hear(now, beat)
	for _, other := range beat.GetOthers() {
		v.hear(now, other)
	}
}

func (v *View) hear(now time.Time, beat *wire.Heartbeat) {
	if beat.GetHost() == "" || beat.GetHost() == v.self.Name {
		return
	}
	h, ok := v.hosts[beat.GetHost()]
	if !ok {
		h = &Host{Name: beat.GetHost()}
		v.hosts[beat.GetHost()] = h
	}
	if !newer(beat, h) {
		return
	}
	h.Zone, h.Address = beat.GetZone(), beat.GetAddress()
	h.Incarnation, h.Sequence = beat.GetIncarnation(), beat.GetSequence()
	h.Leaving, h.Revision, h.Loads = beat.GetLeaving(), beat.GetRevision(), beat.GetLoads()
	h.Heard = now
}

func newer(beat *wire.Heartbeat, h *Host) bool {
	if beat.GetIncarnation() != h.Incarnation {
		return beat.GetIncarnation() > h.Incarnation
	}
	return beat.GetSequence() > h.Sequence
}

// Live returns the names of the hosts believed alive and staying, in order,
// the host itself included unless it leaves; zone "" is all zones.
func (v *View) Live(now time.Time, zone string) []string {
	var names []string
	if !v.self.Leaving && (zone == "" || v.self.Zone == zone) {
		names = append(names, v.self.Name)
	}
	for _, h := range v.hosts {
		if alive(now, h) && !h.Leaving && (zone == "" || h.Zone == zone) {
			names = append(names, h.Name)
		}
	}
	sort.Strings(names)
	return names
}

func alive(now time.Time, h *Host) bool { return now.Sub(h.Heard) <= suspectAfter }

// Alive reports whether the host is believed alive, leaving ones included.
func (v *View) Alive(now time.Time, name string) bool {
	if name == v.self.Name {
		return true
	}
	h, ok := v.hosts[name]
	return ok && alive(now, h)
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

// Beat is one heartbeat to send.
type Beat struct {
	Address string
	Message *wire.Heartbeat
}

// Tick forgets hosts lost long ago and returns the heartbeats of this interval.
func (v *View) Tick(now time.Time) []Beat {
	v.self.Sequence++
	v.self.Heard = now
	for name, h := range v.hosts {
		if now.Sub(h.Heard) > forgetAfter {
			delete(v.hosts, name)
		}
	}
	message := v.Message(now)
	var beats []Beat
	for _, h := range v.targets() {
		beats = append(beats, Beat{Address: h.Address, Message: message})
	}
	return beats
}

// Message returns the host's heartbeat with rumours about others.
func (v *View) Message(now time.Time) *wire.Heartbeat {
	message := beatOf(v.self)
	hosts := v.shuffled(func(h *Host) bool { return h.Zone == v.self.Zone && alive(now, h) && h.Sequence > 0 })
	for _, h := range hosts[:min(len(hosts), maxRumours)] {
		message.Others = append(message.Others, beatOf(*h))
	}
	return message
}

func beatOf(h Host) *wire.Heartbeat {
	return &wire.Heartbeat{
		Host: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation,
		Sequence: h.Sequence, Leaving: h.Leaving, Revision: h.Revision, Loads: h.Loads,
	}
}

// targets picks hosts of the own zone and one of another zone. Lost hosts are
// among them, so that a healed partition is found.
func (v *View) targets() []*Host {
	near := v.shuffled(func(h *Host) bool { return h.Zone == v.self.Zone })
	far := v.shuffled(func(h *Host) bool { return h.Zone != v.self.Zone })
	return append(near[:min(len(near), fanOutZone)], far[:min(len(far), fanOutFar)]...)
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
