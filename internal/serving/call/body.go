package call

import (
	"errors"
	"io"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
)

// memoryRetry is the time after which a caller may retry at a host without memory for its
// request.
const memoryRetry = time.Second

// expiredDeadline is a read deadline that ends a blocked read at once.
var expiredDeadline = time.Unix(1, 0)

// ReadBody reads the complete body, which may have at most limit bytes. It is held until
// the call ends.
func (c *Call) ReadBody(limit int) ([]byte, *result.Error) {
	length := c.http.Request.Header.ContentLength()
	body, err := c.held.ReadAll(c.http.RequestBodyStream(), int64(length), int64(limit))
	if err == nil {
		err = c.held.Arrived()
	}
	if err != nil {
		c.held.Close()
		return nil, bodyFailure(err, limit)
	}
	return body, nil
}

func bodyFailure(err error, limit int) *result.Error {
	switch {
	case errors.Is(err, buffer.ErrEnded):
		return result.New(result.BodyStalled, "%v", buffer.ErrEnded).WithRetry(memoryRetry)
	case errors.Is(err, buffer.ErrFull):
		return result.New(result.Overloaded, "%v", err).WithRetry(memoryRetry)
	case errors.Is(err, buffer.ErrTooLarge):
		return result.New(result.BodyTooLarge, "body is over %d bytes", limit)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return result.New(result.TruncatedUpload, "body ended before its length")
	default:
		return result.New(result.TruncatedUpload, "%v", err)
	}
}

// StreamBody returns a reader of the body for a handler that holds up to bytes of it at a
// time.
func (c *Call) StreamBody(bytes int64) (io.Reader, *result.Error) {
	if err := c.held.Grow(bytes); err != nil {
		return nil, bodyFailure(err, 0)
	}
	return c.held.Reader(c.http.RequestBodyStream()), nil
}
