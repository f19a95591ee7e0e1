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
	// AuditPrefix is where the audit trail stands in the store.
	AuditPrefix = "audit/"
	// latestMS is later than any time of the trail; keys count down from it, so
	// that a range begins with the latest line.
	latestMS = 9_999_999_999_999
	// auditKeep is how long a line of the trail is kept.
	auditKeep = 30 * 24 * time.Hour
	auditPage = 200
	// maxHistory bounds the lines that one call returns.
	maxHistory = 1000
	// maxDifferenceBytes bounds the difference that a line keeps.
	maxDifferenceBytes = 16 << 10
)

// AuditEntry is one line of the audit trail: who did what, when and to what.
type AuditEntry struct {
	At     time.Time `json:"at"`
	By     string    `json:"by"`
	Action string    `json:"action"`
	// Revision and FromRevision are set for a change of the services text.
	Revision     int64  `json:"revision,omitempty"`
	FromRevision int64  `json:"from_revision,omitempty"`
	Difference   string `json:"difference,omitempty"`
	// Subject is what any other action was done to, as a job's id.
	Subject string `json:"subject,omitempty"`
	// WriteID is unique to the write.
	WriteID string `json:"writer,omitempty"`
}

func auditKey(at time.Time, writer string) string {
	return fmt.Sprintf("%s%013d/%s", AuditPrefix, latestMS-at.UnixMilli(), writer)
}

func encodeEntry(e AuditEntry) ([]byte, error) {
	if len(e.Difference) > maxDifferenceBytes {
		e.Difference = e.Difference[:maxDifferenceBytes] + "…"
	}
	return json.Marshal(e)
}

// AddAuditEntry adds a line on an action other than a change of the services text: the
// lift of a quarantine, the cancellation of a job.
func AddAuditEntry(ctx context.Context, s store.Store, e AuditEntry) *result.Error {
	if e.WriteID == "" {
		e.WriteID = uuid.NewString()
	}
	line, err := encodeEntry(e)
	if err != nil {
		return result.From(err)
	}
	if err := chunk.PutOnce(ctx, s, auditKey(e.At, e.WriteID), line); err != nil {
		return unavailable(err)
	}
	return nil
}

// History returns up to limit lines of the audit trail, latest first.
func History(ctx context.Context, s store.Store, limit int) ([]AuditEntry, *result.Error) {
	limit = min(max(limit, 1), maxHistory)
	list := make([]AuditEntry, 0, min(limit, auditPage))
	from, end := AuditPrefix, store.PrefixEnd(AuditPrefix)
	for len(list) < limit {
		page := min(auditPage, limit-len(list))
		entries, _, err := s.Range(ctx, from, end, page)
		if err != nil {
			return nil, unavailable(err)
		}
		for _, entry := range entries {
			var one AuditEntry
			if err := json.Unmarshal(entry.Value, &one); err == nil {
				list = append(list, one)
			}
		}
		if len(entries) < page {
			break
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
	return list, nil
}

// trimAudit deletes lines that are past their keep time, a bounded number a
// call.
func trimAudit(ctx context.Context, s store.Store, now time.Time) error {
	from := auditKey(now.Add(-auditKeep), "")
	entries, _, err := s.Range(ctx, from, store.PrefixEnd(AuditPrefix), maxDeletes+sweepEvery)
	if err != nil || len(entries) == 0 {
		return err
	}
	var txn store.Txn
	for _, entry := range entries[:min(len(entries), maxDeletes+sweepEvery/2)] {
		txn.Deletes = append(txn.Deletes, entry.Key)
	}
	_, err = s.Commit(ctx, txn)
	return err
}
