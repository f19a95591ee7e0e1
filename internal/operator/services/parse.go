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
	maxNameLen   = 64
	tokenHashLen = 64
	maxPort      = 65_535
)

// Problem is one reason why a text is rejected, or one warning about it.
type Problem struct {
	// Line is the line number in the document, from 1; 0 if it is unknown.
	Line int `json:"line"`
	// Field is the path of the field, as in services[2].weight.
	Field string `json:"field"`
	// Fault states the error, Remedy how to correct it.
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Field, p.Fault, p.Remedy)
}

// Problems lists every problem found in a text. It is the error returned for a
// rejected text.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

type document struct {
	Organisations []Organisation `json:"organisations"`
	Services      []Service      `json:"services"`
	Backends      []Backend      `json:"backends"`
}

// Parse parses and validates source and returns it as the given revision. The
// error is of type Problems. Parse does not detect duplicate fields within an
// object; ParseStrict does, at the cost of a second pass over source.
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

// ParseStrict parses a text submitted by an operator. In addition to what Parse
// rejects, it rejects duplicate fields within an object, of which the decoder
// would silently drop one.
func ParseStrict(source []byte, revision int64) (*Text, error) {
	text, err := Parse(source, revision)
	if err != nil {
		return nil, err
	}
	if duplicates := newLineIndex(source).duplicates; len(duplicates) > 0 {
		return nil, duplicates
	}
	return text, nil
}

// decodeProblems converts a decoding error of source to Problems.
func decodeProblems(source []byte, decoder *json.Decoder, err error) Problems {
	if strings.Contains(err.Error(), "unknown field") {
		if unknown := unknownFields(newLineIndex(source)); len(unknown) > 0 {
			return unknown
		}
	}
	p := Problem{Field: "document", Fault: err.Error(), Remedy: "write one JSON object as docs/SERVICES.md shows"}
	offset := decoder.InputOffset()
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
		p.Remedy = "mend the JSON at this line"
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
		p.Field = typeErr.Field
		p.Fault = "a " + typeErr.Value + " stands here"
		p.Remedy = "write a value of type " + typeErr.Type.String()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		offset = int64(len(source))
		p.Fault = "the document ends early"
	}
	p.Line = lineAt(source, offset)
	return Problems{p}
}

// lineAt returns the line number, from 1, at a byte offset.
func lineAt(source []byte, offset int64) int {
	return 1 + bytes.Count(source[:min(int(offset), len(source))], []byte{'\n'})
}
