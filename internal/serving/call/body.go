package call

import (
	"errors"
	"io"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

// ReadBody reads the complete body, which may have at most limit bytes.
func (c *Call) ReadBody(limit int) ([]byte, *result.Error) {
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
