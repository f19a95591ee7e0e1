package timer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
)

var _ = Describe("the uptime", func() {
	It("advances with the clock of the machine", func() {
		var clock timer.Real
		before := clock.Uptime()
		Expect(before).To(BeNumerically(">", 0))
		const pause = 20 * time.Millisecond
		time.Sleep(pause)
		Expect(clock.Uptime() - before).To(BeNumerically(">=", pause))
	})

	It("alone advances while a manual clock is suspended", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		now, uptime := clock.Now(), clock.Uptime()
		clock.Advance(time.Second)
		clock.Suspend(3 * time.Second)
		Expect(clock.Now().Sub(now)).To(Equal(time.Second))
		Expect(clock.Uptime() - uptime).To(Equal(4 * time.Second))
	})
})
