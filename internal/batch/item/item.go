// Package item holds one line of a batch file: its checks when a file comes
// in, and the form of its result.
package item

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// maxCustomID bounds the caller's name for an item, in bytes.
const maxCustomID = 256

// Item is one request of a batch file.
type Item struct {
	customID string
	method   string
	url      string
	body     []byte
}

// CustomID returns the caller's name for the item, unique in its file.
func (i *Item) CustomID() string { return i.customID }

// Method returns the HTTP method, always POST.
func (i *Item) Method() string { return i.method }

// URL returns the endpoint, as in /v1/chat/completions.
func (i *Item) URL() string { return i.url }

// Body returns the JSON body of the request.
func (i *Item) Body() []byte { return i.body }

// Parse checks one line; number counts from 1 and stands in the error.
func Parse(line []byte, number int) (*Item, *result.Error) {
	if !gjson.ValidBytes(line) {
		return nil, result.New(result.MalformedJSON, "line %d is not JSON", number)
	}
	fields := gjson.ParseBytes(line)
	i := &Item{
		customID: fields.Get("custom_id").String(),
		method:   fields.Get("method").String(),
		url:      fields.Get("url").String(),
		body:     []byte(fields.Get("body").Raw),
	}
	switch {
	case i.customID == "" || len(i.customID) > maxCustomID:
		return nil, result.New(result.InvalidItem, "line %d: custom_id needs 1 to %d bytes", number, maxCustomID)
	case i.method != "POST":
		return nil, result.New(result.InvalidItem, "line %d: method must be POST", number)
	case !strings.HasPrefix(i.url, "/v1/") && !strings.HasPrefix(i.url, "/services/"):
		return nil, result.New(result.InvalidItem, "line %d: unknown url %q", number, i.url)
	case !fields.Get("body").IsObject():
		return nil, result.New(result.InvalidItem, "line %d: body must be an object", number)
	}
	return i, nil
}

// Response is the answer part of a result line.
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

// NewFailure returns the error part for e.
func NewFailure(e *result.Error) *Failure {
	return &Failure{Code: int(e.Code()), Message: e.Error(), Ran: string(e.Ran())}
}
