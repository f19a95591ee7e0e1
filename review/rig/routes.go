//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The routes cases: a batch route goes to service "llm", and a job of it is
// accepted, with more items than there are slots. With the disruption, the operator
// then adds a route with a longer prefix that goes to service "other". The paths of
// some items, the first among them, are below that prefix; those of the others are
// not.

const (
	batchRoute = `{"name":"r-batch","host":"` + hostName + `","prefix":"/pule252/","kind":"batch","timeoutMs":15000,"sloMs":400,"dueMs":18000,"maxWaitS":60,"cap":1600000,"priority":2,"service":"llm","attempts":3,"sticky":true,"canResume":true,"gapAimMs":400}`
	splitRoute = `{"name":"r-split","host":"` + hostName + `","prefix":"/pule252/3/","kind":"batch","timeoutMs":15000,"sloMs":400,"dueMs":18000,"maxWaitS":60,"cap":1600000,"priority":2,"service":"other","attempts":3,"sticky":true,"canResume":true,"gapAimMs":400}`
	// lookupRoute is a route for single requests below the prefix of the batch route.
	lookupRoute = `{"name":"r-lookup","host":"` + hostName + `","prefix":"/pule252/3/","kind":"safe","timeoutMs":4000,"sloMs":300,"priority":2,"service":"other","attempts":2}`
)

var errNotAccepted = errors.New("the job was not accepted")

// longerPrefix is the prefix of the routes that are added.
const longerPrefix = "/pule252/3/"

// routeItems returns the items of the job. A third of them, the first included, have
// paths below longerPrefix.
func routeItems() []item {
	var items []item
	for n := range 24 {
		id := fmt.Sprintf("e5b2907c%02d", n)
		items = append(items, item{
			ID: id, Path: fmt.Sprintf("/pule252/%d/%02d", []int{3, 5, 8}[n%3], n), Headers: map[string]string{"Model": "m", "Token-Count": "250,100", "Prompt-Prefix": "9c2e41:100,5d07b8:150"},
			Body: []byte(id), Tokens: 350,
		})
	}
	return items
}

// playRoutes has a job accepted, changes the configuration if there is trouble, and
// reads the job until it is complete.
func (b *bed) playRoutes(trouble bool, added string) ([]result, error) {
	for _, zone := range []string{"a", "b", "c"} {
		for _, service := range []string{"llm", "other"} {
			if _, err := b.addEngine(service, zone, 2, 100, 20*time.Millisecond); err != nil {
				return nil, err
			}
		}
	}
	if err := b.configure(1, batchRoute, "llm", "other"); err != nil {
		return nil, err
	}
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := b.addHost(zone); err != nil {
			return nil, err
		}
	}
	if err := b.waitReady(3 * time.Second); err != nil {
		return nil, err
	}
	const job = "7c41e09b52d6a3f8"
	for n := 0; b.submit(b.hosts[n%len(b.hosts)], "/pule252/7c41e0", job, routeItems()) != http.StatusAccepted; n++ {
		if n == 5 {
			return nil, errNotAccepted
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := b.configure(2, batchRoute+","+added, "llm", "other"); err != nil {
			return nil, err
		}
	}
	var list []result
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && len(list) < len(routeItems()); time.Sleep(500 * time.Millisecond) {
		if _, read, ok := b.results(b.hosts[1], job); ok {
			list = read
		}
	}
	for _, r := range list {
		b.record("client: result of %s: %s", r.ID, r.State)
	}
	return list, nil
}

// runSplit checks ROUTE: an item whose path no version gives to a service runs
// there.
func runSplit(b *bed, trouble bool) (bool, error) {
	if _, err := b.playRoutes(trouble, splitRoute); err != nil {
		return false, err
	}
	held := true
	for _, t := range b.allRuns() {
		// Only paths below the longer prefix have ever been sent to "other".
		if t.service == "other" && !strings.HasPrefix(t.path, longerPrefix) {
			b.record("item %s with path %s ran at service other", t.id, t.path)
			held = false
		}
	}
	return held, nil
}

// runGivenUp checks MIXED: an item is listed as errored before a 422, three answers
// of 500, maxWaitS, or the end of its job or route.
func runGivenUp(b *bed, trouble bool) (bool, error) {
	list, err := b.playRoutes(trouble, lookupRoute)
	if err != nil {
		return false, err
	}
	paths := make(map[string]string)
	for _, i := range routeItems() {
		paths[i.ID] = i.Path
	}
	failures := make(map[string]int)
	for _, t := range b.allRuns() {
		if t.outcome == "500" || t.outcome == "422" {
			failures[t.id]++
		}
	}
	held := true
	for _, r := range list {
		// Every version sends all paths but those below the longer prefix to the
		// batch route.
		if r.State == "errored" && !strings.HasPrefix(paths[r.ID], longerPrefix) {
			b.record("item %s with path %s is errored after %d failures at engines; its batch route is in every version", r.ID, paths[r.ID], failures[r.ID])
			held = false
		}
	}
	return held, nil
}
