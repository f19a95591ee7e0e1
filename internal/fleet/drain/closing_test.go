package drain_test

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

// closingServer is a server whose connections are reported.
type closingServer struct {
	*http.Server
	listener *drain.Listener
	reports  chan drain.Closing
	// began gets a value when a handler has read its request, which ends when release is
	// closed.
	began, release chan struct{}
}

const (
	// headTime is how long the head of a request may take.
	headTime = 300 * time.Millisecond
	// idleTime is how long a connection may be idle.
	idleTime = 500 * time.Millisecond
	// writeTime is how long the write of an answer may take.
	writeTime = 200 * time.Millisecond
)

func newClosingServer() *closingServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &closingServer{listener: drain.NewListener(inner), reports: make(chan drain.Closing, 100), began: make(chan struct{}, 100), release: make(chan struct{})}
	s.listener.Closed = func(c drain.Closing) { s.reports <- c }
	s.listener.RequestID = func(r *http.Request) string { return r.Header.Get("Id") }
	s.Server = &http.Server{ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: 1 << 10, ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(s.handle)}
	served := make(chan error, 1)
	go func() { served <- drain.Serve(s.Server, s.listener) }()
	DeferCleanup(func() {
		select {
		case <-s.release:
		default:
			close(s.release)
		}
		Expect(s.Close()).To(Or(Succeed(), MatchError(net.ErrClosed)))
		Eventually(served, timeout).Should(Receive())
	})
	return s
}

func (s *closingServer) handle(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	switch r.URL.Path {
	case "/held", "/held-begun":
		if r.URL.Path == "/held-begun" {
			_, _ = io.WriteString(w, "part")
			_ = control.Flush()
		}
		s.began <- struct{}{}
		<-s.release
	case "/broken":
		_, _ = io.WriteString(w, "part")
		_ = control.Flush()
		panic(http.ErrAbortHandler)
	case "/broken-unbegun":
		panic(http.ErrAbortHandler)
	case "/failed":
		panic("a fault")
	case "/short":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	case "/unread":
		_ = control.SetWriteDeadline(time.Now().Add(writeTime))
		piece := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	case "/nothing":
	case "/body":
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "answer")
	case "/last":
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "answer")
	default:
		_, _ = io.WriteString(w, "answer")
	}
}

func (s *closingServer) dial() *net.TCPConn {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	return c.(*net.TCPConn)
}

// ask sends text and reads the answer.
func (s *closingServer) ask(c net.Conn, text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
}

// requestTo returns the text of a request with the ID r1.
func requestTo(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n"
}

