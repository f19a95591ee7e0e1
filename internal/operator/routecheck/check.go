// Package routecheck examines a configuration before it is put in force: what in it can't
// work or can never be used, and what differs from the version in force. It reads no file
// and changes nothing.
//
// An error is something that callers would be refused for although the operator meant them
// to be served. A warning is something that has no effect or contradicts another setting,
// while requests are still served.
package routecheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
)

// Severity is how much a finding matters.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Subject is the route, service or organisation that the finding is about.
	Subject string `json:"subject"`
	Problem string `json:"problem"`
}

// findings collects the findings of one configuration.
type findings []Finding

func (f *findings) add(s Severity, subject, format string, args ...any) {
	*f = append(*f, Finding{s, subject, fmt.Sprintf(format, args...)})
}

// Check returns the findings of a configuration, errors first.
func Check(c *routes.Config) []Finding {
	var found findings
	for _, r := range c.Routes() {
		checkRoute(&found, c, r)
	}
	checkMatches(&found, c)
	checkServices(&found, c)
	checkOrganisations(&found, c)
	checkLimits(&found, c.Limits())
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return found
}

func routeSubject(r *routes.Route) string { return "route " + r.Name }

// checkRoute checks the settings of one route against each other.
func checkRoute(found *findings, c *routes.Config, r *routes.Route) {
	subject := routeSubject(r)
	if r.Name == "" {
		found.add(Error, subject, "it has no name, so jobs that it accepts can't be told from those of others")
	}
	total := 0.0
	for _, share := range r.Shares {
		if _, known := c.Service(share.Service); !known {
			found.add(Error, subject, "service %q is not listed", share.Service)
		}
		if share.Weight < 0 {
			found.add(Error, subject, "service %q has the negative weight %g", share.Service, share.Weight)
		}
		total += max(0, share.Weight)
	}
	if total == 0 {
		found.add(Error, subject, "the weights of its services add up to 0")
	}
	if r.Timeout > 0 && r.Kind != routes.Batch {
		if r.Objective > r.Timeout {
			found.add(Warning, subject, "its objective of %s is longer than its timeout of %s", r.Objective, r.Timeout)
		}
		if r.Kind == routes.Stream && r.PauseObjective > r.Timeout {
			found.add(Warning, subject, "its objective for pauses of %s is longer than its timeout of %s", r.PauseObjective, r.Timeout)
		}
	}
	if r.Resumable && r.Kind != routes.Stream {
		found.add(Warning, subject, "only streams can be resumed")
	}
	if r.Kind == routes.Once && r.MaxAttempts > 1 {
		found.add(Warning, subject, "a request that may run only once is sent to a second server only if the first certainly did not run it")
	}
	if r.Kind != routes.Batch {
		if r.DueAfter > 0 || r.GiveUpAfter > 0 || r.TokenCap > 0 {
			found.add(Warning, subject, "it accepts no jobs, so its due time, give-up time and bound on waiting tokens have no effect")
		}
		return
	}
	if r.DueAfter == 0 {
		found.add(Warning, subject, "its jobs are due at once, so all their items are late")
	}
	if r.GiveUpAfter > 0 && r.GiveUpAfter < r.DueAfter {
		found.add(Warning, subject, "items may be given up after %s, before they are due after %s", r.GiveUpAfter, r.DueAfter)
	}
}

// checkMatches finds routes that no request can match.
func checkMatches(found *findings, c *routes.Config) {
	type place struct{ host, prefix string }
	first := make(map[place]*routes.Route)
	names := make(map[string]bool)
	for _, r := range c.Routes() {
		if names[r.Name] && r.Name != "" {
			found.add(Error, routeSubject(r), "another route has the same name")
		}
		names[r.Name] = true
		switch p := (place{r.Host, r.Prefix}); {
		case r.Host == "":
			found.add(Error, routeSubject(r), "it can never match: it has no host name")
		case r.Host != strings.ToLower(r.Host):
			found.add(Warning, routeSubject(r), "its host name %q has capitals, and matches only callers that write it alike", r.Host)
		case !strings.HasPrefix(r.Prefix, "/"):
			found.add(Error, routeSubject(r), "it can never match: its prefix %q does not begin with a slash", r.Prefix)
		case !strings.HasSuffix(r.Prefix, "/"):
			found.add(Warning, routeSubject(r), "its prefix %q does not end with a slash, and also matches longer names", r.Prefix)
		case first[p] != nil:
			found.add(Error, routeSubject(r), "it can never match: route %s has the same host name and prefix %q", first[p].Name, r.Prefix)
		default:
			first[p] = r
		}
	}
}

// checkServices finds services that no route uses, or that no server could serve.
func checkServices(found *findings, c *routes.Config) {
	used := make(map[string]bool)
	for _, r := range c.Routes() {
		for _, share := range r.Shares {
			used[share.Service] = used[share.Service] || share.Weight > 0
		}
	}
	for _, s := range c.Services() {
		if !used[s.Name] {
			found.add(Warning, "service "+s.Name, "no route sends requests to it")
		}
	}
}

// checkOrganisations finds organisations that can't call, and limits without effect.
func checkOrganisations(found *findings, c *routes.Config) {
	keys := c.KeyCounts()
	for _, o := range c.Organisations() {
		subject := "organisation " + o.Name
		if keys[o.Name] == 0 {
			found.add(Warning, subject, "it has no key, so its callers can use public routes only")
		}
		switch {
		case o.Rate == 0 && o.Burst > 0:
			found.add(Warning, subject, "its burst of %g has no effect without a rate", o.Burst)
		case o.Rate > 0 && o.Burst < 1:
			found.add(Warning, subject, "its burst of %g is below one request, so two requests at once may be refused", o.Burst)
		}
	}
	if c.HasOrganisations() {
		return
	}
	for _, r := range c.Routes() {
		if r.Public {
			found.add(Warning, routeSubject(r), "it is public, which has no effect without organisations")
		}
	}
}

func checkLimits(found *findings, l routes.Limits) {
	const subject = "limits"
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		found.add(Warning, subject, "a header may take %s, longer than a connection may be idle, %s", l.HeaderTimeout, l.IdleTimeout)
	}
	if l.BodyBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes {
		found.add(Warning, subject, "a header may have %d bytes, more than a body with %d", l.HeaderBytes, l.BodyBytes)
	}
}
