// Package revision keeps the services text in the platform's store: one
// current document, replaced by compare-and-swap in the same transaction that
// writes its entry in the audit trail. Revision numbers increase by one. A
// higher revision always supersedes a lower one, so a host never returns to an
// older text.
//
// A short text is stored inline in its document. A long one is split into
// content-addressed, write-once sections, and the document lists their names.
// An editor first writes the new sections and then replaces the document in one
// transaction. Section boundaries are content-defined, so a change affects only
// the sections around it and the others are reused.
//
// The latest documents stay readable by their revision, with their sections, so
// that an editor whose change conflicts with another one is shown both changes.
// The transaction that deletes the oldest document also deletes the sections
// that no other document references.
package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// CurrentKey is the key of the current document in the store.
	CurrentKey = "text/current"
	// sectionPrefix and documentPrefix are not below CurrentKey, so that a watch
	// on it receives one event per change.
	sectionPrefix  = "text/section/"
	documentPrefix = "text/revision/"
	// sweptKey is written with all sections that a sweep deletes. An editor whose
	// transaction finds it changed may have lost a section.
	sweptKey = "text/swept"
	// maxKeptDocuments is the number of latest revisions that stay readable.
	maxKeptDocuments = 16
	// loadAttempts limits the attempts of a read that finds a section deleted.
	loadAttempts = 3
)

// Document is one revision of the services text with its author and time.
type Document struct {
	Revision int64     `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// WriteID uniquely identifies the write, so that an editor can tell after an
	// unknown outcome whether its own write succeeded.
	WriteID string `json:"writer"`
	// Source is the text. It is stored only if Sections is empty; otherwise
	// loading joins it from the sections.
	Source string `json:"source,omitempty"`
	// Sections lists the names of the text's sections in order.
	Sections []string `json:"sections,omitempty"`
	// Digest is the SHA-256 sum of Source in hexadecimal.
	Digest string `json:"digest,omitempty"`
}

// Load returns the current document and the store revision of its last
// modification. If there is no document, the returned one has revision 0.
func Load(ctx context.Context, s store.Store) (Document, int64, *result.Error) {
	return LoadIfNewer(ctx, s, -1, func() *Sections { return nil })
}

// LoadIfNewer is like Load for a reader that already has a text of the revision
// in known. A document that is not newer is returned without its source. For a
// newer one, cached is called, and the sections that it returns are not read from
// the store.
func LoadIfNewer(ctx context.Context, s store.Store, known int64, cached func() *Sections) (Document, int64, *result.Error) {
	for range loadAttempts {
		d, modRevision, complete, failure := loadOnce(ctx, s, known, cached)
		if failure != nil || complete {
			return d, modRevision, failure
		}
	}
	return Document{}, 0, result.New(result.StoreUnavailable, "services text changes faster than it can be read").WithRetry(time.Second)
}

func unavailableError(err error) *result.Error {
	return result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
}

// loadOnce reads the document and its sections; complete is false if a section
// was deleted in the meantime.
func loadOnce(ctx context.Context, s store.Store, known int64, cached func() *Sections) (d Document, modRevision int64, complete bool, failure *result.Error) {
	entry, ok, err := s.Get(ctx, CurrentKey)
	if err != nil {
		return d, 0, false, unavailableError(err)
	}
	if !ok {
		return d, 0, true, nil
	}
	if err := json.Unmarshal(entry.Value, &d); err != nil {
		return d, 0, false, result.New(result.Internal, "stored services text: %v", err)
	}
	if d.Revision <= known {
		d.Source = ""
		return d, entry.ModRevision, true, nil
	}
	complete, failure = loadSource(ctx, s, &d, cached())
	return d, entry.ModRevision, complete, failure
}

// loadSource joins the sections of d into its source and verifies the digest;
// complete is false if a section is missing.
func loadSource(ctx context.Context, s store.Store, d *Document, cached *Sections) (complete bool, failure *result.Error) {
	if len(d.Sections) > 0 {
		source, ok, err := readSections(ctx, s, d.Sections, cached)
		if err != nil {
			return false, unavailableError(err)
		}
		if !ok {
			return false, nil
		}
		d.Source = string(source)
	}
	if d.Digest != "" && d.Digest != digest([]byte(d.Source)) {
		return false, result.New(result.Internal, "stored services text of revision %d is damaged", d.Revision)
	}
	return true, nil
}

// loadRevision returns the document of an earlier revision; its second result is
// false if the document is no longer kept.
func loadRevision(ctx context.Context, s store.Store, revision int64) (Document, bool, *result.Error) {
	var d Document
	entry, ok, err := s.Get(ctx, documentKey(revision))
	if err != nil {
		return d, false, unavailableError(err)
	}
	if !ok || json.Unmarshal(entry.Value, &d) != nil {
		return d, false, nil
	}
	complete, failure := loadSource(ctx, s, &d, nil)
	return d, complete, failure
}

func documentKey(revision int64) string { return fmt.Sprintf("%s%016d", documentPrefix, revision) }

func digest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}
