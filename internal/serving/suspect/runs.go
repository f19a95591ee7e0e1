package suspect

import (
	"slices"
	"time"
)

// A part that crashes servers crashes each of them at some point of the run. A run with
// the part that is still there beyond the point at which another server ended refutes that
// the part ended that one. Popular parts without any answer yet are told apart by this: of
// many runs some are always further, while of a part that crashes servers none is.

const (
	// soundEvents is by how many events a run must be ahead of one that was lost. One
	// more may have been on its way when the server ended.
	soundEvents = 2
	// A run that is no further by its events must be ahead of one that was lost by slowLead
	// and slowFactor: servers differ in speed, and a call may wait for a slot.
	slowLead   = 150 * time.Millisecond
	slowFactor = 1.25
	// minSlowServers is the number of servers with such runs that refute an end. One may
	// have stopped answering.
	minSlowServers = 2
	// sameMoment is the longest time between the ends of servers that count as ended
	// together.
	sameMoment = 100 * time.Millisecond
	// maxRefuteWait bounds the time for which an end does not count since a run may still
	// refute it. A part that ends servers slowly is condemned that much later.
	maxRefuteWait = 500 * time.Millisecond
)

// Progress is how far a run has got.
type Progress struct {
	// Time is the time since the call was sent, 0 if it is not known.
	Time   time.Duration
	Events int
	// Age is how long ago it ended with its server, 0 if that is not known or it goes on.
	Age time.Duration
}

// Millis returns the time in milliseconds, rounded up, as 0 stands for an unknown one.
func (p Progress) Millis() int64 { return roundUp(p.Time) }

// AgeMillis is Millis for the age.
func (p Progress) AgeMillis() int64 { return roundUp(p.Age) }

