package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/kingcupquay/kingcupquay/internal/fleet/membership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

var start = time.Unix(1_700_000_000, 0)

// fleet runs several views on a simulated clock and network.
type fleet struct {
	now     time.Time
	names   []string
	views   map[string]*membership.View
	dead    map[string]bool
	blocked func(from, to string) bool
	random  *rand.Rand
	bytes   int
	count   int
}

func hostName(zone, n int) string { return fmt.Sprintf("entry-%d-%d", zone, n) }

func newFleet(zones, hosts int) *fleet {
	f := &fleet{
		now: start, views: make(map[string]*membership.View), dead: make(map[string]bool),
		blocked: func(string, string) bool { return false }, random: rand.New(rand.NewPCG(1, 2)),
	}
	var list []membership.ListedHost
	for z := range zones {
		for n := range hosts {
			name := hostName(z, n)
			f.names = append(f.names, name)
			list = append(list, membership.ListedHost{Name: name, Zone: fmt.Sprint("z", z), Address: name})
		}
	}
	for _, host := range list {
		f.start(host, list)
	}
	return f
}

func (f *fleet) start(host membership.ListedHost, list []membership.ListedHost) {
	v := membership.NewView(membership.Host{
		Name: host.Name, Zone: host.Zone, Address: host.Address, Incarnation: f.now.UnixNano(),
	}, f.now, f.random.Uint64())
	v.ApplyHostList(f.now, list)
	var loads []*wire.Load
	for i := range 6 {
		loads = append(loads, &wire.Load{Backend: fmt.Sprintf("%s-engine-%d", host.Name[6:], i), Running: 7, Waiting: 12, Slots: 32, Batch: 9})
	}
	v.SetSelf(5, loads)
	f.views[host.Name] = v
	f.dead[host.Name] = false
}

// tick advances the clock by one interval and delivers the heartbeats of all
// running hosts and the replies to them.
func (f *fleet) tick() {
	f.now = f.now.Add(membership.HeartbeatInterval)
	for _, name := range f.names {
		if f.dead[name] {
			continue
		}
		for _, b := range f.views[name].Tick(f.now) {
			f.send(name, b)
		}
	}
}

func (f *fleet) send(from string, b membership.OutgoingHeartbeat) {
	f.bytes += proto.Size(b.Message)
	f.count++
	if f.dead[b.Address] || f.blocked(from, b.Address) {
		return
	}
	f.views[b.Address].ApplyHeartbeat(f.now, b.Message)
	reply := f.views[b.Address].Heartbeat(f.now)
	f.bytes += proto.Size(reply)
	f.count++
	if !f.blocked(b.Address, from) {
		f.views[from].ApplyHeartbeat(f.now, reply)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick()
	}
}

// falselyLost counts the pairs of running hosts, in the same zone or in
// different ones, of which the first considers the second lost.
func (f *fleet) falselyLost(sameZone bool) int {
	falselyLost := 0
	for _, a := range f.names {
		for _, b := range f.names {
			same := f.views[a].Self().Zone == f.views[b].Self().Zone
			if !f.dead[a] && !f.dead[b] && same == sameZone && !f.views[a].Alive(f.now, b) {
				falselyLost++
			}
		}
	}
	return falselyLost
}

// maxAge returns the greatest time since the LastSeen of a host in the view of
// another.
func (f *fleet) maxAge(sameZone bool) time.Duration {
	var age time.Duration
	for _, a := range f.names {
		for _, b := range f.views[a].Hosts() {
			if (b.Zone == f.views[a].Self().Zone) == sameZone {
				age = max(age, f.now.Sub(b.LastSeen))
			}
		}
	}
	return age
}

// countLost counts the running hosts that consider name lost.
func (f *fleet) countLost(name string) int {
	n := 0
	for _, a := range f.names {
		if !f.dead[a] && !f.views[a].Alive(f.now, name) {
			n++
		}
	}
	return n
}

