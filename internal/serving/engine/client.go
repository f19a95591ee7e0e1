// Package engine is a client for backend servers: model engines with an
// OpenAI-style HTTP streaming API, and plain services. Every call to a model
// engine is streamed, even if the caller wants the complete answer at once, so
// that each wait has a timeout and a cancelled answer can be resumed from the
// tokens already produced.
//
// It uses net/http instead of the HTTP library used elsewhere because a stream
// must be aborted immediately when a batch item is preempted.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 90 * time.Second
	maxIdlePerHost = 256
	maxErrorBytes  = 4096
	maxLineBytes   = 1 << 20
)

// Client calls backend servers. It keeps connections open between calls.
type Client struct {
	timer  timer.Service
	pooled *http.Client
	// unpooled opens a new connection for each call. It is used after an attempt
	// on which the server went silent.
	unpooled *http.Client
}

// NewClient returns a client whose FirstByteTimeout and ProgressTimeout are
// measured with t.
func NewClient(t timer.Service) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	pooled := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{timer: t, pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}}
}

// Call is one HTTP call to a backend server.
type Call struct {
	Method      string
	URL         string
	ContentType string
	Body        []byte
	// FirstByteTimeout bounds the time to the first byte of the answer's body, not
	// its head, because engines send the head before they start to generate.
	// ProgressTimeout bounds the time between reads after that. Zero means no
	// bound.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// NewConnection requests a new connection.
	NewConnection bool
	// PrefixKey identifies the prompt's prefix to the engine's cache; empty means
	// none.
	PrefixKey string
}

// ResponseHead is the head of a backend server's answer.
type ResponseHead struct {
	Status      int
	ContentType string
}

// Do sends call and passes the answer's head and body to read. The error is nil
// if read returned nil. It carries RanNo only if no byte of the request was
// written.
func (c *Client) Do(ctx context.Context, call Call, read func(ResponseHead, io.Reader) error) *result.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(c.timer, call, func() { cancel(errNoProgress) })
	defer watch.stop()
	body := &sentReader{reader: bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, body)
	if err != nil {
		return result.New(result.InvalidField, "%v", err)
	}
	req.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.PrefixKey != "" {
		req.Header.Set(prefixHeader, call.PrefixKey)
	}
	client := c.pooled
	if call.NewConnection {
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return c.sendError(ctx, err, body.sent.Load() || afterDial(err))
	}
	defer func() { _ = resp.Body.Close() }()
	head := ResponseHead{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	err = read(head, &watchedReader{reader: resp.Body, watch: watch, limit: call.ProgressTimeout})
	return readError(ctx, err)
}

var errNoProgress = errors.New("connection silent")

// afterDial reports whether err occurred after a connection was made, so that
// the request's head may have been written.
func afterDial(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

func (c *Client) sendError(ctx context.Context, err error, sent bool) *result.Error {
	ran := result.RanNo
	if sent {
		ran = result.RanMaybe
	}
	switch {
	case errors.Is(context.Cause(ctx), errNoProgress):
		return result.New(result.BackendSilent, "no first byte in time").WithRan(ran)
	case ctx.Err() != nil:
		return result.New(result.Cancelled, "cancelled before the answer").WithRan(ran)
	case !sent:
		return result.New(result.NoBackend, "can't connect: %v", err)
	}
	return result.New(result.BackendCrashed, "connection lost before the answer: %v", err).WithRan(ran)
}

func readError(ctx context.Context, err error) *result.Error {
	if err == nil {
		return nil
	}
	var resultErr *result.Error
	switch {
	case errors.As(err, &resultErr):
		return resultErr
	case errors.Is(context.Cause(ctx), errNoProgress):
		return result.New(result.BackendSilent, "answer stopped").WithRan(result.RanMaybe)
	case ctx.Err() != nil:
		return result.New(result.Cancelled, "cancelled while the answer came").WithRan(result.RanYes)
	}
	return result.New(result.BackendCrashed, "connection lost in the answer: %v", err).WithRan(result.RanMaybe)
}

// sentReader records whether the transport has started to read the body. From
// then on, a byte of the request may have been sent.
type sentReader struct {
	reader *bytes.Reader
	sent   atomic.Bool
}

func (s *sentReader) Read(p []byte) (int, error) {
	s.sent.Store(true)
	return s.reader.Read(p)
}

// watchdog calls onTimeout if it is not reset within its limit. A limit of zero
// or less never expires.
type watchdog struct {
	timer        timer.Service
	onTimeout    func()
	lastReset    atomic.Int64
	limit        atomic.Int64
	subscription *timer.Subscription
}

// watchdogChecksPerLimit is how often the watchdog checks within its shortest
// limit.
const watchdogChecksPerLimit = 4

func newWatchdog(t timer.Service, call Call, onTimeout func()) *watchdog {
	w := &watchdog{timer: t, onTimeout: onTimeout}
	w.reset(call.FirstByteTimeout)
	shortest := call.FirstByteTimeout
	if call.ProgressTimeout > 0 && (shortest <= 0 || call.ProgressTimeout < shortest) {
		shortest = call.ProgressTimeout
	}
	if shortest > 0 {
		w.subscription = t.Every(max(shortest/watchdogChecksPerLimit, time.Millisecond), w.check)
	}
	return w
}

func (w *watchdog) reset(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.lastReset.Store(w.timer.Now().UnixNano())
}

func (w *watchdog) check(now time.Time) {
	limit := w.limit.Load()
	if limit > 0 && now.UnixNano()-w.lastReset.Load() > limit {
		w.onTimeout()
	}
}

func (w *watchdog) stop() { w.subscription.Cancel() }

// watchedReader resets the watchdog with each read that returns data.
type watchedReader struct {
	reader io.Reader
	watch  *watchdog
	limit  time.Duration
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.watch.reset(r.limit)
	}
	return n, err
}

// readEvents passes the data of each server-sent event to fn until [DONE]. It
// fails if the stream ends without it.
func readEvents(reader io.Reader, fn func(data []byte) error) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return nil
		}
		if err := fn(bytes.Clone(data)); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
