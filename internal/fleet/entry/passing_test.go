package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
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
