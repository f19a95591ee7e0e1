package services

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
)

// span is the place of one organisation in the source, in bytes.
type span struct{ start, end int }

// ParseIncremental is Parse for a source that follows base. A change inside one
// organisation, which most changes are, costs a copy of the list in place of a
// parse of the whole; any other change is parsed. The result is always that of
// Parse.
func ParseIncremental(base *Text, source []byte, revision int64) (*Text, error) {
	if text, ok := amendOrganisation(base, source, revision); ok {
		return text, nil
	}
	return Parse(source, revision)
}

// amendOrganisation makes the amended text if one organisation differs and
// nothing is wrong with it; ok is false for everything else.
func amendOrganisation(base *Text, source []byte, revision int64) (*Text, bool) {
	if len(base.warnings) > 0 {
		return nil, false
	}
	spans, ok := base.organisationSpans()
	if !ok {
		return nil, false
	}
	start, end := changedPart(base.source, source)
	i := slices.IndexFunc(spans, func(s span) bool { return s.start < start && end < s.end })
	if i < 0 {
		return nil, false
	}
	grown := len(source) - len(base.source)
	organisation, ok := decodeOrganisation(source[spans[i].start : spans[i].end+grown])
	if !ok {
		return nil, false
	}
	return base.withOrganisation(i, organisation, source, revision, shifted(spans, i, grown))
}

// changedPart returns the part of before that after has something else for.
func changedPart(before, after []byte) (start, end int) {
	limit := min(len(before), len(after))
	for start < limit && before[start] == after[start] {
		start++
	}
	tail := 0
	for tail < limit-start && before[len(before)-1-tail] == after[len(after)-1-tail] {
		tail++
	}
	return start, len(before) - tail
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

// shifted returns the spans after the one at i grew.
func shifted(spans []span, i, grown int) []span {
	next := slices.Clone(spans)
	next[i].end += grown
	for j := i + 1; j < len(next); j++ {
		next[j].start += grown
		next[j].end += grown
	}
	return next
}

// withOrganisation returns t with another organisation at i, checked as Parse
// checks it.
func (t *Text) withOrganisation(i int, o Organisation, source []byte, revision int64, spans []span) (*Text, bool) {
	old := t.organisations[i]
	if old.Operator && !o.Operator {
		return nil, false
	}
	next := *t
	next.revision, next.source, next.spans = revision, source, spans
	next.organisations = slices.Clone(t.organisations)
	next.organisations[i] = o
	setDefault(&next.organisations[i].Share, ranges["organisations.share"].Default)
	if o.Name != old.Name {
		if _, taken := t.byOrg[o.Name]; taken || !isName(o.Name) {
			return nil, false
		}
		next.byOrg = maps.Clone(t.byOrg)
		delete(next.byOrg, old.Name)
		next.byOrg[o.Name] = i
	}
	if !slices.Equal(o.TokenHashes, old.TokenHashes) && !next.replaceTokens(t, i, old.TokenHashes, o.TokenHashes) {
		return nil, false
	}
	c := &checker{text: &next, source: source}
	c.checkOrganisation(i)
	return &next, len(c.problems) == 0
}

func (t *Text) replaceTokens(base *Text, i int, old, hashes []string) bool {
	t.tokens = maps.Clone(base.tokens)
	for _, hash := range old {
		delete(t.tokens, hash)
	}
	for _, hash := range hashes {
		if _, taken := t.tokens[hash]; taken {
			return false
		}
		t.tokens[hash] = i
	}
	return true
}

// organisationSpans returns where the organisations stand; ok is false for a
// document that is not one object with one list of them.
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
		if spans, ok = listSpans(decoder); !ok {
			return nil, false
		}
	}
	return spans, len(spans) == len(t.organisations)
}

func listSpans(decoder *json.Decoder) ([]span, bool) {
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return nil, false
	}
	var spans []span
	for decoder.More() {
		var one json.RawMessage
		if decoder.Decode(&one) != nil {
			return nil, false
		}
		end := int(decoder.InputOffset())
		spans = append(spans, span{start: end - len(one), end: end})
	}
	_, err := decoder.Token()
	return spans, err == nil
}
