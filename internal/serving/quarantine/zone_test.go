package quarantine_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/quarantine"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	crashed = result.New(result.BackendCrashed, "lost").WithRan(result.RanMaybe)
)

// guards are the guards of one zone's hosts; the first is the home host of
// its suspects.
type guards []*quarantine.Guard

// peers calls the other guards directly.
type peers struct {
	all *guards
}

var _ quarantine.Peers = peers{}

func (p peers) Permit(_ context.Context, r quarantine.Record, server, runID string) (quarantine.Verdict, error) {
	return (*p.all)[0].Permit(r, server, runID), nil
}

func (p peers) Release(_ context.Context, f quarantine.Fingerprint, runID string) {
	(*p.all)[0].Release(f, runID)
}

func (p peers) Broadcast(_ context.Context, r quarantine.Record) {
	for _, g := range *p.all {
		g.Merge(r)
	}
}

func newZone(n int) (guards, *timer.Manual) {
	clock := timer.NewManual(start)
	all := make(guards, n)
	for i := range all {
		all[i] = quarantine.NewGuard(clock, peers{all: &all}, func(string, string, ...string) {})
	}
	return all, clock
}

func body(text string, serial int) *request.Request {
	return request.New(request.Options{ID: fmt.Sprintf("%s-%d", text, serial), Service: "chat", Body: []byte(text), Idempotent: true})
}

// run is a request in progress on a server of the fleet.
type run struct {
	text      string
	request   *request.Request
	host      int
	permitted bool
}

// crashesServer reports whether the body is one of "poison" and "pest".
func (r run) crashesServer() bool { return r.text[0] == 'p' }

// fleet simulates servers that run bodies concurrently. A server crashes if one
// of its runs has a crashing body.
type fleet struct {
	guards  guards
	clock   *timer.Manual
	running map[string][]run
	// crashes counts the crashes that each crashing body caused.
	crashes   map[string]int
	completed map[string]bool
	refused   map[string]bool
	serial    int
	unguarded bool
}

// send starts a run of a body on a server unless the host's guard refuses it.
func (f *fleet) send(text string, host int, server string) {
	f.serial++
	r := body(text, f.serial)
	permitted := false
	if !f.unguarded {
		var failure *result.Error
		permitted, failure = f.guards[host].Admit(context.Background(), r, server)
		if failure != nil {
			f.refused[text] = f.refused[text] || failure.Code() == result.Quarantined
			return
		}
	}
	f.running[server] = append(f.running[server], run{text: text, request: r, host: host, permitted: permitted})
}

// finish ends all runs of a server: all complete, or all fail with a crash.
func (f *fleet) finish(server string) {
	runs := f.running[server]
	delete(f.running, server)
	crashes := slices.ContainsFunc(runs, run.crashesServer)
	for _, r := range runs {
		var failure *result.Error
		if r.crashesServer() {
			f.crashes[r.text]++
		}
		if crashes {
			failure = crashed
		} else {
			f.completed[r.text] = true
		}
		f.guards[r.host].RecordEnd(context.Background(), r.request, server, r.permitted, failure)
	}
	f.clock.Advance(3 * time.Second)
}

// simulate sends each of a few bodies many times in a random order. A body is
// sent again only after its previous run has ended.
func simulate(t *rapid.T, unguarded bool) *fleet {
	all, clock := newZone(rapid.IntRange(1, 5).Draw(t, "hosts"))
	f := &fleet{
		guards: all, clock: clock, unguarded: unguarded, running: make(map[string][]run),
		crashes: make(map[string]int), completed: make(map[string]bool), refused: make(map[string]bool),
	}
	bodies := []string{"poison", "pest", "a", "b", "c", "d"}
	servers := []string{"s0", "s1", "s2", "s3", "s4"}
	for range rapid.IntRange(20, 80).Draw(t, "steps") {
		server := rapid.SampledFrom(servers).Draw(t, "server")
		if rapid.Bool().Draw(t, "finish") {
			f.finish(server)
			continue
		}
		text := rapid.SampledFrom(bodies).Draw(t, "body")
		if !f.runs(text) {
			f.send(text, rapid.IntRange(0, len(all)-1).Draw(t, "host"), server)
		}
	}
	for _, server := range servers {
		f.finish(server)
	}
	return f
}

func (f *fleet) runs(text string) bool {
	for _, runs := range f.running {
		if slices.ContainsFunc(runs, func(r run) bool { return r.text == text }) {
			return true
		}
	}
	return false
}

// runAlone sends a body to one idle server after the other until it completes or
// is quarantined, at most 20 times.
func (f *fleet) runAlone(text string) {
	for i := range 20 {
		server := fmt.Sprintf("s%d", i%5)
		f.clock.Advance(time.Minute)
		f.send(text, i%len(f.guards), server)
		f.finish(server)
		if f.completed[text] || f.refused[text] {
			return
		}
	}
}

// TestCrashesPerBodyAreBounded checks that no crashing body causes more than two
// crashes, whatever the order of sends, the hosts and the other bodies on its
// servers, and that it ends up quarantined.
func TestCrashesPerBodyAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := simulate(t, false)
		for _, text := range []string{"poison", "pest"} {
			f.runAlone(text)
			if f.crashes[text] > 2 || f.completed[text] || !f.refused[text] {
				t.Fatalf("%s caused %d crashes, refused %v", text, f.crashes[text], f.refused[text])
			}
		}
	})
}

// TestBystandersComplete checks that a harmless body which ran on a server
// during one crash completes in the end, and that one which did so during two
// crashes completes once its record has expired.
func TestBystandersComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := simulate(t, false)
		for _, text := range []string{"a", "b", "c", "d"} {
			f.runAlone(text)
			if !f.completed[text] {
				f.clock.Advance(2 * time.Hour)
				f.refused[text] = false
				f.runAlone(text)
			}
			if !f.completed[text] {
				t.Fatalf("%s never completes", text)
			}
		}
	})
}

// TestFleetWithoutGuard shows that the check of TestCrashesPerBodyAreBounded can
// fail: without a guard, a crashing body crashes every server it is sent to.
func TestFleetWithoutGuard(t *testing.T) {
	all, clock := newZone(1)
	f := &fleet{
		guards: all, clock: clock, unguarded: true, running: make(map[string][]run),
		crashes: make(map[string]int), completed: make(map[string]bool), refused: make(map[string]bool),
	}
	f.runAlone("poison")
	if f.crashes["poison"] != 20 {
		t.Fatalf("%d crashes", f.crashes["poison"])
	}
}
