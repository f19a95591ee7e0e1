// Package stalled finds jobs whose record has stopped changing.
//
// A job's record names its owner, but an owner may not know of it: the write
// that made it the owner may have landed after its writer had given up, and the
// call that was to tell it may have been lost. Such a record never changes. So
// does that of a job whose items take long; an owner is therefore only asked
// whether it has the job, which costs it nothing if it has.
package stalled

import "time"

const (
	// AskAfter is how long a record must not have changed before its owner is asked;
	// two looks of the scan fit in.
	AskAfter = 4 * time.Second
	// AskAgainAfter is the time to the next question after an owner has said that it has
	// the job.
	AskAgainAfter = 15 * time.Second
)

// Tracker remembers when the record of each job last changed. It is not safe for
// concurrent use.
type Tracker struct {
	jobs map[string]look
}

// look is a job as it was last seen.
type look struct {
	owner  string
	serial int64
	// due is when the owner is to be asked, unless the record changes before.
	due  time.Time
	seen time.Time
}

// New returns a watch that knows no job.
func New() *Tracker { return &Tracker{jobs: make(map[string]look)} }

// Observe takes a job's record as it was read and reports whether its owner is to
// be asked.
func (w *Tracker) Observe(now time.Time, id, owner string, serial int64) bool {
	l, known := w.jobs[id]
	if !known || l.owner != owner || l.serial != serial {
		l = look{owner: owner, serial: serial, due: now.Add(AskAfter)}
	}
	l.seen = now
	w.jobs[id] = l
	return !now.Before(l.due)
}

// Confirm notes that the owner has said that it has the job.
func (w *Tracker) Confirm(now time.Time, id string) {
	if l, known := w.jobs[id]; known {
		l.due = now.Add(AskAgainAfter)
		w.jobs[id] = l
	}
}

// Prune drops the jobs that were not seen at now.
func (w *Tracker) Prune(now time.Time) {
	for id, l := range w.jobs {
		if !l.seen.Equal(now) {
			delete(w.jobs, id)
		}
	}
}
