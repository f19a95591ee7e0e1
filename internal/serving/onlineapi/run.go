package onlineapi

import (
	"context"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/wire"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/ledger"
	"github.com/kingcupquay/kingcupquay/internal/serving/answer"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// recorded runs r under a durable claim of its key and returns the recorded
// answer, be it of this run or of an earlier one.
func (f *API) recorded(ctx context.Context, c *call.Call, s *services.Service, r *request.Request) (answer.Response, *result.Error) {
	key := recordKey(c.Organisation().Name, r.Key())
	if f.late.full() {
		return answer.Response{}, result.New(result.StoreUnavailable, "too many outcomes wait for the store").WithRetry(time.Second)
	}
	fingerprint := r.Fingerprint()
	existing, failure := f.p.Records.Claim(ctx, &wire.ClaimRequest{
		Key: key, Attempt: c.ID(), Owner: f.p.Host, Fingerprint: fingerprint[:], Idempotent: r.Idempotent(),
		Request: wire.NewRunRequest(r, "", c.Now()), DeadlineInMs: r.Deadline().Sub(c.Now()).Milliseconds(),
		KeepMs: s.Retention().Milliseconds(),
	})
	if failure != nil {
		f.abandon(key, c.ID(), failure)
		return answer.Response{}, failure
	}
	if existing != nil {
		return f.earlier(ctx, r, key, existing)
	}
	w, failure := answer.Collect(ctx, f.p.Runner, r)
	return w, f.finish(key, c.ID(), w, failure)
}

// recordKey makes callers' keys of different organisations distinct.
func recordKey(organisation, key string) string { return organisation + "/" + key }

// abandon gives up a claim whose fate is unclear: the request was not sent and
// never will be under this attempt, so the record can say that it did not run.
func (f *API) abandon(key, attempt string, failure *result.Error) {
	if failure.Ran() == result.RanNo {
		return
	}
	f.late.add(&wire.FinishRequest{
		Key: key, Attempt: attempt, State: int32(ledger.NotRun),
		Failure: wire.NewFailure(result.New(result.StoreUnavailable, "the claim was not confirmed in time")),
	})
}

// RunClaimed runs r, whose key is claimed by attempt, and records its outcome.
func (f *API) RunClaimed(ctx context.Context, key, attempt string, r *request.Request) {
	w, failure := answer.Collect(ctx, f.p.Runner, r)
	_ = f.finish(key, attempt, w, failure)
}

const finishTimeout = 10 * time.Second

// finish records the outcome of a claimed run and returns the failure to
// answer with. An answer that can't be recorded now is still given: it is the
// one answer, and its record is tried again in the background.
func (f *API) finish(key, attempt string, w answer.Response, failure *result.Error) *result.Error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	in := &wire.FinishRequest{
		Key: key, Attempt: attempt, State: int32(stateOf(failure)),
		Status: int32(w.Status), ContentType: w.ContentType, Answer: w.Body, Failure: wire.NewFailure(failure),
	}
	if err := f.p.Records.Finish(ctx, in); err != nil {
		f.p.RecordEvent("record delayed", err.Error(), attempt, key)
		if unsettled(err) {
			f.late.add(in)
		}
	}
	return failure
}

func stateOf(failure *result.Error) ledger.State {
	switch {
	case failure == nil:
		return ledger.Done
	case failure.Ran() == result.RanNo:
		return ledger.NotRun
	case failure.Ran() == result.RanMaybe:
		return ledger.MayHaveRun
	}
	return ledger.Failed
}

const lookupInterval = 200 * time.Millisecond

// earlier answers with the outcome of an earlier claim of the key, waiting for
// it as long as the caller does.
func (f *API) earlier(ctx context.Context, r *request.Request, key string, entry *wire.Entry) (answer.Response, *result.Error) {
	for ledger.State(entry.GetState()) == ledger.Claimed {
		if f.p.Timer.Now().Add(lookupInterval).After(r.Deadline()) {
			return answer.Response{}, result.New(result.InProgress, "a request with this key is in progress").
				WithRan(result.RanMaybe).WithRetry(time.Second)
		}
		select {
		case <-ctx.Done():
			return answer.Response{}, result.New(result.Cancelled, "caller left").WithRan(result.RanMaybe)
		case <-time.After(lookupInterval):
		}
		if later, failure := f.p.Records.Lookup(ctx, key); failure == nil {
			entry = later
		}
	}
	return wholeOf(entry)
}

// wholeOf returns the answer in a final entry.
func wholeOf(entry *wire.Entry) (answer.Response, *result.Error) {
	if ledger.State(entry.GetState()) == ledger.Done {
		return answer.Response{Status: int(entry.GetStatus()), ContentType: entry.GetContentType(), Body: entry.GetAnswer()}, nil
	}
	if failure := entry.GetFailure().Err(); failure != nil {
		return answer.Response{}, failure
	}
	return answer.Response{}, result.New(result.MayHaveRun, "the request may have run").WithRan(result.RanMaybe)
}

// getRequest answers with the recorded outcome of a key.
func (f *API) getRequest(ctx context.Context, c *call.Call) *result.Error {
	entry, failure := f.p.Records.Lookup(ctx, recordKey(c.Organisation().Name, c.HTTP().Param("key")))
	if failure != nil {
		return failure
	}
	return c.WriteJSON(requestView(c.HTTP().Param("key"), entry))
}

// requestBody is what readers of a record get.
type requestBody struct {
	Key         string `json:"key"`
	RequestID   string `json:"request_id"`
	State       string `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Answer      string `json:"answer,omitempty"`
	Code        int    `json:"code,omitempty"`
	Message     string `json:"message,omitempty"`
	Ran         string `json:"ran,omitempty"`
}

func requestView(key string, entry *wire.Entry) requestBody {
	return requestBody{
		Key: key, RequestID: entry.GetAttempt(), State: ledger.State(entry.GetState()).String(),
		Status: int(entry.GetStatus()), ContentType: entry.GetContentType(), Answer: string(entry.GetAnswer()),
		Code: int(entry.GetFailure().GetCode()), Message: entry.GetFailure().GetMessage(), Ran: entry.GetFailure().GetRan(),
	}
}
