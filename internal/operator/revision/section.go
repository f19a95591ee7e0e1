package revision

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// maxInlineBytes is the length of the longest text stored inside its document.
	maxInlineBytes = 32 << 10
	// minSectionBytes and maxSectionBytes limit the size of a section before
	// compression. Between them, on average one line in linesPerBoundary ends a
	// section.
	minSectionBytes  = 64 << 10
	maxSectionBytes  = 512 << 10
	linesPerBoundary = 512
	// sectionNameLen is the number of hexadecimal digits of a section's digest
	// that form its name.
	sectionNameLen  = 32
	sectionPageSize = 8
)

// Sections holds the sections of a long text by name, so that a reader fetches
// only those that changed. A short text has none. Sections is immutable; Get
// treats nil as empty.
type Sections struct {
	names  []string
	byName map[string][]byte
}

// NewSections splits a text into its sections.
func NewSections(source []byte) *Sections {
	c := &Sections{byName: make(map[string][]byte)}
	if len(source) <= maxInlineBytes {
		return c
	}
	for _, section := range splitSections(source) {
		name := sectionName(section)
		c.names = append(c.names, name)
		c.byName[name] = section
	}
	return c
}

// Names returns the names of all sections in the order of the text.
func (c *Sections) Names() []string { return c.names }

// Get returns the section with that name.
func (c *Sections) Get(name string) ([]byte, bool) {
	if c == nil {
		return nil, false
	}
	section, ok := c.byName[name]
	return section, ok
}

func sectionName(section []byte) string { return digest(section)[:sectionNameLen] }

// splitSections splits a text after the lines whose hash marks a boundary.
func splitSections(source []byte) [][]byte {
	var sections [][]byte
	for start := 0; start < len(source); {
		end := sectionEnd(source[start:])
		sections = append(sections, source[start:start+end])
		start += end
	}
	return sections
}

// sectionEnd returns the length of the first section of rest.
func sectionEnd(rest []byte) int {
	for end := 0; end < len(rest); {
		lineLen := len(rest) - end
		if i := bytes.IndexByte(rest[end:], '\n'); i >= 0 {
			lineLen = i + 1
		}
		if end+lineLen > maxSectionBytes {
			return max(end, min(maxSectionBytes, len(rest)))
		}
		isBoundary := end+lineLen >= minSectionBytes && xxhash.Sum64(rest[end:end+lineLen])%linesPerBoundary == 0
		end += lineLen
		if isBoundary {
			return end
		}
	}
	return len(rest)
}

// readSections returns the named sections joined, taking those that it can from
// cached; ok is false if one is missing.
func readSections(ctx context.Context, s store.Store, names []string, cached *Sections) (source []byte, ok bool, err error) {
	for _, name := range names {
		section, ok := cached.Get(name)
		if !ok {
			entry, exists, err := s.Get(ctx, sectionPrefix+name)
			if err != nil || !exists {
				return nil, false, err
			}
			if section, err = chunk.Unpack(entry.Value); err != nil {
				return nil, false, err
			}
		}
		source = append(source, section...)
	}
	return source, true, nil
}

// writeSections stores the sections of a text that are not listed in known. It
// returns the names of all sections and, for each stored one, a comparison that
// fails if the section has since been deleted.
func writeSections(ctx context.Context, s store.Store, source []byte, known []string) (names []string, compares []store.Compare, err error) {
	for _, section := range splitSections(source) {
		name := sectionName(section)
		if !slices.Contains(known, name) && !slices.Contains(names, name) {
			compare, err := writeSection(ctx, s, sectionPrefix+name, section)
			if err != nil {
				return nil, nil, err
			}
			compares = append(compares, compare)
		}
		names = append(names, name)
	}
	return names, compares, nil
}

func writeSection(ctx context.Context, s store.Store, key string, section []byte) (store.Compare, error) {
	if err := chunk.PutOnce(ctx, s, key, chunk.Pack(section)); err != nil {
		return store.Compare{}, err
	}
	entry, ok, err := s.Get(ctx, key)
	if err == nil && !ok {
		err = store.ErrUnavailable
	}
	return store.Compare{Key: key, Target: store.ModRevision, Revision: entry.ModRevision}, err
}

// unreferencedKeys returns the keys of the sections that only the dropped
// documents reference.
func unreferencedKeys(dropped []Document, kept []Document) []string {
	referenced := make(map[string]bool)
	for _, d := range kept {
		for _, name := range d.Sections {
			referenced[name] = true
		}
	}
	var keys []string
	for _, d := range dropped {
		for _, name := range d.Sections {
			if !referenced[name] {
				referenced[name] = true
				keys = append(keys, sectionPrefix+name)
			}
		}
	}
	return keys
}

// loadKeptDocuments reads the kept documents, oldest first, without their
// sections.
func loadKeptDocuments(ctx context.Context, s store.Store) ([]Document, error) {
	entries, _, err := store.RangeAll(ctx, s, documentPrefix, maxKeptDocuments)
	if err != nil {
		return nil, err
	}
	documents := make([]Document, 0, len(entries))
	for _, entry := range entries {
		var d Document
		if err := json.Unmarshal(entry.Value, &d); err != nil {
			return nil, err
		}
		documents = append(documents, d)
	}
	return documents, nil
}

// Sweep deletes sections that no kept document references. They are left behind
// by editors that failed between writing their sections and their transaction,
// and by transactions that had no room for all their deletes. If Sweep deletes
// sections while an editor is in progress, the transaction of that editor fails on
// its comparison of sweptKey, and the change has to be applied again.
func Sweep(ctx context.Context, s store.Store) error {
	current, ok, err := s.Get(ctx, CurrentKey)
	if err != nil || !ok {
		return err
	}
	documents, err := loadKeptDocuments(ctx, s)
	if err != nil {
		return err
	}
	referenced := make(map[string]bool)
	for _, d := range documents {
		for _, name := range d.Sections {
			referenced[sectionPrefix+name] = true
		}
	}
	var keys []string
	from, end := sectionPrefix, store.PrefixEnd(sectionPrefix)
	for len(keys) < maxDeletes {
		entries, _, err := s.Range(ctx, from, end, sectionPageSize)
		if err != nil {
			return err
		}
		for _, entry := range entries {
			if !referenced[entry.Key] && len(keys) < maxDeletes {
				keys = append(keys, entry.Key)
			}
		}
		if len(entries) < sectionPageSize {
			break
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
	compares := []store.Compare{{Key: CurrentKey, Target: store.ModRevision, Revision: current.ModRevision}}
	puts := []store.Put{{Key: sweptKey, Value: []byte("{}")}}
	for part := range slices.Chunk(keys, store.MaxTxnEntries-len(compares)-len(puts)) {
		outcome, err := s.Commit(ctx, store.Txn{Compares: compares, Puts: puts, Deletes: part})
		if err != nil || !outcome.Succeeded {
			return err
		}
	}
	return nil
}
