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
	// silentLead is how long a run without events must be ahead of one that was lost, and
	// silentFactor by how much: servers differ in speed, and a call may wait for a slot.
	silentLead   = 150 * time.Millisecond
	silentFactor = 1.25
	// minSilentServers is the number of servers with such runs that refute an end. One
	// may have stopped answering.
	minSilentServers = 2
)

// Progress is how far a run has got.
type Progress struct {
	// Time is the time since the call was sent, 0 if it is not known.
	Time   time.Duration
	Events int
}

// Millis returns the time in milliseconds, rounded up, as 0 stands for an unknown one.
func (p Progress) Millis() int64 { return int64((p.Time + time.Millisecond - 1) / time.Millisecond) }

// atLeast returns the larger of both times and of both numbers of events.
func (p Progress) atLeast(o Progress) Progress {
	return Progress{max(p.Time, o.Time), max(p.Events, o.Events)}
}

// Run is a call with parts that is at a server. It is protected by the lock of the
// registry that has it.
type Run struct {
	server string
	parts  []string
	sentAt time.Time
	// events is how many events the server has sent, lastAt when it sent the last one.
	events int
	lastAt time.Time
}

// progress returns how far the run has certainly got.
func (r *Run) progress(now time.Time) Progress {
	if r.events > 0 {
		now = r.lastAt
	}
	return Progress{now.Sub(r.sentAt), r.events}
}

// outlasts reports whether a run that has brought events has got further than a lost one.
func (p Progress) outlasts(lost Progress) bool {
	return lost.Time > 0 && p.Time > lost.Time && p.Events >= lost.Events+soundEvents
}

// outlastsInSilence is outlasts for a run without events.
func (p Progress) outlastsInSilence(lost Progress) bool {
	return lost.Time > 0 && lost.Events == 0 && p.Time > time.Duration(silentFactor*float64(lost.Time))+silentLead
}

// refutableUntil returns until when an end under a part does not count yet, as runs that
// were sent when the server ended can refute it by then. Only the first part of a prompt
// waits: most requests may share it, and further parts tell apart those that don't.
func (g *Registry) refutableUntil(r *Record, server string) time.Time {
	lost := r.runs[server]
	learned := g.ends[server].learnedAt
	if r.Depth > 0 || r.rank() <= lastRank || lost.Time <= 0 || learned.IsZero() {
		return time.Time{}
	}
	return learned.Add(time.Duration(silentFactor*float64(lost.Time)) + silentLead)
}

// addRun records how far a run got at a server that ended.
func (r *Record) addRun(server string, p Progress) {
	if p.Time <= 0 || !slices.Contains(r.Servers, server) {
		return
	}
	if r.runs == nil {
		r.runs = make(map[string]Progress)
	}
	r.runs[server] = r.runs[server].atLeast(p)
}

// addRuns records what a report says of runs.
func (r *Record) addRuns(in Report) {
	for i, p := range in.Runs[:min(len(in.Runs), len(in.Servers))] {
		r.addRun(in.Servers[i], p)
	}
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
	r.events, r.lastAt = events, now
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

// Silent returns the servers at which runs without events have been for longer than
// accused parts let them be, if these servers go on, and whether to ask again soon: some
// run without events has an accused part.
func (g *Registry) Silent(now time.Time) (servers []string, again bool) {
	for run := range g.runs {
		if run.events > 0 {
			continue
		}
		for _, part := range run.parts {
			r := g.lookup(now, part)
			if r == nil || len(r.Servers) < keptServers {
				continue
			}
			again = true
			for _, s := range r.Servers {
				if run.progress(now).outlastsInSilence(r.runs[s]) && !slices.Contains(servers, run.server) {
					servers = append(servers, run.server)
				}
			}
		}
	}
	slices.Sort(servers)
	return servers, again
}

// RecordReached records that servers of Silent can be reached. It returns the records of
// which runs there refuted ends.
func (g *Registry) RecordReached(now time.Time, servers []string) []Record {
	// longest holds the time of the longest run at each server, by part.
	longest := make(map[string]map[string]time.Duration)
	for run := range g.runs {
		if run.events > 0 || !slices.Contains(servers, run.server) {
			continue
		}
		for _, part := range run.parts {
			if longest[part] == nil {
				longest[part] = make(map[string]time.Duration)
			}
			longest[part][run.server] = max(longest[part][run.server], run.progress(now).Time)
		}
	}
	var changed []Record
	for part, byServer := range longest {
		var times []time.Duration
		for _, t := range byServer {
			times = append(times, t)
		}
		if len(times) < minSilentServers {
			continue
		}
		slices.Sort(times)
		agreed := Progress{Time: times[len(times)-minSilentServers]}
		changed = append(changed, g.refute(now, []string{part}, agreed.outlastsInSilence)...)
	}
	return changed
}
