// Package resultcache keeps results of jobs that other hosts own or owned, as they
// were read from the store. A listed result never changes, so only a job's
// record has to be read again, and not even that once the job is over.
package resultcache

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
)

// maxBytes bounds the results on a shelf.
const maxBytes = 12 << 20

// Cache holds jobs, the least recently used ones yield. It is not safe for
// concurrent use.
type Cache struct {
	jobs map[string]*Entry
	size int
}

// Entry is a job as it was last read.
type Entry struct {
	Record  jobstate.Record
	Results []jobstate.Result
	size    int
	used    time.Time
}

// New returns an empty shelf.
func New() *Cache { return &Cache{jobs: make(map[string]*Entry)} }

// Get returns a job and notes that it was used.
func (s *Cache) Get(now time.Time, id string) (*Entry, bool) {
	one, ok := s.jobs[id]
	if ok {
		one.used = now
	}
	return one, ok
}

// Put replaces a job.
func (s *Cache) Put(now time.Time, r jobstate.Record, results []jobstate.Result) *Entry {
	s.drop(r.ID)
	one := &Entry{Record: r, Results: results, used: now}
	for _, each := range results {
		one.size += len(each.Text) + len(each.ID)
	}
	s.jobs[r.ID] = one
	s.size += one.size
	for s.size > maxBytes && len(s.jobs) > 1 {
		s.drop(s.oldest(r.ID))
	}
	return one
}

func (s *Cache) drop(id string) {
	if old, ok := s.jobs[id]; ok {
		s.size -= old.size
		delete(s.jobs, id)
	}
}

// oldest returns the least recently used job but one.
func (s *Cache) oldest(but string) string {
	oldest := ""
	for id, one := range s.jobs {
		if id != but && (oldest == "" || one.used.Before(s.jobs[oldest].used)) {
			oldest = id
		}
	}
	return oldest
}
