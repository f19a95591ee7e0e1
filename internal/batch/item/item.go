// Package item defines the lines of batch files: parsing and validation of an
// input line, and the format of a result line.
package item

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// maxCustomIDBytes is the largest length of an item's custom_id.
const maxCustomIDBytes = 256

// Item is one request of a batch file.
type Item struct {
	customID string
	method   string
	url      string
	body     []byte
}

// CustomID returns the identifier that the caller gave the item. It is unique
// within the file, which Parse does not check.
func (i *Item) CustomID() string { return i.customID }

// Method returns the HTTP method, always POST.
func (i *Item) Method() string { return i.method }

// URL returns the path of the endpoint, such as /v1/chat/completions.
func (i *Item) URL() string { return i.url }

// Body returns the JSON body of the request.
func (i *Item) Body() []byte { return i.body }

// Parse parses and validates one line of an input file. lineNumber, counted from
// 1, is used in error messages.
func Parse(line []byte, lineNumber int) (*Item, *result.Error) {
	if !gjson.ValidBytes(line) {
		return nil, result.New(result.MalformedJSON, "line %d is not JSON", lineNumber)
	}
	fields := gjson.ParseBytes(line)
	i := &Item{
		customID: fields.Get("custom_id").String(),
		method:   fields.Get("method").String(),
		url:      fields.Get("url").String(),
		body:     []byte(fields.Get("body").Raw),
	}
	switch {
	case i.customID == "" || len(i.customID) > maxCustomIDBytes:
		return nil, result.New(result.InvalidItem, "line %d: custom_id needs 1 to %d bytes", lineNumber, maxCustomIDBytes)
	case i.method != "POST":
		return nil, result.New(result.InvalidItem, "line %d: method must be POST", lineNumber)
	case !strings.HasPrefix(i.url, "/v1/") && !strings.HasPrefix(i.url, "/services/"):
		return nil, result.New(result.InvalidItem, "line %d: unknown url %q", lineNumber, i.url)
	case !fields.Get("body").IsObject():
		return nil, result.New(result.InvalidItem, "line %d: body must be an object", lineNumber)
	}
	return i, nil
}

// Response is the response part of a result line.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// Failure is the error part of a result line.
type Failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// Result is one line of an output or error file.
type Result struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *Response `json:"response"`
	Error    *Failure  `json:"error"`
}

// NewFailure returns the error part of a result line for e.
func NewFailure(e *result.Error) *Failure {
	return &Failure{Code: int(e.Code()), Message: e.Error(), Ran: string(e.Ran())}
}
