package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/events"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
	"github.com/kingcupquay/kingcupquay/internal/serving/silence"
)

const (
	// firstEventTimeoutFactor times the route's latency objective is how long a
	// stream waits for its first event before it moves to another server.
	firstEventTimeoutFactor = 2.0
	// pauseTimeoutFactor times the route's pause objective is when it is first
	// decided between events whether the stream moves; see package silence. It is
	// shorter than the kernel's retransmission timeout, several times longer than an
	// engine takes to produce an event, and leaves the next server time to process
	// the prompt.
	pauseTimeoutFactor = 0.25
	// slowWrite is the time from which a write to the caller delays the events of the
	// server, so that they say nothing about it.
	slowWrite = 5 * time.Millisecond
	// overlap is how long a silent server keeps a stream after another one was asked to
	// go on with it. A refusal comes sooner, and no two servers may work on it for long.
	overlap = 200 * time.Millisecond
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
	forwarder *Forwarder
	call      *exchange.Call
	out       ResponseWriter
	// callerDeadline is when the caller stops waiting, also by taking the stream up
	// again; zero if it does not say so.
	callerDeadline time.Time
	// begun is set once the response head was sent to the caller.
	begun bool
	// sequence holds the number of the last event passed to the caller.
	sequence events.Sequence
	// software is the version of the server that brought the stream's first event;
	// bound is set from then on, and only servers with that version may go on.
	software string
	bound    bool
	// avoid holds the ids of the servers already tried.
	avoid map[string]bool
	// sent counts the servers that may have received the call, unsent those that certainly
	// did not, and those that refused a begun stream that is at no other server: its caller
	// can't be told of a refusal.
	sent, unsent int
	ran          result.Ran
	lastEvent    time.Time
	reach        reaching
	// wait is how long the call may wait for a slot until the stream has begun.
	wait time.Duration
	// next is the next attempt if it began before the one before it ended.
	next *attempt
	// stayed is set once no other server took a stream that fell silent.
	stayed bool
	// cutEvents and cutAfter are the most events, and the longest time, after which an
	// attempt broke off.
	cutEvents int
	cutAfter  time.Duration
}

var (
	errOutOfOrder = errors.New("its event is not the next one")
	// errCallerGone means that a write to the caller failed. It must not count as
	// a failure of the server.
	errCallerGone = errors.New("the caller takes no more")
)

// serveStream answers a call with a stream of numbered events.
func (f *Forwarder) serveStream(ctx context.Context, c *exchange.Call, callerDeadline time.Time, out ResponseWriter) (bool, *result.Error) {
	s := &streamSession{forwarder: f, call: c, callerDeadline: callerDeadline, out: out, avoid: make(map[string]bool), ran: result.RanNo}
	s.wait = slotWait(c)
	if c.TakeUp != nil {
		if failure := s.takeUp(ctx); failure != nil {
			return false, failure
		}
		// The caller has a part of the stream, and fewer servers may go on with it.
		s.wait = maxSlotWait
	}
	defer s.release()
	att, failure := s.start(ctx)
	if failure != nil {
		return false, failure
	}
	for {
		s.count(att)
		if s.begun && att.err == nil && att.reply.NotRun {
			s.sent, s.unsent = s.sent-1, s.unsent+1
		}
		failure = s.relay(ctx, att)
		if failure == nil {
			return s.begun, nil
		}
		s.ran = s.ran.Or(failure.Ran())
		s.reach.avoidHost(att)
		s.cutEvents, s.cutAfter = max(s.cutEvents, att.events), max(s.cutAfter, f.timer.Now().Sub(att.started))
		if ctx.Err() != nil || failure.Code() == result.Cancelled || !s.canFailOver(att) {
			return s.begun, failure.WithRan(s.ran)
		}
		next, refusal := s.start(ctx)
		if refusal != nil {
			f.log.Info("not moved", "request", c.ID, "from", att.server.ID, "software", s.software, "cause", refusal.Error())
			return s.begun, failure.WithRan(s.ran).WithRetry(refusal.RetryAfter())
		}
		retriedTotal.Inc()
		last, resumed := s.sequence.Last()
		if resumed {
			resumedTotal.Inc()
		}
		f.log.Info("moved", "request", c.ID, "from", att.server.ID, "to", next.server.ID, "after_event", last,
			"from_software", att.server.SoftwareVersion, "to_software", next.server.SoftwareVersion, "cause", failure.Error())
		att = next
	}
}

