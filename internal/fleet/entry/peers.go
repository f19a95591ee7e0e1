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
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/dial"
	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/follow"
)

const (
	// peerDialTimeout limits the time to connect to another host.
	peerDialTimeout = 400 * time.Millisecond
	// peerCallTimeout limits a call to another host, in addition to the time that
	// the call may wait there for results.
	peerCallTimeout = 1500 * time.Millisecond
	// maxPeerResponseBytes is the limit of a response; a larger one is an error.
	maxPeerResponseBytes = 16 << 20
)

// peers sends calls to other entry hosts and serves theirs.
type peers struct {
	host *Host
	http *http.Client

	mu sync.Mutex
	// dead holds the silent hosts whose probe showed that the process has ended.
	dead map[string]bool
}

var _ ownership.Peers = (*peers)(nil)

func newPeers(h *Host) *peers {
	return &peers{host: h, dead: make(map[string]bool), http: &http.Client{Transport: &http.Transport{
		DialContext: dial.Dialer{Timeout: peerDialTimeout}.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second,
		DisableCompression: true,
	}}}
}

// failureBody is the JSON form of a result.Error between hosts.
type failureBody struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	RetryMS int64  `json:"retry_ms"`
}

func (f failureBody) toError() *result.Error {
	return result.New(result.Code(f.Code), "%s", f.Message).WithRan(result.Ran(f.Ran)).WithRetry(time.Duration(f.RetryMS) * time.Millisecond)
}

// handler returns the handler of other hosts' calls. A failure has status 409
// and a failureBody.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	jobs := p.host.jobs
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) {
		config := p.host.config.Current()
		if config == nil {
			writeFailure(w, result.New(result.NotFound, "no configuration"))
			return
		}
		writeBody(w, config.Source())
	})
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) {
		list, ok := p.host.serverFollower.List()
		if !ok {
			writeFailure(w, result.New(result.NotFound, "no list of servers"))
			return
		}
		text, err := json.Marshal(list)
		if err != nil {
			writeFailure(w, result.New(result.Internal, "%v", err))
			return
		}
		writeBody(w, text)
	})
	mux.HandleFunc("POST /calls", p.host.passing.handle)
	mux.HandleFunc("GET /suspects", p.host.handleSuspects)
	mux.HandleFunc("DELETE /suspects/{part}", p.host.handleWithdraw)
	mux.HandleFunc("GET /jobs/{id}/results", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.Atoi(r.URL.Query().Get("after"))
		wait, waitErr := time.ParseDuration(r.URL.Query().Get("wait"))
		if err != nil || waitErr != nil || after < 0 {
			writeFailure(w, result.New(result.InvalidField, "after or wait can't be read"))
			return
		}
		jobs.TellResults(r.Context(), r.PathValue("id"), after, wait, false, encodePage, func(text []byte, failure *result.Error) {
			if failure != nil {
				writeFailure(w, failure)
				return
			}
			writeBody(w, text)
		})
	})
	mux.HandleFunc("GET /jobs/{id}/body", func(w http.ResponseWriter, r *http.Request) {
		body, failure := jobs.Body(r.Context(), r.PathValue("id"), r.URL.Query().Get("item"), false)
		if failure != nil {
			writeFailure(w, failure)
			return
		}
		writeBody(w, body)
	})
	mux.HandleFunc("POST /jobs/{id}/end", func(w http.ResponseWriter, r *http.Request) {
		if failure := jobs.End(r.Context(), r.PathValue("id"), false); failure != nil {
			writeFailure(w, failure)
		}
	})
	mux.HandleFunc("GET /jobs/{id}/kept", func(w http.ResponseWriter, r *http.Request) {
		if failure := jobs.Kept(r.PathValue("id")); failure != nil {
			writeFailure(w, failure)
		}
	})
	mux.HandleFunc("POST /jobs/{id}/adopt", func(w http.ResponseWriter, r *http.Request) {
		if failure := jobs.Adopt(r.Context(), r.PathValue("id")); failure != nil {
			writeFailure(w, failure)
		}
	})
	return mux
}

func encodePage(page ownership.ResultPage) ([]byte, error) { return json.Marshal(page) }

// writeBody writes a response body. Errors are ignored: the calling host is
// gone.
func writeBody(w http.ResponseWriter, body []byte) { _, _ = w.Write(body) }

func writeFailure(w http.ResponseWriter, failure *result.Error) {
	text, err := json.Marshal(failureBody{
		Code: int(failure.Code()), Message: failure.Message(), Ran: string(failure.Ran()), RetryMS: failure.RetryAfter().Milliseconds(),
	})
	if err != nil {
		text = nil
	}
	w.WriteHeader(http.StatusConflict)
	writeBody(w, text)
}

// call sends one call to another host. The code NoBackend means that the host
// could not be reached or gave no valid response.
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
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, result.New(result.NoBackend, "an answer without a length or chunks, which may have been cut")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerResponseBytes+1))
	if err != nil {
		return nil, result.New(result.NoBackend, "%v", err)
	}
	if len(body) > maxPeerResponseBytes {
		return nil, result.New(result.NoBackend, "an answer of over %d bytes", maxPeerResponseBytes)
	}
	if resp.StatusCode == http.StatusOK {
		return body, nil
	}
	var failure failureBody
	if err := json.Unmarshal(body, &failure); err != nil || result.Code(failure.Code) == result.OK {
		return nil, result.New(result.NoBackend, "status %d", resp.StatusCode)
	}
	return nil, failure.toError()
}

// callHost sends one call to a live host by name.
func (p *peers) callHost(ctx context.Context, timeout time.Duration, method, host, path string) ([]byte, *result.Error) {
	peer, ok := p.host.members.Peer(host)
	if !ok || !p.host.members.Alive(host) {
		return nil, result.New(result.NoBackend, "host %s is not heard of", host)
	}
	return p.call(ctx, timeout, method, peer.Address, path)
}

