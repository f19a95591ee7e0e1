package queue

import "time"

const (
	// meanWindow gives each new observation a weight of 1/16 in a mean, or the
	// weight of an arithmetic mean while there are fewer than 16 observations.
	meanWindow = 16
	// deviationFactor is how many mean deviations upperBound adds to the mean.
	deviationFactor = 2
	// minSamples is how many observations make a mean reliable.
	minSamples = 8
	// defaultRetry is the retry time while too few service times are known.
	defaultRetry = time.Second
	minRetry     = 50 * time.Millisecond
	maxRetry     = time.Minute
)

// movingMean is an exponentially weighted mean of durations with their mean
// deviation, as in Jacobson's round-trip estimator (SIGCOMM 1988).
type movingMean struct {
	value     time.Duration
	deviation time.Duration
	samples   int
}

func (m *movingMean) add(d time.Duration) {
	m.samples++
	divisor := time.Duration(min(m.samples, meanWindow))
	diff := d - m.value
	m.value += diff / divisor
	m.deviation += (diff.Abs() - m.deviation) / divisor
}

// upperBound returns a duration that few observations exceed.
func (m *movingMean) upperBound() time.Duration { return m.value + deviationFactor*m.deviation }

func (m *movingMean) reliable() bool { return m != nil && m.samples >= minSamples }

// serviceTimes estimates how long online entries occupy a slot, overall and by
// weight. The weight is used in place of the service, whose calls take similar
// times.
type serviceTimes struct {
	overall  movingMean
	byWeight map[int]*movingMean
}

func (s *serviceTimes) add(weight int, d time.Duration) {
	s.overall.add(d)
	m, ok := s.byWeight[weight]
	if !ok {
		m = new(movingMean)
		s.byWeight[weight] = m
	}
	m.add(d)
}

// expectedWait returns how long an entry is expected to wait for a slot behind
// ahead other entries, or 0 while the mean service time is not reliable.
func (s *serviceTimes) expectedWait(ahead, slots int) time.Duration {
	if !s.overall.reliable() {
		return 0
	}
	return time.Duration(ahead+1) * s.overall.value / time.Duration(slots)
}

// missesDeadline reports whether e is expected to miss its deadline if it
// starts after wait.
func (s *serviceTimes) missesDeadline(now time.Time, e *entry, wait time.Duration) bool {
	if e.Deadline.IsZero() {
		return false
	}
	if now.After(e.Deadline) {
		return true
	}
	m := s.byWeight[e.Weight]
	return m.reliable() && now.Add(wait+m.upperBound()).After(e.Deadline)
}

// retryAfter returns the time within which the given number of waiting entries
// is expected to start, between minRetry and maxRetry.
func (s *serviceTimes) retryAfter(waiting, slots int) time.Duration {
	if !s.overall.reliable() {
		return defaultRetry
	}
	return min(max(s.expectedWait(waiting, slots), minRetry), maxRetry)
}
