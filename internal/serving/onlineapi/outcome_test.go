package onlineapi_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/serving/onlineapi"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// unavailableRecords rejects outcomes until available is set.
type unavailableRecords struct {
	mu        sync.Mutex
	available bool
	finished  []*wire.FinishRequest
	attempts  int
}

var _ onlineapi.Records = (*unavailableRecords)(nil)

func (r *unavailableRecords) Claim(context.Context, *wire.ClaimRequest) (*wire.Entry, *result.Error) {
	return nil, nil
}

func (r *unavailableRecords) Lookup(context.Context, string) (*wire.Entry, *result.Error) {
	return nil, result.New(result.NotFound, "no record")
}

func (r *unavailableRecords) Finish(_ context.Context, in *wire.FinishRequest) *result.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	if !r.available {
		return result.New(result.StoreUnavailable, "down")
	}
	r.finished = append(r.finished, in)
	return nil
}

func (r *unavailableRecords) attemptCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

func (r *unavailableRecords) recorded() []*wire.FinishRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*wire.FinishRequest(nil), r.finished...)
}

// fixedRunner returns the same answer to every request.
type fixedRunner struct{}

func (fixedRunner) Run(_ context.Context, _ *request.Request, sink request.Sink) *result.Error {
	_ = sink(request.Event{Kind: request.Started, Status: 200, ContentType: "text/plain"})
	_ = sink(request.Event{Kind: request.Data, Data: []byte("answer")})
	return nil
}

var _ = Describe("an outcome that can't be recorded", func() {
	const eventTimeout = 30 * time.Second

	It("is retried until it is recorded exactly once", func() {
		clock, records := timer.NewManual(time.Unix(1000, 0)), new(unavailableRecords)
		f := onlineapi.New(onlineapi.Options{
			Host: "a", Timer: clock, Runner: fixedRunner{}, Records: records, RecordEvent: func(string, string, ...string) {},
		})
		f.RunClaimed(context.Background(), "k", "attempt", request.New(request.Options{Service: "s", Body: []byte("b")}))
		Eventually(func() int {
			clock.Advance(time.Second)
			return records.attemptCount()
		}, eventTimeout).Should(BeNumerically(">=", 6))
		records.mu.Lock()
		records.available = true
		records.mu.Unlock()
		Eventually(func() []*wire.FinishRequest {
			clock.Advance(time.Second)
			return records.recorded()
		}, eventTimeout).Should(HaveLen(1))
		clock.Advance(time.Minute)
		Expect(records.recorded()).To(HaveLen(1))
		Expect(records.recorded()[0].GetState()).To(Equal(int32(ledger.Done)))
		Expect(string(records.recorded()[0].GetAnswer())).To(Equal("answer"))
	})
})
