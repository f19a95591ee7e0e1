package forward

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

const (
	// maxWhole bounds the bytes of an answer that is read before it is given.
	maxWhole = 16 << 20
	// besideShare is the share of the objective after which a repeatable call
	// is sent to a second server beside the first.
	besideShare = 0.5
)

// finished is a try of a whole call with its answer read.
type finished struct {
	*attempt
	body []byte
	// failure is nil if reply and body are the server's whole answer.
	failure *result.Error
	outcome scheduler.Outcome
}

// try sends a call to one server and reads the whole answer.
func (f *Forwarder) try(ctx context.Context, c *exchange.Call, avoid map[string]bool, done chan<- finished) *result.Error {
	choice, failure := f.place(c, avoid, patience(c))
	if failure != nil {
		return failure
	}
	s := choice.Server
	avoid[s.ID] = true
	go func() {
		one := finished{attempt: f.send(ctx, c, choice, exchange.Resume{})}
		defer func() { done <- one }()
		if one.err != nil || one.reply.NotRun {
			one.failure, one.outcome = unanswered(one.attempt), f.outcomeOf(ctx, one.attempt)
			f.end(one.attempt, one.outcome)
			return
		}
		body, err := io.ReadAll(io.LimitReader(one.reply.Body, maxWhole+1))
		switch {
		case err == nil && len(body) > maxWhole:
			err = fmt.Errorf("it is larger than %d bytes", maxWhole)
			fallthrough
		case err != nil:
			one.failure = result.New(result.BackendFailed, "server %s: answer broke off: %v", s.ID, err).WithRan(result.RanYes)
			one.outcome = scheduler.Failed
			if ctx.Err() != nil {
				one.outcome = scheduler.Unknown
			}
		case one.reply.Status >= 500:
			one.body, one.outcome = body, scheduler.Failed
		default:
			one.body, one.outcome = body, scheduler.Completed
		}
		f.end(one.attempt, one.outcome)
	}()
	return nil
}

// unanswered is the failure of an attempt without a reply that can be given.
func unanswered(a *attempt) *result.Error {
	switch {
	case a.err != nil && !a.sent:
		return result.New(result.NoBackend, "server %s: %v", a.server.ID, a.err).WithRetry(noServerRetry)
	case a.err != nil:
		return result.New(result.BackendFailed, "server %s: %v", a.server.ID, a.err).WithRan(result.RanMaybe)
	}
	return result.New(result.Overloaded, "server %s has no room", a.server.ID).WithRetry(noServerRetry)
}

// whole answers a call that is not a stream. The answer is read whole before it
// is given, so that one that breaks off can be fetched from another server.
func (f *Forwarder) whole(ctx context.Context, c *exchange.Call, out ResponseWriter) *result.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	repeatable := c.Route.Kind == routes.Repeatable
	avoid := make(map[string]bool)
	// done has room for every try, so that none waits for a reader that left.
	done := make(chan finished, c.Route.Attempts+unsentTries)
	sent, unsent, running := 0, 0, 0
	ran := result.RanNo
	begin := func() *result.Error {
		failure := f.try(ctx, c, avoid, done)
		if failure == nil {
			running, sent = running+1, sent+1
		}
		return failure
	}
	if failure := begin(); failure != nil {
		return failure
	}
	beside := time.NewTimer(time.Duration(besideShare * float64(c.Route.Objective)))
	defer beside.Stop()
	var answered *finished
	for {
		select {
		case <-ctx.Done():
			// The servers that run it are told by the closing connections.
			return result.New(result.Cancelled, "the caller left or its time passed").WithRan(ran.Or(ranWhile(running)))
		case <-beside.C:
			if repeatable && sent < c.Route.Attempts {
				if begin() == nil {
					retriedTotal.Inc()
					f.log.Info("sent beside", "request", c.ID, "tries", sent)
				}
			}
			continue
		case one := <-done:
			running--
			if one.failure == nil && (one.outcome == scheduler.Completed || !repeatable) {
				out.WriteComplete(one.reply.Status, one.reply.Fields, one.body)
				return nil
			}
			if one.failure == nil {
				// A failure of the server's own is given if nothing better comes.
				answered, ran = &one, result.RanYes
			} else {
				ran = ran.Or(one.failure.Ran())
			}
			if !one.sent && one.err != nil {
				sent, unsent = sent-1, unsent+1
			}
			mayAgain := repeatable || !one.sent
			if mayAgain && sent < c.Route.Attempts && unsent < unsentTries {
				if begin() == nil {
					retriedTotal.Inc()
					f.log.Info("sent again", "request", c.ID, "tries", sent, "after", one.server.ID)
					continue
				}
			}
			if running > 0 {
				continue
			}
			if answered != nil {
				out.WriteComplete(answered.reply.Status, answered.reply.Fields, answered.body)
				return nil
			}
			return one.failure.WithRan(ran)
		}
	}
}

func ranWhile(running int) result.Ran {
	if running > 0 {
		return result.RanMaybe
	}
	return result.RanNo
}
