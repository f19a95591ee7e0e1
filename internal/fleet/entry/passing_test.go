package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
)

var _ = Describe("a host that can't carry out a call", func() {
	It("is never taken for one that may have run it, however large the body", func() {
		stopping := &Host{timer: timer.Real{}, settings: &setup.Entry{Name: "B"}, log: logr.Discard()}
		stopping.stopping.Store(true)
		server := httptest.NewServer(http.HandlerFunc(newPassing(stopping).handle))
		DeferCleanup(server.Close)
		p := newPassing(&Host{timer: timer.Real{}, settings: &setup.Entry{Name: "A"}})
		body := make([]byte, 4<<20)
		for range 50 {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/calls", bytes.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			resp, err := p.http.RoundTrip(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.decodeReply("B", resp).Unable).To(BeTrue())
			_, _ = io.Copy(io.Discard, resp.Body)
			Expect(resp.Body.Close()).To(Succeed())
		}
	})
})

var _ = Describe("a reply that is passed back", func() {
	It("ends as complete long after its last piece", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			o := &peerWriter{w: w, control: http.NewResponseController(w)}
			Expect(o.WriteReply(backend.Server{}, &exchange.Reply{Status: 200})).To(Succeed())
			Expect(o.Write([]byte("x"))).To(Succeed())
			time.Sleep(passWriteTimeout + time.Second)
		}))
		DeferCleanup(server.Close)
		resp, err := http.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("x"))
	})
})
