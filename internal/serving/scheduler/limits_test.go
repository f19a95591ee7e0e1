package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/serverlimit"
)

// limitedFleet is a fleet of hosts that place requests on servers with limits and
// receive each other's reports with a delay. Requests take no time at a server.
type limitedFleet struct {
	random  *rand.Rand
	now     time.Time
	hosts   []*scheduler.Placer
	servers []backend.Server
	// delayed holds the reports on their way.
	delayed []delayedReport
	// arrivals holds when requests reached the servers, by server.
	arrivals map[string][]time.Time
}

type delayedReport struct {
	at   time.Time
	from int
	scheduler.Status
}

func newLimitedFleet(hosts, servers int) *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(3, 4)), now: epoch, arrivals: make(map[string][]time.Time)}
	for i := range hosts {
		f.hosts = append(f.hosts, scheduler.New(fmt.Sprintf("h%02d", i), "z", f.random.Float64, func() {}))
	}
	for i := range servers {
		f.servers = append(f.servers, backend.Server{ID: fmt.Sprint("s", i), Service: "s", Zone: "z", Slots: 8})
	}
	return f
}

// report sends the state of a host to all others.
func (f *limitedFleet) report(host int) {
	loads, backlogs := f.hosts[host].LocalState(f.now)
	f.delayed = append(f.delayed, delayedReport{f.now.Add(reportDelay), host, scheduler.Status{
		Host: fmt.Sprintf("h%02d", host), Zone: "z", Loads: loads, Backlogs: backlogs, Limits: f.hosts[host].OwnLimits(f.now),
	}})
}

// advance moves the time and delivers reports.
func (f *limitedFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for len(f.delayed) > 0 && !f.delayed[0].at.After(f.now) {
		for i, h := range f.hosts {
			if i != f.delayed[0].from {
				h.Report(f.now, f.delayed[0].Status)
			}
		}
		f.delayed = f.delayed[1:]
	}
}

// online places an online request of a host, which ends at once, and reports
// whether it was placed.
func (f *limitedFleet) online(host int) bool {
	c := f.hosts[host].PlaceOnline(f.now, f.servers, nil, objective)
	if c.Placed {
		f.arrivals[c.Server.ID] = append(f.arrivals[c.Server.ID], f.now)
		f.hosts[host].EndOnline(f.now, c, time.Millisecond, scheduler.Completed)
	}
	f.report(host)
	return c.Placed
}

// batch places up to n items of a host, which end at once.
func (f *limitedFleet) batch(host, n int) int {
	f.hosts[host].SetBacklog(f.now, "s", n, time.Second)
	placed := f.hosts[host].PlaceBatch(f.now, "s", f.servers, n)
	for _, s := range placed {
		f.arrivals[s.ID] = append(f.arrivals[s.ID], f.now)
		f.hosts[host].EndBatch(f.now, s, scheduler.Completed)
	}
	f.report(host)
	return len(placed)
}

