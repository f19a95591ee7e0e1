// Package serverlimit keeps the limits that backend servers name. A server in need
// names in its answers the requests a second that it takes from all hosts
// together.
//
// Every host records when it sent requests to such a server and reports how many
// these were within the window of the limit. A server whose window is used up gets
// nothing; one whose window is partly used up should be chosen later than its
// neighbours. Requests of all kinds count, also those that the server refuses.
// Hosts with the same view may exceed the limit by the requests that they place
// while their reports are on the way.
//
// The latest answer of a server counts, whichever host got it. One without a limit
// ends the limit, also that of an earlier start of the server.
//
// The package reads neither the clock nor the network.
package serverlimit

import (
	"math"
	"time"
)

const (
	// window is the time over which requests to a limited server are counted,
	// unless the limit allows less than one in it. A shorter window would leave
	// the fractions of small limits unused.
	window = 4 * time.Second
	// onlineShare is the share of a window that batch items leave free for online
	// requests.
	onlineShare = 1.0 / 3
	// ttl is how long a limit holds that no answer has named again.
	ttl = time.Minute
	// Unlimited is the allowance of a server without a limit.
	Unlimited = math.MaxInt
)

// Limit is the limit that a server named in an answer.
type Limit struct {
	// PerSecond is the limit, 0 if the answer named none.
	PerSecond float64
	// Age is the time since the answer.
	Age time.Duration
}

// serverLimit is the limit of one server.
type serverLimit struct {
	// perSecond is 0 if the server has stopped naming a limit. at is when it was
	// last heard of, ownAt when this host last got an answer that said so.
	perSecond float64
	at, ownAt time.Time
	// sends holds when this host sent requests, within the window.
	sends []time.Time
}

func (l *serverLimit) inForce(now time.Time) bool {
	return l != nil && l.perSecond > 0 && now.Sub(l.at) < ttl
}

// span returns the time over which requests are counted.
func (l *serverLimit) span() time.Duration {
	return max(window, time.Duration(float64(time.Second)/l.perSecond))
}

// perWindow returns the number of requests that the window allows.
func (l *serverLimit) perWindow() int {
	return max(1, int(l.perSecond*l.span().Seconds()))
}

// sent returns the number of this host's requests within the window.
func (l *serverLimit) sent(now time.Time) int {
	if !l.inForce(now) {
		l.sends = nil
		return 0
	}
	n := 0
	for n < len(l.sends) && now.Sub(l.sends[n]) >= l.span() {
		n++
	}
	l.sends = l.sends[n:]
	return len(l.sends)
}

// Table holds the limits of all servers that named one. It is not safe for
// concurrent use.
type Table struct {
	// limits also holds those that have ended, until they are out of date.
	limits map[string]*serverLimit
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: make(map[string]*serverLimit)} }

// Set stores the limit that an answer of a server named, 0 for none, and
// reports whether that is news.
func (t *Table) Set(now time.Time, server string, perSecond float64) bool {
	l := t.limits[server]
	if l == nil {
		if perSecond == 0 {
			return false
		}
		l = &serverLimit{}
		t.limits[server] = l
	}
	changed := l.perSecond != perSecond
	l.perSecond, l.at, l.ownAt = perSecond, now, now
	return changed
}

// Merge stores limits that another host has reported, unless later answers are
// known.
func (t *Table) Merge(now time.Time, limits map[string]Limit) {
	for server, reported := range limits {
		at := now.Add(-reported.Age)
		l := t.limits[server]
		switch {
		case l == nil:
			t.limits[server] = &serverLimit{perSecond: reported.PerSecond, at: at}
		case at.After(l.at):
			l.perSecond, l.at = reported.PerSecond, at
		}
	}
}

// Own returns the limits that answers to this host named, by server, without those
// of which another host has reported a later answer. Reporting these too would
// make an answer look younger each time that it is passed on.
func (t *Table) Own(now time.Time) map[string]Limit {
	return t.since(now, func(l *serverLimit) time.Time { return l.ownAt })
}

// All returns the limits that are known, by server.
func (t *Table) All(now time.Time) map[string]Limit {
	return t.since(now, func(l *serverLimit) time.Time { return l.at })
}

// since returns the limits whose last answer came at the time that at gives. It
// drops those that are out of date.
func (t *Table) since(now time.Time, at func(*serverLimit) time.Time) map[string]Limit {
	if len(t.limits) == 0 {
		return nil
	}
	limits := make(map[string]Limit, len(t.limits))
	for server, l := range t.limits {
		if now.Sub(l.at) >= ttl {
			delete(t.limits, server)
			continue
		}
		if age := now.Sub(at(l)); age < ttl && at(l).Equal(l.at) {
			limits[server] = Limit{PerSecond: l.perSecond, Age: age}
		}
	}
	return limits
}

// RecordSend counts a request of this host at a limited server.
func (t *Table) RecordSend(now time.Time, server string) {
	if l := t.limits[server]; l.inForce(now) {
		l.sends = append(l.sends, now)
	}
}

// Sent returns the number of this host's requests at a server within the window of
// its limit.
func (t *Table) Sent(now time.Time, server string) int {
	if l := t.limits[server]; l != nil {
		return l.sent(now)
	}
	return 0
}

// Counts returns what Sent returns, for all servers for which it is not 0.
func (t *Table) Counts(now time.Time) map[string]int {
	counts := make(map[string]int, len(t.limits))
	for server, l := range t.limits {
		if n := l.sent(now); n > 0 {
			counts[server] = n
		}
	}
	return counts
}

// Remove drops the limit of a server that has been removed.
func (t *Table) Remove(server string) { delete(t.limits, server) }

// Allowance returns how many requests a server may get now, and the share of its
// window that is used up. others is the number of requests of other hosts within
// the window.
func (t *Table) Allowance(now time.Time, server string, others int) (n int, used float64) {
	l := t.limits[server]
	if !l.inForce(now) {
		return Unlimited, 0
	}
	sent := l.sent(now) + others
	return max(0, l.perWindow()-sent), min(1, float64(sent)/float64(l.perWindow()))
}

// BatchAllowance is Allowance for batch items.
func (t *Table) BatchAllowance(now time.Time, server string, others int) int {
	n, _ := t.Allowance(now, server, others)
	if n == Unlimited {
		return n
	}
	return max(0, n-int(onlineShare*float64(t.limits[server].perWindow())))
}
