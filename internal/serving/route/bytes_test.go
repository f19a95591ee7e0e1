package route_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
)

// BenchmarkCacheEpochBytes reports the size of a heartbeat of a host with 6
// engines that includes the state of another host, and the part of that size
// that the cache epochs take.
func BenchmarkCacheEpochBytes(b *testing.B) {
	size := func(epoch uint32) int {
		newHeartbeat := func(host int) *wire.Heartbeat {
			h := &wire.Heartbeat{Host: fmt.Sprintf("entry-%03d", host), Zone: "zone-a", Address: "10.0.0.100:7000", Incarnation: 1 << 60, Sequence: 1e6, Revision: 1e4}
			for i := range 6 {
				h.Loads = append(h.Loads, &wire.Load{Backend: fmt.Sprintf("engine-%04d", host*6+i), Running: 30, Waiting: 9, Slots: 32, Batch: 8, CacheEpoch: epoch})
			}
			return h
		}
		heartbeat := newHeartbeat(0)
		heartbeat.Others = append(heartbeat.Others, newHeartbeat(1))
		return proto.Size(heartbeat)
	}
	for b.Loop() {
		size(1)
	}
	b.ReportMetric(float64(size(0)), "bytes/beat")
	b.ReportMetric(float64(size(1)-size(0)), "epoch-bytes/beat")
}
