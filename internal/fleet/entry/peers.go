package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/dial"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
)

const (
	// peerDial bounds the wait for a connection to another host.
	peerDial = 400 * time.Millisecond
	// peerCall bounds a call to another host, beside the time it may wait there.
	peerCall = 1500 * time.Millisecond
	// maxPeerAnswer bounds the bytes of an answer.
	maxPeerAnswer = 16 << 20
)

// peers are the calls between entry hosts.
type peers struct {
	host *Host
	http *http.Client

	mu sync.Mutex
	// ended are silent hosts whose process was seen to have ended.
	ended map[string]bool
}

var _ ownership.Peers = (*peers)(nil)

func newPeers(h *Host) *peers {
	return &peers{host: h, ended: make(map[string]bool), http: &http.Client{Transport: &http.Transport{
		DialContext: dial.Dialer{Timeout: peerDial}.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second,
		DisableCompression: true,
	}}}
}

// failureMessage is a failure as it travels between hosts.
type failureMessage struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	RetryMS int64  `json:"retry_ms"`
}

func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	jobs := p.host.jobs
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) {
		config := p.host.config.Current()
		if config == nil {
			fail(w, result.New(result.NotFound, "no configuration"))
			return
		}
		give(w, config.Source())
	})
	mux.HandleFunc("GET /jobs/{id}/results", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.Atoi(r.URL.Query().Get("after"))
		wait, waitErr := time.ParseDuration(r.URL.Query().Get("wait"))
		if err != nil || waitErr != nil {
			fail(w, result.New(result.InvalidField, "after or wait can't be read"))
			return
		}
		view, failure := jobs.Results(r.Context(), r.PathValue("id"), after, wait, false)
		if failure != nil {
			fail(w, failure)
			return
		}
		text, err := json.Marshal(view)
		if err != nil {
			fail(w, result.New(result.Internal, "%v", err))
			return
		}
		give(w, text)
	})
	mux.HandleFunc("GET /jobs/{id}/body", func(w http.ResponseWriter, r *http.Request) {
		body, failure := jobs.Body(r.Context(), r.PathValue("id"), r.URL.Query().Get("item"), false)
		if failure != nil {
			fail(w, failure)
			return
		}
		give(w, body)
	})
	mux.HandleFunc("POST /jobs/{id}/end", func(w http.ResponseWriter, r *http.Request) {
		if failure := jobs.End(r.Context(), r.PathValue("id"), false); failure != nil {
			fail(w, failure)
		}
	})
	mux.HandleFunc("POST /jobs/{id}/adopt", func(w http.ResponseWriter, r *http.Request) {
		if failure := jobs.Adopt(r.Context(), r.PathValue("id")); failure != nil {
			fail(w, failure)
		}
	})
	return mux
}

// give writes an answer; a host that is gone needs none.
func give(w http.ResponseWriter, body []byte) { _, _ = w.Write(body) }

func fail(w http.ResponseWriter, failure *result.Error) {
	text, err := json.Marshal(failureMessage{
		Code: int(failure.Code()), Message: failure.Message(), Ran: string(failure.Ran()), RetryMS: failure.RetryAfter().Milliseconds(),
	})
	if err != nil {
		text = nil
	}
	w.WriteHeader(http.StatusConflict)
	give(w, text)
}

// call sends one call to another host. A failure with NoBackend says that the
// host can't be reached.
func (p *peers) call(ctx context.Context, timeout time.Duration, method, address, path string) ([]byte, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(nil))
	if err != nil {
		return nil, result.New(result.Internal, "%v", err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, result.New(result.NoBackend, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerAnswer))
	if err != nil {
		return nil, result.New(result.NoBackend, "%v", err)
	}
	if resp.StatusCode == http.StatusOK {
		return body, nil
	}
	var m failureMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, result.New(result.NoBackend, "status %d", resp.StatusCode)
	}
	return nil, result.New(result.Code(m.Code), "%s", m.Message).WithRan(result.Ran(m.Ran)).WithRetry(time.Duration(m.RetryMS) * time.Millisecond)
}

