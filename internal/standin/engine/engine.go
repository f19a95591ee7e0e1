// Package engine is a small stand-in for a model engine. It runs requests in
// slots as with continuous batching, streams OpenAI-style answers, and can be
// told to stall its streams, to be down, or to crash on a given body.
//
// An answer is a function of the prompt and the token limit, so a test can
// compute the expected text, also for a request that was cancelled and resumed
// on another engine.
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

// Options configures an engine.
type Options struct {
	Name   string
	Models []string
	// Slots is the number of requests that run at a time; others wait in the
	// engine.
	Slots int
	// Step is the time between two tokens of a running request.
	Step time.Duration
	// Prefill is the time from the start of a request in its slot to its first
	// token.
	Prefill time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadReportDelay is the age of the load reports.
	LoadReportDelay time.Duration
	// Weights is the store that models are loaded from; nil loads instantly.
	Weights *weights.Store
}

// Load is the load report of an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Engine is a running stand-in.
type Engine struct {
	options  Options
	http     *http.Server
	listener net.Listener

	mu      sync.Mutex
	running int
	waiting int
	slots   chan struct{}
	// received counts the requests by prompt, including those that fail. A request
	// whose body contains crashOn crashes the engine.
	received map[string]int
	crashOn  string
	stalled  bool
	down     bool
	fencing  int64
	// models maps each artifact to whether it is ready or still being loaded.
	models      map[string]bool
	orders      []Order
	loadHistory []loadSample
	tokens      int64

	cache promptCache
}

// loadSample is a load and the time at which it began.
type loadSample struct {
	at   time.Time
	load Load
}

// Start listens on address and serves until Close.
func Start(address string, options Options) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Engine{options: options, listener: listener, slots: make(chan struct{}, max(1, options.Slots)), received: make(map[string]int), models: make(map[string]bool)}
	for _, model := range options.Models {
		e.models[model] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	e.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.http.Serve(listener) }()
	return e, nil
}

// Address returns IP:PORT.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Close stops the engine and closes its connections.
func (e *Engine) Close() { _ = e.http.Close() }

// CrashOn makes the engine crash on a request whose body contains text; see
// crash. An empty text disables this.
func (e *Engine) CrashOn(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = text
}

// SetStalled makes streams stall without being closed.
func (e *Engine) SetStalled(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = stalled
}

// SetDown makes the engine abort completion, model and order requests and cut
// running streams at their next token.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// RequestCount returns the number of requests received with that prompt,
// including those that failed.
func (e *Engine) RequestCount(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received[prompt]
}

// Tokens returns the number of tokens that the engine has produced.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Load returns the current load, without the delay of the load reports.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: e.running, Waiting: e.waiting, Slots: e.options.Slots}
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

// fullText returns the prompt, followed by the tokens already produced if the
// request resumes an answer.
func (r *completionRequest) fullText() string {
	if r.Prompt != nil {
		return *r.Prompt
	}
	parts := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, " ")
}

// prompt returns the text without the tokens of a resumed answer.
func (r *completionRequest) prompt() string {
	if n := len(r.Messages); r.ContinueFinalMessage && n > 0 {
		original := completionRequest{Messages: r.Messages[:n-1]}
		return original.fullText()
	}
	return r.fullText()
}

const (
	vocabularySize = 1000
	// meanAnswerTokens is the mean length of an answer without a token limit.
	meanAnswerTokens = 16
)

// generator produces tokens deterministically. Its state is a hash of all words
// so far, so a resumed answer continues with the same tokens on any engine.
type generator struct {
	state uint64
}

func newGenerator(text string) *generator {
	g := new(generator)
	for _, word := range strings.Fields(text) {
		g.update(word)
	}
	return g
}

func (g *generator) update(word string) {
	const prime = 0x9e3779b97f4a7c15
	g.state = (g.state ^ xxhash.Sum64String(word)) * prime
	g.state ^= g.state >> 29
}

// next returns the next token and whether it ends an answer without a token
// limit.
func (g *generator) next() (string, bool) {
	word := fmt.Sprintf("w%d", g.state>>8%vocabularySize)
	g.update(word)
	return " " + word, (g.state>>16)%meanAnswerTokens == 0
}

// Answer returns the complete answer to a prompt. limit is the number of tokens;
// with 0, the generator determines the length.
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

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in completionRequest
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.countRequest(in.prompt(), string(body)) {
		panic(http.ErrAbortHandler)
	}
	if !e.Ready(in.Model) {
		http.Error(w, "model "+in.Model+" is not loaded", http.StatusServiceUnavailable)
		return
	}
	if !e.acquireSlot(r) {
		return
	}
	defer e.releaseSlot()
	e.cache.add(r.Header.Get(prefixHeader))
	e.streamAnswer(w, r, &in)
}

// countRequest counts a request and reports whether it must be aborted, either
// because it crashes the engine or because the engine is down.
func (e *Engine) countRequest(prompt, body string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[prompt]++
	if e.crashOn != "" && strings.Contains(body, e.crashOn) {
		go e.crash()
		return true
	}
	return e.down
}

// crash sets e.down for 50 ms. Loaded models and the prefix cache are kept.
func (e *Engine) crash() {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

func (e *Engine) acquireSlot(r *http.Request) bool {
	e.adjustLoad(0, 1)
	defer e.adjustLoad(0, -1)
	select {
	case e.slots <- struct{}{}:
		e.adjustLoad(1, 0)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) releaseSlot() {
	<-e.slots
	e.adjustLoad(-1, 0)
}

func (e *Engine) adjustLoad(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{now, Load{e.running, e.waiting, e.options.Slots}})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) > e.options.LoadReportDelay {
		e.loadHistory = e.loadHistory[1:]
	}
}

func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, in *completionRequest) {
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	fullText := in.fullText()
	id := fmt.Sprintf("cmpl-%s-%x", e.options.Name, xxhash.Sum64String(fullText))
	wait := e.options.Prefill
	g := newGenerator(fullText)
	produced := 0
	for last := false; !last; {
		if !e.waitStep(r, wait) {
			return
		}
		wait = e.options.Step
		var token string
		token, last = g.next()
		produced++
		if in.MaxTokens > 0 {
			last = produced == in.MaxTokens
		}
		_, _ = io.WriteString(w, "data: "+chunkJSON(in, id, token, last, produced == 1)+"\n\n")
		flusher.Flush()
	}
	promptTokens := len(strings.Fields(fullText))
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":%q,"created":1,"model":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n",
		id, objectType(in), in.Model, promptTokens, produced, promptTokens+produced)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	flusher.Flush()
}

func objectType(in *completionRequest) string {
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

// waitStep waits for d, counts a token, and reports whether the stream
// continues. It aborts the request if the engine is down.
func (e *Engine) waitStep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	e.mu.Lock()
	stalled, down := e.stalled, e.down
	e.tokens++
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if stalled {
		<-r.Context().Done()
		return false
	}
	return true
}

// handleLoad returns the load as it was LoadReportDelay ago.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var delayed Load
	for _, sample := range e.loadHistory {
		if time.Since(sample.at) >= e.options.LoadReportDelay {
			delayed = sample.load
		}
	}
	delayed.Slots = e.options.Slots
	_ = json.NewEncoder(w).Encode(delayed)
}
