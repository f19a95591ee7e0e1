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

// downRecords refuses outcomes until it is up.
type downRecords struct {
	mu       sync.Mutex
	up       bool
	finished []*wire.FinishRequest
	tries    int
}

var _ onlineapi.Records = (*downRecords)(nil)

func (r *downRecords) Claim(context.Context, *wire.ClaimRequest) (*wire.Entry, *result.Error) {
	return nil, nil
}

func (r *downRecords) Lookup(context.Context, string) (*wire.Entry, *result.Error) {
	return nil, result.New(result.NotFound, "no record")
}

func (r *downRecords) Finish(_ context.Context, in *wire.FinishRequest) *result.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries++
	if !r.up {
		return result.New(result.StoreUnavailable, "down")
	}
	r.finished = append(r.finished, in)
	return nil
}

func (r *downRecords) triesMade() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tries
}

func (r *downRecords) recorded() []*wire.FinishRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*wire.FinishRequest(nil), r.finished...)
}

// answering is a runner with one answer.
type answering struct{}

func (answering) Run(_ context.Context, _ *request.Request, sink request.Sink) *result.Error {
	_ = sink(request.Event{Kind: request.Started, Status: 200, ContentType: "text/plain"})
	_ = sink(request.Event{Kind: request.Data, Data: []byte("answer")})
	return nil
}

var _ = Describe("an outcome that can't be recorded", func() {
	const patience = 30 * time.Second

	It("is tried again until the records take it, once", func() {
		clock, records := timer.NewManual(time.Unix(1000, 0)), new(downRecords)
		f := onlineapi.New(onlineapi.Options{
			Host: "a", Timer: clock, Runner: answering{}, Records: records, RecordEvent: func(string, string, ...string) {},
		})
		f.RunClaimed(context.Background(), "k", "attempt", request.New(request.Options{Service: "s", Body: []byte("b")}))
		Eventually(func() int {
			clock.Advance(time.Second)
			return records.triesMade()
		}, patience).Should(BeNumerically(">=", 6))
		records.mu.Lock()
		records.up = true
		records.mu.Unlock()
		Eventually(func() []*wire.FinishRequest {
			clock.Advance(time.Second)
			return records.recorded()
		}, patience).Should(HaveLen(1))
		clock.Advance(time.Minute)
		Expect(records.recorded()).To(HaveLen(1))
		Expect(records.recorded()[0].GetState()).To(Equal(int32(ledger.Done)))
		Expect(string(records.recorded()[0].GetAnswer())).To(Equal("answer"))
	})
})
