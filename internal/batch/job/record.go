// Package job runs batch jobs. A job belongs to one shard, and the shard's
// holder runs it: it reads the input chunk by chunk, sends each item as a
// batch request, and checkpoints what gathered.
//
// The decisions are two pure state machines. A Plan is one job: which item is
// next, when an item is tried again or given up, and when the job ends. A
// Shard is all jobs of one shard: it gathers what changed into one Checkpoint
// at a time. The Manager is the shell that reads, writes and runs.
//
// A checkpoint is one compare-and-swap that checks the shard's fencing token
// and the shard's previous checkpoint, and writes, together, the result lines,
// the sets of done items and the counts. So an item's result stands in the
// output exactly once, however often a lost holder's successor ran the item
// again, and a delayed write can't undo a later one.
package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
)

// State is where a job stands, in the words of the callers' tools.
type State string

// The states of a job. All but InProgress and Cancelling are final.
const (
	InProgress State = "in_progress"
	Cancelling State = "cancelling"
	Completed  State = "completed"
	Cancelled  State = "cancelled"
	Expired    State = "expired"
	Failed     State = "failed"
)

// Final reports whether the job will not change any more.
func (s State) Final() bool {
	return s == Completed || s == Cancelled || s == Expired || s == Failed
}

// Record is the durable state of a job but for the set of done items.
type Record struct {
	ID               string            `json:"id"`
	Organisation     string            `json:"organisation"`
	InputFile        string            `json:"input_file"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"window"`
	Metadata         map[string]string `json:"metadata,omitempty"`
	State            State             `json:"state"`
	Created          time.Time         `json:"created"`
	Due              time.Time         `json:"due"`
	Ended            time.Time         `json:"ended"`
	Chunks           int               `json:"chunks"`
	// FirstItems holds the number of the first item of each input chunk; empty if
	// it is not known.
	FirstItems []int `json:"starts,omitempty"`
	Total      int   `json:"total"`
	Completed  int   `json:"completed"`
	Failed     int   `json:"failed"`
	// Reserved bounds the items that may have been started by any holder:
	// those with this number or above certainly were not.
	Reserved     int    `json:"reserved"`
	OutputChunks int    `json:"output_chunks"`
	ErrorChunks  int    `json:"error_chunks"`
	OutputBytes  int64  `json:"output_bytes"`
	ErrorBytes   int64  `json:"error_bytes"`
	Cause        string `json:"cause,omitempty"`
}

// count adds one result to the counts.
func (r *Record) count(o outcome) {
	if o.failed {
		r.Failed++
		return
	}
	r.Completed++
}

// OutputFile returns the id of the file with the results.
func (r *Record) OutputFile() string { return r.ID + "-output" }

// ErrorFile returns the id of the file with the failed items.
func (r *Record) ErrorFile() string { return r.ID + "-errors" }

// Prefix returns the store prefix of a shard's jobs.
func Prefix(shard int) string { return fmt.Sprintf("job/%04d/", shard) }

// Key returns the store key of a job's record.
func Key(shard int, id string) string { return Prefix(shard) + id }

// writeKey holds the id of a shard's last checkpoint.
func writeKey(shard int) string { return fmt.Sprintf("jobwrite/%04d", shard) }

func progressKey(id string) string { return "jobdone/" + id }

func indexPrefix(organisation string) string { return "jobs-by-org/" + organisation + "/" }

// indexKey sorts the jobs of an organisation from the newest to the oldest.
func indexKey(r *Record) string {
	return fmt.Sprintf("%s%016x/%s", indexPrefix(r.Organisation), math.MaxInt64-r.Created.UnixNano(), r.ID)
}

func encodeRecord(r *Record) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("job record can't be encoded: " + err.Error())
	}
	return value
}

var errRecord = errors.New("job record out of bounds")

// DecodeRecord reads a job's record; any bytes are safe to pass.
func DecodeRecord(value []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	if r.ID == "" || r.Total < 0 || r.Total > chunk.MaxLines || r.Chunks < 0 || r.Chunks > r.Total {
		return nil, errRecord
	}
	if len(r.FirstItems) != 0 && !r.startsValid() {
		return nil, errRecord
	}
	return r, nil
}

// startsValid reports whether the starts rise from 0, one for each chunk.
func (r *Record) startsValid() bool {
	if len(r.FirstItems) != r.Chunks || r.FirstItems[0] != 0 {
		return false
	}
	for i := 1; i < len(r.FirstItems); i++ {
		if r.FirstItems[i] <= r.FirstItems[i-1] || r.FirstItems[i] >= r.Total {
			return false
		}
	}
	return true
}

// bitmap is a set of item numbers.
type bitmap []byte

func newBitmap(n int) bitmap { return make(bitmap, (n+7)/8) }

func (b bitmap) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b bitmap) add(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitmap) remove(i int) { b[i/8] &^= 1 << (i % 8) }

// DecodeProgress reads a job's set of done items; any bytes are safe to pass.
func DecodeProgress(value []byte, total int) ([]byte, error) {
	done := newBitmap(total)
	if value == nil {
		return done, nil
	}
	stored, err := chunk.Unpack(value)
	if err != nil {
		return nil, err
	}
	copy(done, stored)
	return done, nil
}
