package drain

import "time"

const (
	// acceptPeriod is how long a stopping host still accepts connections: the
	// platform checks readiness once a second and needs two answers. It is at most
	// acceptShare of the grace period.
	acceptPeriod = 2500 * time.Millisecond
	acceptShare  = 1.0 / 3
	// closeMargin is the part of the grace period reserved for ending the process
	// after the last connections were closed, at most closeShare of it.
	closeMargin = 500 * time.Millisecond
	closeShare  = 1.0 / 16
	// answerMargin is the time for the last answers to leave the machine before
	// the connections are closed, at most answerShare of the grace period.
	answerMargin = 250 * time.Millisecond
	answerShare  = 1.0 / 32
)

// Plan is the timetable of a host that stops.
type Plan struct {
	// Began is when the host was told to stop.
	Began time.Time
	// Drain is when the host stops accepting connections and ends the idle ones.
	Drain time.Time
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
	end := began.Add(grace - share(closeMargin, closeShare))
	return Plan{
		Began: began, Drain: began.Add(share(acceptPeriod, acceptShare)),
		LastAnswer: end.Add(-share(answerMargin, answerShare)), Close: end,
	}
}