// count counts an attempt whose server has got the call or was not reached.
func (s *streamSession) count(att *attempt) {
	s.avoid[att.server.ID] = true
	s.reach.observe(att)
	if att.err != nil && !att.sent {
		s.unsent++
	} else {
		s.sent++
	}
	if att.sent {
		s.ran = s.ran.Or(result.RanMaybe)
	}
}

// provesSound reports whether an attempt that ended well proves the body to be sound: it
// made the whole answer, or got further than each attempt that broke off, by its events
// and by its time. A body that crashes servers at some point of their runs had crashed
// this one, too.
func (s *streamSession) provesSound(att *attempt) bool {
	if !att.resumed {
		return true
	}
	return s.call.TakeUp == nil && att.events >= s.cutEvents && s.forwarder.timer.Now().Sub(att.started) >= s.cutAfter
}

// takeUp binds the stream to the software version that began it. It returns an
// error, with result.RanNo, if that is not known.
func (s *streamSession) takeUp(ctx context.Context) *result.Error {
	c := s.call
	began, known := s.forwarder.origins.Find(ctx, c)
	if !known {
		return result.New(result.VersionUnavailable, "the software version that began the stream is not known").WithRetry(noBackendRetryAfter)
	}
	if c.Route.Allows(began.Service) {
		c.Service = began.Service
	}
	s.bound, s.software = true, began.Software
	s.sequence = events.StartAfter(c.TakeUp.After)
	return nil
}

// maxWait returns how long the next attempt may wait for a slot. Once part of the
// answer was sent, finishing it late is better than aborting it.
func (s *streamSession) maxWait() time.Duration {
	if s.begun {
		return max(maxSlotWait, s.forwarder.remaining(s.call))
	}
	return s.wait
}

// maxMoveWait is maxWait for a stream whose server is silent but may go on: a longer wait
// than it has been silent, or than makes the answer late, is no gain.
func (s *streamSession) maxMoveWait() time.Duration {
	return min(s.maxWait(), max(s.call.Route.PauseObjective, s.forwarder.timer.Now().Sub(s.lastEvent)))
}

// start picks the next server of the stream and sends the call to it, or has
// another host do so.
func (s *streamSession) start(ctx context.Context) (*attempt, *result.Error) {
	if next := s.next; next != nil {
		s.next = nil
		return next, nil
	}
	if s.bound && s.software == "" {
		return nil, result.New(result.VersionUnavailable, "the software version that began the stream is not known")
	}
	f := s.forwarder
	if s.ran == result.RanNo {
		if failure := f.admission.Admit(s.call); failure != nil {
			return nil, failure
		}
	}
	if cause := f.passOnCause(s.call, s.software, &s.reach); cause != "" && s.reach.refused == nil {
		a, failure, unable := s.passOn(ctx, cause, s.maxWait(), func(string, string) {})
		if unable {
			s.reach.refused = failure
		} else if a != nil || failure != nil {
			return a, failure
		}
	}
	if !s.reach.mayTry() {
		return nil, s.reach.refused
	}
	choice, failure := f.place(ctx, s.call, s.software, s.avoid, s.maxWait())
	if failure != nil {
		return nil, failure
	}
	return s.send(ctx, choice), nil
}

// send sends the call to a server that place picked.
func (s *streamSession) send(ctx context.Context, choice scheduler.Choice) *attempt {
	if s.call.Route.MayRepeat() && s.sent+1 < s.call.Route.MaxAttempts {
		return s.forwarder.sendUnlessCutOff(ctx, s.call, choice, s.resume(), s.idleTimeout())
	}
	return s.forwarder.send(ctx, s.call, choice, s.resume())
}

// passOn has another host carry out the next attempt; see Forwarder.passOn.
func (s *streamSession) passOn(ctx context.Context, cause string, maxWait time.Duration, note func(host, server string)) (a *attempt, failure *result.Error, unable bool) {
	order := s.reach.order(s.software, s.avoid, maxWait, s.resume())
	order.Begun = s.begun
	return s.forwarder.passOn(ctx, s.call, order, cause, note)
}

// passOnCause returns why another host is to carry out the next attempt, "" if this
// one is.
func (s *streamSession) passOnCause() string {
	if s.reach.refused != nil {
		return ""
	}
	return s.forwarder.passOnCause(s.call, s.software, &s.reach)
}

// tryPassOn is passOn for a stream that stays where it is if no host takes it. It calls
// asked before it asks a host, those before having done nothing.
func (s *streamSession) tryPassOn(ctx context.Context, cause string, asked func()) *attempt {
	a, refused, unable := s.passOn(ctx, cause, s.maxMoveWait(), func(string, string) { asked() })
	if unable {
		s.reach.refused = refused
	}
	return a
}

