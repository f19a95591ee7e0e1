// Package backend keeps what this host believes about backend servers: which
// there are, where, and whether new work may go there.
//
// The list comes from the platform, as a whole and as single changes. Three
// things keep it true. A server is one incarnation: the same name with another
// birth is another server, and an address may pass to another service. After
// the platform's store was away the list may lack servers that live, so what
// is missing stays usable for a grace time first. And a server that answered
// as somebody else is left out until its entry changes.
package backend

import (
	"sort"
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
	// Slots is how many requests it works on at once; at least 1.
	Slots int
	// Draining says that it takes no new work and leaves.
	Draining bool
	// Born is the time of its start in Unix milliseconds, 0 if it does not say.
	Born int64
}

// same reports whether two entries are of one incarnation at one place.
func (s Server) same(o Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.Born == o.Born && s.Service == o.Service
}

// known is a server with what is believed about it.
type known struct {
	Server
	// missingUntil is when it is gone unless it is listed again, zero if listed.
	missingUntil time.Time
	// disowned says that another server answered at its address.
	disowned bool
}

// Directory is the list of servers. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	servers map[string]*known
	changed func(s Server, state string)
	// byService is rebuilt at each change; the slices are never modified.
	byService map[string][]Server
}

// NewDirectory returns an empty list; changed is told of each change of belief.
func NewDirectory(changed func(s Server, state string)) *Directory {
	return &Directory{servers: make(map[string]*known), changed: changed, byService: map[string][]Server{}}
}

// Replace takes a whole list. Servers that it lacks are kept for grace, which is
// above 0 only while the store settles after an outage.
func (d *Directory) Replace(now time.Time, list []Server, grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		d.put(s)
	}
	for id, k := range d.servers {
		if listed[id] {
			continue
		}
		d.miss(now, id, k, grace)
	}
	d.rebuild()
}

func (d *Directory) miss(now time.Time, id string, k *known, grace time.Duration) {
	if grace <= 0 || k.Draining {
		d.remove(id)
	} else if k.missingUntil.IsZero() {
		k.missingUntil = now.Add(grace)
		d.changed(k.Server, "missing")
	}
}

// Put takes one changed entry.
func (d *Directory) Put(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(s)
	d.rebuild()
}

func (d *Directory) put(s Server) {
	old, ok := d.servers[s.ID]
	if ok && old.Server == s {
		old.missingUntil = time.Time{}
		return
	}
	disowned := ok && old.disowned && old.same(s)
	d.servers[s.ID] = &known{Server: s, disowned: disowned}
	state := "known"
	if s.Draining {
		state = "draining"
	}
	d.changed(s, state)
}

// Remove takes the removal of one entry, which may come back within grace.
func (d *Directory) Remove(now time.Time, id string, grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k, ok := d.servers[id]; ok {
		d.miss(now, id, k, grace)
		d.rebuild()
	}
}

func (d *Directory) remove(id string) {
	if k, ok := d.servers[id]; ok {
		delete(d.servers, id)
		d.changed(k.Server, "gone")
	}
}

// Expire drops what has been missing for longer than the grace time.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := false
	for id, k := range d.servers {
		if !k.missingUntil.IsZero() && !now.Before(k.missingUntil) {
			d.remove(id)
			dropped = true
		}
	}
	if dropped {
		d.rebuild()
	}
}

// MarkMisdirected leaves a server out because another one answers at its address.
func (d *Directory) MarkMisdirected(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k, ok := d.servers[s.ID]; ok && k.same(s) && !k.disowned {
		k.disowned = true
		d.changed(s, "disowned")
		d.rebuild()
	}
}

func (d *Directory) rebuild() {
	by := make(map[string][]Server)
	for _, k := range d.servers {
		if !k.Draining && !k.disowned {
			by[k.Service] = append(by[k.Service], k.Server)
		}
	}
	for _, list := range by {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.byService = by
}

// Usable returns the servers of a service that may get new work, by name. The
// caller must not modify the slice.
func (d *Directory) Usable(service string) []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// Len returns how many servers are known.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.servers)
}