func (p *peers) requestConfig(ctx context.Context, address string) ([]byte, error) {
	text, failure := p.call(ctx, peerCallTimeout, http.MethodGet, address, "/config")
	if failure != nil {
		return nil, failure
	}
	return text, nil
}

func (p *peers) requestServers(ctx context.Context, address string) (follow.List, error) {
	var list follow.List
	text, failure := p.call(ctx, peerCallTimeout, http.MethodGet, address, "/servers")
	if failure != nil {
		return list, failure
	}
	err := json.Unmarshal(text, &list)
	return list, err
}

// Results reads results of a job from its owner, which may wait for new ones.
func (p *peers) Results(ctx context.Context, host, id string, after int, wait time.Duration) (ownership.ResultPage, *result.Error) {
	wait = max(0, wait)
	path := fmt.Sprintf("/jobs/%s/results?after=%d&wait=%s", url.PathEscape(id), after, wait)
	body, failure := p.callHost(ctx, wait+peerCallTimeout, http.MethodGet, host, path)
	if failure != nil {
		return ownership.ResultPage{}, failure
	}
	var page ownership.ResultPage
	if err := json.Unmarshal(body, &page); err != nil {
		return page, result.New(result.NoBackend, "answer of host %s: %v", host, err)
	}
	return page, nil
}

// Body reads the body of an item from the job's owner.
func (p *peers) Body(ctx context.Context, host, id, item string) ([]byte, *result.Error) {
	return p.callHost(ctx, peerCallTimeout, http.MethodGet, host, "/jobs/"+url.PathEscape(id)+"/body?item="+url.QueryEscape(item))
}

// End asks the owner of a job to end it.
func (p *peers) End(ctx context.Context, host, id string) *result.Error {
	_, failure := p.callHost(ctx, peerCallTimeout, http.MethodPost, host, "/jobs/"+url.PathEscape(id)+"/end")
	return failure
}

// Adopt tells a host that it now owns a job.
func (p *peers) Adopt(ctx context.Context, host, id string) *result.Error {
	_, failure := p.callHost(ctx, peerCallTimeout, http.MethodPost, host, "/jobs/"+url.PathEscape(id)+"/adopt")
	return failure
}

// Kept asks a host whether a job is certain to be kept.
func (p *peers) Kept(ctx context.Context, host, id string) *result.Error {
	_, failure := p.callHost(ctx, peerCallTimeout, http.MethodGet, host, "/jobs/"+url.PathEscape(id)+"/kept")
	return failure
}

// Alive reports whether a notice of the host was received recently.
func (p *peers) Alive(host string) bool { return p.host.members.Alive(host) }

// probe marks a silent host as dead if its machine refuses the connection,
// since then nothing listens at its address. A host that does not answer at all
// may only be partitioned. So may one of a zone of which no host is heard: what cuts
// the zone off may refuse all connections to it.
func (p *peers) probe(ctx context.Context, host string) {
	p.clearProbe(host)
	peer, ok := p.host.members.Peer(host)
	if !ok {
		return
	}
	conn, err := (dial.Dialer{Timeout: peerDialTimeout}).DialContext(ctx, "tcp4", peer.Address)
	if err == nil {
		_ = conn.Close()
	}
	dead := errors.Is(err, syscall.ECONNREFUSED) && p.hearsBeside(peer)
	p.host.log.Info("silent host probed", "host", host, "ended", dead)
	if dead {
		p.mu.Lock()
		p.dead[host] = true
		p.mu.Unlock()
		p.host.quotas.forget(host)
	}
}

// hearsBeside reports whether another host of a host's zone is heard.
func (p *peers) hearsBeside(peer notice.Member) bool {
	return slices.ContainsFunc(p.host.members.Live(), func(m notice.Member) bool { return m.Zone == peer.Zone && m.Host != peer.Host })
}

// clearProbe discards the result of an earlier probe of a host.
func (p *peers) clearProbe(host string) {
	p.mu.Lock()
	delete(p.dead, host)
	p.mu.Unlock()
}

// Dead returns those of the hosts that are dead: a probe showed that the process has
// ended, or the liveness key is not in the store and no relay lists the host there.
func (p *peers) Dead(ctx context.Context, hosts []string) []string {
	var dead, unprobed []string
	p.mu.Lock()
	for _, host := range hosts {
		if p.dead[host] {
			dead = append(dead, host)
		} else {
			unprobed = append(unprobed, host)
		}
	}
	p.mu.Unlock()
	if len(unprobed) == 0 {
		return dead
	}
	if p.host.storeOutage.hidesHosts(p.host.timer.Now(), p.host.renewalInterval()) {
		p.host.log.Info("signs of life not read", "hosts", len(unprobed), "cause", "leases may have expired in an outage of the store")
		return dead
	}
	missing, err := p.host.missingInStore(ctx, unprobed)
	if err != nil {
		p.host.log.Info("signs of life not read", "hosts", len(unprobed), "cause", err.Error())
		return dead
	}
	return append(dead, missing...)
}

// Live returns the hosts that may take over a job, this one included unless it
// is stopping.
func (p *peers) Live() []string {
	var hosts []string
	if !p.host.stopping.Load() {
		hosts = append(hosts, p.host.settings.Name)
	}
	for _, m := range p.host.members.Live() {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// Scanners returns the hosts that scan for jobs without a live owner: all hosts
// of a small fleet, the relays of a large one.
func (p *peers) Scanners() []string {
	if !p.host.members.LargeFleet() {
		return p.Live()
	}
	return p.host.members.AllRelays(p.host.timer.Now())
}
