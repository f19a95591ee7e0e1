package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
	standin "github.com/kingcupquay/kingcupquay/internal/standin/engine"
)

// runOnce sends prompt number n and returns its prefix.
func runOnce(client *engine.Client, e *standin.Engine, n int) (uint64, *result.Error) {
	r := request.New(request.Options{
		ID: "r", Model: "m", Engine: true, Method: http.MethodPost, Path: "/v1/completions",
		Body: fmt.Appendf(nil, `{"model":"m","prompt":"p%d","max_tokens":1}`, n),
	})
	return r.Prefix(), client.Run(context.Background(), engine.Attempt{
		Request: r, Backend: &services.Backend{Address: e.Address()}, Service: new(services.Service),
		Transcript: engine.NewTranscript(r), Accept: func([]byte) bool { return true },
	}, func(request.Event) error { return nil })
}

var _ = Describe("Cache events over HTTP", func() {
	It("list the prompts that ran, with a delay, with gaps and bounded in number", func() {
		e, err := standin.Start("127.0.0.1:0", standin.Options{Name: "e", Models: []string{"m"}, Slots: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := engine.NewClient(timer.Real{})
		serve := func(n int) uint64 {
			prefix, failure := runOnce(client, e, n)
			Expect(failure).To(BeNil())
			return prefix
		}
		readEvents := func(since uint64) engine.CacheReport {
			report, err := client.CacheEvents(context.Background(), e.Address(), since)
			Expect(err).NotTo(HaveOccurred())
			return report
		}
		e.SetCacheEventDelay(time.Hour)
		prefix := serve(0)
		Expect(readEvents(0).Events).To(BeEmpty())
		e.SetCacheEventDelay(0)
		Expect(readEvents(0).Events).To(HaveExactElements(And(HaveField("Sequence", uint64(1)), HaveField("Prefix", prefix))))
		e.DropCacheEvents(1)
		serve(1)
		serve(2)
		Expect(readEvents(1).Events).To(HaveExactElements(HaveField("Sequence", uint64(3))))
		for n := range 200 {
			serve(n + 3)
		}
		Expect(readEvents(3).Events).To(And(HaveLen(256), ContainElement(And(HaveField("Prefix", prefix), HaveField("Evicted", true)))))
		before := readEvents(0).Epoch
		e.ResetCache()
		serve(0)
		Expect(readEvents(0)).To(And(HaveField("Epoch", BeNumerically(">", before)), HaveField("Events", HaveLen(1))))
	})

	It("return ErrNoCacheEvents for an engine that publishes none", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(server.Close)
		_, err := engine.NewClient(timer.Real{}).CacheEvents(context.Background(), server.Listener.Addr().String(), 0)
		Expect(err).To(MatchError(engine.ErrNoCacheEvents))
	})
})

// BenchmarkCacheEvents reads a full answer of 256 events over loopback.
func BenchmarkCacheEvents(b *testing.B) {
	e, err := standin.Start("127.0.0.1:0", standin.Options{Name: "e", Models: []string{"m"}, Slots: 1})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	client := engine.NewClient(timer.Real{})
	for n := range 400 {
		if _, failure := runOnce(client, e, n); failure != nil {
			b.Fatal(failure)
		}
	}
	resp, err := http.Get("http://" + e.Address() + "/cache/events?since=0")
	if err != nil {
		b.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	for b.Loop() {
		if _, err := client.CacheEvents(context.Background(), e.Address(), 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body))/256, "bytes/event")
}
