package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/reach"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

var _ = Describe("a host that was cut off from all servers", func() {
	It("never goes on without batch slots because the beginning of a cut is applied after its end", func() {
		now := time.Unix(1000, 0)
		h := &Host{
			timer: timer.NewManual(now), log: logr.Discard(), reach: reach.NewTracker(), jobs: ownership.New(ownership.Options{}),
			placer: scheduler.New("A", "a", func() float64 { return 0.5 }, func() {}),
		}
		h.passing = newPassing(h)
		h.placer.SetBacklog(now, "s", 1, 0)
		for range 20000 {
			// The fifth failure is the one that shows the cut.
			for i := range 4 {
				h.observeReach(backend.Server{ID: fmt.Sprint(i)}, false, true)
			}
			var observers sync.WaitGroup
			for i, connected := range []bool{false, true, true} {
				observers.Add(1)
				go func() {
					defer observers.Done()
					h.observeReach(backend.Server{ID: fmt.Sprint(4 + i)}, connected, !connected)
				}()
			}
			observers.Wait()
			h.observeReach(backend.Server{ID: "8"}, true, false)
			h.placer.SetBacklog(now, "s", 1, 0)
			_, backlogs := h.placer.LocalState(now)
			Expect(backlogs).To(HaveKey("s"))
		}
	})
})
