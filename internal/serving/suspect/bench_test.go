package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/suspect"
)

// BenchmarkRequest measures what the guard costs a request that is answered: two
// checks before it is sent, its run, and the answer.
func BenchmarkRequest(b *testing.B) {
	for _, records := range []int{0, 1, 1024} {
		b.Run(fmt.Sprint(records, " records"), func(b *testing.B) {
			guard := suspect.NewGuard(timer.NewManual(start), logr.Discard(), suspect.Alone{})
			for i := range records {
				guard.Merge([]suspect.Report{{Part: fmt.Sprint("bad-", i), Servers: []string{"s1"}, ExpiresIn: time.Hour}})
			}
			c := &exchange.Call{ID: "1", Target: "/stream/1", Body: make([]byte, 1000), SharedParts: []string{"first", "second"}}
			b.ReportAllocs()
			for b.Loop() {
				if guard.Check(c) != nil || guard.Begin(b.Context(), c) != nil {
					b.Fatal("refused")
				}
				run := guard.Sent(c, "s2")
				guard.Answered(c, true)
				guard.Gone(run)
			}
		})
	}
}

// BenchmarkRestingItems measures what a scheduling pass asks, with as many records and
// lost connections as a host keeps.
func BenchmarkRestingItems(b *testing.B) {
	for _, records := range []int{0, 256, 1024} {
		b.Run(fmt.Sprint(records, " records"), func(b *testing.B) {
			guard := suspect.NewGuard(timer.NewManual(start), logr.Discard(), suspect.Alone{})
			for i := range records {
				guard.Merge([]suspect.Report{{Part: suspect.ItemName("j", fmt.Sprint(i)), Servers: []string{"s1"}, ExpiresIn: time.Hour}})
				guard.ItemLost("j", &exchange.Call{ID: fmt.Sprint(i)}, "s2", start, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(guard.RestingItems()) != min(records, 256) {
					b.Fatal("lost connections are missing")
				}
			}
		})
	}
}
