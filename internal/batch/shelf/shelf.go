// Package shelf keeps results of jobs that other hosts own or owned, as they
// were read from the store. A listed result never changes, so only a job's
// record has to be read again, and not even that once the job is over.
package shelf

import (
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/bulk"
)

// maxBytes bounds the results on a shelf.
const maxBytes = 12 << 20

// Shelf holds jobs, the least recently used ones yield. It is not safe for
// concurrent use.
type Shelf struct {
	jobs map[string]*Job
	size int
}

// Job is a job as it was last read.
type Job struct {
	Record  bulk.Record
	Results []bulk.Result
	size    int
	used    time.Time
}

// New returns an empty shelf.
func New() *Shelf { return &Shelf{jobs: make(map[string]*Job)} }

// Get returns a job and notes that it was used.
func (s *Shelf) Get(now time.Time, id string) (*Job, bool) {
	one, ok := s.jobs[id]
	if ok {
		one.used = now
	}
	return one, ok
}

// Put replaces a job.
func (s *Shelf) Put(now time.Time, r bulk.Record, results []bulk.Result) *Job {
	s.drop(r.ID)
	one := &Job{Record: r, Results: results, used: now}
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

func (s *Shelf) drop(id string) {
	if old, ok := s.jobs[id]; ok {
		s.size -= old.size
		delete(s.jobs, id)
	}
}

// oldest returns the least recently used job but one.
func (s *Shelf) oldest(but string) string {
	oldest := ""
	for id, one := range s.jobs {
		if id != but && (oldest == "" || one.used.Before(s.jobs[oldest].used)) {
			oldest = id
		}
	}
	return oldest
}
