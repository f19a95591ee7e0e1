package suspect

import (
	"slices"
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
	// Parts are the shared parts of the prompt if the server had begun to answer it.
	Parts []string
	Body  string
	// At is when the call was lost.
	At time.Time
}

// RecordLoss remembers a call until its server is known to have ended.
func (g *Registry) RecordLoss(l Loss) {
	l.Parts = slices.Clone(l.Parts)
	g.losses = slices.DeleteFunc(g.losses, func(o Loss) bool { return l.At.Sub(o.At) >= lossTTL })
	g.losses = append(g.losses[max(0, len(g.losses)+1-maxLosses):], l)
}

// RecordEnd records that a server has ended, and returns the calls that were lost
// with it and not answered since.
func (g *Registry) RecordEnd(now time.Time, server string) []Loss {
	var lost []Loss
	g.losses = slices.DeleteFunc(g.losses, func(l Loss) bool {
		ended := l.Server == server
		if ended && now.Sub(l.At) < lossTTL {
			lost = append(lost, l)
		}
		return ended
	})
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
	}
}

// clearBody removes the lost calls with a body that was answered.
func (g *Registry) clearBody(body string) {
	g.losses = slices.DeleteFunc(g.losses, func(l Loss) bool { return l.Body == body })
}
