package route_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// BenchmarkCacheEpochBytes reports the size of a heartbeat of a host that
// keeps 6 engines, with the state of another, and of the cache epochs in it.
func BenchmarkCacheEpochBytes(b *testing.B) {
	size := func(epoch uint32) int {
		beat := func(host int) *wire.Heartbeat {
			h := &wire.Heartbeat{Host: fmt.Sprintf("entry-%03d", host), Zone: "zone-a", Address: "10.0.0.100:7000", Incarnation: 1 << 60, Sequence: 1e6, Revision: 1e4}
			for i := range 6 {
				h.Loads = append(h.Loads, &wire.Load{Backend: fmt.Sprintf("engine-%04d", host*6+i), Running: 30, Waiting: 9, Slots: 32, Batch: 8, CacheEpoch: epoch})
			}
			return h
		}
		whole := beat(0)
		whole.Others = append(whole.Others, beat(1))
		return proto.Size(whole)
	}
	for b.Loop() {
		size(1)
	}
	b.ReportMetric(float64(size(0)), "bytes/beat")
	b.ReportMetric(float64(size(1)-size(0)), "epoch-bytes/beat")
}
