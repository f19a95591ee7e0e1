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
	// firstSilence is how long a stream that can be resumed waits for its first
	// event before it moves, as a multiple of the objective.
	firstSilence = 2.0
	// pauseSilence is the same between events, as a share of the pause that is
	// still on time. It is below the time that the kernel takes to send a lost
	// packet again, several times what an engine takes for an event, and leaves
	// the next server time to read the prompt.
	pauseSilence = 0.25
	// readSize is the most read from a server at once.
	readSize = 32 << 10
)

// piece is what a reader of a server's answer got.
type piece struct {
	data []byte
	err  error
}

// read passes the body on in pieces until it ends or stop closes.
func read(body io.Reader, pieces chan<- piece, stop <-chan struct{}) {
	buffer := make([]byte, readSize)
	for {
		n, err := body.Read(buffer)
		p := piece{err: err}
		if n > 0 {
			p.data = append([]byte(nil), buffer[:n]...)
		}
		select {
		case pieces <- p:
		case <-stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// answer is the state of one stream to a caller across its servers.
type answer struct {
	f    *Forwarder
	call *exchange.Call
	out  ResponseWriter
	// begun says that the head went to the caller.
	begun bool
	// sequence is after the last event that went to the caller.
	sequence events.Sequence
	avoid    map[string]bool
	// sent counts the servers that may have got the call, unsent those that
	// certainly did not.
	sent, unsent int
	ran          result.Ran
	lastEvent    time.Time
}

var (
	errOrder = errors.New("its event is not the next one")
	// errCaller says that the caller takes no more; the server is not at fault.
	errCaller = errors.New("the caller takes no more")
)

// stream answers a call of numbered events.
func (f *Forwarder) stream(ctx context.Context, c *exchange.Call, out ResponseWriter) (bool, *result.Error) {
	a := &answer{f: f, call: c, out: out, avoid: make(map[string]bool), ran: result.RanNo}
	next, failure := f.place(c, a.avoid, patience(c))
	if failure != nil {
		return false, failure
	}
	for {
		a.avoid[next.Server.ID] = true
		one := f.send(ctx, c, next, a.resume())
		if one.err != nil && !one.sent {
			a.unsent++
		} else {
			a.sent++
		}
		if one.sent {
			a.ran = a.ran.Or(result.RanMaybe)
		}
		failure = a.run(ctx, one)
		if failure == nil {
			return a.begun, nil
		}
		a.ran = a.ran.Or(failure.Ran())
		if ctx.Err() != nil || failure.Code() == result.Cancelled || !a.mayMove(one) {
			return a.begun, failure.WithRan(a.ran)
		}
		wait := patience(c)
		if a.begun {
			// Part of the answer is out; a late rest is better than none.
			wait = patienceMost
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
		f.log.Info("moved", "request", c.ID, "from", one.server.ID, "to", choice.Server.ID, "after_event", last, "cause", failure.Error())
	}
}

func (a *answer) resume() exchange.Resume {
	last, any := a.sequence.Last()
	return exchange.Resume{After: last, Set: any}
}

// mayMove reports whether the call may go to another server after this attempt.
func (a *answer) mayMove(one *attempt) bool {
	if a.unsent >= unsentTries || a.sent >= a.call.Route.Attempts {
		return false
	}
	return !one.sent || a.call.Route.MayRepeat()
}

// run passes one server's events to the caller.
func (a *answer) run(ctx context.Context, one *attempt) *result.Error {
	f := a.f
	if one.err != nil || one.reply.NotRun {
		f.end(one, f.outcomeOf(ctx, one))
		return unanswered(one)
	}
	if one.reply.Status != http.StatusOK {
		return a.runFailure(ctx, one)
	}
	pieces, stop := make(chan piece), make(chan struct{})
	go read(one.reply.Body, pieces, stop)
	defer close(stop)
	var splitter events.Splitter
	a.lastEvent = f.timer.Now()
	silence := time.NewTimer(a.silence())
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			f.end(one, scheduler.Unknown)
			return result.New(result.Cancelled, "the caller left or its time passed").WithRan(result.RanYes)
		case <-silence.C:
			if a.mayMove(one) {
				f.end(one, scheduler.Unreachable)
				return result.New(result.BackendSilent, "server %s fell silent", one.server.ID).WithRan(result.RanYes)
			}
		case p := <-pieces:
			if err := a.pass(one, &splitter, p.data); err != nil {
				outcome := scheduler.Failed
				if errors.Is(err, errCaller) {
					outcome = scheduler.Unknown
				}
				f.end(one, outcome)
				return result.New(result.BackendFailed, "server %s: %v", one.server.ID, err).WithRan(result.RanYes)
			}
			switch {
			case p.err == nil:
				silence.Reset(a.silence())
			case errors.Is(p.err, io.EOF) && len(splitter.Remainder()) == 0:
				if !a.begun {
					// The caller has every event already; the head is still owed.
					a.out.WriteComplete(one.reply.Status, one.reply.Fields, nil)
				}
				f.end(one, scheduler.Completed)
				return nil
			default:
				f.end(one, scheduler.Failed)
				return result.New(result.BackendFailed, "server %s: stream broke off: %v", one.server.ID, p.err).WithRan(result.RanYes)
			}
		}
	}
}

// runFailure handles an answer that is not a stream.
func (a *answer) runFailure(ctx context.Context, one *attempt) *result.Error {
	f := a.f
	body, err := io.ReadAll(io.LimitReader(one.reply.Body, maxWhole))
	failure := result.New(result.BackendFailed, "server %s answered %d", one.server.ID, one.reply.Status).WithRan(result.RanYes)
	f.end(one, f.outcomeOf(ctx, one))
	if err != nil || a.begun || (one.reply.Status >= 500 && a.mayMove(one)) {
		return failure
	}
	a.out.WriteComplete(one.reply.Status, one.reply.Fields, body)
	return nil
}

func (a *answer) silence() time.Duration {
	if a.begun && a.call.Route.PauseObjective > 0 {
		return time.Duration(pauseSilence * float64(a.call.Route.PauseObjective))
	}
	return time.Duration(firstSilence * float64(max(a.call.Route.Objective, patienceMargin)))
}

// pass gives the whole events in data to the caller.
func (a *answer) pass(one *attempt, splitter *events.Splitter, data []byte) error {
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
			return errOrder
		}
		raw = append(raw, e.Raw...)
	}
	now := a.f.timer.Now()
	if a.begun {
		pauseSeconds.Update(now.Sub(a.lastEvent).Seconds())
	} else {
		firstSeconds.Update(now.Sub(a.call.Received).Seconds())
		a.begun = true
		a.out.WriteHeader(one.reply.Status, one.reply.Fields)
	}
	a.lastEvent = now
	if err := a.out.Write(raw); err != nil {
		return errCaller
	}
	return nil
}
