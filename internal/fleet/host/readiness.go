package host

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// unreadyTTL is how long a host's report on unready engines is used.
const unreadyTTL = 5 * time.Second

// readiness merges the reports of the zones' placement hosts on engines that are
// not ready with a model. The reports are hints and expire.
type readiness struct {
	// reports holds the last report of each host, without empty ones.
	reports map[string]report
	// lastPairs are the merged pairs as of the last update, sorted.
	lastPairs []string
}

// report lists engines that are not ready, as pairs ENGINE/MODEL.
type report struct {
	pairs []string
	at    time.Time
}

// update stores the report of a host. If the merged reports have changed, it
// returns the unready engines by model and true.
func (r *readiness) update(now time.Time, host string, pairs []string) (map[string][]string, bool) {
	if r.reports == nil {
		r.reports = make(map[string]report)
	}
	r.reports[host] = report{pairs: pairs, at: now}
	maps.DeleteFunc(r.reports, func(_ string, rep report) bool { return len(rep.pairs) == 0 || now.Sub(rep.at) >= unreadyTTL })
	var all []string
	for _, rep := range r.reports {
		all = append(all, rep.pairs...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	if slices.Equal(all, r.lastPairs) {
		return nil, false
	}
	r.lastPairs = all
	models := make(map[string][]string)
	for _, pair := range all {
		if engine, model, ok := strings.Cut(pair, "/"); ok {
			models[model] = append(models[model], engine)
		}
	}
	return models, true
}

// updateReadiness applies the report of a host, which may be this one, and
// passes a change on to the dispatcher.
func (h *Host) updateReadiness(host string, pairs []string) {
	h.mu.Lock()
	models, changed := h.readiness.update(h.timer.Now(), host, pairs)
	h.mu.Unlock()
	if changed {
		h.dispatcher.SetUnready(models)
	}
}

// unreadyPairs returns this host's own report, empty unless it holds the
// placement lease.
func (p *placer) unreadyPairs(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.holdsLease(now) {
		return nil
	}
	return p.planner.Unready()
}
