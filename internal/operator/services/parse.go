package services

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	maxNameLen = 64
	hashLen    = 64
	maxPort    = 65_535
)

// Problem is one reason why a text is refused.
type Problem struct {
	// Line is the line in the document, from 1; 0 if none can be named.
	Line int `json:"line"`
	// Field is the path of the field, as in services[2].weight.
	Field string `json:"field"`
	// Fault says what is wrong, Remedy what to write instead.
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Field, p.Fault, p.Remedy)
}

// Problems is the error of a refused text: every problem that was found.
type Problems []Problem

// Error lists the problems, a line each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

type document struct {
	Organisations []Organisation `json:"organisations"`
	Services      []Service      `json:"services"`
	Backends      []Backend      `json:"backends"`
}

// Parse checks source and returns it as the text of that revision. The error
// is Problems. Fields that stand twice in one object are left to Check, which
// costs a second pass.
func Parse(source []byte, revision int64) (*Text, error) {
	var doc document
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return nil, decodeProblems(source, decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, Problems{{
			Line: lineAt(source, decoder.InputOffset()), Field: "document",
			Fault: "text after the end of the document", Remedy: "remove what stands after the last brace",
		}}
	}
	t := &Text{
		revision:      revision,
		source:        source,
		organisations: doc.Organisations,
		services:      doc.Services,
		backends:      doc.Backends,
	}
	c := &checker{text: t, source: source}
	c.run()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return t, nil
}

// ParseStrict is Parse for a text that an operator wrote: it also refuses fields
// that stand twice in one object, of which the decoder would drop one.
func ParseStrict(source []byte, revision int64) (*Text, error) {
	text, err := Parse(source, revision)
	if err != nil {
		return nil, err
	}
	if twice := newLineIndex(source).twice; len(twice) > 0 {
		return nil, twice
	}
	return text, nil
}

// decodeProblems explains why the decoder refused source.
func decodeProblems(source []byte, decoder *json.Decoder, err error) Problems {
	if strings.Contains(err.Error(), "unknown field") {
		if unknown := unknownFields(newLineIndex(source)); len(unknown) > 0 {
			return unknown
		}
	}
	p := Problem{Field: "document", Fault: err.Error(), Remedy: "write one JSON object as docs/SERVICES.md shows"}
	offset := decoder.InputOffset()
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
		p.Remedy = "mend the JSON at this line"
	case errors.As(err, &kind):
		offset = kind.Offset
		p.Field = kind.Field
		p.Fault = "a " + kind.Value + " stands here"
		p.Remedy = "write a value of type " + kind.Type.String()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		offset = int64(len(source))
		p.Fault = "the document ends early"
	}
	p.Line = lineAt(source, offset)
	return Problems{p}
}

// lineAt returns the line, from 1, of the byte before offset.
func lineAt(source []byte, offset int64) int {
	return 1 + bytes.Count(source[:min(int(offset), len(source))], []byte{'\n'})
}
