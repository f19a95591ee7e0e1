package route

import (
	"slices"
	"time"
)

// Health is what a router knows of all back ends of a model or service.
type Health uint8

// The states of health.
const (
	// NotServed says that the text names no such service.
	NotServed Health = iota
	// Down says that no back end may get a request now.
	Down
	// Probing says that a back end that failed may get one request.
	Probing
	// Up says that a back end is usable and did not fail last.
	Up
)

// Health returns the state of the back ends of a model, or if that is empty of
// a plain service.
func (r *Router) Health(now time.Time, model, service string) Health {
	p := r.models[model]
	if model == "" {
		p = r.plain[service]
	}
	if p == nil {
		return NotServed
	}
	health := Down
	for _, servers := range [2][]*server{p.near, p.far} {
		for _, s := range servers {
			switch {
			case !s.usable(now, nil):
			case s.failures == 0:
				return Up
			default:
				health = Probing
			}
		}
	}
	return health
}

// SetUnready takes, by model, the engines that are said not to be ready with
// it. That is a hint: if it leaves no engine for a model, all of them count.
func (r *Router) SetUnready(unready map[string][]string) {
	r.unready = unready
	if r.text != nil {
		r.pools()
	}
}

func (r *Router) readyOnes(model string, servers []*server) []*server {
	ready := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool {
		return slices.Contains(r.unready[model], s.backend.Name)
	})
	if len(ready) == 0 {
		return servers
	}
	return ready
}
