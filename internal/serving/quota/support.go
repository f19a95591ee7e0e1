package quota

import (
	"maps"
	"time"
)

const (
	// namedPeriod is for how long a report counts in which a host names its home. Hosts
	// report several times in it.
	namedPeriod = time.Second
	// recentPeriod is for how long a silent host still counts as one that may have
	// another home.
	recentPeriod = 10 * time.Second
	// knownPeriod is for how long the part of a silent host is left to a home that this
	// one may be cut off from.
	knownPeriod = 60 * time.Second
	// settlingPeriod is how long after its start a host is no home. By then it knows the
	// hosts of its zone. A longer one leaves requests without a home after all hosts were
	// restarted.
	settlingPeriod = 300 * time.Millisecond
)

// Support tells which part of the limits a host is the home of, by the hosts that report
// to it.
type Support struct {
	self, zone string
	started    time.Time
	hosts      map[string]*supporter
}

// supporter is what is known of another host.
type supporter struct {
	zone string
	seen time.Time
	// home is the host that it named at the time named.
	home  string
	named time.Time
}

// NewSupport returns the support of a host in a zone that was started at a time.
func NewSupport(self, zone string, started time.Time) *Support {
	return &Support{self: self, zone: zone, started: started, hosts: make(map[string]*supporter)}
}

// See records that a host is live.
func (s *Support) See(now time.Time, host, zone string) {
	if host == s.self {
		return
	}
	h := s.hosts[host]
	if h == nil {
		h = &supporter{}
		s.hosts[host] = h
	}
	h.zone, h.seen = zone, now
}

// Report records that a host names a home.
func (s *Support) Report(now time.Time, host, zone, home string) {
	s.See(now, host, zone)
	if h := s.hosts[host]; h != nil {
		h.home, h.named = home, now
	}
}

// Leave records that a host stops.
func (s *Support) Leave(host string) { delete(s.hosts, host) }

// Hosts returns the number of hosts of the fleet, this one included, that were live in
// the last minute.
func (s *Support) Hosts(now time.Time) int {
	s.forget(now)
	return 1 + len(s.hosts)
}

func (s *Support) forget(now time.Time) {
	maps.DeleteFunc(s.hosts, func(_ string, h *supporter) bool { return now.Sub(h.seen) >= knownPeriod })
}

// Zones returns the zones of these hosts.
func (s *Support) Zones() map[string]bool {
	zones := map[string]bool{s.zone: true}
	for _, h := range s.hosts {
		zones[h.zone] = true
	}
	return zones
}

// Names reports whether the host may name a home: it hears more than half of the hosts
// that were live in the last ten seconds. A home that was restarted while it was cut off
// together with this host does not remember the others.
func (s *Support) Names(now time.Time, in Scope) bool {
	recent, heard := 1, 1
	for _, h := range s.hosts {
		if silent := now.Sub(h.seen); s.within(in, h) && silent < recentPeriod {
			recent++
			if silent < namedPeriod {
				heard++
			}
		}
	}
	return 2*heard > recent
}

func (s *Support) within(in Scope, h *supporter) bool { return !in.OfZone || h.zone == s.zone }

// Scope is what a home is the home of.
type Scope struct {
	// OfZone is set for the limits of the host's zone only.
	OfZone bool
	// Zones is the number of zones of the deployment.
	Zones int
	// OthersExpected is set if the deployment has other hosts.
	OthersExpected bool
}

// Share returns the part of the limits in a scope that a host is the home of if it takes
// itself for their home; 0 if it is no home.
//
// More than half of the hosts that were live in the last ten seconds must name it. So two
// parts of a zone that are cut off from each other have only one home in this time. Later
// the home of each part has the share of its hosts in all that were live in the last
// minute.
//
// In its first minute a host may have been restarted while it was cut off from others that
// it doesn't know, those of its own zone among them. It leaves the part of zones of which
// it hears no other host to these, and is no home of its own zone if it hears none there.
func (s *Support) Share(now time.Time, in Scope) float64 {
	s.forget(now)
	running := now.Sub(s.started)
	if len(s.hosts) > 0 && running < settlingPeriod {
		return 0
	}
	known, recent, named := 1, 1, 1
	for _, h := range s.hosts {
		if !s.within(in, h) {
			continue
		}
		known++
		if now.Sub(h.seen) < recentPeriod {
			recent++
		}
		if h.home == s.self && now.Sub(h.named) < namedPeriod {
			named++
		}
	}
	if 2*named <= recent || !s.Names(now, in) {
		return 0
	}
	share := float64(recent) / float64(known)
	if running >= knownPeriod || !in.OthersExpected {
		return share
	}
	heard := s.heardZones(now)
	switch {
	case !in.OfZone:
		share *= min(1, float64(len(heard))/float64(max(1, in.Zones)))
	case !heard[s.zone]:
		share = 0
	}
	return share
}

// heardZones returns the zones of the other hosts that this one hears.
func (s *Support) heardZones(now time.Time) map[string]bool {
	zones := make(map[string]bool)
	for _, h := range s.hosts {
		if now.Sub(h.seen) < namedPeriod {
			zones[h.zone] = true
		}
	}
	return zones
}
