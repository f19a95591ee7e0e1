package keeper_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/engine"
	"github.com/kingcupquay/kingcupquay/internal/serving/keeper"
	"github.com/kingcupquay/kingcupquay/internal/serving/queue"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// goPool runs each task in a new goroutine.
type goPool struct{}

func (goPool) Submit(task func()) error {
	go task()
	return nil
}

// inlinePool runs each task in Submit.
type inlinePool struct{}

func (inlinePool) Submit(task func()) error {
	task()
	return nil
}

// fullPool rejects every task.
type fullPool struct{}

func (fullPool) Submit(func()) error { return errors.New("full") }

// slowPool delays its first task until free is closed. It closes held when it
// has received that task.
type slowPool struct {
	first sync.Once
	held  chan struct{}
	free  chan struct{}
}

func newSlowPool() *slowPool { return &slowPool{held: make(chan struct{}), free: make(chan struct{})} }

func (p *slowPool) Submit(task func()) error {
	wait := false
	p.first.Do(func() { wait = true })
	go func() {
		if wait {
			close(p.held)
			<-p.free
		}
		task()
	}()
	return nil
}

var pools = keeper.Pools{Online: goPool{}, Batch: goPool{}}

// length is the number of tokens in each answer of the fake engine.
const length = 12

// fakeEngine answers with the words 0 to length-1, one per chunk, and then the
// usage. Like an engine that can resume, it continues after the words in the
// transcript.
type fakeEngine struct {
	// step is called before each chunk with the number of the word, or length for
	// the usage. An error ends the attempt.
	step func(ctx context.Context, a engine.Attempt, n int) *result.Error
	// lateChunks makes the engine send chunks after the attempt was cancelled, as
	// if they had been in transit.
	lateChunks bool

	mu               sync.Mutex
	attempts         []engine.Attempt
	onlineRunning    int
	maxOnlineRunning int
	load             engine.Load
}

func (f *fakeEngine) Load(context.Context, string) (engine.Load, error) { return f.load, nil }

// track counts an attempt that begins (n is 1) or ends (n is -1).
func (f *fakeEngine) track(a engine.Attempt, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n > 0 {
		f.attempts = append(f.attempts, a)
	}
	if a.Request.Urgency() == request.Online {
		f.onlineRunning += n
		f.maxOnlineRunning = max(f.maxOnlineRunning, f.onlineRunning)
	}
}

// runCount returns the number of attempts of the request with that ID.
func (f *fakeEngine) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.attempts {
		if a.Request.ID() == id {
			n++
		}
	}
	return n
}

func (f *fakeEngine) Run(ctx context.Context, a engine.Attempt, sink request.Sink) *result.Error {
	f.track(a, 1)
	defer f.track(a, -1)
	if err := sink(request.Event{Kind: request.Started, Status: 200}); err != nil {
		return result.New(result.Cancelled, "%v", err)
	}
	_, from := a.Transcript.Text()
	for n := from; n <= length; n++ {
		if f.step != nil {
			if failure := f.step(ctx, a, n); failure != nil {
				return failure
			}
		}
		if ctx.Err() != nil && !f.lateChunks {
			return result.New(result.Cancelled, "cancelled").WithRan(result.RanYes)
		}
		chunk := chunkOf(a.Request, n)
		if !a.Accept(chunk) {
			return result.New(result.Cancelled, "not accepted").WithRan(result.RanYes)
		}
		if err := sink(request.Event{Kind: request.Data, Data: chunk}); err != nil {
			return result.New(result.Cancelled, "%v", err)
		}
	}
	return nil
}

func chunkOf(r *request.Request, n int) []byte {
	switch {
	case n == length:
		return fmt.Appendf(nil, `{"choices":[],"usage":{"completion_tokens":%d}}`, length)
	case n == length-1:
		return fmt.Appendf(nil, `{"choices":[{"index":0,"delta":{"content":" %d"},"finish_reason":"stop"}]}`, n)
	case gjson.GetBytes(r.Body(), "n").Int() > 1:
		return fmt.Appendf(nil, `{"choices":[{"index":1,"delta":{"content":" %d"},"finish_reason":null}]}`, n)
	}
	return fmt.Appendf(nil, `{"choices":[{"index":0,"delta":{"content":" %d"},"finish_reason":null}]}`, n)
}

// fullText returns the text of an answer without lost or duplicated tokens.
func fullText() string {
	var text strings.Builder
	for n := range length {
		fmt.Fprintf(&text, " %d", n)
	}
	return text.String()
}

// reader collects an answer.
type reader struct {
	mu      sync.Mutex
	text    string
	usages  int
	started int
}

func (d *reader) sink(e request.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Kind == request.Started {
		d.started++
		return nil
	}
	d.text += gjson.GetBytes(e.Data, "choices.0.delta.content").String()
	if gjson.GetBytes(e.Data, "usage").Exists() {
		d.usages++
	}
	return nil
}

func (d *reader) read() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text
}

var epoch = time.Unix(1_000_000, 0)

func newRequest(id string, u request.Urgency, body string) *request.Request {
	return request.New(request.Options{
		ID: id, Organisation: "agency", Service: "s", Model: "m", Body: []byte(body), Urgency: u, Weight: 50,
		Idempotent: true, Engine: true,
	})
}

func newKeeper(f *fakeEngine, p keeper.Pools, slots int) (*keeper.Keeper, *timer.Manual) {
	clock := timer.NewManual(epoch)
	backend := services.Backend{Name: "engine-1", Kind: services.EngineKind, Slots: slots}
	return keeper.New(clock, f, p, backend, queue.NewPriorityPolicy(slots, 1000)), clock
}

// outcome is the result of a request and the answer that its reader received.
type outcome struct {
	reader
	failure *result.Error
	done    chan struct{}
}

// startRun starts a request and returns at once.
func startRun(ctx context.Context, k *keeper.Keeper, r *request.Request) *outcome {
	o := &outcome{done: make(chan struct{})}
	go func() {
		defer close(o.done)
		o.failure = k.Run(ctx, r, new(services.Service), 1, o.sink)
	}()
	return o
}
