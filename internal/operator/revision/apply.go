package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// maxDeletes limits the keys that a sweep of sections deletes.
	maxDeletes = 64
	// applyPuts is the number of puts of the transaction that replaces the document.
	applyPuts = 3
	// maxSectionCompares limits the new sections that this transaction compares, so that it
	// has room for deletes.
	maxSectionCompares = 16
	// sweepEvery is the number of revisions between two sweeps.
	sweepEvery = 64
)

// Apply replaces the text of revision from with source. It fails with
// ServicesInvalid if source is invalid and with RevisionConflict if the current
// revision is not from.
func Apply(ctx context.Context, s store.Store, now time.Time, by, writeID string, from int64, source []byte) (*services.Text, *result.Error) {
	a := &applyAttempt{store: s, now: now, by: by, writeID: writeID, from: from, source: source}
	return a.run(ctx)
}

// applyAttempt is one attempt to replace the text.
type applyAttempt struct {
	store   store.Store
	now     time.Time
	by      string
	writeID string
	from    int64
	source  []byte
	// current is the document to be replaced.
	current Document
}

func (a *applyAttempt) run(ctx context.Context) (*services.Text, *result.Error) {
	text, err := services.ParseStrict(a.source, a.from+1)
	if err != nil {
		return nil, result.New(result.ServicesInvalid, "%v", err)
	}
	current, modRevision, failure := Load(ctx, a.store)
	if failure != nil {
		return nil, failure
	}
	if current.Revision != a.from {
		return nil, a.conflict(ctx, current)
	}
	a.current = current
	txn, failure := a.prepare(ctx, modRevision)
	if failure != nil {
		return nil, failure
	}
	outcome, err := a.store.Commit(ctx, txn)
	if err != nil || !outcome.Succeeded {
		return a.resolveOutcome(ctx, text, err)
	}
	if (a.from+1)%sweepEvery == 0 {
		_ = Sweep(ctx, a.store)
		_ = trimAudit(ctx, a.store, a.now)
	}
	return text, nil
}

// prepare writes the new sections and returns the transaction that replaces the
// document.
func (a *applyAttempt) prepare(ctx context.Context, modRevision int64) (store.Txn, *result.Error) {
	next := Document{Revision: a.from + 1, By: a.by, At: a.now, WriteID: a.writeID, Digest: digest(a.source)}
	txn := store.Txn{Compares: []store.Compare{{Key: CurrentKey, Target: store.ModRevision, Revision: modRevision}}}
	if len(a.source) <= maxInlineBytes {
		next.Source = string(a.source)
	} else {
		swept, _, err := a.store.Get(ctx, sweptKey)
		if err != nil {
			return txn, unavailableError(err)
		}
		names, compares, err := writeSections(ctx, a.store, a.source, a.current.Sections)
		if err != nil {
			return txn, unavailableError(err)
		}
		next.Sections = names
		// Builds before sweptKey sweep without changing it.
		txn.Compares = append(txn.Compares, compares[:min(len(compares), maxSectionCompares)]...)
		txn.Compares = append(txn.Compares, store.Compare{Key: sweptKey, Target: store.ModRevision, Revision: swept.ModRevision})
	}
	documents, err := loadKeptDocuments(ctx, a.store)
	if err != nil {
		return txn, unavailableError(err)
	}
	if excess := len(documents) - (maxKeptDocuments - 1); excess > 0 {
		txn.Deletes = unreferencedKeys(documents[:excess], append([]Document{a.current, next}, documents[excess:]...))
		for _, d := range documents[:excess] {
			txn.Deletes = append(txn.Deletes, documentKey(d.Revision))
		}
		// The rest is deleted with later changes.
		most := max(0, store.MaxTxnEntries-applyPuts-len(txn.Compares))
		txn.Deletes = txn.Deletes[max(0, len(txn.Deletes)-most):]
	}
	return txn, result.From(a.addPuts(&txn, next))
}

