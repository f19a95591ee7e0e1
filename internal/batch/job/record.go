// Package job runs batch jobs. Each job belongs to one shard and is run by the
// host that holds the shard. The host reads the input chunk by chunk, sends each
// item as a batch request and periodically writes the results in a checkpoint.
//
// The logic is in two pure state machines. A Plan is the state of one job: it
// decides which item is next, when an item is retried or given up, and when the
// job ends. A Shard holds the plans of all jobs of one shard and collects their
// changes into one Checkpoint at a time. The Manager does the I/O: it reads,
// writes and runs items.
//
// A checkpoint is one transaction. It requires that the shard's fencing token
// and previous checkpoint are unchanged, and writes the result lines, the sets
// of done items and the counts together. Therefore the result of an item is in
// the output exactly once, even if a new holder of the shard runs the item
// again, and a delayed write can't overwrite a later one.
//
// Record.Reserved limits the items that may have been started. A new holder
// reports an item as not run only if its number is at least the value of Reserved
// that the holder loaded.
package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
)

// State is the state of a job, spelled as in the batch API.
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

// Final reports whether a job in this state has ended.
func (s State) Final() bool {
	return s == Completed || s == Cancelled || s == Expired || s == Failed
}

// Record is the durable state of a job, except for the set of done items, which
// is stored under its own key.
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
	// FirstItems holds the number of the first item of each input chunk. It is
	// empty if the numbers are unknown.
	FirstItems []int `json:"starts,omitempty"`
	Total      int   `json:"total"`
	Completed  int   `json:"completed"`
	Failed     int   `json:"failed"`
	// Reserved limits the items that any holder may have started: no item with
	// this number or a higher one was started.
	Reserved     int    `json:"reserved"`
	OutputChunks int    `json:"output_chunks"`
	ErrorChunks  int    `json:"error_chunks"`
	OutputBytes  int64  `json:"output_bytes"`
	ErrorBytes   int64  `json:"error_bytes"`
	Cause        string `json:"cause,omitempty"`
}

// count adds a result to Completed or Failed.
func (r *Record) count(line resultLine) {
	if line.failed {
		r.Failed++
		return
	}
	r.Completed++
}

// OutputFile returns the ID of the file with the successful results.
func (r *Record) OutputFile() string { return r.ID + "-output" }

// ErrorFile returns the ID of the file with the failed items.
func (r *Record) ErrorFile() string { return r.ID + "-errors" }

// Prefix returns the store prefix of a shard's jobs.
func Prefix(shard int) string { return fmt.Sprintf("job/%04d/", shard) }

// Key returns the store key of a job's record.
func Key(shard int, id string) string { return Prefix(shard) + id }

// checkpointKey returns the store key of the ID of a shard's last checkpoint.
func checkpointKey(shard int) string { return fmt.Sprintf("jobwrite/%04d", shard) }

// progressKey returns the store key of a job's set of done items.
func progressKey(id string) string { return "jobdone/" + id }

func indexPrefix(organisation string) string { return "jobs-by-org/" + organisation + "/" }

// indexKey returns the store key of a job in the index of its organisation. The
// keys sort from the newest job to the oldest.
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

var errInvalidRecord = errors.New("job record out of bounds")

// DecodeRecord decodes and validates a record. value need not be trusted.
func DecodeRecord(value []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	if r.ID == "" || r.Total < 0 || r.Total > chunk.MaxLines || r.Chunks < 0 || r.Chunks > r.Total {
		return nil, errInvalidRecord
	}
	if len(r.FirstItems) != 0 && !r.firstItemsValid() {
		return nil, errInvalidRecord
	}
	return r, nil
}

// firstItemsValid reports whether FirstItems has one number for each chunk,
// increasing from 0 and below Total.
func (r *Record) firstItemsValid() bool {
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

// DecodeProgress decodes the set of done items of a job with total items. value
// need not be trusted; nil is the empty set.
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
