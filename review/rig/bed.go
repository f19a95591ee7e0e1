//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
	"github.com/kingcupquay/kingcupquay/platform/registry"
	"github.com/kingcupquay/kingcupquay/platform/standin"
)

// hostName is the Host of all requests of clients.
const hostName = "ficu95.example"

// bed holds the stand-ins and the processes of one case.
type bed struct {
	began   time.Time
	dir     string
	kv      *platform.KV
	store   *standin.Server
	engines []*engine
	hosts   []*host
	client  *http.Client
	// subnet is the part of the loopback addresses that this run uses.
	subnet int

	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	closed bool
}

func newBed(recordFile string) (*bed, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	b := &bed{
		began: time.Now(), dir: dir, kv: platform.NewKV(timer.Real{}), out: bufio.NewWriter(file), file: file,
		// Each request comes on a new connection.
		subnet: os.Getpid(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if b.store, err = standin.Serve("127.0.0.1:0", b.kv); err != nil {
		return nil, errors.Join(err, file.Close(), os.RemoveAll(dir))
	}
	return b, nil
}

// record writes a line to the record, with the time since the beginning.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		fmt.Fprintf(b.out, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes and stand-ins and completes the record. Only the first
// call has an effect.
func (b *bed) close() {
	for _, h := range b.hosts {
		h.kill()
	}
	for _, e := range b.engines {
		e.stop()
	}
	b.store.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	_ = b.out.Flush()
	_ = b.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", b.dir)
	}
}

// put writes a key as the operator and the engines do.
func (b *bed) put(key string, value []byte) error {
	_, err := b.kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
	return err
}

// configure writes a version of the configuration. The routes are JSON objects,
// separated by commas.
func (b *bed) configure(version int, routes string, services ...string) error {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":300,"protocol":"h1","tls":false}`, s))
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, routes, strings.Join(list, ","))
	if !json.Valid([]byte(text)) {
		return fmt.Errorf("configuration %s is no JSON", text)
	}
	b.record("operator: configuration %d: %s", version, routes)
	return b.put(registry.ConfigKey, []byte(text))
}

// host is one entry host, whose process may be started several times.
type host struct {
	bed      *bed
	settings setup.Entry

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addHost writes the settings of an entry host in a zone, like those of the
// deploy template, and starts it.
func (b *bed) addHost(zone string) (*host, error) { return b.addHostAt(zone, b.store.Address()) }

// addHostAt is addHost with an address of the store for this host alone.
func (b *bed) addHostAt(zone, storeAddress string) (*host, error) {
	// Outgoing connections take their ports at 127.0.0.1.
	ip := b.address(len(b.hosts) + 1)
	var seeds []string
	for _, other := range b.hosts[:min(3, len(b.hosts))] {
		seeds = append(seeds, other.settings.PeerAddress)
	}
	h := &host{bed: b, settings: setup.Entry{
		Name: fmt.Sprintf("front-%s-%d", zone, len(b.hosts)+1), Zone: zone, CallerAddress: ip + ":8144", ReadyAddress: ip + ":8140",
		PeerAddress: ip + ":8146", MetricsAddress: ip + ":9102", Seeds: seeds, StoreAddress: storeAddress,
		MemoryMB: 284, ProcessorShare: 0.4, JobEndMS: 3000, GraceSeconds: 8,
	}}
	b.hosts = append(b.hosts, h)
	return h, h.start()
}

// address returns the nth loopback address of this run.
func (b *bed) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+b.subnet>>8&63, b.subnet&255, n)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	text, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(h.bed.dir, h.settings.Name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.bed.dir, h.settings.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/kingcupquay", "entry", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	h.bed.record("platform: %s started, process %d", h.settings.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.bed.record("platform: %s ended: %v", h.settings.Name, err)
		close(exited)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.cmd = nil
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// ready reports whether the host answers the platform's readiness check with 200.
func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + h.settings.ReadyAddress + "/api/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready, and then for settle, as traffic starts
// some seconds after the machines.
func (b *bed) waitReady(settle time.Duration) error {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range b.hosts {
			if h.ready() {
				ready++
			}
		}
		if ready == len(b.hosts) {
			time.Sleep(settle)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(b.hosts))
		}
	}
}

// answer is what a client got; the status is 0 if it got no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends one attempt of a client and returns its answer.
func (b *bed) send(h *host, method, path, id string, header map[string]string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+1500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.settings.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	r.GetBody, r.Host = nil, hostName
	for name, value := range header {
		r.Header.Set(name, value)
	}
	if id != "" {
		r.Header.Set("Request-Id", id)
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: text}
}

// item is one item of a job as a client sends it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// submit hands a job in at a host and returns the status.
func (b *bed) submit(h *host, path, id string, items []item) int {
	text, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return 0
	}
	a := b.send(h, http.MethodPost, path, id, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"}, text, 4*time.Second)
	b.record("client: job %s of %d items to %s at %s: %d", id, len(items), path, h.settings.Name, a.status)
	return a.status
}

// result is the result of an item as a client reads it.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// results reads all results of a job at a host; ok is false if it can't be read.
func (b *bed) results(h *host, job string) (total int, list []result, ok bool) {
	for {
		a := b.send(h, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", job, len(list)), "", nil, nil, 4*time.Second)
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if a.status != http.StatusOK || json.Unmarshal(a.body, &page) != nil {
			return total, list, false
		}
		total = page.Total
		if len(page.Results) == 0 {
			return total, list, true
		}
		list = append(list, page.Results...)
	}
}
