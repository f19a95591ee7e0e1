package crash_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/crash"
)

// BenchmarkCrashed checks a crash, without its dials, in fleets of several sizes.
func BenchmarkCrashed(b *testing.B) {
	for _, servers := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(servers, " servers"), func(b *testing.B) {
			d := backend.NewDirectory(func(backend.Server, string) {})
			list := make([]backend.Server, servers)
			for i := range list {
				list[i] = backend.Server{ID: fmt.Sprintf("i-%05d", i), Service: "s", Zone: fmt.Sprint(i % 12), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
			}
			d.Replace(timer.Real{}.Now(), list, 0)
			detector := crash.NewDetector(timer.Real{}, logr.Discard(), &network{refusing: list[servers/2].ID}, d, &records{})
			for b.Loop() {
				if !detector.Crashed(context.Background(), list[servers/2]) {
					b.Fatal("not confirmed")
				}
			}
		})
	}
}

// BenchmarkHasEnded looks one server up in the list, as each look at a watched one
// does.
func BenchmarkHasEnded(b *testing.B) {
	d := backend.NewDirectory(func(backend.Server, string) {})
	var list []backend.Server
	for i := range 10_000 {
		list = append(list, backend.Server{ID: fmt.Sprint(i), Address: fmt.Sprint(i), Born: 1})
	}
	d.Replace(timer.Real{}.Now(), list, 0)
	for b.Loop() {
		d.HasEnded(list[5_000])
	}
}