var _ = Describe("the end of a connection with a request unanswered", func() {
	var s *closingServer
	BeforeEach(func() { s = newClosingServer() })

	type ending struct {
		// sent is what the caller sends, end what it or the host does then.
		sent string
		end  func(c *net.TCPConn)
		want drain.Closing
	}
	whenBegun := func(then func(c *net.TCPConn)) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			Eventually(s.began, timeout).Should(Receive())
			then(c)
		}
	}
	nothing := func(*net.TCPConn) {}
	leave := func(c *net.TCPConn) { Expect(c.Close()).To(Succeed()) }
	reset := func(c *net.TCPConn) {
		Expect(c.SetLinger(0)).To(Succeed())
		leave(c)
	}
	closeServer := func(*net.TCPConn) { Expect(s.Close()).To(Succeed()) }
	drainInVain := func(*net.TCPConn) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(s.listener.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(s.Close()).To(Or(Succeed(), MatchError(net.ErrClosed)))
	}
	longHead := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 10<<10) + "\r\n\r\n"
	halfHead := "GET / HTTP/1.1\r\nHost"
	halfBody := "POST /body HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 10\r\n\r\nabc"

	entries := []any{
		Entry("an answer that its handler breaks off", ending{requestTo("/broken"), nothing, drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseBroken, Status: 200}}),
		Entry("a request whose handler ends it without an answer", ending{requestTo("/broken-unbegun"), nothing, drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseBroken}}),
		Entry("a handler that fails", ending{requestTo("/failed"), nothing, drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseBroken}}),
		Entry("an answer that is shorter than it says", ending{requestTo("/short"), nothing, drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseShort, Status: 200}}),
		Entry("an answer that its caller does not read", ending{requestTo("/unread"), nothing, drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseWriteTime, Status: 200}}),
		Entry("a request that is being answered when the server is closed", ending{requestTo("/held"), whenBegun(closeServer), drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseClosed}}),
		Entry("the same with a part of the answer", ending{requestTo("/held-begun"), whenBegun(closeServer), drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseClosed, Status: 200}}),
		Entry("a request that outlasts a drain", ending{requestTo("/held"), whenBegun(drainInVain), drain.Closing{Request: "r1", By: drain.ByHost, Cause: drain.CauseClosed}}),
		Entry("a head that does not end", ending{halfHead, nothing, drain.Closing{By: drain.ByHost, Cause: drain.CauseHeadTime, Status: 400}}),
		Entry("a head that is too large", ending{longHead, nothing, drain.Closing{By: drain.ByHost, Cause: drain.CauseBadHead, Status: 431}}),
		Entry("a head that can't be read", ending{"what\r\n\r\n", nothing, drain.Closing{By: drain.ByHost, Cause: drain.CauseBadHead, Status: 400}}),
		Entry("a transfer coding that net/http does not know", ending{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n\r\n", nothing, drain.Closing{By: drain.ByHost, Cause: drain.CauseBadHead, Status: 501}}),
		Entry("an expectation that net/http does not know", ending{"POST / HTTP/1.1\r\nHost: h\r\nExpect: odd\r\nContent-Length: 1\r\n\r\na", nothing, drain.Closing{By: drain.ByHost, Cause: drain.CauseBadHead, Status: 417}}),
		Entry("half a head, and the server is closed", ending{halfHead, func(c *net.TCPConn) {
			time.Sleep(headTime / 3)
			closeServer(c)
		}, drain.Closing{By: drain.ByHost, Cause: drain.CauseClosed}}),
		Entry("a caller that leaves amid a head", ending{halfHead, leave, drain.Closing{By: drain.ByCaller, Cause: drain.CauseLeft, Status: 400}}),
		Entry("a caller that leaves amid a body", ending{halfBody, func(c *net.TCPConn) { Expect(c.CloseWrite()).To(Succeed()) }, drain.Closing{Request: "r1", By: drain.ByCaller, Cause: drain.CauseLeft}}),
		Entry("a caller whose connection is reset amid an answer", ending{requestTo("/held-begun"), whenBegun(func(c *net.TCPConn) {
			reset(c)
			time.Sleep(50 * time.Millisecond)
			close(s.release)
		}), drain.Closing{Request: "r1", By: drain.ByCaller, Cause: drain.CauseReset, Status: 200}}),
	}
	for _, kept := range []bool{false, true} {
		DescribeTable(map[bool]string{false: "has a line, on a new connection", true: "has a line, after another request on its connection"}[kept], append([]any{func(e ending) {
			c := s.dial()
			if kept {
				s.ask(c, requestTo("/"))
			}
			_, err := io.WriteString(c, e.sent)
			Expect(err).NotTo(HaveOccurred())
			e.end(c)
			var got drain.Closing
			Eventually(s.reports, timeout).Should(Receive(&got))
			Expect(got.After).To(BeNumerically("<", timeout))
			Expect(got.Read).To(BeNumerically("<=", len(e.sent)))
			Expect(got.Read).To(BeNumerically(">", 0))
			Expect(got.Written > 0).To(Equal(e.want.Status != 0))
			Expect(got.Unread).To(BeNumerically("<", len(e.sent)))
			got.After, got.Read, got.Written, got.Unread = 0, 0, 0, 0
			Expect(got).To(Equal(e.want))
			Consistently(s.reports, 100*time.Millisecond).ShouldNot(Receive())
		}}, entries...)...)
	}

	It("has a line with the bytes that had come when an idle connection was closed", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := drain.NewListener(inner)
		reports := make(chan drain.Closing, 1)
		l.Closed = func(c drain.Closing) { reports <- c }
		c, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Drain(canceled())).To(MatchError(context.Canceled))
		_, err = io.WriteString(c, requestTo("/"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		_, err = accepted.Read(make([]byte, 10))
		Expect(err).To(MatchError(io.EOF))
		Expect(accepted.Close()).To(Succeed())
		Expect(reports).To(Receive(Equal(drain.Closing{By: drain.ByHost, Cause: drain.CauseUnread, Unread: int64(len(requestTo("/")))})))
		Expect(l.IdleClosed()).To(Equal(1))
	})

	It("has a line if the network loses the connection", func() {
		inner := &lateListener{conn: &lostConn{text: "GET / HTTP/1.1\r\n"}, taken: make(chan struct{}), release: make(chan struct{})}
		close(inner.release)
		l := drain.NewListener(inner)
		reports := make(chan drain.Closing, 1)
		l.Closed = func(c drain.Closing) { reports <- c }
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(accepted)
		Expect(err).To(MatchError(syscall.ETIMEDOUT))
		Expect(accepted.Close()).To(Succeed())
		Expect(accepted.Close()).To(Succeed())
		var got drain.Closing
		Expect(reports).To(Receive(&got))
		Expect([]any{got.By, got.Cause, got.Read}).To(Equal([]any{drain.ByNetwork, drain.CauseLost, int64(16)}))
		Expect(reports).NotTo(Receive())
	})

	DescribeTable("has no line after an answer", func(sent string, end func(c *net.TCPConn)) {
		c := s.dial()
		s.ask(c, requestTo("/"))
		s.ask(c, sent)
		end(c)
		// By then an idle connection is closed.
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Consistently(s.reports, 100*time.Millisecond).ShouldNot(Receive())
	},
		Entry("and an idle time", requestTo("/"), nothing),
		Entry("if the caller leaves", requestTo("/"), func(c *net.TCPConn) { Expect(c.CloseWrite()).To(Succeed()) }),
		Entry("if the caller's connection is reset", requestTo("/"), reset),
		Entry("that was the last by the caller's wish", strings.Replace(requestTo("/"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), nothing),
		Entry("that was the last by the host's wish", requestTo("/last"), nothing),
		Entry("of an old caller", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", nothing),
		Entry("of a handler that writes nothing", requestTo("/nothing"), nothing),
		Entry("whose request has a body", "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", nothing),
		Entry("whose request has a large body that is not read", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(300<<10)+"\r\n\r\n"+strings.Repeat("a", 300<<10), nothing),
		Entry("and a drain", requestTo("/"), func(*net.TCPConn) { Expect(s.listener.Drain(context.Background())).To(Succeed()) }),
		Entry("and the end of the server", Label(specs.KnownRed), requestTo("/"), closeServer),
	)
})

// lostConn is a connection that is lost once text has been read.
type lostConn struct {
	net.Conn
	text string
}

func (c *lostConn) Read(p []byte) (int, error) {
	n := copy(p, c.text)
	c.text = c.text[n:]
	if n == 0 {
		return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
	}
	return n, nil
}

func (c *lostConn) Close() error { return nil }

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
