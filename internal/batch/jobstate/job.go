// Package jobstate holds the state of one batch job on the host that owns it:
// the phase of each item, the output received for it so far, and the list of
// results.
//
// A result is appended to the list, and becomes visible to readers, only once
// it is durable. Positions in the list therefore never change: items whose
// results an owner had not written when it failed are run again by the next
// owner, which assigns their positions.
//
// Item bodies and outputs are opaque bytes. A Job does not read the clock and is
// not safe for concurrent use.
package jobstate

import (
	"slices"
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
	// Tokens is the sum of the prompt tokens and the maximum answer tokens.
	Tokens int64
}

// Result is the final outcome of one item.
type Result struct {
	ID string
	// Done reports that Text is the complete answer; otherwise the item was
	// given up and Text is empty.
	Done bool
	Text []byte
}

// phase is the execution state of an item. An item moves between waiting and
// running, from either to finished, and then to listed.
type phase uint8

const (
	waiting phase = iota
	running
	// finished items have a result that is not durable yet.
	finished
	// listed items have a durable result.
	listed
)

// itemState is one item and its progress.
type itemState struct {
	Item
	phase phase
	// text holds the data of the received events, up to and including number
	// lastEvent. any reports that an event was received; lastEvent is valid only
	// then.
	text      []byte
	lastEvent int64
	any       bool
	// eventCount is the number of events in text.
	eventCount int64
	// software is the software version of the servers that made text; it is
	// empty if the version is unknown or there is no text. A run of another
	// version starts from the beginning.
	software string
	// failures counts runs that ended with a failure reported by the server; rejected
	// is set once a server has said that the item can't be done.
	failures int
	rejected bool
	// endless counts runs whose answer did not end, badAnswers those whose answer was none
	// of an item; the next one starts at backoff at the earliest.
	endless, badAnswers int
	backoff             time.Time
	result              Result
}

// Job is the state of one job on the host that owns it.
type Job struct {
	record    Record
	items     []*itemState
	indexByID map[string]int
	// results holds the durable results in list order.
	results []Result
}

// NewJob returns a job with the given record, items and durable results, which
// are in list order. Items without a result are waiting.
func NewJob(r Record, items []Item, results []Result) *Job {
	j := &Job{record: r, indexByID: make(map[string]int, len(items))}
	for i, item := range items {
		j.items = append(j.items, &itemState{Item: item})
		j.indexByID[item.ID] = i
	}
	for _, res := range results {
		if i, ok := j.indexByID[res.ID]; ok {
			j.items[i].phase = listed
			j.items[i].result = res
		}
	}
	j.results = results
	j.restoreFailures()
	return j
}

// Record returns the record as it was last read or written.
func (j *Job) Record() Record { return j.record }

// Items returns the job's items in their order.
func (j *Job) Items() []Item {
	items := make([]Item, 0, len(j.items))
	for _, s := range j.items {
		items = append(items, s.Item)
	}
	return items
}

// Results returns the durable results in list order. The caller must not modify
// them.
func (j *Job) Results() []Result { return j.results }

// Complete reports whether the job was ended or all its results are durable.
func (j *Job) Complete() bool { return j.record.Ended || len(j.results) == len(j.items) }

// Candidates returns the indexes of the waiting items that may run now.
func (j *Job) Candidates(now time.Time) []int {
	if j.record.Ended {
		return nil
	}
	var candidates []int
	for i, s := range j.items {
		if s.phase == waiting && !now.Before(s.backoff) {
			candidates = append(candidates, i)
		}
	}
	return candidates
}

// Start marks a waiting item as running at a server with a software version. It
// discards the output of the item if another version, or an unknown one, made it,
// and returns the number of the events discarded.
func (j *Job) Start(i int, software string) (discarded int64) {
	s := j.items[i]
	if s.phase != waiting {
		return 0
	}
	s.phase = running
	if s.any && !j.FitsSoftware(i, software) {
		discarded = s.eventCount
		j.DiscardOutput(i)
	}
	s.software = software
	return discarded
}

// FitsSoftware reports whether a server with a software version can go on with
// the output of an item.
func (j *Job) FitsSoftware(i int, software string) bool {
	s := j.items[i]
	return !s.any || s.software != "" && s.software == software
}

// Partial is the output received so far for an unfinished item.
type Partial struct {
	ID     string
	Last   int64
	Events int64
	Text   []byte
	// Software is the software version of the servers that made Text, empty if
	// unknown.
	Software string
}

// Partials returns the output of unfinished items, those with the most events
// first. It stops before the total exceeds maxBytes, counting 64 bytes of
// overhead per item.
func (j *Job) Partials(maxBytes int) []Partial {
	var partials []Partial
	for _, s := range j.items {
		if s.any && (s.phase == waiting || s.phase == running) {
			partials = append(partials, Partial{ID: s.ID, Last: s.lastEvent, Events: s.eventCount, Text: s.text, Software: s.software})
		}
	}
	sort.Slice(partials, func(a, b int) bool { return partials[a].Events > partials[b].Events })
	for i, partial := range partials {
		if maxBytes -= len(partial.Text) + 64; maxBytes < 0 {
			return partials[:i]
		}
	}
	return partials
}

