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

// patience bounds every wait; it is no statement on speed.
const patience = 20 * time.Second

// told is a listener that tells of each read that brought something.
type told struct {
	net.Listener
	read chan int
}

type toldConn struct {
	net.Conn
	read chan int
}

func (t told) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	return toldConn{c, t.read}, err
}

func (t toldConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.read <- n
	}
	return n, err
}

var _ = Describe("a listener of kept connections", func() {
	var (
		l    *drain.Listener
		read chan int
		hold chan struct{}
	)
	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		read, hold = make(chan int, 100), make(chan struct{}, 100)
		l = drain.NewListener(told{inner, read})
		s := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				<-hold
			}
			_, _ = io.WriteString(w, "answer")
		})}
		served := make(chan error, 1)
		go func() { served <- drain.Serve(s, l) }()
		DeferCleanup(func() {
			close(hold)
			Expect(s.Close()).To(Succeed())
			Eventually(served, patience).Should(Receive())
		})
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		return c, bufio.NewReader(c)
	}
	say := func(c net.Conn, text string) {
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
	end := func() chan error {
		ended := make(chan error, 1)
		go func() { ended <- l.Drain(context.Background()) }()
		return ended
	}
	const whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

	DescribeTable("answers a request of which it has read a part when the end begins", func(first bool) {
		c, in := dial()
		if !first {
			say(c, whole)
			expectAnswer(in)
			Eventually(read, patience).Should(Receive())
		}
		say(c, whole[:8])
		Eventually(read, patience).Should(Receive())
		ended := end()
		Consistently(ended, "50ms").ShouldNot(Receive())
		say(c, whole[8:])
		expectAnswer(in)
		expectEnd(in)
		Eventually(ended, patience).Should(Receive(BeNil()))
	},
		Entry("the first of its connection", true),
		Entry("a later one of a kept connection", false),
	)

	It("ends quiet connections at once, waits for answers under way, and takes no new ones", func() {
		quiet, quietIn := dial()
		say(quiet, whole)
		expectAnswer(quietIn)
		unused, unusedIn := dial()
		busy, busyIn := dial()
		say(busy, strings.Replace(whole, "/", "/held", 1))
		Eventually(read, patience).Should(Receive())
		Eventually(read, patience).Should(Receive())
		ended := end()
		expectEnd(quietIn)
		expectEnd(unusedIn)
		Consistently(ended, "50ms").ShouldNot(Receive())
		_, err := net.Dial("tcp", l.Addr().String())
		Expect(err).To(HaveOccurred())
		hold <- struct{}{}
		expectAnswer(busyIn)
		Eventually(ended, patience).Should(Receive(BeNil()))
		_ = unused
	})

	It("gives up when its time is over", func() {
		c, _ := dial()
		say(c, strings.Replace(whole, "/", "/held", 1))
		Eventually(read, patience).Should(Receive())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(l.Drain(ctx)).To(MatchError(context.Canceled))
	})
})