// most returns the largest number of requests that a server got in any 4 s.
func (f *limitedFleet) most(server string) int {
	most, first := 0, 0
	for i, t := range f.arrivals[server] {
		for t.Sub(f.arrivals[server][first]) > 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var _ = Describe("servers that name limits", func() {
	DescribeTable("get no more than they allow from all hosts together, and most of it",
		func(hosts int, perSecond float64) {
			f := newLimitedFleet(hosts, 3)
			for _, s := range f.servers {
				f.hosts[0].SetLimit(f.now, s.ID, perSecond)
			}
			f.report(0)
			f.advance(time.Second)
			const seconds = 60
			for range seconds * 100 {
				if f.random.Float64() < 0.5 {
					f.online(f.random.IntN(hosts))
				}
				if f.random.Float64() < 0.2 {
					f.batch(f.random.IntN(hosts), 5)
				}
				f.advance(10 * time.Millisecond)
			}
			for _, s := range f.servers {
				Expect(f.most(s.ID)).To(BeNumerically("<=", 1.5*perSecond*4+5))
				if perSecond >= 1 {
					Expect(len(f.arrivals[s.ID])).To(BeNumerically(">=", 0.75*perSecond*seconds))
				}
			}
		},
		Entry("7 hosts, below 1", 7, 0.3),
		Entry("7 hosts, 1", 7, 1.0),
		Entry("7 hosts, 2.4", 7, 2.4),
		Entry("16 hosts, 5", 16, 5.0),
	)

	It("get less than their neighbours before their limits are used up, and nothing afterwards", func() {
		f := newLimitedFleet(1, 4)
		f.hosts[0].SetLimit(f.now, "s0", 2)
		for range 100 {
			Expect(f.online(0)).To(BeTrue(), "the neighbours have room")
			f.advance(10 * time.Millisecond)
		}
		Expect(len(f.arrivals["s0"])).To(BeNumerically("<=", 8))
		Expect(len(f.arrivals["s1"])).To(BeNumerically(">", 25))
	})

	It("refuse at once when all limits are used up, and say so", func() {
		f := newLimitedFleet(1, 2)
		for _, s := range f.servers {
			f.hosts[0].SetLimit(f.now, s.ID, 1)
		}
		for range 8 {
			Expect(f.online(0)).To(BeTrue())
		}
		c := f.hosts[0].PlaceOnline(f.now, f.servers, nil, objective)
		Expect(c.Placed).To(BeFalse())
		Expect(c.Limited).To(Equal(2))
		Expect(c.RetryAfter).To(BeNumerically(">", 0))
		f.advance(5 * time.Second)
		Expect(f.online(0)).To(BeTrue())
	})

	It("leave a third of the limit to online requests", func() {
		f := newLimitedFleet(1, 1)
		f.hosts[0].SetLimit(f.now, "s0", 3)
		Expect(f.batch(0, 20)).To(Equal(8))
		for range 4 {
			Expect(f.online(0)).To(BeTrue())
		}
		Expect(f.online(0)).To(BeFalse())
	})

	It("are known to a host that has just started, and free again when an answer names no limit", func() {
		f := newLimitedFleet(2, 1)
		f.hosts[0].SetLimit(f.now, "s0", 1)
		for range 4 {
			Expect(f.online(0)).To(BeTrue())
		}
		f.advance(time.Second)
		Expect(f.online(1)).To(BeFalse(), "the other host has used the limit up")
		Expect(f.hosts[1].SetLimit(f.now, "s0", 0)).To(BeTrue())
		f.report(1)
		f.advance(time.Second)
		Expect(f.online(0)).To(BeTrue())
		f.hosts[0].MergeLimits(f.now, map[string]serverlimit.Limit{"s0": {PerSecond: 1, Age: 3 * time.Second}})
		for range 20 {
			Expect(f.online(0)).To(BeTrue(), "an older report must not bring the limit back")
		}
	})

	It("count what a coordinator has granted until the host reports it", func() {
		p := scheduler.New("C", "z", func() float64 { return 0 }, func() {})
		server := backend.Server{ID: "s0", Service: "s", Zone: "z", Slots: 8}
		p.SetRole(scheduler.Coordinator)
		p.SetLimit(epoch, "s0", 1)
		granted := 0
		var asks []scheduler.Ask
		for i := range 9 {
			a := scheduler.Ask{ID: uint64(i), Service: "s", MaxWait: time.Second, Final: true}
			asks = append(asks, a)
			if p.GrantOnline(epoch, "A", a, []backend.Server{server}).Placed {
				granted++
			}
		}
		Expect(granted).To(Equal(4))
		p.Report(epoch, scheduler.Status{Host: "A", Zone: "z", Loads: map[string]scheduler.Load{"s0": {Sent: 4}}})
		Expect(p.GrantOnline(epoch, "A", asks[8], []backend.Server{server}).Placed).To(BeFalse())
	})
})
