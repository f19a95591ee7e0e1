//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// The restart case: jobs are accepted, and one in three of their items fails
// at one run, with a 500, after which it has two attempts left. With the
// disruption, all processes are killed at the same moment and are back within a
// second, while the store is down and answers 503.
const (
	// restartDown is from the kill to the starts, storeDown from the kill to the end
	// of the store's outage.
	restartDown = 500 * time.Millisecond
	storeDown   = 3750 * time.Millisecond
	restartJobs = 6
	jobItems    = 10
)

func restartJob(n int) string { return fmt.Sprintf("7c41e09b52d6a3%02d", n) }

func restartItems(n int) []item {
	var items []item
	for i := range jobItems {
		id := fmt.Sprintf("e5b2%02d%02d", n, i)
		items = append(items, item{
			ID: id, Path: "/pule252/3/" + id, Headers: map[string]string{"Model": "m", "Token-Count": "250,100", "Prompt-Prefix": "9c2e41:100,5d07b8:150"},
			Body: []byte(id), Tokens: 350,
		})
	}
	return items
}

// runRestart checks MIXED: an item is listed as errored before a 422, as many
// answers of 500 as its route has attempts, maxWaitS, or the end of its job or
// route.
func runRestart(b *bed, trouble bool) (bool, error) {
	var mu sync.Mutex
	failed := make(map[string]int)
	for _, zone := range []string{"a", "b", "c"} {
		e, err := b.addEngine("llm", zone, 4, 100, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		e.decide = func(id, _ string, _ []byte) int {
			mu.Lock()
			defer mu.Unlock()
			// One item in three fails at one run, and at no other.
			if id[len(id)-1]%3 != 0 || failed[id] > 0 {
				return 0
			}
			failed[id]++
			return http.StatusInternalServerError
		}
	}
	if err := b.configure(1, batchRoute, "llm"); err != nil {
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
	time.Sleep(time.Second)
	if trouble {
		if err := b.killAll(); err != nil {
			return false, err
		}
	}
	held := true
	listed := make(map[string]map[string]bool)
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		open := 0
		for n, job := range accepted {
			total, list, ok := b.results(b.hosts[n%len(b.hosts)], job)
			if !ok || len(list) < total {
				open++
			}
			if listed[job] == nil {
				listed[job] = make(map[string]bool)
			}
			for _, r := range list {
				if listed[job][r.ID] {
					continue
				}
				listed[job][r.ID] = true
				mu.Lock()
				failures := failed[r.ID]
				mu.Unlock()
				b.record("client: result of %s: %s, after %d answers of 500", r.ID, r.State, failures)
				if r.State == "errored" && failures < 3 {
					b.record("item %s of %s is errored after %d of 3 answers of 500", r.ID, job, failures)
					held = false
				}
			}
		}
		if open == 0 {
			break
		}
	}
	return held, nil
}

// killAll kills all processes at the same moment, while the store is down.
func (b *bed) killAll() error {
	b.record("platform: the store answers 503")
	b.refuse(true)
	killed := time.Now()
	var wait sync.WaitGroup
	for _, h := range b.hosts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			h.kill()
		}()
	}
	wait.Wait()
	time.Sleep(time.Until(killed.Add(restartDown)))
	for _, h := range b.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(killed.Add(storeDown)))
	b.refuse(false)
	b.record("platform: the store is back")
	return nil
}

// refuse makes the store answer all calls of the hosts with 503, or ends that.
func (b *bed) refuse(on bool) {
	if !on {
		b.kv.SetFaults(nil)
		return
	}
	b.kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
}