// RestorePartials restores the output that a previous owner received for items
// that are still waiting.
func (j *Job) RestorePartials(partials []Partial) {
	for _, partial := range partials {
		i, ok := j.indexByID[partial.ID]
		if !ok || j.items[i].phase != waiting {
			continue
		}
		s := j.items[i]
		s.text, s.lastEvent, s.any, s.eventCount, s.software = partial.Text, partial.Last, true, partial.Events, partial.Software
	}
}

// Item returns the item at index i.
func (j *Job) Item(i int) Item { return j.items[i].Item }

// ResumePoint returns the position from which a server can resume an item.
func (j *Job) ResumePoint(i int) exchange.Resume {
	return exchange.Resume{After: j.items[i].lastEvent, Set: j.items[i].any}
}

// Append adds the data of the event with number id to the output of an item.
func (j *Job) Append(i int, id int64, data []byte) {
	s := j.items[i]
	if s.any {
		s.text = append(s.text, '\n')
	}
	s.text = append(s.text, data...)
	s.lastEvent, s.any = id, true
	s.eventCount++
}

// Requeue moves a running item back to waiting and keeps its output.
func (j *Job) Requeue(i int) {
	if s := j.items[i]; s.phase == running {
		s.phase = waiting
	}
}

// DiscardOutput discards the output of an item, so that its next run starts from
// the beginning.
func (j *Job) DiscardOutput(i int) {
	s := j.items[i]
	s.text, s.lastEvent, s.any, s.eventCount, s.software = nil, 0, false, 0, ""
}

// Events returns the number of events received for an item.
func (j *Job) Events(i int) int64 { return j.items[i].eventCount }

// OutputSize returns the size in bytes of the output of an item.
func (j *Job) OutputSize(i int) int { return len(j.items[i].text) }

// Finish marks a running item as finished with its output as the answer.
func (j *Job) Finish(i int) {
	s := j.items[i]
	if s.phase != running {
		return
	}
	s.phase, s.result = finished, Result{ID: s.ID, Done: true, Text: s.text}
	s.text = nil
}

// RecordFailure requeues an item after a failure reported by a server. Whether it
// runs again is for GiveUpFailed to decide, once its route is known.
func (j *Job) RecordFailure(i int) {
	j.items[i].failures++
	j.Requeue(i)
}

// Reject gives an item up that a server has said can't be done.
func (j *Job) Reject(i int) {
	j.items[i].rejected = true
	j.GiveUp(i)
}

// restoreFailures adds what the record says of failed runs to what the job knows.
func (j *Job) restoreFailures() {
	for i, n := range j.record.Failures {
		if i >= 0 && i < len(j.items) {
			j.items[i].failures = max(j.items[i].failures, n)
		}
	}
	for _, i := range j.record.Rejected {
		if i >= 0 && i < len(j.items) {
			j.Reject(i)
		}
	}
}

// maxRecordedFailures bounds the items whose failures a record holds, as it is stored in
// one value and read by many. The failures of further ones are known to the owner alone.
const maxRecordedFailures = 4096

// failuresRecorded reports whether the record says how often the item failed, or has no
// room for that.
func (j *Job) failuresRecorded(i int) bool {
	s := j.items[i]
	if len(j.record.Failures)+len(j.record.Rejected) >= maxRecordedFailures {
		return true
	}
	if s.rejected {
		return slices.Contains(j.record.Rejected, i)
	}
	return s.failures <= j.record.Failures[i]
}

// Held reports whether a waiting item may not run before its failures are recorded: if
// each of many owners is lost after it has run an item, and before it has recorded that it
// failed, the item runs once for each of them and not as often as it may fail.
func (j *Job) Held(i int) bool { return !j.record.FailuresKnown && !j.failuresRecorded(i) }

// MustRecord reports whether there are failures of items that are not listed which are to
// be recorded without waiting for results.
func (j *Job) MustRecord() bool {
	if j.record.FailuresKnown || j.record.Ended {
		return false
	}
	for i, s := range j.items {
		if (s.failures > 0 || s.rejected) && s.phase != listed && !j.failuresRecorded(i) {
			return true
		}
	}
	return false
}

// GiveUpFailed gives a waiting item up that has failed in all its attempts, and
// reports whether it did.
func (j *Job) GiveUpFailed(i, attempts int) bool {
	s := j.items[i]
	if s.phase != waiting || s.failures < attempts {
		return false
	}
	j.GiveUp(i)
	return true
}