// search looks for a place for the next attempt while the server of the present one is
// silent. Its zero value is none.
type search struct {
	found  chan place
	cancel context.CancelFunc
}

// place is what a search found.
type place struct {
	choice  scheduler.Choice
	refusal *result.Error
}

// search starts a search for a place.
func (s *streamSession) search(ctx context.Context) search {
	ctx, cancel := context.WithCancel(ctx)
	found := make(chan place, 1)
	software, avoid, wait := s.software, maps.Clone(s.avoid), s.maxMoveWait()
	go func() {
		choice, refusal := s.forwarder.place(ctx, s.call, software, avoid, wait)
		found <- place{choice, refusal}
	}()
	return search{found, cancel}
}

// abandon ends a search, if there is one, and gives back what it finds.
func (s *streamSession) abandon(search *search) {
	if search.found == nil {
		return
	}
	search.cancel()
	found := search.found
	search.found = nil
	go func() {
		if p := <-found; p.refusal == nil {
			s.forwarder.slots.EndOnline(s.forwarder.timer.Now(), p.choice, 0, scheduler.Unknown)
		}
	}()
}

// leave begins the next attempt of a stream whose server fell silent, by open, and
// reports whether the stream left that server: while no other takes the stream, it may
// still go on. The attempt there ends as soon as another server takes the stream, or
// overlap after that was asked. open calls asked when it asks another one instead.
func (s *streamSession) leave(ctx context.Context, att *attempt, open func(asked func()) *attempt) bool {
	s.reach.avoidHost(att)
	opened, askedAgain := make(chan *attempt, 1), make(chan struct{}, 1)
	go func() {
		opened <- open(func() {
			select {
			case askedAgain <- struct{}{}:
			default:
			}
		})
	}()
	overlapTimer := time.NewTimer(overlap)
	defer overlapTimer.Stop()
	var next *attempt
	for isOpen := false; !isOpen; {
		select {
		case next = <-opened:
			isOpen = true
		case <-askedAgain:
			overlapTimer.Reset(overlap)
		case <-overlapTimer.C:
			s.forwarder.end(att, scheduler.Unreachable)
			s.next = <-opened
			return true
		}
	}
	switch {
	case next == nil:
		s.stay(att, result.New(result.NoBackend, "no other host takes it"))
		return false
	case !s.takes(next):
		s.count(next)
		if next.err != nil && next.sent && ctx.Err() == nil && !errors.Is(next.err, errCutOff) {
			s.forwarder.recordCutOff(ctx, s.call, next, next.err)
		}
		outcome, cause := s.forwarder.outcomeOf(ctx, next), unansweredError(next)
		if next.err == nil && !next.reply.NotRun {
			cause = result.New(result.BackendFailed, "server %s answered %d without a stream of events", next.server.ID, next.reply.Status)
			if next.reply.Status == http.StatusOK {
				outcome = scheduler.Failed
			}
		}
		s.forwarder.end(next, outcome)
		s.reach.avoidHost(next)
		s.stay(att, cause)
		return false
	}
	s.forwarder.end(att, scheduler.Unreachable)
	s.next, s.stayed = next, false
	return true
}

// takes reports whether the server of an attempt goes on with the stream, or has answered
// it with an error that is the caller's.
func (s *streamSession) takes(att *attempt) bool {
	switch {
	case att.err != nil || att.reply.NotRun:
		return false
	case att.reply.Status == http.StatusOK:
		return att.reply.EventStream
	}
	return !s.begun && att.reply.Status < http.StatusInternalServerError
}

// release ends an attempt that began and was not relayed.
func (s *streamSession) release() {
	if s.next != nil {
		s.forwarder.end(s.next, scheduler.Unknown)
	}
}

// stay logs, once until the stream moves, why it stays with its silent server.
func (s *streamSession) stay(att *attempt, cause *result.Error) {
	if !s.stayed {
		s.forwarder.log.Info("stays with a silent server", "request", s.call.ID, "server", att.server.ID, "software", s.software, "cause", cause.Error())
	}
	s.stayed = true
}

// hasOther reports whether a server that was not tried may go on with the stream.
func (s *streamSession) hasOther() bool {
	if !s.bound {
		return true
	}
	return s.software != "" && slices.ContainsFunc(s.forwarder.directory.UsableWith(s.call.Service, s.software), func(b backend.Server) bool { return !s.avoid[b.ID] })
}

