// Package jobstate holds one job of opaque items as its owner sees it: which items
// wait, run or are finished, what has been produced of each, and the list of
// results with stable positions.
//
// A result has its place in the list from the moment it is durable. Until then
// nobody is shown it, so a position never changes: what an owner that dies had
// not written runs again and gets a place from the next owner.
//
// A Job reads no clock and is not safe for concurrent use.
package jobstate

import (
	"sort"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Fields []exchange.Field
	Body   []byte
	// Tokens are those of the prompt and of the longest answer, summed.
	Tokens int64
}

// Result is the end of one item.
type Result struct {
	ID string
	// Done says that Text is the whole answer; otherwise the item was given up.
	Done bool
	Text []byte
}

// phase is where an item stands; it only moves on from waiting to running and
// back, and from either to finished and listed.
type phase uint8

const (
	waiting phase = iota
	running
	// parked items have crashed maxCrashes servers and only wait for their time to
	// be over.
	parked
	finished
	listed
)

// work is one item with its progress.
type work struct {
	Item
	phase phase
	// text holds the data of the events up to number last, if any is set.
	text []byte
	last int64
	any  bool
	// events counts the events in text.
	events int64
	// failures counts answers that were failures of a server's own.
	failures int
	// crashes counts runs that ended with their server.
	crashes int
	// rests is until when an item that crashed several servers must not run.
	rests  time.Time
	result Result
}

// Job is one job at its owner.
type Job struct {
	record Record
	items  []*work
	index  map[string]int
	// results is the durable list.
	results []Result
	// attempts is after how many failures an item is given up.
	attempts int
}

// NewJob returns a job whose results so far are those given, in order.
func NewJob(r Record, items []Item, results []Result, attempts int) *Job {
	j := &Job{record: r, index: make(map[string]int, len(items)), attempts: attempts}
	for i, item := range items {
		j.items = append(j.items, &work{Item: item})
		j.index[item.ID] = i
	}
	for _, one := range results {
		if i, ok := j.index[one.ID]; ok {
			j.items[i].phase = listed
			j.items[i].result = one
		}
	}
	j.results = results
	return j
}

// Record returns the durable state that the job was last written with.
func (j *Job) Record() Record { return j.record }

// Results returns the durable list. The caller must not modify it.
func (j *Job) Results() []Result { return j.results }

// Complete reports whether nothing is left to do.
func (j *Job) Complete() bool { return j.record.Ended || len(j.results) == len(j.items) }

// Candidates returns the waiting items that may run.
func (j *Job) Candidates(now time.Time) []int {
	if j.record.Ended {
		return nil
	}
	var list []int
	for i, w := range j.items {
		if w.phase == waiting && !now.Before(w.rests) {
			list = append(list, i)
		}
	}
	return list
}

// Start marks a waiting item as running.
func (j *Job) Start(i int) {
	if w := j.items[i]; w.phase == waiting {
		w.phase = running
	}
}

// Partial is what has been produced of an item that is not finished.
type Partial struct {
	ID     string
	Last   int64
	Events int64
	Text   []byte
}

// Partials returns what has been produced of unfinished items, the longest
// first, in at most size bytes.
func (j *Job) Partials(size int) []Partial {
	var list []Partial
	for _, w := range j.items {
		if w.any && (w.phase == waiting || w.phase == running) {
			list = append(list, Partial{ID: w.ID, Last: w.last, Events: w.events, Text: w.text})
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Events > list[b].Events })
	for n, one := range list {
		if size -= len(one.Text) + 64; size < 0 {
			return list[:n]
		}
	}
	return list
}

// RestorePartials takes what another owner had produced of unfinished items.
func (j *Job) RestorePartials(partials []Partial) {
	for _, one := range partials {
		i, ok := j.index[one.ID]
		if !ok || j.items[i].phase != waiting {
			continue
		}
		w := j.items[i]
		w.text, w.last, w.any, w.events = one.Text, one.Last, true, one.Events
	}
}

// Item returns an item.
func (j *Job) Item(i int) Item { return j.items[i].Item }

// ResumePoint returns the number of the last event of an item.
func (j *Job) ResumePoint(i int) exchange.Resume {
	return exchange.Resume{After: j.items[i].last, Set: j.items[i].any}
}

// Append adds the data of one event to a running item.
func (j *Job) Append(i int, id int64, data []byte) {
	w := j.items[i]
	if w.any {
		w.text = append(w.text, '\n')
	}
	w.text = append(w.text, data...)
	w.last, w.any = id, true
	w.events++
}

