package route

import (
	"slices"
	"time"
)

// Health is the combined state of all backend servers of a model or service.
type Health uint8

// The health states.
const (
	// NotServed means that the services text has no such model or service.
	NotServed Health = iota
	// Down means that no backend server may get a request now.
	Down
	// Probing means that only backend servers whose last connection failed may get
	// a request, as a probe.
	Probing
	// Up means that a backend server is usable and its last connection did not
	// fail.
	Up
)

// Health returns the state of the backend servers of a model or, if model is
// empty, of a plain service.
func (r *Router) Health(now time.Time, model, service string) Health {
	p := r.models[model]
	if model == "" {
		p = r.plain[service]
	}
	if p == nil {
		return NotServed
	}
	health := Down
	for _, servers := range [2][]*server{p.local, p.remote} {
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

// SetUnready sets, by model, the engines that are reported as not ready with it.
// This is a hint: if it would leave no engine for a model, it is ignored for
// that model.
func (r *Router) SetUnready(unready map[string][]string) {
	r.unready = unready
	if r.config != nil {
		r.rebuildPools()
	}
}

// filterReady returns the servers that are not reported as unready with the
// model, or all of them if none is left.
func (r *Router) filterReady(model string, servers []*server) []*server {
	ready := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool {
		return slices.Contains(r.unready[model], s.backend.Name)
	})
	if len(ready) == 0 {
		return servers
	}
	return ready
}
