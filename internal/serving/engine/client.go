// Package engine speaks to model engines over their published OpenAI-style
// HTTP streaming form. Every call is streamed, also for callers that want the
// answer whole, so that each wait has a progress deadline and a cancelled
// answer can be resumed from what it had produced.
//
// The client here is net/http and not the one of the HTTP library used
// elsewhere, because a stream must be abandoned at once when batch yields.
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

// Client calls back ends. It keeps connections open between calls.
type Client struct {
	timer  timer.Service
	pooled *http.Client
	// fresh opens a new connection for each call, for a second try after silence.
	fresh *http.Client
}

// NewClient returns a client whose progress deadlines follow t.
func NewClient(t timer.Service) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	pooled := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	return &Client{timer: t, pooled: &http.Client{Transport: pooled}, fresh: &http.Client{Transport: fresh}}
}

// Call is one HTTP call to a back end.
type Call struct {
	Method      string
	URL         string
	ContentType string
	Body        []byte
	// FirstByteTimeout bounds the time to the first byte of the answer's body, for
	// engines send its head before they begin; Progress bounds the silence
	// after it. Zero is unbounded.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// NewConnection asks for a new connection.
	NewConnection bool
	// PrefixKey names the prompt's head for the engine's cache, empty for none.
	PrefixKey string
}

// ResponseHead is the head of a back end's answer.
type ResponseHead struct {
	Status      int
	ContentType string
}

// Do sends call and gives the answer's body to read. The error is nil if read
// returned nil. RanNo is said only if no byte was written.
func (c *Client) Do(ctx context.Context, call Call, read func(ResponseHead, io.Reader) error) *result.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(c.timer, call, func() { cancel(errSilent) })
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
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return c.sendError(ctx, err, body.sent.Load() || dialed(err))
	}
	defer func() { _ = resp.Body.Close() }()
	head := ResponseHead{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	err = read(head, &watchedReader{reader: resp.Body, watch: watch, limit: call.ProgressTimeout})
	return readError(ctx, err)
}

var errSilent = errors.New("connection silent")

// dialed reports whether err came after a connection was made, so that the
// request's head may have been written.
func dialed(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

func (c *Client) sendError(ctx context.Context, err error, sent bool) *result.Error {
	ran := result.RanNo
	if sent {
		ran = result.RanMaybe
	}
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
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
	var known *result.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(context.Cause(ctx), errSilent):
		return result.New(result.BackendSilent, "answer stopped").WithRan(result.RanMaybe)
	case ctx.Err() != nil:
		return result.New(result.Cancelled, "cancelled while the answer came").WithRan(result.RanYes)
	}
	return result.New(result.BackendCrashed, "connection lost in the answer: %v", err).WithRan(result.RanMaybe)
}

// sentReader notes whether the transport began to read the body, the moment
// from which a byte of the request may have left.
type sentReader struct {
	reader *bytes.Reader
	sent   atomic.Bool
}

func (s *sentReader) Read(p []byte) (int, error) {
	s.sent.Store(true)
	return s.reader.Read(p)
}

// watchdog calls fire if it is not reset in time.
type watchdog struct {
	timer timer.Service
	fire  func()
	last  atomic.Int64
	limit atomic.Int64
	sub   *timer.Subscription
}

const watchdogChecks = 4

func newWatchdog(t timer.Service, call Call, fire func()) *watchdog {
	w := &watchdog{timer: t, fire: fire}
	w.reset(call.FirstByteTimeout)
	least := call.FirstByteTimeout
	if call.ProgressTimeout > 0 && (least <= 0 || call.ProgressTimeout < least) {
		least = call.ProgressTimeout
	}
	if least > 0 {
		w.sub = t.Every(max(least/watchdogChecks, time.Millisecond), w.check)
	}
	return w
}

func (w *watchdog) reset(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.last.Store(w.timer.Now().UnixNano())
}

func (w *watchdog) check(now time.Time) {
	limit := w.limit.Load()
	if limit > 0 && now.UnixNano()-w.last.Load() > limit {
		w.fire()
	}
}

func (w *watchdog) stop() { w.sub.Cancel() }

// watchedReader resets the watchdog with each piece that arrives.
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

// readEvents gives the data of each server-sent event to fn until [DONE]; it
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
