package keeper_test

import (
	"context"
	"testing"

	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// BenchmarkRun measures a request's way through a keeper, its queue and its
// relay: a head, length tokens and the usage from an engine that costs nothing.
func BenchmarkRun(b *testing.B) {
	k, _ := newKeeper(new(fake), pools, 64)
	r := call("online", request.Online, `{}`)
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
