// Package stalled finds jobs whose record has stopped changing.
//
// The record of a job names its owner, but that host may not run the job: the
// write that made it the owner may have taken effect after the writer had given
// up on it, or the call that notifies the owner may have been lost. Such a
// record never changes. The record of a job whose items take long does not
// change for a while either, so the owner is only asked whether it has the job,
// which has no effect if it does.
package stalled

import "time"

const (
	// AskAfter is how long a record must be unchanged before its owner is asked.
	// It covers two scans of the records.
	AskAfter = 4 * time.Second
	// AskAgainAfter is the time until the owner is asked again after it has
	// confirmed that it has the job.
	AskAgainAfter = 15 * time.Second
)

// Tracker tracks for how long the record of each job has been unchanged. It is
// not safe for concurrent use.
type Tracker struct {
	jobs map[string]observation
}

// observation is the state of a job's record when it was last read.
type observation struct {
	owner  string
	serial int64
	// checkAt is when the owner is to be asked, unless the record changes before.
	checkAt time.Time
	// lastSeen is the time of the scan that last read the record.
	lastSeen time.Time
}

// New returns a Tracker without jobs.
func New() *Tracker { return &Tracker{jobs: make(map[string]observation)} }

// Observe registers the owner and serial of a job's record as read at now, and
// reports whether the owner is to be asked.
func (w *Tracker) Observe(now time.Time, id, owner string, serial int64) bool {
	o, known := w.jobs[id]
	if !known || o.owner != owner || o.serial != serial {
		o = observation{owner: owner, serial: serial, checkAt: now.Add(AskAfter)}
	}
	o.lastSeen = now
	w.jobs[id] = o
	return !now.Before(o.checkAt)
}

// Confirm registers that the owner has confirmed at now that it has the job.
func (w *Tracker) Confirm(now time.Time, id string) {
	if o, known := w.jobs[id]; known {
		o.checkAt = now.Add(AskAgainAfter)
		w.jobs[id] = o
	}
}

// Prune removes the jobs that were not passed to Observe with the same now.
func (w *Tracker) Prune(now time.Time) {
	for id, o := range w.jobs {
		if !o.lastSeen.Equal(now) {
			delete(w.jobs, id)
		}
	}
}
