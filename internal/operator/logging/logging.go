// Package logging writes the structured log of a process.
//
// Logging never blocks a request: lines go into a bounded queue that one
// goroutine writes to the output. Lines that exceed the capacity of the queue or
// the limit on lines per second are dropped and counted, and the count is logged
// every few seconds.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

// droppedTotal counts lines dropped because of the rate limit, a full queue or a
// failed write.
var droppedTotal = metrics.NewCounter("kingcupquay_log_lines_dropped_total")

const (
	// queueCapacity is the number of lines that can wait for a slow output.
	queueCapacity = 2048
	// DefaultRateLimit is the default maximum of lines per second.
	DefaultRateLimit = 400
)

// Writer writes log lines to an output from its own goroutine. It is safe for
// concurrent use.
type Writer struct {
	timer     timer.Service
	out       io.Writer
	rateLimit atomic.Int64

	// second is the Unix time of the last call of Write, and linesInSecond the
	// number of lines in that second, including those above the limit.
	second        atomic.Int64
	linesInSecond atomic.Int64
	dropped       atomic.Int64

	queue     chan []byte
	closing   chan struct{}
	closeOnce sync.Once
	drained   sync.WaitGroup
}

// NewWriter starts a writer that writes at most rateLimit lines per second to
// out.
func NewWriter(t timer.Service, out io.Writer, rateLimit int) *Writer {
	w := &Writer{timer: t, out: out, queue: make(chan []byte, queueCapacity), closing: make(chan struct{})}
	w.SetRateLimit(rateLimit)
	w.drained.Add(1)
	go w.drain()
	return w
}

// SetRateLimit changes the maximum of lines per second.
func (w *Writer) SetRateLimit(rateLimit int) { w.rateLimit.Store(int64(rateLimit)) }

// Write queues a copy of one line, or drops it. It never blocks and never returns
// an error.
func (w *Writer) Write(line []byte) (int, error) {
	now := w.timer.Now().Unix()
	if previous := w.second.Load(); previous != now && w.second.CompareAndSwap(previous, now) {
		w.linesInSecond.Store(0)
	}
	if w.linesInSecond.Add(1) > w.rateLimit.Load() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	droppedTotal.Inc()
}

// TakeDropped returns the number of lines dropped since the last call.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *Writer) Sync() error { return nil }

// drain writes the queued lines until the writer is closed and the queue is
// empty.
func (w *Writer) drain() {
	defer w.drained.Done()
	for {
		select {
		case line := <-w.queue:
			w.writeOut(line)
		case <-w.closing:
			for {
				select {
				case line := <-w.queue:
					w.writeOut(line)
				default:
					return
				}
			}
		}
	}
}

// writeOut writes a line to the output. A failed write can only be counted, as
// there is no other output to report it to.
func (w *Writer) writeOut(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.drop()
	}
}

// Close writes the queued lines and stops the writer's goroutine.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	w.drained.Wait()
}

// reportInterval is the time between two log lines that report dropped lines.
const reportInterval = 5 * time.Second

// NewLogger returns a logger that writes JSON lines to w and reports dropped lines
// every reportInterval.
func NewLogger(t timer.Service, w *Writer) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zapcore.DebugLevel)
	log := zapr.NewLogger(zap.New(core))
	t.Every(reportInterval, func(time.Time) {
		if n := w.TakeDropped(); n > 0 {
			log.Info("log lines dropped", "lines", n)
		}
	})
	return log
}
