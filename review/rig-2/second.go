//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The figures of the case second.
const (
	secondHosts   = 3
	secondEngines = 7
	// The first failing engines end failShare of their runs with 500, and the first copying
	// ones hand out a second one of copyShare of their answers.
	failing   = 1
	failShare = 0.4
	copying   = 4
	copyShare = 0.03
	// Jobs of one item come one after another for secondTime, at the hosts by turns.
	secondTime = 60 * time.Second
	// attempts is the number of attempts of the batch route.
	attempts = 3
	// doneTime is how long a job may take.
	doneTime = 5 * time.Second
	// resultsWait is how long a read of results may wait for the first one.
	resultsWait = time.Second
)

// faulty is an engine that fails some requests, and hands some of its answers out twice: the
// second one comes late, at the point where the next answer on the connection is expected.
type faulty struct {
	*engine
	fails, copies bool

	mu sync.Mutex
	// failures counts the answers of 500 to each request, handedOut the second answers.
	failures  map[string]int
	handedOut int
}

// addFaulty adds an engine that may fail requests, and copy answers.
func (b *bed) addFaulty(service, zone string, fails, copies bool) (*faulty, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &faulty{fails: fails, copies: copies, failures: make(map[string]int), engine: &engine{
		bed: b, id: fmt.Sprintf("i-%04x", 0x3a10+len(b.engines)), zone: zone, service: service, listener: listener, sem: make(chan struct{}, slots), events: 4, eventInterval: time.Millisecond,
		weights: 1, born: time.Now(), running: make(map[string]int), finished: make(map[string]time.Time), runs: make(map[string]int),
	}}
	f.http = &http.Server{}
	b.engines = append(b.engines, f.engine)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f, f.register("ready")
}

// serve serves the requests of one connection, one at a time.
func (f *faulty) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != "" {
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		text := f.answer(r, body)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if f.copies && rand.Float64() < copyShare {
			late = text
			f.mu.Lock()
			f.handedOut++
			f.mu.Unlock()
		}
		if r.Close {
			return
		}
	}
}

// answer runs a request and returns the answer as it is written.
func (f *faulty) answer(r *http.Request, body []byte) string {
	id := r.Header.Get("Request-Id")
	head := fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: stamp.%s\r\n", id, f.id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != f.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	f.begin(id)
	if f.fails && rand.Float64() < failShare {
		f.end(id, false)
		f.mu.Lock()
		f.failures[id]++
		n := f.failures[id]
		f.mu.Unlock()
		f.bed.note("engine %s: 500 to %s, its %d. failure", f.id, id, n)
		return "HTTP/1.1 500 Internal Server Error\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	events := ""
	for n := 1; n <= f.events; n++ {
		events += fmt.Sprintf("id: %d\ndata: %s\n\n", n, textOf(body, n))
	}
	f.end(id, true)
	return "HTTP/1.1 200 OK\r\n" + head + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events)
}

// playSecond hands in jobs of one item to engines of which one fails some requests and, if
// trouble is set, some hand a few answers out twice. It checks that no item is given up before it has failed as
// often as its route has attempts.
func playSecond(b *bed, trouble bool) (bool, error) {
	if err := b.put("op/config", batchConfig()); err != nil {
		return false, err
	}
	var engines []*faulty
	for i := range secondEngines {
		e, err := b.addFaulty("llm", zoneOf(i), i < failing, trouble && i < copying)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := b.addHosts(secondHosts); err != nil {
		return false, err
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	done, gone, early := 0, 0, 0
	var clients sync.WaitGroup
	began := time.Now()
	for n := range b.hosts {
		clients.Go(func() {
			for i := n; time.Since(began) < secondTime; i += len(b.hosts) {
				j := newJob(i, 1)
				b.submit(j, n)
				if !j.accepted {
					continue
				}
				var list []result
				for deadline := time.Now().Add(doneTime); len(list) == 0 && time.Now().Before(deadline); {
					list, _ = b.results(j, resultsWait)
				}
				mu.Lock()
				switch {
				case len(list) == 0:
				case list[0].State == "done":
					done++
				default:
					gone++
					failures := 0
					for _, e := range engines {
						e.mu.Lock()
						failures += e.failures[j.items[0].ID]
						e.mu.Unlock()
					}
					if failures < attempts {
						early++
						b.note("client: item %s is listed as errored after %d answers of 500, of %d attempts", j.items[0].ID, failures, attempts)
					}
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	copies := 0
	for _, e := range engines {
		e.mu.Lock()
		copies += e.handedOut
		e.mu.Unlock()
	}
	b.note("%d items done, %d errored, %d of them early; %d second answers", done, gone, early, copies)
	if done == 0 {
		return false, errors.New("no item was done")
	}
	return early > 0, nil
}
