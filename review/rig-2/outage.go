//go:build review

package main

import (
	"sync"
	"time"
)

// The figures of the case outage.
const (
	outageHosts   = 3
	outageEngines = 12
	// An item has itemEvents events, itemInterval apart, so that it takes 4 s.
	itemEvents   = 80
	itemInterval = 50 * time.Millisecond
	// Jobs come for submitTime, submitInterval apart, each with itemsPerJob items.
	submitTime     = 8 * time.Second
	submitInterval = 100 * time.Millisecond
	itemsPerJob    = 2
	// The store is down for outageTime, from the end of the submissions on.
	outageTime = 4500 * time.Millisecond
)

// playOutage hands jobs in, has the store be down for a while at the end, and checks that
// all items of accepted jobs are listed later.
func playOutage(b *bed, trouble bool) (bool, error) {
	if err := b.put("op/config", batchConfig()); err != nil {
		return false, err
	}
	if err := b.addEngines("llm", outageEngines, itemEvents, itemInterval); err != nil {
		return false, err
	}
	if err := b.addHosts(outageHosts); err != nil {
		return false, err
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var jobs []*job
	var sent sync.WaitGroup
	for began := time.Now(); time.Since(began) < submitTime; time.Sleep(submitInterval) {
		j := newJob(len(jobs), itemsPerJob)
		jobs = append(jobs, j)
		first := len(jobs)
		sent.Go(func() { b.submit(j, first) })
	}
	if trouble {
		b.note("store: down")
		b.front.setDown(true)
	}
	time.Sleep(outageTime)
	if trouble {
		b.front.setDown(false)
		b.note("store: back")
	}
	sent.Wait()
	time.Sleep(finishTime)
	return b.checkJobs(jobs)
}
