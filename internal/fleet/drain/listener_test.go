package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
)

// timeout bounds every wait. It is generous because the specs do not measure
// speed.
const timeout = 20 * time.Second

// readLimit is how long the handler of /limited reads a body.
const readLimit = 500 * time.Millisecond

// notifyingListener is a listener whose connections send the size of each
// non-empty read to read.
type notifyingListener struct {
	net.Listener
	read chan int
}

type notifyingConn struct {
	net.Conn
	read chan int
}

func (t notifyingListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	return notifyingConn{c, t.read}, err
}

func (t notifyingConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.read <- n
	}
	return n, err
}

var _ = Describe("a listener of keep-alive connections", func() {
	var (
		l       *drain.Listener
		read    chan int
		release chan struct{}
	)
	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		read, release = make(chan int, 100), make(chan struct{}, 100)
		l = drain.NewListener(notifyingListener{inner, read})
		s := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-release
			}
			if r.URL.Path == "/limited" {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readLimit))
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(w, "answer")
		})}
		served := make(chan error, 1)
		go func() { served <- drain.Serve(s, l) }()
		DeferCleanup(func() {
			close(release)
			// Drain has closed the listener in some specs, which the server may not have
			// noticed yet.
			Expect(s.Close()).To(Or(Succeed(), MatchError(net.ErrClosed)))
			Eventually(served, timeout).Should(Receive())
		})
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
	}
	expectAnswer := func(in *bufio.Reader) {
		GinkgoHelper()
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("answer"))
	}
	expectEnd := func(in *bufio.Reader) {
		GinkgoHelper()
		_, err := in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	}
	startDrain := func() chan error {
		drained := make(chan error, 1)
		go func() { drained <- l.Drain(context.Background()) }()
		return drained
	}
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

	DescribeTable("serves a request that it has partly read when draining begins", func(first bool) {
		c, in := dial()
		if !first {
			send(c, request)
			expectAnswer(in)
			Eventually(read, timeout).Should(Receive())
		}
		send(c, request[:8])
		Eventually(read, timeout).Should(Receive())
		drained := startDrain()
		Consistently(drained, "50ms").ShouldNot(Receive())
		send(c, request[8:])
		expectAnswer(in)
		expectEnd(in)
		Eventually(drained, timeout).Should(Receive(BeNil()))
	},
		Entry("the first on its connection", true),
		Entry("a later one on a keep-alive connection", false),
	)

	It("ends idle connections at once, waits for requests in progress, and accepts no new connections", func() {
		idle, idleIn := dial()
		send(idle, request)
		expectAnswer(idleIn)
		unused, unusedIn := dial()
		busy, busyIn := dial()
		send(busy, strings.Replace(request, "/", "/held", 1))
		Eventually(read, timeout).Should(Receive())
		Eventually(read, timeout).Should(Receive())
		drained := startDrain()
		expectEnd(idleIn)
		expectEnd(unusedIn)
		Consistently(drained, "50ms").ShouldNot(Receive())
		_, err := net.Dial("tcp", l.Addr().String())
		Expect(err).To(HaveOccurred())
		release <- struct{}{}
		expectAnswer(busyIn)
		Eventually(drained, timeout).Should(Receive(BeNil()))
		_ = unused
	})

	It("keeps the read deadline of a request whose body arrives while draining", func() {
		c, in := dial()
		send(c, "POST /limited HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx")
		Eventually(read, timeout).Should(Receive())
		drained := startDrain()
		send(c, "x")
		expectAnswer(in)
		Eventually(drained, timeout).Should(Receive(BeNil()))
	})

	It("stops waiting when its context ends", func() {
		c, _ := dial()
		send(c, strings.Replace(request, "/", "/held", 1))
		Eventually(read, timeout).Should(Receive())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(l.Drain(ctx)).To(MatchError(context.Canceled))
	})
})
