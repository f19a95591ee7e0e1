package services

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
)

// span is the byte range of one organisation in the source.
type span struct{ start, end int }

// ParseIncremental returns the same result as Parse for a source that was
// derived from base. Most changes affect a single organisation; for those,
// ParseIncremental decodes only that organisation and copies the rest from base.
// Any other source is parsed in full.
func ParseIncremental(base *Text, source []byte, revision int64) (*Text, error) {
	if text, ok := amendOrganisation(base, source, revision); ok {
		return text, nil
	}
	return Parse(source, revision)
}

// amendOrganisation returns the amended text if exactly one organisation
// differs and the result is valid, and false otherwise. It also returns false if
// base has warnings, because the change might remove one.
func amendOrganisation(base *Text, source []byte, revision int64) (*Text, bool) {
	if len(base.warnings) > 0 {
		return nil, false
	}
	spans, ok := base.organisationSpans()
	if !ok {
		return nil, false
	}
	start, end := changedRange(base.source, source)
	i := slices.IndexFunc(spans, func(s span) bool { return s.start < start && end < s.end })
	if i < 0 {
		return nil, false
	}
	growth := len(source) - len(base.source)
	organisation, ok := decodeOrganisation(source[spans[i].start : spans[i].end+growth])
	if !ok {
		return nil, false
	}
	return base.withOrganisation(i, organisation, source, revision, shiftSpans(spans, i, growth))
}

// changedRange returns the byte range of before that differs in after.
func changedRange(before, after []byte) (start, end int) {
	limit := min(len(before), len(after))
	for start < limit && before[start] == after[start] {
		start++
	}
	suffix := 0
	for suffix < limit-start && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return start, len(before) - suffix
}

func decodeOrganisation(source []byte) (Organisation, bool) {
	var o Organisation
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&o) != nil {
		return o, false
	}
	_, err := decoder.Token()
	return o, errors.Is(err, io.EOF)
}

// shiftSpans returns spans with the one at index i extended by growth bytes and
// the later ones moved by as much.
func shiftSpans(spans []span, i, growth int) []span {
	next := slices.Clone(spans)
	next[i].end += growth
	for j := i + 1; j < len(next); j++ {
		next[j].start += growth
		next[j].end += growth
	}
	return next
}

// withOrganisation returns a copy of t with o as the organisation at index i,
// validated as in Parse. It returns false if a full parse is needed because o is
// invalid or t may lose its last operator, which Parse warns about.
func (t *Text) withOrganisation(i int, o Organisation, source []byte, revision int64, spans []span) (*Text, bool) {
	old := t.organisations[i]
	if old.Operator && !o.Operator {
		return nil, false
	}
	next := *t
	next.revision, next.source, next.spans = revision, source, spans
	next.organisations = slices.Clone(t.organisations)
	next.organisations[i] = o
	setDefault(&next.organisations[i].Share, fieldRanges["organisations.share"].Default)
	if o.Name != old.Name {
		if _, exists := t.organisationByName[o.Name]; exists || !validName(o.Name) {
			return nil, false
		}
		next.organisationByName = maps.Clone(t.organisationByName)
		delete(next.organisationByName, old.Name)
		next.organisationByName[o.Name] = i
	}
	if !slices.Equal(o.TokenHashes, old.TokenHashes) && !next.replaceTokens(t, i, old.TokenHashes, o.TokenHashes) {
		return nil, false
	}
	c := &checker{text: &next, source: source}
	c.checkOrganisation(i)
	return &next, len(c.problems) == 0
}

// replaceTokens sets the token index to that of base with the old hashes of
// organisation i replaced; it returns false for a duplicate hash.
func (t *Text) replaceTokens(base *Text, i int, old, replacement []string) bool {
	t.organisationByToken = maps.Clone(base.organisationByToken)
	for _, hash := range old {
		delete(t.organisationByToken, hash)
	}
	for _, hash := range replacement {
		if _, exists := t.organisationByToken[hash]; exists {
			return false
		}
		t.organisationByToken[hash] = i
	}
	return true
}

// organisationSpans returns the byte ranges of the organisations in the source;
// ok is false unless the document is an object with a single list of them.
func (t *Text) organisationSpans() (spans []span, ok bool) {
	if t.spans != nil {
		return t.spans, true
	}
	decoder := json.NewDecoder(bytes.NewReader(t.source))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, false
	}
	found := false
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, false
		}
		if name != "organisations" {
			var skipped json.RawMessage
			if decoder.Decode(&skipped) != nil {
				return nil, false
			}
			continue
		}
		if found {
			return nil, false
		}
		found = true
		if spans, ok = arraySpans(decoder); !ok {
			return nil, false
		}
	}
	return spans, len(spans) == len(t.organisations)
}

// arraySpans returns the byte ranges of the elements of the JSON array that
// decoder reads next.
func arraySpans(decoder *json.Decoder) ([]span, bool) {
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return nil, false
	}
	var spans []span
	for decoder.More() {
		var element json.RawMessage
		if decoder.Decode(&element) != nil {
			return nil, false
		}
		end := int(decoder.InputOffset())
		spans = append(spans, span{start: end - len(element), end: end})
	}
	_, err := decoder.Token()
	return spans, err == nil
}
