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

// HostState is what is believed of a host.
type HostState struct {
	Name    string
	Zone    string
	Alive   bool
	Leaving bool
}

// HostTransitions turns the opinion on other hosts into events. It is a pure
// state machine; the zero value has seen nobody.
type HostTransitions struct {
	alive map[string]bool
	// cut holds the zones that count as cut off.
	cut map[string]bool
}

// Update takes the present opinion and returns what changed. If every host of
// a zone went silent, and there were at least two or the zone is not the only
// other one, the zone counts as cut off.
func (t *HostTransitions) Update(hosts []HostState) []Note {
	if t.alive == nil {
		t.alive, t.cut = make(map[string]bool), make(map[string]bool)
	}
	var notes []Note
	zones := make(map[string][]HostState)
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	for _, h := range hosts {
		zones[h.Zone] = append(zones[h.Zone], h)
		was, known := t.alive[h.Name]
		t.alive[h.Name] = h.Alive
		switch {
		case known && was && !h.Alive && h.Leaving:
			notes = append(notes, Note{"host gone", "it was stopped and left", []string{h.Name}})
		case known && was && !h.Alive:
			notes = append(notes, Note{"host lost", "no heartbeat came for several seconds", []string{h.Name}})
		case known && !was && h.Alive:
			notes = append(notes, Note{"host back", "heartbeats come again", []string{h.Name}})
		}
	}
	return append(notes, t.zones(zones)...)
}

func (t *HostTransitions) zones(zones map[string][]HostState) []Note {
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	sort.Strings(names)
	var notes []Note
	for _, name := range names {
		subjects := []string{name}
		silent, left := 0, 0
		for _, h := range zones[name] {
			subjects = append(subjects, h.Name)
			if h.Leaving && !h.Alive {
				left++
			} else if !h.Alive {
				silent++
			}
		}
		cut := silent > 0 && silent+left == len(zones[name]) && silent > 1
		switch {
		case cut && !t.cut[name]:
			notes = append(notes, Note{"zone cut off", "no host of zone " + name + " is heard any longer", subjects})
		case !cut && t.cut[name]:
			notes = append(notes, Note{"zone reachable", "hosts of zone " + name + " are heard again", subjects})
		}
		t.cut[name] = cut
	}
	return notes
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
