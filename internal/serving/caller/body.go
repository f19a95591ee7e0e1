package caller

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// defaultBodyBytes bounds a body before its service is known.
const defaultBodyBytes = 8 << 20

// readBody reads the whole body of at most limit bytes.
func (c *call) readBody(limit int) ([]byte, *result.Error) {
	length := c.http.Request.Header.ContentLength()
	if length > limit {
		return nil, result.New(result.BodyTooLarge, "body is over %d bytes", limit)
	}
	body, err := io.ReadAll(io.LimitReader(c.http.RequestBodyStream(), int64(limit)+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF) || (err == nil && length > 0 && len(body) < length):
		return nil, result.New(result.TruncatedUpload, "body ended after %d of %d bytes", len(body), length)
	case err != nil:
		return nil, result.New(result.TruncatedUpload, "%v", err)
	case len(body) > limit:
		return nil, result.New(result.BodyTooLarge, "body is over %d bytes", limit)
	}
	return body, nil
}

// chunkOf returns a whole answer as the one chunk of a stream.
func chunkOf(body []byte) []byte {
	var answer map[string]any
	if err := json.Unmarshal(body, &answer); err != nil {
		return body
	}
	if answer["object"] == "chat.completion" {
		answer["object"] = "chat.completion.chunk"
	}
	choices, _ := answer["choices"].([]any)
	for _, one := range choices {
		if choice, ok := one.(map[string]any); ok && choice["message"] != nil {
			choice["delta"] = choice["message"]
			delete(choice, "message")
		}
	}
	chunk, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return chunk
}
