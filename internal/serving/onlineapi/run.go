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

// runRecorded claims r's key durably, runs r and records the outcome. If the key
// was claimed before, it returns the outcome of that claim instead.
func (f *API) runRecorded(ctx context.Context, c *call.Call, s *services.Service, r *request.Request) (answer.Response, *result.Error) {
	key := recordKey(c.Organisation().Name, r.Key())
	if f.outcomeRetrier.full() {
		return answer.Response{}, result.New(result.StoreUnavailable, "too many outcomes wait for the store").WithRetry(time.Second)
	}
	fingerprint := r.Fingerprint()
	existing, failure := f.parts.Records.Claim(ctx, &wire.ClaimRequest{
		Key: key, Attempt: c.ID(), Owner: f.parts.Host, Fingerprint: fingerprint[:], Idempotent: r.Idempotent(),
		Request: wire.NewRunRequest(r, "", c.Now()), DeadlineInMs: r.Deadline().Sub(c.Now()).Milliseconds(),
		KeepMs: s.Retention().Milliseconds(),
	})
	if failure != nil {
		f.abandonClaim(key, c.ID(), failure)
		return answer.Response{}, failure
	}
	if existing != nil {
		return f.awaitEarlier(ctx, r, key, existing)
	}
	w, failure := answer.Collect(ctx, f.parts.Runner, r)
	return w, f.finish(key, c.ID(), w, failure)
}

// recordKey prefixes a caller's key with its organisation, so that equal keys of
// different organisations don't collide.
func recordKey(organisation, key string) string { return organisation + "/" + key }

// abandonClaim records a claim with an unknown outcome as not run. That is safe
// because the request was not sent and never will be under this attempt.
func (f *API) abandonClaim(key, attempt string, failure *result.Error) {
	if failure.Ran() == result.RanNo {
		return
	}
	f.outcomeRetrier.add(&wire.FinishRequest{
		Key: key, Attempt: attempt, State: int32(ledger.NotRun),
		Failure: wire.NewFailure(result.New(result.StoreUnavailable, "the claim was not confirmed in time")),
	})
}

// RunClaimed runs r, whose key is claimed by attempt, and records its outcome.
func (f *API) RunClaimed(ctx context.Context, key, attempt string, r *request.Request) {
	w, failure := answer.Collect(ctx, f.parts.Runner, r)
	_ = f.finish(key, attempt, w, failure)
}

// finishTimeout bounds one call that records an outcome.
const finishTimeout = 10 * time.Second

// finish records the outcome of a claimed run and returns the failure to answer
// with. An answer that can't be recorded now is sent to the caller all the same,
// as it is the only answer of the claimed request; recording is retried in the
// background.
func (f *API) finish(key, attempt string, w answer.Response, failure *result.Error) *result.Error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	in := &wire.FinishRequest{
		Key: key, Attempt: attempt, State: int32(stateOf(failure)),
		Status: int32(w.Status), ContentType: w.ContentType, Answer: w.Body, Failure: wire.NewFailure(failure),
	}
	if err := f.parts.Records.Finish(ctx, in); err != nil {
		f.parts.RecordEvent("record delayed", err.Error(), attempt, key)
		if mayRetryFinish(err) {
			f.outcomeRetrier.add(in)
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

// lookupInterval is the polling interval for the outcome of an earlier claim.
const lookupInterval = 200 * time.Millisecond

// awaitEarlier polls for the outcome of an earlier claim of the key until the
// request's deadline and returns it.
func (f *API) awaitEarlier(ctx context.Context, r *request.Request, key string, entry *wire.Entry) (answer.Response, *result.Error) {
	for ledger.State(entry.GetState()) == ledger.Claimed {
		if f.parts.Timer.Now().Add(lookupInterval).After(r.Deadline()) {
			return answer.Response{}, result.New(result.InProgress, "a request with this key is in progress").
				WithRan(result.RanMaybe).WithRetry(time.Second)
		}
		select {
		case <-ctx.Done():
			return answer.Response{}, result.New(result.Cancelled, "caller left").WithRan(result.RanMaybe)
		case <-time.After(lookupInterval):
		}
		if later, failure := f.parts.Records.Lookup(ctx, key); failure == nil {
			entry = later
		}
	}
	return answerOf(entry)
}

// answerOf returns the answer or the failure in a finished entry.
func answerOf(entry *wire.Entry) (answer.Response, *result.Error) {
	if ledger.State(entry.GetState()) == ledger.Done {
		return answer.Response{Status: int(entry.GetStatus()), ContentType: entry.GetContentType(), Body: entry.GetAnswer()}, nil
	}
	if failure := entry.GetFailure().Err(); failure != nil {
		return answer.Response{}, failure
	}
	return answer.Response{}, result.New(result.MayHaveRun, "the request may have run").WithRan(result.RanMaybe)
}

// getRequest returns the recorded entry of a key to the caller.
func (f *API) getRequest(ctx context.Context, c *call.Call) *result.Error {
	entry, failure := f.parts.Records.Lookup(ctx, recordKey(c.Organisation().Name, c.HTTP().Param("key")))
	if failure != nil {
		return failure
	}
	return c.WriteJSON(requestView(c.HTTP().Param("key"), entry))
}

// requestBody is the JSON format of a recorded request.
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
