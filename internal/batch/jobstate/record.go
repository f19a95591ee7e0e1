package jobstate

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// Record is the durable state of a job. Each change of the job rewrites it on
// the condition that it is as it was, so only one owner can write.
type Record struct {
	ID    string `json:"id"`
	Route string `json:"route"`
	Host  string `json:"host"`
	// Owner is the host that runs the job, empty for none.
	Owner string `json:"owner,omitempty"`
	// Serial increases with each change; Writer is unique to the process that
	// made it, so that a write whose answer was lost is recognised.
	Serial int64  `json:"serial"`
	Writer string `json:"writer"`
	// BodyParts and ResultParts are how many keys the items and results take.
	BodyParts   int `json:"body_parts"`
	ResultParts int `json:"result_parts"`
	Total       int `json:"total"`
	Listed      int `json:"listed"`
	// Tokens are those of all items, Waiting of those that are not listed.
	Tokens         int64 `json:"tokens"`
	UnlistedTokens int64 `json:"waiting"`
	Ended          bool  `json:"ended,omitempty"`
	// Accepted is by the clock of the host that accepted the job. GiveUpAt is
	// zero if items are never given up.
	Accepted time.Time `json:"accepted"`
	Due      time.Time `json:"due"`
	GiveUpAt time.Time `json:"give_up_at,omitzero"`
}

// Open reports whether the job has work left.
func (r Record) Open() bool { return !r.Ended && r.Listed < r.Total }

// OutstandingTokens is what the job counts towards its route's bound of tokens.
func (r Record) OutstandingTokens() int64 {
	if r.Ended {
		return 0
	}
	return r.UnlistedTokens
}

// Keys of the store.
const (
	// RecordPrefix is above the records of all jobs.
	RecordPrefix = "jobs/record/"
	bodyPrefix   = "jobs/body/"
	resultPrefix = "jobs/result/"
	partsPrefix  = "jobs/partial/"
	quotaPrefix  = "jobs/quota/"
)

// RecordKey is where a job's record stands.
func RecordKey(id string) string { return RecordPrefix + id }

// BodyKey is where a part of a job's items stands.
func BodyKey(id string, part int) string { return fmt.Sprintf("%s%s/%04d", bodyPrefix, id, part) }

// ResultKey is where a part of a job's results stands.
func ResultKey(id string, part int) string { return fmt.Sprintf("%s%s/%06d", resultPrefix, id, part) }

// PartialKey is where an owner that gives a job away leaves what it had produced
// of unfinished items.
func PartialKey(id string) string { return partsPrefix + id }

// BodyPrefix is above all parts of a job's items.
func BodyPrefix(id string) string { return bodyPrefix + id + "/" }

// ResultPrefix is above all parts of a job's results.
func ResultPrefix(id string) string { return resultPrefix + id + "/" }

// QuotaKey is where the tokens accepted on a route are summed.
func QuotaKey(route string) string { return quotaPrefix + route }

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, trace.Wrap(err)
}

// DecodeRecord reads a record's stored form.
func DecodeRecord(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return r, trace.BadParameter("job record: %v", err)
	}
	return r, nil
}

// PartBytes is the size at which a part is closed; with the largest body it
// stays below what the store takes.
const PartBytes = store.MaxValueBytes / 4 * 3

// SplitItems returns items in parts that each fit into one value.
func SplitItems(items []Item) ([][]byte, error) {
	return split(items, func(i Item) int { return len(i.Body) + len(i.Path) + 512 })
}

// SplitResults is SplitItems for results.
func SplitResults(results []Result) ([][]byte, error) {
	return split(results, func(r Result) int { return len(r.Text) + 128 })
}

func split[T any](list []T, size func(T) int) ([][]byte, error) {
	var parts [][]byte
	var part []T
	total := 0
	closePart := func() error {
		if len(part) == 0 {
			return nil
		}
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(part); err != nil {
			return trace.Wrap(err)
		}
		parts, part, total = append(parts, encoded.Bytes()), nil, 0
		return nil
	}
	for _, one := range list {
		if total > 0 && total+size(one) > PartBytes {
			if err := closePart(); err != nil {
				return nil, err
			}
		}
		part, total = append(part, one), total+size(one)
	}
	if err := closePart(); err != nil {
		return nil, err
	}
	return parts, nil
}

// EncodePartials returns the stored form of unfinished items.
func EncodePartials(list []Partial) ([]byte, error) {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(list); err != nil {
		return nil, trace.Wrap(err)
	}
	return encoded.Bytes(), nil
}

// DecodePartials reads the stored form of unfinished items.
func DecodePartials(text []byte) ([]Partial, error) { return decode[Partial](text) }

// DecodeItems reads one part of items.
func DecodeItems(part []byte) ([]Item, error) { return decode[Item](part) }

// DecodeResults reads one part of results.
func DecodeResults(part []byte) ([]Result, error) { return decode[Result](part) }

func decode[T any](part []byte) ([]T, error) {
	var list []T
	if err := gob.NewDecoder(bytes.NewReader(part)).Decode(&list); err != nil {
		return nil, trace.BadParameter("part of a job: %v", err)
	}
	return list, nil
}
