package keeper_test

import (
	"context"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// BenchmarkRun measures the overhead of Keeper.Run, including the queue and the
// event buffer. The fake engine sends a Started event, length tokens and the
// usage without any delay.
func BenchmarkRun(b *testing.B) {
	k, _ := newKeeper(new(fakeEngine), pools, 64)
	r := newRequest("online", request.Online, `{}`)
	service := new(services.Service)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if failure := k.Run(context.Background(), r, service, 1, func(request.Event) error { return nil }); failure != nil {
				b.Error(failure)
			}
		}
	})
}
