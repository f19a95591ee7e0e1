//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The leaving case: engines leave one after the other, in a planned way. As some
// engines do, each has its entry removed without having reported draining, and
// serves on for some seconds. With the disruption, the store gives one of the hosts
// no response for 6 s before, while it serves all others. Rounds are played until
// the rule is broken, at most leavingRounds.
const (
	leavingRounds = 5
	// storeSilent is for how long the store gives the host no response. The entry is
	// removed leavesBefore before the end of that time.
	storeSilent  = 6 * time.Second
	leavesBefore = 200 * time.Millisecond
	// drainTime is drainMs. An engine that has left serves for servesOn.
	drainTime = 2 * time.Second
	servesOn  = 7 * time.Second
	// sendInterval is the time between two requests of clients to the host.
	sendInterval = 30 * time.Millisecond
)

const leavingRoutes = `{"name":"r-lookup","host":"` + hostName + `","prefix":"/puxa403/","kind":"safe","timeoutMs":4000,"sloMs":300,"priority":2,"service":"records","attempts":2}`

// storeProxy passes the calls of one host on to the store, or leaves them without a
// response.
type storeProxy struct {
	target string
	silent atomic.Bool
	server *http.Server
}

// newStoreProxy starts a proxy and returns it with its address.
func (b *bed) newStoreProxy() (*storeProxy, string, error) {
	l, err := net.Listen("tcp4", b.address(201)+":8300")
	if err != nil {
		return nil, "", err
	}
	p := &storeProxy{target: b.store.Address()}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	return p, l.Addr().String(), nil
}

// ServeHTTP passes one call on. A call that comes, or whose answer comes, while the
// store is silent gets no response at all, also afterwards.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || p.silent.Load() {
		<-r.Context().Done()
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header = r.Header.Clone()
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || p.silent.Load() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(text)
}

// runLeaving checks DRAIN: a request that was taken from the client and sent on by a
// machine in touch reaches an engine later than drainMs after the store acknowledged
// that the engine is gone.
func runLeaving(b *bed, trouble bool) (bool, error) {
	for _, zone := range []string{"a", "a", "b", "c"} {
		if _, err := b.addEngine("records", zone, 6, 0, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := b.configure(1, leavingRoutes, "records"); err != nil {
		return false, err
	}
	proxy, address, err := b.newStoreProxy()
	if err != nil {
		return false, err
	}
	defer func() { _ = proxy.server.Close() }()
	for _, zone := range []string{"a", "b", "c"} {
		store := b.store.Address()
		if zone == "a" {
			store = address
		}
		if _, err := b.addHostAt(zone, store); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(4 * time.Second); err != nil {
		return false, err
	}
	for round := range leavingRounds {
		held, err := b.leavingRound(round, proxy, trouble)
		if err != nil || !held {
			return held, err
		}
	}
	return true, nil
}

// leavingRound has the first engine of the host's zone leave, and replaces it.
func (b *bed) leavingRound(round int, proxy *storeProxy, trouble bool) (bool, error) {
	h, leaving := b.hosts[0], b.engines[0]
	stop := make(chan struct{})
	var wait sync.WaitGroup
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(sendInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			id := fmt.Sprintf("5f00d0%02d%06d", round, n)
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			wait.Add(1)
			go func() {
				defer wait.Done()
				if a := b.send(h, http.MethodPost, "/puxa403/2f", id, map[string]string{"Deadline-Ms": "4000"}, []byte(id), 4*time.Second); a.status != http.StatusOK {
					b.record("client: %s: %d", id, a.status)
				}
			}()
		}
	}()
	if trouble {
		b.record("platform: the store gives %s no response", h.settings.Name)
		proxy.silent.Store(true)
	}
	time.Sleep(storeSilent - leavesBefore)
	b.remove(leaving.id)
	acknowledged := time.Now()
	b.record("engine %s leaves: its entry is removed, acknowledged by the store", leaving.id)
	time.Sleep(leavesBefore)
	proxy.silent.Store(false)
	inTouch := time.Now().Add(stableWindow)
	b.record("platform: the store responds to %s; in touch %v later", h.settings.Name, stableWindow)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	close(stop)
	wait.Wait()
	leaving.stop()
	b.record("engine %s ends", leaving.id)
	late := 0
	leaving.mu.Lock()
	for _, t := range leaving.runs {
		taken, ours := sent[t.id]
		if !ours || t.began.Sub(acknowledged) <= drainTime || trouble && taken.Before(inTouch) {
			continue
		}
		late++
		b.record("request %s, sent %v after the host was in touch, reached %s %v after the acknowledgement", t.id, taken.Sub(inTouch), t.engine, t.began.Sub(acknowledged))
	}
	leaving.mu.Unlock()
	b.record("round %d: %d requests reached the engine too late", round, late)
	if late > 0 {
		return false, nil
	}
	replacement, err := b.addEngine("records", "a", 6, 0, 60*time.Millisecond)
	if err != nil {
		return false, err
	}
	// The next round takes the new engine.
	b.engines[0], b.engines[len(b.engines)-1] = replacement, leaving
	b.record("engine %s is new", replacement.id)
	time.Sleep(3 * time.Second)
	return true, nil
}