func roundUp(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// atLeast returns the larger of both times and of both numbers of events.
func (p Progress) atLeast(o Progress) Progress {
	return Progress{Time: max(p.Time, o.Time), Events: max(p.Events, o.Events)}
}

// Run is a call with parts that is at a server. It is protected by the lock of the
// registry that has it.
type Run struct {
	server string
	parts  []string
	sentAt time.Time
	// events is how many events the server has sent.
	events int
}

// progress returns how far the run has got, if its server goes on.
func (r *Run) progress(now time.Time) Progress {
	return Progress{Time: now.Sub(r.sentAt), Events: r.events}
}

// outlasts reports whether a run has got further than a lost one by its events.
func (p Progress) outlasts(lost Progress) bool {
	return lost.Time > 0 && p.Time > lost.Time && p.Events >= lost.Events+soundEvents
}

// outlastsSlowly is outlasts for a run that is as far by its events, and further by its
// time only.
func (p Progress) outlastsSlowly(lost Progress) bool {
	return lost.Time > 0 && p.Events >= lost.Events && p.Time > lost.slowBound()
}

// slowBound returns the time after which a run is further than a lost one by its time.
func (p Progress) slowBound() time.Duration {
	return time.Duration(slowFactor*float64(p.Time)) + slowLead
}

// refutableUntil returns until when an end under a part does not count yet, as runs that
// were sent when the server ended may refute it until then. Ends under a body always count.
func (g *Registry) refutableUntil(r *Record, server string) time.Time {
	lost, learned := r.runs[server], g.ends[server].learnedAt
	if r.Depth == bodyDepth || lost.Time <= 0 || learned.IsZero() {
		return time.Time{}
	}
	return learned.Add(min(lost.slowBound(), maxRefuteWait))
}

// addRun records how far a run got at a server that ended, and when that was.
func (r *Record) addRun(now time.Time, server string, p Progress) {
	if p.Time <= 0 || !slices.Contains(r.Servers, server) {
		return
	}
	if r.runs == nil {
		r.runs = make(map[string]Progress)
	}
	r.runs[server] = r.runs[server].atLeast(p)
	if _, known := r.endedAt[server]; !known && p.Age > 0 {
		if r.endedAt == nil {
			r.endedAt = make(map[string]time.Time)
		}
		r.endedAt[server] = now.Add(-p.Age)
	}
}

// addRuns records what a report says of runs.
func (r *Record) addRuns(now time.Time, in Report) {
	for i, p := range in.Runs[:min(len(in.Runs), len(in.Servers))] {
		r.addRun(now, in.Servers[i], p)
	}
}

// outlasted reports whether a run with the part that ended with another server had got
// clearly further, by its events and its time, than those at a server: then the part did
// not end that one, as it would have ended the other no later. Servers that go together end
// runs at different points, and a part that crashes servers ends them at the same point.
func (r *Record) outlasted(server string) bool {
	lost := r.runs[server]
	if r.Depth == bodyDepth || lost.Time <= 0 {
		return false
	}
	for _, run := range r.runs {
		if run.outlasts(lost) && run.Time > lost.slowBound() {
			return true
		}
	}
	return false
}

// endedServer is a server that ended at a time.
type endedServer struct {
	server string
	at     time.Time
}

// endTimes says when servers ended.
type endTimes struct {
	at map[string]time.Time
	// list is in the order of time.
	list []endedServer
}

// endTimes returns when the servers ended whose end this host saw or was told of, where that
// is known.
func (g *Registry) endTimes(now time.Time) endTimes {
	t := endTimes{at: make(map[string]time.Time)}
	for server, e := range g.ends {
		if !e.lostAt.IsZero() {
			t.at[server] = e.lostAt
		}
	}
	for _, r := range g.records {
		if now.Before(r.ExpiresAt) {
			for server, at := range r.endedAt {
				if known, ok := t.at[server]; !ok || at.Before(known) {
					t.at[server] = at
				}
			}
		}
	}
	for server, at := range t.at {
		t.list = append(t.list, endedServer{server, at})
	}
	slices.SortFunc(t.list, func(a, b endedServer) int { return a.at.Compare(b.at) })
	return t
}

// around returns the servers that ended within sameMoment of a time.
func (t endTimes) around(at time.Time) []endedServer {
	first, _ := slices.BinarySearchFunc(t.list, at.Add(-sameMoment), func(e endedServer, from time.Time) int { return e.at.Compare(from) })
	n := first
	for n < len(t.list) && t.list[n].at.Sub(at) <= sameMoment {
		n++
	}
	return t.list[first:n]
}

// endedWithOthers reports whether most of the servers that ended together with a server
// were not ended by the part: whatever ended those ended all. Fewer may have ended for a
// reason of their own, such as another part.
func (r *Record) endedWithOthers(server string, times endTimes) bool {
	at, known := times.at[server]
	if r.Depth == bodyDepth || !known {
		return false
	}
	moment := times.around(at)
	var longest time.Duration
	for _, e := range moment {
		longest = max(longest, r.runs[e.server].Time)
	}
	others := 0
	for _, e := range moment {
		// A part ends servers together only if its requests came together.
		if !slices.Contains(r.Servers, e.server) || r.outlasted(e.server) || longest > r.runs[e.server].slowBound() {
			others++
		}
	}
	return 2*others > len(moment)
}

// commonDepth returns the depth of a part that was seen at two. A part that is not the
// last one of some prompt is shared.
func commonDepth(a, b int) int {
	if a < 0 || b < 0 {
		return max(a, b)
	}
	return min(a, b)
}

// BeginRun records that a call was sent to a server.
func (g *Registry) BeginRun(r *Run) { g.runs[r] = struct{}{} }

// EndRun records that a run ended, in whichever way.
func (g *Registry) EndRun(r *Run) { delete(g.runs, r) }

// RecordEvents records that a run has brought so many events in all. It returns the
// records of which it refuted ends.
func (g *Registry) RecordEvents(now time.Time, r *Run, events int) []Record {
	r.events = events
	return g.refute(now, r.parts, r.progress(now).outlasts)
}

// refute removes the ends from the records of parts that a run outlasts, and returns the
// records that changed.
func (g *Registry) refute(now time.Time, parts []string, outlasts func(lost Progress) bool) []Record {
	var changed []Record
	for _, part := range parts {
		r := g.lookup(now, part)
		if r == nil {
			continue
		}
		refuted := func(server string) bool { return outlasts(r.runs[server]) }
		if !slices.ContainsFunc(r.Servers, refuted) {
			continue
		}
		// Reports of the version before may share the list.
		r.Servers = slices.DeleteFunc(slices.Clone(r.Servers), refuted)
		r.Version++
		r.changedAt = now
		r.Steps, r.trialBy = min(r.Steps, len(r.Servers)), ""
		if len(r.Servers) == 0 {
			r.Trials, r.condemned, r.ExpiresAt = 0, false, now.Add(withdrawnTTL)
		}
		g.unsaved = g.unsaved || r.kept
		changed = append(changed, *r)
	}
	if len(changed) > 0 {
		g.judge(now)
	}
	return changed
}

// compares reports whether runs with a part are compared with lost ones: enough servers
// ended under it that the next may condemn it.
func (g *Registry) compares(now time.Time, part string) bool {
	r := g.lookup(now, part)
	return r != nil && len(r.Servers) >= keptServers
}

// Slow returns the servers at which runs have been for longer than accused parts let them
// be, if these servers go on, and whether to ask again soon: some run is compared.
func (g *Registry) Slow(now time.Time) (servers []string, again bool) {
	for run := range g.runs {
		for _, part := range run.parts {
			if !g.compares(now, part) {
				continue
			}
			again = true
			r := g.records[part]
			for _, s := range r.Servers {
				if run.progress(now).outlastsSlowly(r.runs[s]) && !slices.Contains(servers, run.server) {
					servers = append(servers, run.server)
				}
			}
		}
	}
	slices.Sort(servers)
	return servers, again
}

// RecordReached records that servers of Slow can be reached. It returns the records of
// which runs there refuted ends.
func (g *Registry) RecordReached(now time.Time, servers []string) []Record {
	runs := make(map[string][]*Run)
	for run := range g.runs {
		if slices.Contains(servers, run.server) {
			for _, part := range run.parts {
				runs[part] = append(runs[part], run)
			}
		}
	}
	var changed []Record
	for part, list := range runs {
		changed = append(changed, g.refute(now, []string{part}, func(lost Progress) bool {
			further := make(map[string]bool)
			for _, run := range list {
				if run.progress(now).outlastsSlowly(lost) {
					further[run.server] = true
				}
			}
			return len(further) >= minSlowServers
		})...)
	}
	return changed
}
