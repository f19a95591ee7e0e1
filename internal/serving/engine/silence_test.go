package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
)

const patience = 30 * time.Second

var _ = Describe("Silence of a connection", func() {
	// The server answers with its head at once, with a piece when told to, and
	// nothing more.
	It("is bounded by the first byte's limit up to the first piece and by the progress limit after it", func() {
		piece := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			<-piece
			_, _ = io.WriteString(w, "x")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		DeferCleanup(server.Close)
		clock := timer.NewManual(time.Unix(0, 0))
		head, first := make(chan struct{}), make(chan struct{})
		failure := make(chan *result.Error, 1)
		go func() {
			call := engine.Call{Method: "GET", URL: server.URL, FirstByteTimeout: time.Minute, ProgressTimeout: 4 * time.Second}
			failure <- engine.NewClient(clock).Do(context.Background(), call, func(_ engine.ResponseHead, body io.Reader) error {
				close(head)
				if _, err := io.ReadFull(body, make([]byte, 1)); err != nil {
					return err
				}
				close(first)
				_, err := io.ReadAll(body)
				return err
			})
		}()
		Eventually(head, patience).Should(BeClosed())
		clock.Advance(30 * time.Second)
		close(piece)
		Eventually(first, patience).Should(BeClosed())
		clock.Advance(6 * time.Second)
		var ended *result.Error
		Eventually(failure, patience).Should(Receive(&ended))
		Expect(ended.Code()).To(Equal(result.BackendSilent))
	})
})
