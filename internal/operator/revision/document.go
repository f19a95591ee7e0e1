// Package revision keeps the services text in the platform's store: one
// current document, replaced by compare-and-swap together with its line in the
// audit trail. Revisions count up by one; the higher one wins everywhere, so a
// host never goes back.
package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// CurrentKey is where the document stands in the store.
const CurrentKey = "text/current"

// AuditPrefix is where the audit trail stands in the store.
const AuditPrefix = "audit/"

// Document is one revision of the services text with its origin.
type Document struct {
	Revision int64     `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// Writer is unique to the write; it settles an unclear outcome.
	Writer string `json:"writer"`
	Source string `json:"source"`
}

// AuditEntry is one line of the audit trail.
type AuditEntry struct {
	At           time.Time `json:"at"`
	By           string    `json:"by"`
	Action       string    `json:"action"`
	Revision     int64     `json:"revision,omitempty"`
	FromRevision int64     `json:"from_revision,omitempty"`
	Difference   string    `json:"difference,omitempty"`
	Subject      string    `json:"subject,omitempty"`
}

// Load returns the current document; revision 0 if there is none.
func Load(ctx context.Context, s store.Store) (Document, int64, *result.Error) {
	entry, ok, err := s.Get(ctx, CurrentKey)
	if err != nil {
		return Document{}, 0, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	if !ok {
		return Document{}, 0, nil
	}
	var d Document
	if err := json.Unmarshal(entry.Value, &d); err != nil {
		return Document{}, 0, result.New(result.Internal, "stored services text: %v", err)
	}
	return d, entry.ModRevision, nil
}

// Apply makes source the text that follows revision from. It fails with
// ServicesInvalid or, if another editor was faster, RevisionConflict.
func Apply(ctx context.Context, s store.Store, now time.Time, by, writer string, from int64, source []byte) (*services.Text, *result.Error) {
	text, err := services.Parse(source, from+1)
	if err != nil {
		return nil, result.New(result.ServicesInvalid, "%v", err)
	}
	current, modRevision, failure := Load(ctx, s)
	if failure != nil {
		return nil, failure
	}
	if current.Revision != from {
		return nil, conflict(current, from, source)
	}
	next := Document{Revision: from + 1, By: by, At: now, Writer: writer, Source: string(source)}
	audit := AuditEntry{
		At: now, By: by, Action: "apply", Revision: next.Revision, FromRevision: from,
		Difference: Difference(current.Source, next.Source),
	}
	txn, err := applyTxn(modRevision, next, audit)
	if err != nil {
		return nil, result.From(err)
	}
	outcome, err := s.Commit(ctx, txn)
	if err == nil && outcome.Succeeded {
		return text, nil
	}
	return settle(ctx, s, text, writer, from, source)
}

func applyTxn(modRevision int64, next Document, audit AuditEntry) (store.Txn, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return store.Txn{}, err
	}
	line, err := json.Marshal(audit)
	if err != nil {
		return store.Txn{}, err
	}
	return store.Txn{
		Compares: []store.Compare{{Key: CurrentKey, Target: store.ModRevision, Revision: modRevision}},
		Puts: []store.Put{
			{Key: CurrentKey, Value: value},
			{Key: fmt.Sprintf("%s%016d", AuditPrefix, next.Revision), Value: line},
		},
	}, nil
}

// settle reads back what became of a write that was refused or unclear.
func settle(ctx context.Context, s store.Store, text *services.Text, writer string, from int64, source []byte) (*services.Text, *result.Error) {
	current, _, failure := Load(ctx, s)
	switch {
	case failure != nil:
		return nil, result.New(result.StoreUnavailable, "change may be accepted; look at the current revision").WithRan(result.RanMaybe)
	case current.Writer == writer:
		return text, nil
	case current.Revision == from:
		return nil, result.New(result.StoreUnavailable, "change was not accepted; apply it again").WithRetry(time.Second)
	}
	return nil, conflict(current, from, source)
}

func conflict(current Document, from int64, source []byte) *result.Error {
	return result.New(result.RevisionConflict, "revision is %d by %s, not %d; the two differ in:\n%s",
		current.Revision, current.By, from, Difference(current.Source, string(source)))
}

// History returns the audit trail, oldest first.
func History(ctx context.Context, s store.Store) ([]AuditEntry, *result.Error) {
	const page = 200
	entries, _, err := store.RangeAll(ctx, s, AuditPrefix, page)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
	}
	list := make([]AuditEntry, 0, len(entries))
	for _, entry := range entries {
		var one AuditEntry
		if err := json.Unmarshal(entry.Value, &one); err == nil {
			list = append(list, one)
		}
	}
	return list, nil
}
