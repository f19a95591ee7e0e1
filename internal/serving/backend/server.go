// Package backend maintains this host's directory of backend servers: which ones
// exist, their addresses, and whether they may get new work.
//
// The list comes from the platform, both as a whole and as single changes. Three
// rules keep the directory correct:
//
//   - A Server is one incarnation. The same name with another start time is
//     another server, and an address may be reused by another service.
//   - After an outage of the platform's store, the list may lack servers that are
//     running. A server that is missing therefore stays usable for a grace period.
//   - A server at whose address another server answered is excluded until it is
//     listed with another address, start time or service.
package backend

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	// Slots is the number of requests that it processes at once, at least 1.
	Slots int
	// Draining reports whether it is shutting down and takes no new work.
	Draining bool
	// Born is its start time in Unix milliseconds, or 0 if unknown.
	Born int64
	// SoftwareVersion is the version of its software, which is neither that of the
	// weights nor that of the configuration; empty if unknown.
	SoftwareVersion string
}

// Start returns a name of one start of the server, which differs from that of its
// other starts under its ID if the server says when it started.
func (s Server) Start() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + "/" + strconv.FormatInt(s.Born, 10)
}

// sameIncarnation reports whether two entries describe the same incarnation at
// the same address.
func (s Server) sameIncarnation(o Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.Born == o.Born && s.Service == o.Service
}

// entry is a server in the directory and its state.
type entry struct {
	Server
	// missingUntil is when a server that is missing from the list is removed. It
	// is zero while the server is listed.
	missingUntil time.Time
	// misdirected reports whether another server answered at its address.
	misdirected bool
}

// Directory holds the known servers. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	servers map[string]*entry
	// byAddress holds the ID of the server that was listed last at each address.
	byAddress map[string]string
	onChange  func(s Server, state string)
	// byService holds the usable servers by service. It is rebuilt at each
	// change, and its slices are never modified.
	byService map[string][]Server
}

// NewDirectory returns an empty directory. onChange is called with the lock held
// and the new state of a server: known, draining, missing, gone or disowned.
func NewDirectory(onChange func(s Server, state string)) *Directory {
	return &Directory{servers: make(map[string]*entry), byAddress: make(map[string]string), onChange: onChange, byService: map[string][]Server{}}
}

// Replace sets the whole list. Servers that it lacks are kept for the grace
// period, which is above 0 only while the store recovers from an outage.
func (d *Directory) Replace(now time.Time, list []Server, grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		d.put(s)
	}
	for id, e := range d.servers {
		if listed[id] {
			continue
		}
		d.markMissing(now, id, e, grace)
	}
	d.rebuild()
}

// markMissing marks a server that is not listed as missing for the grace period.
// It removes the server at once if it is draining or there is no grace period.
// The caller holds d.mu.
func (d *Directory) markMissing(now time.Time, id string, e *entry, grace time.Duration) {
	if grace <= 0 || e.Draining {
		d.remove(id)
	} else if e.missingUntil.IsZero() {
		e.missingUntil = now.Add(grace)
		d.onChange(e.Server, "missing")
	}
}

// Put adds or updates one server.
func (d *Directory) Put(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(s)
	d.rebuild()
}

// put adds or updates one server without a rebuild of byService. The caller holds
// d.mu.
func (d *Directory) put(s Server) {
	old, ok := d.servers[s.ID]
	if ok && old.Server == s {
		old.missingUntil = time.Time{}
		return
	}
	misdirected := ok && old.misdirected && old.sameIncarnation(s)
	if ok && old.Address != s.Address && d.byAddress[old.Address] == s.ID {
		delete(d.byAddress, old.Address)
	}
	d.servers[s.ID] = &entry{Server: s, misdirected: misdirected}
	if other, known := d.servers[d.byAddress[s.Address]]; !known || other.Address != s.Address || other.Born <= s.Born {
		d.byAddress[s.Address] = s.ID
	}
	state := "known"
	if s.Draining {
		state = "draining"
	}
	d.onChange(s, state)
}

// Remove removes one server after the grace period, unless the server is listed
// again before its end.
func (d *Directory) Remove(now time.Time, id string, grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.servers[id]; ok {
		d.markMissing(now, id, e, grace)
		d.rebuild()
	}
}

func (d *Directory) remove(id string) {
	if e, ok := d.servers[id]; ok {
		delete(d.servers, id)
		if d.byAddress[e.Address] == id {
			delete(d.byAddress, e.Address)
		}
		d.onChange(e.Server, "gone")
	}
}

// Missing returns the IDs of the servers in their grace period, sorted.
func (d *Directory) Missing() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, e := range d.servers {
		if !e.missingUntil.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RemoveMissing removes a server that is still in its grace period.
func (d *Directory) RemoveMissing(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.servers[id]; ok && !e.missingUntil.IsZero() {
		d.remove(id)
		d.rebuild()
	}
}

// Expire removes the servers whose grace period is over.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := false
	for id, e := range d.servers {
		if !e.missingUntil.IsZero() && !now.Before(e.missingUntil) {
			d.remove(id)
			dropped = true
		}
	}
	if dropped {
		d.rebuild()
	}
}

// MarkMisdirected excludes a server because another one answers at its address.
func (d *Directory) MarkMisdirected(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.servers[s.ID]; ok && e.sameIncarnation(s) && !e.misdirected {
		e.misdirected = true
		d.onChange(s, "disowned")
		d.rebuild()
	}
}

// rebuild updates byService. The caller holds d.mu.
func (d *Directory) rebuild() {
	usable := make(map[string][]Server)
	for _, e := range d.servers {
		if !e.Draining && !e.misdirected {
			usable[e.Service] = append(usable[e.Service], e.Server)
		}
	}
	for _, list := range usable {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.byService = usable
}

// Usable returns the servers of a service that may get new work, sorted by ID.
// The caller must not modify the slice.
func (d *Directory) Usable(service string) []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// UsableWith returns the servers of a service with a software version that may get
// new work, sorted by ID.
func (d *Directory) UsableWith(service, software string) []Server {
	var list []Server
	for _, s := range d.Usable(service) {
		if s.SoftwareVersion == software {
			list = append(list, s)
		}
	}
	return list
}

// UsableIn returns the servers of a service and a zone that may get new work,
// sorted by ID.
func (d *Directory) UsableIn(service, zone string) []Server {
	var list []Server
	for _, s := range d.Usable(service) {
		if s.Zone == zone {
			list = append(list, s)
		}
	}
	return list
}

// Get returns a server that may get new work.
func (d *Directory) Get(id string) (Server, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.servers[id]
	if !ok || e.Draining || e.misdirected {
		return Server{}, false
	}
	return e.Server, true
}

// Offers reports whether a server may still get new work, as the same incarnation.
func (d *Directory) Offers(s Server) bool {
	current, ok := d.Get(s.ID)
	return ok && current.sameIncarnation(s)
}

// HasEnded reports whether the list shows that a server has ended: it started again
// under its ID, or another server has its address.
func (d *Directory) HasEnded(s Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Born == 0 {
		return false
	}
	if e, ok := d.servers[s.ID]; ok && e.Born > s.Born {
		return true
	}
	e, ok := d.servers[d.byAddress[s.Address]]
	return ok && e.Address == s.Address && e.Born > s.Born
}

// Services returns the services with servers that may get new work, sorted.
func (d *Directory) Services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.byService))
}

// Len returns how many servers are known.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.servers)
}