var _ = Describe("a fleet of views", func() {
	DescribeTable("never considers a live host lost, and detects a lost one within 40 s", func(zones, hosts int) {
		f := newFleet(zones, hosts)
		for range 120 {
			f.tick()
			Expect(f.falselyLost(true)).To(BeZero(), "in the zone at %v", f.now.Sub(start))
			Expect(f.falselyLost(false)).To(BeZero(), "far at %v", f.now.Sub(start))
		}
		victim := hostName(0, 0)
		f.dead[victim] = true
		f.run(40 * time.Second)
		Expect(f.countLost(victim)).To(Equal(zones*hosts - 1))
	}, Entry("3 hosts in 3 zones", 3, 1), Entry("7 hosts a zone", 3, 7), Entry("60 hosts a zone", 1, 60))

	It("detects a lost host in one of 12 zones within 25 s", func() {
		f := newFleet(12, 8)
		for range 80 {
			f.tick()
			Expect(f.falselyLost(true)+f.falselyLost(false)).To(BeZero(), "at %v", f.now.Sub(start))
		}
		victim := hostName(0, 0)
		f.dead[victim] = true
		f.run(25 * time.Second)
		Expect(f.countLost(victim)).To(Equal(12*8 - 1))
		Expect(f.falselyLost(true) + f.falselyLost(false)).To(BeZero())
	})

	It("does not consider hosts of a zone lost when that zone has an unknown host whose clock is ahead", func() {
		f := newFleet(4, 8)
		f.run(20 * time.Second)
		joined := membership.ListedHost{Name: "entry-0-new", Zone: "z0", Address: "entry-0-new"}
		f.start(joined, []membership.ListedHost{{Name: hostName(0, 1), Zone: "z0", Address: hostName(0, 1)}})
		for range 120 {
			f.tick()
			for _, b := range f.views[joined.Name].Tick(f.now.Add(time.Minute)) {
				f.send(joined.Name, b)
			}
			Expect(f.falselyLost(true)+f.falselyLost(false)).To(BeZero(), "at %v", f.now.Sub(start))
		}
		victim := hostName(0, 0)
		f.dead[victim] = true
		f.run(25 * time.Second)
		Expect(f.countLost(victim)).To(Equal(4*8 - 1))
	})

	It("finds a zone again after a network partition, with less than twice the messages", func() {
		f := newFleet(3, 5)
		f.run(10 * time.Second)
		f.count = 0
		f.run(10 * time.Second)
		baseline := f.count
		zone := func(name string) string { return f.views[name].Self().Zone }
		f.blocked = func(from, to string) bool { return (zone(from) == "z0") != (zone(to) == "z0") }
		f.run(time.Minute)
		Expect(f.falselyLost(true)).To(BeZero())
		Expect(f.countLost(hostName(0, 0))).To(Equal(10))
		f.blocked = func(string, string) bool { return false }
		f.count = 0
		f.run(10 * time.Second)
		Expect(f.count).To(BeNumerically("<", 2*baseline))
		f.run(20 * time.Second)
		Expect(f.falselyLost(false)).To(BeZero())
	})

	It("considers a host alive whose messages to one other host are lost", func() {
		f := newFleet(1, 7)
		a, b := hostName(0, 0), hostName(0, 1)
		f.blocked = func(from, to string) bool { return from == b && to == a }
		f.run(30 * time.Second)
		Expect(f.falselyLost(true)).To(BeZero())
	})

	It("counts a failed connection against a host for a short time only", func() {
		f := newFleet(1, 7)
		f.run(5 * time.Second)
		a, b := hostName(0, 0), hostName(0, 1)
		f.views[a].RecordConnectFailure(f.now, b)
		Expect(f.views[a].Alive(f.now, b)).To(BeFalse())
		f.run(2 * time.Second)
		Expect(f.views[a].Alive(f.now, b)).To(BeTrue())
	})

	It("drops a leaving host at once and accepts it again after a restart", func() {
		f := newFleet(1, 7)
		f.run(5 * time.Second)
		a, b := hostName(0, 0), hostName(0, 1)
		f.views[b].SetLeaving()
		f.views[b].Tick(f.now)
		for _, beat := range f.views[b].LeavingHeartbeats(f.now) {
			f.send(b, beat)
		}
		for _, name := range f.names {
			Expect(f.views[name].Live(f.now, "z0")).NotTo(ContainElement(b))
		}
		f.dead[b] = true
		f.run(5 * time.Second)
		leaving := []membership.ListedHost{{Name: b, Zone: "z0", Address: b, Leaving: true}}
		f.views[a].ApplyHostList(f.now, leaving)
		f.start(membership.ListedHost{Name: b, Zone: "z0", Address: b}, []membership.ListedHost{{Name: a, Zone: "z0", Address: a}})
		f.run(5 * time.Second)
		f.views[a].ApplyHostList(f.now, leaving)
		Expect(f.views[a].Live(f.now, "z0")).To(ContainElement(b))
	})

	It("does not revive a lost host that the platform still lists, and forgets it once it is not listed", func() {
		f := newFleet(1, 3)
		f.run(5 * time.Second)
		a, b := hostName(0, 0), hostName(0, 1)
		f.dead[b] = true
		f.run(10 * time.Second)
		for range 200 {
			f.run(10 * time.Second)
			f.views[a].ApplyHostList(f.now, []membership.ListedHost{{Name: b, Zone: "z0", Address: b}})
			Expect(f.views[a].Alive(f.now, b)).To(BeFalse())
		}
		f.run(11 * time.Minute)
		_, known := f.views[a].Host(b)
		Expect(known).To(BeFalse())
	})
})

