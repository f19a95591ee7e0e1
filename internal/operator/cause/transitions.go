package cause

import (
	"sort"
	"time"
)

const (
	// unreachableAfter is the number of consecutive failed calls after which the
	// store is considered unreachable.
	unreachableAfter = 3
	// slowCallTime is the duration from which a call is slow; the store is
	// considered slow after slowAfter consecutive slow calls.
	slowCallTime = time.Second
	slowAfter    = 3
)

// EventNote is an event to be recorded because of a state transition.
type EventNote struct {
	Kind     string
	Cause    string
	Subjects []string
}

// silencePerZone is the time without heartbeats, for each other availability
// zone, after which a zone is considered cut off. It is multiplied by the number
// of other zones because heartbeats go to one of them at a time.
const silencePerZone = 3 * time.Second

// HostState is the state of a host as seen by the local host.
type HostState struct {
	Name    string
	Zone    string
	Alive   bool
	Leaving bool
	// LastSeen is the latest time at which the host is known to have been alive,
	// by its own messages or those of others.
	LastSeen time.Time
}

// HostTransitions turns changes in the state of other hosts into events. It is a
// pure state machine; NewHostTransitions returns one without any hosts.
//
// Single hosts are tracked only in the local zone, where heartbeats are
// frequent. A host of another zone sends heartbeats rarely, so other zones are
// tracked as a whole.
type HostTransitions struct {
	zone  string
	alive map[string]bool
	// cutOff holds the zones that are considered cut off.
	cutOff map[string]bool
}

// NewHostTransitions returns the state machine for a host in the given zone.
func NewHostTransitions(zone string) *HostTransitions {
	return &HostTransitions{zone: zone, alive: make(map[string]bool), cutOff: make(map[string]bool)}
}

// Update takes the current state of the hosts and returns an event for each
// change.
func (t *HostTransitions) Update(now time.Time, hosts []HostState) []EventNote {
	var notes []EventNote
	zones := make(map[string][]HostState)
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	for _, h := range hosts {
		if h.Zone == t.zone {
			notes = append(notes, t.updateHost(h)...)
		} else {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		notes = append(notes, t.updateZone(now, name, zones[name], time.Duration(len(zones))*silencePerZone)...)
	}
	return notes
}

// updateHost returns an event if a host of the local zone was lost, left or came
// back.
func (t *HostTransitions) updateHost(h HostState) []EventNote {
	wasAlive, known := t.alive[h.Name]
	t.alive[h.Name] = h.Alive
	switch {
	case known && wasAlive && !h.Alive && h.Leaving:
		return []EventNote{{"host gone", "it was stopped and left", []string{h.Name}}}
	case known && wasAlive && !h.Alive:
		return []EventNote{{"host lost", "no heartbeat came for several seconds", []string{h.Name}}}
	case known && !wasAlive && h.Alive:
		return []EventNote{{"host back", "heartbeats come again", []string{h.Name}}}
	}
	return nil
}

// updateZone returns an event if another zone was cut off or is reachable again,
// by the latest LastSeen of its hosts. In a zone with a single host, a network
// partition cannot be distinguished from the loss of the host, so that case is
// reported as a lost host.
func (t *HostTransitions) updateZone(now time.Time, name string, hosts []HostState, maxSilence time.Duration) []EventNote {
	subjects := []string{name}
	silent, remaining := true, 0
	for _, h := range hosts {
		subjects = append(subjects, h.Name)
		silent = silent && now.Sub(h.LastSeen) > maxSilence
		if !h.Leaving {
			remaining++
		}
	}
	wasCutOff := t.cutOff[name]
	t.cutOff[name] = silent && remaining > 0
	switch {
	case t.cutOff[name] && !wasCutOff && len(hosts) == 1:
		return []EventNote{{"host lost", "nothing is heard of the only host of zone " + name, []string{hosts[0].Name, name}}}
	case t.cutOff[name] && !wasCutOff:
		return []EventNote{{"zone cut off", "no host of zone " + name + " is heard any longer", subjects}}
	case !silent && wasCutOff:
		return []EventNote{{"zone reachable", "zone " + name + " is heard again", subjects}}
	}
	return nil
}

// Outcome is the outcome of a store call.
type Outcome uint8

// Outcomes of a store call.
const (
	// Answered means that the store answered, also if a condition of the call was
	// not met.
	Answered Outcome = iota
	// Unreachable means that the call failed and had no effect.
	Unreachable
	// ReplyLost means that it is unknown whether the call took effect.
	ReplyLost
)

// StoreTransitions turns the outcomes of store calls into events. It is a pure
// state machine; its zero value is a reachable store.
type StoreTransitions struct {
	failures, slowCalls int
	down, slow          bool
	downSince           time.Time
}

// RecordCall records the outcome and duration of a store call and returns an event
// for each change.
func (t *StoreTransitions) RecordCall(now time.Time, outcome Outcome, took time.Duration, fault string) []EventNote {
	subjects := []string{Platform}
	var notes []EventNote
	if outcome == ReplyLost {
		notes = append(notes, EventNote{"platform reply lost", "a write may have taken effect: " + fault, subjects})
	}
	if outcome != Answered {
		t.failures++
		if t.failures == unreachableAfter && !t.down {
			t.down, t.downSince = true, now
			notes = append(notes, EventNote{"platform store unreachable", fault, subjects})
		}
		return notes
	}
	t.failures = 0
	if t.down {
		t.down = false
		notes = append(notes, EventNote{"platform store reachable", "it answers again after " + now.Sub(t.downSince).Round(time.Second).String(), subjects})
	}
	return append(notes, t.updateSpeed(took)...)
}

// updateSpeed returns an event if the store became slow or fast again.
func (t *StoreTransitions) updateSpeed(took time.Duration) []EventNote {
	if took < slowCallTime {
		t.slowCalls = 0
		if t.slow {
			t.slow = false
			return []EventNote{{"platform store fast again", "a call took " + took.Round(time.Millisecond).String(), []string{Platform}}}
		}
		return nil
	}
	t.slowCalls++
	if t.slowCalls < slowAfter || t.slow {
		return nil
	}
	t.slow = true
	return []EventNote{{"platform store slow", "calls take " + took.Round(time.Millisecond).String(), []string{Platform}}}
}