func (a *applyAttempt) addPuts(txn *store.Txn, next Document) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	auditValue, err := encodeEntry(AuditEntry{
		At: a.now, By: a.by, Action: "apply", Revision: next.Revision, FromRevision: a.from,
		Difference: Diff(a.current.Source, string(a.source)), WriteID: a.writeID,
	})
	if err != nil {
		return err
	}
	txn.Puts = []store.Put{
		{Key: CurrentKey, Value: value},
		{Key: documentKey(next.Revision), Value: value},
		{Key: auditKey(a.now, a.writeID), Value: auditValue},
	}
	return nil
}

// resolveOutcome reads from the store whether a transaction that failed on a
// comparison or returned an error took effect.
func (a *applyAttempt) resolveOutcome(ctx context.Context, text *services.Text, cause error) (*services.Text, *result.Error) {
	current, _, failure := Load(ctx, a.store)
	if failure != nil {
		return nil, a.unresolvedError(cause)
	}
	if current.Revision == a.from {
		return nil, result.New(result.StoreUnavailable, "change was not accepted; apply it again").WithRetry(time.Second)
	}
	writeID, found, failure := a.findWriteID(ctx, current)
	switch {
	case failure != nil:
		return nil, a.unresolvedError(cause)
	case found && writeID == a.writeID:
		return text, nil
	case found || cause == nil:
		return nil, a.conflict(ctx, current)
	}
	return nil, a.unresolvedError(cause)
}

// unresolvedError returns the error for a write whose outcome could not be read
// back. A transaction that failed on a comparison (cause is nil) or that the
// store did not accept had no effect; any other may have been applied.
func (a *applyAttempt) unresolvedError(cause error) *result.Error {
	if cause == nil || errors.Is(cause, store.ErrUnavailable) {
		return result.New(result.StoreUnavailable, "change was not accepted; apply it again").WithRetry(time.Second)
	}
	return result.New(result.StoreUnavailable, "change may be accepted; look at the history for revision %d", a.from+1).WithRan(result.RanMaybe)
}

// findWriteID returns the WriteID of the revision after from. It reads the
// document of that revision or, if that is no longer kept, the audit trail.
func (a *applyAttempt) findWriteID(ctx context.Context, current Document) (string, bool, *result.Error) {
	if current.Revision == a.from+1 {
		return current.WriteID, true, nil
	}
	entry, ok, err := a.store.Get(ctx, documentKey(a.from+1))
	if err != nil {
		return "", false, unavailableError(err)
	}
	var d Document
	if ok && json.Unmarshal(entry.Value, &d) == nil {
		return d.WriteID, true, nil
	}
	return a.searchAudit(ctx)
}

func (a *applyAttempt) searchAudit(ctx context.Context) (string, bool, *result.Error) {
	list, failure := History(ctx, a.store, maxHistory)
	if failure != nil {
		return "", false, failure
	}
	for _, e := range list {
		if e.Action == "apply" && e.Revision == a.from+1 {
			return e.WriteID, true, nil
		}
	}
	return "", false, nil
}

func (a *applyAttempt) conflict(ctx context.Context, current Document) *result.Error {
	return NewConflict(ctx, a.store, current, a.from, a.source)
}

// NewConflict returns the error for a change based on revision from, which
// current has already replaced. The message shows the changes from that revision
// to current and to source or, if the revision is no longer kept, the difference
// between current and source.
func NewConflict(ctx context.Context, s store.Store, current Document, from int64, source []byte) *result.Error {
	base, ok, failure := loadRevision(ctx, s, from)
	if from == 0 {
		base, ok, failure = Document{}, true, nil
	}
	if failure != nil || !ok {
		return result.New(result.RevisionConflict, "revision is %d by %s, not %d; revision %d is no longer kept; theirs to yours:\n%s",
			current.Revision, current.By, from, from, Diff(current.Source, string(source)))
	}
	return result.New(result.RevisionConflict, "revision is %d by %s, not %d\n%s", current.Revision, current.By, from,
		formatChanges(from, current, base.Source, string(source)))
}

func formatChanges(from int64, current Document, base, yours string) string {
	return fmt.Sprintf("changed since by others (%d to %d):\n%s\nchanged by you (on %d):\n%s",
		from, current.Revision, Diff(base, current.Source), from, Diff(base, yours))
}
