package scheduler

import (
	"math"
	"time"
)

// A server in need names a limit: the requests a second that it takes from all
// hosts together. Every host records when it sent requests to such a server and
// reports how many these were within the window of the limit. A server whose
// window is used up gets nothing; one whose window is partly used up is chosen
// later than its neighbours. Requests of all kinds count, also those that the
// server refuses. What a coordinator has granted counts until its host reports
// it. Hosts with the same view may exceed the limit by the requests that they
// place while their reports are on the way.

const (
	// limitWindow is the time over which requests to a limited server are counted,
	// unless the limit allows less than one in it. A shorter window would leave
	// the fractions of small limits unused.
	limitWindow = 4 * time.Second
	// onlineLimitShare is the share of a window that batch items leave free for
	// online requests.
	onlineLimitShare = 1.0 / 3
	// limitPenalty is added to the cost of a server whose window is used up, and
	// proportionally less to one whose window is partly used.
	limitPenalty = 40 * time.Millisecond
	// limitTTL is how long a limit holds that no answer has named again.
	limitTTL = time.Minute
	// unlimited is the allowance of a server without a limit.
	unlimited = math.MaxInt
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
	return l != nil && l.perSecond > 0 && now.Sub(l.at) < limitTTL
}

// window returns the time over which requests are counted.
func (l *serverLimit) window() time.Duration {
	return max(limitWindow, time.Duration(float64(time.Second)/l.perSecond))
}

// perWindow returns the number of requests that the window allows.
func (l *serverLimit) perWindow() int {
	return max(1, int(l.perSecond*l.window().Seconds()))
}

// sent returns the number of this host's requests within the window.
func (l *serverLimit) sent(now time.Time) int {
	if !l.inForce(now) {
		l.sends = nil
		return 0
	}
	n := 0
	for n < len(l.sends) && now.Sub(l.sends[n]) >= l.window() {
		n++
	}
	l.sends = l.sends[n:]
	return len(l.sends)
}

// SetLimit stores the limit that an answer of a server named, 0 for none, and
// reports whether that is news.
func (p *Placer) SetLimit(now time.Time, server string, perSecond float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[server]
	if l == nil {
		if perSecond == 0 {
			return false
		}
		l = &serverLimit{}
		p.limits[server] = l
	}
	changed := l.perSecond != perSecond
	l.perSecond, l.at, l.ownAt = perSecond, now, now
	if changed {
		p.changed()
	}
	return changed
}

// MergeLimits stores limits that another host has reported, unless later answers
// are known.
func (p *Placer) MergeLimits(now time.Time, limits map[string]Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergeLimits(now, limits)
}

func (p *Placer) mergeLimits(now time.Time, limits map[string]Limit) {
	for server, reported := range limits {
		at := now.Add(-reported.Age)
		l := p.limits[server]
		switch {
		case l == nil:
			p.limits[server] = &serverLimit{perSecond: reported.PerSecond, at: at}
		case at.After(l.at):
			l.perSecond, l.at = reported.PerSecond, at
		}
	}
}

// OwnLimits returns the limits that answers to this host named, by server.
func (p *Placer) OwnLimits(now time.Time) map[string]Limit {
	return p.limitsSince(now, func(l *serverLimit) time.Time { return l.ownAt })
}

// Limits returns the limits that are known, by server.
func (p *Placer) Limits(now time.Time) map[string]Limit {
	return p.limitsSince(now, func(l *serverLimit) time.Time { return l.at })
}

// limitsSince returns the limits with the ages that since gives. It drops those
// that are out of date.
func (p *Placer) limitsSince(now time.Time, since func(*serverLimit) time.Time) map[string]Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.limits) == 0 {
		return nil
	}
	limits := make(map[string]Limit, len(p.limits))
	for server, l := range p.limits {
		if now.Sub(l.at) >= limitTTL {
			delete(p.limits, server)
			continue
		}
		if age := now.Sub(since(l)); age < limitTTL && since(l).Equal(l.at) {
			limits[server] = Limit{PerSecond: l.perSecond, Age: age}
		}
	}
	return limits
}

// recordSend counts a request of this host at a limited server.
func (p *Placer) recordSend(now time.Time, server string) {
	if l := p.limits[server]; l.inForce(now) {
		l.sends = append(l.sends, now)
	}
}

// allowance returns how many requests a server may get now, and the share of its
// window that is used up.
func (p *Placer) allowance(now time.Time, server string) (n int, used float64) {
	l := p.limits[server]
	if !l.inForce(now) {
		return unlimited, 0
	}
	sent := l.sent(now) + p.others.at(server).sent
	return max(0, l.perWindow()-sent), min(1, float64(sent)/float64(l.perWindow()))
}

// batchAllowance returns how many batch items a server may get now.
func (p *Placer) batchAllowance(now time.Time, server string) int {
	n, _ := p.allowance(now, server)
	if n == unlimited {
		return n
	}
	return max(0, n-int(onlineLimitShare*float64(p.limits[server].perWindow())))
}
