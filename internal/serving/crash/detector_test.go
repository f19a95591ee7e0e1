package crash_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/crash"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// network simulates the connections of a host.
type network struct {
	exchange.Servers
	mu sync.Mutex
	// refusing are the servers at which nothing listens, silent those whose dials
	// time out. recoversAfter is the number of dials after which all is well.
	refusing, silent string
	recoversAfter    int
	dialled          []string
}

func (n *network) Down(ctx context.Context, s backend.Server) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialled = append(n.dialled, s.ID)
	recovered := n.recoversAfter > 0 && len(n.dialled) > n.recoversAfter
	switch {
	case !recovered && slices.Contains(strings.Fields(n.refusing), s.ID):
		return true
	case !recovered && slices.Contains(strings.Fields(n.silent), s.ID):
	default:
		exchange.Opened(ctx)
	}
	return false
}

// setRefusing sets the servers at which nothing listens from now on.
func (n *network) setRefusing(ids string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing = ids
}

// dials returns the servers that were dialled so far.
func (n *network) dials() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.dialled)
}

// directoryOf returns a directory of servers whose zones are the first letters of
// their IDs.
func directoryOf(ids string) *backend.Directory {
	d := backend.NewDirectory(func(backend.Server, string) {})
	for _, id := range strings.Fields(ids) {
		d.Put(backend.Server{ID: id, Service: "s" + id[1:], Zone: id[:1], Address: "address of " + id})
	}
	return d
}

// records are what other hosts know, and how often a crash was recorded here.
type records struct {
	known    map[string]bool
	recorded atomic.Int32
}

func (r *records) EndedServers() map[string]bool { return r.known }
func (r *records) Answers(string) bool           { return false }
func (r *records) Ended(string)                  { r.recorded.Add(1) }

