package host

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// unreadyFor is how long a host's word on engines that are not ready counts.
const unreadyFor = 5 * time.Second

// readiness collects what the zones' placement hosts say of engines that are
// not ready with a model. It is a hint that expires.
type readiness struct {
	// said holds the last word of each host that said anything.
	said map[string]word
	last []string
}

type word struct {
	pairs []string
	at    time.Time
}

// learn takes the word of a host and returns, if that is news, the engines by
// model that are not ready.
func (r *readiness) learn(now time.Time, host string, pairs []string) (map[string][]string, bool) {
	if r.said == nil {
		r.said = make(map[string]word)
	}
	r.said[host] = word{pairs: pairs, at: now}
	maps.DeleteFunc(r.said, func(_ string, w word) bool { return len(w.pairs) == 0 || now.Sub(w.at) >= unreadyFor })
	var all []string
	for _, w := range r.said {
		all = append(all, w.pairs...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	if slices.Equal(all, r.last) {
		return nil, false
	}
	r.last = all
	models := make(map[string][]string)
	for _, pair := range all {
		if engine, model, ok := strings.Cut(pair, "/"); ok {
			models[model] = append(models[model], engine)
		}
	}
	return models, true
}

// learnReadiness takes the word of a host, also of this one.
func (h *Host) learnReadiness(host string, pairs []string) {
	h.mu.Lock()
	models, news := h.readiness.learn(h.timer.Now(), host, pairs)
	h.mu.Unlock()
	if news {
		h.dispatcher.SetUnready(models)
	}
}

// unready returns this host's own word.
func (p *placer) unready(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held(now) {
		return nil
	}
	return p.planner.Unready()
}