// to calls a host by name.
func (p *peers) to(ctx context.Context, timeout time.Duration, method, host, path string) ([]byte, *result.Error) {
	peer, ok := p.host.book.Peer(host)
	if !ok || !p.host.book.Alive(host) {
		return nil, result.New(result.NoBackend, "host %s is not heard of", host)
	}
	return p.call(ctx, timeout, method, peer.Address, path)
}

func (p *peers) config(ctx context.Context, address string) ([]byte, error) {
	text, failure := p.call(ctx, peerCall, http.MethodGet, address, "/config")
	if failure != nil {
		return nil, failure
	}
	return text, nil
}

// Results reads a job at its owner.
func (p *peers) Results(ctx context.Context, host, id string, after int, wait time.Duration) (ownership.ResultPage, *result.Error) {
	wait = max(0, wait)
	path := fmt.Sprintf("/jobs/%s/results?after=%d&wait=%s", url.PathEscape(id), after, wait)
	body, failure := p.to(ctx, wait+peerCall, http.MethodGet, host, path)
	if failure != nil {
		return ownership.ResultPage{}, failure
	}
	var view ownership.ResultPage
	if err := json.Unmarshal(body, &view); err != nil {
		return view, result.New(result.NoBackend, "answer of host %s: %v", host, err)
	}
	return view, nil
}

// Body reads the body of an item at the job's owner.
func (p *peers) Body(ctx context.Context, host, id, item string) ([]byte, *result.Error) {
	return p.to(ctx, peerCall, http.MethodGet, host, "/jobs/"+url.PathEscape(id)+"/body?item="+url.QueryEscape(item))
}

// End ends a job at its owner.
func (p *peers) End(ctx context.Context, host, id string) *result.Error {
	_, failure := p.to(ctx, peerCall, http.MethodPost, host, "/jobs/"+url.PathEscape(id)+"/end")
	return failure
}

// Adopt tells a host that it owns a job.
func (p *peers) Adopt(ctx context.Context, host, id string) *result.Error {
	_, failure := p.to(ctx, peerCall, http.MethodPost, host, "/jobs/"+url.PathEscape(id)+"/adopt")
	return failure
}

// Alive reports whether a host has been heard lately.
func (p *peers) Alive(host string) bool { return p.host.book.Alive(host) }

// probe notes a silent host as gone if nothing listens at its address although
// the machine answers. A host that does not answer at all may only be cut off.
func (p *peers) probe(ctx context.Context, host string) {
	p.returned(host)
	peer, ok := p.host.book.Peer(host)
	if !ok {
		return
	}
	conn, err := (dial.Dialer{Timeout: peerDial}).DialContext(ctx, "tcp4", peer.Address)
	if err == nil {
		_ = conn.Close()
	}
	ended := errors.Is(err, syscall.ECONNREFUSED)
	p.host.log.Info("silent host probed", "host", host, "ended", ended)
	if ended {
		p.mu.Lock()
		p.ended[host] = true
		p.mu.Unlock()
	}
}

// returned drops what a former probe of a host has shown.
func (p *peers) returned(host string) {
	p.mu.Lock()
	delete(p.ended, host)
	p.mu.Unlock()
}

// Dead reports whether a host is gone: its process has ended, or the store has
// no sign of life of it.
func (p *peers) Dead(ctx context.Context, host string) bool {
	p.mu.Lock()
	ended := p.ended[host]
	p.mu.Unlock()
	if ended {
		return true
	}
	_, ok, err := p.host.adapter.Store.Get(ctx, hostPrefix+host)
	if err != nil {
		p.host.log.Info("sign of life not read", "host", host, "cause", err.Error())
		return false
	}
	return !ok
}

// Live returns the hosts that may take over a job.
func (p *peers) Live() []string {
	var hosts []string
	if !p.host.stopping.Load() {
		hosts = append(hosts, p.host.settings.Name)
	}
	for _, peer := range p.host.book.Live() {
		hosts = append(hosts, peer.Host)
	}
	return hosts
}
