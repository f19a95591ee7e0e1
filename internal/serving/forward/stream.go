package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

const (
	// firstEventTimeoutFactor times the route's objective is how long a stream
	// waits for its first event before it moves to another server.
	firstEventTimeoutFactor = 2.0
	// pauseTimeoutFactor times the route's pause objective is the same limit
	// between events. It is shorter than the kernel's retransmission timeout,
	// several times longer than an engine takes to produce an event, and leaves
	// the next server time to process the prompt.
	pauseTimeoutFactor = 0.25
	// readSize bounds one read from a server, in bytes.
	readSize = 32 << 10
)

// chunk is the result of one read of a server's answer.
type chunk struct {
	data []byte
	err  error
}

// readChunks sends what it reads from body to chunks until the body ends or stop
// is closed.
func readChunks(body io.Reader, chunks chan<- chunk, stop <-chan struct{}) {
	buffer := make([]byte, readSize)
	for {
		n, err := body.Read(buffer)
		next := chunk{err: err}
		if n > 0 {
			next.data = append([]byte(nil), buffer[:n]...)
		}
		select {
		case chunks <- next:
		case <-stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// streamSession is the state of one stream to a caller across the servers that
// produce it.
type streamSession struct {
	f    *Forwarder
	call *exchange.Call
	out  ResponseWriter
	// begun is set once the response head was sent to the caller.
	begun bool
	// sequence holds the number of the last event passed to the caller.
	sequence events.Sequence
	// avoid holds the ids of the servers already tried.
	avoid map[string]bool
	// sent counts the servers that may have received the call, unsent those
	// that certainly did not.
	sent, unsent int
	ran          result.Ran
	lastEvent    time.Time
}

var (
	errOutOfOrder = errors.New("its event is not the next one")
	// errCallerGone is a failed write to the caller, not a fault of the server.
	errCallerGone = errors.New("the caller takes no more")
)

// serveStream answers a call with a stream of numbered events.
func (f *Forwarder) serveStream(ctx context.Context, c *exchange.Call, out ResponseWriter) (bool, *result.Error) {
	a := &streamSession{f: f, call: c, out: out, avoid: make(map[string]bool), ran: result.RanNo}
	next, failure := f.place(c, a.avoid, slotWait(c))
	if failure != nil {
		return false, failure
	}
	for {
		a.avoid[next.Server.ID] = true
		att := f.send(ctx, c, next, a.resume())
		if att.err != nil && !att.sent {
			a.unsent++
		} else {
			a.sent++
		}
		if att.sent {
			a.ran = a.ran.Or(result.RanMaybe)
		}
		failure = a.relay(ctx, att)
		if failure == nil {
			return a.begun, nil
		}
		a.ran = a.ran.Or(failure.Ran())
		if ctx.Err() != nil || failure.Code() == result.Cancelled || !a.canFailOver(att) {
			return a.begun, failure.WithRan(a.ran)
		}
		wait := slotWait(c)
		if a.begun {
			// Part of the answer was sent already; finishing it late is better
			// than aborting it.
			wait = maxSlotWait
		}
		choice, refusal := f.place(c, a.avoid, wait)
		if refusal != nil {
			return a.begun, failure.WithRan(a.ran).WithRetry(refusal.RetryAfter())
		}
		next = choice
		retriedTotal.Inc()
		last, resumed := a.sequence.Last()
		if resumed {
			resumedTotal.Inc()
		}
		f.log.Info("moved", "request", c.ID, "from", att.server.ID, "to", choice.Server.ID, "after_event", last, "cause", failure.Error())
	}
}

// resume returns the position from which the next server must continue.
func (a *streamSession) resume() exchange.Resume {
	last, started := a.sequence.Last()
	return exchange.Resume{After: last, Set: started}
}

// canFailOver reports whether the call may go to another server after att.
func (a *streamSession) canFailOver(att *attempt) bool {
	if a.unsent >= maxUnsentAttempts || a.sent >= a.call.Route.Attempts {
		return false
	}
	return !att.sent || a.call.Route.MayRepeat()
}

// relay passes one server's events to the caller and ends the attempt. It
// returns nil if the answer is complete.
func (a *streamSession) relay(ctx context.Context, att *attempt) *result.Error {
	f := a.f
	if att.err != nil || att.reply.NotRun {
		f.end(att, f.outcomeOf(ctx, att))
		return unansweredError(att)
	}
	if att.reply.Status != http.StatusOK {
		return a.handleErrorStatus(ctx, att)
	}
	chunks, stop := make(chan chunk), make(chan struct{})
	go readChunks(att.reply.Body, chunks, stop)
	defer close(stop)
	var splitter events.Splitter
	a.lastEvent = f.timer.Now()
	idleTimeout := time.NewTimer(a.idleTimeout())
	defer idleTimeout.Stop()
	for {
		select {
		case <-ctx.Done():
			f.end(att, scheduler.Unknown)
			return result.New(result.Cancelled, "the caller left or its time passed").WithRan(result.RanYes)
		case <-idleTimeout.C:
			if a.canFailOver(att) {
				f.end(att, scheduler.Unreachable)
				return result.New(result.BackendSilent, "server %s fell silent", att.server.ID).WithRan(result.RanYes)
			}
		case next := <-chunks:
			if err := a.deliver(att, &splitter, next.data); err != nil {
				outcome := scheduler.Failed
				if errors.Is(err, errCallerGone) {
					outcome = scheduler.Unknown
				}
				f.end(att, outcome)
				return result.New(result.BackendFailed, "server %s: %v", att.server.ID, err).WithRan(result.RanYes)
			}
			switch {
			case next.err == nil:
				idleTimeout.Reset(a.idleTimeout())
			case errors.Is(next.err, io.EOF) && len(splitter.Remainder()) == 0:
				if !a.begun {
					// The server sent no events, so no head was sent yet.
					a.out.WriteComplete(att.reply.Status, att.reply.Fields, nil)
				}
				f.end(att, scheduler.Completed)
				return nil
			default:
				f.end(att, scheduler.Failed)
				return result.New(result.BackendFailed, "server %s: stream broke off: %v", att.server.ID, next.err).WithRan(result.RanYes)
			}
		}
	}
}

// handleErrorStatus handles an answer with a status other than 200. It returns
// nil if it passed the answer on to the caller.
func (a *streamSession) handleErrorStatus(ctx context.Context, att *attempt) *result.Error {
	f := a.f
	body, err := io.ReadAll(io.LimitReader(att.reply.Body, maxAnswerBytes))
	failure := result.New(result.BackendFailed, "server %s answered %d", att.server.ID, att.reply.Status).WithRan(result.RanYes)
	f.end(att, f.outcomeOf(ctx, att))
	if err != nil || a.begun || (att.reply.Status >= 500 && a.canFailOver(att)) {
		return failure
	}
	a.out.WriteComplete(att.reply.Status, att.reply.Fields, body)
	return nil
}

// idleTimeout returns how long the server may stay silent before the stream
// moves to another server, if it may move.
func (a *streamSession) idleTimeout() time.Duration {
	if a.begun && a.call.Route.PauseObjective > 0 {
		return time.Duration(pauseTimeoutFactor * float64(a.call.Route.PauseObjective))
	}
	return time.Duration(firstEventTimeoutFactor * float64(max(a.call.Route.Objective, slotWaitMargin)))
}

// deliver passes the events that data completes to the caller, after checking
// that their numbers are consecutive.
func (a *streamSession) deliver(att *attempt, splitter *events.Splitter, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	found, err := splitter.Add(data)
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return nil
	}
	var raw []byte
	for _, e := range found {
		if !a.sequence.Advance(e) {
			return errOutOfOrder
		}
		raw = append(raw, e.Raw...)
	}
	now := a.f.timer.Now()
	if a.begun {
		pauseSeconds.Update(now.Sub(a.lastEvent).Seconds())
	} else {
		firstSeconds.Update(now.Sub(a.call.Received).Seconds())
		a.begun = true
		a.out.WriteHeader(att.reply.Status, att.reply.Fields)
	}
	a.lastEvent = now
	if err := a.out.Write(raw); err != nil {
		return errCallerGone
	}
	return nil
}
