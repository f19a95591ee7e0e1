package call

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// errorBody is the JSON format of every error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      int    `json:"code"`
	Ran       string `json:"ran"`
	RequestID string `json:"request_id"`
	// RetryAfterMS is omitted if a retry can't succeed.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// ErrorJSON returns the body of an error answer for e.
func (c *Call) ErrorJSON(e *result.Error) []byte {
	body, _ := json.Marshal(errorBody{errorDetail{
		Message: e.Error(), Type: e.Code().String(), Code: int(e.Code()), Ran: string(e.Ran()),
		RequestID: c.id, RetryAfterMS: e.RetryAfter().Milliseconds(),
	}})
	return body
}

// WriteError sends an error answer.
func (c *Call) WriteError(e *result.Error) {
	if e.RetryAfter() > 0 {
		seconds := int(math.Ceil(e.RetryAfter().Seconds()))
		c.http.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.http.Data(e.Code().Status(), JSON, c.ErrorJSON(e))
}

// WriteJSON sends value as JSON with status 200.
func (c *Call) WriteJSON(value any) *result.Error {
	body, err := json.Marshal(value)
	if err != nil {
		return result.From(err)
	}
	c.http.Data(http.StatusOK, JSON, body)
	return nil
}

// List is the JSON format of every list.
type List[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}
