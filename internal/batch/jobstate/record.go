package jobstate

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// Record is the durable state of a job. Each change rewrites it in a transaction
// that requires the stored record to be unchanged, so that only one owner can
// write.
type Record struct {
	ID    string `json:"id"`
	Route string `json:"route"`
	Host  string `json:"host"`
	// Organisation is the name of the organisation that handed the job in, "" if the
	// configuration had none. Builds that don't know it send no name to servers.
	Organisation string `json:"organisation,omitempty"`
	// ConfigVersion is the version of the configuration that accepted the job; no items
	// are run or given up by an older one. It is 0 in records of earlier builds.
	ConfigVersion int64 `json:"config_version,omitempty"`
	// Owner is the host that runs the job; it is empty if there is none.
	Owner string `json:"owner,omitempty"`
	// Released is set if the host that named Owner was the owner until then, and no
	// host before Owner denies results from memory any more. A host that takes the job
	// over from another one does not set it.
	Released bool `json:"released,omitempty"`
	// Serial increases with each change and Writer identifies the process that
	// made it. Together they show whether a write took effect whose reply was
	// lost.
	Serial int64  `json:"serial"`
	Writer string `json:"writer"`
	// BodyParts and ResultParts are the numbers of keys that hold the items and
	// the results.
	BodyParts   int `json:"body_parts"`
	ResultParts int `json:"result_parts"`
	// Total is the number of items, Listed the number of durable results.
	Total  int `json:"total"`
	Listed int `json:"listed"`
	// Tokens is the sum over all items, UnlistedTokens over the items that are
	// not listed.
	Tokens         int64 `json:"tokens"`
	UnlistedTokens int64 `json:"waiting"`
	Ended          bool  `json:"ended,omitempty"`
	// Accepted is the time of acceptance by the clock of the accepting host.
	// GiveUpAt is zero if items do not expire.
	Accepted time.Time `json:"accepted"`
	Due      time.Time `json:"due"`
	GiveUpAt time.Time `json:"give_up_at,omitzero"`
	// Failures holds how often runs of items that are not listed are known to have
	// failed, by the items' indexes, and Rejected those that a server said can't be done.
	Failures map[int]int `json:"failures,omitempty"`
	Rejected []int       `json:"rejected,omitempty"`
	// FailuresKnown is set if Failures and Rejected lack only what Owner itself knows. It
	// is not once a host has taken the job over from an owner that had not let go of it,
	// or one of an earlier build, which does not keep it.
	FailuresKnown bool `json:"failures_known,omitempty"`
}

// Open reports whether the job has not ended and has unlisted items.
func (r Record) Open() bool { return !r.Ended && r.Listed < r.Total }

// OutstandingTokens returns the number of tokens that count towards the token
// cap of the job's route.
func (r Record) OutstandingTokens() int64 {
	if r.Ended {
		return 0
	}
	return r.UnlistedTokens
}

// Prefixes of store keys.
const (
	// RecordPrefix is the common prefix of the records of all jobs.
	RecordPrefix  = "jobs/record/"
	bodyPrefix    = "jobs/body/"
	resultPrefix  = "jobs/result/"
	partialPrefix = "jobs/partial/"
	quotaPrefix   = "jobs/quota/"
)

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// BodyKey returns the key of one part of a job's items.
func BodyKey(id string, part int) string { return fmt.Sprintf("%s%s/%04d", bodyPrefix, id, part) }

// ResultKey returns the key of one part of a job's results.
func ResultKey(id string, part int) string { return fmt.Sprintf("%s%s/%06d", resultPrefix, id, part) }

// PartialKey returns the key under which an owner that hands a job over stores
// the output of unfinished items.
func PartialKey(id string) string { return partialPrefix + id }

// BodyPrefix returns the common key prefix of the parts of a job's items.
func BodyPrefix(id string) string { return bodyPrefix + id + "/" }

// ResultPrefix returns the common key prefix of the parts of a job's results.
func ResultPrefix(id string) string { return resultPrefix + id + "/" }

// QuotaKey returns the key of the sum of tokens accepted on a route from an
// organisation, or from all callers if that is empty.
func QuotaKey(route, organisation string) string {
	if organisation == "" {
		return quotaPrefix + route
	}
	return quotaPrefix + route + organisationSeparator + organisationPart(organisation)
}

