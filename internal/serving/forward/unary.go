package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is sent on.
	maxAnswerBytes = 16 << 20
	// hedgeDelayFactor times the route's latency objective is the delay after
	// which a repeatable call is also sent to a second server.
	hedgeDelayFactor = 0.5
)

// attemptResult is an attempt of a non-streamed call, with its answer read.
type attemptResult struct {
	*attempt
	body []byte
	// held is the memory of body.
	held *buffer.Answer
	// failure is nil if reply and body are the server's complete answer.
	failure *result.Error
	outcome scheduler.Outcome
	// refused is set if no server was picked. attempt is then nil. unable is set if
	// each other host that was asked could not help.
	refused, unable bool
}

// startAttempt places a call and, in the background, sends it and reads the
// complete answer. The result goes to done. It returns an error if no server
// could be picked. If another host has to pick it, that happens in the background
// too.
func (f *Forwarder) startAttempt(ctx context.Context, c *exchange.Call, avoid map[string]bool, r *reaching, done chan<- attemptResult) *result.Error {
	if cause := f.passOnCause(c, "", r); cause != "" && r.refused == nil && f.peers.Pick(nil) != "" {
		order := r.order("", avoid, slotWait(c), exchange.Resume{})
		go func() {
			a, failure, unable := f.passOn(ctx, c, order, cause, r.noteRunning)
			if a == nil {
				if failure == nil {
					failure = result.New(result.NoBackend, "there is no other host").WithRetry(noBackendRetryAfter)
				}
				done <- attemptResult{failure: failure, refused: true, unable: unable}
				return
			}
			done <- f.finishAttempt(ctx, c, a)
		}()
		return nil
	}
	if !r.mayTry() {
		return r.refused
	}
	choice, failure := f.place(ctx, c, "", avoid, slotWait(c))
	if failure != nil {
		return failure
	}
	avoid[choice.Server.ID] = true
	go func() { done <- f.finishAttempt(ctx, c, f.send(ctx, c, choice, exchange.Resume{})) }()
	return nil
}

// finishAttempt reads the complete answer of an attempt and ends it.
func (f *Forwarder) finishAttempt(ctx context.Context, c *exchange.Call, a *attempt) attemptResult {
	res := attemptResult{attempt: a}
	if res.err != nil || res.reply.NotRun {
		if res.err != nil && res.sent && ctx.Err() == nil {
			f.recordCutOff(ctx, c, a, res.err)
		}
		res.failure, res.outcome = unansweredError(a), f.outcomeOf(ctx, a)
		f.end(a, res.outcome)
		return res
	}
	body, held, err := f.readAnswer(ctx, c, a)
	res.held = held
	if err == nil && a.host == "" {
		f.suspects.Alive(a.server.Start(), a.started)
	}
	switch {
	case err == nil && f.perhapsCut(ctx, a, body):
		err = errUnframedEnd
	}
	switch {
	case err != nil:
		res.failure = result.New(result.BackendFailed, "server %s: answer broke off: %v", a.server.ID, err).WithRan(result.RanYes)
		res.outcome = scheduler.Failed
		if ctx.Err() != nil {
			res.outcome = scheduler.Unknown
		} else {
			f.recordCutOff(ctx, c, a, err)
		}
	case res.reply.Status >= 500:
		res.body, res.outcome = body, scheduler.Failed
	default:
		res.body, res.outcome = body, scheduler.Completed
		if a.host == "" {
			f.suspects.Answered(c, true)
			if a.choice.Wait == 0 && a.reply.Status == http.StatusOK {
				now := f.timer.Now()
				f.slots.RecordWhole(now, a.server, now.Sub(a.started))
			}
		}
	}
	f.end(a, res.outcome)
	return res
}

// readAnswer reads the body of an attempt's reply in memory of the host's budget, which
// is released when the answer is written or ctx ends, with the call, or at once after a
// failure.
func (f *Forwarder) readAnswer(ctx context.Context, c *exchange.Call, a *attempt) ([]byte, *buffer.Answer, error) {
	held := f.answers.Open(a.server.ID, a.cancel)
	body, err := held.ReadAll(a.reply.Body, maxAnswerBytes)
	if err != nil {
		f.log.Info("answer not read", "request", c.ID, "server", a.server.ID, "service", c.Service, "bytes", held.Bytes(), "broken_off", held.BrokenOff(), "cause", err.Error())
		held.Close()
		return nil, held, err
	}
	context.AfterFunc(ctx, held.Close)
	return body, held, nil
}

var errUnframedEnd = errors.New("it ended with its connection, perhaps early")

// perhapsCut reports whether an answer that was read to its end was cut off. Only
// the end of its connection ends an unframed answer, which a crash ends too. A
// successful one without a body shows nothing but its head.
func (f *Forwarder) perhapsCut(ctx context.Context, att *attempt, body []byte) bool {
	if !att.reply.Unframed {
		return false
	}
	// Another host has checked its server before it ended the reply as complete.
	return len(body) == 0 && att.reply.Status/100 == 2 || att.host == "" && f.servers.Down(context.WithoutCancel(ctx), att.server)
}

