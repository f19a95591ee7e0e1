package services

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// lineIndex maps the path of a field, such as services[2].weight, to its line
// number.
type lineIndex struct {
	byField map[string]int
	// fields holds the paths in document order.
	fields []string
	// duplicates holds one problem for each repeated field of an object.
	duplicates Problems
}

// newLineIndex indexes the fields of a valid JSON document.
func newLineIndex(source []byte) *lineIndex {
	w := &lineWalker{decoder: json.NewDecoder(bytes.NewReader(source)), source: source, index: &lineIndex{byField: make(map[string]int)}}
	w.line = 1
	w.walkValue("")
	return w.index
}

// line returns the line of field or of its nearest indexed ancestor.
func (x *lineIndex) line(field string) int {
	for {
		if line, ok := x.byField[field]; ok {
			return line
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return 1
		}
		field = field[:i]
	}
}

// lineWalker fills a lineIndex by reading the document token by token.
type lineWalker struct {
	decoder *json.Decoder
	source  []byte
	index   *lineIndex
	// offset is the end of the last token, line the line number there.
	offset int64
	line   int
}

func (w *lineWalker) nextToken() (json.Token, bool) {
	token, err := w.decoder.Token()
	if err != nil {
		return nil, false
	}
	end := w.decoder.InputOffset()
	w.line += bytes.Count(w.source[w.offset:end], []byte{'\n'})
	w.offset = end
	return token, true
}

func (w *lineWalker) walkValue(path string) {
	token, ok := w.nextToken()
	if !ok {
		return
	}
	if _, exists := w.index.byField[path]; exists {
		w.index.duplicates = append(w.index.duplicates, Problem{
			Line: w.line, Field: path, Fault: "field stands twice", Remedy: "remove one of the two",
		})
	}
	w.index.byField[path] = w.line
	w.index.fields = append(w.index.fields, path)
	switch token {
	case json.Delim('{'):
		w.walkObject(path)
	case json.Delim('['):
		w.walkArray(path)
	}
}

func (w *lineWalker) walkObject(path string) {
	for w.decoder.More() {
		name, ok := w.nextToken()
		if !ok {
			return
		}
		field := fmt.Sprint(name)
		if path != "" {
			field = path + "." + field
		}
		w.walkValue(field)
	}
	w.nextToken()
}

func (w *lineWalker) walkArray(path string) {
	for i := 0; w.decoder.More(); i++ {
		w.walkValue(fmt.Sprintf("%s[%d]", path, i))
	}
	w.nextToken()
}

// unknownFields returns a problem for each field that is not in the schema. The
// fields within an unknown field are not listed.
func unknownFields(x *lineIndex) Problems {
	known := Fields()
	var problems Problems
	for _, field := range x.fields {
		path := stripIndices(field)
		if field == "" || slices.Contains(known, path) || strings.HasSuffix(field, "]") {
			continue
		}
		if parent, _, ok := splitLastName(path); ok && !slices.Contains(known, parent) {
			continue
		}
		problems = append(problems, Problem{
			Line: x.byField[field], Field: field, Fault: "unknown field", Remedy: "remove it or correct its name" + suggestName(path, known),
		})
	}
	return problems
}

// suggestName returns a hint with the known field of the same object whose name
// has the smallest edit distance, or "" if no name is close enough.
func suggestName(path string, known []string) string {
	const distanceLimit = 3
	best, bestDistance := "", distanceLimit
	parent, name, _ := splitLastName(path)
	for _, candidate := range known {
		if p, n, _ := splitLastName(candidate); p == parent && editDistance(n, name) < bestDistance {
			best, bestDistance = n, editDistance(n, name)
		}
	}
	if best == "" {
		return ""
	}
	return ", as in " + best
}

// editDistance returns the Levenshtein distance between two names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := diagonal
			if a[i-1] != b[j-1] {
				substitution++
			}
			diagonal = row[j]
			row[j] = min(substitution, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// splitLastName splits a path at its last dot.
func splitLastName(path string) (parent, name string, ok bool) {
	i := strings.LastIndexByte(path, '.')
	if i < 0 {
		return "", path, false
	}
	return path[:i], path[i+1:], true
}

// stripIndices removes the list indices: services[2].weight becomes
// services.weight.
func stripIndices(field string) string {
	var b strings.Builder
	inBrackets := false
	for _, r := range field {
		switch {
		case r == '[':
			inBrackets = true
		case r == ']':
			inBrackets = false
		case !inBrackets:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// Fields returns the path of every field of the document, such as
// services.weight, in declaration order.
func Fields() []string { return appendFields(nil, "", reflect.TypeFor[document]()) }

func appendFields(fields []string, parent string, t reflect.Type) []string {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		path := name
		if parent != "" {
			path = parent + "." + name
		}
		fields = append(fields, path)
		if fieldType := t.Field(i).Type; fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct {
			fields = appendFields(fields, path, fieldType.Elem())
		}
	}
	return fields
}
