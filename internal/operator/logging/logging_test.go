package logging_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/logging"
)

// stalledOutput is an output that blocks writes until release is closed.
type stalledOutput struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

var _ = Describe("a writer", func() {
	newClock := func() *timer.Manual { return timer.NewManual(time.Unix(1000, 0)) }

	It("never blocks on a stalled output, and counts the lines that it drops", func() {
		out := &stalledOutput{release: make(chan struct{})}
		w := logging.NewWriter(newClock(), out, 1<<30)
		// More lines than fit in the queue, with one blocked in the output.
		for i := range 5000 {
			n, err := fmt.Fprintf(w, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(BeNumerically(">", 0))
		}
		dropped := w.TakeDropped()
		Expect(dropped).To(BeNumerically(">=", 5000-2048-1))
		close(out.release)
		w.Close()
		Expect(int64(bytes.Count(out.written.Bytes(), []byte("\n"))) + dropped).To(Equal(int64(5000)))
	})

	It("limits the lines per second, and starts a new count every second", func() {
		c := newClock()
		var out bytes.Buffer
		w := logging.NewWriter(c, &out, 10)
		for range 3 {
			for range 25 {
				_, err := io.WriteString(w, "x\n")
				Expect(err).NotTo(HaveOccurred())
			}
			c.Advance(time.Second)
		}
		Expect(w.TakeDropped()).To(Equal(int64(45)))
		w.SetRateLimit(20)
		for range 25 {
			_, err := io.WriteString(w, "x\n")
			Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(50))
	})

	It("writes one JSON object per line, and reports how many lines were dropped", func() {
		c := newClock()
		var out bytes.Buffer
		w := logging.NewWriter(c, &out, 1)
		log := logging.NewLogger(c, w)
		log.Info("refused", "request", "9c41", "retry_ms", 300)
		log.Info("dropped")
		c.Advance(5 * time.Second)
		w.Close()
		decoder := json.NewDecoder(&out)
		var first, second map[string]any
		Expect(decoder.Decode(&first)).To(Succeed())
		Expect(first).To(HaveKeyWithValue("msg", "refused"))
		Expect(first).To(HaveKeyWithValue("request", "9c41"))
		Expect(decoder.Decode(&second)).To(Succeed())
		Expect(second).To(HaveKeyWithValue("lines", 1.0))
	})
})

// BenchmarkLine measures the cost of one log line to the request that logs it.
func BenchmarkLine(b *testing.B) {
	w := logging.NewWriter(timer.Real{}, io.Discard, 1<<30)
	log := logging.NewLogger(timer.Real{}, w)
	for b.Loop() {
		log.V(1).Info("placed", "request", "9c41d07be2a35f68", "service", "s", "server", "i-1", "wait_ms", 0)
	}
	w.Close()
}