const (
	// minEndlessBackoff is the delay after the first answer of an item that does not
	// end. It doubles with each further one up to maxEndlessBackoff.
	minEndlessBackoff = 500 * time.Millisecond
	maxEndlessBackoff = 8 * time.Second
	// minBadAnswerBackoff is the delay after the first answer that is none of an item,
	// which another server may give. It doubles likewise.
	minBadAnswerBackoff = 50 * time.Millisecond
	maxBadAnswerBackoff = 8 * time.Second
)

// backoffAfter returns the delay after n answers that follow the first one.
func backoffAfter(n int, first, most time.Duration) time.Duration {
	delay := first
	for ; n > 0 && delay < most; n-- {
		delay *= 2
	}
	return min(delay, most)
}

// RecordEndless records that a run was broken off because its answer did not end. The
// next one begins anew, at the time that is returned.
func (j *Job) RecordEndless(i int, now time.Time) time.Time {
	s := j.items[i]
	s.backoff = now.Add(backoffAfter(s.endless, minEndlessBackoff, maxEndlessBackoff))
	s.endless++
	j.DiscardOutput(i)
	j.Requeue(i)
	return s.backoff
}

// RecordBadAnswer records that a server gave an answer that is none of an item, such as an
// unexpected status. The next run may begin at the time that is returned.
func (j *Job) RecordBadAnswer(i int, now time.Time) time.Time {
	s := j.items[i]
	s.backoff = now.Add(backoffAfter(s.badAnswers, minBadAnswerBackoff, maxBadAnswerBackoff))
	s.badAnswers++
	return s.backoff
}

// GiveUp finishes an item without an answer. It does nothing if the item is
// already finished or listed.
func (j *Job) GiveUp(i int) {
	s := j.items[i]
	if s.phase == finished || s.phase == listed {
		return
	}
	s.phase, s.result = finished, Result{ID: s.ID}
	s.text = nil
}

// Expire gives up all waiting items once GiveUpAt has passed, and
// returns their number.
func (j *Job) Expire(now time.Time) int {
	if j.record.GiveUpAt.IsZero() || now.Before(j.record.GiveUpAt) || j.record.Ended {
		return 0
	}
	return j.GiveUpWaiting()
}

// GiveUpWaiting gives up all waiting items and returns their number.
func (j *Job) GiveUpWaiting() int {
	n := 0
	for i, s := range j.items {
		if s.phase == waiting {
			j.GiveUp(i)
			n++
		}
	}
	return n
}

// Unlisted returns the results that are not durable yet.
func (j *Job) Unlisted() []Result {
	var results []Result
	for _, s := range j.items {
		if s.phase == finished {
			results = append(results, s.result)
		}
	}
	return results
}

// NextRecord returns the next version of the record, with newResults added to
// the list as one part. It does not change the job; call ApplyWrite after the
// write.
func (j *Job) NextRecord(newResults []Result) Record {
	r := j.record
	r.Serial++
	r.Released = false
	r.Listed += len(newResults)
	if len(newResults) > 0 {
		r.ResultParts++
	}
	for _, res := range newResults {
		r.UnlistedTokens -= j.items[j.indexByID[res.ID]].Tokens
	}
	r.Failures, r.Rejected = j.unlistedFailures(newResults)
	return r
}

// unlistedFailures returns Record.Failures and Record.Rejected of a record that lists new
// results.
func (j *Job) unlistedFailures(newResults []Result) (failures map[int]int, rejected []int) {
	for i, s := range j.items {
		if len(failures)+len(rejected) == maxRecordedFailures {
			break
		}
		if s.failures == 0 && !s.rejected || s.phase == listed || slices.ContainsFunc(newResults, func(r Result) bool { return r.ID == s.ID }) {
			continue
		}
		if s.rejected {
			rejected = append(rejected, i)
			continue
		}
		if failures == nil {
			failures = make(map[int]int)
		}
		failures[i] = s.failures
	}
	return failures, rejected
}

// ApplyWrite applies a record and new results that have become durable. If the
// record says that the job has ended, the output of all items is released.
func (j *Job) ApplyWrite(r Record, newResults []Result) {
	r.FailuresKnown = r.FailuresKnown && j.record.FailuresKnown
	j.record = r
	for _, res := range newResults {
		s := j.items[j.indexByID[res.ID]]
		s.phase, s.result = listed, res
		j.results = append(j.results, res)
	}
	j.restoreFailures()
	if r.Ended {
		for _, s := range j.items {
			s.text = nil
		}
	}
}

// Body returns the body of an item that is not listed yet. It returns false for
// an unknown or listed item and for a job that has ended.
func (j *Job) Body(id string) ([]byte, bool) {
	i, ok := j.indexByID[id]
	if !ok || j.items[i].phase == listed || j.record.Ended {
		return nil, false
	}
	return j.items[i].Body, true
}
