//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
	"github.com/kingcupquay/kingcupquay/platform/keyvalue"
	"github.com/kingcupquay/kingcupquay/platform/standin"
)

const (
	// hostName is the Host of all requests.
	hostName = "a.example"
	// maxEntries is the number of entries of a transaction of the store; see PROTOCOL.md.
	maxEntries = 32
	// readyTimeout is how long the hosts may take to be ready.
	readyTimeout = 15 * time.Second
)

// bed holds the stand-ins and the host processes of one run.
type bed struct {
	began   time.Time
	dir     string
	binary  string
	kv      *platform.KV
	real    *standin.Server
	front   *storeFront
	hosts   []*host
	engines []*engine
	client  *http.Client

	mu     sync.Mutex
	record io.Writer
}

// newBed starts a store. The caller adds engines and hosts.
func newBed(binary string, record io.Writer) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	b := &bed{began: time.Now(), dir: dir, binary: binary, kv: platform.NewKV(timer.Real{}), record: record}
	b.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	if b.real, err = standin.Serve("127.0.0.1:0", b.kv); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	if b.front, err = newStoreFront(b); err != nil {
		b.real.Close()
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return b, nil
}

// note writes a line to the record, with the time since the start.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// put writes a key of the store, as the operator and the engines do.
func (b *bed) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = b.kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: text}}})
	return err
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, h := range b.hosts {
		h.kill()
	}
	for _, e := range b.engines {
		e.close()
	}
	b.front.close()
	b.real.Close()
	_ = os.RemoveAll(b.dir)
}

// waitReady waits until all hosts are ready.
func (b *bed) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range b.hosts {
		for {
			resp, err := b.client.Get("http://" + h.ready + "/api/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// answer is the answer to a request; status is 0 if there was none.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
}

// send sends a request to a host on a new connection and reads the answer.
func (b *bed) send(h *host, method, path, id string, body []byte, header map[string]string, within time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	r.Host, r.GetBody = hostName, nil
	if id != "" {
		r.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: text, complete: err == nil}
}

// storeFront is the store as the hosts reach it: it keeps the limits that the pages set, and
// may be down.
type storeFront struct {
	bed      *bed
	listener net.Listener
	http     *http.Server
	down     atomic.Bool
}

func newStoreFront(b *bed) (*storeFront, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{bed: b, listener: listener}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: b.real.Address()})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	f.http = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.down.Load() {
			// Nothing is done, and nothing answered.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/api/kv-txn" && !f.checkTransaction(w, r) {
			return
		}
		proxy.ServeHTTP(w, r)
	})}
	go func() { _ = f.http.Serve(listener) }()
	return f, nil
}

// checkTransaction reports whether a transaction is within the limits of the store. It
// answers one that is not.
func (f *storeFront) checkTransaction(w http.ResponseWriter, r *http.Request) bool {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	var txn keyvalue.Transaction
	if err := json.Unmarshal(text, &txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if n := len(txn.ExpectRev) + len(txn.SetKeys) + len(txn.Delete); n > maxEntries {
		f.bed.note("store: transaction of %d entries (%d expectRev, %d setKeys, %d delete): 400", n, len(txn.ExpectRev), len(txn.SetKeys), len(txn.Delete))
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	return true
}

func (f *storeFront) address() string { return f.listener.Addr().String() }

func (f *storeFront) close() { _ = f.http.Close() }

// setDown makes the store silent to all later calls, or ends this for calls after that.
func (f *storeFront) setDown(down bool) { f.down.Store(down) }

// host is one host process.
type host struct {
	bed                   *bed
	name, file            string
	callers, ready, peers string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopping is set once the process was told to end.
	stopping bool
	// ended counts the processes that ended by themselves.
	ended int
}

// addHosts adds hosts in the zones a, b and c by turns, and starts them.
func (b *bed) addHosts(n int) error {
	block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("%s.%d", block, i+1)
		ports, err := freePorts(ip, 3)
		if err != nil {
			return err
		}
		h := &host{bed: b, name: fmt.Sprintf("front-%d", i+1), callers: ports[0], ready: ports[1], peers: ports[2]}
		if len(seeds) < 3 {
			seeds = append(seeds, h.peers)
		}
		b.hosts = append(b.hosts, h)
	}
	for i, h := range b.hosts {
		h.file = filepath.Join(b.dir, h.name+".json")
		// The fields of deploy/entry.json, with the figures of a small deployment.
		settings := map[string]any{
			"name": h.name, "zone": zoneOf(i), "caller_address": h.callers, "ready_address": h.ready, "peer_address": h.peers, "seeds": seeds,
			"store_address": b.front.address(), "memory_mb": 284, "processor_share": 0.4, "job_end_ms": 3000, "zones": []string{"a", "b", "c"}, "grace_seconds": 8,
		}
		text, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.file, text, 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func zoneOf(i int) string { return string(rune('a' + i%3)) }

// freePorts returns addresses with ports that are free.
func freePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// start starts the program of the host with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.logFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(h.bed.binary, "entry", "--settings", h.file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	cmd, exited := h.cmd, make(chan struct{})
	h.exited, h.stopping = exited, false
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.stopping {
			h.ended++
			h.bed.note("%s ended by itself: %v", h.name, err)
		}
		close(exited)
	}()
	return nil
}

func (h *host) logFile() string { return filepath.Join(h.bed.dir, h.name+".log") }

// log returns the lines of the host's log that have a text.
func (h *host) log(text string) []string {
	data, err := os.ReadFile(h.logFile())
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.stopping = true
	}
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
