package services

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// lineIndex maps the path of a field, as in services[2].weight, to its line.
type lineIndex map[string]int

// newLineIndex walks the tokens of a valid JSON document.
func newLineIndex(source []byte) lineIndex {
	w := &lineWalker{decoder: json.NewDecoder(bytes.NewReader(source)), source: source, index: make(lineIndex)}
	w.line = 1
	w.value("")
	return w.index
}

// line returns the line of field or of its nearest listed parent.
func (x lineIndex) line(field string) int {
	for {
		if line, ok := x[field]; ok {
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
	index   lineIndex
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
	w.index[path] = w.line
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
