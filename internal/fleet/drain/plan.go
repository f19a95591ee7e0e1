package drain

import "time"

const (
	// acceptPeriod is how long a stopping host still accepts connections: the
	// platform checks readiness once a second and needs two answers. It is at most
	// acceptShare of the grace period.
	acceptPeriod = 2500 * time.Millisecond
	acceptShare  = 1.0 / 3
	// crossingMargin is how much later a request may arrive that was sent before
	// its caller could see the connection end, at most crossingShare of the grace
	// period.
	crossingMargin = 250 * time.Millisecond
	crossingShare  = 1.0 / 32
	// closeMargin is the part of the grace period reserved for ending the process
	// after the last connections were closed, at most closeShare of it.
	closeMargin = 500 * time.Millisecond
	closeShare  = 1.0 / 16
	// answerMargin is the time for the last answers to leave the machine before
	// the connections are closed, at most answerShare of the grace period.
	answerMargin = 250 * time.Millisecond
	answerShare  = 1.0 / 32
	// usualAnswerFactor times the latency objective is the time in which nearly all
	// calls with one answer are answered.
	usualAnswerFactor = 2
)

// Plan is the timetable of a host that stops.
type Plan struct {
	// Began is when the host was told to stop.
	Began time.Time
	// Drain is when the host stops accepting connections and ends the idle ones.
	Drain time.Time
	// Late is when requests count as late: those that come until then may have been
	// sent before draining began.
	Late time.Time
	// LastAnswer is when the calls that are still running are ended, each with an
	// answer that is complete or recognizably cut off.
	LastAnswer time.Time
	// Close is when the connections that are left are closed.
	Close time.Time
}

// NewPlan returns the timetable of a host that was told to stop and will be
// killed after the grace period.
func NewPlan(began time.Time, grace time.Duration) Plan {
	share := func(limit time.Duration, part float64) time.Duration {
		return min(limit, time.Duration(part*float64(grace)))
	}
	drained := began.Add(share(acceptPeriod, acceptShare))
	end := began.Add(grace - share(closeMargin, closeShare))
	return Plan{
		Began: began, Drain: drained, Late: drained.Add(share(crossingMargin, crossingShare)),
		LastAnswer: end.Add(-share(answerMargin, answerShare)), Close: end,
	}
}

// Need is what a call needs of the time that is left.
type Need struct {
	// Deadline is when the call ends at the latest, by the caller's deadline or
	// the route's timeout; zero if there is neither.
	Deadline time.Time
	// Objective is the target time to the first part of the answer.
	Objective time.Duration
	// Repeatable reports whether the call has one answer, which the caller may ask
	// for again if it does not come.
	Repeatable bool
}

// Accepts reports whether a call that no server has run may be sent to one now.
//
// Until calls count as late, one may be passed on if the first part of its answer
// is due in time. The answer of nearly every such call is complete in time, while
// a refusal would make the caller try once more. Late ones are what was being
// read when draining began, and what a server refused. They may be sent only if
// they end in time in any case, or usually do and may be repeated.
func (p Plan) Accepts(now time.Time, n Need) bool {
	left := p.LastAnswer.Sub(now)
	switch {
	case left <= 0:
		return false
	case !n.Deadline.IsZero() && !n.Deadline.After(p.LastAnswer):
		return true
	case now.Before(p.Late):
		return n.Objective <= left
	}
	return n.Repeatable && usualAnswerFactor*n.Objective <= left
}