// receivedState is the state in one received heartbeat.
type receivedState struct {
	at          time.Time
	incarnation int64
	sequence    int64
	leaving     bool
}

// naiveState returns the state with the highest sequence number in history and
// the latest time at which the host was alive. A state counts only if it was the
// newest when it arrived; its age is how far its lag exceeds the least lag of
// the states counted so far.
func naiveState(history []receivedState) (receivedState, time.Time) {
	var last receivedState
	var at time.Time
	var minLag int64
	for i, state := range history {
		lag := int64(state.at.Sub(start)/membership.HeartbeatInterval) - state.sequence
		if i > 0 && state.sequence <= last.sequence {
			continue
		}
		if i == 0 || lag < minLag {
			minLag = lag
		}
		last = state
		if alive := state.at.Add(-time.Duration(lag-minLag) * membership.HeartbeatInterval); alive.After(at) {
			at = alive
		}
	}
	return last, at
}

// TestAgainstNaive delivers heartbeats late, repeated and out of order to a view
// and compares it with a naive version that keeps all received heartbeats.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := membership.NewView(membership.Host{Name: "self", Zone: "z", Incarnation: 1}, start, 1)
		now := start
		received := make(map[string][]receivedState)
		names := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "host")
			state := receivedState{at: now, sequence: int64(rapid.IntRange(1, 30).Draw(t, "sequence"))}
			state.incarnation = 1 + state.sequence/10
			state.leaving = state.sequence%10 >= 8
			v.ApplyHeartbeat(now, &wire.Heartbeat{
				Host: name, Zone: "z", Address: name, Incarnation: state.incarnation, Sequence: state.sequence, Leaving: state.leaving,
			})
			received[name] = append(received[name], state)
			for _, name := range names {
				last, at := naiveState(received[name])
				want := last.sequence > 0 && now.Sub(at) <= 4*time.Second
				if got := v.Alive(now, name); got != want {
					t.Fatalf("host %s: alive %t, naive %t", name, got, want)
				}
				known, _ := v.Host(name)
				if known.Leaving != last.leaving || known.Incarnation != last.incarnation {
					t.Fatalf("host %s: %+v, naive %+v", name, known, last)
				}
			}
		}
	})
}

// BenchmarkZone measures the heartbeats of one host: encoded bytes sent per
// second, processor time per interval, and the time until all hosts have
// detected a loss.
func BenchmarkZone(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{1, 3}, {3, 7}, {1, 21}, {1, 150}, {2, 150}, {12, 21}, {12, 60}} {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.hosts), func(b *testing.B) {
			f := newFleet(size.zones, size.hosts)
			f.run(30 * time.Second)
			f.bytes, f.count = 0, 0
			from, hosts, falselyLost := f.now, float64(size.zones*size.hosts), 0
			for b.Loop() {
				f.tick()
			}
			seconds := f.now.Sub(from).Seconds() * hosts
			b.ReportMetric(float64(f.bytes)/seconds, "B/s/host")
			b.ReportMetric(float64(f.count)/seconds, "messages/s/host")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/hosts, "ns/host/interval")
			for range 20 {
				f.tick()
				falselyLost += f.falselyLost(true) + f.falselyLost(false)
			}
			b.ReportMetric(float64(falselyLost), "wrong")
			b.ReportMetric(f.maxAge(true).Seconds(), "s-stalest-near")
			b.ReportMetric(f.maxAge(false).Seconds(), "s-stalest-far")
			victim := hostName(0, 0)
			f.dead[victim] = true
			from = f.now
			for f.countLost(victim) < int(hosts)-1 {
				f.tick()
			}
			b.ReportMetric(f.now.Sub(from).Seconds(), "s-to-know")
		})
	}
}
