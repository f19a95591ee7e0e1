package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// AuditPrefix is the prefix of the audit trail's keys in the store.
	AuditPrefix = "audit/"
	// maxKeyTimeMS is later than any time in the trail, in Unix milliseconds.
	// Keys hold the difference from it, so that a range read returns the latest
	// entry first.
	maxKeyTimeMS = 9_999_999_999_999
	// auditRetention is how long an entry of the trail is kept.
	auditRetention = 30 * 24 * time.Hour
	auditPageSize  = 200
	// maxHistory limits the entries that one call of History returns.
	maxHistory = 1000
	// maxDifferenceBytes limits the difference stored in an entry.
	maxDifferenceBytes = 16 << 10
)

// AuditEntry is one entry of the audit trail: an action, its author, time and
// subject.
type AuditEntry struct {
	At     time.Time `json:"at"`
	By     string    `json:"by"`
	Action string    `json:"action"`
	// Revision and FromRevision are set for a change of the services text.
	Revision     int64  `json:"revision,omitempty"`
	FromRevision int64  `json:"from_revision,omitempty"`
	Difference   string `json:"difference,omitempty"`
	// Subject is the target of any other action, such as a job's id.
	Subject string `json:"subject,omitempty"`
	// WriteID uniquely identifies the write.
	WriteID string `json:"writer,omitempty"`
}

func auditKey(at time.Time, writeID string) string {
	return fmt.Sprintf("%s%013d/%s", AuditPrefix, maxKeyTimeMS-at.UnixMilli(), writeID)
}

func encodeEntry(e AuditEntry) ([]byte, error) {
	if len(e.Difference) > maxDifferenceBytes {
		e.Difference = e.Difference[:maxDifferenceBytes] + "…"
	}
	return json.Marshal(e)
}

// AddAuditEntry adds an entry for an action other than a change of the services
// text, such as lifting a quarantine or cancelling a job.
func AddAuditEntry(ctx context.Context, s store.Store, e AuditEntry) *result.Error {
	if e.WriteID == "" {
		e.WriteID = uuid.NewString()
	}
	value, err := encodeEntry(e)
	if err != nil {
		return result.From(err)
	}
	if err := chunk.PutOnce(ctx, s, auditKey(e.At, e.WriteID), value); err != nil {
		return unavailableError(err)
	}
	return nil
}

// History returns up to limit entries of the audit trail, latest first.
func History(ctx context.Context, s store.Store, limit int) ([]AuditEntry, *result.Error) {
	limit = min(max(limit, 1), maxHistory)
	list := make([]AuditEntry, 0, min(limit, auditPageSize))
	from, end := AuditPrefix, store.PrefixEnd(AuditPrefix)
	for len(list) < limit {
		page := min(auditPageSize, limit-len(list))
		entries, _, err := s.Range(ctx, from, end, page)
		if err != nil {
			return nil, unavailableError(err)
		}
		for _, entry := range entries {
			var auditEntry AuditEntry
			if err := json.Unmarshal(entry.Value, &auditEntry); err == nil {
				list = append(list, auditEntry)
			}
		}
		if len(entries) < page {
			break
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
	return list, nil
}

// trimAudit deletes a bounded number of entries older than auditRetention.
func trimAudit(ctx context.Context, s store.Store, now time.Time) error {
	from := auditKey(now.Add(-auditRetention), "")
	entries, _, err := s.Range(ctx, from, store.PrefixEnd(AuditPrefix), maxDeletes+sweepEvery)
	if err != nil || len(entries) == 0 {
		return err
	}
	var keys []string
	for _, entry := range entries[:min(len(entries), maxDeletes+sweepEvery/2)] {
		keys = append(keys, entry.Key)
	}
	_, err = store.DeleteAll(ctx, s, nil, keys)
	return err
}
