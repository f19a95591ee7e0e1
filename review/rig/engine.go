//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/platform/registry"
)

// engineQueue is how many requests an engine queues.
const engineQueue = 24

// run is one run of a request at an engine.
type run struct {
	id, engine, service, path string
	began, ended              time.Time
	// outcome is what the run came to, "" while it lasts.
	outcome string
}

// engine is a stand-in of an engine. It runs requests in the order of arrival, as
// many at once as it has slots. A run sends events, or one body on paths that are
// not streamed.
type engine struct {
	bed     *bed
	id      string
	service string
	zone    string
	address string
	slots   int
	events  int
	pause   time.Duration
	// decide, if set, is called at the beginning of each run and returns the status
	// to answer with, 0 for a sound answer, or crash.
	decide func(id, path string, body []byte) int
	// unframed, if above 0, is the size of answers that have no length and end with
	// their connection.
	unframed int
	// eventsOf, if set, returns the number of events of a request.
	eventsOf func(id string) int

	mu sync.Mutex
	// incarnation counts the restarts.
	incarnation int
	born        time.Time
	server      *http.Server
	slotSem     chan struct{}
	waiting     int
	runs        []*run
}

// crash makes an engine end all its connections and stop listening.
const crash = -1

// addEngine starts an engine and registers it.
func (b *bed) addEngine(service, zone string, slots, events int, pause time.Duration) (*engine, error) {
	e := &engine{
		bed: b, id: fmt.Sprintf("i-%d", len(b.engines)+1), service: service, zone: zone, slots: slots, events: events, pause: pause,
		slotSem: make(chan struct{}, slots),
	}
	b.engines = append(b.engines, e)
	return e, e.start()
}

// start makes the engine listen, at its former address if it had one, and
// registers it.
func (e *engine) start() error {
	address := e.address
	if address == "" {
		address = fmt.Sprintf("%s:%d", e.bed.address(200), 8200+len(e.bed.engines))
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address, e.born = l.Addr().String(), time.Now()
	e.server = &http.Server{Handler: e}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return e.register()
}

// remove deletes the entry of an engine that has ended.
func (b *bed) remove(id string) {
	if _, err := b.kv.Commit(context.Background(), store.Txn{Deletes: []string{registry.ServerPrefix + id}}); err != nil {
		b.record("entry of %s not removed: %v", id, err)
	}
}

// register writes the engine's entry into the store.
func (e *engine) register() error {
	e.mu.Lock()
	text := fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"seq":1,"born":%d}`,
		e.service, e.address, e.zone, e.slots, e.born.UnixMilli())
	e.mu.Unlock()
	return e.bed.put(registry.ServerPrefix+e.id, text)
}

// stop closes the engine's listener and connections.
func (e *engine) stop() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance", e.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.waiting >= engineQueue
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full || id == "" {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slotSem <- struct{}{}:
		defer func() { <-e.slotSem }()
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	t := e.begin(id, r.URL.Path, r.Header.Get("Last-Event-Id"))
	outcome := "broken off"
	defer func() { e.end(t, outcome) }()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp."+e.id)
	status := 0
	if e.decide != nil {
		status = e.decide(id, r.URL.Path, body)
	}
	switch {
	case status == crash:
		outcome = "crashed"
		go e.stop()
		panic(http.ErrAbortHandler)
	case status != 0:
		outcome = strconv.Itoa(status)
		w.WriteHeader(status)
	case e.unframed > 0:
		// net/http sends neither a length nor chunks with this value.
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Set("Connection", "close")
		if _, err := w.Write(bytes.Repeat([]byte("x"), e.unframed)); err == nil {
			outcome = "200"
		}
	case e.events == 0:
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		outcome = "200"
		_, _ = io.WriteString(w, "answer to "+id)
	default:
		if e.stream(w, r, id) {
			outcome = "200"
		}
	}
}

// stream sends the events after Last-Event-Id and reports whether it sent all.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for n := from + 1; n <= e.count(id); n++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}

// count returns the number of events of a request.
func (e *engine) count(id string) int {
	if e.eventsOf != nil {
		return e.eventsOf(id)
	}
	return e.events
}

func eventData(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// wholeText returns the text of a complete item.
func (e *engine) wholeText(id string) string {
	var lines []string
	for n := 1; n <= e.count(id); n++ {
		lines = append(lines, eventData(id, n))
	}
	return strings.Join(lines, "\n")
}

func (e *engine) begin(id, path, after string) *run {
	t := &run{id: id, engine: e.id, service: e.service, path: path, began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, t)
	e.mu.Unlock()
	e.bed.record("engine %s (%s): runs %s %s, after event %q", e.id, e.service, id, path, after)
	return t
}

func (e *engine) end(t *run, outcome string) {
	e.mu.Lock()
	t.ended, t.outcome = time.Now(), outcome
	e.mu.Unlock()
	e.bed.record("engine %s (%s): run of %s ends: %s", e.id, e.service, t.id, outcome)
}

// allRuns returns copies of the runs of all engines.
func (b *bed) allRuns() []run {
	var all []run
	for _, e := range b.engines {
		e.mu.Lock()
		for _, t := range e.runs {
			all = append(all, *t)
		}
		e.mu.Unlock()
	}
	return all
}

// sortedRuns returns copies of the runs of all engines, the earliest first.
func (b *bed) sortedRuns() []run {
	all := b.allRuns()
	slices.SortFunc(all, func(x, y run) int { return x.began.Compare(y.began) })
	return all
}
