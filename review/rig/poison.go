//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// The poison case: a request crashes the engine that begins to run it. The engine is
// back after two seconds, under the id that it had and with a new start time. The
// request comes again every four seconds, each time as a new attempt with its own
// Request-Id and the same path, caller and body. Without the disruption, the request
// crashes nothing.
const (
	poisonBody     = "poison"
	poisonInterval = 4 * time.Second
	poisonAttempts = 16
	engineDown     = 2 * time.Second
	// stableWindow is stableWindowMs of the bounds.
	stableWindow = 3 * time.Second
	// maxRetries is how many retries may reach engines later than stableWindow after
	// the third crash.
	maxRetries = 3
)

const poisonRoutes = `{"name":"r-request","host":"` + hostName + `","prefix":"/lohu930/","kind":"unsafe","timeoutMs":4000,"sloMs":300,"priority":0,"service":"records","attempts":1}`

// poisonPlay is one way to play the case.
type poisonPlay struct {
	// enginesA is the number of engines in the zone of the caller.
	enginesA int
	interval time.Duration
	attempts int
	down     time.Duration
	// newIDs has the engines come back under new ids.
	newIDs bool
	// anyHost sends the request to the hosts of all zones in turn, not only to those
	// of the caller's.
	anyHost bool
}

func runPoison(b *bed, trouble bool) (bool, error) {
	return b.playPoison(trouble, poisonPlay{
		enginesA: 1, interval: poisonInterval, attempts: poisonAttempts, down: engineDown, newIDs: os.Getenv("NEW_IDS") == "1",
	})
}

// runThirdCrash plays the request at a zone of three engines, of which the first two
// are still down when it crashes the third.
func runThirdCrash(b *bed, trouble bool) (bool, error) {
	return b.playPoison(trouble, poisonPlay{enginesA: 3, interval: 3500 * time.Millisecond, attempts: 22, down: 8 * time.Second, newIDs: true, anyHost: true})
}

func (b *bed) playPoison(trouble bool, p poisonPlay) (bool, error) {
	zones := []string{"b", "c"}
	for range p.enginesA {
		zones = append(zones, "a")
	}
	for _, zone := range zones {
		e, err := b.addEngine("records", zone, 6, 0, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		e.decide = func(_, _ string, body []byte) int {
			if !trouble || string(body) != poisonBody {
				return 0
			}
			time.AfterFunc(p.down, func() { b.restartEngine(e, p.newIDs) })
			return crash
		}
	}
	if err := b.configure(1, poisonRoutes, "records"); err != nil {
		return false, err
	}
	for _, zone := range []string{"a", "a", "b", "c"} {
		if _, err := b.addHost(zone); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(4 * time.Second); err != nil {
		return false, err
	}
	began := time.Now()
	for n := range p.attempts {
		time.Sleep(time.Until(began.Add(time.Duration(n) * p.interval)))
		// The platform connects clients to hosts of their own zone.
		h := b.hosts[n%2]
		if p.anyHost && n > 3 {
			h = b.hosts[n%len(b.hosts)]
		}
		id := fmt.Sprintf("9c41d07be2a3%04d", n)
		a := b.send(h, http.MethodPost, "/lohu930/2f", id, map[string]string{"Deadline-Ms": "3000"}, []byte(poisonBody), 3*time.Second)
		b.record("client: attempt %s at %s: %d", id, h.settings.Name, a.status)
		// Other callers go on.
		other := fmt.Sprintf("5f00d07be2a3%04d", n)
		a = b.send(b.hosts[2+n%2], http.MethodPost, "/lohu930/7c", other, map[string]string{"Deadline-Ms": "3000"}, []byte(other), 3*time.Second)
		b.record("client: another request %s: %d", other, a.status)
	}
	var third time.Time
	crashes, retries := 0, 0
	for _, t := range b.sortedRuns() {
		if t.outcome != "crashed" {
			continue
		}
		crashes++
		if crashes == 3 {
			third = t.began
		}
		if crashes > 3 && t.began.Sub(third) > stableWindow {
			retries++
		}
	}
	b.record("%d crashes; %d retries reached engines later than %v after the third", crashes, retries, stableWindow)
	return retries <= maxRetries, nil
}

// restartEngine starts an engine again, under its former id unless newID is set.
func (b *bed) restartEngine(e *engine, newID bool) {
	e.mu.Lock()
	e.incarnation++
	former := e.id
	if newID {
		e.id = fmt.Sprintf("%s-%d", former, e.incarnation)
	}
	e.mu.Unlock()
	if newID {
		b.remove(former)
	}
	if err := e.start(); err != nil {
		b.record("engine %s not started again: %v", e.id, err)
		return
	}
	b.record("engine %s is back", e.id)
}
