package drain_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
)

var _ = Describe("an answer that ends with its connection", func() {
	// It fits into no socket buffer.
	body := bytes.Repeat([]byte("x"), 32<<20)

	DescribeTable("does not look complete if it was cut off by this host", func(cut bool) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := drain.NewListener(inner)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			w.Header().Set("Connection", "close")
			finished := drain.ResetOnClose(r.Context())
			if _, err := w.Write(body); err == nil && http.NewResponseController(w).Flush() == nil {
				finished()
			}
		})}
		go func() { _ = drain.Serve(server, l) }()
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		if cut {
			// The handler is blocked in its write by now.
			time.Sleep(200 * time.Millisecond)
			Expect(server.Close()).To(Succeed())
		}
		got, err := io.ReadAll(c)
		if cut {
			Expect(err).To(HaveOccurred(), "%d bytes", len(got))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.HasSuffix(got, body)).To(BeTrue())
	},
		Entry("whole", false),
		Entry("cut off", true),
	)
})
