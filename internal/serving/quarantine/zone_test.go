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

// hosts are the guards of one zone; the first is the home of its suspects.
type hosts []*quarantine.Guard

// peers is what one guard sees of the others.
type peers struct {
	all *hosts
}

var _ quarantine.Peers = peers{}

func (p peers) Permit(_ context.Context, r quarantine.Record, server, run string) (quarantine.Verdict, error) {
	return (*p.all)[0].Permit(r, server, run), nil
}

func (p peers) Release(_ context.Context, f quarantine.Fingerprint, run string) {
	(*p.all)[0].Release(f, run)
}

func (p peers) Broadcast(_ context.Context, r quarantine.Record) {
	for _, g := range *p.all {
		g.Merge(r)
	}
}

func zoneOf(n int) (hosts, *timer.Manual) {
	clock := timer.NewManual(start)
	all := make(hosts, n)
	for i := range all {
		all[i] = quarantine.NewGuard(clock, peers{all: &all}, func(string, string, ...string) {})
	}
	return all, clock
}

func body(text string, serial int) *request.Request {
	return request.New(request.Options{ID: fmt.Sprintf("%s-%d", text, serial), Service: "chat", Body: []byte(text), Idempotent: true})
}

// run is one request that runs on a server of the fleet under test.
type run struct {
	text      string
	request   *request.Request
	host      int
	permitted bool
}

func (r run) poison() bool { return r.text[0] == 'p' }

// fleet runs bodies side by side on servers that crash under poison.
type fleet struct {
	hosts   hosts
	clock   *timer.Manual
	running map[string][]run
	// crashes counts the crashes that each poison body caused.
	crashes map[string]int
	whole   map[string]bool
	refused map[string]bool
	serial  int
	naive   bool
}

// send starts a body on a server unless the guard of the host refuses.
func (f *fleet) send(text string, host int, server string) {
	f.serial++
	r := body(text, f.serial)
	permitted := false
	if !f.naive {
		var failure *result.Error
		permitted, failure = f.hosts[host].Admit(context.Background(), r, server)
		if failure != nil {
			f.refused[text] = f.refused[text] || failure.Code() == result.Quarantined
			return
		}
	}
	f.running[server] = append(f.running[server], run{text: text, request: r, host: host, permitted: permitted})
}

// finish lets all runs of a server go on: they end whole, or crash together.
func (f *fleet) finish(server string) {
	runs := f.running[server]
	delete(f.running, server)
	crashes := slices.ContainsFunc(runs, run.poison)
	for _, r := range runs {
		var failure *result.Error
		if r.poison() {
			f.crashes[r.text]++
		}
		if crashes {
			failure = crashed
		} else {
			f.whole[r.text] = true
		}
		f.hosts[r.host].RecordEnd(context.Background(), r.request, server, r.permitted, failure)
	}
	f.clock.Advance(3 * time.Second)
}

// play sends each of a few bodies many times, in an order that rapid draws; a
// caller sends a body again only after the last run of it ended, or at once if
// it succeeded before.
func play(t *rapid.T, naive bool) *fleet {
	all, clock := zoneOf(rapid.IntRange(1, 5).Draw(t, "hosts"))
	f := &fleet{
		hosts: all, clock: clock, naive: naive, running: make(map[string][]run),
		crashes: make(map[string]int), whole: make(map[string]bool), refused: make(map[string]bool),
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

// alone sends a body on quiet servers until it is whole or refused for good.
func (f *fleet) alone(text string) {
	for i := range 20 {
		server := fmt.Sprintf("s%d", i%5)
		f.clock.Advance(time.Minute)
		f.send(text, i%len(f.hosts), server)
		f.finish(server)
		if f.whole[text] || f.refused[text] {
			return
		}
	}
}

// TestHarmIsBounded holds the guard against a fleet without one: no poison
// body causes more than two crashes whatever the order, hosts and neighbours.
func TestHarmIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := play(t, false)
		for _, text := range []string{"poison", "pest"} {
			f.alone(text)
			if f.crashes[text] > 2 || f.whole[text] || !f.refused[text] {
				t.Fatalf("%s caused %d crashes, refused %v", text, f.crashes[text], f.refused[text])
			}
		}
	})
}

// TestInnocentRunAgain checks that a body which was beside a crash once is
// answered in the end, and that one beside two is held only until it expires.
func TestInnocentRunAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := play(t, false)
		for _, text := range []string{"a", "b", "c", "d"} {
			f.alone(text)
			if !f.whole[text] {
				f.clock.Advance(2 * time.Hour)
				f.refused[text] = false
				f.alone(text)
			}
			if !f.whole[text] {
				t.Fatalf("%s is never answered", text)
			}
		}
	})
}

// TestNaiveFleet shows that the check can fail: without a guard, poison
// crashes every server that it is sent to.
func TestNaiveFleet(t *testing.T) {
	all, clock := zoneOf(1)
	f := &fleet{
		hosts: all, clock: clock, naive: true, running: make(map[string][]run),
		crashes: make(map[string]int), whole: make(map[string]bool), refused: make(map[string]bool),
	}
	f.alone("poison")
	if f.crashes["poison"] != 20 {
		t.Fatalf("%d crashes", f.crashes["poison"])
	}
}
