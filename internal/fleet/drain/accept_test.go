package drain_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
)

// lateListener is a listener that has taken a connection, and returns it from Accept
// once release is closed.
type lateListener struct {
	net.Listener
	conn           net.Conn
	taken, release chan struct{}
	returned       bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	if l.returned {
		return nil, net.ErrClosed
	}
	l.returned = true
	close(l.taken)
	<-l.release
	return l.conn, nil
}

func (l *lateListener) Close() error { return nil }

// Guards against a panic of a host that stops, and against a connection that it does
// not wait for.
var _ = It("waits for a connection that is accepted as the drain begins, and closes it unread", func() {
	server, client := net.Pipe()
	inner := &lateListener{conn: server, taken: make(chan struct{}), release: make(chan struct{})}
	l := drain.NewListener(inner)
	accepted := make(chan net.Conn, 1)
	go func() {
		defer GinkgoRecover()
		conn, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		accepted <- conn
	}()
	<-inner.taken
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(context.Background()) }()
	Consistently(drained, 100*time.Millisecond).ShouldNot(Receive())
	close(inner.release)
	conn := <-accepted
	go func() { _, _ = client.Write([]byte("GET / HTTP/1.1\r\n")) }()
	_, err := conn.Read(make([]byte, 100))
	Expect(err).To(MatchError(io.EOF))
	Expect(drained).NotTo(Receive())
	Expect(conn.Close()).To(Succeed())
	Eventually(drained, 10*time.Second).Should(Receive(BeNil()))
	Expect(client.Close()).To(Succeed())
	Expect(l.Drain(context.Background())).To(Succeed())
})
