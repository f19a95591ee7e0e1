package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

var _ = Describe("hosts that are cut off from each other", func() {
	var (
		clock *timer.Manual
		kv    *platform.KV
		hosts []*Host
	)
	call := &exchange.Call{ID: "1", SharedParts: []string{"bad"}}
	BeforeEach(func() {
		clock = timer.NewManual(time.Unix(1000, 0))
		kv = platform.NewKV(clock)
		hosts = nil
		for i := range 3 {
			h := New(&setup.Entry{Name: fmt.Sprint("host-", i), Zone: "a", PeerAddress: "10.0.0.9:1"}, logr.Discard(), clock, Adapter{Store: kv})
			h.suspects.Merge([]suspect.Report{{Part: "bad", Servers: []string{"s1", "s2", "s3"}, ExpiresIn: time.Hour}})
			hosts = append(hosts, h)
		}
	})
	// sendFor has a request come to each host each second and returns how many were sent.
	sendFor := func(seconds int) int {
		sent := 0
		for range seconds {
			clock.Advance(time.Second)
			for _, h := range hosts {
				if h.suspects.Begin(context.Background(), call) == nil {
					sent++
				}
			}
		}
		return sent
	}

	// Guards against trials that each half of a split fleet sends.
	It("send two trials of a part in all", func() {
		Expect(sendFor(120)).To(Equal(2))
	})

	It("send no trial while the store is away, and both afterwards", func() {
		kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		Expect(sendFor(60)).To(BeZero())
		kv.SetFaults(nil)
		Expect(sendFor(60)).To(Equal(2))
	})

	It("count a trial whose claim may have taken effect", func() {
		lost := false
		kv.SetFaults(func(op string) platform.Fault {
			if op == "txn" && !lost {
				lost = true
				return platform.LoseReply
			}
			return platform.NoFault
		})
		Expect(sendFor(120)).To(Equal(1))
	})

	// Guards against two more crashes in each half of a split fleet.
	It("learn of a condemnation with the first crash that they see themselves", func() {
		bad := &exchange.Call{ID: "1", Target: "/x", Body: []byte("bad")}
		crash := func(h *Host, server string) {
			h.suspects.Lost(bad, server, clock.Now(), 7)
			h.suspects.Ended(server)
		}
		alone := hosts[1]
		alone.wait.Add(1)
		go alone.suspectsKeeper.run()
		defer alone.cancel()
		// It reads what was kept before it started.
		Eventually(func() int { return kv.Calls()["get"] }, 10*time.Second).Should(Equal(1))
		for _, server := range []string{"s4", "s5", "s6"} {
			crash(hosts[0], server)
		}
		Expect(hosts[0].suspectsKeeper.keep()).To(Succeed())
		Expect(alone.suspects.Check(bad)).To(BeNil())
		crash(alone, "s7")
		Eventually(func() any {
			clock.Advance(10 * time.Millisecond)
			return alone.suspects.Check(bad)
		}, 10*time.Second).ShouldNot(BeNil())
	})

	// Guards against condemnations that wait for the pause between two reads.
	It("write a condemnation soon after they have read the records", func() {
		alone := hosts[1]
		alone.wait.Add(1)
		go alone.suspectsKeeper.run()
		defer alone.cancel()
		crash := func(server string) {
			alone.suspects.Lost(&exchange.Call{ID: "1", Body: []byte("bad")}, server, clock.Now(), 7)
			alone.suspects.Ended(server)
		}
		stepUntil := func(reached func() bool) {
			Eventually(func() bool {
				clock.Advance(time.Millisecond)
				return reached()
			}, 10*time.Second).Should(BeTrue())
		}
		stepUntil(func() bool { return kv.Calls()["txn"] == 1 })
		clock.Advance(time.Second)
		crash("s4")
		stepUntil(func() bool { return kv.Calls()["range"] == 1 })
		began := clock.Now()
		crash("s5")
		stepUntil(func() bool { return kv.Calls()["txn"] == 2 })
		Expect(clock.Now().Sub(began)).To(BeNumerically("<", 250*time.Millisecond))
	})

	It("refuse nothing once the store shows that the accusation was withdrawn", func() {
		Expect(hosts[0].suspectsKeeper.keep()).To(Succeed())
		Expect(hosts[0].suspects.Withdraw("bad")).To(BeTrue())
		Expect(hosts[0].suspectsKeeper.keep()).To(Succeed())
		clock.Advance(2 * time.Second)
		Expect(hosts[1].suspects.Begin(context.Background(), call)).To(BeNil())
		Expect(hosts[1].suspects.Check(call)).To(BeNil())
	})
})
