package suspect

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// lossTTL is how long a lost call is remembered while its server is not known to
	// have ended. It is longer than package crash watches a server.
	lossTTL = 20 * time.Second
	// maxLosses is how many lost calls are remembered.
	maxLosses = 256
)

// Loss is a call that was lost with its connection to a server.
type Loss struct {
	// Server is the start of the server, Request the ID of the call.
	Server, Request string
	// Parts are the shared parts of the prompt, LastPart is the last one, "" for none.
	Parts    []string
	LastPart string
	Body     string
	// Events is how many events of the answer were sent, by servers before as well.
	Events int
	// SentAt is when the call was sent to the server, At when it was lost.
	SentAt, At time.Time
	// late is set for an item whose server may have ended before the item reached its
	// port.
	late bool
}

// end is what this host knows of a server that was found to have ended.
type end struct {
	// learnedAt is when this host learned of it, lostAt when it first lost a call with it,
	// zero if it did not.
	learnedAt, lostAt time.Time
	// answered is set if the server has answered a call that was sent after learnedAt.
	answered bool
}

// progress returns how far the run of the call may have got.
func (l Loss) progress(now time.Time) Progress {
	return Progress{Time: l.At.Sub(l.SentAt), Events: l.Events, Age: max(1, now.Sub(l.At))}
}

// RecordLoss remembers a call until its server is known to have ended. An item that was
// sent after the server was lost, or reported as ended, is no evidence: a port may be
// open although its server is down. A request is, since connections are also reset by
// servers that go on, and it may be the first to reach one after that.
func (g *Registry) RecordLoss(l Loss) {
	since, lost := g.lostSince(l.At, l.Server)
	l.late = lost && l.SentAt.After(since) && strings.HasPrefix(l.Body, itemPrefix)
	g.noteLost(l.At, l.Server)
	l.Parts = slices.Clone(l.Parts)
	g.losses = slices.DeleteFunc(g.losses, func(o Loss) bool { return l.At.Sub(o.At) >= lossTTL })
	g.losses = append(g.losses[max(0, len(g.losses)+1-maxLosses):], l)
}

// noteLost records that this host has reason to take a server for ended.
func (g *Registry) noteLost(now time.Time, server string) {
	if _, lost := g.lostSince(now, server); lost {
		return
	}
	if len(g.lost) >= maxRecords {
		maps.DeleteFunc(g.lost, func(_ string, at time.Time) bool { return now.Sub(at) >= lossTTL })
	}
	if len(g.lost) < maxRecords {
		g.lost[server] = now
	}
}

// lostSince returns since when this host has reason to take a server for ended, false
// if it has none.
func (g *Registry) lostSince(now time.Time, server string) (time.Time, bool) {
	at, lost := g.lost[server]
	return at, lost && now.Sub(at) < lossTTL
}

// RecordAlive records that a server answered a call that was sent at a time. Calls that
// it lost before are still remembered, and it stays in the records that name it: it may
// have started again since.
func (g *Registry) RecordAlive(server string, sentAt time.Time) {
	if at, lost := g.lost[server]; lost && sentAt.After(at) {
		delete(g.lost, server)
	}
	if e, ended := g.ends[server]; ended && sentAt.After(e.learnedAt) {
		e.answered = true
		g.ends[server] = e
	}
}

// noteEnd records that this host learned that a server has ended, with which it first lost
// a call at a time, zero for none.
func (g *Registry) noteEnd(now time.Time, server string, lostAt time.Time) {
	if _, known := g.ends[server]; !known && len(g.ends) >= maxRecords {
		maps.DeleteFunc(g.ends, func(_ string, e end) bool { return now.Sub(e.learnedAt) >= recordTTL })
		if len(g.ends) >= maxRecords {
			return
		}
	}
	if before := g.ends[server].lostAt; lostAt.IsZero() || !before.IsZero() && before.Before(lostAt) {
		lostAt = before
	}
	g.ends[server] = end{learnedAt: now, lostAt: lostAt}
}

// Answers reports whether a server has answered a call that was sent after this host
// learned that it had ended.
func (g *Registry) Answers(server string) bool { return g.ends[server].answered }

// RecordEnd records that a server has ended, and returns the calls that were lost
// with it, not after it, and not answered since.
func (g *Registry) RecordEnd(now time.Time, server string) []Loss {
	var lost []Loss
	var lostAt time.Time
	g.losses = slices.DeleteFunc(g.losses, func(l Loss) bool {
		ended := l.Server == server
		if ended && lostAt.IsZero() {
			lostAt = l.At
		}
		if ended && !l.late && now.Sub(l.At) < lossTTL {
			lost = append(lost, l)
		}
		return ended
	})
	g.noteEnd(now, server, lostAt)
	return lost
}

// ClearedByAnswers reports whether an answer to a body may clear anything.
func (g *Registry) ClearedByAnswers(now time.Time) bool {
	if n := len(g.losses); n > 0 && now.Sub(g.losses[n-1].At) >= lossTTL {
		g.losses = nil
	}
	return !g.Empty() || len(g.losses) > 0
}

// clearParts removes parts that were answered from the lost calls.
func (g *Registry) clearParts(parts []string) {
	for i := range g.losses {
		l := &g.losses[i]
		l.Parts = slices.DeleteFunc(l.Parts, func(part string) bool { return slices.Contains(parts, part) })
		if slices.Contains(parts, l.LastPart) {
			l.LastPart = ""
		}
	}
}

// clearBody removes the lost calls with a body that was answered.
func (g *Registry) clearBody(body string) {
	g.losses = slices.DeleteFunc(g.losses, func(l Loss) bool { return l.Body == body })
}