// resume returns the position from which the next server must continue.
func (s *streamSession) resume() exchange.Resume {
	last, started := s.sequence.Last()
	return exchange.Resume{After: last, Set: started}
}

// canFailOver reports whether the call may go to another server after att.
func (s *streamSession) canFailOver(att *attempt) bool {
	if s.unsent >= maxUnsentAttempts || s.sent >= s.call.Route.MaxAttempts {
		return false
	}
	return !att.sent || s.call.Route.MayRepeat()
}

// relay passes one server's events to the caller and ends the attempt. It
// returns nil if the answer is complete or an error answer was passed on.
func (s *streamSession) relay(ctx context.Context, att *attempt) *result.Error {
	f := s.forwarder
	if att.err != nil || att.reply.NotRun {
		if att.err != nil && att.sent && ctx.Err() == nil && !errors.Is(att.err, errCutOff) {
			f.recordCutOff(ctx, s.call, att, att.err)
		}
		f.end(att, f.outcomeOf(ctx, att))
		return unansweredError(att)
	}
	if att.reply.Status != http.StatusOK {
		return s.handleErrorStatus(ctx, att)
	}
	if !att.reply.EventStream {
		f.end(att, scheduler.Failed)
		return result.New(result.BackendFailed, "server %s answered %d without a stream of events", att.server.ID, att.reply.Status).WithRan(result.RanYes)
	}
	chunks, stop := make(chan chunk), make(chan struct{})
	go readChunks(att.reply.Body, chunks, stop)
	defer close(stop)
	var splitter events.Splitter
	held := f.answers.Open(att.server.ID, att.cancel)
	defer held.Close()
	s.lastEvent = f.timer.Now()
	idleTimer := time.NewTimer(s.idleTimeout())
	defer idleTimer.Stop()
	var searching search
	defer s.abandon(&searching)
	// waited is set once the stream stayed with the silent server by package silence.
	waited := false
	for {
		select {
		case <-ctx.Done():
			f.end(att, scheduler.Unknown)
			return result.New(result.Cancelled, "the caller left or its time passed").WithRan(result.RanYes)
		case <-idleTimer.C:
			if !s.canFailOver(att) {
				continue
			}
			if wait := s.patience(att); wait > 0 {
				waited = true
				idleTimer.Reset(wait)
				continue
			}
			if !s.hasOther() {
				idleTimer.Reset(s.idleTimeout())
				continue
			}
			cause := s.passOnCause()
			if cause == "" {
				searching = s.search(ctx)
				continue
			}
			// A place at another host's servers can't be taken before.
			if s.leave(ctx, att, func(asked func()) *attempt { return s.tryPassOn(ctx, cause, asked) }) {
				return silent(att)
			}
			idleTimer.Reset(s.idleTimeout())
		case p := <-searching.found:
			searching.cancel()
			searching.found = nil
			if p.refusal != nil {
				s.stay(att, p.refusal)
			} else if s.leave(ctx, att, func(func()) *attempt { return s.send(ctx, p.choice) }) {
				return silent(att)
			}
			s.reach.forgetRefusal()
			idleTimer.Reset(s.idleTimeout())
		case next := <-chunks:
			// The server goes on.
			if waited && next.err == nil {
				waitedTotal.Inc()
			}
			waited = false
			s.abandon(&searching)
			s.reach.forgetRefusal()
			err := s.deliver(att, &splitter, next.data)
			if err == nil {
				err = held.Resize(len(splitter.Remainder()))
			}
			if err != nil {
				outcome := scheduler.Failed
				if errors.Is(err, errCallerGone) {
					outcome = scheduler.Unknown
				}
				f.end(att, outcome)
				return result.New(result.BackendFailed, "server %s: %v", att.server.ID, err).WithRan(result.RanYes)
			}
			switch {
			case next.err == nil:
				idleTimer.Reset(s.idleTimeout())
			case errors.Is(next.err, io.EOF) && len(splitter.Remainder()) == 0 && !s.endedEarly(ctx, att):
				if !s.begun {
					// The server sent no events, so no head was sent yet.
					s.out.WriteComplete(att.reply.Status, att.reply.Fields, nil)
				}
				f.end(att, scheduler.Completed)
				if att.host == "" {
					f.suspects.Answered(s.call, s.provesSound(att))
				}
				return nil
			default:
				if ctx.Err() == nil {
					f.recordCutOff(ctx, s.call, att, next.err)
				}
				f.end(att, scheduler.Failed)
				return result.New(result.BackendFailed, "server %s: stream broke off: %v", att.server.ID, next.err).WithRan(result.RanYes)
			}
		}
	}
}

