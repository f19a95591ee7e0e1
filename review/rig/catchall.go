//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// The catch-all case: batch jobs are accepted and partly read. With the disruption,
// the operator then adds a route with the prefix "/" on the same host name.
const (
	catchAllRoute = `{"name":"r-rest","host":"` + hostName + `","prefix":"/","kind":"safe","timeoutMs":4000,"sloMs":300,"priority":2,"service":"other","attempts":2}`
	// readTries is how often a client tries to read a job, half a second apart.
	readTries = 6
)

// runCatchAll checks LOST: at the end a batch job can't be read, or a result that
// had been read doesn't come again.
func runCatchAll(b *bed, trouble bool) (bool, error) {
	for _, zone := range []string{"a", "b", "c"} {
		for _, service := range []string{"llm", "other"} {
			if _, err := b.addEngine(service, zone, 4, 50, 20*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	if err := b.configure(1, batchRoute, "llm", "other"); err != nil {
		return false, err
	}
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := b.addHost(zone); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(3 * time.Second); err != nil {
		return false, err
	}
	var accepted []string
	for n := range restartJobs {
		if b.submit(b.hosts[n%len(b.hosts)], "/pule252/"+restartJob(n), restartJob(n), restartItems(n)) == http.StatusAccepted {
			accepted = append(accepted, restartJob(n))
		}
	}
	time.Sleep(3 * time.Second)
	seen := make(map[string][]result)
	for n, job := range accepted {
		_, list, ok := b.results(b.hosts[n%len(b.hosts)], job)
		b.record("client: reads job %s: %d results, read %v", job, len(list), ok)
		seen[job] = list
	}
	if trouble {
		if err := b.configure(2, batchRoute+","+catchAllRoute, "llm", "other"); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	held := true
	for n, job := range accepted {
		if !b.readsAgain(n, job, seen[job]) {
			held = false
		}
	}
	return held, nil
}

// readsAgain reads a job from the start, at other hosts after each failure, and
// reports whether it has all results, those read before at their positions.
func (b *bed) readsAgain(n int, job string, before []result) bool {
	for try := range readTries {
		h := b.hosts[(n+try)%len(b.hosts)]
		total, list, ok := b.results(h, job)
		if !ok {
			a := b.send(h, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=0", job), "", nil, nil, 4*time.Second)
			b.record("client: job %s can't be read at %s: %d %.80q", job, h.settings.Name, a.status, a.body)
		}
		if ok && len(list) == total {
			for i, r := range before {
				if list[i] != r {
					b.record("client: job %s has another result at position %d", job, i)
					return false
				}
			}
			b.record("client: job %s is read again: %d results", job, total)
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	b.record("job %s can't be read, of which %d results had been read", job, len(before))
	return false
}
