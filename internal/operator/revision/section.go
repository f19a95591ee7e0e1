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
	// inlineBytes is the longest text that stands inside its document.
	inlineBytes = 32 << 10
	// minSectionBytes and maxSectionBytes bound a section before compression;
	// in between, one line in cutLines ends a section.
	minSectionBytes = 64 << 10
	maxSectionBytes = 512 << 10
	cutLines        = 512
	// sectionNameLen is the part of a section's sum, in hexadecimal, that names it.
	sectionNameLen = 32
	sectionPage    = 8
)

// Sections holds the parts of a long text by their name, so that a reader
// fetches only what changed. A short text has none. It is immutable; nil is
// empty.
type Sections struct {
	names  []string
	byName map[string][]byte
}

// NewSections returns the sections of a text.
func NewSections(source []byte) *Sections {
	c := &Sections{byName: make(map[string][]byte)}
	if len(source) <= inlineBytes {
		return c
	}
	for _, section := range cut(source) {
		name := sectionName(section)
		c.names = append(c.names, name)
		c.byName[name] = section
	}
	return c
}

// Names returns the names of all sections in the order of the text.
func (c *Sections) Names() []string { return c.names }

// Get returns the section of that name.
func (c *Sections) Get(name string) ([]byte, bool) {
	if c == nil {
		return nil, false
	}
	section, ok := c.byName[name]
	return section, ok
}

func sectionName(section []byte) string { return digest(section)[:sectionNameLen] }

// cut divides a text behind lines whose hash says so.
func cut(source []byte) [][]byte {
	var sections [][]byte
	for start := 0; start < len(source); {
		end := sectionEnd(source[start:])
		sections = append(sections, source[start:start+end])
		start += end
	}
	return sections
}

func sectionEnd(rest []byte) int {
	for end := 0; end < len(rest); {
		line := len(rest) - end
		if i := bytes.IndexByte(rest[end:], '\n'); i >= 0 {
			line = i + 1
		}
		if end+line > maxSectionBytes {
			return max(end, min(maxSectionBytes, len(rest)))
		}
		ends := end+line >= minSectionBytes && xxhash.Sum64(rest[end:end+line])%cutLines == 0
		end += line
		if ends {
			return end
		}
	}
	return len(rest)
}

// readSections joins the named sections; ok is false if one is missing.
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

// writeSections stores the sections of a text that known doesn't name. It
// returns all names and, for the new ones, the comparisons under which they
// are still there.
func writeSections(ctx context.Context, s store.Store, source []byte, known []string) (names []string, there []store.Compare, err error) {
	for _, section := range cut(source) {
		name := sectionName(section)
		if !slices.Contains(known, name) && !slices.Contains(names, name) {
			compare, err := writeSection(ctx, s, sectionPrefix+name, section)
			if err != nil {
				return nil, nil, err
			}
			there = append(there, compare)
		}
		names = append(names, name)
	}
	return names, there, nil
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

// unused returns the sections that only the dropped documents name.
func unused(dropped []Document, kept []Document) []string {
	inUse := make(map[string]bool)
	for _, d := range kept {
		for _, name := range d.Sections {
			inUse[name] = true
		}
	}
	var keys []string
	for _, d := range dropped {
		for _, name := range d.Sections {
			if !inUse[name] {
				inUse[name] = true
				keys = append(keys, sectionPrefix+name)
			}
		}
	}
	return keys
}

// keptDocumentsOf reads the earlier documents without their texts' sections.
func keptDocumentsOf(ctx context.Context, s store.Store) ([]Document, error) {
	entries, _, err := store.RangeAll(ctx, s, documentPrefix, keptDocuments)
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

// Sweep deletes sections that no kept document names: left-overs of editors
// that were lost before their transaction. An editor in progress whose section
// it takes is refused by its own comparison and applies again.
func Sweep(ctx context.Context, s store.Store) error {
	current, ok, err := s.Get(ctx, CurrentKey)
	if err != nil || !ok {
		return err
	}
	documents, err := keptDocumentsOf(ctx, s)
	if err != nil {
		return err
	}
	inUse := make(map[string]bool)
	for _, d := range documents {
		for _, name := range d.Sections {
			inUse[sectionPrefix+name] = true
		}
	}
	txn := store.Txn{Compares: []store.Compare{{Key: CurrentKey, Target: store.ModRevision, Revision: current.ModRevision}}}
	from, end := sectionPrefix, store.PrefixEnd(sectionPrefix)
	for len(txn.Deletes) < maxDeletes {
		entries, _, err := s.Range(ctx, from, end, sectionPage)
		if err != nil {
			return err
		}
		for _, entry := range entries {
			if !inUse[entry.Key] && len(txn.Deletes) < maxDeletes {
				txn.Deletes = append(txn.Deletes, entry.Key)
			}
		}
		if len(entries) < sectionPage {
			break
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err = s.Commit(ctx, txn)
	return err
}
