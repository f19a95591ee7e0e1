package cause

import (
	"sort"
	"time"
)

const (
	// downAfter is how many calls in a row have to fail before the store counts
	// as unreachable.
	downAfter = 3
	// slowCall is how long a call takes that counts as slow; slowAfter of them in
	// a row make the store slow.
	slowCall  = time.Second
	slowAfter = 3
)

// Note is an event that a transition asks to record.
type Note struct {
	Kind     string
	Cause    string
	Subjects []string
}

// cutPerZone is how long each other zone adds to the silence after which a
// zone counts as cut off: a heartbeat goes to one of them at a time.
const cutPerZone = 3 * time.Second

// HostState is what is believed of a host.
type HostState struct {
	Name    string
	Zone    string
	Alive   bool
	Leaving bool
	// Heard is when news of it came last.
	Heard time.Time
}

// HostTransitions turns the opinion on other hosts into events. It is a pure
// state machine; NewHostTransitions makes one that has seen nobody.
//
// Single hosts are judged only in the own zone, where heartbeats are frequent:
// a host of another zone is heard rarely, a zone as a whole often enough.
type HostTransitions struct {
	zone  string
	alive map[string]bool
	// cut holds the zones that count as cut off.
	cut map[string]bool
}

// NewHostTransitions returns the transitions that a host of a zone sees.
func NewHostTransitions(zone string) *HostTransitions {
	return &HostTransitions{zone: zone, alive: make(map[string]bool), cut: make(map[string]bool)}
}

// Update takes the present opinion and returns what changed.
func (t *HostTransitions) Update(now time.Time, hosts []HostState) []Note {
	var notes []Note
	zones := make(map[string][]HostState)
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	for _, h := range hosts {
		if h.Zone == t.zone {
			notes = append(notes, t.host(h)...)
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
		notes = append(notes, t.other(now, name, zones[name], time.Duration(len(zones))*cutPerZone)...)
	}
	return notes
}

func (t *HostTransitions) host(h HostState) []Note {
	was, known := t.alive[h.Name]
	t.alive[h.Name] = h.Alive
	switch {
	case known && was && !h.Alive && h.Leaving:
		return []Note{{"host gone", "it was stopped and left", []string{h.Name}}}
	case known && was && !h.Alive:
		return []Note{{"host lost", "no heartbeat came for several seconds", []string{h.Name}}}
	case known && !was && h.Alive:
		return []Note{{"host back", "heartbeats come again", []string{h.Name}}}
	}
	return nil
}

// other judges another zone by the latest news of any of its hosts. Of a zone
// with one host nobody can tell a cut from the loss of the host.
func (t *HostTransitions) other(now time.Time, name string, hosts []HostState, patience time.Duration) []Note {
	subjects := []string{name}
	silent, staying := true, 0
	for _, h := range hosts {
		subjects = append(subjects, h.Name)
		silent = silent && now.Sub(h.Heard) > patience
		if !h.Leaving {
			staying++
		}
	}
	was := t.cut[name]
	t.cut[name] = silent && staying > 0
	switch {
	case t.cut[name] && !was && len(hosts) == 1:
		return []Note{{"host lost", "nothing is heard of the only host of zone " + name, []string{hosts[0].Name, name}}}
	case t.cut[name] && !was:
		return []Note{{"zone cut off", "no host of zone " + name + " is heard any longer", subjects}}
	case !silent && was:
		return []Note{{"zone reachable", "zone " + name + " is heard again", subjects}}
	}
	return nil
}

// Outcome is how a call of the store ended.
type Outcome uint8

// The outcomes of a call.
const (
	// Answered is any answer, a refused comparison included.
	Answered Outcome = iota
	// Unreachable is a call that had no effect.
	Unreachable
	// ReplyLost is a call of which nobody knows whether it took effect.
	ReplyLost
)

// StoreTransitions turns the outcomes of store calls into events. It is a pure
// state machine; the zero value takes the store for reachable.
type StoreTransitions struct {
	failed, slow int
	down, slowed bool
	since        time.Time
}

// Ended takes the end of a call that took a while.
func (t *StoreTransitions) Ended(now time.Time, outcome Outcome, took time.Duration, fault string) []Note {
	subjects := []string{Platform}
	var notes []Note
	if outcome == ReplyLost {
		notes = append(notes, Note{"platform reply lost", "a write may have taken effect: " + fault, subjects})
	}
	if outcome != Answered {
		t.failed++
		if t.failed == downAfter && !t.down {
			t.down, t.since = true, now
			notes = append(notes, Note{"platform store unreachable", fault, subjects})
		}
		return notes
	}
	t.failed = 0
	if t.down {
		t.down = false
		notes = append(notes, Note{"platform store reachable", "it answers again after " + now.Sub(t.since).Round(time.Second).String(), subjects})
	}
	return append(notes, t.speed(took)...)
}

func (t *StoreTransitions) speed(took time.Duration) []Note {
	if took < slowCall {
		t.slow = 0
		if t.slowed {
			t.slowed = false
			return []Note{{"platform store fast again", "a call took " + took.Round(time.Millisecond).String(), []string{Platform}}}
		}
		return nil
	}
	t.slow++
	if t.slow < slowAfter || t.slowed {
		return nil
	}
	t.slowed = true
	return []Note{{"platform store slow", "calls take " + took.Round(time.Millisecond).String(), []string{Platform}}}
}
