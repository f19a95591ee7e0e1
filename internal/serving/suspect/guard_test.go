package suspect_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

var _ = Describe("a guard", func() {
	// lose has a server end under calls that were sent age before.
	lose := func(guard *suspect.Guard, clock *timer.Manual, age time.Duration, server string, calls ...*exchange.Call) {
		for _, c := range calls {
			guard.Lost(c, server, clock.Now().Add(-age), 0)
		}
		guard.Ended(server)
	}
	call := func(id, shared, last string) *exchange.Call {
		return &exchange.Call{ID: id, Body: []byte(id), SharedParts: parts(shared), LastPart: last}
	}

	It("sends one of many simultaneous requests as the trial of a part", func() {
		clock := timer.NewManual(start)
		guard := suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})
		guard.Merge([]suspect.Report{{Part: "bad", Servers: parts("s1 s2 s3"), ExpiresIn: time.Hour}})
		call := call("1", "first bad", "")
		Expect(guard.Begin(context.Background(), call).Code()).To(Equal(result.CrashesBackends), "no trial is due yet")
		clock.Advance(2 * time.Second)
		var sent atomic.Int64
		var requests sync.WaitGroup
		for range 50 {
			requests.Go(func() {
				if guard.Begin(context.Background(), call) == nil {
					sent.Add(1)
				}
			})
		}
		requests.Wait()
		Expect(sent.Load()).To(BeEquivalentTo(1))
		Expect(guard.Check(call)).NotTo(BeNil())
	})

	// Guards against condemnations by time that are neither told, kept nor listed.
	It("tells, keeps and lists a part that is condemned without another end", func() {
		clock := timer.NewManual(start)
		guard := suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})
		for i := range 3 {
			lose(guard, clock, time.Millisecond, fmt.Sprint("s", i), call(fmt.Sprint(i), "first bad", fmt.Sprint("own ", i)))
		}
		clock.Advance(10 * time.Second)
		isBad := HaveField("Part", "bad")
		Expect(guard.CondemnedParts()).To(HaveKey("bad"))
		Expect(guard.Shared()).To(ContainElement(isBad), "it changed long ago, so it is told only if it is condemned")
		Expect(guard.Kept()).To(ContainElement(isBad))
	})

	DescribeTable("refuses a new part that is at each server that ends, unless runs elsewhere get further",
		func(sound bool, runsAt string, reached bool) {
			clock := timer.NewManual(start)
			guard := suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})
			guard.SetReaches(func(string) bool { return reached })
			for _, server := range parts(runsAt) {
				guard.Sent(call("at "+server, "first new", "own"), server)
			}
			// Servers end 0.3 s apart, each under a call as old as all others.
			for i := range 6 {
				clock.Advance(300 * time.Millisecond)
				lose(guard, clock, clock.Now().Sub(start), fmt.Sprint("s", i), call(fmt.Sprint(i), "first new", fmt.Sprint("own-", i)))
				// The comparisons run beside the clock.
				for range 40 {
					clock.Advance(0)
					time.Sleep(time.Millisecond)
				}
				if sound {
					Expect(guard.Check(call("next", "first new", "own"))).To(BeNil())
				}
			}
			clock.Advance(500 * time.Millisecond)
			Expect(guard.Check(call("next", "first new", "own")) == nil).To(Equal(sound))
		},
		Entry("no run elsewhere", false, "", true),
		Entry("one run elsewhere", false, "r1", true),
		Entry("two runs at one server", false, "r1 r1", true),
		Entry("runs at two servers", true, "r1 r2", true),
		Entry("runs at two servers that can't be reached", false, "r1 r2", false),
	)

	// Guards against a first part that most requests share, condemned for two others.
	It("refuses no first part before runs elsewhere can have got further", func() {
		clock := timer.NewManual(start)
		guard := suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})
		lose(guard, clock, time.Millisecond, "s1", call("1", "first bad", "own 1"))
		lose(guard, clock, time.Millisecond, "s2", call("2", "first worse", "own 2"))
		lose(guard, clock, time.Millisecond, "s3", call("2", "first worse", "own 2"))
		Expect(guard.Check(call("next", "first", "own"))).To(BeNil())
		clock.Advance(200 * time.Millisecond)
		Expect(guard.Accused()).To(ContainElement(And(HaveField("Part", "first"), WithTransform(func(r suspect.Record) bool { return r.Condemned() }, BeTrue()))))
		Expect(guard.Check(call("next", "first", "own"))).NotTo(BeNil(), "nothing has refuted it")
	})

	It("condemns the last part of a session, whose other parts differ", func() {
		clock := timer.NewManual(start)
		guard := suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})
		for i := range 3 {
			guard.Answered(call(fmt.Sprint("sound ", i), "first", fmt.Sprint("other ", i)), true)
			lose(guard, clock, time.Second, fmt.Sprint("s", i), call(fmt.Sprint(i), fmt.Sprint("first m", i), "session"))
		}
		clock.Advance(time.Second)
		Expect(guard.Check(call("next", "first m9", "session"))).NotTo(BeNil())
		Expect(guard.Check(call("next", "first m9", "another"))).To(BeNil())
		Expect(guard.Check(call("next", "first m1", "another"))).To(BeNil())
	})

	// Guards against retries of each request that hide what the requests have in common.
	It("condemns a shared part though each request has crashed three servers by itself", func() {
		clock := timer.NewManual(start)
		guard := suspect.NewGuard(clock, logr.Discard(), suspect.Alone{})
		for i := range 9 {
			lose(guard, clock, time.Second, fmt.Sprint("s", i), call(fmt.Sprint(i/3), "first bad", fmt.Sprint("own ", i/3)))
			guard.Answered(call("sound", "first", "x"), true)
			clock.Advance(100 * time.Millisecond)
		}
		Expect(guard.Check(call("next", "first bad", "own 9"))).NotTo(BeNil())
		Expect(guard.Check(call("next", "first", "own 9"))).To(BeNil())
	})

	It("withdraws an accusation at an operator's request", func() {
		guard := suspect.NewGuard(timer.NewManual(start), logr.Discard(), suspect.Alone{})
		guard.Merge([]suspect.Report{{Part: "a", Servers: parts("s1 s2 s3"), ExpiresIn: time.Hour}})
		call := call("1", "a", "")
		Expect(guard.Check(call)).NotTo(BeNil())
		Expect(guard.Withdraw("a")).To(BeTrue())
		Expect(guard.Check(call)).To(BeNil())
		Expect(guard.Withdraw("a")).To(BeFalse())
		Expect(guard.Accused()).To(BeEmpty())
	})
})
