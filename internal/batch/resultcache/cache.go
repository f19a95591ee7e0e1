// Package resultcache caches results that were read from the store, of jobs that
// another host owns or owned. A listed result never changes, so only the record
// of a cached job has to be read again, and not even that once the job is
// complete.
package resultcache

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

// maxBytes bounds the total size of the cached results. A single larger job is
// still kept.
const maxBytes = 12 << 20

// Cache is a cache of jobs that evicts the least recently used ones. It is not
// safe for concurrent use.
type Cache struct {
	jobs  map[string]*Entry
	bytes int
}

// Entry holds the record and results of a job as they were last read.
type Entry struct {
	Record   jobstate.Record
	Results  []jobstate.Result
	bytes    int
	lastUsed time.Time
}

// New returns an empty cache.
func New() *Cache { return &Cache{jobs: make(map[string]*Entry)} }

// Get returns a cached job and marks it as used at now.
func (s *Cache) Get(now time.Time, id string) (*Entry, bool) {
	job, ok := s.jobs[id]
	if ok {
		job.lastUsed = now
	}
	return job, ok
}

// Put stores a job, replacing an older entry, and evicts other jobs until the
// results fit into maxBytes.
func (s *Cache) Put(now time.Time, r jobstate.Record, results []jobstate.Result) *Entry {
	s.remove(r.ID)
	job := &Entry{Record: r, Results: results, lastUsed: now}
	for _, result := range results {
		job.bytes += len(result.Text) + len(result.ID)
	}
	s.jobs[r.ID] = job
	s.bytes += job.bytes
	for s.bytes > maxBytes && len(s.jobs) > 1 {
		s.remove(s.leastRecentlyUsed(r.ID))
	}
	return job
}

func (s *Cache) remove(id string) {
	if old, ok := s.jobs[id]; ok {
		s.bytes -= old.bytes
		delete(s.jobs, id)
	}
}

// leastRecentlyUsed returns the ID of the least recently used job other than
// except.
func (s *Cache) leastRecentlyUsed(except string) string {
	leastRecentlyUsed := ""
	for id, job := range s.jobs {
		if id != except && (leastRecentlyUsed == "" || job.lastUsed.Before(s.jobs[leastRecentlyUsed].lastUsed)) {
			leastRecentlyUsed = id
		}
	}
	return leastRecentlyUsed
}
