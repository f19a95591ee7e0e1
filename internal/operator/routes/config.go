// Package routes holds the operator's configuration in the product's own
// terms: which service answers which host name and path, and what may be done
// with a request on the way.
//
// A Config is immutable once it is made. Holder keeps the one in force: its
// version only ever increases in one process, whatever order versions arrive
// in and whichever way (the platform's store or another host) they come.
package routes

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Once is a request that may run at most once for each attempt of a caller.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is answered by numbered events.
	Stream
	// Batch accepts jobs of many items.
	Batch
)

// Share is one of several services that a route is split among.
type Share struct {
	Service string
	// Weight is the share of the requests; only the proportion counts.
	Weight float64
}

// Route is one entry of the configuration.
type Route struct {
	Name string
	// Host is the host name and Prefix the beginning of the path that select
	// the route; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Shares is never empty.
	Shares []Share
	// Timeout is the longest time a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// Objective is the time to the first piece of an answer that is on time.
	Objective time.Duration
	// PauseObjective is the longest pause between events that is on time.
	PauseObjective time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Attempts is the most servers that one attempt of a caller may be sent to;
	// at least 1.
	Attempts int
	// Resumable says that a stream may go on at another server.
	Resumable bool
	// Due is the time from the hand-in of a job to the time its results are
	// wanted; KeepFor the time after which an item may be given up.
	Due     time.Duration
	KeepFor time.Duration
	// TokenCap bounds the tokens waiting on a batch route; 0 for no bound.
	TokenCap int64
}

// MayRepeat reports whether a request may run on a second server after it may
// have run on a first.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Batch || (r.Kind == Stream && r.Resumable)
}

// Allows reports whether the route may be answered by a service.
func (r *Route) Allows(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service {
			return true
		}
	}
	return false
}

// Pick returns the service for a draw in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	at := draw * total
	for _, share := range r.Shares {
		if at -= share.Weight; at < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of back ends that answer the same requests.
type Service struct {
	Name string
	// HealthPath is where a back end tells its health.
	HealthPath string
	// Connections is the most that one back end accepts from all callers.
	Connections int
	// Engine says that the back ends are model engines.
	Engine bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's text.
type Config struct {
	version  int64
	source   []byte
	services map[string]Service
	limits   Limits
	// byHost holds the routes of a host name, longest prefix first.
	byHost map[string][]*Route
}

// New returns a configuration; source is the text it was read from, as it is
// handed to other hosts.
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
	for _, of := range c.byHost {
		sort.SliceStable(of, func(i, j int) bool { return len(of[i].Prefix) > len(of[j].Prefix) })
	}
	return c
}

// Version returns the version; higher ones are newer.
func (c *Config) Version() int64 { return c.version }

// Source returns the text the configuration was read from.
func (c *Config) Source() []byte { return c.source }

// Limits returns what callers may send.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the route with the longest prefix that begins path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Named returns a route by its name.
func (c *Config) Named(name string) (*Route, bool) {
	for _, of := range c.byHost {
		for _, r := range of {
			if r.Name == name {
				return r, true
			}
		}
	}
	return nil, false
}
