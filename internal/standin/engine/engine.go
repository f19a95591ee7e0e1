// Package engine is a small stand-in for a model engine: it batches
// continuously, admits as requests arrive, streams OpenAI-style answers, and
// can be told to be slow, silent, or to crash on a given body. Its answer is a
// function of the prompt alone, so that a test can say what is right, also for
// an answer that was cancelled and resumed elsewhere.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupquay/kingcupquay/internal/standin/weights"
)

// Options are the properties of an engine.
type Options struct {
	Name   string
	Models []string
	// Slots is how many requests one step carries; others wait inside.
	Slots int
	// Step is the time of one step, in which each running request gets a token.
	Step time.Duration
	// Prefill is the time from admission to the first token.
	Prefill time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadReportDelay is how old a load report is.
	LoadReportDelay time.Duration
	// Weights is where models are loaded from; nil loads in no time.
	Weights *weights.Store
}

// Load is the engine's report on itself.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Engine is a running stand-in.
type Engine struct {
	o        Options
	http     *http.Server
	listener net.Listener

	mu      sync.Mutex
	running int
	waiting int
	slots   chan struct{}
	// seen counts the requests by custom prompt; crashOn kills the engine.
	seen    map[string]int
	crashOn string
	silent  bool
	down    bool
	fencing int64
	// models says of each artifact held whether it is ready.
	models  map[string]bool
	orders  []Order
	reports []report
	tokens  int64

	cache promptCache
}

type report struct {
	at   time.Time
	load Load
}

// Start listens on address and serves until Close.
func Start(address string, o Options) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Engine{o: o, listener: listener, slots: make(chan struct{}, max(1, o.Slots)), seen: make(map[string]int), models: make(map[string]bool)}
	for _, model := range o.Models {
		e.models[model] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache/events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	e.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.http.Serve(listener) }()
	return e, nil
}

// Address returns IP:PORT.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Close ends the engine and cuts its connections.
func (e *Engine) Close() { _ = e.http.Close() }

// CrashOn makes the engine cut all connections when a body contains text.
func (e *Engine) CrashOn(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = text
}

// SetStalled makes open streams stop without closing.
func (e *Engine) SetStalled(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// SetDown makes the engine cut every call.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// RequestCount returns how often a request with that prompt was run.
func (e *Engine) RequestCount(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[prompt]
}

// Tokens returns how many tokens the engine has produced.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Load returns the load at this moment.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: e.running, Waiting: e.waiting, Slots: e.o.Slots}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model                string    `json:"model"`
	Messages             []message `json:"messages"`
	Prompt               *string   `json:"prompt"`
	MaxTokens            int       `json:"max_tokens"`
	Stream               bool      `json:"stream"`
	ContinueFinalMessage bool      `json:"continue_final_message"`
}

// text returns all words that stand before the next token: the prompt, and
// what was already produced for a request that is resumed.
func (r *completionRequest) text() string {
	if r.Prompt != nil {
		return *r.Prompt
	}
	parts := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, " ")
}

// prompt returns the text without the part that is resumed.
func (r *completionRequest) prompt() string {
	if n := len(r.Messages); r.ContinueFinalMessage && n > 0 {
		short := completionRequest{Messages: r.Messages[:n-1]}
		return short.text()
	}
	return r.text()
}

const (
	vocabulary = 1000
	// stopOdds is the mean length of an answer without a limit, in tokens.
	stopOdds = 16
)

// generator yields tokens one by one; its state depends on all words so far,
// so that an answer goes on the same way wherever it is resumed.
type generator struct {
	state uint64
}

func newGenerator(text string) *generator {
	g := new(generator)
	for _, word := range strings.Fields(text) {
		g.feed(word)
	}
	return g
}

func (g *generator) feed(word string) {
	const prime = 0x9e3779b97f4a7c15
	g.state = (g.state ^ xxhash.Sum64String(word)) * prime
	g.state ^= g.state >> 29
}

// next returns the next token and whether it is the last without a limit.
func (g *generator) next() (string, bool) {
	word := fmt.Sprintf("w%d", g.state>>8%vocabulary)
	g.feed(word)
	return " " + word, (g.state>>16)%stopOdds == 0
}

// Answer returns the whole text of the answer to a prompt; limit is the number
// of tokens, 0 for as many as the engine likes.
func Answer(prompt string, limit int) string {
	g := newGenerator(prompt)
	var text strings.Builder
	for i := 1; ; i++ {
		token, last := g.next()
		text.WriteString(token)
		if (limit > 0 && i == limit) || (limit == 0 && last) {
			return text.String()
		}
	}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in completionRequest
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.admit(in.prompt(), string(body)) {
		panic(http.ErrAbortHandler)
	}
	if !e.Ready(in.Model) {
		http.Error(w, "model "+in.Model+" is not loaded", http.StatusServiceUnavailable)
		return
	}
	if !e.acquire(r) {
		return
	}
	defer e.release()
	e.cache.used(r.Header.Get(prefixHeader))
	e.stream(w, r, &in)
}

// admit counts a request and reports whether the engine crashes on it.
func (e *Engine) admit(prompt, body string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[prompt]++
	if e.crashOn != "" && strings.Contains(body, e.crashOn) {
		go e.crash()
		return true
	}
	return e.down
}

// crash cuts all connections and comes back at once.
func (e *Engine) crash() {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

func (e *Engine) acquire(r *http.Request) bool {
	e.count(0, 1)
	defer e.count(0, -1)
	select {
	case e.slots <- struct{}{}:
		e.count(1, 0)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) release() {
	<-e.slots
	e.count(-1, 0)
}

func (e *Engine) count(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
	now := time.Now()
	e.reports = append(e.reports, report{now, Load{e.running, e.waiting, e.o.Slots}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) > e.o.LoadReportDelay {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, in *completionRequest) {
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	text := in.text()
	id := fmt.Sprintf("cmpl-%s-%x", e.o.Name, xxhash.Sum64String(text))
	wait := e.o.Prefill
	g := newGenerator(text)
	produced := 0
	for last := false; !last; {
		if !e.step(r, wait) {
			return
		}
		wait = e.o.Step
		var token string
		token, last = g.next()
		produced++
		if in.MaxTokens > 0 {
			last = produced == in.MaxTokens
		}
		_, _ = io.WriteString(w, "data: "+chunkJSON(in, id, token, last, produced == 1)+"\n\n")
		flusher.Flush()
	}
	before := len(strings.Fields(text))
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":%q,"created":1,"model":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n",
		id, object(in), in.Model, before, produced, before+produced)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	flusher.Flush()
}

func object(in *completionRequest) string {
	if in.Prompt != nil {
		return "text_completion"
	}
	return "chat.completion.chunk"
}

func chunkJSON(in *completionRequest, id, token string, last, first bool) string {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	if in.Prompt != nil {
		return fmt.Sprintf(`{"id":%q,"object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`,
			id, in.Model, token, finish)
	}
	role := ""
	if first {
		role = `"role":"assistant",`
	}
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{%s"content":%q},"finish_reason":%s}]}`,
		id, in.Model, role, token, finish)
}

// step waits for one step and reports whether the stream goes on.
func (e *Engine) step(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	e.mu.Lock()
	silent, down := e.silent, e.down
	e.tokens++
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if silent {
		<-r.Context().Done()
		return false
	}
	return true
}

// load answers with a report that is LoadLag old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var old Load
	for _, one := range e.reports {
		if time.Since(one.at) >= e.o.LoadReportDelay {
			old = one.load
		}
	}
	old.Slots = e.o.Slots
	_ = json.NewEncoder(w).Encode(old)
}