// writeAnswer writes a whole answer, whose memory out accounts for from then on. If only
// the end of its connection showed its end, the caller is shown no more.
func writeAnswer(out ResponseWriter, res *attemptResult) {
	res.held.Close()
	if res.reply.Unframed {
		out.WriteUnframed(res.reply.Status, res.reply.Fields, res.body)
		return
	}
	out.WriteComplete(res.reply.Status, res.reply.Fields, res.body)
}

// unansweredError returns the error for an attempt without a usable reply.
func unansweredError(att *attempt) *result.Error {
	switch {
	case att.err != nil && !att.sent:
		return result.New(result.NoBackend, "server %s: %v", att.server.ID, att.err).WithRetry(noBackendRetryAfter)
	case att.err != nil:
		return result.New(result.BackendFailed, "server %s: %v", att.server.ID, att.err).WithRan(result.RanMaybe)
	case att.reply.Unmet:
		return result.New(result.ExpectationUnmet, "server %s does not meet what the caller expects of it", att.server.ID).WithRetry(noBackendRetryAfter)
	}
	return result.New(result.Overloaded, "server %s has no room", att.server.ID).WithRetry(noBackendRetryAfter)
}

// serveUnary answers a call that is not a stream. The answer is read completely
// before any of it is sent on, so that a call whose answer is cut off can still
// be retried on another server.
func (f *Forwarder) serveUnary(ctx context.Context, c *exchange.Call, out ResponseWriter) *result.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	repeatable := c.Route.Kind == routes.Repeatable
	avoid := make(map[string]bool)
	// done is buffered for every attempt, so that none blocks after this function
	// has returned.
	done := make(chan attemptResult, c.Route.MaxAttempts+maxUnsentAttempts)
	sent, unsent, running := 0, 0, 0
	ran := result.RanNo
	var reach reaching
	start := func() *result.Error {
		if ran == result.RanNo {
			if failure := f.admission.Admit(c); failure != nil {
				return failure
			}
		}
		failure := f.startAttempt(ctx, c, avoid, &reach, done)
		if failure == nil {
			running, sent = running+1, sent+1
		}
		return failure
	}
	if failure := start(); failure != nil {
		return failure
	}
	hedgeTimer := time.NewTimer(time.Duration(hedgeDelayFactor * float64(c.Route.Objective)))
	defer hedgeTimer.Stop()
	var errorAnswer *attemptResult
	for {
		select {
		case <-ctx.Done():
			// The deferred cancel closes the connections, which ends the call
			// on the servers that still run it.
			return result.New(result.Cancelled, "the caller left or its time passed").WithRan(ran.Or(ranIfRunning(running)))
		case <-hedgeTimer.C:
			if repeatable && sent < c.Route.MaxAttempts {
				if start() == nil {
					retriedTotal.Inc()
					f.log.Info("sent beside", "request", c.ID, "tries", sent)
				}
			}
			continue
		case res := <-done:
			running--
			if res.refused {
				sent--
				if res.unable && reach.refused == nil {
					reach.refused = res.failure
					if start() == nil {
						continue
					}
				}
				if running > 0 {
					continue
				}
				if errorAnswer != nil {
					writeAnswer(out, errorAnswer)
					return nil
				}
				return res.failure.WithRan(ran)
			}
			reach.observe(res.attempt)
			if res.failure != nil {
				reach.avoidHost(res.attempt)
			}
			avoid[res.server.ID] = true
			if res.failure == nil && (res.outcome == scheduler.Completed || !repeatable) {
				writeAnswer(out, &res)
				return nil
			}
			if res.failure == nil {
				// The server's error answer is passed on if no attempt succeeds.
				errorAnswer, ran = &res, result.RanYes
			} else {
				ran = ran.Or(res.failure.Ran())
			}
			if !res.sent && res.err != nil {
				sent, unsent = sent-1, unsent+1
			}
			canRetry := repeatable || !res.sent
			if canRetry && sent < c.Route.MaxAttempts && unsent < maxUnsentAttempts {
				if start() == nil {
					retriedTotal.Inc()
					f.log.Info("sent again", "request", c.ID, "tries", sent, "after", res.server.ID)
					continue
				}
			}
			if running > 0 {
				continue
			}
			if errorAnswer != nil {
				writeAnswer(out, errorAnswer)
				return nil
			}
			return res.failure.WithRan(ran)
		}
	}
}

// ranIfRunning returns RanMaybe if attempts are still running, else RanNo.
func ranIfRunning(running int) result.Ran {
	if running > 0 {
		return result.RanMaybe
	}
	return result.RanNo
}
