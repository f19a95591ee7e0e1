package drain

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection that ends while a request is read or answered is reported, with who
// ended it and why. All that is needed passes through conn: what is read and written,
// the head of the answer, and when net/http calls the handler and considers the
// connection idle. Failures that net/http deals with by itself, as of a head that can't be
// read, show in these as well.
//
// What no host can report: a request that comes after the close, one on a connection
// that was never accepted, and the end of the process.

// Party is who ended a connection.
type Party string

// Who can end a connection.
const (
	ByHost    Party = "host"
	ByCaller  Party = "caller"
	ByNetwork Party = "network"
)

// Cause is why a connection ended.
type Cause string

// Why a connection ends before a request on it is answered. Those of other parties than
// the host are CauseLeft, CauseReset and CauseLost.
const (
	// CauseLeft is the regular close, CauseReset the abrupt one.
	CauseLeft  Cause = "left"
	CauseReset Cause = "reset"
	CauseLost  Cause = "connection lost"
	// CauseClosed is a call of Close from outside, as at the end of a stop.
	CauseClosed Cause = "closed at the end"
	// CauseBroken is an end that the handler asked for, or its panic.
	CauseBroken Cause = "answer broken off"
	// CauseShort is an answer that ended before its length.
	CauseShort Cause = "answer too short"
	// CauseWriteTime is an answer that its caller does not read.
	CauseWriteTime Cause = "write took too long"
	// CauseHeadTime is a request whose head does not end.
	CauseHeadTime Cause = "head took too long"
	// CauseBadHead is a request that net/http refused.
	CauseBadHead Cause = "head refused"
	// CauseUnread is a connection that was closed while no request was being answered,
	// with bytes of the next one.
	CauseUnread Cause = "closed with bytes unread"
	CauseOther  Cause = "unknown"
)

// Causes are all causes.
var Causes = []Cause{CauseLeft, CauseReset, CauseLost, CauseClosed, CauseBroken, CauseShort, CauseWriteTime, CauseHeadTime, CauseBadHead, CauseUnread, CauseOther}

// Closing is the end of a connection with a request that was not answered completely.
type Closing struct {
	// Request is the request's ID, empty if its head was not read.
	Request string
	By      Party
	Cause   Cause
	// Status is that of the answer; it is 0 if none was begun.
	Status int
	// Read, Written and Unread are bytes since the last complete answer. Unread is how
	// many received bytes were never read.
	Read, Written, Unread int64
	// After is the time since the first byte of the request.
	After time.Duration
}

// progress is how far a connection has come with one request.
type progress struct {
	began         time.Time
	read, written int64
	request       string
	// status is that of the answer's head, once it is written. lastAnswer is set if the
	// request or the head announces the end of the connection.
	status     int
	lastAnswer bool
	// handling is set while the handler runs, broken once it ended with a panic, and
	// handled once it returned.
	handling, broken, handled bool
	// readingBody is set while the handler waits for the body.
	readingBody bool
	// timedOut is set if a read failed since it took too long.
	timedOut bool
	// readFailure, other than a deadline, and writeFailure are what ended reads and writes.
	readFailure, writeFailure error
}

// handlerOf returns a handler that tells each request's connection of its progress.
func handlerOf(l *Listener, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		var id string
		if l.RequestID != nil {
			id = l.RequestID(r)
		}
		c.beginHandling(id, r.Close)
		returned := false
		defer func() { c.endHandling(returned) }()
		handler.ServeHTTP(w, r)
		returned = true
	})
}

func (c *conn) beginHandling(id string, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHead()
	c.progress.request, c.progress.handling, c.progress.lastAnswer = id, true, last
}

func (c *conn) endHandling(returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.handling, c.progress.handled, c.progress.broken = false, returned, !returned
}

// noteRead records the outcome of a read. The caller holds c.mu.
func (p *progress) noteRead(n int, err error) {
	if n > 0 {
		if p.read == 0 {
			p.began = time.Now()
		}
		p.read += int64(n)
	}
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.timedOut = true
	case p.readFailure == nil:
		p.readFailure = err
	}
}

var (
	headEnd   = []byte("\r\n\r\n")
	closeHead = []byte("\r\nConnection: close\r\n")
)

// noteWrite records the outcome of a write. The caller holds c.mu.
func (p *progress) noteWrite(text []byte, n int, err error) {
	// net/http writes the head of an answer in one piece.
	if p.status < http.StatusOK {
		head, _, _ := bytes.Cut(text, headEnd)
		if len(head) >= len("HTTP/1.1 200") {
			// Another start is no head, and leaves 0.
			p.status, _ = strconv.Atoi(string(head[len("HTTP/1.1 "):len("HTTP/1.1 200")]))
		}
		p.lastAnswer = p.lastAnswer || bytes.Contains(text[:min(len(text), len(head)+2)], closeHead)
	}
	p.written += int64(n)
	if err != nil && p.writeFailure == nil {
		p.writeFailure = err
	}
}

// closing returns the report of a connection that is about to be closed, and whether
// there is one to make. The caller holds c.mu.
func (c *conn) closing() (Closing, bool) {
	p := &c.progress
	report := Closing{Request: p.request, Status: p.status, Read: p.read, Written: p.written}
	if p.read > 0 {
		report.After = time.Since(p.began)
	}
	report.By, report.Cause = p.end()
	if report.By == ByHost {
		report.Unread = unread(c.Conn)
	}
	answered := p.handled && p.lastAnswer && p.writeFailure == nil
	if !c.busy || answered {
		if report.Unread == 0 {
			return report, false
		}
		report.Cause = CauseUnread
	}
	return report, true
}

// end returns who ends a connection and why.
func (p *progress) end() (Party, Cause) {
	switch err := cmp.Or(p.readFailure, p.writeFailure); {
	case err == nil:
	case errors.Is(err, io.EOF):
		return ByCaller, CauseLeft
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ByCaller, CauseReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ByHost, CauseWriteTime
	default:
		return ByNetwork, CauseLost
	}
	switch {
	case p.handling:
		return ByHost, CauseClosed
	case p.broken:
		return ByHost, CauseBroken
	case p.handled:
		return ByHost, CauseShort
	case p.timedOut:
		return ByHost, CauseHeadTime
	case p.status != 0:
		return ByHost, CauseBadHead
	case p.read > 0:
		return ByHost, CauseClosed
	}
	return ByHost, CauseOther
}

// unread returns the number of bytes that a connection has received and that were not
// read, 0 if that can't be known.
func unread(c net.Conn) int64 {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) != nil || err != nil {
		return 0
	}
	return int64(n)
}