var _ = Describe("a crash detector", func() {
	DescribeTable("confirms a crash of a1 only if another server is reached", func(listed, refusing, silent string, crashed bool, dialled ...string) {
		n := &network{refusing: refusing, silent: silent}
		directory := directoryOf(listed)
		d := crash.NewDetector(timer.Real{}, logr.Discard(), n, directory, &records{})
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a1", Zone: "a", Address: "address of a1"})).To(Equal(crashed))
		Eventually(n.dials).Should(ConsistOf(dialled))
	},
		Entry("the server is up", "a1 a2 a3", "", "", false, "a1"),
		Entry("the server is silent", "a1 a2 a3", "", "a1", false, "a1"),
		Entry("others of its zone are reached", "a1 a2 a3 b1", "a1", "", true, "a1", "a2", "a3", "a1"),
		Entry("one of its zone is reached", "a1 a2 a3", "a1 a2", "", true, "a1", "a2", "a3", "a1"),
		Entry("all refuse", "a1 a2 a3 b1", "a1 a2 a3 b1", "", false, "a1", "a2", "a3"),
		Entry("the others are silent", "a1 a2 a3 b1", "a1", "a2 a3 b1", false, "a1", "a2", "a3"),
		Entry("all of its zone refuse", "a1 a2 a3 b1", "a1 a2 a3", "", false, "a1", "a2", "a3"),
		Entry("both of a small zone have crashed", "a1 a2 b1", "a1 a2", "", true, "a1", "a2", "b1", "a1"),
		Entry("it is alone in its zone", "a1 b1 c1", "a1", "", true, "a1", "b1", "c1", "a1"),
		Entry("no other is listed", "a1", "a1", "", false, "a1"),
		Entry("it is no longer listed itself", "a2 b1", "a1", "", true, "a1", "a2", "b1", "a1"),
	)

	// Guards against servers that are down under the same request as witnesses.
	DescribeTable("confirms each crash of a zone whose servers crash in turn", func(listed string, order ...string) {
		n, directory := &network{}, directoryOf(listed)
		d := crash.NewDetector(timer.Real{}, logr.Discard(), n, directory, &records{})
		for i, id := range order {
			n.setRefusing(strings.Join(order[:i+1], " "))
			s, _ := directory.Get(id)
			Expect(d.Crashed(context.Background(), s)).To(BeTrue(), id)
		}
	},
		Entry("a zone of three", "a1 a2 a3 b1 c1", "a1", "a2", "a3"),
		Entry("in another order, and on in other zones", "a1 a2 a3 b1 c1", "a3", "a1", "a2", "b1"),
		Entry("a zone of two", "a1 a2 b1 c1", "a1", "a2", "b1"),
		Entry("zones of one", "a1 b1 c1", "a1", "b1"),
		Entry("a zone of four", "a1 a2 a3 a4 b1", "a1", "a2", "a3", "a4"),
	)

	// Guards against sound servers that are taken for crashed each time their zone can't be reached.
	It("confirms no crash of a zone that refuses connections again after two of its servers came back last", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		n, directory := &network{}, backend.NewDirectory(func(backend.Server, string) {})
		guard := suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})
		d := crash.NewDetector(clock, logr.Discard(), n, directory, guard)
		servers := make(map[string]backend.Server)
		for _, id := range strings.Fields("a1 a2 a3 a4 b1 c1") {
			servers[id] = backend.Server{ID: id, Service: "s", Zone: id[:1], Address: "address of " + id, Born: 5}
			directory.Put(servers[id])
		}
		n.setRefusing("a3 a4")
		for _, id := range strings.Fields("a3 a4") {
			guard.Lost(&exchange.Call{ID: id, Body: []byte(id)}, servers[id].Start(), clock.Now(), 0)
			Expect(d.Crashed(context.Background(), servers[id])).To(BeTrue(), id)
			guard.Ended(servers[id].Start())
		}
		n.setRefusing("")
		clock.Advance(time.Second)
		for _, s := range servers {
			guard.Alive(s.Start(), clock.Now())
		}
		clock.Advance(3 * time.Second)
		n.setRefusing("a1 a2 a3 a4")
		for _, id := range strings.Fields("a1 a2 a3 a4") {
			Expect(d.Crashed(context.Background(), servers[id])).To(BeFalse(), id)
		}
	})

	It("confirms the third crash of a zone if another host saw the first two", func() {
		n := &network{refusing: "a1 a2 a3"}
		seen := &records{known: map[string]bool{"a2": true, "a3": true}}
		d := crash.NewDetector(timer.Real{}, logr.Discard(), n, directoryOf("a1 a2 a3 b1 c1"), seen)
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a1", Zone: "a", Address: "address of a1"})).To(BeTrue())
	})

	It("asks a server of each other zone if the zone has too few", func() {
		n := &network{refusing: "b1 a1 a2 a3"}
		d := crash.NewDetector(timer.Real{}, logr.Discard(), n, directoryOf("a1 a2 a3 b1 c1"), &records{})
		Expect(d.Crashed(context.Background(), backend.Server{ID: "b1", Zone: "b", Address: "address of b1"})).To(BeTrue())
	})

	It("does not confirm a crash if the cut ends between its dials", func() {
		n := &network{refusing: "a1 a2 a3", recoversAfter: 1}
		d := crash.NewDetector(timer.Real{}, logr.Discard(), n, directoryOf("a1 a2 a3"), &records{})
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a1", Zone: "a"})).To(BeFalse())
	})

	DescribeTable("confirms later that a1 crashed", func(confirmedAfter time.Duration, change func(n *network, d *backend.Directory)) {
		clock := timer.NewManual(time.Unix(1000, 0))
		n, directory := &network{}, directoryOf("a1 a2 a3")
		a1, _ := directory.Get("a1")
		a1.Born = 5
		directory.Put(a1)
		known := new(records)
		d := crash.NewDetector(clock, logr.Discard(), n, directory, known)
		Expect(d.Crashed(context.Background(), a1)).To(BeFalse())
		d.Watch(a1)
		d.Watch(a1)
		change(n, directory)
		var at time.Duration
		for ; at < 20*time.Second && known.recorded.Load() == 0; at += 10 * time.Millisecond {
			clock.Advance(10 * time.Millisecond)
			// Looks run in the background.
			time.Sleep(time.Millisecond)
		}
		if confirmedAfter == 0 {
			Expect(known.recorded.Load()).To(BeZero())
			return
		}
		Consistently(known.recorded.Load, 50*time.Millisecond).Should(BeEquivalentTo(1))
		Expect(at).To(BeNumerically("<=", confirmedAfter))
	},
		Entry("the port closes after the connections", 100*time.Millisecond, func(n *network, _ *backend.Directory) { n.setRefusing("a1") }),
		Entry("it starts again under its ID", 100*time.Millisecond, func(_ *network, d *backend.Directory) {
			d.Put(backend.Server{ID: "a1", Service: "s1", Zone: "a", Address: "address of a1", Born: 9})
		}),
		Entry("it starts again under its ID at another port", 100*time.Millisecond, func(_ *network, d *backend.Directory) {
			d.Put(backend.Server{ID: "a1", Service: "s1", Zone: "a", Address: "another", Born: 9})
		}),
		Entry("another server has its address", 100*time.Millisecond, func(_ *network, d *backend.Directory) {
			d.Put(backend.Server{ID: "x1", Service: "s1", Zone: "a", Address: "address of a1", Born: 9})
		}),
		Entry("it is only listed anew", time.Duration(0), func(_ *network, d *backend.Directory) {
			d.Put(backend.Server{ID: "a1", Service: "s1", Zone: "a", Address: "address of a1", Born: 5, Draining: true})
		}),
		Entry("all servers refuse connections", time.Duration(0), func(n *network, _ *backend.Directory) { n.setRefusing("a1 a2 a3") }),
		Entry("nothing changes", time.Duration(0), func(*network, *backend.Directory) {}),
	)

	// Guards against a look at the moment at which a cut ends.
	It("does not confirm later that a1 crashed if its zone comes back and a1 is the last", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		n, directory := &network{refusing: "a1 a2 a3"}, directoryOf("a1 a2 a3")
		a1, _ := directory.Get("a1")
		known := new(records)
		d := crash.NewDetector(clock, logr.Discard(), n, directory, known)
		Expect(d.Crashed(context.Background(), a1)).To(BeFalse())
		d.Watch(a1)
		n.setRefusing("a1")
		for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
			if at == 60*time.Millisecond {
				n.setRefusing("")
			}
			clock.Advance(10 * time.Millisecond)
			// Looks run in the background.
			time.Sleep(time.Millisecond)
		}
		Expect(known.recorded.Load()).To(BeZero())
	})

	// Guards against a server that resets its connections for long.
	It("dials a server that goes on losing connections a bounded number of times", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		n, directory := &network{}, directoryOf("a1 a2 a3")
		a1, _ := directory.Get("a1")
		d := crash.NewDetector(clock, logr.Discard(), n, directory, &records{})
		for range 1000 {
			d.Watch(a1)
			clock.Advance(10 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		Expect(len(n.dials())).To(BeNumerically("<=", 30), "in 10 s")
	})

	// Guards against dials for each call that a server loses.
	It("dials once for all calls that a server loses at once", func() {
		n, directory := &network{refusing: "a1"}, directoryOf("a1 a2 a3 b1")
		a1, _ := directory.Get("a1")
		a1.Born = 5
		d := crash.NewDetector(timer.Real{}, logr.Discard(), n, directory, &records{})
		var calls sync.WaitGroup
		for range 50 {
			calls.Go(func() {
				defer GinkgoRecover()
				Expect(d.Crashed(context.Background(), a1)).To(BeTrue())
			})
		}
		calls.Wait()
		// The answer may come before the last of the others was dialled.
		Eventually(n.dials).Should(ConsistOf("a1", "a2", "a3", "a1"))
		Consistently(n.dials, 50*time.Millisecond).Should(HaveLen(4))
		a1.Born = 9
		n.setRefusing("")
		Expect(d.Crashed(context.Background(), a1)).To(BeFalse(), "its next start")
	})

	It("dials at most three others", func() {
		n := &network{refusing: "a4"}
		d := crash.NewDetector(timer.Real{}, logr.Discard(), n, directoryOf("a1 a2 a3 a4 a5 a6 b1"), &records{})
		Expect(d.Crashed(context.Background(), backend.Server{ID: "a4", Zone: "a"})).To(BeTrue())
		Eventually(n.dials).Should(ConsistOf("a4", "a5", "a6", "a1", "a4"))
	})
})
