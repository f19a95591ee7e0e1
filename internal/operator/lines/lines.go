// Package lines writes a process's structured log lines.
//
// Writing never blocks a request: lines go into a bounded buffer that one
// goroutine empties, and what does not fit is dropped and counted. A budget a
// second bounds the volume; what it suppresses is counted too, and the count is
// written as a line of its own.
package lines

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

// droppedTotal counts lines that were suppressed or did not fit.
var droppedTotal = metrics.NewCounter("kingcupquay_log_lines_dropped_total")

const (
	// bufferLines is how many lines wait for a slow output.
	bufferLines = 2048
	// DefaultBudget is the lines a second that are written at most.
	DefaultBudget = 400
)

// Writer is the sink of a process's lines. It is safe for concurrent use.
type Writer struct {
	timer  timer.Service
	out    io.Writer
	budget atomic.Int64

	// second and written are the current second and the lines of it.
	second  atomic.Int64
	written atomic.Int64
	dropped atomic.Int64

	queue chan []byte
	done  chan struct{}
	once  sync.Once
	wait  sync.WaitGroup
}

// NewWriter returns a writer to out of at most budget lines a second.
func NewWriter(t timer.Service, out io.Writer, budget int) *Writer {
	w := &Writer{timer: t, out: out, queue: make(chan []byte, bufferLines), done: make(chan struct{})}
	w.SetBudget(budget)
	w.wait.Add(1)
	go w.drain()
	return w
}

// SetBudget changes how many lines a second are written at most.
func (w *Writer) SetBudget(budget int) { w.budget.Store(int64(budget)) }

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := w.timer.Now().Unix()
	if old := w.second.Load(); old != now && w.second.CompareAndSwap(old, now) {
		w.written.Store(0)
	}
	if w.written.Add(1) > w.budget.Load() {
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

// Dropped returns how many lines were dropped since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Sync is part of zap's interface; lines are written as they come.
func (w *Writer) Sync() error { return nil }

func (w *Writer) drain() {
	defer w.wait.Done()
	for {
		select {
		case line := <-w.queue:
			w.put(line)
		case <-w.done:
			for {
				select {
				case line := <-w.queue:
					w.put(line)
				default:
					return
				}
			}
		}
	}
}

// put writes a line; there is nowhere to tell that standard output failed but
// the counter.
func (w *Writer) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.drop()
	}
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
	w.wait.Wait()
}

// reportEvery is the time between two lines about dropped lines.
const reportEvery = 5 * time.Second

// Logger returns a logger of JSON lines to w.
func Logger(t timer.Service, w *Writer) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zapcore.DebugLevel)
	log := zapr.NewLogger(zap.New(core))
	t.Every(reportEvery, func(time.Time) {
		if n := w.Dropped(); n > 0 {
			log.Info("log lines dropped", "lines", n)
		}
	})
	return log
}
