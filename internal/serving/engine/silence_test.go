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

const eventTimeout = 30 * time.Second

var _ = Describe("A silent connection", func() {
	// The server sends the head at once, one byte when sendByte is closed, and
	// nothing more.
	It("times out after FirstByte before the first byte of the body and after Progress from then on", func() {
		sendByte := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			<-sendByte
			_, _ = io.WriteString(w, "x")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		DeferCleanup(server.Close)
		clock := timer.NewManual(time.Unix(0, 0))
		headRead, firstByteRead := make(chan struct{}), make(chan struct{})
		failure := make(chan *result.Error, 1)
		go func() {
			call := engine.Call{Method: "GET", URL: server.URL, FirstByteTimeout: time.Minute, ProgressTimeout: 4 * time.Second}
			failure <- engine.NewClient(clock).Do(context.Background(), call, func(_ engine.ResponseHead, body io.Reader) error {
				close(headRead)
				if _, err := io.ReadFull(body, make([]byte, 1)); err != nil {
					return err
				}
				close(firstByteRead)
				_, err := io.ReadAll(body)
				return err
			})
		}()
		Eventually(headRead, eventTimeout).Should(BeClosed())
		clock.Advance(30 * time.Second)
		close(sendByte)
		Eventually(firstByteRead, eventTimeout).Should(BeClosed())
		clock.Advance(6 * time.Second)
		var received *result.Error
		Eventually(failure, eventTimeout).Should(Receive(&received))
		Expect(received.Code()).To(Equal(result.BackendSilent))
	})
})
