package services

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// lineIndex maps the path of a field, as in services[2].weight, to its line.
type lineIndex struct {
	byField map[string]int
	// fields are the paths in the order of the document.
	fields []string
	// twice lists the fields that stand twice in one object.
	twice Problems
}

// newLineIndex walks the tokens of a valid JSON document.
func newLineIndex(source []byte) *lineIndex {
	w := &lineWalker{decoder: json.NewDecoder(bytes.NewReader(source)), source: source, index: &lineIndex{byField: make(map[string]int)}}
	w.line = 1
	w.value("")
	return w.index
}

// line returns the line of field or of its nearest listed parent.
func (x *lineIndex) line(field string) int {
	for {
		if line, ok := x.byField[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

type lineWalker struct {
	decoder *json.Decoder
	source  []byte
	index   *lineIndex
	// offset and line are the position up to which lines are counted.
	offset int64
	line   int
}

func (w *lineWalker) next() (json.Token, bool) {
	token, err := w.decoder.Token()
	if err != nil {
		return nil, false
	}
	end := w.decoder.InputOffset()
	w.line += bytes.Count(w.source[w.offset:end], []byte{'\n'})
	w.offset = end
	return token, true
}

func (w *lineWalker) value(path string) {
	token, ok := w.next()
	if !ok {
		return
	}
	if _, taken := w.index.byField[path]; taken {
		w.index.twice = append(w.index.twice, Problem{
			Line: w.line, Field: path, Fault: "field stands twice", Remedy: "remove one of the two",
		})
	}
	w.index.byField[path] = w.line
	w.index.fields = append(w.index.fields, path)
	switch token {
	case json.Delim('{'):
		w.object(path)
	case json.Delim('['):
		w.array(path)
	}
}

func (w *lineWalker) object(path string) {
	for w.decoder.More() {
		name, ok := w.next()
		if !ok {
			return
		}
		field := fmt.Sprint(name)
		if path != "" {
			field = path + "." + field
		}
		w.value(field)
	}
	w.next()
}

func (w *lineWalker) array(path string) {
	for i := 0; w.decoder.More(); i++ {
		w.value(fmt.Sprintf("%s[%d]", path, i))
	}
	w.next()
}

// unknownFields lists the fields of a document that the schema doesn't have.
func unknownFields(x *lineIndex) Problems {
	known := Fields()
	var problems Problems
	for _, field := range x.fields {
		path := withoutIndices(field)
		if field == "" || slices.Contains(known, path) || strings.HasSuffix(field, "]") {
			continue
		}
		if parent, _, ok := cutLast(path); ok && !slices.Contains(known, parent) {
			continue
		}
		problems = append(problems, Problem{
			Line: x.byField[field], Field: field, Fault: "unknown field", Remedy: "remove it or correct its name" + nearest(path, known),
		})
	}
	return problems
}

// nearest proposes the known field of the same object that differs least.
func nearest(path string, known []string) string {
	const farthest = 3
	best, least := "", farthest
	parent, name, _ := cutLast(path)
	for _, one := range known {
		if p, n, _ := cutLast(one); p == parent && distance(n, name) < least {
			best, least = n, distance(n, name)
		}
	}
	if best == "" {
		return ""
	}
	return ", as in " + best
}

// distance is the Levenshtein distance of two names.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		corner := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := corner
			if a[i-1] != b[j-1] {
				change++
			}
			corner = row[j]
			row[j] = min(change, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

func cutLast(path string) (parent, name string, ok bool) {
	i := strings.LastIndexByte(path, '.')
	if i < 0 {
		return "", path, false
	}
	return path[:i], path[i+1:], true
}

func withoutIndices(field string) string {
	var b strings.Builder
	inside := false
	for _, r := range field {
		switch {
		case r == '[':
			inside = true
		case r == ']':
			inside = false
		case !inside:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// Fields returns the path of every field of the document, as in
// services.weight, in the order of the code.
func Fields() []string { return appendFields(nil, "", reflect.TypeFor[document]()) }

func appendFields(fields []string, parent string, t reflect.Type) []string {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		path := name
		if parent != "" {
			path = parent + "." + name
		}
		fields = append(fields, path)
		if inner := t.Field(i).Type; inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			fields = appendFields(fields, path, inner.Elem())
		}
	}
	return fields
}