// silent returns the failure of an attempt whose server fell silent.
func silent(att *attempt) *result.Error {
	return result.New(result.BackendSilent, "server %s fell silent", att.server.ID).WithRan(result.RanYes)
}

// endedEarly reports whether an answer that ended without an error may have been
// cut off. Only the end of its connection ends an unframed answer, and a crash
// looks the same. Without any event it shows nothing but its head, so that not
// even the end of a stream without events left can be told from a cut.
func (s *streamSession) endedEarly(ctx context.Context, att *attempt) bool {
	if !att.reply.Unframed {
		return false
	}
	// Another host has checked its server before it ended the reply as complete.
	return att.events == 0 || att.host == "" && s.forwarder.servers.Down(context.WithoutCancel(ctx), att.server)
}

// handleErrorStatus handles an answer with a status other than 200. It returns
// nil if it passed the answer on to the caller.
func (s *streamSession) handleErrorStatus(ctx context.Context, att *attempt) *result.Error {
	f := s.forwarder
	failure := result.New(result.BackendFailed, "server %s answered %d", att.server.ID, att.reply.Status).WithRan(result.RanYes)
	if s.begun || (att.reply.Status >= 500 && s.canFailOver(att)) {
		// The body is of no use, and may have no end.
		f.end(att, f.outcomeOf(ctx, att))
		return failure
	}
	body, held, err := f.readAnswer(ctx, s.call, att)
	f.end(att, f.outcomeOf(ctx, att))
	if err != nil {
		return failure
	}
	writeAnswer(s.out, &attemptResult{attempt: att, body: body, held: held})
	return nil
}

// idleTimeout returns how long the server may stay silent before the stream
// moves to another server, if it may move.
func (s *streamSession) idleTimeout() time.Duration {
	if s.begun && s.call.Route.PauseObjective > 0 {
		return time.Duration(pauseTimeoutFactor * float64(s.call.Route.PauseObjective))
	}
	return time.Duration(firstEventTimeoutFactor * float64(max(s.call.Route.Objective, slotWaitMargin)))
}

// patience returns how much longer the stream stays with its silent server; see package
// silence. What other hosts have at the server is not known here.
func (s *streamSession) patience(att *attempt) time.Duration {
	pause := s.call.Route.PauseObjective
	if !s.begun || pause <= 0 || att.host != "" {
		return 0
	}
	f := s.forwarder
	now := f.timer.Now()
	silent := now.Sub(s.lastEvent)
	expected := f.slots.Expect(now, att.server)
	state := silence.Stream{Silent: silent, ServerSilent: min(silent, now.Sub(f.slots.LastEvent(att.server.ID))), Pause: pause, Step: expected.Step, First: expected.First}
	if att.events == 0 {
		// The prompt is being processed, which takes part of the time to the first event
		// of a request, and the stream has been silent before.
		state.Step = expected.First / 2
	}
	return state.Patience()
}

// deliver passes the events that data completes to the caller, after checking
// that their numbers are consecutive.
func (s *streamSession) deliver(att *attempt, splitter *events.Splitter, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	found, invalid := splitter.Add(data)
	var raw []byte
	for i, e := range found {
		if !s.sequence.Advance(e) {
			// The events before it count as passed on, so they must be.
			found, invalid = found[:i], errOutOfOrder
			break
		}
		raw = append(raw, e.Raw...)
	}
	if len(found) == 0 {
		return invalid
	}
	if !s.bound {
		s.bound, s.software = true, att.server.SoftwareVersion
	}
	if !s.begun && s.call.Route.Resumable {
		s.forwarder.origins.Begin(s.call, s.software, s.callerDeadline)
	}
	if att.host == "" {
		s.forwarder.recordEvents(s.call, att, len(found))
	}
	att.events += len(found)
	now := s.forwarder.timer.Now()
	if s.begun {
		pauseSeconds.Update(now.Sub(s.lastEvent).Seconds())
	} else {
		firstSeconds.Update(now.Sub(s.call.Received).Seconds())
		s.begun = true
		s.out.WriteHeader(att.reply.Status, att.reply.Fields)
	}
	s.lastEvent = now
	if err := s.out.Write(raw); err != nil {
		return errCallerGone
	}
	if s.forwarder.timer.Now().Sub(now) > slowWrite {
		att.meter.Pause()
	}
	return invalid
}
