package queue

import "time"

const (
	// meanShift makes one observation a sixteenth of a mean.
	meanShift = 16
	// deviations is how many mean deviations a cautious estimate adds.
	deviations = 2
	// minSamples is how many observations a mean needs to be relied on.
	minSamples = 8
	// retryUnknown is the retry time before any service time is known.
	retryUnknown = time.Second
	minRetry     = 50 * time.Millisecond
	maxRetry     = time.Minute
)

// mean is an exponentially weighted mean of durations with their mean
// deviation, as in Jacobson's round-trip estimator (SIGCOMM 1988).
type mean struct {
	value     time.Duration
	deviation time.Duration
	samples   int
}

func (m *mean) add(d time.Duration) {
	m.samples++
	part := time.Duration(min(m.samples, meanShift))
	off := d - m.value
	m.value += off / part
	m.deviation += (off.Abs() - m.deviation) / part
}

// high is a duration that few observations exceed.
func (m *mean) high() time.Duration { return m.value + deviations*m.deviation }

func (m *mean) known() bool { return m != nil && m.samples >= minSamples }

// estimate holds how long online entries keep a slot, in all and by weight: a
// weight stands for a service, whose calls resemble each other.
type estimate struct {
	all      mean
	byWeight map[int]*mean
}

func (s *estimate) add(weight int, d time.Duration) {
	s.all.add(d)
	m, ok := s.byWeight[weight]
	if !ok {
		m = new(mean)
		s.byWeight[weight] = m
	}
	m.add(d)
}

// wait returns how long an entry waits for a slot behind ahead others.
func (s *estimate) wait(ahead, slots int) time.Duration {
	if !s.all.known() {
		return 0
	}
	return time.Duration(ahead+1) * s.all.value / time.Duration(slots)
}

// hopeless reports whether e can't end by its deadline if it starts after wait.
func (s *estimate) hopeless(now time.Time, e *entry, wait time.Duration) bool {
	if e.Deadline.IsZero() {
		return false
	}
	if now.After(e.Deadline) {
		return true
	}
	m := s.byWeight[e.Weight]
	return m.known() && now.Add(wait+m.high()).After(e.Deadline)
}

// retry returns when a queue of that length will have been served.
func (s *estimate) retry(waiting, slots int) time.Duration {
	if !s.all.known() {
		return retryUnknown
	}
	return min(max(s.wait(waiting, slots), minRetry), maxRetry)
}
