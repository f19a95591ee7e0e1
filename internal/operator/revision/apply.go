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
	// maxDeletes bounds the keys that one transaction deletes, so that it stays
	// within the platform's limit on operations.
	maxDeletes = 64
	// sweepEvery is the number of revisions between two sweeps.
	sweepEvery = 64
)

// Apply makes source the text that follows revision from. It fails with
// ServicesInvalid or, if another editor was faster, RevisionConflict.
func Apply(ctx context.Context, s store.Store, now time.Time, by, writer string, from int64, source []byte) (*services.Text, *result.Error) {
	a := &application{store: s, now: now, by: by, writer: writer, from: from, source: source}
	return a.run(ctx)
}

// application is one attempt to replace the text.
type application struct {
	store  store.Store
	now    time.Time
	by     string
	writer string
	from   int64
	source []byte
	// current is the document that is to be replaced.
	current Document
}

func (a *application) run(ctx context.Context) (*services.Text, *result.Error) {
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
		return a.settle(ctx, text, err)
	}
	if (a.from+1)%sweepEvery == 0 {
		_ = Sweep(ctx, a.store)
		_ = trimAudit(ctx, a.store, a.now)
	}
	return text, nil
}

// prepare writes the sections that are new and returns the transaction.
func (a *application) prepare(ctx context.Context, modRevision int64) (store.Txn, *result.Error) {
	next := Document{Revision: a.from + 1, By: a.by, At: a.now, WriteID: a.writer, Digest: digest(a.source)}
	txn := store.Txn{Compares: []store.Compare{{Key: CurrentKey, Target: store.ModRevision, Revision: modRevision}}}
	if len(a.source) <= inlineBytes {
		next.Source = string(a.source)
	} else {
		names, there, err := writeSections(ctx, a.store, a.source, a.current.Sections)
		if err != nil {
			return txn, unavailable(err)
		}
		next.Sections = names
		txn.Compares = append(txn.Compares, there...)
	}
	documents, err := keptDocumentsOf(ctx, a.store)
	if err != nil {
		return txn, unavailable(err)
	}
	if drop := len(documents) - (keptDocuments - 1); drop > 0 {
		txn.Deletes = unused(documents[:drop], append([]Document{a.current, next}, documents[drop:]...))
		for _, d := range documents[:drop] {
			txn.Deletes = append(txn.Deletes, documentKey(d.Revision))
		}
		txn.Deletes = txn.Deletes[max(0, len(txn.Deletes)-maxDeletes):]
	}
	return txn, result.From(a.addPuts(&txn, next))
}

func (a *application) addPuts(txn *store.Txn, next Document) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	line, err := encodeEntry(AuditEntry{
		At: a.now, By: a.by, Action: "apply", Revision: next.Revision, FromRevision: a.from,
		Difference: Diff(a.current.Source, string(a.source)), WriteID: a.writer,
	})
	if err != nil {
		return err
	}
	txn.Puts = []store.Put{
		{Key: CurrentKey, Value: value},
		{Key: documentKey(next.Revision), Value: value},
		{Key: auditKey(a.now, a.writer), Value: line},
	}
	return nil
}

// settle reads back what became of a write that was refused or unclear.
func (a *application) settle(ctx context.Context, text *services.Text, cause error) (*services.Text, *result.Error) {
	current, _, failure := Load(ctx, a.store)
	if failure != nil {
		return nil, a.unsettled(cause)
	}
	if current.Revision == a.from {
		return nil, result.New(result.StoreUnavailable, "change was not accepted; apply it again").WithRetry(time.Second)
	}
	writer, known, failure := a.writerOf(ctx, current)
	switch {
	case failure != nil:
		return nil, a.unsettled(cause)
	case known && writer == a.writer:
		return text, nil
	case known || cause == nil:
		return nil, a.conflict(ctx, current)
	}
	return nil, a.unsettled(cause)
}

// unsettled is the answer while nobody can tell; a refused comparison is no
// such case, since a refused transaction had no effect.
func (a *application) unsettled(cause error) *result.Error {
	if cause == nil || errors.Is(cause, store.ErrUnavailable) {
		return result.New(result.StoreUnavailable, "change was not accepted; apply it again").WithRetry(time.Second)
	}
	return result.New(result.StoreUnavailable, "change may be accepted; look at the history for revision %d", a.from+1).WithRan(result.RanMaybe)
}

// writerOf returns who wrote the revision after from: the document tells while
// it is kept, then the audit trail.
func (a *application) writerOf(ctx context.Context, current Document) (string, bool, *result.Error) {
	if current.Revision == a.from+1 {
		return current.WriteID, true, nil
	}
	entry, ok, err := a.store.Get(ctx, documentKey(a.from+1))
	if err != nil {
		return "", false, unavailable(err)
	}
	var d Document
	if ok && json.Unmarshal(entry.Value, &d) == nil {
		return d.WriteID, true, nil
	}
	return a.searchAudit(ctx)
}

func (a *application) searchAudit(ctx context.Context) (string, bool, *result.Error) {
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

func (a *application) conflict(ctx context.Context, current Document) *result.Error {
	return NewConflict(ctx, a.store, current, a.from, a.source)
}

// NewConflict is the refusal of a change on revision from while current is the
// later one. It shows both changes from the text that the editor began with.
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
		bothChanges(from, current, base.Source, string(source)))
}

func bothChanges(from int64, current Document, base, yours string) string {
	return fmt.Sprintf("changed since by others (%d to %d):\n%s\nchanged by you (on %d):\n%s",
		from, current.Revision, Diff(base, current.Source), from, Diff(base, yours))
}