// organisationSeparator is no character of a job ID that a caller may send.
const organisationSeparator = "~"

// organisationPart returns a short text that stands for an organisation in keys.
func organisationPart(name string) string {
	return strconv.FormatUint(xxhash.Sum64String(name), 16)
}

// QualifiedID returns the ID under which a job is kept that an organisation hands in
// under an ID. Jobs of different organisations never meet: to the callers of one, those
// of another do not exist.
func QualifiedID(organisation, id string) string {
	if organisation == "" {
		return id
	}
	return organisationPart(organisation) + organisationSeparator + id
}

// Encode returns the stored encoding of the record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

// The numbers of parts that the keys of BodyKey and ResultKey can tell apart in
// their order.
const (
	maxBodyParts   = 9999
	maxResultParts = 999_999
)

// DecodeRecord decodes a stored record. It returns an error if its counts are none
// that a host writes.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, trace.BadParameter("job record: %v", err)
	}
	if r.BodyParts < 0 || r.BodyParts > maxBodyParts || r.ResultParts < 0 || r.ResultParts > maxResultParts {
		return Record{}, trace.BadParameter("job record: %d and %d parts", r.BodyParts, r.ResultParts)
	}
	if r.Listed < 0 || r.Listed > r.Total || r.Tokens < 0 || r.UnlistedTokens < 0 {
		return Record{}, trace.BadParameter("job record: %d of %d results, %d of %d tokens", r.Listed, r.Total, r.UnlistedTokens, r.Tokens)
	}
	return r, nil
}

// PartBytes is the estimated size beyond which a new part is started, so that a
// part stays below the largest value that the store accepts. An item or result
// that is larger by itself gets a part of its own; callers limit its size.
const PartBytes = store.MaxValueBytes / 4 * 3

// SplitItems encodes items in parts that each fit into one value of the store.
// It counts 512 bytes of overhead per item.
func SplitItems(items []Item) ([][]byte, error) {
	return split(items, func(i Item) int { return len(i.Body) + len(i.Path) + 512 })
}

// SplitResults encodes results in parts that each fit into one value of the
// store. It counts 128 bytes of overhead per result.
func SplitResults(results []Result) ([][]byte, error) { return split(results, resultSize) }

// resultSize estimates the size of an encoded result.
func resultSize(r Result) int { return len(r.Text) + 128 }

// FirstPart returns the results that SplitResults puts into its first part, and
// their estimated size.
func FirstPart(results []Result) ([]Result, int) {
	size := 0
	for i, r := range results {
		if size > 0 && size+resultSize(r) > PartBytes {
			return results[:i], size
		}
		size += resultSize(r)
	}
	return results, size
}

// split encodes items in parts of at most PartBytes by the given size estimate;
// a larger item gets a part of its own.
func split[T any](items []T, size func(T) int) ([][]byte, error) {
	var parts [][]byte
	var part []T
	partSize := 0
	closePart := func() error {
		if len(part) == 0 {
			return nil
		}
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(part); err != nil {
			return trace.Wrap(err)
		}
		parts, part, partSize = append(parts, encoded.Bytes()), nil, 0
		return nil
	}
	for _, item := range items {
		if partSize > 0 && partSize+size(item) > PartBytes {
			if err := closePart(); err != nil {
				return nil, err
			}
		}
		part, partSize = append(part, item), partSize+size(item)
	}
	if err := closePart(); err != nil {
		return nil, err
	}
	return parts, nil
}

// EncodePartials returns the stored encoding of the output of unfinished items.
func EncodePartials(partials []Partial) ([]byte, error) {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(partials); err != nil {
		return nil, trace.Wrap(err)
	}
	return encoded.Bytes(), nil
}

// DecodePartials decodes the stored output of unfinished items.
func DecodePartials(data []byte) ([]Partial, error) { return decode[Partial](data) }

// DecodeItems decodes one stored part of items.
func DecodeItems(part []byte) ([]Item, error) { return decode[Item](part) }

// DecodeResults decodes one stored part of results.
func DecodeResults(part []byte) ([]Result, error) { return decode[Result](part) }

func decode[T any](part []byte) ([]T, error) {
	var items []T
	if err := gob.NewDecoder(bytes.NewReader(part)).Decode(&items); err != nil {
		return nil, trace.BadParameter("part of a job: %v", err)
	}
	return items, nil
}
