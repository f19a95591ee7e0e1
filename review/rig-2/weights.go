//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case weights.
const (
	weightsHosts   = 3
	weightsEngines = 6
	// A stream has streamEvents events, as an item has, streamInterval apart.
	streamEvents   = 20
	streamInterval = 40 * time.Millisecond
	// Streams come askInterval apart, each third one of a session that stays with the
	// weights it began with, and jobs jobInterval apart.
	askInterval = 100 * time.Millisecond
	jobInterval = time.Second
	jobItems    = 5
	// Two releases replace half of the engines each, one at a time, releaseGap apart. The
	// first begins firstRelease after the traffic, the second secondRelease.
	releaseGap    = time.Second
	firstRelease  = 4 * time.Second
	secondRelease = 10 * time.Second
	// drainTime is how long an engine serves on that drains.
	drainTime = 2500 * time.Millisecond
	// trafficTime is how long streams and jobs come.
	trafficTime = 24 * time.Second
	// lateTime is the end of that time, of which the streams are counted.
	lateTime = 6 * time.Second
)

// playWeights has the engines replaced by ones with newer weights, while clients of sessions
// that began before ask for the weights that these began with. It checks that all items of
// accepted jobs are listed later.
func playWeights(b *bed, trouble bool) (bool, error) {
	if err := b.put("op/config", batchConfig()); err != nil {
		return false, err
	}
	if err := b.addEngines("llm", weightsEngines, streamEvents, streamInterval); err != nil {
		return false, err
	}
	if err := b.addHosts(weightsHosts); err != nil {
		return false, err
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	old := append([]*engine(nil), b.engines...)
	var released, sent sync.WaitGroup
	var failures atomic.Pointer[error]
	fail := func(err error) {
		if err != nil {
			failures.Store(&err)
		}
	}
	began := time.Now()
	if trouble {
		released.Go(func() {
			for n, at := range []time.Duration{firstRelease, secondRelease} {
				time.Sleep(time.Until(began.Add(at)))
				half := old[n*len(old)/2 : (n+1)*len(old)/2]
				b.note("release of %d engines", len(half))
				for _, e := range half {
					if _, err := b.addEngine("llm", e.zone, 2, streamEvents, streamInterval); err != nil {
						fail(err)
						return
					}
					released.Go(func() { fail(e.leave(drainTime)) })
					time.Sleep(releaseGap)
				}
			}
		})
	}
	var jobs []*job
	var late, lateServed atomic.Int64
	nextJob := began
	for n := 0; time.Since(began) < trafficTime; n++ {
		if !time.Now().Before(nextJob) {
			nextJob = nextJob.Add(jobInterval)
			j := newJob(len(jobs), jobItems)
			jobs = append(jobs, j)
			first := len(jobs)
			sent.Go(func() { b.submit(j, first) })
		}
		sent.Go(func() {
			id, pinned := fmt.Sprintf("ask%05d", n), n%3 == 0
			header := map[string]string{"Model": "m", "Token-Count": "350,20", "Deadline-Ms": "5000"}
			if pinned {
				header["Expect-Version"] = "1"
			}
			h := b.hosts[n/3%len(b.hosts)]
			a := b.send(h, http.MethodPost, "/ask/2f", id, []byte("body of "+id), header, 6*time.Second)
			b.note("client: stream %s at %s, expects weights 1: %t: %d of weights %q, complete %t", id, h.name, pinned, a.status, a.header.Get("Weight-Versions"), a.complete)
			if !pinned && time.Since(began) > trafficTime-lateTime {
				late.Add(1)
				if a.status == http.StatusOK && a.complete {
					lateServed.Add(1)
				}
			}
		})
		time.Sleep(askInterval)
	}
	sent.Wait()
	released.Wait()
	if err := failures.Load(); err != nil {
		return false, *err
	}
	b.note("streams of the last %.0f s that expect no weights: %d, served %d", lateTime.Seconds(), late.Load(), lateServed.Load())
	time.Sleep(finishTime)
	return b.checkJobs(jobs)
}
