// Package revision keeps the services text in the platform's store: one
// current document, replaced by compare-and-swap together with its line in the
// audit trail. Revisions count up by one; the higher one wins everywhere, so a
// host never goes back.
//
// A short text stands inside its document. A long one is cut into sections,
// each a write-once value under a key that is named by its content, and the
// document only names them: an editor first writes the sections that are new,
// then replaces the document in one transaction. Cuts depend on the content
// around them, so that a change moves only the cuts next to it and the other
// sections are kept.
//
// The latest documents stay readable under their revision, with their
// sections, so that racing editors are shown both changes. The transaction
// that drops the oldest of them deletes the sections that only it named.
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
	// CurrentKey is where the document stands in the store.
	CurrentKey = "text/current"
	// sectionPrefix and documentPrefix are not below CurrentKey, so that a watch
	// on it sees one event a change.
	sectionPrefix  = "text/section/"
	documentPrefix = "text/revision/"
	// keptDocuments is how many of the latest revisions stay readable.
	keptDocuments = 16
	// loadAttempts bounds reads that race with the deletion of old sections.
	loadAttempts = 3
)

// Document is one revision of the services text with its origin.
type Document struct {
	Revision int64     `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// WriteID is unique to the write; it settles an unclear outcome.
	WriteID string `json:"writer"`
	// Source is the text; it is stored only if Sections is empty.
	Source string `json:"source,omitempty"`
	// Sections names the text's sections in order.
	Sections []string `json:"sections,omitempty"`
	// Digest is the SHA-256 sum of Source in hexadecimal.
	Digest string `json:"digest,omitempty"`
}

// Load returns the current document and the store's revision of its last
// change; the document's revision is 0 if there is none.
func Load(ctx context.Context, s store.Store) (Document, int64, *result.Error) {
	return LoadIfNewer(ctx, s, -1, func() *Sections { return nil })
}

// LoadIfNewer is Load for a reader that has a revision: a document that is not
// newer comes without its source, and the sections of a newer one are taken
// from cached where it has them.
func LoadIfNewer(ctx context.Context, s store.Store, than int64, cached func() *Sections) (Document, int64, *result.Error) {
	for range loadAttempts {
		d, modRevision, whole, failure := loadOnce(ctx, s, than, cached)
		if failure != nil || whole {
			return d, modRevision, failure
		}
	}
	return Document{}, 0, result.New(result.StoreUnavailable, "services text changes faster than it can be read").WithRetry(time.Second)
}

func unavailable(err error) *result.Error {
	return result.New(result.StoreUnavailable, "%v", err).WithRetry(time.Second)
}

// loadOnce reads the document and its sections; whole is false if a section
// was deleted in between.
func loadOnce(ctx context.Context, s store.Store, than int64, cached func() *Sections) (d Document, modRevision int64, whole bool, failure *result.Error) {
	entry, ok, err := s.Get(ctx, CurrentKey)
	if err != nil {
		return d, 0, false, unavailable(err)
	}
	if !ok {
		return d, 0, true, nil
	}
	if err := json.Unmarshal(entry.Value, &d); err != nil {
		return d, 0, false, result.New(result.Internal, "stored services text: %v", err)
	}
	if d.Revision <= than {
		d.Source = ""
		return d, entry.ModRevision, true, nil
	}
	whole, failure = fill(ctx, s, &d, cached())
	return d, entry.ModRevision, whole, failure
}

// fill reads the sections of d into its source and checks their sum.
func fill(ctx context.Context, s store.Store, d *Document, cached *Sections) (whole bool, failure *result.Error) {
	if len(d.Sections) > 0 {
		source, ok, err := readSections(ctx, s, d.Sections, cached)
		if err != nil {
			return false, unavailable(err)
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

// loadRevision returns an earlier document that is still kept.
func loadRevision(ctx context.Context, s store.Store, revision int64) (Document, bool, *result.Error) {
	var d Document
	entry, ok, err := s.Get(ctx, documentKey(revision))
	if err != nil {
		return d, false, unavailable(err)
	}
	if !ok || json.Unmarshal(entry.Value, &d) != nil {
		return d, false, nil
	}
	whole, failure := fill(ctx, s, &d, nil)
	return d, whole, failure
}

func documentKey(revision int64) string { return fmt.Sprintf("%s%016d", documentPrefix, revision) }

func digest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}
