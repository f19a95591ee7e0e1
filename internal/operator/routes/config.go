// Package routes holds the operator's configuration: which service answers
// requests for which host name and path, and how often and how long a request
// may be tried.
//
// A Config is immutable. Holder holds the one in force. Its version never
// decreases in one process, in whatever order versions arrive and whether they
// come from the platform's store or from another host.
package routes

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of requests that a route serves. It determines whether a
// request may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Once is the kind of requests that may run at most once for each attempt of
	// a caller.
	Once Kind = iota
	// Repeatable is the kind of requests that may run more than once.
	Repeatable
	// Stream is the kind of requests that are answered by numbered events.
	Stream
	// Batch is the kind of routes that accept jobs of many items.
	Batch
)

// String returns the name of a kind.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	case Batch:
		return "batch"
	}
	return "once"
}

// Share is the part of a route's requests that one service answers.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the route's shares.
	Weight float64
}

// Route maps the requests for a host name and a path prefix to services.
type Route struct {
	Name string
	// Host and Prefix select the requests by host name and path. Prefix begins
	// and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Shares is never empty.
	Shares []Share
	// Timeout is the longest time that a caller waits for its answer; 0 for no
	// limit.
	Timeout time.Duration
	// Objective is the target time to the first part of a response.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between events.
	PauseObjective time.Duration
	// Priority is 0 for the most urgent requests and higher for others.
	Priority int
	// MaxAttempts is the maximum number of servers that one request of a caller may
	// be sent to; at least 1.
	MaxAttempts int
	// Resumable reports whether a stream may be resumed on another server.
	Resumable bool
	// DueAfter is the time from the submission of a job to the time at which its
	// results are due. GiveUpAfter is the time from the submission until its items
	// may be given up; 0 for never.
	DueAfter    time.Duration
	GiveUpAfter time.Duration
	// TokenCap bounds the sum of the tokens of the items that wait on a batch
	// route, of each organisation if there are any; 0 for no bound.
	TokenCap int64
	// Public is set if requests need no key of an organisation.
	Public bool
}

// MayRepeat reports whether a request may be sent to a second server after the
// first may already have run it.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Batch || (r.Kind == Stream && r.Resumable)
}

// Allows reports whether a service is one of those that answer the route.
func (r *Route) Allows(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service {
			return true
		}
	}
	return false
}

// Pick chooses a service by weight. random is a uniformly distributed number in
// [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := random * total
	for _, share := range r.Shares {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the path of a backend server's health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one backend server
	// accepts from all clients.
	MaxConnections int
	// Engine reports whether the backend servers are model engines.
	Engine bool
}

// Limits bounds the size and the timing of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	version  int64
	source   []byte
	services map[string]Service
	limits   Limits
	// byHost holds the routes by host name, those with the longest prefix first.
	byHost        map[string][]*Route
	organisations Organisations
}

// New returns a configuration. source is the text that it was decoded from, in
// the form in which it is sent to other hosts.
func New(version int64, source []byte, list []*Route, services []Service, limits Limits) *Config {
	c := &Config{
		version: version, source: source, limits: limits,
		services: make(map[string]Service, len(services)), byHost: make(map[string][]*Route),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range list {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, hostRoutes := range c.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return c
}

// Version returns the version. A higher version is newer.
func (c *Config) Version() int64 { return c.version }

// Source returns the text that the configuration was decoded from.
func (c *Config) Source() []byte { return c.source }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the service with that name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Routes returns all routes, by host name and then as Match prefers them.
func (c *Config) Routes() []*Route {
	var list []*Route
	for _, host := range slices.Sorted(maps.Keys(c.byHost)) {
		list = append(list, c.byHost[host]...)
	}
	return list
}

// Services returns all services by name.
func (c *Config) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		list = append(list, c.services[name])
	}
	return list
}

// Match returns the route of the host name with the longest prefix of path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasBatch reports whether a host name has a route that accepts jobs.
func (c *Config) HasBatch(host string) bool {
	return slices.ContainsFunc(c.byHost[host], func(r *Route) bool { return r.Kind == Batch })
}

// HasPublicBatch reports whether a host name has a route that accepts jobs without a key.
func (c *Config) HasPublicBatch(host string) bool {
	return slices.ContainsFunc(c.byHost[host], func(r *Route) bool { return r.Kind == Batch && r.Public })
}

// MatchItem returns the batch route on which an item of a job runs. It is the route
// that Match selects for the path of the item. A path that other requests have is
// still the item's while the operator keeps the route that accepted the job, which
// is then the one returned. jobRoute is that route's name.
func (c *Config) MatchItem(host, path, jobRoute string) (*Route, bool) {
	if r, ok := c.Match(host, path); ok && r.Kind == Batch {
		return r, true
	}
	r, ok := c.RouteByName(jobRoute)
	return r, ok && r.Kind == Batch
}

// RouteByName returns the route with that name.
func (c *Config) RouteByName(name string) (*Route, bool) {
	for _, hostRoutes := range c.byHost {
		for _, r := range hostRoutes {
			if r.Name == name {
				return r, true
			}
		}
	}
	return nil, false
}
