//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// finishTime is how long jobs may take after the end of the traffic and of the
	// disruption: finishS.
	finishTime = 18 * time.Second
	// calmTime is how long no item may have been at an engine, and none have ended.
	calmTime = 5 * time.Second
	// readTime is how long a read is tried again after a failure.
	readTime = 5 * time.Second
)

// batchConfig is a configuration with one batch route and one for streams.
func batchConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "bundle", "host": hostName, "prefix": "/batch/", "kind": "batch", "service": "llm", "timeoutMs": 15000, "sloMs": 400, "gapAimMs": 400, "priority": 2, "attempts": 3,
			"dueMs": 18000, "maxWaitS": 90, "cap": 0, "sticky": true, "canResume": true,
		}, map[string]any{
			"name": "ask", "host": hostName, "prefix": "/ask/", "kind": "stream", "service": "llm", "timeoutMs": 5000, "sloMs": 300, "gapAimMs": 400, "priority": 0, "attempts": 2,
			"sticky": true, "canResume": true,
		}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 360, "engine": map[string]any{}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	}
}

// item is one item of a job as it is handed in.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// job is a job that was handed in.
type job struct {
	id    string
	items []item
	// accepted is set once it was answered 202.
	accepted bool
}

func newJob(n, items int) *job {
	j := &job{id: fmt.Sprintf("job%05d", n)}
	for i := range items {
		id := fmt.Sprintf("item%05d-%03d", n, i)
		j.items = append(j.items, item{
			ID: id, Path: "/batch/3/" + id, Headers: map[string]string{"Model": "m", "Token-Count": "350,80"}, Body: []byte("body of " + id), Tokens: 430,
		})
	}
	return j
}

// submit hands a job in at a host, and once more at the next one if it is refused.
func (b *bed) submit(j *job, first int) {
	body, err := json.Marshal(map[string]any{"items": j.items})
	if err != nil {
		return
	}
	for n := range 2 {
		h := b.hosts[(first+n)%len(b.hosts)]
		a := b.send(h, http.MethodPost, "/batch/3", j.id, body, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"}, 5500*time.Millisecond)
		b.note("client: job %s with %d items at %s: %d", j.id, len(j.items), h.name, a.status)
		if a.status == http.StatusAccepted {
			j.accepted = true
			return
		}
	}
}

// result is one listed result.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// results reads all listed results of a job from the start, waiting for the first one. It
// tries the other hosts and again for readTime if that fails; ok is false if it went on to
// fail.
func (b *bed) results(j *job, wait time.Duration) (list []result, ok bool) {
	var header map[string]string
	if wait > 0 {
		header = map[string]string{"Wait-Ms": strconv.FormatInt(wait.Milliseconds(), 10)}
	}
	deadline := time.Now().Add(readTime)
	for n := 0; time.Now().Before(deadline); {
		h := b.hosts[n%len(b.hosts)]
		a := b.send(h, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", j.id, len(list)), "", nil, header, wait+3*time.Second)
		var page struct {
			Total   int      `json:"total"`
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}
		if a.status != http.StatusOK || !a.complete || json.Unmarshal(a.body, &page) != nil {
			b.note("client: results of %s at %s: %d", j.id, h.name, a.status)
			n++
			time.Sleep(200 * time.Millisecond)
			continue
		}
		list = append(list, page.Results...)
		if len(page.Results) == 0 || len(list) >= page.Total {
			b.note("client: results of %s at %s: 200, %d of %d listed", j.id, h.name, len(list), page.Total)
			return list, true
		}
	}
	return list, false
}

// checkJobs reads all accepted jobs and reports whether items are not listed although the
// engines have had none for calmTime: the rule LOST of batch jobs.
func (b *bed) checkJobs(jobs []*job) (bool, error) {
	w := b.work()
	calm := len(w.running) == 0 && time.Since(w.lastRun) >= calmTime
	b.note("engines: %d requests at work, the last began or ended %.1f s ago", len(w.running), time.Since(w.lastRun).Seconds())
	accepted, missing, unlisted := 0, 0, 0
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		accepted++
		list, ok := b.results(j, 0)
		if !ok {
			b.note("client: job %s can't be read", j.id)
		}
		listed := make(map[string]bool)
		for _, r := range list {
			listed[r.ID] = true
		}
		before := missing
		for _, i := range j.items {
			if !listed[i.ID] {
				missing++
				b.note("client: item %s is not listed; runs at engines: %d, one of them whole: %t", i.ID, w.runs[i.ID], w.finished[i.ID])
			}
		}
		if missing > before {
			unlisted++
		}
	}
	b.note("%d jobs accepted; %d jobs with %d items that are not listed; calm: %t", accepted, unlisted, missing, calm)
	for _, h := range b.hosts {
		b.note("%s: log lines: %d 'write refused', %d servers 'disowned'", h.name, len(h.log(`"msg":"write refused"`)), len(h.log(`"state":"disowned"`)))
	}
	if accepted == 0 {
		return false, errors.New("no job was accepted")
	}
	if missing > 0 && !calm {
		return false, errors.New("engines are still at work")
	}
	return missing > 0, nil
}
