package scheduler

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/serverlimit"
)

// limitPenalty is added to the cost of a server whose limit is used up, and
// proportionally less to one whose limit is partly used.
const limitPenalty = 40 * time.Millisecond

// SetLimit stores the limit that an answer of a server named, in requests a
// second, 0 for none, and reports whether that is news.
func (p *Placer) SetLimit(now time.Time, server string, perSecond float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.limits.Set(now, server, perSecond)
	if changed {
		p.changed()
	}
	return changed
}

// MergeLimits stores limits that another host has reported; see
// serverlimit.Table.
func (p *Placer) MergeLimits(now time.Time, limits map[string]serverlimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Merge(now, limits)
}

// OwnLimits returns the limits that answers to this host named, by server.
func (p *Placer) OwnLimits(now time.Time) map[string]serverlimit.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Own(now)
}

// Limits returns the limits that are known, by server.
func (p *Placer) Limits(now time.Time) map[string]serverlimit.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.All(now)
}

// allowance returns how many requests of any host a server may get now, and the
// share of its limit that is used up. What a coordinator has granted counts until
// its host reports it.
func (p *Placer) allowance(now time.Time, server string) (n int, used float64) {
	return p.limits.Allowance(now, server, p.others.at(server).sent)
}