// Requeue makes a running item wait again; what was produced is kept.
func (j *Job) Requeue(i int) {
	if w := j.items[i]; w.phase == running {
		w.phase = waiting
	}
}

// DiscardOutput drops what was produced of an item that can't go on from it.
func (j *Job) DiscardOutput(i int) {
	w := j.items[i]
	w.text, w.last, w.any, w.events = nil, 0, false, 0
}

// Events returns how many events have been produced of an item.
func (j *Job) Events(i int) int64 { return j.items[i].events }

// OutputSize returns the bytes that have been produced of an item.
func (j *Job) OutputSize(i int) int { return len(j.items[i].text) }

// Finish takes the whole answer of a running item.
func (j *Job) Finish(i int) {
	w := j.items[i]
	if w.phase != running {
		return
	}
	w.phase, w.result = finished, Result{ID: w.ID, Done: true, Text: w.text}
	w.text = nil
}

// RecordFailure takes an answer that was a failure of a server's own, and reports
// whether the item is given up for it.
func (j *Job) RecordFailure(i int) bool {
	w := j.items[i]
	w.failures++
	if w.failures < j.attempts {
		j.Requeue(i)
		return false
	}
	j.GiveUp(i)
	return true
}

const (
	// freeCrashes is how many runs of an item may end with their server before it
	// has to rest after each further one. A server may have crashed for another
	// cause, so an item that is at fault is not told from one that is not.
	freeCrashes = 3
	// maxCrashes is after how many it only waits for its time to be over; the
	// platform's rules allow three more runs after the third crash.
	maxCrashes = 6
	// crashRest is shorter than the 20 s in which the rules excuse a job for an
	// item that failed.
	crashRest = 15 * time.Second
)

// RecordCrash takes the end of a run with its server. It reports whether the item
// must rest, for ever if until is zero.
func (j *Job) RecordCrash(i int, now time.Time) (rests bool, until time.Time) {
	w := j.items[i]
	w.crashes++
	if w.crashes >= maxCrashes {
		w.phase = parked
		return true, time.Time{}
	}
	j.Requeue(i)
	if w.crashes < freeCrashes {
		return false, time.Time{}
	}
	w.rests = now.Add(crashRest)
	return true, w.rests
}

// GiveUp ends an item without an answer.
func (j *Job) GiveUp(i int) {
	w := j.items[i]
	if w.phase == finished || w.phase == listed {
		return
	}
	w.phase, w.result = finished, Result{ID: w.ID}
	w.text = nil
}

// Expire gives up all items that wait once the job's time is over.
func (j *Job) Expire(now time.Time) int {
	if j.record.GiveUpAt.IsZero() || now.Before(j.record.GiveUpAt) || j.record.Ended {
		return 0
	}
	return j.GiveUpWaiting()
}

// GiveUpWaiting gives up every item that does not run and returns how many.
func (j *Job) GiveUpWaiting() int {
	n := 0
	for i, w := range j.items {
		if w.phase == waiting || w.phase == parked {
			j.GiveUp(i)
			n++
		}
	}
	return n
}

// Unlisted returns the results that are finished but not durable yet.
func (j *Job) Unlisted() []Result {
	var list []Result
	for _, w := range j.items {
		if w.phase == finished {
			list = append(list, w.result)
		}
	}
	return list
}

// NextRecord returns the record as it has to be written with the given results
// added to the list.
func (j *Job) NextRecord(added []Result) Record {
	r := j.record
	r.Serial++
	r.Listed += len(added)
	if len(added) > 0 {
		r.ResultParts++
	}
	for _, one := range added {
		r.UnlistedTokens -= j.items[j.index[one.ID]].Tokens
	}
	return r
}

// ApplyWrite takes the record and the results that are durable now.
func (j *Job) ApplyWrite(r Record, added []Result) {
	j.record = r
	for _, one := range added {
		w := j.items[j.index[one.ID]]
		w.phase, w.result = listed, one
		j.results = append(j.results, one)
	}
	if r.Ended {
		for _, w := range j.items {
			w.text = nil
		}
	}
}

// Body returns the body of an item that is not listed yet.
func (j *Job) Body(id string) ([]byte, bool) {
	i, ok := j.index[id]
	if !ok || j.items[i].phase == listed || j.record.Ended {
		return nil, false
	}
	return j.items[i].Body, true
}
