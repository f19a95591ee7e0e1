//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

const (
	// slots is the number of requests that an engine processes at once, queue how many more
	// it takes.
	slots = 8
	queue = 24
	// leaveTimeout is how long an engine that leaves may take for what it runs.
	leaveTimeout = 10 * time.Second
)

// engine is a backend server. It answers with numbered events whose text depends on the
// body of the request only.
type engine struct {
	bed           *bed
	id, zone      string
	service       string
	listener      net.Listener
	http          *http.Server
	sem           chan struct{}
	events        int
	eventInterval time.Duration
	born          time.Time
	// weights is the version of the engine's weights.
	weights int

	mu       sync.Mutex
	waiting  int
	running  map[string]int
	finished map[string]time.Time
	runs     map[string]int
	lastRun  time.Time
}

// addEngines adds engines of a service, and their entries in the store.
func (b *bed) addEngines(service string, n, events int, interval time.Duration) error {
	for i := range n {
		if _, err := b.addEngine(service, zoneOf(i), 1, events, interval); err != nil {
			return err
		}
	}
	return nil
}

// addEngine adds an engine with a version of the weights, and its entry in the store.
func (b *bed) addEngine(service, zone string, weights, events int, interval time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		bed: b, id: fmt.Sprintf("i-%04x", 0x3a10+len(b.engines)), zone: zone, service: service, listener: listener, sem: make(chan struct{}, slots), events: events, eventInterval: interval,
		weights: weights, born: time.Now(), running: make(map[string]int), finished: make(map[string]time.Time), runs: make(map[string]int),
	}
	e.http = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.http.Serve(listener) }()
	b.engines = append(b.engines, e)
	return e, e.register("ready")
}

// leave has the engine report that it drains, serve on for a while and end. Its entry is
// removed when it has left.
func (e *engine) leave(serve time.Duration) error {
	if err := e.register("draining"); err != nil {
		return err
	}
	e.bed.note("engine %s: drains", e.id)
	time.Sleep(serve)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := e.http.Shutdown(ctx)
	e.bed.note("engine %s: has left", e.id)
	_, commitErr := e.bed.kv.Commit(context.Background(), store.Txn{Deletes: []string{"servers/" + e.id}})
	return errors.Join(err, commitErr)
}

// register writes the engine's entry in the store.
func (e *engine) register(state string) error {
	return e.bed.put("servers/"+e.id, map[string]any{
		"service": e.service, "addr": e.listener.Addr().String(), "zone": e.zone, "version": "1.0", "slots": slots, "state": state, "coldLeftMs": 0, "seq": 1, "born": e.born.UnixMilli(),
	})
}

func (e *engine) close() { _ = e.http.Close() }

// textOf returns the data of the event with a number of the answer to a body.
func textOf(body []byte, n int) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return fmt.Sprintf("%x.%d", h.Sum64(), n)
}

// wholeText returns the data of all events of the answer to a body.
func wholeText(body []byte, events int) string {
	lines := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		lines = append(lines, textOf(body, n))
	}
	return strings.Join(lines, "\n")
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != strconv.Itoa(e.weights) {
		e.bed.note("engine %s: 421 to %s, which expects weights %s; it has %d", e.id, id, expected, e.weights)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || !e.admit(r.Context()) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.sem }()
	if r.Context().Err() != nil {
		return
	}
	e.begin(id)
	whole := false
	defer func() { e.end(id, whole) }()
	from := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		from, _ = strconv.Atoi(text)
	}
	w.Header().Set("Server-Stamp", "stamp."+e.id)
	w.Header().Set("Weight-Versions", strconv.Itoa(e.weights))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	for n := from + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.eventInterval):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, textOf(body, n)); err != nil || flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	whole = true
}

// admit waits for a slot, and reports whether there was room in the queue.
func (e *engine) admit(ctx context.Context) bool {
	e.mu.Lock()
	if e.waiting >= queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *engine) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id]++
	e.runs[id]++
	e.lastRun = time.Now()
	e.bed.note("engine %s: begins %s", e.id, id)
}

func (e *engine) end(id string, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id]--; e.running[id] == 0 {
		delete(e.running, id)
	}
	e.lastRun = time.Now()
	if whole {
		e.finished[id] = e.lastRun
	}
	e.bed.note("engine %s: ends %s, whole %t", e.id, id, whole)
}

// work is what all engines have done.
type work struct {
	// running are the requests at engines now, lastRun is when one last began or ended.
	running  map[string]bool
	finished map[string]bool
	runs     map[string]int
	lastRun  time.Time
}

// work returns what all engines have done so far.
func (b *bed) work() work {
	w := work{running: make(map[string]bool), finished: make(map[string]bool), runs: make(map[string]int)}
	for _, e := range b.engines {
		e.mu.Lock()
		for id := range e.running {
			w.running[id] = true
		}
		for id := range e.finished {
			w.finished[id] = true
		}
		for id, n := range e.runs {
			w.runs[id] += n
		}
		if e.lastRun.After(w.lastRun) {
			w.lastRun = e.lastRun
		}
		e.mu.Unlock()
	}
	return w
}
