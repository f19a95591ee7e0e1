package routes

import (
	"crypto/sha256"
	"maps"
	"slices"
)

// Organisation is a customer whose callers identify themselves by keys.
type Organisation struct {
	Name string
	// Priority is 0 for the most urgent requests and higher for others. It goes
	// before that of the route.
	Priority int
	// Rate is the number of requests a second over all hosts, Burst by how many
	// requests more they may exceed it. A Rate of 0 means that there is no limit.
	Rate  float64
	Burst float64
}

// Limited reports whether the organisation's requests are limited.
func (o *Organisation) Limited() bool { return o.Rate > 0 }

// KeyHash is the SHA-256 of a caller's key. Configurations hold no key: a hash can
// be passed to other hosts, and a key can't be read from it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Organisations is the table of the organisations of a configuration. The zero value
// is that of a configuration without any.
type Organisations struct {
	byName map[string]*Organisation
	byKey  map[KeyHash]*Organisation
}

// Add adds an organisation and the hashes of its keys. It returns false if there is
// one with that name or with one of the keys.
func (t *Organisations) Add(o *Organisation, keys []KeyHash) bool {
	if t.byName == nil {
		t.byName, t.byKey = make(map[string]*Organisation), make(map[KeyHash]*Organisation)
	}
	if t.byName[o.Name] != nil {
		return false
	}
	t.byName[o.Name] = o
	for _, k := range keys {
		if t.byKey[k] != nil {
			return false
		}
		t.byKey[k] = o
	}
	return true
}

// HasOrganisations reports whether requests need the key of an organisation, except
// on public routes.
func (c *Config) HasOrganisations() bool { return len(c.organisations.byName) > 0 }

// OrganisationOfKey returns the organisation that holds a key.
func (c *Config) OrganisationOfKey(key string) (*Organisation, bool) {
	o, ok := c.organisations.byKey[HashKey(key)]
	return o, ok
}

// Organisation returns the organisation with that name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	o, ok := c.organisations.byName[name]
	return o, ok
}

// HasLimits reports whether an organisation is limited.
func (c *Config) HasLimits() bool {
	for _, o := range c.organisations.byName {
		if o.Limited() {
			return true
		}
	}
	return false
}

// OrganisationCount returns the number of organisations.
func (c *Config) OrganisationCount() int { return len(c.organisations.byName) }

// Organisations returns all organisations by name.
func (c *Config) Organisations() []*Organisation {
	list := make([]*Organisation, 0, len(c.organisations.byName))
	for _, name := range slices.Sorted(maps.Keys(c.organisations.byName)) {
		list = append(list, c.organisations.byName[name])
	}
	return list
}

// KeyCounts returns the number of keys of each organisation that has any.
func (c *Config) KeyCounts() map[string]int {
	counts := make(map[string]int)
	for _, o := range c.organisations.byKey {
		counts[o.Name]++
	}
	return counts
}

// KeyChanges returns how many keys of an organisation were added and removed since another
// configuration.
func (c *Config) KeyChanges(before *Config, organisation string) (added, removed int) {
	missing := func(in, from *Config) (n int) {
		for key, o := range in.organisations.byKey {
			if other := from.organisations.byKey[key]; o.Name == organisation && (other == nil || other.Name != organisation) {
				n++
			}
		}
		return n
	}
	return missing(c, before), missing(before, c)
}

// WithOrganisations returns the configuration with a table of organisations.
func (c *Config) WithOrganisations(t Organisations) *Config {
	with := *c
	with.organisations = t
	return &with
}
